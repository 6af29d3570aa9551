//! Backend servers as the store lists them, and the roster of those that may run work.

mod engage;
mod entries;
mod roster;

use cassiahoist_world::prelude::*;

/// Systems of hosts.
#[derive(Debug)]
pub struct HostsPlugin;

impl Plugin for HostsPlugin {
    fn build(&self, app: &mut App) {
        app.add_system(TickSet::Hosts, entries::read_host_entries)
            .add_system(TickSet::Hosts, engage::engage_hosts)
            .add_system(TickSet::Record, roster::record_host_roster);
    }
}
