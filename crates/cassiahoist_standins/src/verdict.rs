//! Verdicts over what callers and hosts saw.

mod config;
mod duty;
mod holders;
mod jobs;
mod places;

use std::fmt;

use crate::trace::{Fact, Trace};
use crate::workload::Truth;

/// A promise of the pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Promise {
    /// No host holds more than it has.
    Limit,
    /// No task runs twice at a time, or again after it was done and recorded.
    Twice,
    /// A step starts after the steps that come first.
    Order,
    /// Tasks start only on hosts of their queue's pool, with the label asked for, and within the limit per host.
    Route,
    /// A task that failed too often does not start again.
    Budget,
    /// A gang's members start together.
    Gang,
    /// Nothing runs that nobody asked for, and nothing starts long after its cancelling.
    Unasked,
    /// A job that was refused for good never runs.
    Refused,
    /// An accepted job is known and gets done.
    Lost,
    /// A job is shown as it is.
    Mixed,
    /// Nothing is ordered that takes a lasting step below what may be away of it.
    Avail,
    /// A host that leaves gets no new work.
    Drain,
    /// Calls are handled by the configuration in force, which never goes back.
    Config,
    /// One daemon at a time gives orders to a host.
    One,
}

/// For which daemons a promise holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// For all of them.
    Always,
    /// For those that no fault has touched of late.
    InTouch,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub promise: Promise,
    /// For which daemons it holds.
    pub scope: Scope,
    /// When, in milliseconds.
    pub at_ms: u64,
    /// What was seen.
    pub detail: String,
}

impl Violation {
    /// Blames a daemon whatever has happened to it.
    #[must_use]
    pub fn new(promise: Promise, at_ms: u64, detail: String) -> Self {
        Self { promise, scope: Scope::Always, at_ms, detail }
    }

    /// Blames a daemon only if no fault has touched it of late.
    #[must_use]
    pub fn in_touch(self) -> Self {
        Self { scope: Scope::InTouch, ..self }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {} ms: {}", self.promise, self.at_ms, self.detail)
    }
}

/// A part of the promises, kept over facts in order of time.
trait Check {
    /// Reads a fact and notes what it breaks.
    fn read(&mut self, at_ms: u64, fact: &Fact, truth: &Truth, found: &mut Vec<Violation>);
}

/// Finds the promises that were broken.
#[must_use]
pub fn judge(trace: &Trace, truth: &Truth, end_ms: u64) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut jobs = jobs::JobCheck::default();
    let mut places = places::PlaceCheck::default();
    let mut duty = duty::DutyCheck::default();
    let mut config = config::ConfigCheck::default();
    let mut holders = holders::HolderCheck::default();
    for (at_ms, fact) in &trace.facts {
        jobs.read(*at_ms, fact, truth, &mut found);
        places.read(*at_ms, fact, truth, &mut found);
        duty.read(*at_ms, fact, truth, &mut found);
        config.read(*at_ms, fact, truth, &mut found);
        holders.read(*at_ms, fact, truth, &mut found);
    }
    jobs.finish(end_ms, truth, &mut found);
    found
}
