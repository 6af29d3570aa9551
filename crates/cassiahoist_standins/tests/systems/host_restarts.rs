//! Hosts that restart with a new incarnation.

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::HostEntry;
use cassiahoist_world::jobs::TaskState;
use cassiahoist_world::orders::{HostLists, HostOrder, Order, OrderOutcome, RefusalReason, RunEnding};
use cassiahoist_world::store::{KeySpace, StorePurpose, StoreReply};

use crate::support::{
    FENCE, TestDaemon, end, ended_lists, entry_change, host_entry, running, running_lists, step, task_name,
};

/// A restart ends the host's runs and begins its list of ends anew.
#[test]
fn clock_running_backwards_reveals_a_host_restart() {
    let mut holder = TestDaemon::with_running_tasks(1, 1);
    let host = holder.host(0);
    let poll = Order::Poll { lease_until_ms: None, last_end_recorded: 57, wait_ms: 0 };
    let poll = HostOrder {
        host,
        host_name: host_entry(0).name,
        address: host_entry(0).address,
        fence: FENCE,
        order: poll,
        timeout_ms: 100,
    };
    let listed = running_lists(vec![running(&task_name(1, 0, 0), 1)]);
    holder.answer(poll.clone(), OrderOutcome::Done { lists: Some(listed) }, Some(2_050));
    holder.app.world_mut().hosts.get_mut(host).unwrap().last_end_recorded = 57;
    holder.answer(poll, OrderOutcome::Done { lists: Some(running_lists(Vec::new())) }, Some(20));
    let host_row = holder.app.world().hosts.get(host).unwrap();
    assert_eq!(host_row.last_end_recorded, 0, "ends of the new incarnation must stay listed");
    let task = holder.task(&task_name(1, 0, 0));
    assert_eq!(holder.app.world().jobs.tasks[task].state, TaskState::Pending);
}

#[test]
fn host_replaced_at_its_address_is_removed() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    let start = holder.orders().find(|order| matches!(order.order, Order::Start { .. })).cloned().unwrap();
    holder.answer(start, OrderOutcome::Refused(RefusalReason::OtherLife), Some(2_000));
    assert!(holder.app.world().hosts.is_empty());
    assert!(holder.app.world().runs.rows.is_empty());
    holder.tick(100);
    assert_eq!(holder.orders().count(), 0, "no order goes to the replaced host's address");
}

/// The new incarnation confirmed the start, so its entry must not end the run.
#[test]
fn entry_of_an_already_observed_restart_ends_no_run() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    let start = holder.orders().find(|order| matches!(order.order, Order::Start { .. })).cloned().unwrap();
    // The host's clock went back: its new incarnation confirms the start before its entry announces it.
    holder.now_ms = 9_000;
    holder.tick(1);
    holder.answer(start, OrderOutcome::Done { lists: None }, Some(96));
    let restarted = HostEntry { started_unix_ms: host_entry(0).started_unix_ms + 50_000, ..host_entry(0) };
    holder.receive_changes(KeySpace::Hosts, vec![entry_change(restarted)], 90);
    let task = holder.task(&task_name(1, 0, 0));
    assert!(matches!(holder.app.world().jobs.tasks[task].state, TaskState::Placed(_)));
    assert_eq!(holder.app.world().jobs.tasks[task].last_run_number, 1);
}

/// Creates a holder whose host restarts just after it has confirmed a start.
fn restarted_after_a_start() -> TestDaemon {
    let mut holder = TestDaemon::with_running_tasks(1, 1);
    let restarted = HostEntry { started_unix_ms: host_entry(0).started_unix_ms + 60, ..host_entry(0) };
    holder.receive_changes(KeySpace::Hosts, vec![entry_change(restarted)], 90);
    holder
}

/// Either incarnation may have confirmed the start.
///
/// The run may therefore be active in the new one.
#[test]
fn start_confirmed_around_a_restart_is_not_assumed_ended() {
    let mut holder = restarted_after_a_start();
    holder.tick(50);
    let task = holder.task(&task_name(1, 0, 0));
    assert!(matches!(holder.app.world().jobs.tasks[task].state, TaskState::Placed(_)));
    holder.report_lists(0, running_lists(vec![running(&task_name(1, 0, 0), 1)]));
    holder.tick(50);
    assert_eq!(holder.app.world().jobs.tasks[task].last_run_number, 1);
}

/// Lets the store accept the progress that the last tick wrote, and what follows from that.
fn record_progress(holder: &mut TestDaemon) {
    for _ in 0..4 {
        for call in holder.commits(|call| matches!(call.purpose, StorePurpose::RecordProgress(_))) {
            holder.answer_store(call, Ok(StoreReply::Committed { revision: 95 }));
        }
        holder.tick(50);
    }
}

