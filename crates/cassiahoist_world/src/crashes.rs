//! Hosts that were lost while a task ran on them, and what follows for the task.
//!
//! A host that crashes lists no ends, and any of its runs may be the cause. A task under which a host was lost soon after the
//! start is a suspect: it starts alone on a host until it has outlived its probation there. So the next crash has one
//! cause, and only few hosts are at risk at a time.

use cassiahoist_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Age up to which a run counts as new, in milliseconds.
///
/// A task that crashes its hosts usually does so at its start.
pub const NEW_RUN_MS: u64 = 500;

/// Largest difference in age to the newest run on a host of the likely causes of its loss, in milliseconds.
pub const NEWEST_SPAN_MS: u64 = 150;

/// Time from a start order to the loss of its host within which the loss is immediate, in milliseconds.
const IMMEDIATE_MS: u64 = 150;

/// Number of early crashes that were not common after which a task is given up.
///
/// Two are enough if both are immediate and the task was alone in the second. A third one keeps tasks clear that were lost
/// twice with a rack or a flapping host.
pub const MAX_EARLY_CRASHES: usize = 3;

/// Number of early crashes, common ones included, after which a task is given up.
///
/// It bounds what a task can do whose crashes coincide with those of others.
pub const MAX_ALL_EARLY_CRASHES: usize = 4;

/// Number of crashes in a row, early or late, after which a task is given up.
pub const MAX_CRASHES: usize = 6;

/// Time that a run has to outlive the earlier ones by, in milliseconds.
const PROBATION_MARGIN_MS: u64 = 200;

/// Longest probation of a suspect, in milliseconds.
const MAX_ISOLATION_MS: u64 = 1_000;

/// Longest probation of a task whose hosts crashed late, in milliseconds.
const MAX_PROBATION_MS: u64 = 5_000;

/// Loss of a host under a run.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Crash {
    /// Number of the run.
    pub run_number: u64,
    /// Host that was lost.
    pub host: HostName,
    /// How long after the start order the host was last heard, in milliseconds.
    pub heard_after_ms: u64,
    /// How long after the start order the loss was noticed, in milliseconds.
    pub lost_after_ms: u64,
    /// Whether the run was among the newest on the host, so that it is the likely cause.
    pub is_newest: bool,
    /// Whether the run was a suspect that had the host to itself.
    pub is_isolated: bool,
    /// Whether other hosts were lost at the same time without such a task, so that this one is hardly the cause.
    pub is_common: bool,
}

impl Crash {
    /// Returns whether the host was lost while the run was new.
    #[must_use]
    pub fn is_early(&self) -> bool {
        self.heard_after_ms < NEW_RUN_MS
    }

    /// Returns whether the host was lost at once after the start of the run.
    #[must_use]
    pub fn is_immediate(&self) -> bool {
        self.is_newest && self.lost_after_ms <= IMMEDIATE_MS
    }
}

/// Crashes under the runs of a task, or of a gang, since one of them last outlived its probation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct CrashHistory {
    crashes: Vec<Crash>,
    /// Number of the latest run that cleared the task; 0 for none. The fate of earlier runs' hosts may show later.
    #[serde(skip)]
    cleared_by_run: u64,
}

impl CrashHistory {
    /// Adds a crash and returns whether it is new. Members of a gang share a run number, which counts once.
    pub fn record(&mut self, crash: Crash) -> bool {
        let is_known = self.crashes.iter().any(|known| known.run_number == crash.run_number);
        let is_cleared = crash.run_number < self.cleared_by_run;
        if is_known || is_cleared || self.crashes.len() >= MAX_CRASHES {
            return false;
        }
        self.crashes.push(crash);
        true
    }

    /// Removes the crash of a run whose host is alive after all, and returns whether there was one.
    pub fn withdraw(&mut self, run_number: u64) -> bool {
        let count = self.crashes.len();
        self.crashes.retain(|crash| crash.run_number != run_number);
        self.crashes.len() < count
    }

    /// Removes all crashes, since a run has shown the task to be harmless. Those of earlier runs don't count any more.
    pub fn clear(&mut self, run_number: u64) {
        self.crashes.clear();
        self.cleared_by_run = self.cleared_by_run.max(run_number);
    }

    /// Returns whether no crash is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Returns the number of crashes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Iterates over the crashes, the earliest first.
    pub fn iter(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter()
    }

    /// Returns whether the task has to start alone.
    ///
    /// It does after one early crash in which it is the likely cause, and after any second early one. Common ones don't count.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        let mut early = self.crashes.iter().filter(|crash| crash.is_early() && !crash.is_common);
        early.clone().any(|crash| crash.is_newest) || early.nth(1).is_some()
    }

    /// Returns whether the task is to be given up.
    #[must_use]
    pub fn is_exhausted(&self) -> bool {
        let early = self.crashes.iter().filter(|crash| crash.is_early());
        early.clone().filter(|crash| !crash.is_common).count() >= MAX_EARLY_CRASHES
            || early.count() >= MAX_ALL_EARLY_CRASHES
            || self.crashes.len() >= MAX_CRASHES
    }

    /// Returns the latest crash if it leaves hardly another cause than the task: the second immediate one, with the task
    /// alone on the host. Whether the host was lost alone has to be known, too.
    #[must_use]
    pub fn conclusive_crash(&self) -> Option<&Crash> {
        let mut immediate = self.crashes.iter().filter(|crash| crash.is_immediate() && !crash.is_common);
        let latest = self.crashes.last().filter(|crash| crash.is_isolated);
        latest.filter(|latest| immediate.clone().any(|crash| crash == *latest) && immediate.nth(1).is_some())
    }

    /// Marks the crashes of hosts that were lost together with others as common, and returns whether any is newly marked.
    pub fn mark_common(&mut self, was_lost_with_others: impl Fn(&HostName) -> bool) -> bool {
        let mut is_changed = false;
        for crash in self.crashes.iter_mut().filter(|crash| !crash.is_common) {
            crash.is_common = was_lost_with_others(&crash.host);
            is_changed |= crash.is_common;
        }
        is_changed
    }

    /// Returns how long the next run has to last to clear the task, in milliseconds.
    #[must_use]
    pub fn probation_ms(&self) -> u64 {
        let (early, late): (Vec<&Crash>, Vec<&Crash>) =
            self.crashes.iter().partition(|crash| crash.is_early());
        let outlive = |crashes: &[&Crash], limit_ms: u64| {
            let longest_ms = crashes.iter().map(|crash| crash.lost_after_ms).max();
            longest_ms.map_or(0, |ms| (ms + PROBATION_MARGIN_MS).min(limit_ms))
        };
        outlive(&early, MAX_ISOLATION_MS).max(outlive(&late, MAX_PROBATION_MS))
    }
}
