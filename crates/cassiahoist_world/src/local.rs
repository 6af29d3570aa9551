//! Identity, settings and stop state of this daemon.

use cassiahoist_core::prelude::*;

/// Whether this daemon is stopping.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StopState {
    /// No stop was requested.
    #[default]
    Serving,
    /// A stop was requested; the daemon releases its claim, finishes open calls and exits.
    Stopping {
        /// When the stop was requested, in monotonic milliseconds.
        since_ms: u64,
        /// Since when callers' connections are being closed, in monotonic milliseconds; `None` before.
        closing_since_ms: Option<u64>,
    },
}

/// Identity, settings and stop state of this daemon.
#[derive(Clone, Debug)]
pub struct LocalDaemon {
    /// Name and incarnation of this daemon.
    pub incarnation: Incarnation,
    /// Failure domain of its machine.
    pub domain: FailureDomain,
    /// Address at which it listens for peers, as `ip:port`.
    pub peer_address: String,
    /// Time bounds of the platform, from the settings.
    pub bounds: Bounds,
    /// Longest run lease that hosts accept, in milliseconds; the bounds have the one that this daemon asks for.
    pub platform_run_lease_ms: u64,
    /// Capacity of its machine, from the settings.
    pub limits: MachineLimits,
    /// How ready steps of equal priority are ordered, from the settings.
    pub order_of_work: OrderOfWork,
    /// Whether it is stopping.
    pub stop_state: StopState,
    /// Unix time at the start of the present tick, in milliseconds.
    pub unix_ms: u64,
}

impl LocalDaemon {
    /// Returns an upper bound of any run lease on this daemon's clock, in milliseconds.
    #[must_use]
    pub fn longest_run_lease_ms(&self) -> u64 {
        Bounds { run_lease_ms: self.platform_run_lease_ms, ..self.bounds }.max_run_lease_ms()
    }

    /// Returns whether a stop was requested.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stop_state != StopState::Serving
    }
}
