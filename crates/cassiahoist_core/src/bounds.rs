//! Times that the platform guarantees or asks for, and what it gives a daemon.

use serde::{Deserialize, Serialize};

/// Times that the platform guarantees or asks for, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Longest time that a host's runs outlive the last order to it.
    pub run_lease_ms: u64,
    /// Time between a request to stop and the process's forced end.
    pub grace_ms: u64,
    /// Time for which the state of a finished job can be asked for.
    pub status_ms: u64,
    /// Shortest lease that the store grants.
    pub min_lease_ms: u64,
}

impl Bounds {
    /// Gives the longest time that runs outlive the last order to their host, by a daemon's clock, in milliseconds.
    #[must_use]
    pub fn longest_lease_ms(&self) -> u64 {
        // A host's clock may run 2% slow; the rest covers its timers.
        self.run_lease_ms + self.run_lease_ms / 40 + 100
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Self { run_lease_ms: 6_000, grace_ms: 6_000, status_ms: 120_000, min_lease_ms: 1_000 }
    }
}

/// What a daemon's machine gives it; the strongest daemon holds the slice if it can.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Thousandths of a processor.
    pub cpu_milli: u32,
    /// Bandwidth of its link, in megabits a second.
    pub link_mbps: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self { cpu_milli: 1_000, link_mbps: 1_000 }
    }
}
