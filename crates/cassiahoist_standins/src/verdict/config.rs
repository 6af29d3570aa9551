//! Which version of the configuration calls are handled by.

use rustc_hash::FxHashMap;

use super::{Check, Promise, Violation};
use crate::trace::Fact;
use crate::workload::Truth;

/// Time in which a version comes into force everywhere, in milliseconds.
const APPLY_MS: u64 = 2_000;

/// Time after a daemon has shown a version in which calls may still meet an earlier one, in milliseconds.
const ROLLBACK_SLACK_MS: u64 = 250;

/// A question for a queue of one version, and when it was answered.
#[derive(Clone, Copy, Debug)]
struct Probe {
    at_ms: u64,
    daemon: usize,
    life: u64,
    version: u64,
    sent_ms: u64,
}

/// Versions written, and those that daemons have shown.
#[derive(Debug, Default)]
pub(super) struct ConfigCheck {
    /// Versions, each newer than the one before, with the time of writing in milliseconds.
    written: Vec<(u64, u64)>,
    /// Newest version that a daemon's life has shown, and when, in milliseconds.
    shown: FxHashMap<(usize, u64), (u64, u64)>,
}

impl Check for ConfigCheck {
    fn read(&mut self, at_ms: u64, fact: &Fact, _truth: &Truth, found: &mut Vec<Violation>) {
        match fact {
            Fact::Configured { version }
                if self.written.last().is_none_or(|(newest, _)| version > newest) =>
            {
                self.written.push((*version, at_ms));
            }
            Fact::Probed { daemon, life, version, sent_ms, status } => {
                let probe =
                    Probe { at_ms, daemon: *daemon, life: *life, version: *version, sent_ms: *sent_ms };
                match status {
                    200 => self.read_served(&probe, found),
                    404 => self.read_unknown(&probe, found),
                    _ => {}
                }
            }
            _ => {}
        }
    }
}

impl ConfigCheck {
    /// Gives the version that has to be in force for a call sent at a time.
    fn due(&self, sent_ms: u64) -> Option<u64> {
        self.written.iter().rev().find(|(_, at_ms)| sent_ms > at_ms + APPLY_MS).map(|(version, _)| *version)
    }

    /// A queue that stands in one version only was found.
    fn read_served(&mut self, probe: &Probe, found: &mut Vec<Violation>) {
        let Probe { at_ms, daemon, life, version, sent_ms } = *probe;
        let blame = |detail| Violation::new(Promise::Config, at_ms, detail);
        if !self.written.iter().any(|(written, _)| *written == version) {
            return found.push(blame(format!("daemon {daemon} serves a queue that never was")));
        }
        if self.due(sent_ms).is_some_and(|due| version < due) {
            let detail = format!("daemon {daemon} serves a queue dropped with version {version}");
            found.push(blame(detail).in_touch());
        }
        let (newest, shown_ms) = self.shown.get(&(daemon, life)).copied().unwrap_or((version, at_ms));
        if version < newest && sent_ms > shown_ms + ROLLBACK_SLACK_MS {
            found.push(blame(format!("daemon {daemon} went back from version {newest} to {version}")));
        }
        if version >= newest {
            self.shown.insert((daemon, life), (version, if version == newest { shown_ms } else { at_ms }));
        }
    }

    /// A queue was not found.
    fn read_unknown(&mut self, probe: &Probe, found: &mut Vec<Violation>) {
        let version = probe.version;
        let newest = self.written.last().is_some_and(|(newest, _)| *newest == version);
        if newest && self.due(probe.sent_ms) == Some(version) {
            let detail = format!("daemon {} does not know the queue of version {version}", probe.daemon);
            found.push(Violation::new(Promise::Config, probe.at_ms, detail).in_touch());
        }
    }
}
