//! Orders and store calls that were never sent, by where the cause lies.

use cassiahoist_core::prelude::*;
use cassiahoist_world::effect::Effect;
use cassiahoist_world::event::Event;
use cassiahoist_world::orders::{HostOrder, Order, OrderOutcome};
use cassiahoist_world::peer::{PeerMessage, PeerSender};
use cassiahoist_world::runs::RunState;
use cassiahoist_world::spec::StepSpec;
use cassiahoist_world::store::StoreFailure;
use cassiahoist_world::unsent::UnsentCause;

use crate::support::{TestDaemon, step, task_name};

/// Returns the fields of the log records of an event in the last tick.
fn logged_fields(holder: &TestDaemon, event: EventId) -> Vec<Vec<(&'static str, String)>> {
    let records = holder.effects.iter().filter_map(|effect| match effect {
        Effect::WriteLog(log_record) if log_record.event == event => Some(log_record.fields.clone()),
        _ => None,
    });
    records.collect()
}

fn field<'f>(fields: &'f [(&'static str, String)], name: &str) -> Option<&'f str> {
    fields.iter().find(|(field, _)| *field == name).map(|(_, value)| value.as_str())
}

fn find_order(holder: &TestDaemon, wanted: fn(&Order) -> bool) -> HostOrder {
    holder.orders().find(|order| wanted(&order.order)).cloned().unwrap()
}

/// Creates a holder whose only host runs a task, and returns the open poll of the host.
fn holder_with_open_poll() -> (TestDaemon, HostOrder) {
    let mut holder = TestDaemon::with_hosts(1);
    holder.add_job(1, vec![StepSpec { allows_copies: true, ..step(1) }]);
    holder.tick(10);
    let poll = find_order(&holder, |order| matches!(order, Order::Poll { .. }));
    holder.confirm_starts();
    holder.tick(2_000);
    (holder, poll)
}

/// The holder ran out of descriptors, so that polls were not sent although the hosts were well.
///
/// It took the hosts for silent ones, and started their tasks again elsewhere.
#[test]
fn poll_that_the_holder_could_not_send_says_nothing_about_the_host() {
    for cause in [
        UnsentCause::NoFreeConnection,
        UnsentCause::LocalResources,
        UnsentCause::Expired,
        UnsentCause::Unencodable,
    ] {
        let (mut holder, mut poll) = holder_with_open_poll();
        // Longer than a silent host keeps its lease.
        for attempt in 0..15 {
            holder.answer(poll, OrderOutcome::NotSent(cause), None);
            assert!(logged_fields(&holder, EventId::HostUnresponsive).is_empty(), "{cause:?}");
            let host = holder.app.world().hosts.get(holder.host(0)).unwrap();
            assert_eq!(host.unresponsive_since_ms, None, "{cause:?}");
            holder.tick(20);
            assert_eq!(holder.orders().count(), 0, "{cause:?} {attempt}: the holder needs a pause");
            holder.tick(100);
            poll = find_order(&holder, |order| matches!(order, Order::Poll { lease_until_ms: Some(_), .. }));
        }
        let task = holder.task(&task_name(1, 0, 0));
        assert!(holder.app.world().jobs.tasks[task].detached_runs.is_empty(), "{cause:?}");
        assert_eq!(holder.app.world().counters.orders_unsent, 15);
    }
}

/// A refused connection or one that doesn't open shows that the host can't be reached.
#[test]
fn poll_that_did_not_reach_the_host_marks_it_unresponsive() {
    for cause in [UnsentCause::ConnectFailed, UnsentCause::ConnectTimeout, UnsentCause::ConnectionClosed] {
        let (mut holder, poll) = holder_with_open_poll();
        holder.answer(poll, OrderOutcome::NotSent(cause), None);
        let records = logged_fields(&holder, EventId::HostUnresponsive);
        assert_eq!(records.len(), 1);
        assert_eq!(field(&records[0], "outcome"), Some("NotSent"));
        assert_eq!(field(&records[0], "cause"), Some(format!("{cause:?}").as_str()));
    }
}

/// Starts that never left the holder were counted as refusals of hosts, without a reason in the log.
#[test]
fn unsent_start_is_not_counted_as_a_refusal() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    let start = find_order(&holder, |order| matches!(order, Order::Start { .. }));
    holder.answer(start, OrderOutcome::NotSent(UnsentCause::LocalResources), None);
    let records = logged_fields(&holder, EventId::StartRefused);
    assert_eq!(records.len(), 1);
    assert_eq!(field(&records[0], "reason"), Some("None"));
    assert_eq!(field(&records[0], "cause"), Some("LocalResources"));
    let counters = &holder.app.world().counters;
    assert_eq!((counters.starts_refused, counters.starts_unsent), (0, 1));
    holder.tick(200);
    assert_eq!(holder.starts().len(), 1, "the task is placed again");
}

/// A holder without descriptors reported the store as unreachable four times a second while it answered.
#[test]
fn store_call_that_the_daemon_could_not_send_says_nothing_about_the_store() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.tick(100);
    let call = holder.lease_renewal();
    holder.answer_store(call, Err(StoreFailure::NotSent(UnsentCause::LocalResources)));
    assert!(logged_fields(&holder, EventId::StoreUnreachable).is_empty());
    assert!(!holder.app.world().store_connection.is_failing());
    assert_eq!(holder.app.world().counters.store_calls_unsent, 1);
    holder.tick(150);
    let call = holder.lease_renewal();
    holder.answer_store(call, Err(StoreFailure::NotSent(UnsentCause::ConnectTimeout)));
    assert_eq!(logged_fields(&holder, EventId::StoreUnreachable).len(), 1);
    assert!(holder.app.world().store_connection.is_failing());
}

