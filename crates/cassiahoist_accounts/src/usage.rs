//! Caps of accounts: what is in use on all hosts, and what may start beside it.

use std::collections::BTreeSet;
use std::fmt;

use cassiahoist_core::prelude::*;
use cassiahoist_world::account_usage::{AccountKey, unlimited_as_largest};
use cassiahoist_world::hosts::Host;
use cassiahoist_world::jobs::{Step, StepKey};
use cassiahoist_world::prelude::*;
use cassiahoist_world::spec::{JobSpec, StepSpec};
use rustc_hash::FxHashMap;

/// Minimum time between log lines about the same account at its cap, in milliseconds.
const HELD_BACK_LOG_INTERVAL_MS: u64 = 10_000;

/// Takes the limits of accounts from the configuration in force.
pub fn apply_account_limits(world: &mut World, now_ms: u64) {
    let next_end_ms = world.account_usage.end_previous_caps(now_ms);
    world.wake_by(next_end_ms);
    let Some(config) = world.config.current.clone() else { return };
    if world.account_usage.config_version == Some(config.version) {
        return;
    }
    // The replaced version may still be in force elsewhere.
    let previous_until_ms = now_ms + world.local.bounds.config_apply_ms;
    let changed = world.account_usage.set_limits(config.version, &config.accounts, previous_until_ms);
    if !config.accounts.is_empty() {
        let log_record = LogRecord::new(EventId::AccountLimitsInForce).with("version", config.version);
        let log_record = log_record.with("accounts", config.accounts.iter().count());
        world.log(log_record.with("changed_caps", changed.caps).with("changed_shares", changed.shares));
    }
}

/// A step that never fits the cap of its account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapExcess {
    /// Index of the step.
    pub step: usize,
    /// What has to run at a time: one task, or the whole gang.
    pub need: Resources,
    /// Cap of the account.
    pub cap: Resources,
}

impl fmt::Display for CapExcess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { step, need, cap } = self;
        write!(f, "step {step} needs {need:?} at a time, but its account may have {cap:?} running")
    }
}

/// Checks that each step of a job fits the cap of its account in the configuration in force.
///
/// # Errors
/// Returns the first step that does not, even if nothing else of the account runs.
pub fn check_cap(world: &World, account: &AccountName, spec: &JobSpec) -> Result<(), CapExcess> {
    let config = world.config.current.as_ref();
    let Some(cap) = config.and_then(|config| config.accounts.get(account)).map(|account| account.cap) else {
        return Ok(());
    };
    let limits = unlimited_as_largest(&cap);
    let needs = spec.steps.iter().map(need_at_a_time);
    match needs.enumerate().find(|(_, need)| !need.fits_within(&limits)) {
        Some((step, need)) => Err(CapExcess { step, need, cap }),
        None => Ok(()),
    }
}

/// Returns what has to run at a time for a step to make progress.
fn need_at_a_time(step: &StepSpec) -> Resources {
    if step.gang { step.task_size.times(step.task_count) } else { step.task_size }
}

/// What accounts may have running on hosts that have not reported to this holder yet.
///
/// An upper bound for each account: it counts the whole capacity of such a host, as far as the account has jobs of
/// earlier holders that may use it.
#[derive(Clone, Debug, Default)]
pub struct UnseenUse {
    /// Capacity of hosts that may run work of any account.
    anywhere: Resources,
    /// Capacity of hosts that may run work of some accounts only.
    by_account: FxHashMap<AccountKey, Resources>,
    /// What the jobs of earlier holders may use, by account; `None` while they are not all known.
    inherited_demand: Option<FxHashMap<AccountKey, Resources>>,
}

/// Sums what the jobs of earlier holders may have running.
///
/// A task may run twice, as a copy beside an unanswered start.
fn sum_inherited_demand(world: &World) -> FxHashMap<AccountKey, Resources> {
    let mut demand: FxHashMap<AccountKey, Resources> = FxHashMap::default();
    for (_, job) in world.jobs.iter().filter(|(_, job)| job.inherited) {
        let occurrences = job.open_occurrences.len() as u32 + 1;
        let sum = demand.entry(job.account).or_default();
        for step in &job.record.spec.steps {
            *sum = sum.saturating_add(&step.task_size.times(step.task_count.saturating_mul(occurrences)));
        }
    }
    demand
}

