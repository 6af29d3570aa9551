//! The choice of a host for a task.

use cassiahoist_core::prelude::*;
use cassiahoist_declarations::Packing;
use cassiahoist_world::hosts::HostKey;

/// A host that could run the task now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The host.
    pub host: HostKey,
    /// What would be left of it.
    pub left: Resources,
    /// What it has in all.
    pub capacity: Resources,
    /// Whether the task has failed there.
    pub failed_there: bool,
    /// Whether the task's data is on its rack, if it matters.
    pub far: bool,
    /// Whether serving tasks and fillers would meet there.
    pub disturbs: bool,
    /// Failures since a task was last done there.
    pub failures: u32,
}

/// Chooses a host; nothing if there is no candidate.
#[must_use]
pub fn choose_host(candidates: impl Iterator<Item = Candidate>, packing: Packing) -> Option<HostKey> {
    candidates.min_by_key(|candidate| penalty(candidate, packing)).map(|candidate| candidate.host)
}

/// Orders candidates; the least penalty wins.
fn penalty(candidate: &Candidate, packing: Packing) -> (bool, bool, bool, u32, u64) {
    // In thousandths of the host, so that hosts of all sizes compare.
    let left = (candidate.left.dominant_share(&candidate.capacity) * 1_000.0) as u64;
    let fullness = match packing {
        Packing::Pack => left,
        Packing::Spread => 1_000_u64.saturating_sub(left),
    };
    (candidate.failed_there, candidate.disturbs, candidate.far, candidate.failures, fullness)
}
