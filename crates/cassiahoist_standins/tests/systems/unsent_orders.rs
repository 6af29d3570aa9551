//! Orders and store calls that were never sent, by where the cause lies.

use cassiahoist_core::prelude::*;
use cassiahoist_world::effect::Effect;
use cassiahoist_world::orders::{HostOrder, Order, OrderOutcome};
use cassiahoist_world::spec::StepSpec;
use cassiahoist_world::store::{StoreCall, StoreFailure, StorePurpose};
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
    let renewal = |holder: &TestDaemon| -> StoreCall {
        holder.store_calls().find(|call| call.purpose == StorePurpose::RenewLease).cloned().unwrap()
    };
    let call = renewal(&holder);
    holder.answer_store(call, Err(StoreFailure::NotSent(UnsentCause::LocalResources)));
    assert!(logged_fields(&holder, EventId::StoreUnreachable).is_empty());
    assert!(!holder.app.world().store_connection.is_failing());
    assert_eq!(holder.app.world().counters.store_calls_unsent, 1);
    holder.tick(150);
    let call = renewal(&holder);
    holder.answer_store(call, Err(StoreFailure::NotSent(UnsentCause::ConnectTimeout)));
    assert_eq!(logged_fields(&holder, EventId::StoreUnreachable).len(), 1);
    assert!(holder.app.world().store_connection.is_failing());
}
