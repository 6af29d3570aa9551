//! Places gangs: steps whose tasks all start together or not at all.

use std::collections::BTreeMap;
use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::HostKey;
use cassiahoist_world::jobs::{Job, StepKey, TaskKey};
use cassiahoist_world::prelude::*;
use rustc_hash::FxHashMap;

use crate::isolation::is_quiet;
use crate::place::{SearchOutcome, remaining_queue_tasks, start_task, startable_hosts};
use crate::requirements::{StepPolicy, StepRequirements};
use crate::start_route::StartRoute;

/// Starts a gang if all of its tasks fit on hosts.
///
/// All members get the same run number, greater than that of every earlier run.
pub(crate) fn place_gang(world: &mut World, key: StepKey, policy: &StepPolicy, now_ms: u64) -> SearchOutcome {
    let Some(step) = world.jobs.steps.get(key) else { return SearchOutcome::NotSearched };
    // Every run of the previous attempt has to have ended first.
    if step.pending_tasks.len() < step.tasks.len() {
        return SearchOutcome::NotSearched;
    }
    let earliest_start_ms = step
        .tasks
        .iter()
        .filter_map(|task| world.jobs.tasks.get(*task))
        .map(|task| task.not_before_ms)
        .max()
        .unwrap_or_default();
    if now_ms < earliest_start_ms {
        world.wake_by(earliest_start_ms);
        return SearchOutcome::NotSearched;
    }
    let Some(requirements) = StepRequirements::new(world, step, policy) else {
        return SearchOutcome::NotSearched;
    };
    if remaining_queue_tasks(world, step, &requirements) < step.tasks.len() as u32 {
        return SearchOutcome::NotSearched;
    }
    let Some(hosts) = find_gang_hosts(world, key, &requirements, now_ms) else {
        return SearchOutcome::NoRoom;
    };
    let tasks: Vec<TaskKey> = step.tasks.clone();
    let run_number = step
        .tasks
        .iter()
        .filter_map(|task| world.jobs.tasks.get(*task))
        .map(|task| task.last_run_number)
        .max()
        .unwrap_or_default()
        .max(step.last_gang_run)
        + 1;
    unify_checkpoints(world, &tasks);
    let log_record = LogRecord::new(EventId::GangPlaced).with("step", world.jobs.steps[key].name);
    world.log(log_record.with("run", run_number).with("members", tasks.len()));
    for (task, host) in tasks.into_iter().zip(hosts) {
        start_task(world, task, host, run_number, &mut StartRoute::Direct, now_ms);
    }
    SearchOutcome::HasRoom
}

/// Returns whether a suspected gang has hosts at risk. Only one at a time may, as it may need many hosts.
fn is_gang_at_risk(world: &World) -> bool {
    let mut runs = world.runs.on_probation.iter().filter_map(|run| world.runs.rows.get(*run));
    runs.any(|run| {
        world.jobs.task_context(run.task).is_some_and(|(_, step, _)| step.gang_crashes.is_suspect())
    })
}

/// Copies one member's checkpoint to all, since a gang resumes from a single one.
///
/// The checkpoint of any member is valid for the others.
fn unify_checkpoints(world: &mut World, tasks: &[TaskKey]) {
    let checkpoint = tasks
        .iter()
        .filter_map(|task| world.jobs.tasks.get(*task))
        .map(|task| &task.checkpoint)
        .find(|checkpoint| !checkpoint.is_empty())
        .cloned();
    if let Some(checkpoint) = checkpoint {
        for task in tasks {
            if let Some(task) = world.jobs.tasks.get_mut(*task) {
                task.checkpoint = Arc::clone(&checkpoint);
            }
        }
    }
}

/// A host on which members of a gang fit.
#[derive(Clone, Debug)]
struct GangCandidate {
    host: HostKey,
    fitting_tasks: u32,
    rack: Option<Arc<str>>,
    /// Failed runs on the host since a task last completed there.
    failures: u32,
    speed_penalty: u8,
}

/// Keeps only hosts of one class of speed, the most suitable on which all members fit.
///
/// A gang runs at the pace of its slowest host, so that faster ones beside it would be wasted. Hosts with failures are no reason
/// for a class.
fn keep_like_hosts(candidates: &mut Vec<GangCandidate>, member_count: usize) {
    let mut room_by_penalty: BTreeMap<u8, u64> = BTreeMap::new();
    for candidate in candidates.iter().filter(|candidate| candidate.failures == 0) {
        *room_by_penalty.entry(candidate.speed_penalty).or_default() += u64::from(candidate.fitting_tasks);
    }
    let suitable = room_by_penalty.iter().find(|(_, room)| **room >= member_count as u64);
    if let Some((penalty, _)) = suitable {
        candidates.retain(|candidate| candidate.speed_penalty == *penalty);
    }
}

/// Finds a host for each member of a gang; `None` if not all fit.
///
/// A step with `same_rack` gets hosts of one rack, if all members fit on a rack. Among these, hosts of one class of speed come
/// first.
fn find_gang_hosts(
    world: &World,
    key: StepKey,
    requirements: &StepRequirements<'_>,
    now_ms: u64,
) -> Option<Vec<HostKey>> {
    let step = world.jobs.steps.get(key)?;
    let member_count = step.tasks.len();
    let is_suspect = step.gang_crashes.is_suspect();
    let is_recorded = world.jobs.get(step.job).is_some_and(Job::has_recorded_crashes);
    if is_suspect && (!is_recorded || is_gang_at_risk(world)) {
        return None;
    }
    let mut candidates: Vec<GangCandidate> = startable_hosts(world, step, requirements, now_ms)
        .filter(|(_, host)| !is_suspect || is_quiet(host, now_ms))
        .map(|(key, host)| GangCandidate {
            host: key,
            fitting_tasks: requirements.tasks_that_fit(host),
            rack: host.rack().cloned(),
            failures: host.standing.failures,
            speed_penalty: requirements.speed_preference.penalty(host.speed.class),
        })
        .filter(|candidate| candidate.fitting_tasks > 0)
        .collect();
    // Hosts with the fewest failures come first, then those on which most members fit: fewer hosts mean fewer that can
    // fail.
    candidates.sort_unstable_by_key(|candidate| (candidate.failures, u32::MAX - candidate.fitting_tasks));
    if requirements.spec.same_rack {
        let mut fitting_tasks_by_rack: FxHashMap<Option<Arc<str>>, u64> = FxHashMap::default();
        for candidate in &candidates {
            *fitting_tasks_by_rack.entry(candidate.rack.clone()).or_default() +=
                u64::from(candidate.fitting_tasks);
        }
        let best_rack = fitting_tasks_by_rack
            .iter()
            .max_by_key(|(_, fitting_tasks)| **fitting_tasks)
            .map(|(rack, fitting_tasks)| (rack.clone(), *fitting_tasks));
        if let Some((best_rack, fitting_tasks)) = best_rack
            && fitting_tasks >= member_count as u64
        {
            candidates.retain(|candidate| candidate.rack == best_rack);
        }
    }
    keep_like_hosts(&mut candidates, member_count);
    let mut hosts = Vec::with_capacity(member_count);
    for candidate in candidates {
        let missing_count = member_count - hosts.len();
        let placed_count = missing_count.min(candidate.fitting_tasks as usize);
        hosts.extend(std::iter::repeat_n(candidate.host, placed_count));
        if hosts.len() == member_count {
            return Some(hosts);
        }
    }
    None
}