/// The task was new on the host, so that its start waits until the store has this.
#[test]
fn task_missing_after_a_host_restart_starts_again() {
    let mut holder = restarted_after_a_start();
    record_progress(&mut holder);
    holder.report_lists(0, running_lists(Vec::new()));
    holder.app.world_mut().hosts.iter_mut().for_each(|(_, host)| host.in_roster = true);
    record_progress(&mut holder);
    let task = holder.task(&task_name(1, 0, 0));
    assert_eq!(holder.app.world().jobs.tasks[task].last_run_number, 2);
}

/// Starts that another host refuses at the address of their own are answered, too.
///
/// They counted as open for ever, and left ever less room for other starts under the limit.
#[test]
fn start_refused_by_another_host_is_no_longer_open() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.add_job(1, vec![step(2)]);
    holder.tick(10);
    let starts: Vec<HostOrder> =
        holder.orders().filter(|order| matches!(order.order, Order::Start { .. })).cloned().collect();
    assert_eq!(holder.app.world().runs.start_window.open(), 2);
    for start in starts {
        holder.answer(start, OrderOutcome::Refused(RefusalReason::OtherLife), Some(2_000));
    }
    assert_eq!(holder.app.world().runs.start_window.open(), 0);
}

/// A host restarts at another address while an order to its earlier one is on the way.
///
/// The refusal of the host that now has the earlier address removed the restarted one, with the runs that it had started.
#[test]
fn refusal_at_an_earlier_address_keeps_the_host() {
    let mut holder = TestDaemon::with_running_tasks(1, 1);
    let order = Order::Poll { lease_until_ms: None, last_end_recorded: 0, wait_ms: 0 };
    let late_poll = HostOrder { order, ..earlier_poll(&holder) };
    let started_unix_ms = host_entry(0).started_unix_ms + 50_000;
    let moved = HostEntry { address: "10.9.0.200:80".into(), started_unix_ms, ..host_entry(0) };
    holder.receive_changes(KeySpace::Hosts, vec![entry_change(moved)], 90);
    holder.answer(late_poll, OrderOutcome::Refused(RefusalReason::OtherLife), Some(2_000));
    assert!(holder.app.world().hosts.find(&host_entry(0).name).is_some());
}

/// Returns a poll of the first host, as it was issued before a restart.
fn earlier_poll(holder: &TestDaemon) -> HostOrder {
    HostOrder {
        host: holder.host(0),
        host_name: host_entry(0).name,
        address: host_entry(0).address,
        fence: FENCE,
        order: Order::Poll { lease_until_ms: None, last_end_recorded: 57, wait_ms: 0 },
        timeout_ms: 100,
    }
}

/// Lets the first host register a new incarnation and list nothing, and records it in the roster at `revision`.
fn restart_first_host(holder: &mut TestDaemon, revision: u64) {
    let started_unix_ms = host_entry(0).started_unix_ms + 50_000;
    let restarted = HostEntry { started_unix_ms, ..host_entry(0) };
    holder.receive_changes(KeySpace::Hosts, vec![entry_change(restarted)], 90);
    let lists = HostLists { started_unix_ms: Some(started_unix_ms), ..HostLists::default() };
    holder.report_lists_at(0, lists, 500);
    let write = holder.store_calls().find(|call| call.purpose == StorePurpose::WriteRoster).cloned().unwrap();
    holder.answer_store(write, Ok(StoreReply::Committed { revision }));
}

/// A poll of an earlier incarnation may take effect at the new one, which has seen no fence yet.
///
/// Its number of recorded ends made the host drop ends of tasks that were started since, and the tasks ran again.
#[test]
fn starts_after_a_restart_shut_out_orders_of_the_earlier_incarnation() {
    let mut holder = TestDaemon::with_hosts(1);
    restart_first_host(&mut holder, FENCE.0 + 20);
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    let start = holder.orders().find(|order| matches!(order.order, Order::Start { .. })).unwrap();
    assert!(start.fence > earlier_poll(&holder).fence);
}

/// The restarted host refuses an order of the earlier incarnation; the holder is still the only one.
#[test]
fn earlier_order_that_a_restarted_host_refuses_ends_no_holding() {
    let mut holder = TestDaemon::with_hosts(1);
    let poll = earlier_poll(&holder);
    restart_first_host(&mut holder, FENCE.0 + 20);
    holder.answer(poll, OrderOutcome::Refused(RefusalReason::Fence), Some(520));
    assert!(holder.app.world().holding.is_holding());
    let poll = HostOrder { fence: Fence(FENCE.0 + 20), ..earlier_poll(&holder) };
    holder.answer(poll, OrderOutcome::Refused(RefusalReason::Fence), Some(530));
    assert!(!holder.app.world().holding.is_holding(), "the host has seen the token of a successor");
}

