//! The graceful stop of this daemon.

use cassiahoist_core::prelude::*;
use cassiahoist_world::local::StopState;
use cassiahoist_world::prelude::*;
use cassiahoist_world::store::StoreCall;

/// Begins the graceful stop when it is asked for.
pub fn begin_stop(world: &mut World, now_ms: u64) {
    if std::mem::take(&mut world.inbox.stop) && !world.local.stop.is_stopping() {
        world.local.stop = StopState::Stopping { since_ms: now_ms };
        world.store.next_renew_ms = now_ms;
        world.members.next_gossip_ms = now_ms;
        world.log(EventId::DaemonStopping, "");
    }
}

/// Ends the process once nothing is left to hand over, or the limit is reached.
pub fn finish_stop(world: &mut World, now_ms: u64) {
    let StopState::Stopping { since_ms } = world.local.stop else {
        return;
    };
    let holds_slices = world.slices.iter().any(|(_, slice)| slice.tenure().is_some());
    let overdue = now_ms >= since_ms + world.local.timing.stop_limit_ms;
    if overdue || (!holds_slices && world.requests.is_empty()) {
        world.local.stop = StopState::Drained;
        let incarnation = world.local.incarnation.clone();
        world.emit(Effect::Store { call: StoreCall::RemoveMember { incarnation }, started_ms: now_ms });
        world.emit(Effect::Exit);
    }
    world.wake_by(now_ms + 50);
}
