//! The configuration in force, of which only rising versions are taken, and what operators declared.

mod declared;

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_world::config::ConfigRecord;
use cassiahoist_world::inbox::RangeNews;
use cassiahoist_world::prelude::*;
use cassiahoist_world::store::{KeySpace, StoreChange, StoreItem, StoreKey, StoreValue};

/// Systems of the configuration.
#[derive(Debug)]
pub struct ConfigPlugin;

impl Plugin for ConfigPlugin {
    fn build(&self, app: &mut App) {
        app.add_system(TickSet::Configuration, apply_configuration)
            .add_system(TickSet::Configuration, declared::store_declarations)
            .add_system(TickSet::Configuration, declared::read_declare_answers)
            // The cell and hosts are read before.
            .add_system(TickSet::Queue, declared::apply_declarations)
            .add_system(TickSet::Queue, declared::rule_hosts);
    }
}

/// Takes in what operators wrote.
pub fn apply_configuration(world: &mut World, _now_ms: u64) {
    for news in world.inbox.take_range(KeySpace::Operators) {
        let items: Vec<StoreItem> = match news {
            RangeNews::Whole(items) => items,
            RangeNews::Changes(changes) => changes.into_iter().filter_map(StoreChange::written).collect(),
        };
        for item in items.into_iter().filter(|item| item.key == StoreKey::Config) {
            match item.value {
                StoreValue::Config(config) => apply(world, config),
                StoreValue::Unreadable { reason } => {
                    let note = LogNote::new(EventId::ConfigRejected).with("revision", item.revision);
                    world.log(note.with("reason", reason));
                }
                _ => {}
            }
        }
    }
}

fn apply(world: &mut World, config: Arc<ConfigRecord>) {
    let current = world.config.in_force.as_ref().map_or(0, |config| config.version);
    if config.version > current || world.config.in_force.is_none() {
        let note = LogNote::new(EventId::ConfigInForce).with("version", config.version);
        world.log(note.with("before", current).with("queues", config.queues.len()));
        world.config.in_force = Some(config);
    }
}
