//! The end of holding a slice.

use cassiahoist_core::prelude::*;
use cassiahoist_world::holding::HoldingEvent;
use cassiahoist_world::prelude::*;

/// Why this daemon no longer holds the slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The claim ended with the lease; nobody else is known to hold the slice.
    Lapsed,
    /// Another daemon holds it.
    Succeeded {
        /// The other's fencing token.
        by: Fence,
    },
    /// It was handed over.
    Released,
}

/// Ends the holding. Tables are kept only after a lapse, since this daemon may claim again before anyone else.
pub fn step_down(world: &mut World, cause: Cause, now_ms: u64) {
    if let Cause::Succeeded { by } = cause {
        world.holding.greatest_fence = world.holding.greatest_fence.max(by);
    }
    let fence = world.holding.fence();
    world.holding.unfit_since_ms = None;
    world.holding.handle(HoldingEvent::Deposed);
    if fence.is_some() {
        let event = if cause == Cause::Released { EventId::ClaimReleased } else { EventId::ClaimLost };
        let note = LogNote::new(event).with("cause", format!("{cause:?}"));
        world.log(note.with("fence", fence.unwrap_or_default()));
        if cause == Cause::Lapsed {
            world.holding.claim = None;
            world.holding.vacant_since_ms = Some(now_ms);
        }
    }
    if cause != Cause::Lapsed {
        forget_slice(world);
    }
}

/// Empties the tables that only a holder keeps.
pub fn forget_slice(world: &mut World) {
    world.jobs.clear();
    world.runs.rows.clear();
    world.hosts.clear();
    world.advice.calls.clear();
    world.commits = cassiahoist_world::commits::CommitTable::default();
    world.holding.loading = cassiahoist_world::holding::Loading::default();
}
