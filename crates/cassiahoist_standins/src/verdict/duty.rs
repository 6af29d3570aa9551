//! Lasting steps: how many of their tasks may be away by the scheduler's doing.

use cassiahoist_core::prelude::*;
use rustc_hash::{FxHashMap, FxHashSet};

use super::{Check, Promise, Violation};
use crate::trace::{Fact, HostView};
use crate::workload::Truth;

/// A task that has been away for this long counts as away whatever the cause, in milliseconds.
const NOTICE_MS: u64 = 4_500;

/// Why a task is away, and since when, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Away {
    since_ms: u64,
    by_order: bool,
}

/// Tasks of lasting steps that are away.
#[derive(Debug, Default)]
pub(super) struct DutyCheck {
    hosts: FxHashMap<HostName, HostView>,
    away: FxHashMap<TaskName, Away>,
    cancelled: FxHashSet<JobId>,
}

impl Check for DutyCheck {
    fn read(&mut self, at_ms: u64, fact: &Fact, truth: &Truth, found: &mut Vec<Violation>) {
        match fact {
            Fact::CancelSent { job } => {
                self.cancelled.insert(*job);
            }
            Fact::Registered { host, view } => {
                self.hosts.insert(host.clone(), view.clone());
            }
            Fact::Started { task, .. } => {
                if let Ok(name) = task.parse::<TaskName>() {
                    self.away.remove(&name);
                }
            }
            Fact::Ended { task, host, how, .. } => {
                if let Ok(name) = task.parse() {
                    self.read_end(at_ms, name, host, how, truth, found);
                }
            }
            _ => {}
        }
    }
}

impl DutyCheck {
    fn read_end(
        &mut self,
        at_ms: u64,
        name: TaskName,
        host: &HostName,
        how: &str,
        truth: &Truth,
        found: &mut Vec<Violation>,
    ) {
        let job = truth.jobs.get(&name.step.job);
        let Some(step) = job.and_then(|job| job.steps.get(usize::from(name.step.step))) else { return };
        let Some(may_be_away) = step.may_miss else { return };
        let sound = self.hosts.get(host).is_some_and(|view| view.sound && !view.leaving);
        let by_order = matches!(how, "stopped" | "lapsed") && sound;
        if by_order && !self.cancelled.contains(&name.step.job) {
            let others = self.away.iter().filter(|(other, away)| {
                other.step == name.step && (away.by_order || at_ms >= away.since_ms + NOTICE_MS)
            });
            let count = others.count();
            if count >= may_be_away as usize {
                let detail = format!("{name} {how} on {host} with {count} of its step away");
                found.push(Violation::new(Promise::Avail, at_ms, detail).in_touch());
            }
        }
        self.away.insert(name, Away { since_ms: at_ms, by_order });
    }
}
