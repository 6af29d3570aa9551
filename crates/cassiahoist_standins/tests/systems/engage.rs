//! The holder deals with as many hosts as work may soon need.

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::HostReport;
use cassiahoist_world::orders::Order;
use cassiahoist_world::spec::StepSpec;
use cassiahoist_world::store::{KeySpace, StoreChange, StoreKey};

use crate::support::{Holder, entry, report, step};

/// A holder that has just heard of a fleet; hosts from `special` on have a label and a rack of their own.
fn fleet(hosts: u64, special: u64) -> Holder {
    let mut holder = Holder::new(0);
    let reports = (0..hosts).map(|number| {
        let special = number >= special;
        let labels = if special { ["b".into(), "r9-9".into()] } else { ["a".into(), "r1-0".into()] };
        entry(HostReport { labels: labels.into(), ..report(number) })
    });
    holder.watch(KeySpace::Hosts, reports.collect(), 70);
    holder
}

/// Books all of the hosts that are engaged.
fn fill_engaged(holder: &mut Holder) {
    for key in holder.app.world().hosts.engaged_keys() {
        let host = holder.app.world_mut().hosts.get_mut(key).unwrap();
        host.booked = host.report.capacity;
    }
}

fn engaged(holder: &Holder) -> usize {
    holder.app.world().hosts.iter_engaged().count()
}

#[test]
fn a_small_fleet_is_polled_whole() {
    let holder = fleet(48, 48);
    assert_eq!(engaged(&holder), 48);
    assert_eq!(holder.orders().filter(|order| matches!(order.order, Order::Poll { .. })).count(), 48);
}

#[test]
fn of_a_large_fleet_only_some_hosts_are_polled_while_they_stay_free() {
    let mut holder = fleet(400, 400);
    assert_eq!(engaged(&holder), 96);
    for _ in 0..10 {
        holder.tick(100);
    }
    assert_eq!(engaged(&holder), 96);
}

#[test]
fn waiting_work_engages_more_hosts_group_by_group() {
    let mut holder = fleet(400, 400);
    holder.add_job(1, vec![step(2_000)]);
    fill_engaged(&mut holder);
    holder.tick(100);
    assert_eq!(engaged(&holder), 96 + 96, "as many are free again");
    for _ in 0..5 {
        fill_engaged(&mut holder);
        holder.tick(100);
    }
    assert_eq!(engaged(&holder), 400);
}

#[test]
fn work_that_fits_no_free_host_engages_hosts_until_some_fit() {
    let mut holder = fleet(400, 400);
    // Each host has room for all but the largest tasks.
    for key in holder.app.world().hosts.engaged_keys() {
        holder.app.world_mut().hosts.get_mut(key).unwrap().booked = Resources::new(1_000, 0, 0);
    }
    holder.add_job(1, vec![StepSpec { size: Resources::new(8_000, 100, 0), ..step(4) }]);
    holder.tick(100);
    assert_eq!(engaged(&holder), 96, "it may yet get room");
    holder.tick(150);
    assert_eq!(engaged(&holder), 96 + 32);
    holder.tick(100);
    assert_eq!(engaged(&holder), 96 + 32, "enough fit it now");
}

#[test]
fn a_step_gets_hosts_with_its_label_and_near_its_data() {
    for wanted in [
        StepSpec { required_label: Some("b".into()), ..step(2) },
        StepSpec { data_rack: Some("r9-9".into()), ..step(2) },
    ] {
        let mut holder = fleet(400, 395);
        holder.add_job(1, vec![wanted]);
        for _ in 0..4 {
            holder.tick(100);
        }
        let world = holder.app.world();
        let special = world.hosts.iter_engaged().filter(|(_, host)| host.has_label("b")).count();
        assert_eq!(special, 5);
    }
}

#[test]
fn a_host_that_goes_without_ever_having_had_an_order_is_forgotten_at_once() {
    let mut holder = fleet(400, 400);
    let name = |number: u64| HostName::new(&format!("i-{number}")).unwrap();
    let removed = |number| StoreChange::Removed { key: StoreKey::Host(name(number)), revision: 71 };
    holder.watch(KeySpace::Hosts, vec![removed(3), removed(399)], 71);
    let world = holder.app.world();
    assert!(
        world.hosts.find(&name(3)).is_some(),
        "it may come back, and it is polled until its lease is over"
    );
    assert!(world.hosts.find(&name(399)).is_none());
}
