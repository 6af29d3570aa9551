//! Checks runs, attempts and order of steps, and the states that callers receive.

use cassiahoist_core::prelude::*;
use rustc_hash::{FxHashMap, FxHashSet};

use super::{Invariant, InvariantCheck, Violation};
use crate::sim::is_cancel_confirmed;
use crate::trace::Observation;
use crate::workload::{GroundTruth, MAX_ATTEMPTS};

/// Time after a confirmed cancellation during which starts are still allowed, in milliseconds.
const CANCEL_GRACE_MS: u64 = 3_000;

/// Time after a cut until daemons on its island count as in touch again, in milliseconds.
///
/// Until then they may start tasks of jobs whose cancellation they can't know.
const OUT_OF_TOUCH_MS: u64 = 3_000;

/// Time after a recorded end during which a copy of the task may still start, in milliseconds.
const COPY_GRACE_MS: u64 = 1_000;

/// Number of hosts that have to crash under a task before its job may be given up.
const MIN_CRASHES: u32 = 2;

/// Number of crashes of hosts under a task after which its starts are counted.
const MAX_CRASHES: u32 = 3;

/// Number of starts of a task, after so many crashes, that is too great.
const MAX_STARTS_AFTER_CRASHES: u32 = 3;

/// State of jobs and tasks as callers and hosts observed it.
#[derive(Debug, Default)]
pub(super) struct JobCheck {
    /// Present runs by task.
    running: FxHashMap<String, FxHashSet<(HostName, u64)>>,
    /// Ends not recorded yet, by host incarnation: number of the end, task, ending.
    unrecorded: FxHashMap<HostName, Vec<(u64, String, &'static str)>>,
    /// Number of ends so far, by host incarnation.
    ends: FxHashMap<HostName, u64>,
    /// Start of each host's incarnation, in milliseconds since the epoch.
    host_incarnations: FxHashMap<HostName, u64>,
    /// Tasks that completed on some host.
    done: FxHashSet<String>,
    /// Tasks whose completion is recorded, with the time in milliseconds.
    ///
    /// It is the time at which their host was notified of the record.
    done_and_recorded: FxHashMap<String, u64>,
    /// Number of recorded failed runs by task.
    failures: FxHashMap<String, u32>,
    /// Failed runs by task, and by step for gangs, whether recorded or not.
    failed_runs: FxHashMap<String, FxHashSet<u64>>,
    /// Time of the first confirmed cancellation, in milliseconds.
    cancelled: FxHashMap<JobId, u64>,
    cancel_sent: FxHashSet<JobId>,
    /// Hosts that were cut off together with daemons, each with the time until which it counts so, in milliseconds.
    out_of_touch_until_ms: FxHashMap<HostName, u64>,
    /// Time of acceptance in milliseconds; `u64::MAX` while only attempts with unknown outcome were made.
    accepted: FxHashMap<JobId, u64>,
    /// Jobs whose every attempt so far was refused.
    refused: FxHashSet<JobId>,
    started: FxHashSet<JobId>,
    completed: FxHashSet<JobId>,
    /// Hosts that crashed under a task that crashes its hosts, and starts of the task after the limit, by task.
    crashes: FxHashMap<String, (u32, u32)>,
    violations: Vec<Violation>,
}

impl InvariantCheck for JobCheck {
    fn observe(
        &mut self,
        at_ms: u64,
        observation: &Observation,
        ground_truth: &GroundTruth,
        violations: &mut Vec<Violation>,
    ) {
        self.check_observation(at_ms, observation, ground_truth);
        violations.append(&mut self.violations);
    }
}

impl JobCheck {
    fn report(&mut self, invariant: Invariant, at_ms: u64, detail: String) {
        self.violations.push(Violation::new(invariant, at_ms, detail));
    }

