//! Backend servers that run tasks.

use std::cell::Cell;
use std::collections::{BTreeSet, VecDeque};
use std::ops::Deref;
use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_declarations::HostRules;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::account_usage::AccountKey;
use crate::earlier_clock::EarlierClockOrders;
pub use crate::keys::HostKey;
use crate::keys::{JobKey, RunKey, TaskKey};
use crate::rows::{IndexedRows, Row};
use crate::run_time_ratios::RecentRatios;
use crate::runs::{Run, RunTable};
use crate::spec::StepSpec;
use crate::unrecorded_ends::UnrecordedEnds;

/// Store entry in which a host describes itself.
///
/// For a host of the roster that has no entry any more, the holder fills in what it knows: the host counts as
/// draining and has no capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct HostEntry {
    /// Name of the host.
    pub name: HostName,
    /// Pool that the host belongs to.
    pub pool: PoolName,
    /// Address at which it accepts orders, as `ip:port`.
    pub address: String,
    /// Failure domain of the host.
    pub domain: FailureDomain,
    /// Whether the host announced that it will shut down. It gets no new work then.
    pub draining: bool,
    /// Start of its incarnation, in Unix milliseconds; 0 if unknown.
    pub started_unix_ms: u64,
    /// Total resources of the host.
    pub capacity: Resources,
    /// Labels of the host: its kind, then its rack as the last one.
    pub labels: Vec<Arc<str>>,
}

/// Largest amount of a resource that an entry may give: a million cores, in thousandths, or a pebibyte, in mebibytes.
///
/// A greater one comes from another writer, and sums with it might overflow.
const MAX_RESOURCE: u64 = 1 << 30;

/// How far the start of an incarnation may lie in the future by this daemon's wall clock, which may be wrong, in milliseconds.
const MAX_CLOCK_LEAD_MS: u64 = 24 * 60 * 60 * 1_000;

impl HostEntry {
    /// Checks that the values are possible, at a Unix time in milliseconds.
    ///
    /// # Errors
    /// Returns the reason if another writer must have made the entry. A start far in the future would make every later entry
    /// of the host seem outdated, and a huge capacity would attract all work.
    pub fn validate(&self, unix_ms: u64) -> Result<(), String> {
        if self.started_unix_ms > unix_ms.saturating_add(MAX_CLOCK_LEAD_MS) {
            return Err(format!("the start {} lies in the future", self.started_unix_ms));
        }
        let capacity = &self.capacity;
        let largest = capacity.cpu_milli.max(capacity.memory_mib).max(u64::from(capacity.accelerators));
        if largest > MAX_RESOURCE {
            return Err(format!("impossible capacity {capacity:?}"));
        }
        Ok(())
    }
}

/// Whether a host has reported all its runs to this holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adoption {
    /// The host has not reported all its runs and gets no new work.
    ///
    /// A new row starts in this state. A host returns to it on a restart and at the end of its run lease.
    Unknown,
    /// The host reported what it runs; its rows are complete.
    Adopted,
}

/// Time after which silence of all hosts is taken for a fault of this daemon or its path, in milliseconds.
const COMMON_SILENCE_MS: u64 = 1_000;

/// Fewest hosts whose common silence is taken for a fault of this daemon or its path.
const MIN_COMMONLY_SILENT_HOSTS: usize = 5;

/// Time for which a host that crashed is avoided for suspects, in milliseconds.
///
/// A machine that crashes by itself would be taken for the doing of the suspect.
const CRASH_MEMORY_MS: u64 = 30_000;

/// Time for which the loss of a host is remembered, in milliseconds. Its fate is known by then.
const LOSS_MEMORY_MS: u64 = 15_000;

/// Largest time between the losses of hosts that are lost together, in milliseconds.
///
/// A host with a poll open shows its loss at once, another one at its next order.
const COMMON_LOSS_MS: u64 = 500;

