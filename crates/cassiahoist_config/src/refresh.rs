//! Readings of the configuration.

use cassiahoist_core::prelude::*;
use cassiahoist_world::prelude::*;
use cassiahoist_world::store::{StoreAnswered, StoreCall, StoreKey, StoreReply, StoreValue};

/// Interval between readings, in milliseconds.
const READ_INTERVAL_MS: u64 = 1_000;

/// Takes in answers to readings; a generation that does not rise is passed over.
pub fn read_config_replies(world: &mut World, now_ms: u64) {
    let is_config_call =
        |answered: &mut StoreAnswered| matches!(answered.call, StoreCall::Read { key: StoreKey::Config, .. });
    let answers: Vec<_> = world.inbox.store.extract_if(.., is_config_call).collect();
    for answered in answers {
        world.config.in_flight = false;
        world.config.next_read_ms = now_ms + READ_INTERVAL_MS;
        let StoreReply::Value { version, value: StoreValue::Config(record) } = answered.reply else {
            continue;
        };
        world.config.version = version;
        if record.generation > world.config.in_force.generation {
            let detail = format!("generation {} by {}", record.generation, record.author);
            world.config.in_force = *record;
            world.log(EventId::ConfigInForce, detail);
        }
    }
}

/// Reads the configuration when it is due.
pub fn refresh_config(world: &mut World, now_ms: u64) {
    if !world.config.in_flight && now_ms >= world.config.next_read_ms {
        world.config.in_flight = true;
        let call = StoreCall::Read { key: StoreKey::Config, newer_than: world.config.version };
        world.emit(Effect::Store { call, started_ms: now_ms });
    }
    world.wake_by(world.config.next_read_ms.max(now_ms + 1));
}
