//! Lease of this daemon in the store.

use cassiahoist_core::prelude::*;
use cassiahoist_world::holding::PERMISSION_MS;
use cassiahoist_world::prelude::*;
use cassiahoist_world::store::{StoreOp, StorePurpose, StoreReply};

use crate::step_down::{StepDownCause, step_down};

/// Time to live of the lease without renewal, in milliseconds.
///
/// It bounds the time to detect a dead holder. A greater `min_lease_ms` of the bounds takes its place.
pub(crate) const LEASE_TTL_MS: u64 = 1_500;

// A holder loses its permission to act before another daemon can claim.
const _: () = assert!(PERMISSION_MS < LEASE_TTL_MS);

/// Interval between renewals at the holder, in milliseconds. Two may fail before the lease ends.
pub(crate) const HOLDER_RENEWAL_INTERVAL_MS: u64 = 400;

/// Interval between renewals at other daemons, in milliseconds.
///
/// One renewal may fail before the lease ends, and its end removes only their member entry.
const RENEWAL_INTERVAL_MS: u64 = 800;

/// Delay before a failed call is retried, in milliseconds.
const RETRY_DELAY_MS: u64 = 100;

/// Applies the store's answers to grants, renewals and ends of the lease.
pub fn apply_lease_answers(world: &mut World, now_ms: u64) {
    let answers = world.inbox.take_store_results(|purpose| {
        matches!(purpose, StorePurpose::GrantLease | StorePurpose::RenewLease | StorePurpose::EndLease)
    });
    for completion in answers {
        world.store_connection.lease_in_flight = false;
        world.store_connection.next_lease_call_at_ms = now_ms + renewal_interval_ms(world);
        match completion.outcome {
            Ok(StoreReply::LeaseGranted { lease, .. }) => {
                world.store_connection.lease = Some(lease);
                world.store_connection.lease_renewed_at_ms = completion.issued_at_ms;
            }
            Ok(StoreReply::LeaseNotFound) if completion.purpose == StorePurpose::RenewLease => {
                drop_lease(world, now_ms);
            }
            Ok(_) => {}
            Err(_) => world.store_connection.next_lease_call_at_ms = now_ms + RETRY_DELAY_MS,
        }
    }
}

/// Returns the interval until the next renewal, in milliseconds.
fn renewal_interval_ms(world: &World) -> u64 {
    if world.holding.fence().is_some() { HOLDER_RENEWAL_INTERVAL_MS } else { RENEWAL_INTERVAL_MS }
}

/// Steps down after the store ended the lease and removed this daemon's entries.
pub(crate) fn drop_lease(world: &mut World, now_ms: u64) {
    forget_lease(world, now_ms);
    world.members.registered = false;
    let connection = &world.store_connection;
    let log_record = LogRecord::new(EventId::LeaseLost)
        .with("renewed_ms_ago", now_ms.saturating_sub(connection.lease_renewed_at_ms))
        .with("store_answered_ms_ago", now_ms.saturating_sub(connection.last_answer_at_ms));
    world.log(log_record);
    step_down(world, StepDownCause::Lapsed, now_ms);
}

/// Forgets a lease that the store does not know any more, and makes the request for a new one due.
pub(crate) fn forget_lease(world: &mut World, now_ms: u64) {
    world.store_connection.lease = None;
    world.store_connection.next_lease_call_at_ms = now_ms;
    world.wake_by(now_ms);
}

/// Requests a lease, or renews it when due. A stopping daemon requests no new one.
pub fn maintain_lease(world: &mut World, now_ms: u64) {
    if world.store_connection.lease_in_flight {
        return;
    }
    if now_ms < world.store_connection.next_lease_call_at_ms {
        return world.wake_by(world.store_connection.next_lease_call_at_ms);
    }
    let (purpose, op) = match world.store_connection.lease {
        Some(lease) => (StorePurpose::RenewLease, StoreOp::RenewLease(lease)),
        None if world.local.is_stopping() => return,
        None => {
            let ttl_ms = LEASE_TTL_MS.max(world.local.bounds.min_lease_ms);
            (StorePurpose::GrantLease, StoreOp::GrantLease(ttl_ms))
        }
    };
    world.store_connection.lease_in_flight = true;
    let timeout_ms = world.store_connection.call_timeout_ms();
    world.call_store(purpose, op, now_ms, timeout_ms);
}
