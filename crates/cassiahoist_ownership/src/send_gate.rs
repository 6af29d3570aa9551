//! The last look at permission before effects leave the control thread.

use cassiahoist_core::prelude::*;
use cassiahoist_world::prelude::*;
use cassiahoist_world::requests::Verdict;
use cassiahoist_world::slices::SliceTable;

/// Drops commands to hosts whose permission lapsed within the tick.
pub fn drop_lapsed_effects(world: &mut World, now_ms: u64) {
    let slices = &world.slices;
    world.outbox.retain_mut(|effect| may_leave(slices, effect, now_ms));
}

fn may_leave(slices: &SliceTable, effect: &mut Effect, now_ms: u64) -> bool {
    match effect {
        Effect::Worker(command) => slices.permit_holds(&command.permit, now_ms),
        Effect::Verdict { verdict, .. } => {
            if let Verdict::Run(order) = verdict
                && !slices.permit_holds(&order.permit, now_ms)
            {
                *verdict = Verdict::Answer(Answer::error(ErrorKind::NoHolder));
            }
            true
        }
        _ => true,
    }
}
