//! Runs whose progress a slow holder learns late.

use cassiahoist_world::event::Event;
use cassiahoist_world::orders::{HostOrder, Order, OrderCompletion, OrderOutcome, RunReport};
use cassiahoist_world::runs::{RunState, StopReason};

use crate::support::{FENCE, TestDaemon, host_entry, running, running_lists, step, task_name};

/// Delivers an answer that arrived `queued_ms` before its tick.
fn complete_order(holder: &mut TestDaemon, order: HostOrder, outcome: OrderOutcome, queued_ms: u64) {
    let completed_at_ms = holder.now_ms;
    holder.app.push_event(Event::OrderCompleted(Box::new(OrderCompletion {
        order,
        issued_at_ms: completed_at_ms,
        host_clock_ms: Some(completed_at_ms),
        completed_at_ms,
        outcome,
    })));
    holder.tick(queued_ms);
}

/// Creates an answered order other than a poll, such as the start of another task.
fn other_order(holder: &TestDaemon) -> HostOrder {
    HostOrder {
        host: holder.host(0),
        host_name: host_entry(0).name,
        address: host_entry(0).address,
        fence: FENCE,
        order: Order::Stop { run: None, task: task_name(9, 0, 0).parse().unwrap(), run_number: 1 },
        timeout_ms: 300,
    }
}

fn report_progress(holder: &mut TestDaemon, progress_percent: u32) {
    let report = RunReport { progress_percent, ..running(&task_name(1, 0, 0), 1) };
    holder.report_lists(0, running_lists(vec![report]));
}

fn is_stopped_as_stalled(holder: &TestDaemon) -> bool {
    holder.app.world().runs.rows.values().any(|run| run.stop_reason == Some(StopReason::Stalled))
}

/// The holder is slow, so that its polls are far apart. Between two of them the host answers other orders, which say
/// nothing about the progress of its runs.
#[test]
fn run_is_not_stopped_while_no_lists_report_its_progress() {
    let mut holder = TestDaemon::with_running_tasks(1, 1);
    report_progress(&mut holder, 10);
    holder.tick(200);
    report_progress(&mut holder, 20);
    for _ in 0..8 {
        holder.tick(200);
        let order = other_order(&holder);
        complete_order(&mut holder, order, OrderOutcome::Done { lists: None }, 10);
        assert!(!is_stopped_as_stalled(&holder), "at {}", holder.now_ms);
    }
    report_progress(&mut holder, 90);
    holder.tick(200);
    assert!(!is_stopped_as_stalled(&holder));
}

/// The start order waits on the holder's full link, and its answer in the holder's queue.
///
/// The time until the first progress counts from the confirmed start.
#[test]
fn run_is_not_stopped_for_the_time_that_its_start_order_took() {
    let mut holder = TestDaemon::with_hosts(1);
    let queue = crate::support::job_record(1, Vec::new()).policy.queue.clone();
    holder.app.world_mut().runs.mean_run_ms.insert(queue, 1_000.0);
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    let start = holder.orders().find(|order| matches!(order.order, Order::Start { .. })).cloned().unwrap();
    holder.tick(700);
    complete_order(&mut holder, start, OrderOutcome::Done { lists: None }, 200);
    report_progress(&mut holder, 0);
    holder.tick(200);
    assert!(!is_stopped_as_stalled(&holder), "confirmed 200 ms ago");
    assert!(holder.app.world().runs.rows.values().all(|run| run.state == RunState::Running));
    report_progress(&mut holder, 40);
    assert!(!is_stopped_as_stalled(&holder));
}

/// A run that its host lists again and again without progress is still stopped.
#[test]
fn run_that_is_listed_without_progress_is_stopped() {
    let mut holder = TestDaemon::with_running_tasks(1, 1);
    let mut stopped = false;
    for _ in 0..15 {
        report_progress(&mut holder, 10);
        holder.tick(200);
        stopped |= is_stopped_as_stalled(&holder);
    }
    assert!(stopped);
}
