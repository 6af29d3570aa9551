//! Check of the claim after the process was suspended.
//!
//! Another daemon may have claimed the slice in the meantime. Hosts that have seen its fence refuse this daemon, but a
//! restarted host has seen none, so no run is started until the store has confirmed the lease.

use cassiahoist_core::prelude::*;
use cassiahoist_world::prelude::*;

use crate::lease::{HOLDER_RENEWAL_INTERVAL_MS, LEASE_TTL_MS};

/// Gap between two ticks above which the lease may have ended unnoticed, in milliseconds.
///
/// The last renewal may have been almost due when the gap began. The control thread sleeps for less.
const MAX_TICK_GAP_MS: u64 = LEASE_TTL_MS - HOLDER_RENEWAL_INTERVAL_MS;

/// Detects a suspension of the process and starts a check of the claim.
///
/// Renewal of the lease and polls of all hosts become due at once. The check ends once the store has confirmed the
/// lease, however long that takes.
pub fn check_claim_after_suspension(world: &mut World, now_ms: u64) {
    let tick_gap_ms = now_ms.saturating_sub(world.holding.last_tick_at_ms);
    if world.holding.last_tick_at_ms > 0 && tick_gap_ms > MAX_TICK_GAP_MS {
        world.holding.unconfirmed_since_ms = Some(now_ms);
        world.holding.resumed_at_ms = now_ms;
        world.store_connection.next_lease_call_at_ms = now_ms;
        for (_, host) in world.hosts.iter_mut() {
            host.poll.next_ms = now_ms;
        }
        world.log(LogRecord::new(EventId::ProcessPaused).with("paused_ms", tick_gap_ms));
    }
    world.holding.last_tick_at_ms = now_ms;
    let lease_renewed_at_ms = world.store_connection.lease_renewed_at_ms;
    world.holding.unconfirmed_since_ms.take_if(|since_ms| lease_renewed_at_ms >= *since_ms);
}