impl UnseenUse {
    /// Goes over the engaged hosts; empty if no account has a cap.
    #[must_use]
    pub fn collect(world: &World) -> Self {
        let mut unseen = Self::default();
        if !world.account_usage.has_caps() {
            return unseen;
        }
        let largest = world.hosts.largest_by_pool().values();
        let largest = largest.fold(Resources::default(), |largest, other| largest.component_max(other));
        for (_, host) in world.hosts.iter_engaged().filter(|(_, host)| host.is_unadopted()) {
            // A host without an entry in the store has no known capacity.
            let is_known = host.entry.capacity != Resources::default();
            unseen.count_host(world, host, if is_known { &host.entry.capacity } else { &largest });
        }
        let is_empty = unseen.anywhere == Resources::default() && unseen.by_account.is_empty();
        if !is_empty && world.holding.loading.jobs_loaded {
            unseen.inherited_demand = Some(sum_inherited_demand(world));
        }
        unseen
    }

    fn count_host(&mut self, world: &World, host: &Host, capacity: &Resources) {
        let job_accounts = host.silent_jobs.as_ref().and_then(|jobs| {
            let rows = jobs.iter().map(|job| world.jobs.find(job).and_then(|job| world.jobs.get(job)));
            rows.map(|job| Some(job?.account)).collect::<Option<BTreeSet<AccountKey>>>()
        });
        let Some(accounts) = job_accounts else {
            self.anywhere = self.anywhere.saturating_add(capacity);
            return;
        };
        for account in accounts {
            let row = self.by_account.entry(account).or_default();
            *row = row.saturating_add(capacity);
        }
    }

    /// Returns the bound for an account.
    #[must_use]
    pub fn of(&self, account: AccountKey) -> Resources {
        let own = self.by_account.get(&account).copied().unwrap_or_default();
        let capacity = self.anywhere.saturating_add(&own);
        match &self.inherited_demand {
            Some(demand) => capacity.component_min(&demand.get(&account).copied().unwrap_or_default()),
            None => capacity,
        }
    }
}

/// How many tasks of a step may start under the cap of its account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapDecision {
    /// As many tasks as this at most; all of a gang.
    Start {
        /// Number of tasks.
        most: u32,
    },
    /// None: the account has too much running.
    HeldBack,
}

/// Decides how many tasks of a step may start under the cap of its account.
#[must_use]
pub fn decide_under_cap(world: &World, step: &Step, spec: &StepSpec, unseen: &UnseenUse) -> CapDecision {
    let Some(job) = world.jobs.get(step.job) else { return CapDecision::HeldBack };
    let room = world.account_usage.get(job.account).room_under_cap(&unseen.of(job.account));
    let most = spec.task_size.count_within(&room);
    let least = if spec.gang { spec.task_count } else { 1 };
    if most >= least { CapDecision::Start { most } } else { CapDecision::HeldBack }
}

/// Records that the cap of its account keeps a step waiting; logs it now and then.
pub fn record_held_back(world: &mut World, step: StepKey, unseen: &UnseenUse, now_ms: u64) {
    let Some(step) = world.jobs.steps.get(step) else { return };
    let Some(account) = world.jobs.get(step.job).map(|job| job.account) else { return };
    world.account_usage.steps_held_back += 1;
    let row = world.account_usage.get_mut(account);
    row.held_back_at_ms = Some(now_ms);
    if row.held_back_logged_at_ms.is_some_and(|at_ms| now_ms < at_ms + HELD_BACK_LOG_INTERVAL_MS) {
        return;
    }
    row.held_back_logged_at_ms = Some(now_ms);
    let log_record = LogRecord::new(EventId::AccountCapReached)
        .with("account", row.name.as_ref().map_or("", AccountName::as_str))
        .with("step", step.name)
        .with("in_use", format!("{:?}", row.in_use))
        .with("runs", row.run_count)
        .with("cap", format!("{:?}", row.cap()))
        .with("unseen", format!("{:?}", unseen.of(account)));
    world.log(log_record);
}

/// Sums what each account uses by going over all rows, for checks of the table that events keep.
#[must_use]
pub fn recount_usage(world: &World) -> FxHashMap<AccountKey, Resources> {
    let runs = world.runs.rows.values().map(|run| (run.account, run.task_size));
    let orphans = world.hosts.iter().flat_map(|(_, host)| host.orphans.counted.iter().copied());
    let mut sums: FxHashMap<AccountKey, Resources> = FxHashMap::default();
    for (account, size) in runs.chain(orphans) {
        let sum = sums.entry(account).or_default();
        *sum = sum.saturating_add(&size);
    }
    sums
}
