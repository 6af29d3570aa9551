//! Occurrences of jobs: each gets rows when it is due, and loses them when its tasks are done.
//!
//! So the tables hold what is at work or due, however long the series that a caller asks for.

use std::collections::BTreeSet;
use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_world::advice::StepAdvice;
use cassiahoist_world::jobs::{Job, JobKey, Step, StepKey, StepState, Task, TaskKey, TaskState};
use cassiahoist_world::prelude::*;
use cassiahoist_world::record::StepProgress;
use cassiahoist_world::run_time_ratios::RecentRatios;

use crate::outcome::{JobEnd, advance_occurrence, end_job};

/// Maximum number of open occurrences of a job. Further ones are opened as these end.
const MAX_OPEN_OCCURRENCES: usize = 1_024;

/// Number of open tasks of a job from which no further occurrence is opened.
const MAX_OPEN_TASKS: u64 = 4_096;

/// Number of task rows from which large occurrences wait for room. It is far more than a cell runs at a time.
const MAX_TASK_ROWS: u64 = 200_000;

/// Greatest number of tasks of an occurrence that never waits for room.
const SMALL_OCCURRENCE_TASKS: u64 = 256;

/// What to do about the next occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OccurrenceDecision {
    /// Every occurrence is open or done, or enough are open. The end of one leads to another decision.
    Nothing,
    /// It is due at this time, in Unix milliseconds.
    AwaitDueTime(u64),
    /// It is due, and the tables lack room.
    AwaitRoom,
    /// Open it.
    Open(u32),
}

fn decide_next_occurrence(world: &mut World, key: JobKey) -> OccurrenceDecision {
    let (unix_ms, row_count) = (world.local.unix_ms, world.jobs.tasks.len() as u64);
    let Some(job) = world.jobs.get_mut(key).filter(|job| !job.state.is_final()) else {
        return OccurrenceDecision::Nothing;
    };
    let Some(occurrence) = job.next_unopened() else { return OccurrenceDecision::Nothing };
    let due_unix_ms = job.record.spec.repeat.map_or(0, |repeat| repeat.due_unix_ms(occurrence));
    if unix_ms < due_unix_ms {
        return OccurrenceDecision::AwaitDueTime(due_unix_ms);
    }
    let (task_count, open_count) = (job.record.spec.tasks_per_occurrence(), job.open_occurrences.len());
    if open_count >= MAX_OPEN_OCCURRENCES
        || (open_count > 0 && job.open_task_count + task_count > MAX_OPEN_TASKS)
    {
        return OccurrenceDecision::Nothing;
    }
    let is_small = open_count == 0 && task_count <= SMALL_OCCURRENCE_TASKS;
    if !is_small && row_count + task_count > MAX_TASK_ROWS {
        return OccurrenceDecision::AwaitRoom;
    }
    OccurrenceDecision::Open(occurrence)
}

/// Opens the occurrences of a job that are due, as many as may be open.
pub fn open_due_occurrences(world: &mut World, key: JobKey, now_ms: u64) {
    loop {
        match decide_next_occurrence(world, key) {
            OccurrenceDecision::Nothing => return,
            OccurrenceDecision::AwaitDueTime(due_unix_ms) => {
                return world.jobs.await_due_time(key, due_unix_ms);
            }
            OccurrenceDecision::AwaitRoom => return world.jobs.await_room(key),
            OccurrenceDecision::Open(occurrence) => {
                open_occurrence(world, key, occurrence, now_ms);
                advance_occurrence(world, key, occurrence, now_ms);
            }
        }
    }
}

/// Opens the occurrences of which an earlier holder recorded progress, as many as may be open.
pub fn open_begun_occurrences(world: &mut World, key: JobKey, now_ms: u64) {
    let Some(job) = world.jobs.get(key) else { return };
    let begun: BTreeSet<u32> = job.unopened_progress.keys().map(|(occurrence, _)| *occurrence).collect();
    for occurrence in begun {
        let Some(job) = world.jobs.get(key) else { return };
        if job.open_occurrences.len() >= MAX_OPEN_OCCURRENCES || job.open_task_count >= MAX_OPEN_TASKS {
            return;
        }
        open_occurrence(world, key, occurrence, now_ms);
        advance_occurrence(world, key, occurrence, now_ms);
    }
}

