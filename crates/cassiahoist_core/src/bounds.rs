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
    /// Whether a withdrawn key stops working after `revoke_ms` at every daemon, even one that can't reach the store.
    pub strict_revoke: bool,
    /// Longest time for which a withdrawn key may still work; used only with `strict_revoke`.
    pub revoke_ms: u64,
    /// Time within which a new configuration must be in force; 0 if the platform sets none.
    pub config_apply_ms: u64,
}

/// Part of a bound on the age of the configuration that covers clocks of different rates.
///
/// Clocks may differ by 2%.
const CLOCK_RATE_DIVISOR: u64 = 50;

fn shortened_for_clock_rate(bound_ms: u64) -> u64 {
    bound_ms - bound_ms / CLOCK_RATE_DIVISOR
}

impl Bounds {
    /// Returns the age of the configuration up to which its keys are accepted; `None` if it is not limited.
    #[must_use]
    pub fn max_config_age_ms(&self) -> Option<u64> {
        self.strict_revoke.then(|| shortened_for_clock_rate(self.revoke_ms))
    }

    /// Returns the age of the configuration up to which it shows that a key is unknown; `None` if it is not limited.
    #[must_use]
    pub fn max_unknown_key_age_ms(&self) -> Option<u64> {
        (self.config_apply_ms > 0).then(|| shortened_for_clock_rate(self.config_apply_ms))
    }

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
        Self {
            run_lease_ms: 6_000,
            grace_ms: 6_000,
            status_ms: 120_000,
            min_lease_ms: 1_000,
            strict_revoke: false,
            revoke_ms: 0,
            config_apply_ms: 0,
        }
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
