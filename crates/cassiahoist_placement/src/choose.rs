//! Chooses a host for a task among the candidates.

use cassiahoist_core::prelude::*;
use cassiahoist_declarations::Packing;
use cassiahoist_world::hosts::HostKey;

/// A host that may start the task now and has the free resources.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Key of the host's row.
    pub host: HostKey,
    /// Free resources of the host after the task is placed on it.
    pub remaining: Resources,
    /// Total resources of the host.
    pub capacity: Resources,
    /// Whether a run of the task has failed on the host.
    pub failed_before: bool,
    /// Whether no task completed on the host lately, although the task's next failure fails its job.
    pub unproven: bool,
    /// Whether the task's data is on another rack; `false` without a data rack.
    pub off_data_rack: bool,
    /// Whether serving tasks and fillers would share the host.
    pub would_interfere: bool,
    /// Failed runs on the host since a task last completed there.
    pub failures: u32,
    /// What other jobs would lose if the task crashed the host; 0 if that isn't to be expected.
    pub loss_cost: u32,
    /// How little the speed of the host suits the task, see [`SpeedPreference::penalty`].
    pub speed_penalty: u8,
}

/// Which speed of hosts suits a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpeedPreference {
    /// Any; the speed doesn't count.
    Any,
    /// Fast hosts, where the task ends soonest.
    Fast,
    /// Slow hosts, since others need the fast ones more.
    Slow,
}

impl SpeedPreference {
    /// Returns how little hosts of a class of speed suit the task; the lowest suits best.
    #[must_use]
    pub fn penalty(self, speed_class: u8) -> u8 {
        match self {
            Self::Any => 0,
            Self::Fast => speed_class,
            Self::Slow => u8::MAX - speed_class,
        }
    }

    /// Returns by how much to multiply the room of a host to compare it with that of hosts of other speeds.
    ///
    /// `factor` is the run time on the host, as a binary logarithm. Where a task has to end soon, a fast host without much room
    /// is worth more than a slow one with it.
    #[must_use]
    pub fn room_weight(self, factor: f32) -> f32 {
        match self {
            Self::Any => 1.0,
            Self::Fast => (-2.0 * factor).exp2(),
            Self::Slow => factor.exp2(),
        }
    }
}

/// Chooses the candidate with the lowest penalty and returns what it is paired with.
///
/// `None` if there is no candidate. In order of weight, it avoids
///
/// 1. hosts on which the task failed,
/// 2. unproven hosts for a last attempt,
/// 3. interference between serving tasks and fillers,
/// 4. other racks than that of the data,
/// 5. hosts with failures,
/// 6. hosts whose crash would cost other jobs much,
/// 7. hosts whose class of speed does not suit the task.
///
/// Among equals, `packing` decides. Classes of speed are coarse, so that it still does within a kind of host.
#[must_use]
pub fn choose_candidate<T>(candidates: impl Iterator<Item = (T, Candidate)>, packing: Packing) -> Option<T> {
    candidates.min_by_key(|(_, candidate)| penalty(candidate, packing)).map(|(paired, _)| paired)
}

/// Returns the sort key of a candidate; the lowest wins.
fn penalty(candidate: &Candidate, packing: Packing) -> (bool, bool, bool, bool, u32, u32, u8, u64) {
    // Thousandths of the host's capacity, so that hosts of different sizes compare.
    let remaining = (candidate.remaining.dominant_share(&candidate.capacity) * 1_000.0) as u64;
    let packing_penalty = match packing {
        Packing::Pack => remaining,
        Packing::Spread => 1_000_u64.saturating_sub(remaining),
    };
    (
        candidate.failed_before,
        candidate.unproven,
        candidate.would_interfere,
        candidate.off_data_rack,
        candidate.failures,
        candidate.loss_cost,
        candidate.speed_penalty,
        packing_penalty,
    )
}
