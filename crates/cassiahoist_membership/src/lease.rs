//! This daemon's lease in the store.

use cassiahoist_core::prelude::*;
use cassiahoist_world::prelude::*;
use cassiahoist_world::store::{StoreOp, StorePurpose, StoreReply};

use crate::step_down::{Cause, step_down};

/// How long the lease lasts without renewal, in milliseconds; bounds the time to notice a dead holder.
const LEASE_TTL_MS: u64 = 1_500;

/// Pause between renewals at the holder, in milliseconds; two may fail before the lease ends.
const HOLDER_KEEP_INTERVAL_MS: u64 = 400;

/// Pause between renewals at other daemons, in milliseconds; one may fail, and a lapse costs them only their entry.
const KEEP_INTERVAL_MS: u64 = 800;

/// Pause after a failed call, in milliseconds.
const RETRY_MS: u64 = 100;

/// Takes in answers about the lease.
pub fn read_lease_answers(world: &mut World, now_ms: u64) {
    let answers = world.inbox.take_store(|purpose| {
        matches!(purpose, StorePurpose::Grant | StorePurpose::Keep | StorePurpose::End)
    });
    for answered in answers {
        world.store.lease_in_flight = false;
        world.store.lease_next_ms = now_ms + keep_interval_ms(world);
        match answered.outcome {
            Ok(StoreReply::Leased { lease, .. }) => {
                world.store.lease = Some(lease);
                world.store.lease_renewed_ms = answered.started_ms;
            }
            Ok(StoreReply::NoLease) if answered.purpose == StorePurpose::Keep => lose_lease(world, now_ms),
            Ok(_) => {}
            Err(_) => world.store.lease_next_ms = now_ms + RETRY_MS,
        }
    }
}

/// Gives the pause until the next renewal, in milliseconds.
fn keep_interval_ms(world: &World) -> u64 {
    if world.holding.fence().is_some() { HOLDER_KEEP_INTERVAL_MS } else { KEEP_INTERVAL_MS }
}

/// The store ended the lease and with it this daemon's entries.
fn lose_lease(world: &mut World, now_ms: u64) {
    world.store.lease = None;
    world.store.lease_next_ms = now_ms;
    world.members.registered = false;
    world.log(LogNote::new(EventId::LeaseLost));
    step_down(world, Cause::Lapsed, now_ms);
}

/// Asks for a lease, or renews it.
pub fn keep_lease(world: &mut World, now_ms: u64) {
    if world.store.lease_in_flight {
        return;
    }
    if now_ms < world.store.lease_next_ms {
        return world.wake_by(world.store.lease_next_ms);
    }
    let (purpose, op) = match world.store.lease {
        Some(lease) => (StorePurpose::Keep, StoreOp::KeepLease(lease)),
        None if world.local.is_stopping() => return,
        None => {
            let ttl_ms = LEASE_TTL_MS.max(world.local.bounds.min_lease_ms);
            (StorePurpose::Grant, StoreOp::GrantLease(ttl_ms))
        }
    };
    world.store.lease_in_flight = true;
    let patience_ms = world.store.patience_ms();
    world.call_store(purpose, op, now_ms, patience_ms);
}
