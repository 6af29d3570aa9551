//! Tracks the hosts listed in the store, engages them and writes the roster.
//!
//! A host is a backend server. The holder polls and uses only engaged hosts; the roster lists, for the next holder,
//! those that may run work.

mod engage;
mod entries;
mod roster;

use cassiahoist_world::prelude::*;

/// Registers the systems for host entries, engagement and the roster.
#[derive(Debug)]
pub struct HostsPlugin;

impl Plugin for HostsPlugin {
    fn build(&self, app: &mut App) {
        app.add_system(TickSet::Hosts, entries::apply_host_entries)
            .add_system(TickSet::Hosts, engage::engage_hosts)
            .add_system(TickSet::StoreWrites, roster::write_host_roster);
    }
}
