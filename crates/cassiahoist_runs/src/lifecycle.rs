//! Lifecycle of a run's row: resources reserved, stop requested, row removed.

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::HostKey;
use cassiahoist_world::jobs::{JobKey, StepState, TaskKey, TaskState};
use cassiahoist_world::prelude::*;
use cassiahoist_world::record::JobState;
use cassiahoist_world::runs::{Run, RunKey, RunState, StopReason};

use crate::crashes::begin_probation;
use crate::run_times::expected_run_ms;

/// Creates a run's row and reserves its resources on the host.
///
/// It also marks the task as placed. `run_number` rises with each start of the task. `state` is `Starting` for a new run and
/// `Running` for an adopted one. Returns `None` if the task no longer exists.
pub fn reserve_run(
    world: &mut World,
    task_key: TaskKey,
    host: HostKey,
    run_number: u64,
    state: RunState,
    now_ms: u64,
) -> Option<RunKey> {
    let (task, step, spec) = world.jobs.task_context(task_key)?;
    let (name, reserved, step_key) = (task.name, spec.reserved_resources(), task.step);
    let is_resumed = !task.checkpoint.is_empty();
    let (account, task_size) = (world.jobs.get(step.job)?.account, spec.task_size);
    let run = Run {
        task: task_key,
        name,
        host,
        run_number,
        reserved,
        account,
        task_size,
        state,
        stop_reason: None,
        start_sent_at_ms: now_ms,
        confirmed_at_ms: now_ms,
        listed_by_host: false,
        adopted: state == RunState::Running,
        maybe_lost: false,
        start_unanswered_at_ms: None,
        is_restored: false,
        order_in_flight: false,
        next_stop_at_ms: now_ms,
        progress_percent: 0,
        last_progress_at_ms: now_ms,
        progress_clock_ms: 0,
        start_clock_ms: 0,
        is_resumed,
        expected_run_ms: expected_run_ms(world, task_key, host),
        pace_percent: (state == RunState::Starting).then_some(100),
        pace_sent_at_ms: 0,
        late_pace_until_ms: 0,
    };
    let key = world.runs.rows.insert(run);
    world.account_usage.add(account, &task_size);
    if let Some(row) = world.hosts.get_mut(host) {
        row.reserved = row.reserved.saturating_add(&reserved);
        row.runs.insert(key);
    }
    if let Some(task) = world.jobs.tasks.get_mut(task_key) {
        task.last_run_number = task.last_run_number.max(run_number);
        if task.first_ordered_at_ms == 0 {
            task.first_ordered_at_ms = now_ms;
        }
    }
    mark_placed(world, task_key, key);
    begin_probation(world, key);
    if let Some(step) = world.jobs.steps.get_mut(step_key) {
        step.last_gang_run = step.last_gang_run.max(run_number);
    }
    Some(key)
}

/// Marks a queued job as running, since a host has begun a run of one of its tasks.
///
/// A start order alone shows nothing: the host may refuse it or never get it.
pub(crate) fn mark_job_begun(world: &mut World, job: JobKey) {
    if let Some(job) = world.jobs.get_mut(job)
        && job.state == JobState::Queued
    {
        job.state = JobState::Running;
    }
}

/// Marks the job of a task as running, since a host has begun a run of the task.
pub(crate) fn mark_task_begun(world: &mut World, task: TaskKey) {
    if let Some((_, step, _)) = world.jobs.task_context(task) {
        mark_job_begun(world, step.job);
    }
}

/// Removes a run's row and releases its resources on the host.
pub(crate) fn drop_run(world: &mut World, key: RunKey) -> Option<Run> {
    let run = world.runs.rows.remove(key)?;
    world.account_usage.subtract(run.account, &run.task_size);
    world.runs.stopping.remove(&key);
    world.runs.on_probation.remove(&key);
    if let Some(host) = world.hosts.get_mut(run.host) {
        host.isolated_run.take_if(|isolated| *isolated == key);
        host.reserved = host.reserved.saturating_sub(&run.reserved);
        host.runs.remove(&key);
    }
    if let Some(task) = world.jobs.tasks.get_mut(run.task) {
        task.detached_runs.retain(|detached| *detached != key);
    }
    Some(run)
}

/// Makes a task pending again if `run` is the one that it waits for, to be placed after a delay in milliseconds.
///
/// A run that was detached from its task, or whose task is done, changes nothing.
pub(crate) fn requeue_placed_task(world: &mut World, run: RunKey, task: TaskKey, delay_ms: u64, now_ms: u64) {
    let is_placed = world.jobs.tasks.get(task).is_some_and(|task| task.state == TaskState::Placed(run));
    if is_placed {
        requeue_task(world, task, delay_ms, now_ms);
    }
}