    fn check_observation(&mut self, at_ms: u64, observation: &Observation, ground_truth: &GroundTruth) {
        match observation {
            Observation::JobSubmitted { job, status } => match status {
                200..=299 => {
                    self.accepted.entry(*job).or_insert(at_ms);
                    self.refused.remove(job);
                }
                429 | 503 => {
                    if !self.accepted.contains_key(job) {
                        self.refused.insert(*job);
                    }
                }
                _ => {
                    // The job may run, since the outcome of this attempt is unknown.
                    self.accepted.entry(*job).or_insert(u64::MAX);
                    self.refused.remove(job);
                }
            },
            Observation::CancelRequested { job } => {
                self.cancel_sent.insert(*job);
            }
            Observation::CancelAnswered { job, status } => {
                if is_cancel_confirmed(*status) {
                    self.cancelled.entry(*job).or_insert(at_ms);
                }
            }
            Observation::HostsCutOff { hosts, until_ms } => {
                for host in hosts {
                    let out_of_touch_until_ms = self.out_of_touch_until_ms.entry(host.clone()).or_default();
                    *out_of_touch_until_ms = (*out_of_touch_until_ms).max(until_ms + OUT_OF_TOUCH_MS);
                }
            }
            Observation::StateAnswered { job, status, state } => {
                self.check_state(at_ms, *job, *status, state, ground_truth);
            }
            Observation::RunStarted { task, run, host, total_reserved, capacity, host_started_unix_ms } => {
                if self.host_incarnations.insert(host.clone(), *host_started_unix_ms)
                    != Some(*host_started_unix_ms)
                {
                    self.unrecorded.remove(host);
                    self.ends.remove(host);
                }
                if !total_reserved.fits_within(capacity) {
                    self.report(
                        Invariant::HostCapacity,
                        at_ms,
                        format!("{host} has {capacity:?}, its runs reserve {total_reserved:?}"),
                    );
                }
                self.check_start(at_ms, task, *run, host, ground_truth);
            }
            Observation::RunEnded { task, run, host, ending } => {
                self.check_end(at_ms, task, *run, host, ending, ground_truth);
            }
            Observation::EndsRecorded { host, host_started_unix_ms, recorded_up_to } => {
                self.record_ends(at_ms, host, *host_started_unix_ms, *recorded_up_to);
            }
            Observation::ConfigWritten { .. }
            | Observation::HostRegistered { .. }
            | Observation::OrderAccepted { .. }
            | Observation::StartRelayed { .. }
            | Observation::OrderUnanswered { .. }
            | Observation::HostUnresponsive { .. }
            | Observation::QueueProbed { .. } => {}
        }
    }

