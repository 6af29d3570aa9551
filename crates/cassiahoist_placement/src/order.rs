//! Orders ready steps by the queue's priority and the job's age.

use cassiahoist_world::jobs::{Job, Step, StepKey};
use cassiahoist_world::prelude::*;

/// Sort key of a step; the lowest is placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// Priority of the queue; 0 is the most urgent.
    priority: u32,
    /// When the job was added to the tables, in monotonic milliseconds.
    job_added_at_ms: u64,
}

fn rank_of(job: &Job, _step: &Step) -> Rank {
    Rank { priority: job.record.policy.priority, job_added_at_ms: job.added_at_ms }
}

/// Lists the steps with pending tasks, the most urgent first.
pub(crate) fn ready_steps_by_rank(world: &World) -> Vec<StepKey> {
    let mut steps: Vec<(Rank, StepKey)> = world
        .jobs
        .ready
        .iter()
        .filter_map(|key| {
            let step = world.jobs.steps.get(*key)?;
            Some((rank_of(world.jobs.get(step.job)?, step), *key))
        })
        .collect();
    steps.sort_unstable();
    steps.into_iter().map(|(_, key)| key).collect()
}
