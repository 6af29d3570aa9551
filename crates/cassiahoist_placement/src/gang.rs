//! Gangs: all tasks of a step start together, or none does.

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::HostKey;
use cassiahoist_world::jobs::{StepKey, TaskKey};
use cassiahoist_world::prelude::*;
use rustc_hash::FxHashMap;

use crate::place::{left_of_queue, open_hosts, start_task};
use crate::terms::{StepPolicy, StepTerms};

/// Starts a gang if there is room for all of its tasks.
pub(crate) fn place_gang(world: &mut World, key: StepKey, policy: &StepPolicy, now_ms: u64) {
    let Some(step) = world.jobs.steps.get(key) else { return };
    // An earlier run has to be over everywhere first.
    if step.pending.len() < step.tasks.len() {
        return;
    }
    let waits_until_ms = step
        .tasks
        .iter()
        .filter_map(|task| world.jobs.tasks.get(*task))
        .map(|task| task.not_before_ms)
        .max()
        .unwrap_or_default();
    if now_ms < waits_until_ms {
        return world.wake_by(waits_until_ms);
    }
    let Some(terms) = StepTerms::new(world, step, policy) else { return };
    if left_of_queue(world, step, &terms) < step.tasks.len() as u32 {
        return;
    }
    let Some(hosts) = seat_gang(world, key, &terms, now_ms) else { return };
    let tasks: Vec<TaskKey> = step.tasks.clone();
    let number = step
        .tasks
        .iter()
        .filter_map(|task| world.jobs.tasks.get(*task))
        .map(|task| task.last_number)
        .max()
        .unwrap_or_default()
        .max(step.gang_number)
        + 1;
    share_checkpoint(world, &tasks);
    let note = LogNote::new(EventId::GangHeld).with("step", world.jobs.steps[key].name);
    world.log(note.with("run", number).with("members", tasks.len()));
    for (task, host) in tasks.into_iter().zip(hosts) {
        start_task(world, task, host, number, now_ms);
    }
}

/// Every member has to resume from the same checkpoint; that of any member is good for all.
fn share_checkpoint(world: &mut World, tasks: &[TaskKey]) {
    let checkpoint = tasks
        .iter()
        .filter_map(|task| world.jobs.tasks.get(*task))
        .map(|task| &task.checkpoint)
        .find(|checkpoint| !checkpoint.is_empty())
        .cloned();
    if let Some(checkpoint) = checkpoint {
        for task in tasks {
            if let Some(task) = world.jobs.tasks.get_mut(*task) {
                task.checkpoint = std::sync::Arc::clone(&checkpoint);
            }
        }
    }
}

/// Finds a host for each member; on one rack if that is wanted and possible.
fn seat_gang(world: &World, key: StepKey, terms: &StepTerms<'_>, now_ms: u64) -> Option<Vec<HostKey>> {
    let step = world.jobs.steps.get(key)?;
    let needed = step.tasks.len();
    let mut seats: Vec<(HostKey, u32, Option<std::sync::Arc<str>>, u32)> =
        open_hosts(world, step, terms, now_ms)
            .map(|(key, host)| (key, terms.fits(key, host), host.rack().cloned(), host.standing.failures))
            .filter(|(_, fits, _, _)| *fits > 0)
            .collect();
    // Few hosts make few that can fail.
    seats.sort_unstable_by_key(|(_, fits, _, failures)| (*failures, u32::MAX - *fits));
    if terms.spec.same_rack {
        let mut racks: FxHashMap<Option<std::sync::Arc<str>>, u64> = FxHashMap::default();
        for (_, fits, rack, _) in &seats {
            *racks.entry(rack.clone()).or_default() += u64::from(*fits);
        }
        let best = racks.iter().max_by_key(|(_, fits)| **fits).map(|(rack, fits)| (rack.clone(), *fits));
        if let Some((rack, fits)) = best
            && fits >= needed as u64
        {
            seats.retain(|(_, _, other, _)| *other == rack);
        }
    }
    let mut hosts = Vec::with_capacity(needed);
    for (host, fits, _, _) in seats {
        let wanted = needed - hosts.len();
        hosts.extend(std::iter::repeat_n(host, wanted.min(fits as usize)));
        if hosts.len() == needed {
            return Some(hosts);
        }
    }
    None
}
