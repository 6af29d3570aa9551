//! Client accounts: who a caller is, what an account may have running, and whose turn it is.
//!
//! [`identity`] tells whose key a call carries, and [`config_age`] for how long a configuration may be trusted with that.

pub mod config_age;
pub mod identity;
mod peer_ages;
pub mod shares;
pub mod usage;

use cassiahoist_world::prelude::*;

/// Registers the systems for client accounts.
#[derive(Debug)]
pub struct AccountsPlugin;

impl Plugin for AccountsPlugin {
    fn build(&self, app: &mut App) {
        app.add_system(TickSet::Configuration, peer_ages::exchange_config_ages)
            .add_system(TickSet::Configuration, peer_ages::ask_for_config_age)
            .add_system(TickSet::Configuration, config_age::track_config_age)
            .add_system(TickSet::Configuration, usage::apply_account_limits);
    }
}
