//! Computes the requirements of a step on its hosts.
//!
//! They come from the submitted step and from the configuration and declarations in force.

use cassiahoist_core::prelude::*;
use cassiahoist_declarations::{Packing, QueueRules};
use cassiahoist_world::hosts::Host;
use cassiahoist_world::jobs::Step;
use cassiahoist_world::prelude::*;
use cassiahoist_world::runs::RunTable;
use cassiahoist_world::spec::StepSpec;

use crate::choose::SpeedPreference;

/// Share of a step's tasks, as a divisor, up to which its pending ones are its last.
const LAST_TASKS_DIVISOR: usize = 4;

/// Pool and declared rules of a step, shared by all of its tasks.
#[derive(Clone, Debug)]
pub(crate) struct StepPolicy {
    /// Pool that runs the queue's tasks.
    pub pool: PoolName,
    /// Rules that operators declared for the queue on the pool.
    pub rules: QueueRules,
}

impl StepPolicy {
    /// Looks up the pool and rules in force for a step.
    ///
    /// `None` if its job is not in the tables.
    pub fn for_step(world: &World, step: &Step) -> Option<Self> {
        let queue = &world.jobs.get(step.job)?.record.policy.queue;
        let pool = world.pool_of(step)?.clone();
        let rules = world.declarations.current.queue_rules(queue, &pool);
        Some(Self { pool, rules })
    }
}

/// Requirements of a step on its hosts, computed for one placement.
#[derive(Debug)]
pub(crate) struct StepRequirements<'w> {
    /// Specification of the step, as the caller submitted it.
    pub spec: &'w StepSpec,
    /// Pool and rules in force.
    pub policy: &'w StepPolicy,
    /// Resources that are reserved for one task on its host.
    pub reserved_resources: Resources,
    /// Maximum number of tasks of the step on one host.
    ///
    /// The lower of the submitted and the declared maximum; `None` without either.
    pub max_per_host: Option<u32>,
    /// Which speed of hosts suits the tasks.
    pub speed_preference: SpeedPreference,
    /// Name of the step.
    pub step: StepName,
    /// All runs, by which tasks on a host are counted.
    pub runs: &'w RunTable,
}

impl<'w> StepRequirements<'w> {
    /// Computes the requirements; `None` if the step's job is not in the tables.
    pub fn new(world: &'w World, step: &'w Step, policy: &'w StepPolicy) -> Option<Self> {
        let spec = world.jobs.step_spec(step)?;
        let max_per_host = spec.max_per_host.into_iter().chain(policy.rules.max_tasks_per_host).min();
        Some(Self {
            spec,
            policy,
            reserved_resources: spec.reserved_resources(),
            max_per_host,
            speed_preference: speed_preference(world, step, spec, policy),
            step: step.name,
            runs: &world.runs,
        })
    }

    /// Returns how tasks of the step are distributed: as declared, or by their kind.
    pub fn packing(&self) -> Packing {
        let by_kind = if self.spec.runs_until_cancelled { Packing::Spread } else { Packing::Pack };
        self.policy.rules.packing.unwrap_or(by_kind)
    }

    /// Returns whether a host is eligible, regardless of its free resources.
    pub fn is_eligible(&self, host: &Host) -> bool {
        host.is_eligible(&self.policy.pool, self.spec)
    }

    /// Returns how many more tasks fit on a host, within the maximum per host.
    pub fn tasks_that_fit(&self, host: &Host) -> u32 {
        self.tasks_within(&host.free_resources()).min(self.remaining_on_host(host))
    }

    /// Returns whether more than its resources decides whether a host of the pool is eligible.
    pub fn depends_on_host_rows(&self) -> bool {
        self.max_per_host.is_some() || self.spec.required_label.is_some()
    }

    /// Returns how many tasks fit within free resources; `u32::MAX` for tasks that reserve nothing.
    pub fn tasks_within(&self, free: &Resources) -> u32 {
        self.reserved_resources.count_within(free)
    }

    /// Returns how many more tasks the maximum per host allows; `u32::MAX` without one.
    fn remaining_on_host(&self, host: &Host) -> u32 {
        self.max_per_host
            .map_or(u32::MAX, |maximum| maximum.saturating_sub(host.count_tasks_of(self.step, self.runs)))
    }
}

/// Returns which speed of hosts suits the tasks of a step.
///
/// The most urgent queue of a pool gets the fast hosts, and so do the last tasks of any step, for which the rest of the job
/// waits. Other work leaves them to these, and so do tasks that last or take what others leave. It is no more than an order of
/// preference: whatever has room on a host starts there.
fn speed_preference(world: &World, step: &Step, spec: &StepSpec, policy: &StepPolicy) -> SpeedPreference {
    if policy.rules.weigh_speed == Some(false) {
        return SpeedPreference::Any;
    }
    if spec.runs_until_cancelled || spec.filler {
        return SpeedPreference::Slow;
    }
    let has_last_tasks = step.pending_tasks.len() * LAST_TASKS_DIVISOR <= step.tasks.len();
    if has_last_tasks || is_most_urgent(world, step, &policy.pool) {
        SpeedPreference::Fast
    } else {
        SpeedPreference::Slow
    }
}

/// Returns whether no queue of the pool is more urgent than that of a step.
fn is_most_urgent(world: &World, step: &Step, pool: &PoolName) -> bool {
    let (Some(job), Some(config)) = (world.jobs.get(step.job), &world.config.current) else { return true };
    let mut policies = config.queues.iter().map(|queue| &queue.policy);
    !policies.any(|policy| policy.priority < job.record.policy.priority && policy.pool == *pool)
}
