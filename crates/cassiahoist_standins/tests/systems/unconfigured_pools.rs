//! Entries of hosts that name a pool which no configuration has.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_world::config::ConfigRecord;
use cassiahoist_world::hosts::HostEntry;
use cassiahoist_world::orders::Order;
use cassiahoist_world::store::{KeySpace, StoreChange, StoreKey};

use crate::support::{TestDaemon, entry_change, field, host_entry, log_records, step};

/// Puts a configuration in force that has these pools and no queue.
fn configure_pools(holder: &mut TestDaemon, version: u64, pools: &[&str]) {
    let pools = pools.iter().map(|name| PoolName::new(name).unwrap()).collect();
    let config = ConfigRecord { version, pools, ..ConfigRecord::default() };
    holder.app.world_mut().config.current = Some(Arc::new(config));
}

/// Returns an entry under the key of the first host that another writer made: another pool, address and start.
fn entry_of_another_writer() -> HostEntry {
    HostEntry {
        pool: PoolName::new("press").unwrap(),
        address: "10.9.0.77:80".into(),
        started_unix_ms: host_entry(0).started_unix_ms + 5_000,
        ..host_entry(0)
    }
}

/// The entry counted as a restart of the host, and all of its tasks were started elsewhere while they ran.
#[test]
fn entry_with_an_unconfigured_pool_is_no_restart_of_a_host() {
    let mut holder = TestDaemon::with_running_tasks(2, 4);
    configure_pools(&mut holder, 7, &["desk"]);
    let runs = holder.app.world().runs.rows.len();
    holder.receive_changes(KeySpace::Hosts, vec![entry_change(entry_of_another_writer())], 90);
    assert_eq!(holder.app.world().runs.rows.len(), runs);
    assert!(holder.starts().is_empty());
    assert!(log_records(&holder.effects, EventId::HostRestarted).is_empty());
    let records = log_records(&holder.effects, EventId::StoreItemSkipped);
    assert_eq!(field(&records[0], "reason"), "no pool press is configured");
    let host = holder.host(0);
    assert_eq!(holder.app.world().hosts.get(host).unwrap().entry, host_entry(0));
    // The host's own entry still counts, although its start is earlier than that of the other writer's.
    let draining = HostEntry { draining: true, ..host_entry(0) };
    holder.receive_changes(KeySpace::Hosts, vec![entry_change(draining)], 91);
    assert!(holder.app.world().hosts.get(host).unwrap().draining_since_ms.is_some());
}

/// The entry is in the store when a new holder lists the hosts. The true one was then ignored as that of an earlier start.
#[test]
fn host_is_used_once_it_replaces_the_entry_of_another_writer() {
    let mut holder = TestDaemon::with_hosts(0);
    configure_pools(&mut holder, 7, &["desk"]);
    holder.receive_changes(KeySpace::Hosts, vec![entry_change(entry_of_another_writer())], 90);
    assert!(holder.app.world().hosts.find(&host_entry(0).name).is_none());
    holder.receive_changes(KeySpace::Hosts, vec![entry_change(host_entry(0))], 91);
    let host = holder.host(0);
    assert_eq!(holder.app.world().hosts.get(host).unwrap().entry, host_entry(0));
    assert!(holder.app.world().hosts.deferred_entries.is_empty());
}

/// A host may register before the configuration that has its pool was read.
#[test]
fn deferred_entry_is_applied_with_the_configuration_of_its_pool() {
    let mut holder = TestDaemon::with_hosts(1);
    configure_pools(&mut holder, 7, &["desk"]);
    let moved = entry_of_another_writer();
    holder.receive_changes(KeySpace::Hosts, vec![entry_change(moved.clone())], 90);
    configure_pools(&mut holder, 8, &["desk", "wharf"]);
    holder.tick(1);
    assert_eq!(holder.app.world().hosts.deferred_entries.len(), 1);
    configure_pools(&mut holder, 9, &["desk", "press"]);
    holder.tick(1);
    let host = holder.host(0);
    assert_eq!(holder.app.world().hosts.get(host).unwrap().entry, moved);
    assert!(holder.app.world().hosts.deferred_entries.is_empty());
}

/// An entry that is gone must not be applied by a later configuration.
#[test]
fn removed_entry_is_not_applied_later() {
    let mut holder = TestDaemon::with_hosts(0);
    configure_pools(&mut holder, 7, &["desk"]);
    holder.receive_changes(KeySpace::Hosts, vec![entry_change(entry_of_another_writer())], 90);
    let key = StoreKey::Host(host_entry(0).name);
    holder.receive_changes(KeySpace::Hosts, vec![StoreChange::Removed { key, revision: 91 }], 91);
    configure_pools(&mut holder, 8, &["press"]);
    holder.tick(1);
    assert!(holder.app.world().hosts.find(&host_entry(0).name).is_none());
}

/// A pool leaves the configuration while its hosts have work. Their entries, such as that of a drain, still count.
#[test]
fn host_of_a_removed_pool_may_drain() {
    let mut holder = TestDaemon::with_hosts(1);
    configure_pools(&mut holder, 8, &["wharf"]);
    let draining = HostEntry { draining: true, ..host_entry(0) };
    holder.receive_changes(KeySpace::Hosts, vec![entry_change(draining)], 90);
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    assert!(!holder.orders().any(|order| matches!(order.order, Order::Start { .. })));
}

/// Other writers fill the store. The table of entries that wait for a configuration stays small.
#[test]
fn deferred_entries_are_bounded() {
    let mut holder = TestDaemon::with_hosts(0);
    configure_pools(&mut holder, 7, &["desk"]);
    let changes = (0..5_000).map(|number| {
        entry_change(HostEntry { pool: PoolName::new("press").unwrap(), ..host_entry(number) })
    });
    holder.receive_changes(KeySpace::Hosts, changes.collect(), 90);
    assert_eq!(holder.app.world().hosts.deferred_entries.len(), 4_096);
}
