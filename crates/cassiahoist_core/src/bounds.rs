//! Times that the platform guarantees or asks for.

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

impl Default for Bounds {
    fn default() -> Self {
        Self { run_lease_ms: 6_000, grace_ms: 6_000, status_ms: 120_000, min_lease_ms: 1_000 }
    }
}
