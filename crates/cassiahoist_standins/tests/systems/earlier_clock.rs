//! Restarted hosts that take orders meant for their earlier incarnation.

use cassiahoist_core::prelude::*;
use cassiahoist_world::earlier_clock::EarlierClockOrders;
use cassiahoist_world::holding::{HoldingEvent, PERMISSION_MS};
use cassiahoist_world::hosts::{Host, HostEntry};
use cassiahoist_world::jobs::TaskState;
use cassiahoist_world::orders::{HostLists, HostOrder, Order, OrderOutcome};
use cassiahoist_world::record::{HostRoster, RosterHost};
use cassiahoist_world::spec::StepSpec;
use cassiahoist_world::store::{
    KeySpace, StoreItem, StoreKey, StoreOp, StorePurpose, StoreReply, StoreValue,
};
use cassiahoist_world::unsent::UnsentCause;

use crate::support::{
    FENCE, TestDaemon, entry_change, field, host_entry, log_records, running, running_lists, step, task_name,
};

/// Revision under which the roster lists the new incarnation of the first host.
const ROSTER_REVISION: u64 = 61;

/// Greatest length of the holder's own leases and of any lease on the daemon's clock, in milliseconds.
fn lease_bounds_ms(holder: &TestDaemon) -> (u64, u64) {
    let local = &holder.app.world().local;
    (local.bounds.max_run_lease_ms(), local.longest_run_lease_ms())
}

fn restarted_entry() -> HostEntry {
    HostEntry { started_unix_ms: host_entry(0).started_unix_ms + 50_000, ..host_entry(0) }
}

/// Lets the first host register a new incarnation.
fn register_restart(holder: &mut TestDaemon) {
    holder.receive_changes(KeySpace::Hosts, vec![entry_change(restarted_entry())], 90);
}

/// Lets the first host answer a poll of this daemon under a token.
fn answer_poll(holder: &mut TestDaemon, fence: Fence, lists: HostLists) {
    let order = HostOrder {
        host: holder.host(0),
        host_name: host_entry(0).name,
        address: host_entry(0).address,
        fence,
        order: Order::Poll { lease_until_ms: None, last_end_recorded: 0, wait_ms: 0 },
        timeout_ms: 100,
    };
    let host_clock_ms = holder.now_ms;
    holder.answer(order, OrderOutcome::Done { lists: Some(lists) }, Some(host_clock_ms));
}

/// Lets the new incarnation answer its first poll, and writes the roster.
fn adopt_restarted_host(holder: &mut TestDaemon) {
    answer_poll(holder, FENCE, HostLists::default());
    let write = holder.commits(|call| call.purpose == StorePurpose::WriteRoster).remove(0);
    holder.answer_store(write, Ok(StoreReply::Committed { revision: ROSTER_REVISION }));
}

fn lease_end_ms(holder: &TestDaemon) -> u64 {
    holder.app.world().hosts.get(holder.host(0)).unwrap().lease_end_ms
}

fn earlier_clock_orders(holder: &TestDaemon) -> EarlierClockOrders {
    holder.app.world().hosts.get(holder.host(0)).unwrap().earlier_clock_orders
}

/// A poll for the earlier incarnation arrives at the restarted host and names a time far ahead on its clock.
///
/// The host held its runs for the longest lease, while the holder counted its own one, and started them elsewhere first.
#[test]
fn run_on_a_restarted_host_is_given_the_longest_lease() {
    let mut holder = TestDaemon::with_hosts(1);
    let (lease_ms, longest_lease_ms) = lease_bounds_ms(&holder);
    register_restart(&mut holder);
    adopt_restarted_host(&mut holder);
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    assert_eq!(holder.starts().len(), 1);
    let start = holder.orders().find(|order| matches!(order.order, Order::Start { .. })).cloned().unwrap();
    assert_eq!(start.fence, Fence(ROSTER_REVISION), "the start shuts out orders from before the restart");
    holder.answer(start, OrderOutcome::Done { lists: None }, Some(2_000));
    let started_at_ms = holder.now_ms;
    assert_eq!(lease_end_ms(&holder), started_at_ms + longest_lease_ms);
    let host = holder.host(0);
    let row = holder.app.world_mut().hosts.get_mut(host).unwrap();
    row.unresponsive_since_ms = Some(started_at_ms);
    row.poll.sent_ms = Some(started_at_ms);
    let task = holder.task(&task_name(1, 0, 0));
    let is_pending = |holder: &TestDaemon| holder.app.world().jobs.tasks[task].state == TaskState::Pending;
    while holder.now_ms < started_at_ms + longest_lease_ms - 60 {
        holder.tick(50);
        assert!(!is_pending(&holder), "{} ms after the start", holder.now_ms - started_at_ms);
    }
    assert!(holder.now_ms > started_at_ms + lease_ms);
    holder.tick(200);
    assert!(is_pending(&holder));
}

