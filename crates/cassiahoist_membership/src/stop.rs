//! Graceful stop and the release of the claim.
//!
//! A stopping daemon releases its claim, serves until the balancer routes calls elsewhere, closes callers' connections,
//! finishes open calls and exits.

use cassiahoist_core::prelude::*;
use cassiahoist_world::holding::ClaimRelease;
use cassiahoist_world::local::StopState;
use cassiahoist_world::prelude::*;
use cassiahoist_world::record::TermRecord;
use cassiahoist_world::store::{StoreKey, StoreOp, StorePurpose, StoreReply, StoreValue, Transaction};

use crate::claim::SLICE;
use crate::step_down::{StepDownCause, step_down};

/// How long the daemon keeps serving after a stop request, in milliseconds.
///
/// The balancer checks readiness once a second and routes calls elsewhere after two refusals. It is half of the
/// grace period if that is shorter.
const DRAIN_MS: u64 = 3_500;

/// End of the grace period reserved for the exit of the process, in milliseconds.
const EXIT_MARGIN_MS: u64 = 1_000;

/// Time from the closing of callers' connections until no request that was read can be on its way to the control thread,
/// in milliseconds.
const CLOSING_MS: u64 = 150;

/// Interval between looks at the calls that are still open, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 50;

/// How long a release waits until progress is recorded, in milliseconds.
const FLUSH_TIMEOUT_MS: u64 = 400;

/// Timeout of the calls that release the claim and end the lease, in milliseconds.
const STORE_TIMEOUT_MS: u64 = 800;

/// Delay before a failed removal of the claim is retried, in milliseconds.
const RELEASE_RETRY_DELAY_MS: u64 = 200;

/// Begins a graceful stop once the process was asked to stop.
pub fn begin_stop(world: &mut World, now_ms: u64) {
    if std::mem::take(&mut world.inbox.stop_requested) && !world.local.is_stopping() {
        world.local.stop_state = StopState::Stopping { since_ms: now_ms, closing_since_ms: None };
        world.log(LogRecord::new(EventId::DaemonStopping).with("holding", world.holding.is_holding()));
    }
}

/// Retries the removal of a released claim until the store confirms it.
///
/// A claim that stayed would block other daemons for as long as this one renews its lease.
pub fn retry_release(world: &mut World, now_ms: u64) {
    for completion in world.inbox.take_store_results(|purpose| *purpose == StorePurpose::ReleaseClaim) {
        let ClaimRelease::InFlight(fence) = world.holding.claim_release else { continue };
        // A conflict shows that this claim no longer exists.
        let removed =
            matches!(completion.outcome, Ok(StoreReply::Committed { .. } | StoreReply::Conflict { .. }));
        world.holding.claim_release = if removed {
            ClaimRelease::Idle
        } else {
            ClaimRelease::Retry { fence, at_ms: now_ms + RELEASE_RETRY_DELAY_MS }
        };
    }
    match world.holding.claim_release {
        ClaimRelease::Retry { fence, at_ms } if now_ms >= at_ms => send_release(world, fence, now_ms),
        ClaimRelease::Retry { at_ms, .. } => world.wake_by(at_ms),
        ClaimRelease::Idle | ClaimRelease::InFlight(_) => {}
    }
}

fn send_release(world: &mut World, fence: Fence, now_ms: u64) {
    let holder = world.local.incarnation.clone();
    let term = TermRecord { term: world.holding.term, holder, released: true };
    let transaction = Transaction::default()
        .with_expect(StoreKey::Claim(SLICE), fence.0)
        .with_delete(StoreKey::Claim(SLICE))
        .with_put(StoreKey::Term(SLICE), StoreValue::Term(term));
    world.holding.claim_release = ClaimRelease::InFlight(fence);
    world.call_store(StorePurpose::ReleaseClaim, StoreOp::Commit(transaction), now_ms, STORE_TIMEOUT_MS);
}

/// Releases the claim of a holder that is stopping, or that transfers the slice to another daemon.
///
/// The release waits a bounded time for progress to be recorded.
pub fn release_claim(world: &mut World, now_ms: u64) {
    let since_ms = match (world.local.stop_state, world.holding.releasing_since_ms) {
        (StopState::Stopping { since_ms, .. }, _) | (StopState::Serving, Some(since_ms)) => since_ms,
        (StopState::Serving, None) => return,
    };
    let Some(fence) = world.holding.fence() else { return };
    let flushing = world.store_writes.flush.is_some() || !world.jobs.unrecorded_jobs.is_empty();
    if flushing && now_ms < since_ms + FLUSH_TIMEOUT_MS {
        return world.wake_by(since_ms + FLUSH_TIMEOUT_MS);
    }
    send_release(world, fence, now_ms);
    step_down(world, StepDownCause::Released, now_ms);
}

/// Next step of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopDecision {
    /// Nothing changes until this time, in monotonic milliseconds.
    WaitUntil(u64),
    /// Callers' connections are closed, so that no further requests arrive.
    CloseConnections,
    /// The process ends.
    Exit,
}

fn decide_stop(world: &World, since_ms: u64, closing_since_ms: Option<u64>, now_ms: u64) -> StopDecision {
    let serve_until_ms = since_ms + DRAIN_MS.min(world.local.bounds.grace_ms / 2);
    let exit_at_ms = since_ms + world.local.bounds.grace_ms.saturating_sub(EXIT_MARGIN_MS);
    let is_released = world.holding.fence().is_none();
    let next_check_ms = exit_at_ms.min(now_ms + CHECK_INTERVAL_MS);
    match closing_since_ms {
        _ if now_ms >= exit_at_ms => StopDecision::Exit,
        None if now_ms < serve_until_ms => StopDecision::WaitUntil(serve_until_ms),
        None if is_released || now_ms + CLOSING_MS >= exit_at_ms => StopDecision::CloseConnections,
        Some(at_ms) if now_ms < at_ms + CLOSING_MS => StopDecision::WaitUntil(at_ms + CLOSING_MS),
        Some(_) if is_released && world.calls.open.is_empty() => StopDecision::Exit,
        None | Some(_) => StopDecision::WaitUntil(next_check_ms),
    }
}

/// Closes callers' connections once the balancer routes calls elsewhere, and exits the process once no call is open.
///
/// It exits in any case shortly before the grace period ends.
pub fn finish_stop(world: &mut World, now_ms: u64) {
    let StopState::Stopping { since_ms, closing_since_ms } = world.local.stop_state else { return };
    match decide_stop(world, since_ms, closing_since_ms, now_ms) {
        StopDecision::WaitUntil(at_ms) => world.wake_by(at_ms),
        StopDecision::CloseConnections => {
            world.local.stop_state = StopState::Stopping { since_ms, closing_since_ms: Some(now_ms) };
            world.emit(Effect::CloseCallerConnections);
            world.wake_by(now_ms + CLOSING_MS);
        }
        StopDecision::Exit => {
            if let Some(lease) = world.store_connection.lease.take() {
                let op = StoreOp::EndLease(lease);
                world.call_store(StorePurpose::EndLease, op, now_ms, STORE_TIMEOUT_MS);
            }
            world.emit(Effect::Exit);
        }
    }
}