/// Number of other hosts, wherever they are, whose loss at the same time shows a common cause.
const COMMON_LOSSES: usize = 2;

/// A host that became unresponsive.
#[derive(Clone, Debug)]
struct Loss {
    host: HostName,
    rack: Option<Arc<str>>,
    lost_at_ms: u64,
    is_explained: bool,
}

/// State of the regular polls of a host; at most one is open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Poll {
    /// When the open poll was sent, in monotonic milliseconds; `None` if none is open.
    pub sent_ms: Option<u64>,
    /// When the next poll may be sent, in monotonic milliseconds.
    pub next_ms: u64,
    /// When ends were listed first after the latest record of ends, in monotonic milliseconds; `None` if none were.
    pub unrecorded_since_ms: Option<u64>,
}

/// Record of failures by which a host is quarantined.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Standing {
    /// Failed runs since a task last completed on the host.
    pub failures: u32,
    /// Job whose task failed there last; `None` after a task completed.
    pub failed_job: Option<JobKey>,
    /// Until when the host gets no new work, in monotonic milliseconds. 0 if not quarantined.
    pub quarantined_until_ms: u64,
    /// Quarantines since a task last completed there; each doubles the next one.
    pub quarantines: u32,
    /// When a task last completed there, in monotonic milliseconds; 0 if none did.
    pub last_done_at_ms: u64,
}

/// Runs that the last poll listed and that have no row. They are being stopped.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OrphanRuns {
    /// Number of such runs.
    pub count: u32,
    /// Resources of those whose jobs are known.
    pub resources: Resources,
    /// Step of each of them.
    pub steps: Vec<StepName>,
    /// Account and task size of each one whose job is known, as far as it counts for the account.
    pub counted: Vec<(AccountKey, Resources)>,
    /// Whether the job of one of them is unknown. Then the free resources of the host are unknown too.
    pub has_unknown_size: bool,
}

/// A restart of a host, as far as orders from before it are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Restart {
    /// When the holder learned of it, in monotonic milliseconds.
    pub noticed_at_ms: u64,
    /// Clock of the earlier incarnation minus this daemon's, in milliseconds; `None` if it was unknown.
    pub earlier_clock_offset_ms: Option<i64>,
}