/// Makes the task of a run pending while the run may still exist.
///
/// Only for steps that allow copies. The run keeps its row, so that its resources stay reserved and its place counts
/// against the step's maximum per host.
pub(crate) fn detach_run(world: &mut World, key: RunKey, now_ms: u64) {
    let Some(run) = world.runs.rows.get(key).cloned() else { return };
    let task_key = run.task;
    let Some(task) = world.jobs.tasks.get_mut(task_key).filter(|task| task.state == TaskState::Placed(key))
    else {
        return;
    };
    task.detached_runs.push(key);
    let log_record = LogRecord::new(EventId::RunDetached).with("task", run.name).with("run", run.run_number);
    let host = world.hosts.get(run.host).map_or("", |host| host.entry.name.as_str());
    world.log(log_record.with("host", host).with("started_ms_ago", now_ms - run.start_sent_at_ms));
    requeue_task(world, task_key, 0, now_ms);
}

/// Gives a detached run back to its task, if no other run was placed meanwhile.
pub(crate) fn reattach_run(world: &mut World, key: RunKey) {
    let Some(run) = world.runs.rows.get(key).filter(|run| run.stop_reason.is_none()) else { return };
    let task_key = run.task;
    let Some(task) = world.jobs.tasks.get_mut(task_key) else { return };
    if task.state == TaskState::Pending && task.detached_runs.contains(&key) {
        task.detached_runs.retain(|detached| *detached != key);
        mark_placed(world, task_key, key);
    }
}

/// Marks a task as placed on a run and removes it from the step's pending tasks.
pub(crate) fn mark_placed(world: &mut World, task_key: TaskKey, run: RunKey) {
    let Some(task) = world.jobs.tasks.get_mut(task_key) else { return };
    task.state = TaskState::Placed(run);
    let step_key = task.step;
    let Some(step) = world.jobs.steps.get_mut(step_key) else { return };
    step.pending_tasks.retain(|pending| *pending != task_key);
    if step.pending_tasks.is_empty() {
        world.jobs.ready.remove(step_key);
    } else {
        world.jobs.note_partial_gang(step_key);
    }
}

/// Makes a task pending again, to be placed after a delay in milliseconds.
///
/// Does nothing if the task is done.
fn requeue_task(world: &mut World, task_key: TaskKey, delay_ms: u64, now_ms: u64) {
    let Some(task) = world.jobs.tasks.get_mut(task_key) else { return };
    if task.state == TaskState::Done {
        return;
    }
    task.state = TaskState::Pending;
    task.not_before_ms = now_ms + delay_ms;
    let step_key = task.step;
    let Some(step) = world.jobs.steps.get_mut(step_key) else { return };
    if !step.pending_tasks.contains(&task_key) {
        step.pending_tasks.push(task_key);
    }
    let (job, step_ready) = (step.job, step.state == StepState::Ready);
    let job_ended = world.jobs.get(job).is_none_or(|job| job.state.is_final());
    if step_ready && !job_ended {
        world.jobs.mark_ready(step_key, now_ms);
    }
}

/// Requests that a run end.
///
/// Its resources stay reserved until the host lists the end. Does nothing if a stop was requested before.
pub fn stop_run(world: &mut World, key: RunKey, reason: StopReason, now_ms: u64) {
    let Some(run) = world.runs.rows.get_mut(key) else { return };
    if run.stop_reason.is_some() {
        return;
    }
    run.stop_reason = Some(reason);
    run.state = if reason == StopReason::Unanswered { RunState::Unsettled } else { RunState::Stopping };
    run.next_stop_at_ms = now_ms;
    run.order_in_flight = false;
    let percent = run.progress_percent;
    let progressed_ms_ago = now_ms.saturating_sub(run.last_progress_at_ms.max(run.confirmed_at_ms));
    world.runs.stopping.insert(key);
    let (name, run_number, host) = (run.name, run.run_number, run.host);
    let event = if reason == StopReason::Unanswered { EventId::StartUnanswered } else { EventId::RunStopped };
    let log_record = LogRecord::new(event).with("task", name).with("run", run_number);
    let mut log_record = match world.hosts.get(host) {
        None => log_record.with("host", ""),
        Some(host) => log_record
            .with("host", &host.entry.name)
            .with("answered_ms_ago", now_ms.saturating_sub(host.last_answer_at_ms)),
    };
    if reason == StopReason::Stalled {
        let lists_at_ms = world.hosts.get(host).map_or(0, |host| host.lists_received_at_ms);
        log_record = log_record
            .with("percent", percent)
            .with("progressed_ms_ago", progressed_ms_ago)
            .with("lists_age_ms", now_ms.saturating_sub(lists_at_ms));
    }
    world.log(log_record.with("reason", format!("{reason:?}")));
    world.counters.runs_stopped += 1;
}

/// Requests that all runs of a job end.
pub fn stop_job_runs(world: &mut World, job: JobKey, now_ms: u64) {
    let Some(row) = world.jobs.get(job) else { return };
    let steps = row.steps().filter_map(|step| world.jobs.steps.get(step));
    let runs: Vec<RunKey> = steps.flat_map(|step| world.jobs.step_runs(step)).collect();
    for run in runs {
        stop_run(world, run, StopReason::JobOver, now_ms);
    }
}
