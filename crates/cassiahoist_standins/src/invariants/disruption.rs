//! Checks that steps that run until cancelled keep within their disruption budgets.

use cassiahoist_core::prelude::*;
use rustc_hash::{FxHashMap, FxHashSet};

use super::{Invariant, InvariantCheck, Violation};
use crate::trace::{HostState, Observation};
use crate::workload::GroundTruth;

/// Time after which any absence counts against the budget, in milliseconds.
const ABSENCE_GRACE_MS: u64 = 4_500;

/// Start of an absence, and whether the scheduler ended the run.
#[derive(Clone, Copy, Debug)]
struct Absence {
    since_ms: u64,
    caused_by_scheduler: bool,
}

/// Tasks without a run, of steps that run until cancelled.
#[derive(Debug, Default)]
pub(super) struct DisruptionCheck {
    hosts: FxHashMap<HostName, HostState>,
    absent: FxHashMap<TaskName, Absence>,
    cancelled: FxHashSet<JobId>,
}

impl InvariantCheck for DisruptionCheck {
    fn observe(
        &mut self,
        at_ms: u64,
        observation: &Observation,
        ground_truth: &GroundTruth,
        violations: &mut Vec<Violation>,
    ) {
        match observation {
            Observation::CancelRequested { job } => {
                self.cancelled.insert(*job);
            }
            Observation::HostRegistered { host, state } => {
                self.hosts.insert(host.clone(), state.clone());
            }
            Observation::RunStarted { task, .. } => {
                if let Ok(name) = task.parse::<TaskName>() {
                    self.absent.remove(&name);
                }
            }
            Observation::RunEnded { task, host, ending, .. } => {
                if let Ok(name) = task.parse() {
                    self.check_end(at_ms, name, host, ending, ground_truth, violations);
                }
            }
            _ => {}
        }
    }
}

impl DisruptionCheck {
    fn check_end(
        &mut self,
        at_ms: u64,
        name: TaskName,
        host: &HostName,
        ending: &str,
        ground_truth: &GroundTruth,
        violations: &mut Vec<Violation>,
    ) {
        let job = ground_truth.jobs.get(&name.step.job);
        let Some(step) = job.and_then(|job| job.steps.get(usize::from(name.step.index))) else { return };
        let Some(budget) = step.disruption_budget else { return };
        let healthy = self.hosts.get(host).is_some_and(|state| state.healthy && !state.draining);
        let caused_by_scheduler = matches!(ending, "stopped" | "lapsed") && healthy;
        if caused_by_scheduler && !self.cancelled.contains(&name.step.job) {
            let absent_tasks = self.absent.iter().filter(|(other, absence)| {
                other.step == name.step
                    && (absence.caused_by_scheduler || at_ms >= absence.since_ms + ABSENCE_GRACE_MS)
            });
            let count = absent_tasks.count();
            if count >= budget as usize {
                let detail =
                    format!("{name} {ending} on {host} while {count} other tasks of its step were absent");
                violations.push(
                    Violation::new(Invariant::DisruptionBudget, at_ms, detail).only_without_recent_fault(),
                );
            }
        }
        self.absent.insert(name, Absence { since_ms: at_ms, caused_by_scheduler });
    }
}