/// A backend server in one incarnation.
#[derive(Clone, Debug)]
pub struct Host {
    /// Latest store entry of the host.
    pub entry: HostEntry,
    /// Whether a restart was detected by the host's clock alone. Then the start of the new incarnation is
    /// still unknown.
    pub start_unknown: bool,
    /// Latest restart that the holder noticed; `None` before the first.
    pub last_restart: Option<Restart>,
    /// Least fencing token of orders to the host; 0 if that of the claim is enough.
    ///
    /// It is the revision of a write under the claim: later than the claim, and earlier than any other one. Orders under a
    /// smaller token can no longer take effect once one under this token has.
    pub min_fence: Fence,
    /// Whether the host may take orders that name a time on the clock of an earlier incarnation.
    pub earlier_clock_orders: EarlierClockOrders,
    /// Since when the host has had no store entry, in monotonic milliseconds. `None` if it has one.
    pub missing_since_ms: Option<u64>,
    /// Since when the host has been draining, in monotonic milliseconds. `None` if it is not.
    pub draining_since_ms: Option<u64>,
    /// Whether the host has reported all its runs to this holder.
    pub adoption: Adoption,
    /// State of its regular polls.
    pub poll: Poll,
    /// Number of open polls outside the regular schedule.
    pub open_extra_polls: u32,
    /// When the host last answered an order, in monotonic milliseconds.
    ///
    /// Before the first answer, when the row was created.
    pub last_answer_at_ms: u64,
    /// When the latest order was issued that the host executed under this daemon's fence, in monotonic milliseconds.
    ///
    /// No later holder had been to the host by then. 0 before the first.
    pub fence_confirmed_at_ms: u64,
    /// Since when the host has been unresponsive, in monotonic milliseconds; `None` if it answers.
    pub unresponsive_since_ms: Option<u64>,
    /// Host clock minus this daemon's monotonic clock at the last answer, in milliseconds.
    pub clock_offset_ms: i64,
    /// Whether the offset was measured in the present incarnation; run leases need it.
    pub clock_known: bool,
    /// When all its runs have ended if no further order arrives, in monotonic milliseconds.
    ///
    /// An upper bound on this daemon's clock. Start orders and polls of a host with runs extend it.
    pub lease_end_ms: u64,
    /// Whether the stored roster lists the host; without that it gets no start orders.
    pub in_roster: bool,
    /// Its [`joined_generation`](crate::record::RosterHost::joined_generation) in the roster.
    pub joined_generation: u32,
    /// Jobs that may have runs on the host, as the stored roster lists them; `None` unless it lists the host as silent.
    ///
    /// The host gets no start orders until the roster lists it as usual again.
    pub silent_jobs: Option<Vec<JobId>>,
    /// Greatest end number of this host that the holder has applied. 0 before the first.
    pub last_end_applied: u64,
    /// Greatest end number that is durable in the store. The host may drop ends up to it.
    pub last_end_recorded: u64,
    /// Whether the latest lists of the host contained ends.
    pub lists_ends: bool,
    /// Whether the host may have ends that the latest lists had no room for.
    pub has_unread_ends: bool,
    /// Ends between these two.
    pub unrecorded_ends: UnrecordedEnds,
    /// The host's own clock at the latest lists that were applied, in milliseconds; 0 before the first.
    pub lists_clock_ms: u64,
    /// When these lists arrived, in monotonic milliseconds; 0 before the first.
    pub lists_received_at_ms: u64,
    /// Resources reserved for the runs on the host.
    pub reserved: Resources,
    /// Runs on the host that have no row.
    pub orphans: OrphanRuns,
    /// Rows of the runs on the host.
    pub runs: FxHashSet<RunKey>,
    /// Runs without a row whose starts the host never confirmed, and may carry out late in another incarnation.
    late_starts: Vec<Run>,
    /// Record of failures by which it is quarantined.
    pub standing: Standing,
    /// Whether the host refused the last connection, so that its process has probably ended.
    pub refuses_connections: bool,
    /// When a start order was last issued to the host, in monotonic milliseconds; 0 if none was.
    pub last_start_at_ms: u64,
    /// Job of which a task started lately that may crash the host, and until when others avoid the host, in monotonic
    /// milliseconds.
    pub unproven: Option<(JobId, u64)>,
    /// Suspect that has the host to itself; no other task starts there meanwhile.
    pub isolated_run: Option<RunKey>,
    /// Tasks and run numbers with a crash that is withdrawn if the host turns out to be alive.
    pub uncertain_crashes: Vec<(TaskKey, u64)>,
    /// Processor share that fillers on the host get, in percent.
    pub filler_pace_percent: u8,
    /// When that share last changed, in monotonic milliseconds; 0 if never.
    pub filler_pace_changed_at_ms: u64,
    /// Operators' rules that apply to the host.
    pub rules: HostRules,
    /// How fast the host runs tasks.
    pub speed: HostSpeed,
}

/// How fast a host runs tasks, as far as finished and present runs tell.
///
/// Factors are binary logarithms of run times, so that a greater one means a slower host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HostSpeed {
    /// Ratios of the latest ends to the run times that were expected on a host of this kind.
    pub run_ratios: RecentRatios,
    /// When a run that these tell of last ended, in monotonic milliseconds; 0 before the first.
    pub last_end_at_ms: u64,
    /// Own factor of the host, beside that of its kind; 0 if its runs take as long as on others of the kind.
    pub deviation: f32,
    /// Own factor of the host as ends or the progress of its present runs show it; 0 if neither does.
    pub own_factor: f32,
    /// Factor of the kind.
    pub kind_factor: f32,
    /// Factor of the kind and of the host together.
    pub factor: f32,
    /// Class of speed: 0 for the fastest hosts, the same number for hosts that hardly differ.
    pub class: u8,
}

