//! Check of the claim after the process was suspended.
//!
//! Another daemon may have claimed the slice in the meantime. Hosts that have seen its fence refuse this daemon, but a
//! restarted host has seen none, so no run is started until the store has confirmed the lease.

use cassiahoist_core::prelude::*;
use cassiahoist_world::prelude::*;

/// Gap between two ticks above which the process was suspended, in milliseconds.
///
/// The control thread sleeps for at most one second.
const MAX_TICK_GAP_MS: u64 = 1_250;

/// How long the check waits for the store, in milliseconds. By then fenced hosts have refused a poll.
const CHECK_TIMEOUT_MS: u64 = 1_500;

/// Detects a suspension of the process and starts a check of the claim.
///
/// Renewal of the lease and polls of all hosts become due at once. The check ends once the store has confirmed the
/// lease, or after [`CHECK_TIMEOUT_MS`].
pub fn check_claim_after_suspension(world: &mut World, now_ms: u64) {
    let tick_gap_ms = now_ms.saturating_sub(world.holding.last_tick_at_ms);
    if world.holding.last_tick_at_ms > 0 && tick_gap_ms > MAX_TICK_GAP_MS {
        world.holding.unconfirmed_since_ms = Some(now_ms);
        world.store_connection.next_lease_call_at_ms = now_ms;
        for (_, host) in world.hosts.iter_mut() {
            host.poll.next_ms = now_ms;
        }
        world.log(LogRecord::new(EventId::ProcessPaused).with("paused_ms", tick_gap_ms));
    }
    world.holding.last_tick_at_ms = now_ms;
    let Some(since_ms) = world.holding.unconfirmed_since_ms else { return };
    if world.store_connection.lease_renewed_at_ms >= since_ms || now_ms >= since_ms + CHECK_TIMEOUT_MS {
        world.holding.unconfirmed_since_ms = None;
    } else {
        world.wake_by(since_ms + CHECK_TIMEOUT_MS);
    }
}
