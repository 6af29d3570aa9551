//! Transition from holder to standby.

use cassiahoist_core::prelude::*;
use cassiahoist_world::holding::HoldingEvent;
use cassiahoist_world::prelude::*;

/// Reason why this daemon no longer holds the slice; written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepDownCause {
    /// The claim was removed or its lease ended, and no other holder is known.
    Lapsed,
    /// Another daemon holds the slice.
    Succeeded {
        /// Fencing token of the new holder, or a lower bound of it.
        by: Fence,
    },
    /// This daemon released the claim, since it is stopping, too slow or much weaker than another daemon.
    Released,
}

/// Makes this daemon a standby.
///
/// The slice's tables are kept only after a lapse, since this daemon may claim again before any other.
pub fn step_down(world: &mut World, cause: StepDownCause, now_ms: u64) {
    if let StepDownCause::Succeeded { by } = cause {
        world.holding.greatest_fence = world.holding.greatest_fence.max(by);
    }
    let fence = world.holding.fence();
    let won_at_ms = world.holding.claim_won_at_ms().unwrap_or(now_ms);
    world.holding.releasing_since_ms = None;
    world.holding.apply_event(HoldingEvent::SteppedDown);
    world.holding.end_permission();
    if fence.is_some() {
        let event =
            if cause == StepDownCause::Released { EventId::ClaimReleased } else { EventId::ClaimLost };
        let log_record = LogRecord::new(event).with("cause", format!("{cause:?}"));
        let renewed_at_ms = world.store_connection.lease_renewed_at_ms;
        let log_record = log_record
            .with("fence", fence.unwrap_or_default())
            .with("tenure_ms", now_ms.saturating_sub(won_at_ms))
            .with("lease_renewed_ms_ago", now_ms.saturating_sub(renewed_at_ms));
        world.log(log_record);
        if cause == StepDownCause::Lapsed {
            world.holding.claim = None;
            world.holding.vacant_since_ms = Some(now_ms);
        }
    }
    if cause != StepDownCause::Lapsed {
        clear_slice_tables(world);
    }
}

/// Clears the tables that only a holder keeps.
pub fn clear_slice_tables(world: &mut World) {
    world.jobs.clear();
    world.runs.clear();
    world.account_usage.clear_usage();
    world.hosts.clear();
    world.advice.open_calls.clear();
    world.store_writes.clear();
    world.holding.forget_predecessors();
    world.holding.loading = cassiahoist_world::holding::RecordLoading::default();
}
