//! Turns a job record into rows, and rows into a progress record.

use std::collections::BTreeMap;
use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_runs::{JobEnd, end_job, open_begun_occurrences, open_due_occurrences};
use cassiahoist_world::delays::{DelayPart, JobDelays};
use cassiahoist_world::jobs::{Job, JobKey, TaskState};
use cassiahoist_world::occurrences::OccurrenceSet;
use cassiahoist_world::order_of_work::JobTarget;
use cassiahoist_world::prelude::*;
use cassiahoist_world::record::{
    FailureReason, JobFailure, JobRecord, JobState, ProgressRecord, StepProgress,
};
use cassiahoist_world::run_times::TaskShape;
use cassiahoist_world::spec::{JobSpec, StepSpec};
use rustc_hash::FxHashMap;

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

/// Inserts a job, and the steps and tasks of its occurrences that are due.
///
/// `inherited` is `None` for a job that no earlier holder can have started. A job that is already final gets no
/// steps, and one beyond the bounds of [`JobSpec::check_bounds`], which an earlier version accepted, fails.
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
    let is_open = !progress.state.is_final();
    let (done_occurrences, unopened_progress) = if is_open {
        sort_progress(&record.spec, progress.done_occurrences, progress.steps)
    } else {
        (OccurrenceSet::default(), BTreeMap::new())
    };
    let account = world.account_usage.key_of(record.account.as_ref());
    let key = world.jobs.insert(Job {
        record: Arc::clone(record),
        account,
        state: progress.state,
        recorded_state: progress.state,
        open_occurrences: BTreeMap::new(),
        open_task_count: 0,
        done_occurrences,
        next_occurrence: 0,
        unopened_progress,
        first_run_number,
        next_due_unix_ms: None,
        inherited: is_inherited,
        progress_revision: revision,
        added_at_ms: now_ms,
        target: job_target(world, record),
        delays: hand_in_delay(world, record, is_inherited),
        completed_late_at_ms: None,
        ended_unix_ms: progress.ended_unix_ms,
        failure: progress.failure,
        crash_changes: 0,
        recorded_crash_changes: 0,
    });
    if !is_open {
        return key;
    }
    if record.spec.check_bounds().is_err() {
        let step = StepName { job: record.id, occurrence: 0, index: 0 };
        let task = TaskName { step, index: 0 };
        let failure = JobFailure { reason: FailureReason::ExceedsBounds, task, crashed_hosts: Vec::new() };
        end_job(world, key, JobEnd::Failed(failure), now_ms);
    } else if world.jobs.get(key).is_some_and(Job::is_done) {
        end_job(world, key, JobEnd::Completed, now_ms);
    } else {
        open_begun_occurrences(world, key, now_ms);
        open_due_occurrences(world, key, now_ms);
    }
    key
}

/// Computes the target of a job from the expected run times of its tasks.
fn job_target(world: &World, record: &JobRecord) -> JobTarget {
    let expected_run_ms = |spec: &StepSpec| {
        let shape = TaskShape { queue: &record.policy.queue, account: record.account.as_ref(), spec };
        world.run_times.estimate(&shape, None).median_ms
    };
    JobTarget::of_job(record, expected_run_ms)
}

/// Returns the time from the acceptance of a job to its arrival here; an inherited job has none.
fn hand_in_delay(world: &World, record: &JobRecord, is_inherited: bool) -> JobDelays {
    let mut delays = JobDelays::default();
    if !is_inherited {
        delays.add(DelayPart::HandIn, world.local.unix_ms.saturating_sub(record.accepted_unix_ms));
    }
    delays
}

/// Recorded progress of steps, by occurrence and index.
type ProgressByStep = BTreeMap<(u32, u16), StepProgress>;

/// Separates the occurrences that are done from the recorded progress of the others.
///
/// Earlier versions list each step of a done occurrence.
fn sort_progress(
    spec: &JobSpec,
    mut done: OccurrenceSet,
    steps: FxHashMap<String, StepProgress>,
) -> (OccurrenceSet, ProgressByStep) {
    let read_key = |key: &str| {
        let (occurrence, index) = key.split_once('.')?;
        Some((occurrence.parse::<u32>().ok()?, index.parse::<u16>().ok()?))
    };
    let mut progress: ProgressByStep =
        steps.into_iter().filter_map(|(key, progress)| Some((read_key(&key)?, progress))).collect();
    let mut done_steps: BTreeMap<u32, usize> = BTreeMap::new();
    for ((occurrence, index), step_progress) in &progress {
        let step = spec.steps.get(usize::from(*index));
        if step.is_some_and(|step| step_progress.are_done(step.task_count)) {
            *done_steps.entry(*occurrence).or_default() += 1;
        }
    }
    for (occurrence, done_count) in done_steps {
        if done_count == spec.steps.len() && occurrence < spec.occurrence_count() {
            done.insert(occurrence);
        }
    }
    progress.retain(|(occurrence, _), _| !done.contains(*occurrence));
    (done, progress)
}

/// Returns the key of a step within its job's progress record.
fn progress_key(occurrence: u32, index: u16) -> String {
    format!("{occurrence}.{index}")
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
    record.done_occurrences = job.done_occurrences.clone();
    let unopened = job.unopened_progress.iter();
    record.steps = unopened
        .map(|((occurrence, index), step)| (progress_key(*occurrence, *index), step.clone()))
        .collect();
    for step in job.steps().filter_map(|key| world.jobs.steps.get(key)) {
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
            record.steps.insert(progress_key(step.name.occurrence, step.name.index), progress);
        }
    }
    record
}
