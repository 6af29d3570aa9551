//! Measurement of this daemon's load, which a holder logs once a second.

use cassiahoist_core::prelude::*;
use cassiahoist_world::load::{DaemonLoad, Load, LoadPeriod};
use cassiahoist_world::orders::{Order, OrderOutcome};
use cassiahoist_world::prelude::*;
use cassiahoist_world::store::KeySpace;

/// Length of a period, in milliseconds. A period ends with the first tick after it.
const PERIOD_MS: u64 = 1_000;

/// Interval at which a daemon without the slice logs its load while nothing fails, in milliseconds.
const STANDBY_LINE_INTERVAL_MS: u64 = 10_000;

/// Measures how late the tick is, and counts start orders without an answer.
pub(crate) fn measure_tick(world: &mut World, now_ms: u64) {
    let period = &mut world.load.period;
    if period.last_tick_at_ms > 0 {
        period.longest_gap_ms = period.longest_gap_ms.max(now_ms.saturating_sub(period.last_tick_at_ms));
    }
    period.last_tick_at_ms = now_ms;
    period.longest_late_ms = period.longest_late_ms.max(now_ms.saturating_sub(world.due_at_ms));
    for completion in &world.inbox.order_results {
        let queued_ms = now_ms.saturating_sub(completion.completed_at_ms);
        period.answer_queue_ms = period.answer_queue_ms.max(queued_ms);
        let is_start = matches!(completion.order.order, Order::Start { .. });
        if is_start && completion.outcome == OrderOutcome::Unknown {
            world.counters.starts_unanswered += 1;
        }
    }
}

/// Ends a period that is over, and logs its load.
///
/// A daemon without the claim on the slice logs only the load of its process, and not each period.
pub(crate) fn log_load(world: &mut World, now_ms: u64) {
    if now_ms < world.load.period.started_at_ms + PERIOD_MS {
        return;
    }
    world.load.latest = summarize_tables(world, now_ms);
    world.load.daemon = summarize_process(world, now_ms);
    world.load.period = LoadPeriod {
        started_at_ms: now_ms,
        counters_at_start: world.counters,
        traffic_at_start: world.load.traffic,
        last_tick_at_ms: now_ms,
        ..LoadPeriod::default()
    };
    let has_claim = world.holding.fence().is_some();
    if has_claim {
        let fields = world.load.latest.fields();
        log_fields(world, EventId::HolderLoad, &fields);
    }
    let load = world.load.daemon;
    if has_claim || load.has_own_failure() || now_ms >= world.load.next_daemon_line_at_ms {
        world.load.next_daemon_line_at_ms = now_ms + STANDBY_LINE_INTERVAL_MS;
        log_fields(world, EventId::DaemonLoad, &load.fields());
    }
}

fn log_fields(world: &mut World, event: EventId, fields: &[(&'static str, u64)]) {
    let log_record = LogRecord::new(event);
    world.log(fields.iter().fold(log_record, |record, (name, value)| record.with(name, value)));
}

fn summarize_process(world: &World, now_ms: u64) -> DaemonLoad {
    let (period, counters, traffic) = (&world.load.period, &world.counters, &world.load.traffic);
    let (start, traffic_start) = (&period.counters_at_start, &period.traffic_at_start);
    let heartbeat_at_ms = world.calls.holder_status.as_ref().map_or(0, |status| status.received_at_ms);
    let store = &world.store_connection;
    DaemonLoad {
        period_ms: now_ms - period.started_at_ms,
        ticks: counters.ticks - start.ticks,
        tick_us: counters.tick_us - start.tick_us,
        longest_tick_us: period.longest_tick_us,
        longest_gap_ms: period.longest_gap_ms,
        longest_late_ms: period.longest_late_ms,
        events: counters.events - start.events,
        open_calls: world.calls.open.len() as u64,
        calls_refused: counters.refused - start.refused,
        orders_unsent: counters.orders_unsent - start.orders_unsent,
        store_calls_unsent: counters.store_calls_unsent - start.store_calls_unsent,
        store_calls_failed: counters.store_calls_failed - start.store_calls_failed,
        unsent: subtract(traffic.unsent, traffic_start.unsent),
        accepts_failed: traffic.accepts_failed - traffic_start.accepts_failed,
        calls_unqueued: traffic.calls_unqueued - traffic_start.calls_unqueued,
        peer_messages_lost: traffic.peer_messages_lost - traffic_start.peer_messages_lost,
        connections: traffic.connections,
        sent_bytes: subtract(traffic.sent_bytes, traffic_start.sent_bytes),
        received_bytes: traffic.received_bytes - traffic_start.received_bytes,
        open_bytes: traffic.open_bytes,
        log_lines_dropped: counters.log_lines_dropped - start.log_lines_dropped,
        members: world.members.iter().count() as u64,
        store_answer_age_ms: now_ms.saturating_sub(store.last_answer_at_ms),
        cell_range_age_ms: store.range_age_ms(KeySpace::Cell, now_ms),
        operators_range_age_ms: store.range_age_ms(KeySpace::Operators, now_ms),
        heartbeat_age_ms: if world.holding.is_holding() { 0 } else { now_ms - heartbeat_at_ms },
    }
}

fn subtract<const N: usize>(totals: [u64; N], earlier: [u64; N]) -> [u64; N] {
    std::array::from_fn(|index| totals[index] - earlier[index])
}

fn summarize_tables(world: &World, now_ms: u64) -> Load {
    let (period, counters) = (&world.load.period, &world.counters);
    let start = &period.counters_at_start;
    let range_age_ms = |space| world.store_connection.range_age_ms(space, now_ms);
    let ready_steps = world.jobs.ready.iter().filter_map(|step| world.jobs.steps.get(step));
    let (mut engaged_hosts, mut unresponsive_hosts) = (0, 0);
    for (_, host) in world.hosts.iter_engaged() {
        engaged_hosts += 1;
        unresponsive_hosts += u64::from(host.unresponsive_since_ms.is_some());
    }
    Load {
        period_ms: now_ms - period.started_at_ms,
        ticks: counters.ticks - start.ticks,
        tick_us: counters.tick_us - start.tick_us,
        longest_tick_us: period.longest_tick_us,
        longest_gap_ms: period.longest_gap_ms,
        longest_late_ms: period.longest_late_ms,
        events: counters.events - start.events,
        answer_queue_ms: period.answer_queue_ms,
        quickest_answer_ms: world.holding.answer_times.min_latency_ms,
        steps_visited: counters.steps_visited - start.steps_visited,
        host_searches: counters.host_searches - start.host_searches,
        orders_unsent: counters.orders_unsent - start.orders_unsent,
        starts_unanswered: counters.starts_unanswered - start.starts_unanswered,
        open_starts: u64::from(world.runs.start_window.open()),
        start_limit: u64::from(world.runs.start_window.limit()),
        jobs: world.jobs.len() as u64,
        ready_steps: world.jobs.ready.len() as u64,
        pending_tasks: ready_steps.map(|step| step.pending_tasks.len() as u64).sum(),
        runs: world.runs.rows.len() as u64,
        hosts: world.hosts.len() as u64,
        engaged_hosts,
        unresponsive_hosts,
        open_advice_calls: world.advice.open_calls.values().filter(|call| !call.abandoned).count() as u64,
        hosts_range_age_ms: range_age_ms(KeySpace::Hosts),
        jobs_range_age_ms: range_age_ms(KeySpace::Jobs),
    }
}
