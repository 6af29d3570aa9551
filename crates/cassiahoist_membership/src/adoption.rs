//! Adoption of a slice by a new holder.
//!
//! It reads the progress records and the host roster from the store. The roster lists the hosts on which an earlier
//! holder may have started runs.

use cassiahoist_core::prelude::*;
use cassiahoist_world::earlier_clock::EarlierClockOrders;
use cassiahoist_world::holding::{HoldingEvent, ListedHost, PERMISSION_MS};
use cassiahoist_world::hosts::{Host, HostEntry};
use cassiahoist_world::prelude::*;
use cassiahoist_world::record::{HostRoster, RosterHost};
use cassiahoist_world::store::{
    KeySpace, StoreCompletion, StoreItem, StoreKey, StoreOp, StorePurpose, StoreReply, StoreValue,
};
use rustc_hash::FxHashSet;

use crate::claim::SLICE;
use crate::follow::page_timeout_ms;

/// Delay before a failed read is retried, in milliseconds.
const RETRY_DELAY_MS: u64 = 150;

/// Requests progress and the host roster after a claim succeeded, and applies the answers.
pub fn load_records(world: &mut World, now_ms: u64) {
    apply_progress_answers(world, now_ms);
    apply_roster_answers(world, now_ms);
    if !world.holding.is_adopting() {
        return;
    }
    let loading = &world.holding.loading;
    if now_ms < loading.next_call_at_ms {
        let next_call_at_ms = loading.next_call_at_ms;
        return world.wake_by(next_call_at_ms);
    }
    if loading.progress.is_none() && !loading.progress_in_flight {
        world.holding.loading.progress_in_flight = true;
        let timeout_ms = page_timeout_ms(world);
        world.call_store(StorePurpose::LoadProgress, StoreOp::List(KeySpace::Progress), now_ms, timeout_ms);
    }
    let loading = &world.holding.loading;
    if !loading.roster_loaded && loading.roster.is_none() && !loading.roster_in_flight {
        world.holding.loading.roster_in_flight = true;
        let op = StoreOp::Get(StoreKey::HostRoster(SLICE));
        let timeout_ms = page_timeout_ms(world);
        world.call_store(StorePurpose::LoadRoster, op, now_ms, timeout_ms);
    }
}

/// Takes the answers to reads made since the current claim. Older reads may miss later writes.
fn take_current_answers(world: &mut World, purpose: &StorePurpose) -> Vec<StoreCompletion> {
    let answers = world.inbox.take_store_results(|other| other == purpose);
    answers.into_iter().filter(|completion| world.holding.is_since_claim(completion.issued_at_ms)).collect()
}

fn apply_progress_answers(world: &mut World, now_ms: u64) {
    for completion in take_current_answers(world, &StorePurpose::LoadProgress) {
        world.holding.loading.progress_in_flight = false;
        match completion.outcome {
            Ok(StoreReply::Items { items, .. }) => {
                for item in &items {
                    skip_unreadable_progress(world, item);
                }
                let rows = items.into_iter().filter_map(progress_row).collect();
                world.holding.loading.progress = Some(rows);
            }
            Ok(_) | Err(_) => world.holding.loading.next_call_at_ms = now_ms + RETRY_DELAY_MS,
        }
    }
}

/// Excludes the job of a progress record that can't be decoded.
fn skip_unreadable_progress(world: &mut World, item: &StoreItem) {
    if let (StoreKey::Progress(job), StoreValue::Unreadable { reason }) = (&item.key, &item.value) {
        world.holding.loading.unreadable_progress.insert(*job);
        let log_record = LogRecord::new(EventId::StoreItemSkipped).with("key", format!("{:?}", item.key));
        world.log(log_record.with("reason", reason));
    }
}

/// Progress of a job, with the store revision of its record.
type ProgressRow = (JobId, (cassiahoist_world::record::ProgressRecord, u64));

fn progress_row(item: StoreItem) -> Option<ProgressRow> {
    match (item.key, item.value) {
        (StoreKey::Progress(job), StoreValue::Progress(record)) => Some((job, (*record, item.revision))),
        _ => None,
    }
}

