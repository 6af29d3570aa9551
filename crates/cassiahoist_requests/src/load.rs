//! This daemon's own room for requests.

use cassiahoist_world::hosts::HostRole;
use cassiahoist_world::prelude::*;

/// Adds up slots of the runners held here, by fleet.
pub fn summarise_slots(world: &mut World, now_ms: u64) {
    for load in world.members.own_loads.values_mut() {
        (load.free_slots, load.total_slots, load.queued) = (0, 0, 0);
    }
    for (id, host) in world.hosts.iter() {
        let HostRole::Runner { slots, .. } = host.report.role else {
            continue;
        };
        let Some(permit) = world.slices.permit(host.slice, now_ms) else {
            continue;
        };
        if host.takes_work(permit.term) {
            let load = world.members.own_loads.entry(host.report.name.fleet.clone()).or_default();
            load.free_slots += world.hosts.free_slots(id);
            load.total_slots += slots;
        }
    }
    for (fleet, queue) in &world.requests.queues {
        world.members.own_loads.entry(fleet.clone()).or_default().queued = queue.len() as u32;
    }
}
