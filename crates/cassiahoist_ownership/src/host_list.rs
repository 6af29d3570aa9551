//! The platform's list of hosts.

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::HostReport;
use cassiahoist_world::prelude::*;
use rustc_hash::FxHashSet;

/// Takes in the latest host list.
pub fn read_host_list(world: &mut World, _now_ms: u64) {
    let Some((revision, reports)) = world.inbox.hosts.take() else {
        return;
    };
    world.hosts.revision = revision;
    for report in &reports {
        take_in(world, report);
    }
    let listed: FxHashSet<_> = reports.iter().map(|report| &report.name).collect();
    let missing: Vec<_> = world
        .hosts
        .iter()
        .filter(|(_, host)| !listed.contains(&host.report.name))
        .map(|(id, _)| id)
        .collect();
    for id in missing {
        if world.runs.on_host(id).is_empty() && world.hosts.slots_used[id] == 0 {
            world.hosts.remove(id);
        } else if let Some(host) = world.hosts.get_mut(id) {
            host.leaving = true;
        }
    }
}

fn take_in(world: &mut World, report: &HostReport) {
    let slice = world.slices.ensure(&SliceName::hosts(&report.domain, &report.rack));
    let Some(id) = world.hosts.find(&report.name) else {
        world.hosts.insert(report, slice);
        return;
    };
    let Some(host) = world.hosts.get_mut(id) else {
        return;
    };
    let newly_leaving = report.leaving && !host.leaving;
    host.leaving = report.leaving;
    host.report = report.clone();
    if newly_leaving {
        world.log(EventId::HostLeaving, report.name.to_string());
    }
}