fn apply_roster_answers(world: &mut World, now_ms: u64) {
    for completion in take_current_answers(world, &StorePurpose::LoadRoster) {
        world.holding.loading.roster_in_flight = false;
        let Ok(StoreReply::Item(item)) = completion.outcome else {
            world.holding.loading.next_call_at_ms = now_ms + RETRY_DELAY_MS;
            continue;
        };
        let (roster, revision) = match item {
            Some(StoreItem { value: StoreValue::HostRoster(roster), revision, .. }) => (roster, revision),
            Some(StoreItem { key, value, revision }) => {
                world.holding.loading.is_roster_unreadable = true;
                let log_record = LogRecord::new(EventId::StoreItemSkipped).with("key", format!("{key:?}"));
                world.log(match value {
                    StoreValue::Unreadable { reason } => log_record.with("reason", reason),
                    _ => log_record.with("reason", "it is no roster"),
                });
                (HostRoster::default(), revision)
            }
            None => (HostRoster::default(), 0),
        };
        world.store_writes.roster_revision = revision;
        world.store_writes.roster_size = roster.hosts.len();
        let hosts = roster.hosts.iter().map(|host| ListedHost {
            name: host.name.clone(),
            started_unix_ms: host.started_unix_ms,
            joined_generation: host.joined_generation,
        });
        world.holding.loading.roster_hosts = hosts.collect();
        world.holding.loading.roster = Some(roster);
    }
    // The host entries are loaded first, so that hosts only in the roster can be identified.
    if world.holding.loading.hosts_loaded
        && let Some(roster) = world.holding.loading.roster.take()
    {
        world.holding.loading.roster_loaded = true;
        world.holding.loading.silent_jobs = silent_jobs(&roster);
        adopt_host_roster(world, &roster, now_ms);
    }
}

/// Marks the hosts of the roster, adding rows for those without a store entry.
fn adopt_host_roster(world: &mut World, roster: &HostRoster, now_ms: u64) {
    for entry in &roster.hosts {
        let known_key = world.hosts.find(&entry.name);
        if let Some(key) = known_key {
            world.hosts.engage(key);
        }
        match known_key.and_then(|key| world.hosts.get_mut(key)) {
            Some(host) if host.entry.started_unix_ms > entry.started_unix_ms => {
                // Orders to the earlier incarnation may have taken effect at the later one.
                set_roster_state(host, entry);
                host.earlier_clock_orders = EarlierClockOrders::FromBeforeRestart(Fence(0));
                world.store_writes.roster_stale = true;
            }
            Some(host) => {
                // The earlier holder may have learned of a restart before the store.
                host.entry.started_unix_ms = entry.started_unix_ms;
                set_roster_state(host, entry);
            }
            None => {
                let mut host = Host::new(roster_only_entry(entry, &world.local.domain), now_ms);
                host.missing_since_ms = Some(now_ms);
                set_roster_state(&mut host, entry);
                let key = world.hosts.insert(host);
                world.hosts.engage(key);
            }
        }
    }
}

fn set_roster_state(host: &mut Host, entry: &RosterHost) {
    host.in_roster = true;
    host.joined_generation = entry.joined_generation;
    host.silent_jobs.clone_from(&entry.silent_jobs);
    if entry.may_hold_longest_lease {
        // The orders of earlier holders have smaller tokens than those of this one.
        host.earlier_clock_orders = EarlierClockOrders::FromBeforeRestart(Fence(0));
    }
}

/// Collects the jobs that may have runs on hosts that the earlier holder listed as silent.
fn silent_jobs(roster: &HostRoster) -> FxHashSet<JobId> {
    roster.hosts.iter().flat_map(|host| host.silent_jobs.iter().flatten()).copied().collect()
}

fn roster_only_entry(entry: &RosterHost, domain: &FailureDomain) -> HostEntry {
    HostEntry {
        name: entry.name.clone(),
        pool: PoolName::unknown(),
        address: entry.address.clone(),
        domain: domain.clone(),
        draining: true,
        started_unix_ms: entry.started_unix_ms,
        capacity: Resources::default(),
        labels: Vec::new(),
    }
}

/// Completes the adoption once records and hosts are loaded; placement begins then.
///
/// Hosts in the roster are assumed to hold the longest possible lease, which an earlier holder may extend for a short time.
pub fn finish_adoption(world: &mut World, now_ms: u64) {
    if !world.holding.is_adopting() || !world.holding.loading.is_complete() {
        return;
    }
    world.holding.apply_event(HoldingEvent::Adopted);
    world.holding.polling_since_ms = now_ms;
    let (lease_ms, longest_lease_ms) =
        (world.local.bounds.max_run_lease_ms(), world.local.longest_run_lease_ms());
    for key in world.hosts.engaged_keys() {
        if let Some(host) = world.hosts.get_mut(key).filter(|host| host.in_roster) {
            let is_longest = host.earlier_clock_orders.are_from_before_restart();
            let inherited_lease_ms = if is_longest { longest_lease_ms } else { lease_ms };
            host.lease_end_ms = now_ms + PERMISSION_MS + inherited_lease_ms;
        }
    }
    let took_ms = now_ms - world.holding.claim_won_at_ms().unwrap_or(now_ms);
    let log_record = LogRecord::new(EventId::SliceAdopted).with("jobs", world.jobs.len());
    let log_record = log_record
        .with("hosts", world.hosts.len())
        .with("engaged_hosts", world.hosts.iter_engaged().count())
        .with("took_ms", took_ms)
        .with("hosts_range_age_ms", world.store_connection.range_age_ms(KeySpace::Hosts, now_ms))
        .with("jobs_range_age_ms", world.store_connection.range_age_ms(KeySpace::Jobs, now_ms));
    world.log(log_record);
}
