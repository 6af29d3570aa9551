//! Hosts with more ended runs than one answer holds.

use cassiahoist_core::prelude::*;
use cassiahoist_world::event::Event;
use cassiahoist_world::hosts::Adoption;
use cassiahoist_world::jobs::TaskState;
use cassiahoist_world::orders::{HostLists, Order, OrderCompletion, OrderOutcome, RunEnding};
use cassiahoist_world::store::{StorePurpose, StoreReply};

use crate::support::{
    FENCE, TestDaemon, end, ended_lists, field, log_records, running, running_lists, step, task_name,
};

/// Returns the lists of a host that keeps further ends back.
fn truncated_lists(lists: HostLists) -> HostLists {
    HostLists { may_have_more_ends: true, ..lists }
}

fn done(end_number: u64, index: u32) -> HostLists {
    ended_lists(vec![end(end_number, &task_name(1, 0, index), 1, RunEnding::Done)])
}

/// Reports a host's lists in answer to a poll that was sent after its runs were confirmed.
fn report(holder: &mut TestDaemon, lists: HostLists) {
    holder.tick(20);
    holder.report_lists(0, lists);
}

/// A run that ended done was in neither list, since its end came after the first 500. It was taken for lost and ran again.
#[test]
fn run_whose_end_is_kept_back_is_not_taken_for_lost() {
    let mut holder = TestDaemon::with_running_tasks(1, 3);
    report(
        &mut holder,
        truncated_lists(HostLists { running: vec![running(&task_name(1, 0, 2), 1)], ..done(1, 0) }),
    );
    assert!(log_records(&holder.effects, EventId::RunLost).is_empty());
    let records = log_records(&holder.effects, EventId::HostEndsUnread);
    assert_eq!(field(&records[0], "listed"), "1");
    holder.tick(100);
    assert!(holder.starts().is_empty());

    report(&mut holder, HostLists { running: vec![running(&task_name(1, 0, 2), 1)], ..done(2, 1) });
    assert!(log_records(&holder.effects, EventId::RunLost).is_empty());
    let task = holder.task(&task_name(1, 0, 1));
    assert_eq!(holder.app.world().jobs.tasks[task].state, TaskState::Done);
    // Without further ends, a run in neither list is lost.
    report(&mut holder, done(2, 1));
    assert_eq!(log_records(&holder.effects, EventId::RunLost).len(), 1);
}

/// A run that shows no progress because its end is kept back was stopped as stalled, and ran again.
#[test]
fn run_whose_end_is_kept_back_is_not_stalled() {
    let mut holder = TestDaemon::with_running_tasks(1, 2);
    let both = vec![running(&task_name(1, 0, 0), 1), running(&task_name(1, 0, 1), 1)];
    report(&mut holder, running_lists(both));
    for _ in 0..60 {
        report(&mut holder, truncated_lists(done(1, 0)));
        assert!(!holder.orders().any(|order| matches!(order.order, Order::Stop { .. })));
        assert!(holder.starts().is_empty());
        holder.tick(100);
        assert!(!holder.orders().any(|order| matches!(order.order, Order::Stop { .. })));
        assert!(holder.starts().is_empty());
    }
}

/// A stop was confirmed for a run that had ended done among the ends that are kept back. Its task ran again.
#[test]
fn stopped_run_whose_end_is_kept_back_is_not_repeated() {
    let mut holder = TestDaemon::with_running_tasks(1, 2);
    let task = holder.task(&task_name(1, 0, 1));
    let TaskState::Placed(run) = holder.app.world().jobs.tasks[task].state else { panic!("not placed") };
    let now_ms = holder.now_ms;
    let reason = cassiahoist_world::runs::StopReason::Stalled;
    cassiahoist_runs::stop_run(holder.app.world_mut(), run, reason, now_ms);
    holder.tick(1);
    let stop = holder.orders().find(|order| matches!(order.order, Order::Stop { .. })).cloned().unwrap();
    let now_ms = holder.now_ms;
    holder.answer(stop, OrderOutcome::Done { lists: None }, Some(now_ms));
    report(&mut holder, truncated_lists(done(1, 0)));
    assert!(holder.starts().is_empty());
    holder.tick(100);
    assert!(holder.starts().is_empty());
    report(&mut holder, done(2, 1));
    assert_eq!(holder.app.world().jobs.tasks[task].state, TaskState::Done);
}

