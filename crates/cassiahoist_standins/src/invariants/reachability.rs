//! Checks that daemons take only such hosts for unresponsive as did not answer them.

use cassiahoist_core::prelude::*;
use rustc_hash::FxHashMap;

use super::{Invariant, InvariantCheck, Violation};
use crate::trace::Observation;
use crate::workload::GroundTruth;

/// Time for which an unanswered order explains that a daemon takes its host for unresponsive, in milliseconds.
///
/// A daemon that is paused learns of the order only after the pause.
const UNANSWERED_MS: u64 = 10_000;

/// Time of the latest unanswered order by host, in milliseconds.
#[derive(Debug, Default)]
pub(super) struct ReachabilityCheck {
    unanswered: FxHashMap<HostName, u64>,
}

impl InvariantCheck for ReachabilityCheck {
    fn observe(
        &mut self,
        at_ms: u64,
        observation: &Observation,
        _ground_truth: &GroundTruth,
        violations: &mut Vec<Violation>,
    ) {
        match observation {
            Observation::OrderUnanswered { host } => {
                self.unanswered.insert(host.clone(), at_ms);
            }
            Observation::HostUnresponsive { host, daemon } => {
                let is_explained = self
                    .unanswered
                    .get(host)
                    .is_some_and(|unanswered_ms| at_ms <= unanswered_ms + UNANSWERED_MS);
                if !is_explained {
                    let detail = format!(
                        "daemon {daemon} takes {host} for unresponsive, which answered every order it got"
                    );
                    violations.push(Violation::new(Invariant::HostReachability, at_ms, detail));
                }
            }
            _ => {}
        }
    }
}
