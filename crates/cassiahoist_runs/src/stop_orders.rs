//! Stop orders, resent until the host confirms them.

use cassiahoist_world::orders::Order;
use cassiahoist_world::prelude::*;
use cassiahoist_world::runs::{Run, RunKey, RunState};

/// Timeout of a stop order, in milliseconds.
const STOP_TIMEOUT_MS: u64 = 350;

/// Interval between stop orders for the same run, in milliseconds.
const RESEND_INTERVAL_MS: u64 = 1_500;

/// Sends the stop orders that are due.
pub fn send_stop_orders(world: &mut World, now_ms: u64) {
    if !world.holding.has_permission(now_ms) {
        return;
    }
    let mut earliest_wake_ms = u64::MAX;
    let mut due: Vec<RunKey> = Vec::new();
    for key in world.runs.stopping.iter().copied() {
        let Some(run) = world.runs.rows.get(key) else { continue };
        let needs_stop = matches!(run.state, RunState::Unsettled | RunState::Stopping);
        if !needs_stop || run.order_in_flight || is_lost(world, run, now_ms) {
            continue;
        }
        if now_ms < run.next_stop_at_ms {
            earliest_wake_ms = earliest_wake_ms.min(run.next_stop_at_ms);
        } else {
            due.push(key);
        }
    }
    // The order of a set is not that of the requests.
    due.sort_unstable();
    world.wake_by(earliest_wake_ms);
    for key in due {
        let Some(run) = world.runs.rows.get_mut(key) else { continue };
        run.order_in_flight = true;
        run.next_stop_at_ms = now_ms + RESEND_INTERVAL_MS;
        let (host, order) =
            (run.host, Order::Stop { run: Some(key), task: run.name, run_number: run.run_number });
        let timeout_ms = STOP_TIMEOUT_MS + world.holding.answer_times.latency_allowance_ms();
        world.send_order(host, order, timeout_ms, now_ms);
    }
}

/// Returns whether the host of a run is silent beyond its lease. A poll that it answers shows that it is back.
fn is_lost(world: &World, run: &Run, now_ms: u64) -> bool {
    let host = world.hosts.get(run.host);
    host.is_some_and(|host| host.unresponsive_since_ms.is_some() && now_ms >= host.lease_end_ms)
}
