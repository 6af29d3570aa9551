//! Jobs: what runs, how often, in which order, and what callers are shown.

use cassiahoist_core::prelude::*;
use rustc_hash::{FxHashMap, FxHashSet};

use super::{Check, Promise, Violation};
use crate::trace::Fact;
use crate::workload::{MAX_ATTEMPTS, Truth};

/// Time after a cancelling in which starts are still allowed, in milliseconds.
const CANCEL_MS: u64 = 3_000;

/// Jobs and tasks as callers and hosts saw them.
#[derive(Debug, Default)]
pub(super) struct JobCheck {
    /// Runs under way, by task.
    running: FxHashMap<String, FxHashSet<(HostName, u64)>>,
    /// Ends on each host's life that were not recorded yet: number, task, ending.
    unrecorded: FxHashMap<HostName, Vec<(u64, String, &'static str)>>,
    ends: FxHashMap<HostName, u64>,
    lives: FxHashMap<HostName, u64>,
    done: FxHashSet<String>,
    done_and_recorded: FxHashMap<String, u64>,
    failures: FxHashMap<String, u32>,
    /// Failed runs by task, and by step for gangs, recorded or not.
    failed_runs: FxHashMap<String, FxHashSet<u64>>,
    cancelled: FxHashMap<JobId, u64>,
    cancel_sent: FxHashSet<JobId>,
    accepted: FxHashMap<JobId, u64>,
    refused: FxHashSet<JobId>,
    started: FxHashSet<JobId>,
    completed: FxHashSet<JobId>,
    found: Vec<Violation>,
}

impl Check for JobCheck {
    fn read(&mut self, at_ms: u64, fact: &Fact, truth: &Truth, found: &mut Vec<Violation>) {
        self.read_fact(at_ms, fact, truth);
        found.append(&mut self.found);
    }
}

impl JobCheck {
    fn blame(&mut self, promise: Promise, at_ms: u64, detail: String) {
        self.found.push(Violation::new(promise, at_ms, detail));
    }

    fn read_fact(&mut self, at_ms: u64, fact: &Fact, truth: &Truth) {
        match fact {
            Fact::Submitted { job, status } => match status {
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
                    // The job may run: this attempt was not refused.
                    self.accepted.entry(*job).or_insert(u64::MAX);
                    self.refused.remove(job);
                }
            },
            Fact::CancelSent { job } => {
                self.cancel_sent.insert(*job);
            }
            Fact::Cancelled { job, status } => {
                if (200..300).contains(status) {
                    self.cancelled.entry(*job).or_insert(at_ms);
                }
            }
            Fact::Shown { job, status, state } => self.read_shown(at_ms, *job, *status, state, truth),
            Fact::Started { task, run, host, taken, capacity, born } => {
                if self.lives.insert(host.clone(), *born) != Some(*born) {
                    self.unrecorded.remove(host);
                    self.ends.remove(host);
                }
                if !taken.fits_within(capacity) {
                    self.blame(Promise::Limit, at_ms, format!("{host} has {capacity:?}, taken {taken:?}"));
                }
                self.read_start(at_ms, task, *run, host, truth);
            }
            Fact::Ended { task, run, host, how } => self.read_end(at_ms, task, *run, host, how),
            Fact::Seen { host, born, seen } => self.read_seen(at_ms, host, *born, *seen),
            Fact::Configured { .. }
            | Fact::Registered { .. }
            | Fact::Ordered { .. }
            | Fact::Probed { .. } => {}
        }
    }

    fn read_start(&mut self, at_ms: u64, task: &str, run: u64, host: &HostName, truth: &Truth) {
        let Ok(name) = task.parse::<TaskName>() else { return };
        let job = name.step.job;
        self.started.insert(job);
        let others = self.running.entry(task.into()).or_default();
        if !others.is_empty() {
            let detail = format!("{task} run {run} on {host} beside {others:?}");
            self.found.push(Violation::new(Promise::Twice, at_ms, detail));
        }
        others.insert((host.clone(), run));
        let lasting = truth.of(task).is_some_and(|truth| truth.lasting);
        if !lasting && let Some(noted_ms) = self.done_and_recorded.get(task) {
            let detail = format!("{task} run {run} on {host} after its end was recorded at {noted_ms}");
            self.blame(Promise::Twice, at_ms, detail);
        }
        let Some(known) = truth.jobs.get(&job) else {
            return self.blame(Promise::Unasked, at_ms, format!("{task} belongs to no job"));
        };
        if let Some(step) = known.steps.get(usize::from(name.step.step)) {
            for after in &step.after {
                let earlier = known.steps.get(usize::from(*after)).map_or(0, |step| step.tasks);
                let step_name = StepName { step: *after, ..name.step };
                let gang = known.steps.get(usize::from(*after)).is_some_and(|step| step.task.gang);
                let mut ends = (0..earlier).map(|index| self.done.contains(&format!("{step_name}.{index}")));
                let clear = if gang { ends.any(|done| done) } else { ends.all(|done| done) };
                if !clear {
                    let detail = format!("{task} before step {after} was done");
                    self.blame(Promise::Order, at_ms, detail);
                    break;
                }
            }
        }
        if !lasting && self.failures.get(task).copied().unwrap_or_default() >= MAX_ATTEMPTS {
            self.blame(Promise::Budget, at_ms, format!("{task} run {run}"));
        }
        if let Some(cancelled_ms) = self.cancelled.get(&job)
            && at_ms > cancelled_ms + CANCEL_MS
        {
            self.blame(Promise::Unasked, at_ms, format!("{task} after its cancelling at {cancelled_ms}"));
        }
    }

