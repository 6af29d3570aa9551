//! Whether the store is in reach.

use cassiahoist_core::prelude::*;
use cassiahoist_world::prelude::*;
use cassiahoist_world::store::StoreReply;

/// Notes answered and unanswered calls; leaves the answers to their readers.
pub fn watch_store_link(world: &mut World, _now_ms: u64) {
    let was_down = world.store.is_down();
    for answered in &world.inbox.store {
        world.counters.store_calls += 1;
        if answered.reply == StoreReply::Unanswered {
            world.store.unanswered = world.store.unanswered.saturating_add(1);
        } else {
            world.store.unanswered = 0;
            world.store.answered_ms = Some(world.store.answered_ms.unwrap_or(0).max(answered.started_ms));
        }
    }
    match (was_down, world.store.is_down()) {
        (false, true) => world.log(EventId::StoreUnreachable, ""),
        (true, false) => world.log(EventId::StoreReachable, ""),
        _ => {}
    }
}
