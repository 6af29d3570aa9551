//! What a step needs of a host.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_declarations::QueueRules;
use cassiahoist_world::hosts::{Host, HostKey};
use cassiahoist_world::jobs::{Step, TaskState};
use cassiahoist_world::prelude::*;
use cassiahoist_world::spec::StepSpec;
use rustc_hash::FxHashMap;

/// What a step needs of a host, gathered once for all of its tasks.
#[derive(Debug)]
pub(crate) struct StepTerms<'w> {
    /// What was submitted.
    pub spec: &'w StepSpec,
    /// The pool that runs the queue's work.
    pub pool: &'w PoolName,
    /// What a task books.
    pub booked: Resources,
    /// Most tasks of the step on one host: the lesser of what was submitted and what operators rule.
    pub max_per_host: Option<u32>,
    /// Tasks of the step on each host, if that is limited.
    pub on_host: FxHashMap<HostKey, u32>,
    /// What operators rule for the queue.
    pub rules: QueueRules,
}

impl<'w> StepTerms<'w> {
    /// Gathers what a step needs; `pool` is that of the present configuration.
    pub fn new(world: &'w World, step: &'w Step, pool: &'w PoolName) -> Option<Self> {
        let spec = world.jobs.spec(step)?;
        let queue = &world.jobs.get(step.job)?.record.policy.queue;
        let rules = world.declared.in_force.queue_rules(queue, pool);
        let max_per_host = spec.max_per_host.into_iter().chain(rules.max_tasks_per_host).min();
        let mut on_host = FxHashMap::default();
        if max_per_host.is_some() {
            for task in step.tasks.iter().filter_map(|key| world.jobs.tasks.get(*key)) {
                if let TaskState::Placed(run) = task.state
                    && let Some(run) = world.runs.rows.get(run)
                {
                    *on_host.entry(run.host).or_default() += 1;
                }
            }
        }
        Some(Self { spec, pool, booked: spec.booked(), max_per_host, on_host, rules })
    }

    /// Tells whether a host could run a task of the step if it had room.
    pub fn suits(&self, host: &Host) -> bool {
        host.report.pool == *self.pool
            && self.spec.required_label.as_ref().is_none_or(|label| host.has_label(label))
            && self.spec.size.fits_within(&host.report.capacity)
    }

    /// Counts the tasks of the step for which a host has room.
    pub fn fits(&self, key: HostKey, host: &Host) -> u32 {
        let room = host.room();
        let parts = [
            (room.cpu_milli, self.booked.cpu_milli),
            (room.memory_mib, self.booked.memory_mib),
            (u64::from(room.accelerators), u64::from(self.booked.accelerators)),
        ];
        let by_room = parts
            .iter()
            .filter(|(_, needed)| *needed > 0)
            .map(|(room, needed)| (room / needed).min(u64::from(u32::MAX)) as u32)
            .min()
            .unwrap_or(u32::MAX);
        by_room.min(self.left_of_limit(key))
    }

    /// Counts the tasks of the step that a host may still get.
    pub fn left_of_limit(&self, key: HostKey) -> u32 {
        self.max_per_host.map_or(u32::MAX, |limit| {
            limit.saturating_sub(self.on_host.get(&key).copied().unwrap_or_default())
        })
    }
}

/// Gives the pool to which the configuration in force sends a queue, or that of the job's acceptance.
pub(crate) fn pool_of(world: &World, step: &Step) -> Option<PoolName> {
    let policy = Arc::clone(&world.jobs.get(step.job)?.record.policy);
    let current = world.config.in_force.as_ref().and_then(|config| config.queue(&policy.queue));
    Some(current.map_or_else(|| policy.pool.clone(), |queue| queue.policy.pool.clone()))
}