/// Opens occurrences of jobs whose due time has come, and of those for which the tables have room again.
pub fn open_waiting_occurrences(world: &mut World, now_ms: u64) {
    let unix_ms = world.local.unix_ms;
    while let Some((due_unix_ms, key)) = world.jobs.take_due_job(unix_ms) {
        world.counters.steps_visited += 1;
        advance_undue_occurrences(world, key, due_unix_ms, now_ms);
        open_due_occurrences(world, key, now_ms);
    }
    if let Some((due_unix_ms, _)) = world.jobs.due_times.first() {
        let wake_at_ms = now_ms.saturating_add(due_unix_ms - unix_ms);
        world.wake_by(wake_at_ms);
    }
    while let Some((rank, key)) = world.jobs.awaiting_room.first().copied()
        && decide_next_occurrence(world, key) != OccurrenceDecision::AwaitRoom
    {
        world.jobs.awaiting_room.remove(&(rank, key));
        open_due_occurrences(world, key, now_ms);
    }
}

/// Looks again at the open occurrences that are due from a Unix time on, in milliseconds.
///
/// After a step of the clock they may not have been due when they were last looked at.
fn advance_undue_occurrences(world: &mut World, key: JobKey, due_unix_ms: u64, now_ms: u64) {
    let Some(job) = world.jobs.get(key) else { return };
    let Some(repeat) = job.record.spec.repeat else { return };
    let open = job.open_occurrences.keys().rev().copied();
    let undue: Vec<u32> =
        open.take_while(|occurrence| repeat.due_unix_ms(*occurrence) >= due_unix_ms).collect();
    for occurrence in undue {
        advance_occurrence(world, key, occurrence, now_ms);
    }
}

/// Finds the task of a run that a host reports, and opens its occurrence if an earlier holder had done so.
///
/// `None` if there is no such task or its occurrence is done.
pub(crate) fn find_reported_task(world: &mut World, name: &TaskName, now_ms: u64) -> Option<TaskKey> {
    if let Some(task) = world.jobs.find_task(name) {
        return Some(task);
    }
    let (key, occurrence) = (world.jobs.find(&name.step.job)?, name.step.occurrence);
    let job = world.jobs.get(key)?;
    let may_open = !job.state.is_final()
        && occurrence < job.record.spec.occurrence_count()
        && !job.open_occurrences.contains_key(&occurrence)
        && !job.done_occurrences.contains(occurrence);
    if !may_open {
        return None;
    }
    open_occurrence(world, key, occurrence, now_ms);
    advance_occurrence(world, key, occurrence, now_ms);
    world.jobs.find_task(name)
}

/// Creates the rows of an occurrence.
fn open_occurrence(world: &mut World, key: JobKey, occurrence: u32, now_ms: u64) {
    let Some(job) = world.jobs.get(key) else { return };
    let steps_per_occurrence = job.record.spec.steps.len() as u16;
    let steps: Vec<StepKey> = (0..steps_per_occurrence)
        .filter_map(|index| insert_step(world, key, occurrence, index, now_ms))
        .collect();
    let Some(job) = world.jobs.get_mut(key) else { return };
    job.open_task_count += job.record.spec.tasks_per_occurrence();
    job.open_occurrences.insert(occurrence, steps);
}