impl Host {
    /// Creates a row for a host that has not been polled yet.
    #[must_use]
    pub fn new(entry: HostEntry, now_ms: u64) -> Self {
        Self {
            entry,
            start_unknown: false,
            last_restart: None,
            min_fence: Fence(0),
            earlier_clock_orders: EarlierClockOrders::default(),
            missing_since_ms: None,
            draining_since_ms: None,
            adoption: Adoption::Unknown,
            poll: Poll::default(),
            open_extra_polls: 0,
            last_answer_at_ms: now_ms,
            fence_confirmed_at_ms: 0,
            unresponsive_since_ms: None,
            clock_offset_ms: 0,
            clock_known: false,
            lease_end_ms: 0,
            in_roster: false,
            joined_generation: 0,
            silent_jobs: None,
            last_end_applied: 0,
            last_end_recorded: 0,
            lists_ends: false,
            has_unread_ends: false,
            unrecorded_ends: UnrecordedEnds::default(),
            lists_clock_ms: 0,
            lists_received_at_ms: 0,
            reserved: Resources::default(),
            orphans: OrphanRuns::default(),
            runs: FxHashSet::default(),
            late_starts: Vec::new(),
            standing: Standing::default(),
            refuses_connections: false,
            last_start_at_ms: 0,
            unproven: None,
            isolated_run: None,
            uncertain_crashes: Vec::new(),
            filler_pace_percent: 100,
            filler_pace_changed_at_ms: 0,
            rules: HostRules::default(),
            speed: HostSpeed::default(),
        }
    }

    /// Returns whether a start, in Unix milliseconds, is that of another incarnation.
    ///
    /// While the start of the present incarnation is unknown, the first time given is taken as its start.
    pub fn update_incarnation(&mut self, started_unix_ms: u64) -> bool {
        let start_unknown = std::mem::take(&mut self.start_unknown) || self.entry.started_unix_ms == 0;
        if start_unknown {
            self.entry.started_unix_ms = started_unix_ms;
        }
        started_unix_ms != self.entry.started_unix_ms
    }

    /// Returns whether earlier holders may have runs on the host, which has not reported them.
    #[must_use]
    pub fn is_unadopted(&self) -> bool {
        self.in_roster && self.adoption == Adoption::Unknown
    }

    /// Returns whether the host, after a restart, may hold its runs for longer than this holder's own leases.
    ///
    /// `lease_ms` is the greatest length of such a lease, in milliseconds.
    #[must_use]
    pub fn may_hold_longer_lease(&self, lease_ms: u64, now_ms: u64) -> bool {
        self.earlier_clock_orders.are_from_before_restart()
            || (self.last_restart.is_some() && self.lease_end_ms > now_ms + lease_ms)
    }

    /// Remembers a run for as long as its start may take effect late.
    pub fn remember_late_start(&mut self, run: &Run, now_ms: u64) {
        self.late_starts.retain(|late| may_start_late(late, now_ms));
        if may_start_late(run, now_ms) {
            self.late_starts.push(run.clone());
        }
    }

    /// Takes the remembered runs whose starts may still take effect.
    pub fn take_late_starts(&mut self, now_ms: u64) -> Vec<Run> {
        let mut runs = std::mem::take(&mut self.late_starts);
        runs.retain(|late| may_start_late(late, now_ms));
        runs
    }

    /// Ends the listing of the host as silent, since it answers. The roster has to be written before its next start.
    ///
    /// Returns whether it was listed so.
    pub fn end_silence(&mut self) -> bool {
        let was_listed = self.silent_jobs.take().is_some();
        self.in_roster &= !was_listed;
        was_listed
    }

