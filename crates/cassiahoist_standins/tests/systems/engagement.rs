//! Engagement of hosts: the holder polls as many as pending tasks may need.

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::HostEntry;
use cassiahoist_world::orders::Order;
use cassiahoist_world::spec::StepSpec;
use cassiahoist_world::store::{KeySpace, StoreChange, StoreKey};

use crate::support::{TestDaemon, entry_change, host_entry, step};

/// Creates a holder that has just read a fleet.
///
/// Hosts from number `first_special` on have label `b` and rack `r9-9`, the others label `a` and rack `r1-0`.
fn fleet(hosts: u64, first_special: u64) -> TestDaemon {
    let mut holder = TestDaemon::with_hosts(0);
    let entries = (0..hosts).map(|number| {
        let special = number >= first_special;
        let labels = if special { ["b".into(), "r9-9".into()] } else { ["a".into(), "r1-0".into()] };
        entry_change(HostEntry { labels: labels.into(), ..host_entry(number) })
    });
    holder.receive_changes(KeySpace::Hosts, entries.collect(), 70);
    holder
}

/// Reserves the whole capacity of every engaged host.
fn reserve_all_engaged(holder: &mut TestDaemon) {
    for key in holder.app.world().hosts.engaged_keys() {
        let host = holder.app.world_mut().hosts.get_mut(key).unwrap();
        host.reserved = host.entry.capacity;
    }
}

/// Counts the engaged hosts.
fn engaged(holder: &TestDaemon) -> usize {
    holder.app.world().hosts.iter_engaged().count()
}

#[test]
fn small_fleet_is_engaged_entirely() {
    let holder = fleet(48, 48);
    assert_eq!(engaged(&holder), 48);
    assert_eq!(holder.orders().filter(|order| matches!(order.order, Order::Poll { .. })).count(), 48);
}

/// 64 free hosts and one batch of 32 are enough for upcoming tasks.
#[test]
fn idle_large_fleet_is_engaged_in_part() {
    let mut holder = fleet(400, 400);
    assert_eq!(engaged(&holder), 96);
    for _ in 0..10 {
        holder.tick(100);
    }
    assert_eq!(engaged(&holder), 96);
}

/// Whenever all engaged hosts are fully reserved, more are engaged for the waiting tasks.
#[test]
fn pending_tasks_engage_hosts_in_groups() {
    let mut holder = fleet(400, 400);
    holder.add_job(1, vec![step(2_000)]);
    reserve_all_engaged(&mut holder);
    holder.tick(100);
    assert_eq!(engaged(&holder), 96 + 96, "as many hosts are free as before");
    for _ in 0..5 {
        reserve_all_engaged(&mut holder);
        holder.tick(100);
    }
    assert_eq!(engaged(&holder), 400);
}

/// A task that fits on no engaged host makes the holder engage more.
///
/// It engages 32 more hosts after 200 ms.
#[test]
fn unplaceable_tasks_engage_hosts_until_they_fit() {
    let mut holder = fleet(400, 400);
    // All but the largest tasks fit on each host.
    for key in holder.app.world().hosts.engaged_keys() {
        holder.app.world_mut().hosts.get_mut(key).unwrap().reserved = Resources::new(1_000, 0, 0);
    }
    holder.add_job(1, vec![StepSpec { task_size: Resources::new(8_000, 100, 0), ..step(4) }]);
    holder.tick(100);
    assert_eq!(
        engaged(&holder),
        96,
        "the tasks have not waited for 200 ms yet, and a host may free enough resources soon"
    );
    holder.tick(150);
    assert_eq!(engaged(&holder), 96 + 32);
    holder.tick(100);
    assert_eq!(engaged(&holder), 96 + 32, "enough hosts fit the task now");
}

/// Only the last five of 400 hosts have the required label and rack.
#[test]
fn required_label_and_data_rack_engage_matching_hosts() {
    for constrained_step in [
        StepSpec { required_label: Some("b".into()), ..step(2) },
        StepSpec { data_rack: Some("r9-9".into()), ..step(2) },
    ] {
        let mut holder = fleet(400, 395);
        holder.add_job(1, vec![constrained_step]);
        for _ in 0..4 {
            holder.tick(100);
        }
        let world = holder.app.world();
        let engaged_special = world.hosts.iter_engaged().filter(|(_, host)| host.has_label("b")).count();
        assert_eq!(engaged_special, 5);
    }
}

/// Host 3 is among the engaged ones, host 399 is not.
#[test]
fn removed_host_is_dropped_at_once_unless_it_was_engaged() {
    let mut holder = fleet(400, 400);
    let host_name = |number: u64| HostName::new(&format!("i-{number}")).unwrap();
    let removed = |number| StoreChange::Removed { key: StoreKey::Host(host_name(number)), revision: 71 };
    holder.receive_changes(KeySpace::Hosts, vec![removed(3), removed(399)], 71);
    let world = holder.app.world();
    assert!(
        world.hosts.find(&host_name(3)).is_some(),
        "an engaged host may register again, and is polled until its lease expires"
    );
    assert!(world.hosts.find(&host_name(399)).is_none());
}

/// The simulation charges processor time for the rows that systems go over.
#[test]
fn visits_of_engaged_rows_are_counted() {
    let holder = TestDaemon::with_hosts(4);
    let hosts = &holder.app.world().hosts;
    let before = hosts.rows_visited();
    assert_eq!(hosts.iter_engaged().count() + hosts.engaged_keys().len(), 8);
    assert_eq!(hosts.rows_visited() - before, 8);
}
