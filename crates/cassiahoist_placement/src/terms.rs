//! What a step needs of a host.

use cassiahoist_core::prelude::*;
use cassiahoist_declarations::QueueRules;
use cassiahoist_world::hosts::{Host, HostKey};
use cassiahoist_world::jobs::{Step, TaskState};
use cassiahoist_world::prelude::*;
use cassiahoist_world::spec::StepSpec;
use rustc_hash::FxHashMap;

/// What configuration and declarations say of a step; the same for all of its tasks.
#[derive(Clone, Debug)]
pub(crate) struct StepPolicy {
    /// The pool that runs the queue's work.
    pub pool: PoolName,
    /// What operators rule for the queue.
    pub rules: QueueRules,
}

impl StepPolicy {
    /// Looks up what is in force for a step.
    pub fn of(world: &World, step: &Step) -> Option<Self> {
        let queue = &world.jobs.get(step.job)?.record.policy.queue;
        let pool = world.pool_of(step)?.clone();
        let rules = world.declared.in_force.queue_rules(queue, &pool);
        Some(Self { pool, rules })
    }
}

/// What a step needs of a host.
#[derive(Debug)]
pub(crate) struct StepTerms<'w> {
    /// What was submitted.
    pub spec: &'w StepSpec,
    /// What is in force for it.
    pub policy: &'w StepPolicy,
    /// What a task books.
    pub booked: Resources,
    /// Most tasks of the step on one host: the lesser of what was submitted and what operators rule.
    pub max_per_host: Option<u32>,
    /// Tasks of the step on each host, if that is limited.
    pub on_host: FxHashMap<HostKey, u32>,
}

impl<'w> StepTerms<'w> {
    /// Gathers what a step needs now.
    pub fn new(world: &'w World, step: &'w Step, policy: &'w StepPolicy) -> Option<Self> {
        let spec = world.jobs.spec(step)?;
        let max_per_host = spec.max_per_host.into_iter().chain(policy.rules.max_tasks_per_host).min();
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
        Some(Self { spec, policy, booked: spec.booked(), max_per_host, on_host })
    }

    /// Tells whether a host could run a task of the step if it had room.
    pub fn suits(&self, host: &Host) -> bool {
        host.suits(&self.policy.pool, self.spec)
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
