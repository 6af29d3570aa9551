//! Measurement of this daemon's load, which a holder logs once a second.

use cassiahoist_core::prelude::*;
use cassiahoist_world::load::{Load, LoadPeriod};
use cassiahoist_world::orders::{Order, OrderOutcome};
use cassiahoist_world::prelude::*;
use cassiahoist_world::store::KeySpace;

/// Length of a period, in milliseconds. A period ends with the first tick after it.
const PERIOD_MS: u64 = 1_000;

/// Measures the gap to the last tick, and counts start orders without an answer.
pub(crate) fn measure_tick(world: &mut World, now_ms: u64) {
    let period = &mut world.load.period;
    if period.last_tick_at_ms > 0 {
        period.longest_gap_ms = period.longest_gap_ms.max(now_ms.saturating_sub(period.last_tick_at_ms));
    }
    period.last_tick_at_ms = now_ms;
    for completion in &world.inbox.order_results {
        let queued_ms = now_ms.saturating_sub(completion.completed_at_ms);
        period.answer_queue_ms = period.answer_queue_ms.max(queued_ms);
        let is_start = matches!(completion.order.order, Order::Start { .. });
        if is_start && completion.outcome == OrderOutcome::Unknown {
            world.counters.starts_unanswered += 1;
        }
    }
}

/// Ends a period that is over, and logs its load while this daemon has the claim on the slice.
pub(crate) fn log_holder_load(world: &mut World, now_ms: u64) {
    if now_ms < world.load.period.started_at_ms + PERIOD_MS {
        return;
    }
    let load = summarize_period(world, now_ms);
    world.load.latest = load;
    world.load.period = LoadPeriod {
        started_at_ms: now_ms,
        counters_at_start: world.counters,
        last_tick_at_ms: now_ms,
        ..LoadPeriod::default()
    };
    if world.holding.fence().is_some() {
        let log_record = LogRecord::new(EventId::HolderLoad);
        world.log(load.fields().iter().fold(log_record, |record, (name, value)| record.with(name, value)));
    }
}

fn summarize_period(world: &World, now_ms: u64) -> Load {
    let (period, counters) = (&world.load.period, &world.counters);
    let start = &period.counters_at_start;
    let range_age_ms = |space| {
        let range = world.store_connection.followed_ranges.get(&space);
        range.map_or(0, |range| now_ms.saturating_sub(range.last_answer_at_ms))
    };
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
        events: counters.events - start.events,
        answer_queue_ms: period.answer_queue_ms,
        quickest_answer_ms: world.holding.answer_times.min_latency_ms,
        orders_unsent: counters.orders_unsent - start.orders_unsent,
        starts_unanswered: counters.starts_unanswered - start.starts_unanswered,
        open_starts: u64::from(world.runs.start_window.open()),
        start_limit: u64::from(world.runs.start_window.limit()),
        jobs: world.jobs.len() as u64,
        ready_steps: world.jobs.ready.len() as u64,
        pending_tasks: ready_steps.map(|step| step.pending_tasks.len() as u64).sum(),
        runs: world.runs.rows.len() as u64,
        engaged_hosts,
        unresponsive_hosts,
        open_advice_calls: world.advice.open_calls.values().filter(|call| !call.abandoned).count() as u64,
        hosts_range_age_ms: range_age_ms(KeySpace::Hosts),
        jobs_range_age_ms: range_age_ms(KeySpace::Jobs),
    }
}
