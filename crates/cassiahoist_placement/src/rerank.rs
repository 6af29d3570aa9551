//! Ranks waiting steps again as time changes what their callers still gain.

use cassiahoist_world::prelude::*;

/// Ranks the ready steps again whose class changes by now.
pub fn rerank_ready_steps(world: &mut World, now_ms: u64) {
    while let Some(step) = world.jobs.take_due_rank_change(now_ms) {
        world.counters.steps_visited += 1;
        world.jobs.rerank(step, now_ms);
    }
}
