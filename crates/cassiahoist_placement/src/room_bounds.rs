//! Bounds on the free room of a pool, by which placement passes over steps that fit on no host.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::{Host, HostKey};
use cassiahoist_world::prelude::*;
use cassiahoist_world::spec::StepSpec;
use rustc_hash::FxHashMap;
use slotmap::SecondaryMap;

use crate::requirements::count_within;

/// Maximum number of unmet needs that a round keeps for a pool; each step is compared with all of them.
const MAX_UNMET_NEEDS: usize = 64;

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

    /// Returns whether all tasks fit on hosts with these free resources, whatever their labels.
    fn fits_on(&self, free_by_host: &[Resources]) -> bool {
        let mut missing_count = self.task_count;
        free_by_host.iter().any(|free| {
            missing_count = missing_count.saturating_sub(count_within(free, &self.reserved));
            missing_count == 0
        })
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
    /// Free resources of each host, as the round began.
    free: Vec<Resources>,
    /// Needs that fitted on no host in this round.
    unmet: Vec<LeastNeed>,
}

impl PoolBounds {
    fn record_unmet(&mut self, need: LeastNeed) {
        self.unmet.retain(|unmet| !need.is_within(unmet));
        if self.unmet.len() < MAX_UNMET_NEEDS {
            self.unmet.push(need);
        }
    }
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
}

impl RoomBounds {
    /// Collects the largest free resources of the hosts that accept new runs.
    pub fn collect(world: &World, now_ms: u64) -> Self {
        let mut by_pool: FxHashMap<PoolName, PoolBounds> = FxHashMap::default();
        let mut free_by_host = SecondaryMap::new();
        let is_startable = |host: &Host| host.in_roster && host.accepts_new_runs(now_ms);
        for (key, host) in world.hosts.iter_engaged().filter(|(_, host)| is_startable(host)) {
            let free = host.free_resources();
            free_by_host.insert(key, free);
            if let Some(bounds) = by_pool.get_mut(&host.entry.pool) {
                bounds.largest_free = bounds.largest_free.component_max(&free);
                bounds.free.push(free);
            } else {
                let bounds = PoolBounds { largest_free: free, free: vec![free], unmet: Vec::new() };
                by_pool.insert(host.entry.pool.clone(), bounds);
            }
        }
        Self { by_pool, free_by_host }
    }

    /// Returns whether a need may fit on hosts of a pool; false if it certainly does not.
    ///
    /// It reads no rows of hosts, and goes over the free resources only for a need of a new kind.
    pub fn may_fit(&mut self, pool: &PoolName, need: &LeastNeed) -> bool {
        let Some(bounds) = self.by_pool.get_mut(pool) else { return false };
        if !need.reserved.fits_within(&bounds.largest_free)
            || bounds.unmet.iter().any(|unmet| unmet.is_within(need))
        {
            return false;
        }
        let may_fit = need.fits_on(&bounds.free);
        if !may_fit {
            bounds.record_unmet(need.clone());
        }
        may_fit
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
            bounds.record_unmet(need);
        }
    }
}
