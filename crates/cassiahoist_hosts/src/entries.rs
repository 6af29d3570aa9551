//! Entries of hosts in the store.

use cassiahoist_core::prelude::*;
use cassiahoist_runs::begin_host_life;
use cassiahoist_world::hosts::{Host, HostKey, HostReport};
use cassiahoist_world::inbox::RangeNews;
use cassiahoist_world::prelude::*;
use cassiahoist_world::store::{KeySpace, StoreChange, StoreItem, StoreKey, StoreValue};
use rustc_hash::FxHashSet;

/// Takes in what hosts say of themselves.
pub fn read_host_entries(world: &mut World, now_ms: u64) {
    for news in world.inbox.take_range(KeySpace::Hosts) {
        match news {
            RangeNews::Whole(items) => read_whole(world, items, now_ms),
            RangeNews::Changes(changes) => {
                for change in changes {
                    match change {
                        StoreChange::Written(item) => read_entry(world, item, now_ms),
                        StoreChange::Removed { key, .. } => read_removal(world, &key, now_ms),
                    }
                }
            }
        }
    }
}

fn read_whole(world: &mut World, items: Vec<StoreItem>, now_ms: u64) {
    let mut listed = FxHashSet::default();
    for item in items {
        if let StoreValue::Host(report) = &item.value {
            listed.insert(report.name.clone());
        }
        read_entry(world, item, now_ms);
    }
    let missing = world.hosts.iter().filter(|(_, host)| !listed.contains(&host.report.name));
    let missing: Vec<HostKey> = missing.map(|(key, _)| key).collect();
    for key in missing {
        note_missing(world, key, now_ms);
    }
    world.holding.loading.hosts = true;
}

fn read_removal(world: &mut World, key: &StoreKey, now_ms: u64) {
    if let StoreKey::Host(name) = key
        && let Some(key) = world.hosts.find(name)
    {
        note_missing(world, key, now_ms);
    }
}

/// The entry of a host is gone; of one that never got an order nothing else is known.
fn note_missing(world: &mut World, key: HostKey, now_ms: u64) {
    if !world.hosts.is_engaged(key) {
        world.hosts.remove(key);
    } else if let Some(host) = world.hosts.get_mut(key) {
        host.missing_since_ms.get_or_insert(now_ms);
    }
}

fn read_entry(world: &mut World, item: StoreItem, now_ms: u64) {
    match item.value {
        StoreValue::Host(report) => read_report(world, *report, now_ms),
        StoreValue::Unreadable { reason } => {
            let note = LogNote::new(EventId::StoreItemSkipped).with("key", format!("{:?}", item.key));
            world.log(note.with("reason", reason));
        }
        _ => {}
    }
}

fn read_report(world: &mut World, report: HostReport, now_ms: u64) {
    let Some(key) = world.hosts.find(&report.name) else {
        let key = world.hosts.insert(Host::new(report, now_ms));
        return note_leaving(world, key, now_ms);
    };
    let Some(host) = world.hosts.get_mut(key) else { return };
    if report.born_unix_ms < host.report.born_unix_ms {
        // A late entry of an earlier life.
        return;
    }
    if host.is_other_life(report.born_unix_ms) {
        let note = LogNote::new(EventId::HostReborn).with("host", &report.name);
        world.log(note.with("born_unix_ms", report.born_unix_ms));
        begin_host_life(world, key, "it registered a new life", now_ms);
    }
    let Some(host) = world.hosts.get_mut(key) else { return };
    host.missing_since_ms = None;
    world.hosts.set_report(key, report);
    note_leaving(world, key, now_ms);
}

fn note_leaving(world: &mut World, key: HostKey, now_ms: u64) {
    let Some(host) = world.hosts.get_mut(key) else { return };
    if !host.report.leaving {
        host.leaving_since_ms = None;
    } else if host.leaving_since_ms.is_none() {
        host.leaving_since_ms = Some(now_ms);
        let note = LogNote::new(EventId::HostLeaving).with("host", &host.report.name);
        let note = note.with("runs", host.runs.len());
        world.log(note);
    }
}