    fn check_start(&mut self, at_ms: u64, task: &str, run: u64, host: &HostName, ground_truth: &GroundTruth) {
        let Ok(name) = task.parse::<TaskName>() else { return };
        let job = name.step.job;
        self.started.insert(job);
        self.check_crashes(at_ms, task, host);
        let allows_copies = ground_truth.allows_copies(&name);
        let concurrent_runs = self.running.entry(task.into()).or_default();
        if !concurrent_runs.is_empty() && !allows_copies {
            let detail = format!("{task} run {run} on {host} started during {concurrent_runs:?}");
            self.violations.push(Violation::new(Invariant::SingleRun, at_ms, detail));
        }
        concurrent_runs.insert((host.clone(), run));
        let runs_until_cancelled =
            ground_truth.find_task(task).is_some_and(|actual| actual.runs_until_cancelled);
        let grace_ms = if allows_copies { COPY_GRACE_MS } else { 0 };
        if !runs_until_cancelled
            && let Some(recorded_ms) = self.done_and_recorded.get(task)
            && at_ms >= recorded_ms + grace_ms
        {
            let detail = format!(
                "{task} run {run} on {host} started after its completion was recorded at {recorded_ms} ms"
            );
            self.report(Invariant::SingleRun, at_ms, detail);
        }
        let Some(submitted_job) = ground_truth.jobs.get(&job) else {
            return self.report(
                Invariant::RequestedRuns,
                at_ms,
                format!("{task} belongs to no submitted job"),
            );
        };
        if let Some(step) = submitted_job.steps.get(usize::from(name.step.index)) {
            for after in &step.after {
                let task_count = submitted_job.steps.get(usize::from(*after)).map_or(0, |step| step.tasks);
                let step_name = StepName { index: *after, ..name.step };
                let gang = submitted_job.steps.get(usize::from(*after)).is_some_and(|step| step.task.gang);
                let mut tasks_done =
                    (0..task_count).map(|index| self.done.contains(&format!("{step_name}.{index}")));
                let predecessors_done =
                    if gang { tasks_done.any(|done| done) } else { tasks_done.all(|done| done) };
                if !predecessors_done {
                    let detail = format!("{task} started before step {after} completed");
                    self.report(Invariant::StepOrder, at_ms, detail);
                    break;
                }
            }
        }
        let failures = self.failures.get(task).copied().unwrap_or_default();
        if !runs_until_cancelled && !allows_copies && failures >= MAX_ATTEMPTS {
            self.report(
                Invariant::AttemptLimit,
                at_ms,
                format!("{task} run {run} started although its attempts were used up"),
            );
        }
        if let Some(cancelled_ms) = self.cancelled.get(&job)
            && at_ms > cancelled_ms + CANCEL_GRACE_MS
            && self.out_of_touch_until_ms.get(host).is_none_or(|until_ms| at_ms >= *until_ms)
        {
            self.report(
                Invariant::RequestedRuns,
                at_ms,
                format!("{task} started after its cancellation at {cancelled_ms} ms"),
            );
        }
    }

    /// Counts a start after too many crashes of hosts under the task.
    fn check_crashes(&mut self, at_ms: u64, task: &str, host: &HostName) {
        let Some((crashes, starts)) = self.crashes.get_mut(task) else { return };
        if *crashes < MAX_CRASHES {
            return;
        }
        *starts += 1;
        if *starts >= MAX_STARTS_AFTER_CRASHES {
            let detail = format!("{task} started on {host} after {crashes} hosts had crashed under it");
            self.report(Invariant::CrashLimit, at_ms, detail);
        }
    }

    fn check_end(
        &mut self,
        at_ms: u64,
        task: &str,
        run: u64,
        host: &HostName,
        ending: &'static str,
        ground_truth: &GroundTruth,
    ) {
        if let Some(running) = self.running.get_mut(task) {
            running.remove(&(host.clone(), run));
        }
        if ending == "crash" {
            if ground_truth.find_task(task).is_some_and(|actual| actual.crashes_hosts) {
                self.crashes.entry(task.into()).or_default().0 += 1;
            }
            return;
        }
        let number = self.ends.entry(host.clone()).or_default();
        *number += 1;
        let number = *number;
        self.unrecorded.entry(host.clone()).or_default().push((number, task.into(), ending));
        if ending == "done" {
            self.done.insert(task.into());
        }
        if ending == "failed" {
            self.failed_runs.entry(task.into()).or_default().insert(run);
            if let Some((step, _)) = task.rsplit_once('.') {
                self.failed_runs.entry(step.into()).or_default().insert(run);
            }
        }
        if ending == "alone" {
            self.report(
                Invariant::GangStart,
                at_ms,
                format!("{task} run {run} on {host} timed out waiting for the other gang members"),
            );
        }
    }

    fn record_ends(&mut self, at_ms: u64, host: &HostName, host_started_unix_ms: u64, recorded_up_to: u64) {
        if self.host_incarnations.insert(host.clone(), host_started_unix_ms) != Some(host_started_unix_ms) {
            self.unrecorded.remove(host);
            self.ends.remove(host);
        }
        let Some(unrecorded) = self.unrecorded.get_mut(host) else { return };
        for (_, task, ending) in unrecorded.extract_if(.., |(number, ..)| *number <= recorded_up_to) {
            if ending == "done" {
                self.done_and_recorded.entry(task).or_insert(at_ms);
            } else if ending == "failed" {
                *self.failures.entry(task).or_default() += 1;
            }
        }
    }

