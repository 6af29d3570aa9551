//! Effects of a run's end on its task, step and job.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_world::advice::StepAdvice;
use cassiahoist_world::delays::{DelayPart, LastEnd};
use cassiahoist_world::hosts::HostKey;
use cassiahoist_world::jobs::{JobKey, StepKey, StepState, TaskKey, TaskState};
use cassiahoist_world::orders::RunEnding;
use cassiahoist_world::prelude::*;
use cassiahoist_world::record::{FailureReason, JobFailure, JobState};
use cassiahoist_world::runs::{Run, RunKey, StopReason};

use crate::crashes::clear_task;
use crate::health::{record_failure, record_success};
use crate::lifecycle::{drop_run, requeue_placed_task, stop_job_runs, stop_run};
use crate::occurrences::close_done_occurrence;
use crate::run_times::record_run_time;

/// Delay before a failed task runs again, in milliseconds. The host's quarantine is decided first.
const RETRY_DELAY_MS: u64 = 20;

/// Removes a run that ended and updates its task, host and gang.
pub(crate) fn end_run(world: &mut World, key: RunKey, ending: RunEnding, checkpoint: &Arc<str>, now_ms: u64) {
    let Some(run) = drop_run(world, key) else { return };
    let host = world.hosts.get(run.host).map(|host| host.entry.name.to_string()).unwrap_or_default();
    let event = if ending == RunEnding::Failed { EventId::RunFailed } else { EventId::RunEnded };
    let log_record =
        LogRecord::new(event).with("task", run.name).with("run", run.run_number).with("host", host);
    world.log(log_record.with("ending", format!("{ending:?}")).with("ran_ms", now_ms - run.start_sent_at_ms));
    if !checkpoint.is_empty()
        && let Some(task) = world.jobs.tasks.get_mut(run.task)
    {
        task.checkpoint = Arc::clone(checkpoint);
    }
    match ending {
        RunEnding::Done => {
            world.counters.runs_done += 1;
            record_success(world, run.host, now_ms);
            record_run_time(world, &run, now_ms);
            clear_task(world, run.task, run.run_number, "it is done");
            note_last_end(world, &run);
            match decide_after_done(world, run.task) {
                AfterDone::Finish => finish_task(world, run.task, now_ms),
                AfterDone::Restart => requeue_placed_task(world, key, run.task, 0, now_ms),
            }
        }
        RunEnding::Failed => {
            world.counters.runs_failed += 1;
            record_failure(world, run.host, run.task, now_ms);
            record_failed_run(world, run.task, run.host, run.run_number, now_ms);
            requeue_placed_task(world, key, run.task, RETRY_DELAY_MS, now_ms);
        }
        RunEnding::Stopped | RunEnding::Lapsed | RunEnding::Broken | RunEnding::Alone => {
            requeue_placed_task(world, key, run.task, 0, now_ms);
        }
    }
    if ending != RunEnding::Done {
        break_gang(world, run.task, run.run_number, now_ms);
    }
}

/// Notes how the run of a task came to its end, in case that its step waited for it.
fn note_last_end(world: &mut World, run: &Run) {
    let Some(task) = world.jobs.tasks.get(run.task) else { return };
    let last_end = LastEnd {
        first_ordered_at_ms: task.first_ordered_at_ms,
        ordered_at_ms: run.start_sent_at_ms,
        confirmed_at_ms: run.confirmed_at_ms,
    };
    if let Some(step) = world.jobs.steps.get_mut(task.step) {
        step.last_end = Some(last_end);
    }
}

/// Adds the time of a step that is done to that of its job.
fn add_step_delays(world: &mut World, step_key: StepKey, now_ms: u64) {
    let Some(step) = world.jobs.steps.get(step_key) else { return };
    let Some(last_end) = step.last_end else { return };
    let advised_at_ms = step.advised_at_ms.max(step.ready_since_ms);
    let parts = [
        (DelayPart::Advice, step.ready_since_ms, advised_at_ms),
        (DelayPart::Room, advised_at_ms, last_end.first_ordered_at_ms),
        (DelayPart::Retries, last_end.first_ordered_at_ms, last_end.ordered_at_ms),
        (DelayPart::Start, last_end.ordered_at_ms, last_end.confirmed_at_ms),
        (DelayPart::Run, last_end.confirmed_at_ms, now_ms),
    ];
    let Some(job) = world.jobs.get_mut(step.job) else { return };
    for (part, from_ms, to_ms) in parts {
        job.delays.add(part, to_ms.saturating_sub(from_ms));
    }
}

