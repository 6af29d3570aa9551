//! The load that a holder logs, from which a holder that falls behind is told from one whose hosts are silent.

use cassiahoist_core::prelude::*;
use cassiahoist_world::effect::{Effect, LogRecord};
use cassiahoist_world::event::Event;
use cassiahoist_world::holding::HoldingEvent;
use cassiahoist_world::orders::{HostOrder, Order, OrderCompletion, OrderOutcome};
use cassiahoist_world::store::KeySpace;
use cassiahoist_world::unsent::UnsentCause;

use crate::support::{TestDaemon, entry_change, host_entry, step};

/// Runs ticks for some time and returns the logged loads.
fn loads_for(daemon: &mut TestDaemon, time_ms: u64, tick_ms: u64) -> Vec<LogRecord> {
    let until_ms = daemon.now_ms + time_ms;
    let mut loads = Vec::new();
    while daemon.now_ms < until_ms {
        loads.extend(loads_of(daemon.tick(tick_ms)));
    }
    loads
}

fn loads_of(effects: &[Effect]) -> Vec<LogRecord> {
    let log_records = effects.iter().filter_map(|effect| match effect {
        Effect::WriteLog(log_record) => Some(log_record),
        _ => None,
    });
    log_records.filter(|log_record| log_record.event == EventId::HolderLoad).cloned().collect()
}

/// Runs ticks until a load is logged, so that a new period begins.
fn finish_period(daemon: &mut TestDaemon) -> LogRecord {
    for _ in 0..20 {
        if let Some(load) = loads_for(daemon, 100, 100).pop() {
            return load;
        }
    }
    panic!("no load is logged");
}

fn field(load: &LogRecord, name: &str) -> u64 {
    load.fields.iter().find(|(field, _)| *field == name).unwrap().1.parse().unwrap()
}

/// Lets an order of the last tick fail, or be answered some time before the tick that takes the answer.
fn complete_order(holder: &mut TestDaemon, order: HostOrder, outcome: OrderOutcome, queued_ms: u64) {
    let (issued_at_ms, completed_at_ms) = (holder.now_ms, holder.now_ms + 1);
    let host_clock_ms = matches!(outcome, OrderOutcome::Done { .. }).then_some(2_000);
    holder.app.push_event(Event::OrderCompleted(Box::new(OrderCompletion {
        order,
        issued_at_ms,
        host_clock_ms,
        completed_at_ms,
        outcome,
    })));
    holder.tick(1 + queued_ms);
}

#[test]
fn holder_logs_its_load_once_a_second() {
    let mut holder = TestDaemon::with_hosts(2);
    finish_period(&mut holder);
    let loads = loads_for(&mut holder, 5_000, 100);
    assert_eq!(loads.len(), 5);
    assert!(loads.iter().all(|load| field(load, "period_ms") == 1_000));
    assert!(loads.iter().all(|load| field(load, "longest_gap_ms") == 100));
}

#[test]
fn daemon_without_the_slice_logs_no_load() {
    assert!(loads_for(&mut TestDaemon::standby(), 3_000, 100).is_empty());
}

#[test]
fn adopting_daemon_logs_its_load() {
    let mut daemon = TestDaemon::standby();
    daemon.app.world_mut().holding.apply_event(HoldingEvent::ClaimWon { fence: Fence(50), at_ms: 1_000 });
    assert!(daemon.app.world().holding.is_adopting());
    assert!(!loads_for(&mut daemon, 2_000, 100).is_empty());
}

/// More tasks than fit on the hosts. One start is never sent and one remains unanswered.
#[test]
fn load_counts_backlog_and_failed_orders() {
    let mut holder = TestDaemon::with_hosts(2);
    finish_period(&mut holder);
    holder.add_job(1, vec![step(20)]);
    holder.tick(10);
    let is_start = |order: &&HostOrder| matches!(order.order, Order::Start { .. });
    let starts: Vec<HostOrder> = holder.orders().filter(is_start).cloned().collect();
    assert_eq!(starts.len(), 16, "as many tasks as fit on two hosts");
    let world = holder.app.world();
    assert_eq!(world.runs.start_window.open(), 16);
    complete_order(&mut holder, starts[0].clone(), OrderOutcome::NotSent(UnsentCause::LocalResources), 0);
    complete_order(&mut holder, starts[1].clone(), OrderOutcome::Unknown, 0);
    let load = finish_period(&mut holder);
    assert_eq!(field(&load, "orders_unsent"), 1);
    assert_eq!(field(&load, "starts_unanswered"), 1);
    assert!(field(&load, "events") >= 2);
    assert_eq!(field(&load, "jobs"), 1);
    assert_eq!(field(&load, "ready_steps"), 1);
    assert!(field(&load, "pending_tasks") >= 4);
    assert_eq!(field(&load, "engaged_hosts"), 2);
    let unresponsive =
        holder.app.world().hosts.iter().filter(|(_, host)| host.unresponsive_since_ms.is_some());
    assert_eq!(field(&load, "unresponsive_hosts"), unresponsive.count() as u64);
    assert_eq!(field(&load, "start_limit"), u64::from(holder.app.world().runs.start_window.limit()));
    let later = finish_period(&mut holder);
    assert_eq!(field(&later, "orders_unsent"), 0, "counted once");
}

/// The control thread gets too little processor time: answers that have arrived wait for a tick.
#[test]
fn load_shows_how_long_answers_wait_for_a_tick() {
    let mut holder = TestDaemon::with_hosts(1);
    finish_period(&mut holder);
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    let start = holder.orders().find(|order| matches!(order.order, Order::Start { .. })).unwrap().clone();
    complete_order(&mut holder, start, OrderOutcome::Done { lists: None }, 240);
    let load = finish_period(&mut holder);
    assert_eq!(field(&load, "answer_queue_ms"), 240);
    assert_eq!(field(&load, "longest_gap_ms"), 241);
    let later = finish_period(&mut holder);
    assert_eq!(field(&later, "answer_queue_ms"), 0);
}

/// A lost watch shows as an age that grows beyond the watch's own wait.
#[test]
fn load_shows_the_age_of_a_followed_range() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.tick(1);
    holder.receive_changes(KeySpace::Hosts, vec![entry_change(host_entry(0))], 70);
    let loads = loads_for(&mut holder, 3_000, 100);
    let ages: Vec<u64> = loads.iter().map(|load| field(load, "hosts_range_age_ms")).collect();
    assert!(ages.is_sorted_by(|earlier, later| earlier < later), "{ages:?}");
    holder.receive_changes(KeySpace::Hosts, vec![entry_change(host_entry(0))], 71);
    let answered = finish_period(&mut holder);
    assert!(field(&answered, "hosts_range_age_ms") <= 1_000);
    assert!(field(&answered, "jobs_range_age_ms") > 3_000);
}
