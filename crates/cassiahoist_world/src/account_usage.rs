//! What client accounts have in use on all hosts, and what they may use.

use cassiahoist_core::prelude::*;
use rustc_hash::FxHashMap;

use crate::accounts::{Account, AccountDirectory};

/// Weight of all accounts if the configuration has no positive one.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Key of the row of an account; it stays valid for the life of the process.
///
/// The default key is that of work without an account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AccountKey(u32);

/// A cap of an earlier configuration, which may still be in force elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PreviousCap {
    cap: Resources,
    /// Until when it counts, in monotonic milliseconds.
    until_ms: u64,
}

/// An account at the holder: its limits, and what its runs use.
#[derive(Clone, Debug)]
pub struct AccountUsage {
    /// Name of the account; `None` for work without an account.
    pub name: Option<AccountName>,
    /// Priority of the account; 0 is the most urgent.
    pub priority: u32,
    /// Weight of its share; positive.
    pub weight: f64,
    /// Resources of all its runs that may exist, with the full size of each task.
    pub in_use: Resources,
    /// Number of these runs.
    pub run_count: u64,
    /// When the cap last kept a task waiting, in monotonic milliseconds; `None` if it never did.
    pub held_back_at_ms: Option<u64>,
    /// When the log last said so, in monotonic milliseconds; `None` if it never did.
    pub held_back_logged_at_ms: Option<u64>,
    cap: Resources,
    previous_caps: Vec<PreviousCap>,
}

impl AccountUsage {
    fn new(name: Option<AccountName>, weight: f64) -> Self {
        Self {
            name,
            priority: 0,
            weight,
            in_use: Resources::default(),
            run_count: 0,
            held_back_at_ms: None,
            held_back_logged_at_ms: None,
            cap: Resources::default(),
            previous_caps: Vec::new(),
        }
    }

    /// Returns the cap in force: the smaller of those that may be, by resource. A resource of 0 is unlimited.
    #[must_use]
    pub fn cap(&self) -> Resources {
        self.previous_caps.iter().fold(self.cap, |cap, previous| smaller_cap(&cap, &previous.cap))
    }

    /// Returns what its tasks may use in addition, if `unseen` runs beside what the tables show.
    ///
    /// An unlimited resource has its largest amount.
    #[must_use]
    pub fn room_under_cap(&self, unseen: &Resources) -> Resources {
        let cap = unlimited_as_largest(&self.cap());
        cap.saturating_sub(&self.in_use).saturating_sub(unseen)
    }

    /// Returns the dominant share of `capacity` that the account uses, divided by its weight.
    #[must_use]
    pub fn weighted_share(&self, capacity: &Resources) -> f64 {
        self.in_use.dominant_share(capacity) / self.weight
    }

    fn replace_cap(&mut self, cap: Resources, until_ms: u64) -> bool {
        let earlier_cap = std::mem::replace(&mut self.cap, cap);
        if earlier_cap == cap {
            return false;
        }
        self.previous_caps.push(PreviousCap { cap: earlier_cap, until_ms });
        true
    }
}

/// Returns the cap that allows what both do.
fn smaller_cap(one: &Resources, other: &Resources) -> Resources {
    let smaller = |one: u64, other: u64| match (one, other) {
        (0, limit) | (limit, 0) => limit,
        (one, other) => one.min(other),
    };
    Resources {
        cpu_milli: smaller(one.cpu_milli, other.cpu_milli),
        memory_mib: smaller(one.memory_mib, other.memory_mib),
        accelerators: smaller(u64::from(one.accelerators), u64::from(other.accelerators)) as u32,
    }
}

/// Replaces the 0 that stands for no limit by the largest amount.
#[must_use]
pub fn unlimited_as_largest(cap: &Resources) -> Resources {
    let limit = |amount: u64| if amount == 0 { u64::MAX } else { amount };
    Resources {
        cpu_milli: limit(cap.cpu_milli),
        memory_mib: limit(cap.memory_mib),
        accelerators: if cap.accelerators == 0 { u32::MAX } else { cap.accelerators },
    }
}

/// Number of accounts whose limits a configuration changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChangedLimits {
    /// Accounts with another cap.
    pub caps: usize,
    /// Accounts with another weight or priority.
    pub shares: usize,
}

/// Accounts by name, with what their runs use.
///
/// The use follows the rows of runs, by [`AccountUsageTable::add`] and [`AccountUsageTable::subtract`]; no tick sums it.
#[derive(Debug)]
pub struct AccountUsageTable {
    /// Version of the configuration from which the limits were taken; `None` before the first.
    pub config_version: Option<u64>,
    /// Capacity of the hosts that took new runs in the latest round of placement.
    pub capacity: Resources,
    /// Visits of steps that the cap of their account kept waiting.
    pub steps_held_back: u64,
    /// Number of accounts with runs.
    accounts_with_runs: u64,
    rows: Vec<AccountUsage>,
    by_name: FxHashMap<AccountName, AccountKey>,
    /// Weight of accounts without a valid one.
    least_weight: f64,
    /// When the first of the previous caps ends, in monotonic milliseconds; `u64::MAX` without one.
    next_cap_end_ms: u64,
}

