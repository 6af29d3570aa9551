//! Checks which configuration version calls are answered by.

use rustc_hash::FxHashMap;

use super::{Invariant, InvariantCheck, Violation};
use crate::trace::Observation;
use crate::workload::GroundTruth;

/// Time within which every daemon puts a version in force, in milliseconds.
const CONFIG_APPLY_MS: u64 = 2_000;

/// Time in which calls may still get an older version, in milliseconds.
///
/// It begins when the newer version was first served.
const ROLLBACK_SLACK_MS: u64 = 250;

/// An answered query for a queue that exists in only one version.
#[derive(Clone, Copy, Debug)]
struct QueueProbe {
    at_ms: u64,
    daemon: usize,
    daemon_started_unix_ms: u64,
    version: u64,
    sent_ms: u64,
}

/// Configuration versions that were written and that daemons have served.
#[derive(Debug, Default)]
pub(super) struct ConfigCheck {
    /// Increasing versions, each with the time of writing in milliseconds.
    ///
    /// Writes of older versions are left out.
    written: Vec<(u64, u64)>,
    /// Newest version served by each daemon incarnation.
    ///
    /// The second number is the time of its first answer, in milliseconds.
    served: FxHashMap<(usize, u64), (u64, u64)>,
}

impl InvariantCheck for ConfigCheck {
    fn observe(
        &mut self,
        at_ms: u64,
        observation: &Observation,
        _ground_truth: &GroundTruth,
        violations: &mut Vec<Violation>,
    ) {
        match observation {
            Observation::ConfigWritten { version }
                if self.written.last().is_none_or(|(newest, _)| version > newest) =>
            {
                self.written.push((*version, at_ms));
            }
            Observation::QueueProbed { daemon, daemon_started_unix_ms, version, sent_ms, status } => {
                let probe = QueueProbe {
                    at_ms,
                    daemon: *daemon,
                    daemon_started_unix_ms: *daemon_started_unix_ms,
                    version: *version,
                    sent_ms: *sent_ms,
                };
                match status {
                    200 => self.check_served(&probe, violations),
                    404 => self.check_unknown(&probe, violations),
                    _ => {}
                }
            }
            _ => {}
        }
    }
}

impl ConfigCheck {
    /// Returns the oldest version that may still answer a call.
    ///
    /// `sent_ms` is the time at which the call was sent. `None` if every version may answer it.
    fn oldest_allowed_version(&self, sent_ms: u64) -> Option<u64> {
        self.written
            .iter()
            .rev()
            .find(|(_, at_ms)| sent_ms > at_ms + CONFIG_APPLY_MS)
            .map(|(version, _)| *version)
    }

    /// Checks a query whose queue was found.
    fn check_served(&mut self, probe: &QueueProbe, violations: &mut Vec<Violation>) {
        let QueueProbe { at_ms, daemon, daemon_started_unix_ms, version, sent_ms } = *probe;
        let violation = |detail| Violation::new(Invariant::ConfigInForce, at_ms, detail);
        if !self.written.iter().any(|(written, _)| *written == version) {
            return violations
                .push(violation(format!("daemon {daemon} serves a queue that was never configured")));
        }
        if self
            .oldest_allowed_version(sent_ms)
            .is_some_and(|oldest_allowed_version| version < oldest_allowed_version)
        {
            let detail = format!("daemon {daemon} still serves the removed queue of version {version}");
            violations.push(violation(detail).only_without_recent_fault());
        }
        let (newest, served_ms) =
            self.served.get(&(daemon, daemon_started_unix_ms)).copied().unwrap_or((version, at_ms));
        if version < newest && sent_ms > served_ms + ROLLBACK_SLACK_MS {
            violations
                .push(violation(format!("daemon {daemon} returned from version {newest} to {version}")));
        }
        if version >= newest {
            self.served.insert(
                (daemon, daemon_started_unix_ms),
                (version, if version == newest { served_ms } else { at_ms }),
            );
        }
    }

    /// Checks a query whose queue was not found.
    fn check_unknown(&mut self, probe: &QueueProbe, violations: &mut Vec<Violation>) {
        let version = probe.version;
        let newest = self.written.last().is_some_and(|(newest, _)| *newest == version);
        if newest && self.oldest_allowed_version(probe.sent_ms) == Some(version) {
            let detail = format!("daemon {} doesn't serve the queue of version {version}", probe.daemon);
            violations.push(
                Violation::new(Invariant::ConfigInForce, probe.at_ms, detail).only_without_recent_fault(),
            );
        }
    }
}