/// Creates a holder that has just taken over a job with `task_count` tasks, and has not heard its host yet.
fn successor(task_count: u32) -> TestDaemon {
    let mut holder = TestDaemon::with_hosts(1);
    let host = holder.host(0);
    let row = holder.app.world_mut().hosts.get_mut(host).unwrap();
    row.adoption = Adoption::Unknown;
    let job = holder.add_job(1, vec![step(task_count)]);
    holder.app.world_mut().jobs.get_mut(job).unwrap().inherited = true;
    holder.tick(1);
    holder
}

/// A new holder took the first answer of a host for complete, and ran tasks again whose ends came after the first 500.
#[test]
fn host_is_adopted_only_once_it_keeps_no_ends_back() {
    let mut holder = successor(2);
    report(&mut holder, truncated_lists(done(1, 0)));
    let host = holder.host(0);
    assert_eq!(holder.app.world().hosts.get(host).unwrap().adoption, Adoption::Unknown);
    // The wait for the run leases of earlier holders ends meanwhile.
    for _ in 0..100 {
        report(&mut holder, truncated_lists(done(1, 0)));
        holder.tick(100);
        assert!(holder.starts().is_empty(), "after {} ms", holder.now_ms);
    }
    report(&mut holder, done(2, 1));
    assert_eq!(holder.app.world().hosts.get(host).unwrap().adoption, Adoption::Adopted);
    assert!(holder.app.world().jobs.iter().all(|(_, job)| job.state.is_final()));
}

/// Ends that are kept back come only after the listed ones are recorded, so an unadopted host must get there.
#[test]
fn listed_ends_of_an_unadopted_host_are_recorded_and_dropped() {
    let mut holder = successor(2);
    report(&mut holder, truncated_lists(done(1, 0)));
    let mut dropped = 0;
    for _ in 0..40 {
        for call in holder.commits(|call| matches!(call.purpose, StorePurpose::RecordProgress(_))) {
            holder.answer_store(call, Ok(StoreReply::Committed { revision: 60 }));
        }
        for order in holder.orders().cloned().collect::<Vec<_>>() {
            let Order::Poll { last_end_recorded, .. } = order.order else { continue };
            dropped = dropped.max(last_end_recorded);
        }
        holder.tick(50);
    }
    assert_eq!(dropped, 1);
}

/// A host that keeps ends back falls silent for good. Its tasks wait until its lease has ended, and no longer.
#[test]
fn silent_host_with_unread_ends_delays_no_task_beyond_its_lease() {
    let mut holder = successor(2);
    report(&mut holder, truncated_lists(done(1, 0)));
    let host = holder.host(0);
    let row = holder.app.world_mut().hosts.get_mut(host).unwrap();
    row.lease_end_ms = 9_000;
    row.unresponsive_since_ms = Some(1_100);
    row.last_answer_at_ms = 1_050;
    let may_start =
        |holder: &TestDaemon| cassiahoist_runs::may_start_inherited_jobs(holder.app.world(), holder.now_ms);
    while holder.now_ms < 8_900 {
        holder.tick(100);
        assert!(!may_start(&holder), "at {} ms", holder.now_ms);
    }
    holder.tick(200);
    assert!(may_start(&holder));
}

/// An answer of an earlier incarnation with many ends must not hold up the present one, which has none.
#[test]
fn restart_of_a_host_ends_the_wait_for_its_ends() {
    let mut holder = successor(2);
    report(&mut holder, truncated_lists(done(1, 0)));
    holder.tick(20);
    let started_unix_ms = Some(60_000);
    let order = cassiahoist_world::orders::HostOrder {
        host: holder.host(0),
        host_name: crate::support::host_entry(0).name,
        address: crate::support::host_entry(0).address,
        fence: FENCE,
        order: Order::Poll { lease_until_ms: None, last_end_recorded: 0, wait_ms: 0 },
        timeout_ms: 100,
    };
    let lists = HostLists { started_unix_ms, ..HostLists::default() };
    let completion = OrderCompletion {
        order,
        issued_at_ms: holder.now_ms,
        host_clock_ms: Some(5),
        completed_at_ms: holder.now_ms + 1,
        outcome: OrderOutcome::Done { lists: Some(lists) },
    };
    holder.receive_event(Event::OrderCompleted(Box::new(completion)));
    let host = holder.host(0);
    assert!(!holder.app.world().hosts.get(host).unwrap().has_unread_ends);
}