fn insert_step(world: &mut World, key: JobKey, occurrence: u32, index: u16, now_ms: u64) -> Option<StepKey> {
    let (unix_ms, order_of_work) = (world.local.unix_ms, world.local.order_of_work);
    let job = world.jobs.get_mut(key)?;
    let record = Arc::clone(&job.record);
    let progress = job.unopened_progress.remove(&(occurrence, index)).unwrap_or_default();
    let first_run_number = job.first_run_number;
    let queued_at_ms = if record.spec.repeat.is_some() { now_ms } else { job.added_at_ms };
    let due_unix_ms = record.spec.repeat.map_or(0, |repeat| repeat.due_unix_ms(occurrence));
    // The clock of the daemon that accepted the job may be wrong, so it counts only for what this holder did not see.
    let age_ms = if job.inherited || record.spec.repeat.is_some() {
        unix_ms.saturating_sub(record.accepted_unix_ms.max(due_unix_ms))
    } else {
        now_ms - job.added_at_ms
    };
    let latest_start = match order_of_work {
        OrderOfWork::Arrival => None,
        OrderOfWork::Target => Some(job.target.latest_start(index, age_ms, now_ms)),
    };
    let task_count = record.spec.steps.get(usize::from(index))?.task_count;
    let name = StepName { job: record.id, occurrence, index };
    let step_key = world.jobs.steps.insert(Step {
        job: key,
        name,
        state: StepState::Blocked,
        tasks: Vec::with_capacity(task_count as usize),
        pending_tasks: Vec::with_capacity(task_count as usize),
        done_count: 0,
        queued_at_ms,
        latest_start,
        pressing_at_ms: 0,
        was_passed_over: false,
        ready_since_ms: 0,
        due_unix_ms,
        advised_at_ms: 0,
        last_end: None,
        advice: StepAdvice::default(),
        gang_failed_runs: progress.gang_failed_runs.clone(),
        gang_crashes: progress.gang_crashes.clone(),
        last_gang_run: first_run_number,
        run_ratios: RecentRatios::default(),
    });
    for index in 0..task_count {
        insert_task(world, step_key, TaskName { step: name, index }, &progress, first_run_number);
    }
    if let Some(step) = world.jobs.steps.get_mut(step_key)
        && step.done_count as usize == step.tasks.len()
    {
        step.state = StepState::Done;
    }
    Some(step_key)
}

fn insert_task(
    world: &mut World,
    step_key: StepKey,
    name: TaskName,
    progress: &StepProgress,
    first_run_number: u64,
) {
    let is_done = progress.is_done(name.index);
    let task_key = world.jobs.tasks.insert(Task {
        step: step_key,
        name,
        state: if is_done { TaskState::Done } else { TaskState::Pending },
        failed_runs: progress.failed_runs.get(&name.index).cloned().unwrap_or_default(),
        crashes: progress.crashes.get(&name.index).cloned().unwrap_or_default(),
        first_ordered_at_ms: 0,
        last_run_number: first_run_number,
        detached_runs: Vec::new(),
        checkpoint: progress.checkpoints.get(&name.index).cloned().unwrap_or_else(|| Arc::from("")),
        failed_hosts: Vec::new(),
        not_before_ms: 0,
    });
    let Some(step) = world.jobs.steps.get_mut(step_key) else { return };
    step.tasks.push(task_key);
    if is_done {
        step.done_count += 1;
    } else {
        step.pending_tasks.push(task_key);
    }
}

/// Returns whether every step of an open occurrence is done.
fn is_occurrence_done(world: &World, job: &Job, occurrence: u32) -> bool {
    let steps = job.open_occurrences.get(&occurrence);
    steps.is_some_and(|steps| {
        steps.iter().all(|step| world.jobs.steps.get(*step).is_some_and(|step| step.state == StepState::Done))
    })
}

/// Closes an occurrence all of whose tasks are done: completes the job, or makes room for the next occurrence.
pub(crate) fn close_done_occurrence(world: &mut World, key: JobKey, occurrence: u32, now_ms: u64) {
    if !world.jobs.get(key).is_some_and(|job| is_occurrence_done(world, job, occurrence)) {
        return;
    }
    let Some(job) = world.jobs.get_mut(key) else { return };
    job.done_occurrences.insert(occurrence);
    let is_job_done = job.is_done();
    world.jobs.unrecorded_jobs.insert(key);
    if is_job_done {
        // The rows stay until the final state is recorded.
        return end_job(world, key, JobEnd::Completed, now_ms);
    }
    world.jobs.remove_occurrence(key, occurrence);
    open_due_occurrences(world, key, now_ms);
}