/// Orders under a token that earlier ones had, too, don't show that the host refuses those.
#[test]
fn orders_from_before_a_restart_are_shut_out_only_by_a_greater_token() {
    let mut holder = TestDaemon::with_running_tasks(1, 1);
    let (_, longest_lease_ms) = lease_bounds_ms(&holder);
    register_restart(&mut holder);
    assert_eq!(earlier_clock_orders(&holder), EarlierClockOrders::FromBeforeRestart(FENCE));
    for _ in 0..3 {
        holder.tick(100);
        answer_poll(&mut holder, FENCE, HostLists::default());
        assert_eq!(lease_end_ms(&holder), holder.now_ms + longest_lease_ms);
        assert_eq!(earlier_clock_orders(&holder), EarlierClockOrders::FromBeforeRestart(FENCE));
    }
    answer_poll(&mut holder, Fence(ROSTER_REVISION), HostLists::default());
    assert_eq!(earlier_clock_orders(&holder), EarlierClockOrders::ShutOut);
    let end_ms = lease_end_ms(&holder);
    assert_eq!(end_ms, holder.now_ms + longest_lease_ms);
    holder.tick(500);
    answer_poll(&mut holder, Fence(ROSTER_REVISION), HostLists::default());
    assert_eq!(lease_end_ms(&holder), end_ms, "later answers extend nothing");
}

/// A new holder adopts a host to which its predecessor sent orders on the clock of an earlier incarnation.
#[test]
fn first_answer_to_a_new_holder_allows_for_the_longest_lease() {
    let mut holder = TestDaemon::with_hosts(1);
    let (_, longest_lease_ms) = lease_bounds_ms(&holder);
    let host = holder.host(0);
    holder.app.world_mut().hosts.get_mut(host).unwrap().earlier_clock_orders = EarlierClockOrders::default();
    holder.add_job(1, vec![step(1)]);
    answer_poll(&mut holder, FENCE, running_lists(vec![running(&task_name(1, 0, 0), 1)]));
    assert_eq!(lease_end_ms(&holder), holder.now_ms + longest_lease_ms);
}

/// Returns the roster that the last tick writes.
fn written_roster(holder: &TestDaemon) -> HostRoster {
    let call = holder.commits(|call| call.purpose == StorePurpose::WriteRoster).remove(0);
    let StoreOp::Commit(transaction) = call.op else { panic!("no transaction") };
    match &transaction.puts[0].value {
        StoreValue::HostRoster(roster) => roster.clone(),
        other => panic!("{other:?} is no roster"),
    }
}

/// The holder is lost after a host restarted. Its successor has to know that the host may hold a longer lease.
#[test]
fn roster_tells_which_hosts_may_hold_the_longest_lease() {
    let mut holder = TestDaemon::with_hosts(2);
    register_restart(&mut holder);
    answer_poll(&mut holder, FENCE, HostLists::default());
    let flags: Vec<bool> =
        written_roster(&holder).hosts.iter().map(|host| host.may_hold_longest_lease).collect();
    assert_eq!(flags, [true, false]);
    let write = holder.commits(|call| call.purpose == StorePurpose::WriteRoster).remove(0);
    holder.answer_store(write, Ok(StoreReply::Committed { revision: ROSTER_REVISION }));
    answer_poll(&mut holder, Fence(ROSTER_REVISION), HostLists::default());
    let (lease_ms, longest_lease_ms) = lease_bounds_ms(&holder);
    holder.tick(longest_lease_ms - lease_ms + 1);
    holder.app.world_mut().store_writes.roster_stale = true;
    holder.tick(1_000);
    let roster = written_roster(&holder);
    assert!(roster.hosts.iter().all(|host| !host.may_hold_longest_lease), "{roster:?}");
}

