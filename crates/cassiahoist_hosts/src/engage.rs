//! Engages hosts: adds them to the set that the holder polls and uses.
//!
//! The set holds as many hosts as work may soon need, so that the holder's cost grows with the work and not with the
//! fleet.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::{Host, HostKey};
use cassiahoist_world::jobs::Step;
use cassiahoist_world::prelude::*;
use cassiahoist_world::spec::StepSpec;
use rustc_hash::FxHashMap;

/// Number of mostly free hosts kept engaged per pool for upcoming work.
///
/// A pool with no more hosts than this is engaged whole.
const MIN_FREE_HOSTS: usize = 64;

/// Maximum number of hosts of a pool in one batch.
///
/// A batch is engaged beyond [`MIN_FREE_HOSTS`] or for waiting steps. Hosts are engaged in batches, since the roster
/// is written for each batch.
const ENGAGE_BATCH_HOSTS: usize = 32;

/// Number of engaged hosts that are enough for a waiting step.
///
/// With that many fitting hosts the step waits for something else, so no more are engaged for it.
const ENOUGH_HOSTS: usize = 16;

/// Waiting time after which hosts are engaged for a step, in milliseconds.
///
/// The step may then lack eligible hosts.
const LONG_WAIT_MS: u64 = 200;

/// Maximum number of waiting steps that a round looks at; the next round goes on with others.
///
/// A step whose demand is not met takes a look at all engaged hosts.
const MAX_STEPS_PER_ROUND: usize = 32;

/// Interval between rounds of engaging hosts, in milliseconds.
const ENGAGE_INTERVAL_MS: u64 = 100;

/// Hosts that a waiting step needs engaged.
#[derive(Debug)]
struct HostDemand<'w> {
    pool: &'w PoolName,
    spec: &'w StepSpec,
    /// Rack on which the hosts have to be; `None` for any.
    rack: Option<&'w Arc<str>>,
}

impl HostDemand<'_> {
    fn is_met_by(&self, host: &Host) -> bool {
        host.is_eligible(self.pool, self.spec) && self.rack.is_none_or(|rack| host.has_label(rack))
    }
}

/// Engages hosts for pools with too few free ones and for waiting steps.
pub fn engage_hosts(world: &mut World, now_ms: u64) {
    if !world.holding.is_holding() || world.hosts.all_engaged() {
        return;
    }
    if now_ms < world.hosts.next_engage_at_ms {
        return world.wake_by(world.hosts.next_engage_at_ms);
    }
    world.hosts.next_engage_at_ms = now_ms + ENGAGE_INTERVAL_MS;
    world.wake_by(now_ms + ENGAGE_INTERVAL_MS);
    let mut free_by_pool: FxHashMap<PoolName, usize> = FxHashMap::default();
    for (_, host) in world.hosts.iter_engaged().filter(|(_, host)| is_mostly_free(host)) {
        *free_by_pool.entry(host.entry.pool.clone()).or_default() += 1;
    }
    let first_step = world.hosts.next_demand_step;
    world.hosts.next_demand_step = first_step + MAX_STEPS_PER_ROUND;
    let demands = list_demands(world, first_step, now_ms);
    let mut chosen_hosts: Vec<HostKey> = Vec::new();
    let mut chosen_by_pool: FxHashMap<&PoolName, usize> = FxHashMap::default();
    for (key, host) in world.hosts.iter().filter(|(key, _)| !world.hosts.is_engaged(*key)) {
        let free_count = free_by_pool.get(&host.entry.pool).copied().unwrap_or_default();
        let chosen_count = chosen_by_pool.entry(&host.entry.pool).or_default();
        let is_below_target =
            free_count < MIN_FREE_HOSTS && free_count + *chosen_count < MIN_FREE_HOSTS + ENGAGE_BATCH_HOSTS;
        if is_below_target
            || (*chosen_count < ENGAGE_BATCH_HOSTS && demands.iter().any(|demand| demand.is_met_by(host)))
        {
            *chosen_count += 1;
            chosen_hosts.push(key);
        }
    }
    for key in chosen_hosts {
        world.hosts.engage(key);
    }
}

/// Returns whether at least half of an available host's processors are free.
///
/// For a host that has not answered yet, this assumes that it runs nothing.
fn is_mostly_free(host: &Host) -> bool {
    is_available(host) && host.free_resources().cpu_milli * 2 >= host.entry.capacity.cpu_milli
}

/// Returns whether a host is listed, not draining and responsive.
///
/// A host that has not been polled yet counts as responsive.
fn is_available(host: &Host) -> bool {
    host.missing_since_ms.is_none()
        && host.draining_since_ms.is_none()
        && host.unresponsive_since_ms.is_none()
}

/// Lists the demands of some of the ready steps, in turns: those from the position `first_step` on.
fn list_demands(world: &World, first_step: usize, now_ms: u64) -> Vec<HostDemand<'_>> {
    let ready_count = world.jobs.ready.len();
    let skipped_count = if ready_count > MAX_STEPS_PER_ROUND { first_step % ready_count } else { 0 };
    let in_turn =
        world.jobs.ready.iter().cycle().skip(skipped_count).take(ready_count.min(MAX_STEPS_PER_ROUND));
    let ready_steps = in_turn.filter_map(|key| world.jobs.steps.get(key));
    let waiting_steps = ready_steps.filter(|step| !step.pending_tasks.is_empty());
    waiting_steps.filter_map(|step| demand_of(world, step, now_ms)).collect()
}

/// Returns the hosts that a waiting step needs; `None` if it lacks none.
fn demand_of<'w>(world: &'w World, step: &'w Step, now_ms: u64) -> Option<HostDemand<'w>> {
    let spec = world.jobs.step_spec(step)?;
    let has_waited_long = now_ms >= step.ready_since_ms + LONG_WAIT_MS;
    // Hosts on the data rack are few and tasks run slower elsewhere, so those are demanded at once. After a long wait
    // any host is better than none.
    let rack = spec.data_rack.as_ref().filter(|_| !has_waited_long);
    if rack.is_none() && !has_waited_long {
        return None;
    }
    let demand = HostDemand { pool: world.pool_of(step)?, spec, rack };
    let fitting_hosts = world.hosts.iter_engaged().filter(|(key, host)| {
        is_available(host)
            && demand.is_met_by(host)
            && spec.reserved_resources().fits_within(&host.free_resources())
            && !step.advice.is_rejected(*key, host.entry.started_unix_ms)
    });
    (fitting_hosts.take(ENOUGH_HOSTS).count() < ENOUGH_HOSTS).then_some(demand)
}