/// Creates a holder of a gang of three, one member on each host, of which the first start could not be sent.
///
/// Returns that start. The other members confirmed theirs.
fn holder_with_unsent_member(cause: UnsentCause) -> (TestDaemon, HostOrder) {
    holder_with_latency(1, cause)
}

/// Creates the same with a latency of the quickest answer, in milliseconds.
fn holder_with_latency(min_latency_ms: u64, cause: UnsentCause) -> (TestDaemon, HostOrder) {
    let mut holder = TestDaemon::with_hosts(3);
    holder.add_job(1, vec![StepSpec { gang: true, max_per_host: Some(1), ..step(3) }]);
    holder.tick(10);
    let starts: Vec<HostOrder> =
        holder.orders().filter(|order| matches!(order.order, Order::Start { .. })).cloned().collect();
    assert_eq!(starts.len(), 3);
    for start in &starts[1..] {
        holder.answer(start.clone(), OrderOutcome::Done { lists: None }, Some(2_000));
    }
    holder.app.world_mut().holding.answer_times.min_latency_ms = min_latency_ms;
    let unsent = starts[0].clone();
    holder.answer(unsent.clone(), OrderOutcome::NotSent(cause), None);
    (holder, unsent)
}

fn count_gang_runs(holder: &TestDaemon, wanted: RunState) -> usize {
    holder.app.world().runs.rows.values().filter(|run| run.state == wanted).count()
}

/// One start of a gang found no free connection. All members were stopped, and the whole gang was placed anew.
#[test]
fn unsent_start_of_a_gang_member_is_issued_again() {
    for cause in [UnsentCause::NoFreeConnection, UnsentCause::LocalResources, UnsentCause::ConnectionClosed] {
        let (mut holder, unsent) = holder_with_unsent_member(cause);
        assert_eq!(count_gang_runs(&holder, RunState::Running), 2, "{cause:?}");
        assert_eq!(holder.orders().filter(|order| matches!(order.order, Order::Start { .. })).count(), 0);
        holder.tick(100);
        let again = find_order(&holder, |order| matches!(order, Order::Start { .. }));
        let (Order::Start { run, run_number, .. }, Order::Start { run: first, run_number: number, .. }) =
            (&again.order, &unsent.order)
        else {
            unreachable!()
        };
        assert_eq!((run, run_number, again.host), (first, number, unsent.host), "{cause:?}");
        holder.answer(again, OrderOutcome::Done { lists: None }, Some(2_000));
        assert_eq!(count_gang_runs(&holder, RunState::Running), 3, "{cause:?}");
        assert_eq!(holder.app.world().runs.start_window.open(), 0);
    }
}

/// Members wait for the others on their hosts, which end them after a time, so the start is not issued for ever.
#[test]
fn gang_is_broken_if_a_start_stays_unsent() {
    let (mut holder, _) = holder_with_unsent_member(UnsentCause::NoFreeConnection);
    for _ in 0..20 {
        holder.tick(100);
        if holder.starts().is_empty() {
            break;
        }
        let unsent = find_order(&holder, |order| matches!(order, Order::Start { .. }));
        holder.answer(unsent, OrderOutcome::NotSent(UnsentCause::NoFreeConnection), None);
    }
    assert!(holder.now_ms < 2_500, "the start is issued for {} ms", holder.now_ms - 1_000);
    assert_eq!(count_gang_runs(&holder, RunState::Stopping), 2);
}

/// The connection to a member's host does not open in time, since the link of the holder is full.
#[test]
fn gang_waits_for_a_connection_only_while_all_answers_are_slow() {
    let (holder, _) = holder_with_latency(80, UnsentCause::ConnectTimeout);
    assert_eq!(count_gang_runs(&holder, RunState::Running), 2);
    let (holder, _) = holder_with_unsent_member(UnsentCause::ConnectTimeout);
    assert_eq!(count_gang_runs(&holder, RunState::Stopping), 2, "the host is lost");
}

/// After a pause another daemon may hold the slice, and a host that refuses connections is down.
#[test]
fn gang_is_broken_at_once_if_its_start_can_not_be_issued_again() {
    for cause in [UnsentCause::Expired, UnsentCause::ConnectFailed, UnsentCause::Unencodable] {
        let (holder, _) = holder_with_unsent_member(cause);
        assert_eq!(count_gang_runs(&holder, RunState::Stopping), 2, "{cause:?}");
    }
}

/// The job is cancelled while the start of a gang member waits to be issued again.
#[test]
fn unsent_start_of_a_cancelled_job_is_not_issued_again() {
    let (mut holder, _) = holder_with_unsent_member(UnsentCause::NoFreeConnection);
    let from = PeerSender { incarnation: "edge-1#1".parse().unwrap(), address: "10.1.0.1:7720".into() };
    holder.receive_event(Event::PeerMessageReceived { from, message: PeerMessage::JobCancelled(JobId(1)) });
    for _ in 0..5 {
        holder.tick(100);
        assert!(holder.starts().is_empty());
    }
}

/// The process was paused before the start of a gang member was issued again.
#[test]
fn unsent_start_from_before_a_pause_breaks_the_gang() {
    let (mut holder, _) = holder_with_unsent_member(UnsentCause::NoFreeConnection);
    for _ in 0..10 {
        holder.tick(2_000);
        assert!(holder.starts().is_empty(), "members that had started wait no longer");
        holder.app.world_mut().holding.unconfirmed_since_ms = None;
        holder.tick(1);
        assert!(holder.starts().is_empty(), "members that had started wait no longer");
        if count_gang_runs(&holder, RunState::Stopping) == 3 {
            return;
        }
    }
    panic!("the gang is not broken");
}