/// What becomes of a task of which a run has ended done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AfterDone {
    /// It is done.
    Finish,
    /// It runs until cancelled, and needs another run unless it has one.
    Restart,
}

/// Decides what becomes of a task of which a run has ended done.
pub(crate) fn decide_after_done(world: &World, task: TaskKey) -> AfterDone {
    match world.jobs.task_context(task) {
        Some((_, _, spec)) if spec.runs_until_cancelled => AfterDone::Restart,
        Some(_) | None => AfterDone::Finish,
    }
}

/// Marks a task as done, and with it every member of its gang.
pub(crate) fn finish_task(world: &mut World, task_key: TaskKey, now_ms: u64) {
    let Some((task, step, spec)) = world.jobs.task_context(task_key) else { return };
    let (step_key, job_key) = (task.step, step.job);
    let members = if spec.gang { step.tasks.clone() } else { vec![task_key] };
    for member in members {
        let Some(task) = world.jobs.tasks.get_mut(member) else { continue };
        let previous_state = task.state;
        if previous_state == TaskState::Done {
            continue;
        }
        task.state = TaskState::Done;
        let copies = task.detached_runs.clone();
        if let Some(step) = world.jobs.steps.get_mut(step_key) {
            step.done_count += 1;
            step.pending_tasks.retain(|pending| *pending != member);
        }
        // A later run that was placed before this end was known is no longer needed.
        if let (TaskState::Placed(run), true) = (previous_state, member == task_key) {
            stop_run(world, run, StopReason::JobOver, now_ms);
        }
        for copy in copies {
            stop_run(world, copy, StopReason::JobOver, now_ms);
        }
    }
    world.jobs.unrecorded_jobs.insert(job_key);
    world.jobs.rerank_last_tasks(step_key, now_ms);
    finish_step(world, step_key, now_ms);
}

fn finish_step(world: &mut World, step_key: StepKey, now_ms: u64) {
    let Some(step) = world.jobs.steps.get_mut(step_key) else { return };
    if step.pending_tasks.is_empty() {
        world.jobs.ready.remove(step_key);
    }
    if step.done_count as usize == step.tasks.len() && step.state != StepState::Done {
        step.state = StepState::Done;
        step.advice = StepAdvice::default();
        let (job, occurrence) = (step.job, step.name.occurrence);
        world.jobs.ready.remove(step_key);
        add_step_delays(world, step_key, now_ms);
        advance_occurrence(world, job, occurrence, now_ms);
    }
}

/// Makes the steps of an open occurrence ready that are due and whose predecessors are done.
///
/// It closes the occurrence if every step is done.
pub(crate) fn advance_occurrence(world: &mut World, job_key: JobKey, occurrence: u32, now_ms: u64) {
    let Some(job) = world.jobs.get(job_key).filter(|job| !job.state.is_final()) else { return };
    let Some(steps) = job.open_occurrences.get(&occurrence).cloned() else { return };
    let unix_ms = world.local.unix_ms;
    for step_key in &steps {
        let Some(step) = world.jobs.steps.get(*step_key) else { continue };
        if step.state != StepState::Blocked {
            continue;
        }
        if unix_ms < step.due_unix_ms {
            let due_unix_ms = step.due_unix_ms;
            return world.jobs.await_due_time(job_key, due_unix_ms);
        }
        let unblocked = world.jobs.step_spec(step).is_some_and(|spec| {
            spec.depends_on.iter().all(|index| {
                let predecessor = steps.get(usize::from(*index)).and_then(|key| world.jobs.steps.get(*key));
                predecessor.is_some_and(|step| step.state == StepState::Done)
            })
        });
        if unblocked && let Some(step) = world.jobs.steps.get_mut(*step_key) {
            step.state = StepState::Ready;
            step.ready_since_ms = now_ms;
            if !step.pending_tasks.is_empty() {
                world.jobs.mark_ready(*step_key, now_ms);
            }
        }
    }
    close_done_occurrence(world, job_key, occurrence, now_ms);
}

