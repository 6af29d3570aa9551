//! Declarations: defaults and exceptions, in rising generations.
//!
//! Operators keep a YAML file in version control. It is checked whole, written to the store by compare-and-swap
//! as the next generation, and read by every daemon, which applies only rising generations.

pub mod check;
mod refresh;
pub mod resolve;

use cassiahoist_world::prelude::*;

/// Registers the configuration.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigPlugin;

impl Plugin for ConfigPlugin {
    fn build(&self, app: &mut App) {
        app.add_system(TickSet::Receive, refresh::read_config_replies)
            .add_system(TickSet::Configuration, refresh::refresh_config);
    }
}