    /// Returns the resources that are free for new runs.
    ///
    /// That is the share of the capacity that operators allow, less what is reserved for runs and used by
    /// orphans.
    #[must_use]
    pub fn free_resources(&self) -> Resources {
        self.entry
            .capacity
            .scale_percent(self.rules.room_percent)
            .saturating_sub(&self.reserved)
            .saturating_sub(&self.orphans.resources)
    }

    /// Counts the tasks of a step that may occupy the host.
    ///
    /// These are the runs with a row, whatever their state, and orphans. A run counts until the host lists its end or
    /// its lease expires.
    #[must_use]
    pub fn count_tasks_of(&self, step: StepName, runs: &RunTable) -> u32 {
        let with_row = self.runs.iter().filter_map(|run| runs.rows.get(*run)).map(|run| run.name.step);
        with_row.chain(self.orphans.steps.iter().copied()).filter(|other| *other == step).count() as u32
    }

    /// Returns whether a task of another job started lately that may crash the host.
    #[must_use]
    pub fn is_unproven_for(&self, job: JobId, now_ms: u64) -> bool {
        self.unproven.is_some_and(|(other, until_ms)| other != job && now_ms < until_ms)
    }

    /// Returns whether new runs may start on the host, regardless of free resources.
    #[must_use]
    pub fn accepts_new_runs(&self, now_ms: u64) -> bool {
        self.adoption == Adoption::Adopted
            && !self.rules.cordoned
            && self.draining_since_ms.is_none()
            && self.missing_since_ms.is_none()
            && self.unresponsive_since_ms.is_none()
            && self.clock_known
            && !self.orphans.has_unknown_size
            && self.isolated_run.is_none()
            && now_ms >= self.standing.quarantined_until_ms
    }

    /// Returns whether runs of earlier holders may have ended without a report that this holder has read.
    ///
    /// Those of a silent host no longer count once its run lease has ended.
    #[must_use]
    pub fn may_hide_ends(&self, now_ms: u64) -> bool {
        self.adoption == Adoption::Unknown
            && self.has_unread_ends
            && (self.unresponsive_since_ms.is_none() || now_ms < self.lease_end_ms)
    }

    /// Returns the greatest end number that the host may drop now; 0 for none.
    ///
    /// Another incarnation would drop ends of its own by it. So it is 0 unless there is something to drop, and unless the host
    /// answered the last order.
    #[must_use]
    pub fn droppable_end(&self) -> u64 {
        if self.lists_ends && self.unresponsive_since_ms.is_none() { self.last_end_recorded } else { 0 }
    }

    /// Converts a monotonic time to the host's own clock, in milliseconds.
    #[must_use]
    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_add_signed(self.clock_offset_ms)
    }

    /// Returns whether the host has a label.
    #[must_use]
    pub fn has_label(&self, label: &str) -> bool {
        self.entry.labels.iter().any(|host_label| **host_label == *label)
    }

    /// Returns whether the host is eligible for a step's tasks, regardless of free resources.
    #[must_use]
    pub fn is_eligible(&self, pool: &PoolName, spec: &StepSpec) -> bool {
        self.entry.pool == *pool
            && spec.required_label.as_ref().is_none_or(|label| self.has_label(label))
            && spec.task_size.fits_within(&self.entry.capacity)
    }

    /// Returns the kind, which is the first label; `None` without a label other than the rack.
    #[must_use]
    pub fn kind(&self) -> Option<&Arc<str>> {
        self.entry.labels.first().filter(|_| self.entry.labels.len() > 1)
    }

    /// Returns the rack, which is the last label; `None` without labels.
    #[must_use]
    pub fn rack(&self) -> Option<&Arc<str>> {
        self.entry.labels.last()
    }
}

fn may_start_late(run: &Run, now_ms: u64) -> bool {
    run.late_start_until_ms().is_some_and(|until_ms| now_ms < until_ms)
}

impl Row for Host {
    type Id = HostName;

    fn id(&self) -> &HostName {
        &self.entry.name
    }
}