/// Lets a daemon adopt the slice from a roster with the first host, which stays silent.
///
/// Returns when tasks of inherited jobs may start, in milliseconds from the first polls.
fn inherited_wait_ms(entry: &HostEntry, listed: RosterHost) -> u64 {
    let mut holder = TestDaemon::standby();
    let world = holder.app.world_mut();
    world.holding.apply_event(HoldingEvent::ClaimWon { fence: FENCE, at_ms: 1_000 });
    world.holding.confirm_claim(u64::MAX);
    world.holding.loading.jobs_loaded = true;
    world.holding.loading.hosts_loaded = true;
    world.holding.loading.progress = Some(std::collections::HashMap::default());
    world.store_connection.lease = Some(7);
    world.hosts.insert(Host::new(entry.clone(), 1_000));
    holder.tick(1);
    let call = holder.store_calls().find(|call| call.purpose == StorePurpose::LoadRoster).cloned().unwrap();
    let value = StoreValue::HostRoster(HostRoster { hosts: vec![listed] });
    let item = StoreItem { key: StoreKey::HostRoster(SliceId(0)), value, revision: 40 };
    holder.answer_store(call, Ok(StoreReply::Item(Some(item))));
    let from_ms = holder.now_ms;
    holder.app.world_mut().holding.shut_out_at_ms = Some(from_ms);
    while !cassiahoist_runs::may_start_inherited_jobs(holder.app.world(), holder.now_ms) {
        holder.tick(10);
        assert!(holder.now_ms < from_ms + 60_000);
    }
    holder.now_ms - from_ms
}

fn listed_host(may_hold_longest_lease: bool) -> RosterHost {
    RosterHost {
        name: host_entry(0).name,
        address: host_entry(0).address,
        started_unix_ms: host_entry(0).started_unix_ms,
        silent_jobs: None,
        joined_generation: 0,
        may_hold_longest_lease,
    }
}

/// A successor waited for its predecessor's leases only, while a restarted host behind a cut held the longest one.
#[test]
fn successor_waits_for_the_longest_lease_of_restarted_hosts() {
    let (lease_ms, longest_lease_ms) = lease_bounds_ms(&TestDaemon::standby());
    let within_a_tick = |wait_ms: u64, expected_ms: u64| wait_ms.abs_diff(expected_ms) <= 20;
    let plain_ms = inherited_wait_ms(&host_entry(0), listed_host(false));
    assert!(within_a_tick(plain_ms, PERMISSION_MS + lease_ms), "{plain_ms}");
    let restarted_ms = inherited_wait_ms(&host_entry(0), listed_host(true));
    assert!(within_a_tick(restarted_ms, PERMISSION_MS + longest_lease_ms), "{restarted_ms}");
    // The host restarted after the roster was written, and may have taken orders of the predecessor.
    let later_ms = inherited_wait_ms(&restarted_entry(), listed_host(false));
    assert!(within_a_tick(later_ms, PERMISSION_MS + longest_lease_ms), "{later_ms}");
}

/// A start of a gang that could not be sent was issued again to a restarted host, on the clock of the earlier incarnation.
#[test]
fn unsent_start_is_not_issued_again_to_a_restarted_host() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.add_job(1, vec![StepSpec { gang: true, ..step(2) }]);
    holder.tick(10);
    let starts: Vec<HostOrder> =
        holder.orders().filter(|order| matches!(order.order, Order::Start { .. })).cloned().collect();
    holder.answer(starts[0].clone(), OrderOutcome::NotSent(UnsentCause::LocalResources), None);
    register_restart(&mut holder);
    for _ in 0..20 {
        holder.tick(20);
        assert!(holder.starts().is_empty());
    }
}

/// How a restart was noticed and what was under way tells late orders from faults of the holder.
#[test]
fn log_of_a_restart_names_the_open_poll() {
    let mut holder = TestDaemon::with_running_tasks(1, 1);
    holder.tick(40);
    register_restart(&mut holder);
    let records = log_records(&holder.effects, EventId::HostRunsEnded);
    assert!(field(&records[0], "open_poll_ms").parse::<u64>().is_ok(), "{records:?}");
    assert_eq!(field(&records[0], "kept_runs"), "1");
}