    fn read_end(&mut self, at_ms: u64, task: &str, run: u64, host: &HostName, how: &'static str) {
        if let Some(running) = self.running.get_mut(task) {
            running.remove(&(host.clone(), run));
        }
        if how == "crash" {
            return;
        }
        let number = self.ends.entry(host.clone()).or_default();
        *number += 1;
        let number = *number;
        self.unrecorded.entry(host.clone()).or_default().push((number, task.into(), how));
        if how == "done" {
            self.done.insert(task.into());
        }
        if how == "failed" {
            self.failed_runs.entry(task.into()).or_default().insert(run);
            if let Some((step, _)) = task.rsplit_once('.') {
                self.failed_runs.entry(step.into()).or_default().insert(run);
            }
        }
        if how == "alone" {
            self.blame(Promise::Gang, at_ms, format!("{task} run {run} on {host} waited for the others"));
        }
    }

    fn read_seen(&mut self, at_ms: u64, host: &HostName, born: u64, seen: u64) {
        if self.lives.insert(host.clone(), born) != Some(born) {
            self.unrecorded.remove(host);
            self.ends.remove(host);
        }
        let Some(rows) = self.unrecorded.get_mut(host) else { return };
        for (_, task, how) in rows.extract_if(.., |(number, ..)| *number <= seen) {
            if how == "done" {
                self.done_and_recorded.entry(task).or_insert(at_ms);
            } else if how == "failed" {
                *self.failures.entry(task).or_default() += 1;
            }
        }
    }

    fn read_shown(&mut self, at_ms: u64, job: JobId, status: u16, state: &str, truth: &Truth) {
        let Some(known) = truth.jobs.get(&job) else { return };
        let cancelled = self.cancel_sent.contains(&job);
        if status == 410 && self.accepted.get(&job).is_some_and(|ms| *ms < at_ms) && !cancelled {
            self.blame(Promise::Lost, at_ms, format!("{job} is not known"));
        }
        match state {
            "completed" => {
                self.completed.insert(job);
                let undone = known.steps.iter().enumerate().find(|(number, step)| {
                    let name = StepName { job, occurrence: 0, step: *number as u16 };
                    let mut ends =
                        (0..step.tasks).map(|index| self.done.contains(&format!("{name}.{index}")));
                    if step.task.gang { !ends.any(|done| done) } else { !ends.all(|done| done) }
                });
                if let Some((number, _)) = undone {
                    self.blame(Promise::Mixed, at_ms, format!("{job} completed before step {number}"));
                }
            }
            "failed" if known.is_doable() && !self.may_have_failed(job, truth) => {
                self.blame(Promise::Lost, at_ms, format!("{job} failed without cause"));
            }
            "cancelled" if !cancelled => {
                self.blame(Promise::Lost, at_ms, format!("{job} cancelled without cause"));
            }
            _ => {}
        }
    }

    /// Tells whether a task or a gang of the job has failed as often as the queue allows.
    fn may_have_failed(&self, job: JobId, truth: &Truth) -> bool {
        let Some(known) = truth.jobs.get(&job) else { return false };
        known.steps.iter().enumerate().any(|(number, step)| {
            let name = StepName { job, occurrence: 0, step: number as u16 };
            let often = |unit: &String| {
                self.failed_runs.get(unit).is_some_and(|runs| runs.len() >= MAX_ATTEMPTS as usize)
            };
            if step.task.gang {
                often(&name.to_string())
            } else {
                (0..step.tasks).any(|index| often(&format!("{name}.{index}")))
            }
        })
    }

    pub(super) fn finish(mut self, at_ms: u64, truth: &Truth, found: &mut Vec<Violation>) {
        for job in &self.refused {
            if self.started.contains(job) {
                let detail = format!("{job} ran though every attempt was refused");
                self.found.push(Violation::new(Promise::Refused, at_ms, detail));
            }
        }
        for (job, since_ms) in &self.accepted {
            let Some(known) = truth.jobs.get(job) else { continue };
            let owed = *since_ms < u64::MAX
                && known.is_doable()
                && !known.lasts()
                && !self.cancel_sent.contains(job)
                && !self.may_have_failed(*job, truth);
            if owed && !self.completed.contains(job) {
                let detail = format!("{job} accepted at {since_ms} is not completed");
                self.found.push(Violation::new(Promise::Lost, at_ms, detail));
            }
        }
        found.append(&mut self.found);
    }
}
