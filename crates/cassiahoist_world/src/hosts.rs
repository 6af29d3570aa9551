//! Backend servers that run tasks.

use std::collections::BTreeSet;
use std::ops::Deref;
use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_declarations::HostRules;
use rustc_hash::{FxHashMap, FxHashSet};

pub use crate::keys::HostKey;
use crate::keys::{JobKey, RunKey};
use crate::rows::{Row, Rows};
use crate::spec::StepSpec;

/// What a host says of itself in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct HostReport {
    /// Its name.
    pub name: HostName,
    /// The pool that it belongs to.
    pub pool: PoolName,
    /// Its address, as `ip:port`.
    pub address: String,
    /// Where it stands.
    pub domain: FailureDomain,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Start of its life, in milliseconds since the epoch.
    pub born_unix_ms: u64,
    /// What it has.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<Arc<str>>,
}

/// Whether the host was asked what it runs under the present fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adoption {
    /// It was not asked, or did not answer.
    Unknown,
    /// It answered; its rows are complete.
    Adopted,
}

/// The poll of a host that is under way or due.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Poll {
    /// When the poll under way was sent, in monotonic milliseconds.
    pub sent_ms: Option<u64>,
    /// When to poll next, in monotonic milliseconds.
    pub next_ms: u64,
}

/// How far a host is trusted to run what it is given.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Standing {
    /// Failures since a task was last done there.
    pub failures: u32,
    /// The job whose task failed last.
    pub failed_job: Option<JobKey>,
    /// Until when the host gets no new work, in monotonic milliseconds.
    pub quarantined_until_ms: u64,
    /// Quarantines so far without a task done after them.
    pub quarantines: u32,
}

/// Runs without a row, as the last poll listed them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Orphans {
    /// How many there are.
    pub count: u32,
    /// What those of known jobs take.
    pub taken: Resources,
    /// Whether the size of one is not known.
    pub unknown_size: bool,
}

/// One backend server, in one life.
#[derive(Clone, Debug)]
pub struct Host {
    /// What it last said of itself.
    pub report: HostReport,
    /// Whether its present life was noticed by its clock alone, so that the start of that life is not known yet.
    pub life_unnamed: bool,
    /// Since when its entry has been missing, in monotonic milliseconds.
    pub missing_since_ms: Option<u64>,
    /// Since when it has been leaving, in monotonic milliseconds.
    pub leaving_since_ms: Option<u64>,
    /// Whether its rows are complete.
    pub adoption: Adoption,
    /// The poll.
    pub poll: Poll,
    /// When it last answered, in monotonic milliseconds.
    pub answered_ms: u64,
    /// Since when it has not answered, in monotonic milliseconds.
    pub silent_since_ms: Option<u64>,
    /// Its clock minus the monotonic clock, in milliseconds; the greatest seen.
    pub clock_offset_ms: i64,
    /// Whether its clock is known.
    pub clock_known: bool,
    /// When all that it runs will have ended if no order reaches it any more, in monotonic milliseconds.
    pub lease_end_ms: u64,
    /// Whether it is in the host roster of the store.
    pub in_roster: bool,
    /// Greatest number of an end that was taken in.
    pub ends_read: u64,
    /// Greatest number of an end that is recorded, so that the host may forget it.
    pub ends_recorded: u64,
    /// What its runs book.
    pub booked: Resources,
    /// What runs there without a row and is being stopped.
    pub orphans: Orphans,
    /// Runs on it.
    pub runs: FxHashSet<RunKey>,
    /// How far it is trusted.
    pub standing: Standing,
    /// Share of time that fillers there get, in percent.
    pub filler_percent: u8,
    /// When the pace of fillers was last changed, in monotonic milliseconds.
    pub paced_ms: u64,
    /// What operators rule for it.
    pub rules: HostRules,
}

impl Host {
    /// Creates a row for a host that was not asked yet.
    #[must_use]
    pub fn new(report: HostReport, now_ms: u64) -> Self {
        Self {
            report,
            life_unnamed: false,
            missing_since_ms: None,
            leaving_since_ms: None,
            adoption: Adoption::Unknown,
            poll: Poll::default(),
            answered_ms: now_ms,
            silent_since_ms: None,
            clock_offset_ms: 0,
            clock_known: false,
            lease_end_ms: 0,
            in_roster: false,
            ends_read: 0,
            ends_recorded: 0,
            booked: Resources::default(),
            orphans: Orphans::default(),
            runs: FxHashSet::default(),
            standing: Standing::default(),
            filler_percent: 100,
            paced_ms: 0,
            rules: HostRules::default(),
        }
    }

    /// Tells whether a start of life, in milliseconds since the epoch, is that of another life than the one known.
    ///
    /// The first one that is told of a life noticed by its clock names that life.
    pub fn is_other_life(&mut self, born_unix_ms: u64) -> bool {
        let unnamed = std::mem::take(&mut self.life_unnamed) || self.report.born_unix_ms == 0;
        if unnamed {
            self.report.born_unix_ms = born_unix_ms;
        }
        born_unix_ms != self.report.born_unix_ms
    }

