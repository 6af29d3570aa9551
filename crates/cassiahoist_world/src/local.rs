//! What a daemon knows about itself.

use cassiahoist_core::prelude::*;

/// Whether the daemon is leaving.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StopState {
    /// It serves.
    #[default]
    Running,
    /// It was asked to stop at the time given, in monotonic milliseconds.
    Stopping {
        /// When it was asked.
        since_ms: u64,
    },
}

/// Who this daemon is.
#[derive(Clone, Debug)]
pub struct Local {
    /// Its name and life.
    pub incarnation: Incarnation,
    /// The failure domain in which it stands.
    pub domain: FailureDomain,
    /// Address for peers, as `ip:port`.
    pub peer_address: String,
    /// Times of the platform.
    pub bounds: Bounds,
    /// What its machine gives it.
    pub limits: Limits,
    /// Whether it is leaving.
    pub stop: StopState,
    /// The wall clock at this tick, in milliseconds since the epoch.
    pub unix_ms: u64,
}

impl Local {
    /// Tells whether the daemon was asked to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stop != StopState::Running
    }
}
