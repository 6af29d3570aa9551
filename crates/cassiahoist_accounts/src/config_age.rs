//! Age of the configuration: for how long its keys may be accepted.
//!
//! The store or a peer confirms that the configuration in force was the newest one at a time before it was asked. A key
//! that was withdrawn later may be accepted for a bounded time, so without a newer confirmation no key is.

use cassiahoist_core::prelude::*;
use cassiahoist_world::config::ConfigTable;
use cassiahoist_world::prelude::*;

/// Whether the configuration in force may decide on keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigAge {
    /// It may, and its age is not limited.
    Unlimited,
    /// It may until this time, in monotonic milliseconds.
    ConfirmedUntil(u64),
    /// It may not until it is confirmed again.
    Outdated {
        /// Time since the last confirmation, in milliseconds. Without one, all time on the clock.
        age_ms: u64,
    },
}

/// Judges the configuration in force by its last confirmation.
///
/// `max_age_ms` is the greatest age at which it may decide; `None` if that is not limited.
#[must_use]
pub fn judge_config_age(table: &ConfigTable, max_age_ms: Option<u64>, now_ms: u64) -> ConfigAge {
    let Some(max_age_ms) = max_age_ms else { return ConfigAge::Unlimited };
    match table.confirmed_at_ms.map(|at_ms| at_ms + max_age_ms) {
        Some(until_ms) if now_ms <= until_ms => ConfigAge::ConfirmedUntil(until_ms),
        _ => ConfigAge::Outdated { age_ms: now_ms.saturating_sub(table.confirmed_at_ms.unwrap_or_default()) },
    }
}

/// Returns the age up to which the configuration in force may decide on known keys, in milliseconds.
///
/// `None` if that is not limited or the configuration has no accounts.
pub(crate) fn max_age_with_accounts_ms(world: &World) -> Option<u64> {
    world.local.bounds.max_config_age_ms().filter(|_| world.config.needs_keys())
}

/// Records whether calls that need a key are refused for the age of the configuration, and logs each change.
///
/// Only a configuration with accounts can be outdated.
pub fn track_config_age(world: &mut World, now_ms: u64) {
    let max_age_ms = max_age_with_accounts_ms(world);
    let age = judge_config_age(&world.config, max_age_ms, now_ms);
    if let ConfigAge::ConfirmedUntil(until_ms) = age {
        world.wake_by(until_ms + 1);
    }
    let is_outdated = matches!(age, ConfigAge::Outdated { .. });
    if is_outdated == world.config.is_outdated {
        return;
    }
    world.config.is_outdated = is_outdated;
    let event = if is_outdated { EventId::ConfigOutdated } else { EventId::ConfigConfirmed };
    let age_ms = now_ms.saturating_sub(world.config.confirmed_at_ms.unwrap_or_default());
    let version = world.config.current.as_ref().map_or(0, |config| config.version);
    let log_record = LogRecord::new(event).with("version", version).with("age_ms", age_ms);
    let store_answered_ms_ago = now_ms.saturating_sub(world.store_connection.last_answer_at_ms);
    world.log(log_record.with("store_answered_ms_ago", store_answered_ms_ago));
}
