//! Where tasks start: pools, labels, limits per host, and hosts that leave.

use cassiahoist_core::prelude::*;
use rustc_hash::{FxHashMap, FxHashSet};

use super::{Check, Promise, Violation};
use crate::trace::{Fact, HostView};
use crate::workload::Truth;

/// Time after a host says that it leaves in which it may still get work, in milliseconds.
const DRAIN_MS: u64 = 2_000;

/// Hosts as they were last registered, and what runs on them.
#[derive(Debug, Default)]
pub(super) struct PlaceCheck {
    hosts: FxHashMap<HostName, HostView>,
    leaving_since_ms: FxHashMap<HostName, u64>,
    versions: FxHashSet<u64>,
    running: FxHashMap<(HostName, StepName), FxHashSet<u32>>,
}

impl Check for PlaceCheck {
    fn read(&mut self, at_ms: u64, fact: &Fact, truth: &Truth, found: &mut Vec<Violation>) {
        match fact {
            Fact::Configured { version } => {
                self.versions.insert(*version);
            }
            Fact::Registered { host, view } => {
                if view.leaving {
                    self.leaving_since_ms.entry(host.clone()).or_insert(at_ms);
                } else {
                    self.leaving_since_ms.remove(host);
                }
                self.hosts.insert(host.clone(), view.clone());
            }
            Fact::Started { task, host, .. } => {
                if let Ok(name) = task.parse() {
                    self.read_start(at_ms, name, host, truth, found);
                }
            }
            Fact::Ended { task, host, .. } => {
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

impl PlaceCheck {
    fn read_start(
        &mut self,
        at_ms: u64,
        name: TaskName,
        host: &HostName,
        truth: &Truth,
        found: &mut Vec<Violation>,
    ) {
        let running = self.running.entry((host.clone(), name.step)).or_default();
        running.insert(name.index);
        let count = running.len();
        let Some(job) = truth.jobs.get(&name.step.job) else { return };
        let Some(step) = job.steps.get(usize::from(name.step.step)) else { return };
        let mut blame = |detail: String| found.push(Violation::new(Promise::Route, at_ms, detail));
        if step.max_per_host.is_some_and(|limit| count > limit as usize) {
            blame(format!("{name} is one of {count} tasks of its step on {host}"));
        }
        let Some(view) = self.hosts.get(host) else { return };
        if let Some(label) = step.required_label
            && view.label != label
        {
            blame(format!("{name} on {host} without label {label}"));
        }
        if !self.versions.iter().any(|version| truth.workload.pool(job.queue, *version) == view.pool) {
            blame(format!("{name} on {host} of pool {}", view.pool));
        }
        if let Some(since_ms) = self.leaving_since_ms.get(host)
            && at_ms > since_ms + DRAIN_MS
        {
            let detail = format!("{name} on {host}, which has been leaving since {since_ms}");
            found.push(Violation::new(Promise::Drain, at_ms, detail).in_touch());
        }
    }
}
