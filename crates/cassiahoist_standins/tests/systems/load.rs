//! The load that a holder logs, from which a holder that falls behind is told from one whose hosts are silent.

use cassiahoist_core::prelude::*;
use cassiahoist_world::effect::{Effect, LogRecord};
use cassiahoist_world::event::Event;
use cassiahoist_world::holding::HoldingEvent;
use cassiahoist_world::orders::{HostOrder, Order, OrderCompletion, OrderOutcome};
use cassiahoist_world::store::{KeySpace, StoreFailure};
use cassiahoist_world::traffic::{OpenConnections, TrafficKind};
use cassiahoist_world::unsent::UnsentCause;

use crate::support::{TestDaemon, entry_change, host_entry, log_records, step};

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
    log_records(effects, EventId::HolderLoad)
}

/// Runs ticks for some time and returns the logged loads of the process.
fn daemon_loads_for(daemon: &mut TestDaemon, time_ms: u64, tick_ms: u64) -> Vec<LogRecord> {
    let until_ms = daemon.now_ms + time_ms;
    let mut loads = Vec::new();
    while daemon.now_ms < until_ms {
        loads.extend(log_records(daemon.tick(tick_ms), EventId::DaemonLoad));
    }
    loads
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

/// Daemons without the slice are many, so each logs its load seldom while nothing fails.
#[test]
fn standby_logs_the_load_of_its_process_every_ten_seconds() {
    let mut daemon = TestDaemon::standby();
    daemon_loads_for(&mut daemon, 1_000, 100);
    let loads = daemon_loads_for(&mut daemon, 60_000, 100);
    assert_eq!(loads.len(), 6);
    assert!(loads.iter().all(|load| field(load, "period_ms") == 1_000));
}

#[test]
fn holder_logs_the_load_of_its_process_every_second() {
    let mut holder = TestDaemon::with_hosts(1);
    finish_period(&mut holder);
    assert_eq!(daemon_loads_for(&mut holder, 5_000, 100).len(), 5);
}

/// Class of a shared resource that is used up, at any daemon: connections by use, bytes by kind, and requests that were
/// not sent by cause.
#[test]
fn load_of_the_process_shows_connections_bytes_and_unsent_requests() {
    let mut daemon = TestDaemon::standby();
    daemon_loads_for(&mut daemon, 1_000, 100);
    let traffic = &mut daemon.app.world_mut().load.traffic;
    traffic.connections = OpenConnections {
        hosts: 2_700,
        hosts_limit: 2_829,
        callers: 40,
        peers: 146,
        store: 3,
        advice: 2,
        descriptors_limit: 4_100,
    };
    traffic.sent_bytes[TrafficKind::Starts as usize] = 1_700_000;
    traffic.sent_bytes[TrafficKind::Peers as usize] = 60_000;
    traffic.received_bytes = 400_000;
    traffic.accepts_failed = 5;
    traffic.calls_unqueued = 6;
    traffic.peer_messages_lost = 7;
    traffic.open_bytes = 900_000;
    traffic.unsent[UnsentCause::LocalResources as usize] = 12;
    let loads = daemon_loads_for(&mut daemon, 1_000, 100);
    assert_eq!(loads.len(), 1, "a failure of its own is logged at once");
    let expected = [
        ("host_connections", 2_700),
        ("host_connections_limit", 2_829),
        ("caller_connections", 40),
        ("peer_connections", 146),
        ("store_connections", 3),
        ("advice_connections", 2),
        ("descriptors_limit", 4_100),
        ("starts_bytes", 1_700_000),
        ("polls_bytes", 0),
        ("peers_bytes", 60_000),
        ("received_bytes", 400_000),
        ("accepts_failed", 5),
        ("calls_unqueued", 6),
        ("peer_messages_lost", 7),
        ("open_bytes", 900_000),
        ("unsent_local_resources", 12),
        ("unsent_connect_failed", 0),
    ];
    for (name, value) in expected {
        assert_eq!(field(&loads[0], name), value, "{name}");
    }
    daemon.app.world_mut().load.traffic.unsent[UnsentCause::ConnectFailed as usize] = 3;
    let loads = daemon_loads_for(&mut daemon, 20_000, 100);
    assert_eq!(
        loads.len(),
        2,
        "counts are those of the period, and hosts that refuse are no failure of its own"
    );
    assert_eq!(field(&loads[0], "starts_bytes"), 0);
}

/// Class of a failure of the daemon's own, at any daemon: calls that it could not send, apart from those that failed.
#[test]
fn load_of_the_process_tells_unsent_store_calls_from_failed_ones() {
    let mut daemon = TestDaemon::standby();
    daemon.tick(1);
    let call = daemon.store_calls().next().cloned().unwrap();
    daemon_loads_for(&mut daemon, 1_000, 100);
    daemon.answer_store(call.clone(), Err(StoreFailure::NotSent(UnsentCause::LocalResources)));
    daemon.answer_store(call.clone(), Err(StoreFailure::Unknown));
    daemon.answer_store(call, Err(StoreFailure::Unknown));
    let load = daemon_loads_for(&mut daemon, 1_000, 100).remove(0);
    assert_eq!(field(&load, "store_calls_unsent"), 1);
    assert_eq!(field(&load, "store_calls_failed"), 2);
}

/// A daemon without processor time: a timer was due, and the tick came later.
#[test]
fn load_of_the_process_shows_late_ticks() {
    let mut daemon = TestDaemon::standby();
    daemon_loads_for(&mut daemon, 1_020, 10);
    let due_at_ms = daemon.now_ms + 30;
    daemon.app.world_mut().wake_by(due_at_ms);
    daemon.tick(430);
    let load = daemon_loads_for(&mut daemon, 1_000, 10).remove(0);
    assert_eq!(field(&load, "longest_late_ms"), 400);
}

/// Class of work that grows with the backlog: waiting steps, and how many of them rounds visited.
#[test]
fn load_shows_the_work_that_a_backlog_causes() {
    let mut holder = TestDaemon::with_hosts(1);
    finish_period(&mut holder);
    for job in 1..=40 {
        holder.add_job(job, vec![step(20)]);
    }
    let load = finish_period(&mut holder);
    let counters = holder.app.world().counters;
    assert!(field(&load, "steps_visited") > 0 && field(&load, "host_searches") > 0);
    assert!(field(&load, "steps_visited") <= counters.steps_visited);
    assert_eq!(field(&load, "hosts"), 1);
    assert_eq!(field(&load, "ready_steps"), 40);
}

/// Class of a decision on an incomplete listing: how old what a daemon knows is.
#[test]
fn load_of_the_process_shows_the_age_of_what_it_knows() {
    let mut daemon = TestDaemon::standby();
    daemon.tick(1);
    daemon.receive_changes(KeySpace::Cell, Vec::new(), 70);
    let answered_at_ms = daemon.now_ms;
    let load = daemon_loads_for(&mut daemon, 11_000, 100).pop().unwrap();
    assert_eq!(field(&load, "members"), 0);
    assert!(field(&load, "cell_range_age_ms") > 9_000);
    assert!(field(&load, "store_answer_age_ms") <= daemon.now_ms - answered_at_ms);
    assert!(field(&load, "heartbeat_age_ms") > 9_000);
}