    /// Gives what is left for new runs.
    #[must_use]
    pub fn room(&self) -> Resources {
        self.report.capacity.percent(self.rules.room_percent).minus(&self.booked).minus(&self.orphans.taken)
    }

    /// Tells whether new runs may be started on it.
    #[must_use]
    pub fn takes_work(&self, now_ms: u64) -> bool {
        self.adoption == Adoption::Adopted
            && !self.rules.cordoned
            && self.leaving_since_ms.is_none()
            && self.missing_since_ms.is_none()
            && self.silent_since_ms.is_none()
            && self.clock_known
            && !self.orphans.unknown_size
            && now_ms >= self.standing.quarantined_until_ms
    }

    /// Gives the time on its own clock, in milliseconds.
    #[must_use]
    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_add_signed(self.clock_offset_ms)
    }

    /// Tells whether the host has a label.
    #[must_use]
    pub fn has_label(&self, label: &str) -> bool {
        self.report.labels.iter().any(|own| **own == *label)
    }

    /// Tells whether it could run a task of a step if it had room.
    #[must_use]
    pub fn suits(&self, pool: &PoolName, spec: &StepSpec) -> bool {
        self.report.pool == *pool
            && spec.required_label.as_ref().is_none_or(|label| self.has_label(label))
            && spec.size.fits_within(&self.report.capacity)
    }

    /// Gives its rack, the last of its labels.
    #[must_use]
    pub fn rack(&self) -> Option<&Arc<str>> {
        self.report.labels.last()
    }
}

impl Row for Host {
    type Id = HostName;

    fn id(&self) -> &HostName {
        &self.report.name
    }
}

/// All backend servers that are listed or may still run something.
#[derive(Debug, Default)]
pub struct HostTable {
    rows: Rows<HostKey, Host>,
    largest: FxHashMap<PoolName, Resources>,
    /// Rows whose rules are to be looked up.
    pub unruled: Vec<HostKey>,
    /// Hosts that the holder polls and may give work to, in order of their rows.
    engaged: BTreeSet<HostKey>,
    /// When hosts are engaged next, in monotonic milliseconds.
    pub engage_next_ms: u64,
}

/// Views of its hosts; changes go through the table.
impl Deref for HostTable {
    type Target = Rows<HostKey, Host>;

    fn deref(&self) -> &Self::Target {
        &self.rows
    }
}

impl HostTable {
    /// Adds a host, in place of an earlier row of the same name.
    pub fn insert(&mut self, host: Host) -> HostKey {
        self.note_capacity(&host.report);
        let key = self.rows.insert(host);
        self.unruled.push(key);
        key
    }

    /// Takes over what a host says of itself.
    pub fn set_report(&mut self, key: HostKey, report: HostReport) {
        self.note_capacity(&report);
        self.unruled.push(key);
        if let Some(host) = self.rows.get_mut(key) {
            host.report = report;
        }
    }

    fn note_capacity(&mut self, report: &HostReport) {
        let largest = self.largest.entry(report.pool.clone()).or_default();
        *largest = largest.max(&report.capacity);
    }

    /// Gives the most of each resource that a host of each pool has had since the table was filled.
    #[must_use]
    pub fn largest(&self) -> &FxHashMap<PoolName, Resources> {
        &self.largest
    }

    /// Removes a host.
    pub fn remove(&mut self, key: HostKey) -> Option<Host> {
        self.engaged.remove(&key);
        self.rows.remove(key)
    }

    /// Removes every host.
    pub fn clear(&mut self) {
        self.rows.clear();
        self.largest.clear();
        self.unruled.clear();
        self.engaged.clear();
    }

    /// Borrows a host to change it.
    pub fn get_mut(&mut self, key: HostKey) -> Option<&mut Host> {
        self.rows.get_mut(key)
    }

    /// Goes through all hosts to change them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (HostKey, &mut Host)> {
        self.rows.iter_mut()
    }

    /// Lets the holder poll a host and give it work.
    pub fn engage(&mut self, key: HostKey) {
        if self.rows.get(key).is_some() {
            self.engaged.insert(key);
        }
    }

    /// Tells whether the holder deals with a host.
    #[must_use]
    pub fn is_engaged(&self, key: HostKey) -> bool {
        self.engaged.contains(&key)
    }

    /// Tells whether the holder deals with every host.
    #[must_use]
    pub fn all_engaged(&self) -> bool {
        self.engaged.len() == self.rows.len()
    }

    /// Goes through the hosts that the holder deals with.
    pub fn iter_engaged(&self) -> impl Iterator<Item = (HostKey, &Host)> {
        self.engaged.iter().filter_map(|key| Some((*key, self.rows.get(*key)?)))
    }

    /// Lists the keys of the hosts that the holder deals with.
    #[must_use]
    pub fn engaged_keys(&self) -> Vec<HostKey> {
        self.engaged.iter().copied().collect()
    }
}