impl Default for AccountUsageTable {
    fn default() -> Self {
        Self {
            config_version: None,
            capacity: Resources::default(),
            steps_held_back: 0,
            accounts_with_runs: 0,
            rows: vec![AccountUsage::new(None, DEFAULT_WEIGHT)],
            by_name: FxHashMap::default(),
            least_weight: DEFAULT_WEIGHT,
            next_cap_end_ms: u64::MAX,
        }
    }
}

impl AccountUsageTable {
    /// Returns the key of an account, with a new row for one that is not known yet.
    pub fn key_of(&mut self, name: Option<&AccountName>) -> AccountKey {
        let Some(name) = name else { return AccountKey::default() };
        if let Some(key) = self.by_name.get(name) {
            return *key;
        }
        let key = AccountKey(self.rows.len() as u32);
        self.rows.push(AccountUsage::new(Some(name.clone()), self.least_weight));
        self.by_name.insert(name.clone(), key);
        key
    }

    /// Returns the row of an account.
    #[must_use]
    pub fn get(&self, key: AccountKey) -> &AccountUsage {
        &self.rows[key.0 as usize]
    }

    /// Returns the row of an account for changes.
    pub fn get_mut(&mut self, key: AccountKey) -> &mut AccountUsage {
        &mut self.rows[key.0 as usize]
    }

    /// Iterates over all rows, that of work without an account first.
    pub fn iter(&self) -> impl Iterator<Item = (AccountKey, &AccountUsage)> {
        self.rows.iter().enumerate().map(|(index, row)| (AccountKey(index as u32), row))
    }

    /// Returns the number of accounts with runs; work without an account counts as one.
    #[must_use]
    pub fn accounts_with_runs(&self) -> u64 {
        self.accounts_with_runs
    }

    /// Returns whether any account has a cap.
    #[must_use]
    pub fn has_caps(&self) -> bool {
        self.rows.iter().any(|row| row.cap() != Resources::default())
    }

    /// Counts a run of an account.
    pub fn add(&mut self, key: AccountKey, size: &Resources) {
        let row = self.get_mut(key);
        row.in_use = row.in_use.saturating_add(size);
        row.run_count += 1;
        self.accounts_with_runs += u64::from(row.run_count == 1);
    }

    /// Stops counting a run of an account, which has ended.
    pub fn subtract(&mut self, key: AccountKey, size: &Resources) {
        let row = self.get_mut(key);
        row.in_use = row.in_use.saturating_sub(size);
        let was_last = row.run_count == 1;
        row.run_count = row.run_count.saturating_sub(1);
        self.accounts_with_runs -= u64::from(was_last);
    }

    /// Forgets all runs, as the tables of the slice are cleared.
    pub fn clear_usage(&mut self) {
        for row in &mut self.rows {
            row.in_use = Resources::default();
            row.run_count = 0;
            row.held_back_at_ms = None;
        }
        self.accounts_with_runs = 0;
    }

    /// Takes the limits of a configuration; caps that it replaces count until `until_ms`, in monotonic milliseconds.
    ///
    /// Accounts that the configuration does not have keep their limits. The first configuration replaces none.
    pub fn set_limits(&mut self, version: u64, accounts: &AccountDirectory, until_ms: u64) -> ChangedLimits {
        let is_first = self.config_version.replace(version).is_none();
        let valid_weights = accounts.iter().map(|account| account.weight).filter(|weight| is_valid(*weight));
        self.least_weight = valid_weights.min_by(f64::total_cmp).unwrap_or(DEFAULT_WEIGHT);
        self.rows[0].weight = self.least_weight;
        let mut changed = ChangedLimits::default();
        for account in accounts.iter() {
            let is_new = is_first || !self.by_name.contains_key(&account.name);
            let key = self.key_of(Some(&account.name));
            let weight = if is_valid(account.weight) { account.weight } else { self.least_weight };
            self.set_account_limits(key, account, weight, is_new, until_ms, &mut changed);
        }
        changed
    }

    fn set_account_limits(
        &mut self,
        key: AccountKey,
        account: &Account,
        weight: f64,
        is_new: bool,
        until_ms: u64,
        changed: &mut ChangedLimits,
    ) {
        let row = self.get_mut(key);
        if row.weight.total_cmp(&weight).is_ne() || row.priority != account.priority {
            (row.weight, row.priority) = (weight, account.priority);
            changed.shares += 1;
        }
        if is_new {
            row.cap = account.cap;
            return;
        }
        if row.replace_cap(account.cap, until_ms) {
            changed.caps += 1;
            self.next_cap_end_ms = self.next_cap_end_ms.min(until_ms);
        }
    }

    /// Drops the previous caps whose time has passed, and returns when the next one ends; `u64::MAX` without one.
    pub fn end_previous_caps(&mut self, now_ms: u64) -> u64 {
        if now_ms >= self.next_cap_end_ms {
            let mut next_end_ms = u64::MAX;
            for row in &mut self.rows {
                row.previous_caps.retain(|previous| now_ms < previous.until_ms);
                let ends = row.previous_caps.iter().map(|previous| previous.until_ms);
                next_end_ms = ends.fold(next_end_ms, u64::min);
            }
            self.next_cap_end_ms = next_end_ms;
        }
        self.next_cap_end_ms
    }
}

fn is_valid(weight: f64) -> bool {
    weight.is_finite() && weight > 0.0
}