/// A host restarts while the record of its ends is on the way to the store.
///
/// The record counted for ends of the new incarnation, which dropped them unrecorded.
#[test]
fn record_of_ends_before_a_restart_counts_for_no_later_end() {
    let mut holder = TestDaemon::with_running_tasks(1, 2);
    holder.tick(50);
    holder.report_lists(
        0,
        HostLists {
            ended: vec![end(1, &task_name(1, 0, 0), 1, RunEnding::Done)],
            ..running_lists(vec![running(&task_name(1, 0, 1), 1)])
        },
    );
    let commits = holder.commits(|call| matches!(call.purpose, StorePurpose::RecordProgress(_)));
    assert_eq!(commits.len(), 1);
    restart_first_host(&mut holder, FENCE.0 + 20);
    holder.tick(50);
    holder.confirm_starts();
    let ended = ended_lists(vec![end(1, &task_name(1, 0, 1), 2, RunEnding::Done)]);
    let started_unix_ms = Some(host_entry(0).started_unix_ms + 50_000);
    holder.report_lists_at(0, HostLists { started_unix_ms, ..ended }, 2_100);
    holder.answer_store(commits[0].clone(), Ok(StoreReply::Committed { revision: 95 }));
    let host = holder.app.world().hosts.get(holder.host(0)).unwrap();
    assert_eq!((host.last_end_applied, host.last_end_recorded), (1, 0));
}

/// Lists of the earlier incarnation arrive after the holder learned of the restart.
///
/// They were taken for another restart, and its ends counted for those of the new incarnation.
#[test]
fn late_lists_of_an_earlier_incarnation_are_ignored() {
    let mut holder = TestDaemon::with_hosts(1);
    let poll = earlier_poll(&holder);
    let empty = OrderOutcome::Done { lists: Some(HostLists::default()) };
    holder.answer(poll.clone(), empty, Some(90_000));
    let issued_at_ms = holder.now_ms;
    holder.tick(10);
    restart_first_host(&mut holder, FENCE.0 + 20);
    let lists = HostLists {
        started_unix_ms: Some(host_entry(0).started_unix_ms),
        ..ended_lists(vec![end(57, &task_name(1, 0, 0), 1, RunEnding::Done)])
    };
    let outcome = OrderOutcome::Done { lists: Some(lists) };
    holder.answer_issued_at(poll, outcome, Some(90_020), issued_at_ms);
    let host = holder.app.world().hosts.get(holder.host(0)).unwrap();
    assert_eq!(host.last_end_applied, 0);
    assert_eq!(host.entry.started_unix_ms, host_entry(0).started_unix_ms + 50_000);
    assert!(
        host.in_roster && host.clock_ms(holder.now_ms) < 2_000,
        "its clock is that of the new incarnation"
    );
}

/// The lists of a host reveal its restart before its entry does.
///
/// They count as the first ones of the new incarnation, so the host was not polled again. But its clock counted as unknown, and
/// it got no work for as long as the holder held the slice.
#[test]
fn host_whose_lists_reveal_a_restart_gets_work_again() {
    let mut holder = TestDaemon::with_hosts(1);
    let started_unix_ms = Some(host_entry(0).started_unix_ms + 50_000);
    holder.report_lists_at(0, HostLists { started_unix_ms, ..HostLists::default() }, 500);
    let write = holder.store_calls().find(|call| call.purpose == StorePurpose::WriteRoster).cloned();
    holder.answer_store(write.expect("the host accepts work"), Ok(StoreReply::Committed { revision: 90 }));
    holder.add_job(1, vec![step(1)]);
    holder.tick(50);
    assert_eq!(holder.app.world().counters.starts, 1);
}

/// A start takes effect late, at a new incarnation. Its lease ends at a time of the earlier clock, far ahead of the new one.
///
/// The run outlived the lease that the holder had asked for, and the task started elsewhere beside it.
#[test]
fn unanswered_start_on_a_restarted_host_may_have_the_longest_lease() {
    let mut holder = TestDaemon::with_hosts(2);
    holder.app.world_mut().local.platform_run_lease_ms = 6_000;
    holder.app.world_mut().local.bounds.run_lease_ms = 3_200;
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    let orders: Vec<HostOrder> = holder.orders().cloned().collect();
    let start = orders.iter().find(|order| matches!(order.order, Order::Start { .. })).unwrap().clone();
    let started_host = start.host;
    holder.tick(300);
    for order in orders {
        holder.answer(order, OrderOutcome::Unknown, None);
    }
    let entry = holder.app.world().hosts.get(started_host).unwrap().entry.clone();
    let restarted = HostEntry { started_unix_ms: entry.started_unix_ms + 50_000, ..entry };
    holder.receive_changes(KeySpace::Hosts, vec![entry_change(restarted)], 90);
    let noticed_at_ms = holder.now_ms;
    while holder.now_ms < noticed_at_ms + 6_000 {
        holder.tick(100);
        for order in holder.orders().filter(|order| order.host == started_host).cloned().collect::<Vec<_>>() {
            holder.answer(order, OrderOutcome::Unknown, None);
        }
        assert_eq!(holder.app.world().counters.starts, 1, "at {} ms", holder.now_ms - noticed_at_ms);
    }
    holder.tick(400);
    holder.tick(100);
    assert_eq!(holder.app.world().counters.starts, 2, "the longest lease has expired");
}