/// All backend servers that have a store entry or may still run something.
///
/// The holder polls only engaged hosts and gives work to no others. It engages only as many hosts as work may
/// soon need, so that its cost follows the work and not the fleet.
#[derive(Debug, Default)]
pub struct HostTable {
    rows: IndexedRows<HostKey, Host>,
    largest_by_pool: FxHashMap<PoolName, Resources>,
    /// Rows whose operators' rules have to be looked up.
    pub stale_rules: Vec<HostKey>,
    /// Engaged hosts, ordered by key.
    engaged: BTreeSet<HostKey>,
    /// When hosts last crashed, by address, in monotonic milliseconds.
    crashed_at_ms: FxHashMap<String, u64>,
    /// Hosts that became unresponsive lately, the earliest first.
    losses: VecDeque<Loss>,
    /// Latest entries that name a pool which no configuration has. They are applied once one does.
    pub deferred_entries: FxHashMap<HostName, HostEntry>,
    /// Version of the configuration by which these were last deferred.
    pub deferred_by_version: u64,
    /// When to engage further hosts next, in monotonic milliseconds.
    pub next_engage_at_ms: u64,
    /// Position, among the ready steps, of the one whose demand for hosts is looked at next; counts on without end.
    pub next_demand_step: usize,
    /// Rows that systems went over; a shared view counts too.
    rows_visited: Cell<u64>,
}

/// Gives read access to the rows; changes go through the methods of the table.
impl Deref for HostTable {
    type Target = IndexedRows<HostKey, Host>;

    fn deref(&self) -> &Self::Target {
        &self.rows
    }
}

impl HostTable {
    /// Adds a host, which is not engaged yet.
    ///
    /// Its name then finds this row; an earlier row of the same name stays until it is removed.
    pub fn insert(&mut self, host: Host) -> HostKey {
        self.record_capacity(&host.entry);
        let key = self.rows.insert(host);
        self.stale_rules.push(key);
        key
    }

    /// Replaces the store entry of a host.
    pub fn set_entry(&mut self, key: HostKey, entry: HostEntry) {
        self.record_capacity(&entry);
        self.stale_rules.push(key);
        if let Some(host) = self.rows.get_mut(key) {
            host.entry = entry;
        }
    }

    fn record_capacity(&mut self, entry: &HostEntry) {
        let largest = self.largest_by_pool.entry(entry.pool.clone()).or_default();
        *largest = largest.component_max(&entry.capacity);
    }

    /// Returns the largest amount of each resource per pool.
    ///
    /// Hosts that were removed since the table was last cleared count too.
    #[must_use]
    pub fn largest_by_pool(&self) -> &FxHashMap<PoolName, Resources> {
        &self.largest_by_pool
    }

    /// Removes a host, also from the engaged hosts.
    pub fn remove(&mut self, key: HostKey) -> Option<Host> {
        self.engaged.remove(&key);
        self.rows.remove(key)
    }

    /// Removes all hosts and the largest amounts per pool.
    pub fn clear(&mut self) {
        self.rows.clear();
        self.largest_by_pool.clear();
        self.stale_rules.clear();
        self.crashed_at_ms.clear();
        self.losses.clear();
        self.deferred_entries.clear();
        self.engaged.clear();
    }

    /// Returns a host for changes.
    pub fn get_mut(&mut self, key: HostKey) -> Option<&mut Host> {
        self.rows.get_mut(key)
    }

