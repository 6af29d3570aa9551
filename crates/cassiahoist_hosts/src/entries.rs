//! Applies the entries that hosts write about themselves in the store.

use cassiahoist_core::prelude::*;
use cassiahoist_runs::reset_restarted_host;
use cassiahoist_world::hosts::{Host, HostEntry, HostKey};
use cassiahoist_world::inbox::RangeUpdate;
use cassiahoist_world::prelude::*;
use cassiahoist_world::store::{KeySpace, StoreChange, StoreItem, StoreKey, StoreValue};
use rustc_hash::FxHashSet;

/// Maximum number of deferred entries. Further ones are dropped; their hosts write them again.
const MAX_DEFERRED_ENTRIES: usize = 4_096;

/// Applies listings and changes of host entries.
///
/// Hosts that are absent from a full listing count as removed from the store.
pub fn apply_host_entries(world: &mut World, now_ms: u64) {
    apply_deferred_entries(world, now_ms);
    for update in world.inbox.take_range_updates(KeySpace::Hosts) {
        match update {
            RangeUpdate::Listing(items) => apply_full_listing(world, items, now_ms),
            RangeUpdate::Changes(changes) => {
                for change in changes {
                    match change {
                        StoreChange::Written(item) => apply_entry(world, item, now_ms),
                        StoreChange::Removed { key, .. } => apply_removal(world, &key, now_ms),
                    }
                }
            }
        }
    }
}

fn apply_full_listing(world: &mut World, items: Vec<StoreItem>, now_ms: u64) {
    // Those that are still in the store are listed again.
    world.hosts.deferred_entries.clear();
    let mut listed_names = FxHashSet::default();
    let known_hosts = world.hosts.len();
    for item in items {
        if let StoreValue::Host(entry) = &item.value {
            listed_names.insert(entry.name.clone());
        }
        apply_entry(world, item, now_ms);
    }
    let missing = world.hosts.iter().filter(|(_, host)| !listed_names.contains(&host.entry.name));
    let missing: Vec<HostKey> = missing.map(|(key, _)| key).collect();
    let log_record = LogRecord::new(EventId::HostsListed)
        .with("listed", listed_names.len())
        .with("known", known_hosts)
        .with("not_listed", missing.len())
        .with("range_gap_ms", world.store_connection.range_gap_ms(KeySpace::Hosts));
    world.log(log_record);
    for key in missing {
        mark_missing(world, key, "not listed", now_ms);
    }
    world.holding.loading.hosts_loaded = true;
}

fn apply_removal(world: &mut World, store_key: &StoreKey, now_ms: u64) {
    let StoreKey::Host(name) = store_key else { return };
    world.hosts.deferred_entries.remove(name);
    if let Some(key) = world.hosts.find(name) {
        mark_missing(world, key, "removed", now_ms);
    }
}

/// Marks a host without a store entry as missing.
///
/// A host that is not engaged never got an order, so its row is removed.
fn mark_missing(world: &mut World, key: HostKey, cause: &str, now_ms: u64) {
    if !world.hosts.is_engaged(key) {
        world.hosts.remove(key);
        return;
    }
    let Some(host) = world.hosts.get_mut(key).filter(|host| host.missing_since_ms.is_none()) else { return };
    host.missing_since_ms = Some(now_ms);
    let log_record = LogRecord::new(EventId::HostMissing)
        .with("host", &host.entry.name)
        .with("cause", cause)
        .with("runs", host.runs.len())
        .with("answered_ms_ago", now_ms.saturating_sub(host.last_answer_at_ms))
        .with("range_gap_ms", world.store_connection.range_gap_ms(KeySpace::Hosts));
    world.log(log_record);
}

fn apply_entry(world: &mut World, item: StoreItem, now_ms: u64) {
    match item.value {
        StoreValue::Host(entry) => match decide_entry(world, &entry) {
            EntryDecision::Apply => {
                world.hosts.deferred_entries.remove(&entry.name);
                apply_host_entry(world, *entry, now_ms);
            }
            EntryDecision::Defer => defer_entry(world, &item.key, *entry),
            EntryDecision::Skip(reason) => skip_entry(world, &item.key, &reason),
        },
        StoreValue::Unreadable { reason } => skip_entry(world, &item.key, &reason),
        _ => {}
    }
}

