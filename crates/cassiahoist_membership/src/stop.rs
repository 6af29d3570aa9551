//! Graceful stop: hand over, let the balancer look away, finish open calls, exit.

use cassiahoist_core::prelude::*;
use cassiahoist_world::holding::Release;
use cassiahoist_world::local::StopState;
use cassiahoist_world::prelude::*;
use cassiahoist_world::store::{StoreKey, StoreOp, StorePurpose, StoreReply, Transaction};

use crate::claim::SLICE;
use crate::step_down::{Cause, step_down};

/// How long the daemon serves on after it was asked to stop, in milliseconds.
///
/// The balancer asks once a second and turns away after two refusals.
const SERVE_ON_MS: u64 = 3_500;

/// Time kept for the process's own end, in milliseconds.
const EXIT_MARGIN_MS: u64 = 1_000;

/// How long a handover may wait for progress to be recorded, in milliseconds.
const FLUSH_LIMIT_MS: u64 = 400;

/// How long a handover may take, in milliseconds.
const PATIENCE_MS: u64 = 800;

/// Pause before a removal that failed is sent again, in milliseconds.
const RELEASE_RETRY_MS: u64 = 200;

/// Notes that the process was asked to stop.
pub fn begin_stop(world: &mut World, now_ms: u64) {
    if std::mem::take(&mut world.inbox.stop) && !world.local.is_stopping() {
        world.local.stop = StopState::Stopping { since_ms: now_ms };
        world.log(LogNote::new(EventId::DaemonStopping).with("holding", world.holding.is_holding()));
    }
}

/// Removes a claim that was given up; one that stayed would keep others away for as long as the lease is renewed.
pub fn confirm_release(world: &mut World, now_ms: u64) {
    for answered in world.inbox.take_store(|purpose| *purpose == StorePurpose::Release) {
        let Release::Sent(fence) = world.holding.release else { continue };
        // A conflict shows that the claim is gone.
        let gone = matches!(answered.outcome, Ok(StoreReply::Committed { .. } | StoreReply::Conflict { .. }));
        world.holding.release =
            if gone { Release::Settled } else { Release::Again { fence, at_ms: now_ms + RELEASE_RETRY_MS } };
    }
    match world.holding.release {
        Release::Again { fence, at_ms } if now_ms >= at_ms => send_release(world, fence, now_ms),
        Release::Again { at_ms, .. } => world.wake_by(at_ms),
        Release::Settled | Release::Sent(_) => {}
    }
}

fn send_release(world: &mut World, fence: Fence, now_ms: u64) {
    let transaction = Transaction::default()
        .with_expect(StoreKey::Claim(SLICE), fence.0)
        .with_delete(StoreKey::Claim(SLICE));
    world.holding.release = Release::Sent(fence);
    world.call_store(StorePurpose::Release, StoreOp::Commit(transaction), now_ms, PATIENCE_MS);
}

/// Hands the slice over once progress is recorded.
pub fn release_claim(world: &mut World, now_ms: u64) {
    let since_ms = match (world.local.stop, world.holding.unfit_since_ms) {
        (StopState::Stopping { since_ms }, _) | (StopState::Running, Some(since_ms)) => since_ms,
        (StopState::Running, None) => return,
    };
    let Some(fence) = world.holding.fence() else { return };
    let flushing = world.commits.flush.is_some() || !world.jobs.dirty.is_empty();
    if flushing && now_ms < since_ms + FLUSH_LIMIT_MS {
        return world.wake_by(since_ms + FLUSH_LIMIT_MS);
    }
    send_release(world, fence, now_ms);
    step_down(world, Cause::Released, now_ms);
}

/// Ends the process once the balancer has looked away and no call is open.
pub fn finish_stop(world: &mut World, now_ms: u64) {
    let StopState::Stopping { since_ms } = world.local.stop else { return };
    let serve_until_ms = since_ms + SERVE_ON_MS.min(world.local.bounds.grace_ms / 2);
    let last_ms = since_ms + world.local.bounds.grace_ms.saturating_sub(EXIT_MARGIN_MS);
    let idle = world.front.calls.is_empty() && world.holding.fence().is_none();
    if now_ms >= last_ms || (idle && now_ms >= serve_until_ms) {
        if let Some(lease) = world.store.lease.take() {
            world.call_store(StorePurpose::End, StoreOp::EndLease(lease), now_ms, PATIENCE_MS);
        }
        world.emit(Effect::Exit);
    }
    world.wake_by(if now_ms < serve_until_ms { serve_until_ms } else { last_ms.min(now_ms + 50) });
}
