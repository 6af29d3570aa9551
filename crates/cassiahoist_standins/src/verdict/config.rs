//! Which version of the configuration calls are handled by.

use rustc_hash::FxHashMap;

use super::{Check, Promise, Violation};
use crate::trace::Fact;
use crate::workload::Truth;

/// Time in which a version comes into force everywhere, in milliseconds.
const APPLY_MS: u64 = 2_000;

/// Time after a daemon has shown a version in which calls may still meet an earlier one, in milliseconds.
const ROLLBACK_SLACK_MS: u64 = 250;

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
                let (mut check, who) = (Verdicts { at_ms, found }, (*daemon, *life));
                match status {
                    200 => self.read_served(who, *version, *sent_ms, &mut check),
                    404 => self.read_unknown(who, *version, *sent_ms, &mut check),
                    _ => {}
                }
            }
            _ => {}
        }
    }
}

/// Where verdicts of one fact go.
struct Verdicts<'f> {
    at_ms: u64,
    found: &'f mut Vec<Violation>,
}

impl Verdicts<'_> {
    fn blame(&mut self, detail: String) -> &mut Violation {
        self.found.push(Violation::new(Promise::Config, self.at_ms, detail));
        let last = self.found.len() - 1;
        &mut self.found[last]
    }

    fn blame_in_touch(&mut self, detail: String) {
        self.blame(detail).scope = super::Scope::InTouch;
    }
}

impl ConfigCheck {
    /// Gives the version that has to be in force for a call sent at a time.
    fn due(&self, sent_ms: u64) -> Option<u64> {
        self.written.iter().rev().find(|(_, at_ms)| sent_ms > at_ms + APPLY_MS).map(|(version, _)| *version)
    }

    /// A queue that stands in one version only was found.
    fn read_served(&mut self, who: (usize, u64), version: u64, sent_ms: u64, check: &mut Verdicts<'_>) {
        if !self.written.iter().any(|(written, _)| *written == version) {
            check.blame(format!("daemon {} serves a queue that never was", who.0));
            return;
        }
        if self.due(sent_ms).is_some_and(|due| version < due) {
            check.blame_in_touch(format!("daemon {} serves a queue dropped with version {version}", who.0));
        }
        let (newest, shown_ms) = self.shown.get(&who).copied().unwrap_or((version, check.at_ms));
        if version < newest && sent_ms > shown_ms + ROLLBACK_SLACK_MS {
            check.blame(format!("daemon {} went back from version {newest} to {version}", who.0));
        }
        if version >= newest {
            self.shown.insert(who, (version, if version == newest { shown_ms } else { check.at_ms }));
        }
    }

    fn read_unknown(&mut self, who: (usize, u64), version: u64, sent_ms: u64, check: &mut Verdicts<'_>) {
        let newest = self.written.last().is_some_and(|(newest, _)| *newest == version);
        if newest && self.due(sent_ms) == Some(version) {
            check.blame_in_touch(format!("daemon {} does not know the queue of version {version}", who.0));
        }
    }
}
