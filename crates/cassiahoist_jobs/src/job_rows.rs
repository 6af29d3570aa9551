//! Turns a job record into rows, and rows into a progress record.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_runs::advance_job;
use cassiahoist_world::advice::StepAdvice;
use cassiahoist_world::jobs::{Job, JobKey, Step, StepKey, StepState, Task, TaskState};
use cassiahoist_world::prelude::*;
use cassiahoist_world::record::{JobRecord, JobState, ProgressRecord, StepProgress};

/// Number of run numbers reserved for each term.
///
/// A term is the number of a claim. The reservation makes run numbers rise from one holder to the next.
const RUN_NUMBERS_PER_TERM: u64 = 1_000;

/// Recorded state of a job that an earlier holder may have started.
#[derive(Clone, Debug, Default)]
pub struct InheritedState {
    /// Progress record with its revision; `None` if none was written.
    pub progress: Option<(ProgressRecord, u64)>,
    /// Number of the current claim, which offsets the run numbers.
    pub term: u64,
}

/// Inserts a job, its steps and its tasks into the tables.
///
/// `inherited` is `None` for a job that no earlier holder can have started. A job that is already final gets no
/// steps.
pub fn insert_job(
    world: &mut World,
    record: &Arc<JobRecord>,
    inherited: Option<InheritedState>,
    now_ms: u64,
) -> JobKey {
    let first_run_number = inherited.as_ref().map_or(0, |state| state.term * RUN_NUMBERS_PER_TERM);
    let is_inherited = inherited.is_some();
    let (progress, revision) =
        inherited.and_then(|state| state.progress).unwrap_or_else(|| (ProgressRecord::default(), 0));
    let key = world.jobs.insert(Job {
        record: Arc::clone(record),
        state: progress.state,
        recorded_state: progress.state,
        steps: Vec::new(),
        inherited: is_inherited,
        progress_revision: revision,
        added_at_ms: now_ms,
        ended_unix_ms: progress.ended_unix_ms,
        failure: progress.failure,
        crash_changes: 0,
        recorded_crash_changes: 0,
    });
    if progress.state.is_final() {
        return key;
    }
    let occurrences = record.spec.repeat.map_or(1, |repeat| repeat.count.max(1));
    let mut steps = Vec::with_capacity(occurrences as usize * record.spec.steps.len());
    for occurrence in 0..occurrences {
        for index in 0..record.spec.steps.len() {
            let name = StepName { job: record.id, occurrence, index: index as u16 };
            let step_progress = progress.steps.get(&progress_key(&name));
            steps.push(insert_step(world, key, name, step_progress, first_run_number));
        }
    }
    if let Some(job) = world.jobs.get_mut(key) {
        job.steps = steps;
    }
    advance_job(world, key, now_ms);
    key
}

/// Returns the key of a step within its job's progress record.
#[must_use]
pub(crate) fn progress_key(name: &StepName) -> String {
    format!("{}.{}", name.occurrence, name.index)
}

fn insert_step(
    world: &mut World,
    job: JobKey,
    name: StepName,
    progress: Option<&StepProgress>,
    first_run_number: u64,
) -> StepKey {
    let record = world.jobs.get(job).map(|job| Arc::clone(&job.record));
    let spec = record.as_ref().and_then(|record| record.spec.steps.get(usize::from(name.index)));
    let task_count = spec.map_or(0, |spec| spec.task_count);
    let due_unix_ms = record
        .as_ref()
        .and_then(|record| record.spec.repeat)
        .map_or(0, |repeat| repeat.due_unix_ms(name.occurrence));
    let step_key = world.jobs.steps.insert(Step {
        job,
        name,
        state: StepState::Blocked,
        tasks: Vec::with_capacity(task_count as usize),
        pending_tasks: Vec::with_capacity(task_count as usize),
        done_count: 0,
        ready_since_ms: 0,
        due_unix_ms,
        advice: StepAdvice::default(),
        gang_failed_runs: progress.map(|progress| progress.gang_failed_runs.clone()).unwrap_or_default(),
        gang_crashes: progress.map(|progress| progress.gang_crashes.clone()).unwrap_or_default(),
        last_gang_run: first_run_number,
    });
    for index in 0..task_count {
        let is_done = progress.is_some_and(|progress| progress.is_done(index));
        let failed_runs = progress.and_then(|progress| progress.failed_runs.get(&index)).cloned();
        let crashes = progress.and_then(|progress| progress.crashes.get(&index)).cloned();
        let checkpoint = progress.and_then(|progress| progress.checkpoints.get(&index)).cloned();
        let task_key = world.jobs.tasks.insert(Task {
            step: step_key,
            name: TaskName { step: name, index },
            state: if is_done { TaskState::Done } else { TaskState::Pending },
            failed_runs: failed_runs.unwrap_or_default(),
            crashes: crashes.unwrap_or_default(),
            last_run_number: first_run_number,
            detached_runs: Vec::new(),
            checkpoint: checkpoint.unwrap_or_else(|| Arc::from("")),
            failed_hosts: Vec::new(),
            not_before_ms: 0,
        });
        if let Some(step) = world.jobs.steps.get_mut(step_key) {
            step.tasks.push(task_key);
            if is_done {
                step.done_count += 1;
            } else {
                step.pending_tasks.push(task_key);
            }
        }
    }
    if let Some(step) = world.jobs.steps.get_mut(step_key)
        && step.done_count as usize == step.tasks.len()
    {
        step.state = StepState::Done;
    }
    step_key
}

/// Builds the progress record of a job from its rows.
///
/// A completed job needs no progress of its steps, so none is written.
#[must_use]
pub(crate) fn build_progress_record(world: &World, job: &Job) -> ProgressRecord {
    let mut record = ProgressRecord {
        state: job.state,
        ended_unix_ms: job.ended_unix_ms,
        failure: job.failure.clone(),
        ..ProgressRecord::default()
    };
    if job.state == JobState::Completed {
        return record;
    }
    for step in job.steps.iter().filter_map(|key| world.jobs.steps.get(*key)) {
        let mut progress = StepProgress {
            gang_failed_runs: step.gang_failed_runs.clone(),
            gang_crashes: step.gang_crashes.clone(),
            ..StepProgress::default()
        };
        for task in step.tasks.iter().filter_map(|key| world.jobs.tasks.get(*key)) {
            if task.state == TaskState::Done {
                progress.set_done(task.name.index);
                continue;
            }
            if !task.failed_runs.is_empty() {
                progress.failed_runs.insert(task.name.index, task.failed_runs.clone());
            }
            if !task.crashes.is_empty() {
                progress.crashes.insert(task.name.index, task.crashes.clone());
            }
            if !task.checkpoint.is_empty() {
                progress.checkpoints.insert(task.name.index, Arc::clone(&task.checkpoint));
            }
        }
        if progress != StepProgress::default() {
            record.steps.insert(progress_key(&step.name), progress);
        }
    }
    record
}