/// What to do with an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
enum EntryDecision {
    /// Apply it.
    Apply,
    /// Apply it once a configuration has its pool. An earlier one of the same host holds until then.
    Defer,
    /// Ignore it for this reason.
    Skip(String),
}

/// Decides on an entry, which another writer than its host may have made.
///
/// A host keeps its pool even if the configuration no longer has it.
fn decide_entry(world: &World, entry: &HostEntry) -> EntryDecision {
    if let Err(reason) = entry.validate(world.local.unix_ms) {
        return EntryDecision::Skip(reason);
    }
    let known_host = world.hosts.find(&entry.name).and_then(|key| world.hosts.get(key));
    let is_pool_known = known_host.is_some_and(|host| host.entry.pool == entry.pool)
        || world.config.current.as_ref().is_none_or(|config| config.has_pool(&entry.pool));
    if is_pool_known { EntryDecision::Apply } else { EntryDecision::Defer }
}

fn defer_entry(world: &mut World, key: &StoreKey, entry: HostEntry) {
    skip_entry(world, key, &format!("no pool {} is configured", entry.pool));
    let deferred = &mut world.hosts.deferred_entries;
    if deferred.len() < MAX_DEFERRED_ENTRIES || deferred.contains_key(&entry.name) {
        deferred.insert(entry.name.clone(), entry);
    }
}

/// Applies deferred entries whose pools a new configuration has.
fn apply_deferred_entries(world: &mut World, now_ms: u64) {
    let version = world.config.current.as_ref().map_or(0, |config| config.version);
    if std::mem::replace(&mut world.hosts.deferred_by_version, version) == version {
        return;
    }
    for (name, entry) in std::mem::take(&mut world.hosts.deferred_entries) {
        match decide_entry(world, &entry) {
            EntryDecision::Apply => apply_host_entry(world, entry, now_ms),
            EntryDecision::Defer => {
                world.hosts.deferred_entries.insert(name, entry);
            }
            EntryDecision::Skip(_) => {}
        }
    }
}

/// Skips an entry that another writer made. An earlier one of the same host holds.
fn skip_entry(world: &mut World, key: &StoreKey, reason: &str) {
    let log_record = LogRecord::new(EventId::StoreItemSkipped).with("key", format!("{key:?}"));
    world.log(log_record.with("reason", reason));
}

fn apply_host_entry(world: &mut World, entry: HostEntry, now_ms: u64) {
    let Some(key) = world.hosts.find(&entry.name) else {
        let key = world.hosts.insert(Host::new(entry, now_ms));
        return update_draining_since(world, key, now_ms);
    };
    let Some(host) = world.hosts.get_mut(key) else { return };
    if entry.started_unix_ms < host.entry.started_unix_ms {
        // A late entry of an earlier incarnation.
        return;
    }
    if host.update_incarnation(entry.started_unix_ms) {
        let log_record = LogRecord::new(EventId::HostRestarted).with("host", &entry.name);
        world.log(log_record.with("born_unix_ms", entry.started_unix_ms));
        reset_restarted_host(world, key, "it registered a new incarnation", now_ms);
    }
    let Some(host) = world.hosts.get_mut(key) else { return };
    if let Some(since_ms) = host.missing_since_ms.take() {
        let log_record = LogRecord::new(EventId::HostReturned).with("host", &entry.name);
        world.log(log_record.with("missing_ms", now_ms.saturating_sub(since_ms)));
    }
    world.hosts.set_entry(key, entry);
    update_draining_since(world, key, now_ms);
}

fn update_draining_since(world: &mut World, key: HostKey, now_ms: u64) {
    let Some(host) = world.hosts.get_mut(key) else { return };
    if !host.entry.draining {
        host.draining_since_ms = None;
    } else if host.draining_since_ms.is_none() {
        host.draining_since_ms = Some(now_ms);
        let log_record = LogRecord::new(EventId::HostDraining).with("host", &host.entry.name);
        let log_record = log_record
            .with("runs", host.runs.len())
            .with("range_gap_ms", world.store_connection.range_gap_ms(KeySpace::Hosts));
        world.log(log_record);
    }
}
