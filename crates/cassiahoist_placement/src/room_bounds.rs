//! Bounds on the free room of a pool, by which placement passes over steps that fit on no host.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::{Host, HostKey};
use cassiahoist_world::prelude::*;
use cassiahoist_world::spec::StepSpec;
use rustc_hash::FxHashMap;
use slotmap::SecondaryMap;

/// What a step needs at least for a first start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LeastNeed {
    /// Resources that are reserved for one task.
    reserved: Resources,
    /// Total resources that its host has to have.
    capacity: Resources,
    /// Number of tasks that have to fit together: all members of a gang, else one.
    task_count: u32,
    /// Label that the hosts need; `None` for any.
    label: Option<Arc<str>>,
}

impl LeastNeed {
    /// Returns the least need of a step with `task_count` tasks.
    pub fn of_step(spec: &StepSpec, task_count: usize) -> Self {
        Self {
            reserved: spec.reserved_resources(),
            capacity: spec.task_size,
            task_count: if spec.gang { task_count as u32 } else { 1 },
            label: spec.required_label.clone(),
        }
    }

    /// Returns whether `other` needs at least as much, so that it fits nowhere if this one does not.
    fn is_within(&self, other: &Self) -> bool {
        self.reserved.fits_within(&other.reserved)
            && self.capacity.fits_within(&other.capacity)
            && self.task_count <= other.task_count
            && (self.label.is_none() || self.label == other.label)
    }
}

/// Bounds of one pool.
#[derive(Debug, Default)]
struct PoolBounds {
    /// Largest free amount of each resource on any host.
    largest_free: Resources,
    /// Needs that fitted on no host in this round.
    unmet: Vec<LeastNeed>,
}

/// Bounds on the free room of each pool during one round of placement.
///
/// Free resources only shrink within a round, so what did not fit does not fit later in it. The hosts are compared once
/// for each kind of need, and not for each waiting step.
#[derive(Debug)]
pub(crate) struct RoomBounds {
    by_pool: FxHashMap<PoolName, PoolBounds>,
    /// Free resources of the hosts that accept new runs, as the round began.
    free_by_host: SecondaryMap<HostKey, Resources>,
    /// Capacity of these hosts together.
    capacity: Resources,
}

impl RoomBounds {
    /// Collects the largest free resources of the hosts that accept new runs.
    pub fn collect(world: &World, now_ms: u64) -> Self {
        let mut by_pool: FxHashMap<PoolName, PoolBounds> = FxHashMap::default();
        let mut free_by_host = SecondaryMap::new();
        let mut capacity = Resources::default();
        let is_startable = |host: &Host| host.in_roster && host.accepts_new_runs(now_ms);
        for (key, host) in world.hosts.iter_engaged().filter(|(_, host)| is_startable(host)) {
            let free = host.free_resources();
            free_by_host.insert(key, free);
            capacity = capacity.saturating_add(&host.entry.capacity);
            if let Some(bounds) = by_pool.get_mut(&host.entry.pool) {
                bounds.largest_free = bounds.largest_free.component_max(&free);
            } else {
                let bounds = PoolBounds { largest_free: free, unmet: Vec::new() };
                by_pool.insert(host.entry.pool.clone(), bounds);
            }
        }
        Self { by_pool, free_by_host, capacity }
    }

    /// Returns the capacity of the hosts that accept new runs.
    pub fn capacity(&self) -> Resources {
        self.capacity
    }

    /// Returns whether a need may fit on hosts of a pool; false if it certainly does not.
    pub fn may_fit(&self, pool: &PoolName, need: &LeastNeed) -> bool {
        self.by_pool.get(pool).is_some_and(|bounds| {
            need.reserved.fits_within(&bounds.largest_free)
                && !bounds.unmet.iter().any(|unmet| unmet.is_within(need))
        })
    }

    /// Returns whether a need may fit on one of the hosts; false if it certainly does not.
    ///
    /// It reads no rows of hosts: many steps wait with tickets for hosts that are full.
    pub fn may_fit_on(&self, mut hosts: impl Iterator<Item = HostKey>, need: &LeastNeed) -> bool {
        hosts.any(|key| self.free_by_host.get(key).is_some_and(|free| need.reserved.fits_within(free)))
    }

    /// Records that a need fits on no host of a pool.
    pub fn record_unmet(&mut self, pool: &PoolName, need: LeastNeed) {
        if let Some(bounds) = self.by_pool.get_mut(pool) {
            bounds.unmet.retain(|unmet| !need.is_within(unmet));
            bounds.unmet.push(need);
        }
    }
}
