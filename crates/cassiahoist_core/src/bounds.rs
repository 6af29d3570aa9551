//! Time bounds of the platform, and the resources of a daemon's machine.

use serde::{Deserialize, Serialize};

/// Time bounds that the platform guarantees or requires, in milliseconds.
///
/// They come from the settings file; fields that are absent there get the defaults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Longest time that runs on a host continue after the last order to it.
    pub run_lease_ms: u64,
    /// Time between a stop request and the forced end of the process.
    pub grace_ms: u64,
    /// Time for which callers can ask for the state of a finished job.
    pub status_ms: u64,
    /// Shortest lease that the store grants.
    pub min_lease_ms: u64,
}

impl Bounds {
    /// Returns an upper bound of the run lease on this daemon's clock, in milliseconds.
    ///
    /// When this time has passed since the last order to a host, everything it ran has ended.
    #[must_use]
    pub fn max_run_lease_ms(&self) -> u64 {
        // A host's clock may run 2% slow. The rest of the added 2.5% and the 100 ms cover its timers.
        self.run_lease_ms + self.run_lease_ms / 40 + 100
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Self { run_lease_ms: 6_000, grace_ms: 6_000, status_ms: 120_000, min_lease_ms: 1_000 }
    }
}

/// Processor and network capacity that a daemon's machine gives it.
///
/// The settings file sets them. Daemons rank each other by these values, first by processor, then by link. The
/// strongest claims a vacant slice first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MachineLimits {
    /// Processor share, in thousandths of a core.
    pub cpu_milli: u32,
    /// Bandwidth of the network link, in megabits per second.
    pub link_mbps: u32,
}

/// Multiple of another machine's processor share from which a machine is much stronger.
const MUCH_STRONGER_FACTOR: u32 = 2;

impl MachineLimits {
    /// Returns whether a change of the holder from the other machine to this one is worth its interruption.
    #[must_use]
    pub fn is_much_stronger_than(self, other: Self) -> bool {
        self.cpu_milli >= other.cpu_milli.saturating_mul(MUCH_STRONGER_FACTOR)
            && self.link_mbps >= other.link_mbps
    }
}

impl Default for MachineLimits {
    fn default() -> Self {
        Self { cpu_milli: 1_000, link_mbps: 1_000 }
    }
}
