//! Applies the operators' configuration and declarations from the store.
//!
//! A configuration is applied only if its version is greater than the current one.

mod declarations;

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_world::config::ConfigRecord;
use cassiahoist_world::inbox::RangeUpdate;
use cassiahoist_world::prelude::*;
use cassiahoist_world::store::{KeySpace, StoreChange, StoreItem, StoreKey, StoreValue};

/// Registers the systems that apply the configuration and declarations.
#[derive(Debug)]
pub struct ConfigPlugin;

impl Plugin for ConfigPlugin {
    fn build(&self, app: &mut App) {
        app.add_system(TickSet::Configuration, apply_configuration)
            .add_system(TickSet::Configuration, declarations::send_declarations)
            .add_system(TickSet::Configuration, declarations::report_declare_outcomes)
            // These run after the sets that read the cell and the hosts.
            .add_system(TickSet::Calls, declarations::apply_declarations)
            .add_system(TickSet::Calls, declarations::update_host_rules);
    }
}

/// Applies newer versions of the operators' configuration.
///
/// An unreadable or invalid version is logged, and the current one stays in force.
pub fn apply_configuration(world: &mut World, _now_ms: u64) {
    for update in world.inbox.take_range_updates(KeySpace::Operators) {
        let items: Vec<StoreItem> = match update {
            RangeUpdate::Listing(items) => items,
            RangeUpdate::Changes(changes) => changes.into_iter().filter_map(StoreChange::written).collect(),
        };
        for item in items.into_iter().filter(|item| item.key == StoreKey::Config) {
            match item.value {
                StoreValue::Config(config) => match config.accounts.validate() {
                    Ok(()) => apply_config(world, config),
                    Err(reason) => reject_config(world, item.revision, &reason),
                },
                StoreValue::Unreadable { reason } => reject_config(world, item.revision, &reason),
                _ => {}
            }
        }
    }
    let range = world.store_connection.followed_ranges.get(&KeySpace::Operators);
    if let Some(confirmed_at_ms) = range.map(|range| range.confirmed_at_ms).filter(|at_ms| *at_ms > 0) {
        world.config.confirm(confirmed_at_ms);
    }
}

fn reject_config(world: &mut World, revision: u64, reason: &str) {
    let log_record = LogRecord::new(EventId::ConfigRejected).with("revision", revision);
    world.log(log_record.with("reason", reason));
}

fn apply_config(world: &mut World, config: Arc<ConfigRecord>) {
    let current_version = world.config.current.as_ref().map_or(0, |config| config.version);
    if config.version > current_version || world.config.current.is_none() {
        let log_record = LogRecord::new(EventId::ConfigInForce).with("version", config.version);
        world.log(log_record.with("before", current_version).with("queues", config.queues.len()));
        world.emit(Effect::UseConfig(Arc::clone(&config)));
        world.config.had_accounts = world.config.needs_keys();
        world.config.current = Some(config);
    }
}
