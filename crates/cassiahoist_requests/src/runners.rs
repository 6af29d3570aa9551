//! Adoption and health of runners.

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::{Adoption, Host, HostHealth, HostId, HostRole};
use cassiahoist_world::prelude::*;
use cassiahoist_world::worker::RunnerProbe;

/// Interval between probes of a runner, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 1_000;

/// Interval between probes of a runner that is being adopted, in milliseconds.
const ADOPTION_PROBE_INTERVAL_MS: u64 = 200;

/// Takes in answers to probes.
pub fn read_runner_states(world: &mut World, _now_ms: u64) {
    for probed in std::mem::take(&mut world.inbox.runners) {
        let Some(host) = world.hosts.get_mut(probed.host) else {
            continue;
        };
        let Some(state) = probed.state else {
            host.failures = host.failures.saturating_add(1);
            if host.failures >= 2 && host.health == HostHealth::Live {
                host.health = HostHealth::Unreachable;
                let name = host.report.name.to_string();
                world.log(EventId::HostUnreachable, name);
            }
            continue;
        };
        host.failures = 0;
        host.health = HostHealth::Live;
        host.leaving |= state.leaving;
        if let Adoption::Asked { term, .. } = host.adoption
            && term == probed.term
        {
            host.adoption = Adoption::Adopted { term };
            let name = host.report.name.to_string();
            world.hosts.slots_used[probed.host] = state.running;
            world.log(EventId::HostAdopted, name);
        }
    }
}

/// Asks runners held here what they run: under a new term at once, and then at intervals.
pub fn probe_runners(world: &mut World, now_ms: u64) {
    let mut due = Vec::new();
    for (id, host) in world.hosts.iter() {
        if matches!(host.report.role, HostRole::Runner { .. })
            && let Some(permit) = world.slices.permit(host.slice, now_ms)
            && needs_adoption(host, permit.term, now_ms)
        {
            due.push((id, permit.term));
        }
    }
    for (id, term) in due {
        probe(world, id, term, now_ms);
    }
    world.wake_by(now_ms + PROBE_INTERVAL_MS);
}

fn needs_adoption(host: &Host, term: u64, now_ms: u64) -> bool {
    match host.adoption {
        Adoption::Adopted { term: adopted } => adopted != term,
        Adoption::Asked { term: asked, at_ms } => {
            asked != term || now_ms >= at_ms + ADOPTION_PROBE_INTERVAL_MS
        }
        Adoption::Unknown => true,
    }
}

fn probe(world: &mut World, id: HostId, term: u64, now_ms: u64) {
    let Some(host) = world.hosts.get_mut(id) else {
        return;
    };
    host.adoption = Adoption::Asked { term, at_ms: now_ms };
    let address = host.report.address.clone();
    world.emit(Effect::Probe(RunnerProbe { host: id, address, term }));
}