/// How a job ends by itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobEnd {
    /// All of its tasks are done.
    Completed,
    /// It can't be done.
    Failed(JobFailure),
}

/// Moves a job to a final state and stops its runs.
pub fn end_job(world: &mut World, job_key: JobKey, end: JobEnd, now_ms: u64) {
    let (state, failure) = match end {
        JobEnd::Completed => (JobState::Completed, None),
        JobEnd::Failed(failure) => (JobState::Failed, Some(failure)),
    };
    let crashed_hosts = failure.iter().flat_map(|failure| &failure.crashed_hosts);
    let crashed_hosts: Vec<&str> = crashed_hosts.map(HostName::as_str).collect();
    let cause = failure.as_ref().map_or("all tasks are done", |failure| failure.reason.text());
    let unix_ms = world.local.unix_ms;
    let Some(job) = world.jobs.get_mut(job_key) else { return };
    if job.state.is_final() {
        return;
    }
    job.state = state;
    job.ended_unix_ms = unix_ms;
    job.failure.clone_from(&failure);
    let took_ms = unix_ms.saturating_sub(job.record.accepted_unix_ms);
    let is_late = job.target.completion_ms().is_some_and(|target_ms| took_ms > target_ms);
    if state == JobState::Completed && is_late && job.record.spec.repeat.is_none() {
        job.completed_late_at_ms = Some(now_ms);
    }
    let (id, queue) = (job.record.id, job.record.policy.queue.clone());
    world.jobs.withdraw(job_key);
    world.jobs.unrecorded_jobs.insert(job_key);
    world.counters.jobs_ended += 1;
    world.counters.job_ms.record(took_ms);
    let log_record = LogRecord::new(EventId::JobEnded).with("job", id).with("queue", queue);
    let log_record = log_record.with("state", format!("{state:?}")).with("took_ms", took_ms);
    let log_record = log_record.with("cause", cause);
    world.log(match &failure {
        None => log_record,
        Some(failure) => log_record.with("task", failure.task).with("hosts", crashed_hosts.join(" ")),
    });
    stop_job_runs(world, job_key, now_ms);
}

/// Counts a failed run once, and fails the job at the queue's limit.
pub(crate) fn record_failed_run(
    world: &mut World,
    task_key: TaskKey,
    host: HostKey,
    run_number: u64,
    now_ms: u64,
) {
    let Some((task, step, spec)) = world.jobs.task_context(task_key) else { return };
    if task.state == TaskState::Done {
        return;
    }
    let (runs_until_cancelled, gang, step_key, job_key) =
        (spec.runs_until_cancelled, spec.gang, task.step, step.job);
    let task_name = task.name;
    let Some(task) = world.jobs.tasks.get_mut(task_key) else { return };
    task.last_run_number = task.last_run_number.max(run_number);
    task.failed_hosts.push(host);
    if runs_until_cancelled {
        return;
    }
    // A failed run of a gang counts once, no matter how many members report it.
    let failed_runs = if gang {
        let Some(step) = world.jobs.steps.get_mut(step_key) else { return };
        &mut step.gang_failed_runs
    } else {
        &mut task.failed_runs
    };
    if failed_runs.contains(&run_number) {
        return;
    }
    failed_runs.push(run_number);
    let failures = failed_runs.len();
    world.jobs.unrecorded_jobs.insert(job_key);
    let limit = world.jobs.get(job_key).map_or(u32::MAX, |job| job.record.policy.max_attempts);
    if failures >= limit as usize {
        let failure =
            JobFailure { reason: FailureReason::FailedRuns, task: task_name, crashed_hosts: Vec::new() };
        end_job(world, job_key, JobEnd::Failed(failure), now_ms);
    }
}

/// Stops the other members of a gang's run after one ended without completing.
pub(crate) fn break_gang(world: &mut World, task_key: TaskKey, run_number: u64, now_ms: u64) {
    let Some((_, step, spec)) = world.jobs.task_context(task_key) else { return };
    if !spec.gang || step.state == StepState::Done {
        return;
    }
    let members: Vec<RunKey> = world
        .jobs
        .step_runs(step)
        .filter(|run| world.runs.rows.get(*run).is_some_and(|run| run.run_number == run_number))
        .collect();
    for run in members {
        stop_run(world, run, StopReason::GangBroken, now_ms);
    }
}
