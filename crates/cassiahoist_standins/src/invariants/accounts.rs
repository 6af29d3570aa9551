//! Checks that no account has more running than its cap.

use cassiahoist_core::prelude::*;
use rustc_hash::{FxHashMap, FxHashSet};

use super::{Invariant, InvariantCheck, Violation};
use crate::trace::Observation;
use crate::workload::{GroundTruth, account_cap};

/// A run on a host: task, run number, host.
type RunId = (TaskName, u64, HostName);

/// What each account has running.
#[derive(Debug, Default)]
pub(super) struct AccountCheck {
    running: FxHashSet<RunId>,
    in_use: FxHashMap<usize, Resources>,
}

impl InvariantCheck for AccountCheck {
    fn observe(
        &mut self,
        at_ms: u64,
        observation: &Observation,
        ground_truth: &GroundTruth,
        violations: &mut Vec<Violation>,
    ) {
        match observation {
            Observation::RunStarted { task, run, host, .. } => {
                let Some((name, size)) = find_size(task, ground_truth) else { return };
                if !self.running.insert((name, *run, host.clone())) {
                    return;
                }
                let Some(account) = ground_truth.account_of(name.step.job) else { return };
                let in_use = self.in_use.entry(account).or_default();
                *in_use = in_use.saturating_add(&size);
                let cap = account_cap(account);
                if !in_use.fits_within(&cap) {
                    let detail =
                        format!("{name} starts, and account {account} has {in_use:?} of {cap:?} running");
                    violations.push(Violation::new(Invariant::AccountCap, at_ms, detail));
                }
            }
            Observation::RunEnded { task, run, host, .. } => {
                let Some((name, size)) = find_size(task, ground_truth) else { return };
                if !self.running.remove(&(name, *run, host.clone())) {
                    return;
                }
                if let Some(in_use) =
                    ground_truth.account_of(name.step.job).and_then(|account| self.in_use.get_mut(&account))
                {
                    *in_use = in_use.saturating_sub(&size);
                }
            }
            _ => {}
        }
    }
}

fn find_size(task: &str, ground_truth: &GroundTruth) -> Option<(TaskName, Resources)> {
    Some((task.parse().ok()?, ground_truth.find_task(task)?.size))
}
