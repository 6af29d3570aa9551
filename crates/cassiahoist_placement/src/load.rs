//! This daemon's own room for tasks.

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::HostRole;
use cassiahoist_world::prelude::*;

/// Adds up room of the workers held here, by fleet.
pub fn summarise_room(world: &mut World, now_ms: u64) {
    for load in world.members.own_loads.values_mut() {
        load.free = Resources::default();
        load.largest_free = Resources::default();
        load.capacity = Resources::default();
    }
    for (id, host) in world.hosts.iter() {
        let HostRole::Worker { capacity } = &host.report.role else {
            continue;
        };
        let Some(permit) = world.slices.permit(host.slice, now_ms) else {
            continue;
        };
        if !host.takes_work(permit.term) {
            continue;
        }
        let free = world.hosts.free_resources(id);
        let load = world.members.own_loads.entry(host.report.name.fleet.clone()).or_default();
        load.free = load.free.plus(&free);
        load.largest_free = load.largest_free.max(&free);
        load.capacity = load.capacity.plus(capacity);
    }
}
