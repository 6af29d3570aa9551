//! Identity of callers: which account's key a call carries.

use cassiahoist_core::credential::Credential;
use cassiahoist_core::prelude::*;
use cassiahoist_world::accounts::Caller;
use cassiahoist_world::config::{ConfigTable, Queue};

use crate::config_age::{ConfigAge, judge_config_age};

/// Who makes a call, as far as the configuration in force tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Identity {
    /// The caller may make calls on the queue.
    Known(Caller),
    /// The call carries no key of an account, although its queue requires one.
    Unknown,
    /// The configuration was confirmed too long ago to tell.
    Unconfirmed {
        /// Time since the confirmation, in milliseconds.
        age_ms: u64,
    },
}

/// Identifies the caller of a call on a queue of the configuration in force.
///
/// A known key counts only while no later configuration can have withdrawn it for longer than the platform allows. An
/// unknown one is refused only while no configuration that must be in force can have added it.
#[must_use]
pub fn identify_caller(
    table: &ConfigTable,
    bounds: &Bounds,
    queue: &Queue,
    credential: &Credential,
    now_ms: u64,
) -> Identity {
    let Some(accounts) = table.current.as_ref().map(|config| &config.accounts) else {
        return Identity::Unconfirmed { age_ms: now_ms };
    };
    if !table.needs_keys() {
        return Identity::Known(Caller::Unrestricted);
    }
    if queue.is_public {
        return Identity::Known(Caller::Anonymous);
    }
    let account = match credential {
        Credential::Key(key) => accounts.resolve(key),
        Credential::Absent | Credential::Malformed => None,
    };
    let max_age_ms =
        if account.is_some() { bounds.max_config_age_ms() } else { bounds.max_unknown_key_age_ms() };
    match (judge_config_age(table, max_age_ms, now_ms), account) {
        (ConfigAge::Outdated { age_ms }, _) => Identity::Unconfirmed { age_ms },
        (_, Some(account)) => Identity::Known(Caller::Account(account.name.clone())),
        (_, None) => Identity::Unknown,
    }
}
