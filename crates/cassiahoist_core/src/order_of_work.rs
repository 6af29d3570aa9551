//! How ready steps of equal priority are ordered.

use serde::{Deserialize, Serialize};

/// How ready steps of equal priority are ordered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderOfWork {
    /// Those of earlier jobs first.
    #[default]
    Arrival,
    /// By what callers still gain: those that must start soonest for their job to be in time, before those that can't be.
    Target,
}