    fn check_state(&mut self, at_ms: u64, job: JobId, status: u16, state: &str, ground_truth: &GroundTruth) {
        let Some(submitted_job) = ground_truth.jobs.get(&job) else { return };
        let cancelled = self.cancel_sent.contains(&job);
        if status == 410 && self.accepted.get(&job).is_some_and(|ms| *ms < at_ms) && !cancelled {
            self.report(Invariant::JobCompletion, at_ms, format!("{job} is accepted but unknown"));
        }
        match state {
            "completed" => {
                self.completed.insert(job);
                let incomplete = submitted_job.steps.iter().enumerate().find(|(number, step)| {
                    let name = StepName { job, occurrence: 0, index: *number as u16 };
                    let mut tasks_done =
                        (0..step.tasks).map(|index| self.done.contains(&format!("{name}.{index}")));
                    if step.task.gang { !tasks_done.any(|done| done) } else { !tasks_done.all(|done| done) }
                });
                if let Some((number, _)) = incomplete {
                    self.report(
                        Invariant::ReportedState,
                        at_ms,
                        format!("{job} reported as completed before step {number}"),
                    );
                }
            }
            "failed"
                if !submitted_job.steps.iter().any(|step| step.task.fails)
                    && !self.may_have_exhausted_attempts(job, ground_truth)
                    && !self.has_crashed_hosts(job) =>
            {
                self.report(
                    Invariant::JobCompletion,
                    at_ms,
                    format!("{job} reported as failed without cause"),
                );
            }
            "cancelled" if !cancelled => {
                self.report(
                    Invariant::JobCompletion,
                    at_ms,
                    format!("{job} reported as cancelled without a request"),
                );
            }
            _ => {}
        }
    }

    /// Returns whether so many hosts have crashed under one of a job's tasks that the job may be given up.
    fn has_crashed_hosts(&self, job: JobId) -> bool {
        let prefix = format!("{job}.");
        self.crashes.iter().any(|(task, (crashes, _))| task.starts_with(&prefix) && *crashes >= MIN_CRASHES)
    }

    /// Returns whether a task or gang may have used up its attempts.
    fn may_have_exhausted_attempts(&self, job: JobId, ground_truth: &GroundTruth) -> bool {
        let Some(submitted_job) = ground_truth.jobs.get(&job) else { return false };
        submitted_job.steps.iter().enumerate().any(|(number, step)| {
            let name = StepName { job, occurrence: 0, index: number as u16 };
            let attempts_exhausted = |unit: &String| {
                self.failed_runs.get(unit).is_some_and(|runs| runs.len() >= MAX_ATTEMPTS as usize)
            };
            if step.task.gang {
                attempts_exhausted(&name.to_string())
            } else {
                (0..step.tasks).any(|index| attempts_exhausted(&format!("{name}.{index}")))
            }
        })
    }

    pub(super) fn finish(mut self, at_ms: u64, ground_truth: &GroundTruth, violations: &mut Vec<Violation>) {
        for job in &self.refused {
            if self.started.contains(job) {
                let detail = format!("{job} ran although every submission was refused");
                self.violations.push(Violation::new(Invariant::RefusedJobs, at_ms, detail));
            }
        }
        for (job, since_ms) in &self.accepted {
            let Some(submitted_job) = ground_truth.jobs.get(job) else { continue };
            let must_complete = *since_ms < u64::MAX
                && submitted_job.can_complete()
                && !submitted_job.runs_until_cancelled()
                && !self.cancel_sent.contains(job)
                && !self.may_have_exhausted_attempts(*job, ground_truth);
            if must_complete && !self.completed.contains(job) {
                let detail = format!("{job} accepted at {since_ms} ms has not completed");
                self.violations.push(Violation::new(Invariant::JobCompletion, at_ms, detail));
            }
        }
        violations.append(&mut self.violations);
    }
}
