//! Engaging hosts: the holder polls and uses as many as work may soon need, so that its cost follows the work and not
//! the fleet.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::{Host, HostKey};
use cassiahoist_world::jobs::Step;
use cassiahoist_world::prelude::*;
use cassiahoist_world::spec::StepSpec;
use rustc_hash::FxHashMap;

/// Hosts of a pool that are kept free for work to come; a fleet of no more than this is engaged whole.
const FREE_HOSTS: usize = 64;

/// Hosts of a pool that are engaged beyond [`FREE_HOSTS`] once there are fewer, since the roster is written for each
/// group.
const GROUP_HOSTS: usize = 32;

/// Hosts on which a task of a waiting step would fit; with so many, the step waits for something else.
const ENOUGH_HOSTS: usize = 16;

/// A step that has waited for this long may lack hosts that suit it, in milliseconds.
const WAIT_MS: u64 = 200;

/// Pause between rounds, in milliseconds.
const ROUND_PAUSE_MS: u64 = 100;

/// What a waiting step wants of hosts that are not engaged yet.
#[derive(Debug)]
struct Want<'w> {
    pool: &'w PoolName,
    spec: &'w StepSpec,
    /// The rack that its hosts have to be on.
    rack: Option<&'w Arc<str>>,
}

impl Want<'_> {
    fn is_met_by(&self, host: &Host) -> bool {
        host.suits(self.pool, self.spec) && self.rack.is_none_or(|rack| host.has_label(rack))
    }
}

/// Engages hosts while too few are free, and those that waiting steps ask for.
pub fn engage_hosts(world: &mut World, now_ms: u64) {
    if !world.holding.is_holding() || world.hosts.all_engaged() {
        return;
    }
    if now_ms < world.hosts.engage_next_ms {
        return world.wake_by(world.hosts.engage_next_ms);
    }
    world.hosts.engage_next_ms = now_ms + ROUND_PAUSE_MS;
    world.wake_by(now_ms + ROUND_PAUSE_MS);
    let mut free: FxHashMap<PoolName, usize> = FxHashMap::default();
    for (_, host) in world.hosts.iter_engaged().filter(|(_, host)| is_free(host)) {
        *free.entry(host.report.pool.clone()).or_default() += 1;
    }
    let wants = list_wants(world, now_ms);
    let mut chosen: Vec<HostKey> = Vec::new();
    let mut taken: FxHashMap<&PoolName, usize> = FxHashMap::default();
    for (key, host) in world.hosts.iter().filter(|(key, _)| !world.hosts.is_engaged(*key)) {
        let kept = free.get(&host.report.pool).copied().unwrap_or_default();
        let taken = taken.entry(&host.report.pool).or_default();
        let few = kept < FREE_HOSTS && kept + *taken < FREE_HOSTS + GROUP_HOSTS;
        if few || (*taken < GROUP_HOSTS && wants.iter().any(|want| want.is_met_by(host))) {
            *taken += 1;
            chosen.push(key);
        }
    }
    for key in chosen {
        world.hosts.engage(key);
    }
}

/// Tells whether at least half of a host is free, or will be known to be once it has answered.
fn is_free(host: &Host) -> bool {
    is_here(host) && host.room().cpu_milli * 2 >= host.report.capacity.cpu_milli
}

/// Tells whether nothing speaks against new work on a host, as far as is known.
fn is_here(host: &Host) -> bool {
    host.missing_since_ms.is_none() && host.leaving_since_ms.is_none() && host.silent_since_ms.is_none()
}

fn list_wants(world: &World, now_ms: u64) -> Vec<Want<'_>> {
    let ready = world.jobs.ready.iter().filter_map(|key| world.jobs.steps.get(*key));
    let waiting = ready.filter(|step| !step.pending.is_empty());
    waiting.filter_map(|step| want_of(world, step, now_ms)).collect()
}

/// Tells what a waiting step wants, if it lacks hosts.
fn want_of<'w>(world: &'w World, step: &'w Step, now_ms: u64) -> Option<Want<'w>> {
    let spec = world.jobs.spec(step)?;
    let waits_long = now_ms >= step.ready_ms + WAIT_MS;
    // A rack is few hosts, and tasks would be slower elsewhere; later any host is better than none.
    let rack = spec.data_rack.as_ref().filter(|_| !waits_long);
    if rack.is_none() && !waits_long {
        return None;
    }
    let want = Want { pool: world.pool_of(step)?, spec, rack };
    let fitting = world.hosts.iter_engaged().filter(|(key, host)| {
        is_here(host)
            && want.is_met_by(host)
            && spec.booked().fits_within(&host.room())
            && !step.advice.bad.contains(key)
    });
    (fitting.take(ENOUGH_HOSTS).count() < ENOUGH_HOSTS).then_some(want)
}
