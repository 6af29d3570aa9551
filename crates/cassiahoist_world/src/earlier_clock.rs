//! Orders that name a time on the clock of an earlier incarnation of a host.

use cassiahoist_core::prelude::*;

/// Whether a host may take orders that name a time on the clock of an earlier incarnation.
///
/// Orders name the host and not its incarnation. The present one reads the lease end in such an order on its own clock, which
/// began anew, so that it holds its runs for the longest lease that the platform allows. It refuses such orders once it has
/// executed one under a greater fencing token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EarlierClockOrders {
    /// No restart is known, but earlier holders may have given orders. The host has not answered this one.
    #[default]
    FromEarlierHolders,
    /// The host restarted after orders under this token, or smaller ones, were issued.
    FromBeforeRestart(Fence),
    /// The host refuses them.
    ShutOut,
}

impl EarlierClockOrders {
    /// Returns whether the host refuses them from now on, since it has executed an order under `fence`.
    #[must_use]
    pub fn are_shut_out_by(self, fence: Fence) -> bool {
        match self {
            Self::FromEarlierHolders => true,
            Self::FromBeforeRestart(latest_fence) => fence > latest_fence,
            Self::ShutOut => false,
        }
    }

    /// Returns whether the host is known to have restarted after such orders.
    #[must_use]
    pub fn are_from_before_restart(self) -> bool {
        matches!(self, Self::FromBeforeRestart(_))
    }
}
