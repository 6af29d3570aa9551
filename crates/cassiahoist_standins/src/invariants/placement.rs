//! Checks on which hosts tasks start: pools, labels, limits per host and draining.

use cassiahoist_core::prelude::*;
use rustc_hash::{FxHashMap, FxHashSet};

use super::{Invariant, InvariantCheck, Violation};
use crate::trace::{HostState, Observation};
use crate::workload::GroundTruth;

/// Time for which a draining host may still get tasks, in milliseconds.
const DRAIN_GRACE_MS: u64 = 2_000;

/// Hosts by their latest registration, and the tasks that run on them.
#[derive(Debug, Default)]
pub(super) struct PlacementCheck {
    hosts: FxHashMap<HostName, HostState>,
    draining_since_ms: FxHashMap<HostName, u64>,
    versions: FxHashSet<u64>,
    running: FxHashMap<(HostName, StepName), FxHashSet<u32>>,
}

impl InvariantCheck for PlacementCheck {
    fn observe(
        &mut self,
        at_ms: u64,
        observation: &Observation,
        ground_truth: &GroundTruth,
        violations: &mut Vec<Violation>,
    ) {
        match observation {
            Observation::ConfigWritten { version } => {
                self.versions.insert(*version);
            }
            Observation::HostRegistered { host, state } => {
                if state.draining {
                    self.draining_since_ms.entry(host.clone()).or_insert(at_ms);
                } else {
                    self.draining_since_ms.remove(host);
                }
                self.hosts.insert(host.clone(), state.clone());
            }
            Observation::RunStarted { task, host, .. } => {
                if let Ok(name) = task.parse() {
                    self.check_start(at_ms, name, host, ground_truth, violations);
                }
            }
            Observation::RunEnded { task, host, .. } => {
                if let Ok(name) = task.parse::<TaskName>()
                    && let Some(running) = self.running.get_mut(&(host.clone(), name.step))
                {
                    running.remove(&name.index);
                }
            }
            _ => {}
        }
    }
}

impl PlacementCheck {
    fn check_start(
        &mut self,
        at_ms: u64,
        name: TaskName,
        host: &HostName,
        ground_truth: &GroundTruth,
        violations: &mut Vec<Violation>,
    ) {
        let running = self.running.entry((host.clone(), name.step)).or_default();
        running.insert(name.index);
        let count = running.len();
        let Some(job) = ground_truth.jobs.get(&name.step.job) else { return };
        let Some(step) = job.steps.get(usize::from(name.step.index)) else { return };
        let mut report =
            |detail: String| violations.push(Violation::new(Invariant::PlacementConstraints, at_ms, detail));
        if step.max_per_host.is_some_and(|limit| count > limit as usize) {
            report(format!("{name} is one of {count} tasks of its step on {host}, above the limit"));
        }
        let Some(state) = self.hosts.get(host) else { return };
        if let Some(label) = step.required_label
            && state.label != label
        {
            report(format!("{name} started on {host}, which lacks label {label}"));
        }
        if !self.versions.iter().any(|version| ground_truth.workload.pool(job.queue, *version) == state.pool)
        {
            report(format!("{name} started on {host} of pool {}", state.pool));
        }
        if let Some(since_ms) = self.draining_since_ms.get(host)
            && at_ms > since_ms + DRAIN_GRACE_MS
        {
            let detail = format!("{name} started on {host}, which has been draining since {since_ms} ms");
            violations.push(Violation::new(Invariant::HostDrain, at_ms, detail).only_without_recent_fault());
        }
    }
}