    /// Iterates over all hosts for changes.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (HostKey, &mut Host)> {
        self.rows.iter_mut()
    }

    /// Engages a host, so that the holder polls it and may give it work.
    pub fn engage(&mut self, key: HostKey) {
        if self.rows.get(key).is_some() {
            self.engaged.insert(key);
        }
    }

    /// Returns whether a host is engaged.
    #[must_use]
    pub fn is_engaged(&self, key: HostKey) -> bool {
        self.engaged.contains(&key)
    }

    /// Returns whether every host is engaged.
    #[must_use]
    pub fn all_engaged(&self) -> bool {
        self.engaged.len() == self.rows.len()
    }

    /// Returns how many engaged rows systems went over since the start.
    ///
    /// It measures the work of ticks without a clock. A system that stops early counts all rows.
    #[must_use]
    pub fn rows_visited(&self) -> u64 {
        self.rows_visited.get()
    }

    fn count_visit(&self) {
        self.rows_visited.set(self.rows_visited.get() + self.engaged.len() as u64);
    }

    /// Records that the host at an address has crashed.
    pub fn record_crash(&mut self, address: &str, now_ms: u64) {
        self.crashed_at_ms.retain(|_, at_ms| now_ms < *at_ms + CRASH_MEMORY_MS);
        self.crashed_at_ms.insert(address.into(), now_ms);
    }

    /// Records that a host became unresponsive; `is_explained` if a run that had just started there may be the cause.
    pub fn record_loss(&mut self, key: HostKey, is_explained: bool, now_ms: u64) {
        let Some(host) = self.rows.get(key) else { return };
        let loss = Loss {
            host: host.entry.name.clone(),
            rack: host.rack().cloned(),
            lost_at_ms: host.unresponsive_since_ms.unwrap_or(now_ms),
            is_explained,
        };
        while self.losses.front().is_some_and(|loss| now_ms >= loss.lost_at_ms + LOSS_MEMORY_MS) {
            self.losses.pop_front();
        }
        self.losses.push_back(loss);
    }

    /// Returns whether a host was lost without others that no new run explains. `None` if its loss is not known.
    ///
    /// Racks, failure domains and platforms lose hosts together.
    #[must_use]
    pub fn was_lost_alone(&self, name: &HostName) -> Option<bool> {
        let loss = self.losses.iter().rfind(|loss| loss.host == *name)?;
        let others = self.losses.iter().filter(|other| {
            other.host != *name
                && !other.is_explained
                && other.lost_at_ms.abs_diff(loss.lost_at_ms) <= COMMON_LOSS_MS
        });
        let is_common =
            others.clone().any(|other| other.rack == loss.rack) || others.count() >= COMMON_LOSSES;
        Some(!is_common)
    }

    /// Returns whether the host at an address has crashed lately.
    #[must_use]
    pub fn has_crashed_lately(&self, address: &str, now_ms: u64) -> bool {
        self.crashed_at_ms.get(address).is_some_and(|at_ms| now_ms < *at_ms + CRASH_MEMORY_MS)
    }

    /// Iterates over the engaged hosts, ordered by key.
    pub fn iter_engaged(&self) -> impl Iterator<Item = (HostKey, &Host)> {
        self.count_visit();
        self.engaged.iter().filter_map(|key| Some((*key, self.rows.get(*key)?)))
    }

    /// Returns whether every host with runs has been silent for a while, and these are several.
    ///
    /// The path between this daemon and the hosts is lost then, rather than all hosts.
    #[must_use]
    pub fn are_all_silent(&self, now_ms: u64) -> bool {
        let is_silent = |host: &Host| {
            host.unresponsive_since_ms.is_some_and(|since_ms| now_ms >= since_ms + COMMON_SILENCE_MS)
        };
        let mut silent_count = 0;
        for (visited, key) in self.engaged.iter().enumerate() {
            let Some(host) = self.rows.get(*key).filter(|host| !host.runs.is_empty()) else { continue };
            if !is_silent(host) {
                self.rows_visited.set(self.rows_visited.get() + visited as u64 + 1);
                return false;
            }
            silent_count += 1;
        }
        self.count_visit();
        silent_count >= MIN_COMMONLY_SILENT_HOSTS
    }

    /// Collects the keys of the engaged hosts.
    ///
    /// The copy lets a caller change rows while it goes through the keys.
    #[must_use]
    pub fn engaged_keys(&self) -> Vec<HostKey> {
        self.count_visit();
        self.engaged.iter().copied().collect()
    }
}
