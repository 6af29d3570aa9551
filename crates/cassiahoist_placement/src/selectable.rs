//! Selection of the hosts that a call for advice asks about.

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::{Host, HostKey};
use cassiahoist_world::jobs::Step;
use cassiahoist_world::prelude::*;
use rustc_hash::FxHashMap;

use crate::advice::INITIAL_APPROVED_SHARE;
use crate::choose::SpeedPreference;
use crate::place::is_ticket_valid;
use crate::requirements::{StepPolicy, StepRequirements};

/// Maximum number of hosts in one call.
const MAX_HOSTS_PER_CALL: usize = 100;

/// Minimum number of hosts in one call, if that many are eligible.
const MIN_HOSTS_PER_CALL: usize = 16;

/// Free capacity to request advice for, as a multiple of the pending tasks.
///
/// Other tasks take resources before the answer arrives.
const FREE_CAPACITY_FACTOR: f64 = 3.0;

/// What a selection needs to know of a host, copied from its row.
#[derive(Clone, Copy, Debug)]
struct SelectableHost {
    key: HostKey,
    started_unix_ms: u64,
    capacity: Resources,
    free: Resources,
    /// Run time on the host compared with that on others, as a binary logarithm.
    speed_factor: f32,
}

/// Hosts that accept new runs, by pool; collected once for all selections of a round.
///
/// Selections compare no names and read only these rows, except for steps with a required label or a maximum per host.
#[derive(Debug)]
pub(crate) struct SelectableHosts {
    by_pool: FxHashMap<PoolName, Vec<SelectableHost>>,
}

/// A host that a call may ask about. The order is that of preference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Choice {
    /// Whether the step has never had a ticket for the host.
    is_unapproved: bool,
    /// Tasks that fit on the host, weighted by its speed, subtracted from the greatest number.
    inverse_weight: u32,
    key: HostKey,
    fitting_tasks: u32,
}

/// Steps of the weight of a task that fits, so that weights compare as whole numbers.
const WEIGHT_STEPS: f32 = 64.0;

/// Greatest number of tasks that fit on a host that is told apart.
const MAX_WEIGHED_TASKS: u32 = 1 << 20;

/// Returns the weight of a host in the order of preference.
fn room_weight(fitting_tasks: u32, speed_preference: SpeedPreference, speed_factor: f32) -> u32 {
    let fitting_tasks = fitting_tasks.min(MAX_WEIGHED_TASKS) as f32;
    (fitting_tasks * speed_preference.room_weight(speed_factor) * WEIGHT_STEPS) as u32
}

impl SelectableHosts {
    /// Copies the rows of the engaged hosts that are in the roster and accept new runs.
    pub fn collect(world: &World, now_ms: u64) -> Self {
        let mut by_pool: FxHashMap<PoolName, Vec<SelectableHost>> = FxHashMap::default();
        let is_startable = |host: &Host| host.in_roster && host.accepts_new_runs(now_ms);
        for (key, host) in world.hosts.iter_engaged().filter(|(_, host)| is_startable(host)) {
            let row = SelectableHost {
                key,
                started_unix_ms: host.entry.started_unix_ms,
                capacity: host.entry.capacity,
                free: host.free_resources(),
                speed_factor: host.speed.factor,
            };
            match by_pool.get_mut(&host.entry.pool) {
                Some(rows) => rows.push(row),
                None => drop(by_pool.insert(host.entry.pool.clone(), vec![row])),
            }
        }
        Self { by_pool }
    }

    /// Selects the hosts that a call for a step asks about.
    ///
    /// Hosts with an outdated ticket come first, since they were approved before, then those with the most free
    /// resources, weighted by their speed. Empty if hosts with a valid ticket have enough free resources already.
    pub fn select_for(&self, world: &World, step: &Step, now_ms: u64) -> Vec<HostKey> {
        let Some(policy) = StepPolicy::for_step(world, step) else { return Vec::new() };
        let Some(requirements) = StepRequirements::new(world, step, &policy) else { return Vec::new() };
        let pending_count = step.pending_tasks.len() as u32;
        let mut wanted_capacity = f64::from(pending_count) * FREE_CAPACITY_FACTOR;
        let mut choices = Vec::new();
        for row in self.by_pool.get(&policy.pool).into_iter().flatten() {
            let fitting_tasks = row.count_fitting(world, &requirements);
            if fitting_tasks == 0 || step.advice.is_rejected(row.key, row.started_unix_ms) {
                continue;
            }
            match step.advice.approved_hosts.get(&row.key) {
                Some(ticket) if is_ticket_valid(ticket, row.started_unix_ms, now_ms) => {
                    wanted_capacity -= f64::from(fitting_tasks.min(pending_count));
                    if wanted_capacity <= 0.0 {
                        return Vec::new();
                    }
                }
                ticket => choices.push(Choice {
                    is_unapproved: ticket.is_none(),
                    inverse_weight: u32::MAX
                        - room_weight(fitting_tasks, requirements.speed_preference, row.speed_factor),
                    key: row.key,
                    fitting_tasks,
                }),
            }
        }
        sort_best(&mut choices);
        take_wanted(&choices, wanted_capacity, pending_count, approved_share(world, step))
    }
}

impl SelectableHost {
    /// Returns how many tasks of a step fit on the host; 0 if it is not eligible.
    fn count_fitting(&self, world: &World, requirements: &StepRequirements<'_>) -> u32 {
        if !requirements.spec.task_size.fits_within(&self.capacity) {
            return 0;
        }
        let by_resources = requirements.tasks_within(&self.free);
        if by_resources == 0 || !requirements.depends_on_host_rows() {
            return by_resources;
        }
        let host = world.hosts.get(self.key).filter(|host| requirements.is_eligible(host));
        host.map_or(0, |host| requirements.tasks_that_fit(host))
    }
}

/// Sorts the choices that a call can hold to the front, the best first.
fn sort_best(choices: &mut [Choice]) {
    let best = if choices.len() > MAX_HOSTS_PER_CALL {
        choices.select_nth_unstable(MAX_HOSTS_PER_CALL).0
    } else {
        choices
    };
    best.sort_unstable();
}

/// Takes choices, the best first, until they probably have the wanted capacity.
fn take_wanted(
    choices: &[Choice],
    mut wanted_capacity: f64,
    pending_count: u32,
    approved_share: f64,
) -> Vec<HostKey> {
    let mut hosts = Vec::new();
    for choice in choices.iter().take(MAX_HOSTS_PER_CALL) {
        if wanted_capacity <= 0.0 && hosts.len() >= MIN_HOSTS_PER_CALL {
            break;
        }
        let fitting_tasks = f64::from(choice.fitting_tasks.min(pending_count));
        wanted_capacity -= if choice.is_unapproved { fitting_tasks * approved_share } else { fitting_tasks };
        hosts.push(choice.key);
    }
    hosts
}

/// Returns the share of the hosts asked about that the service approves for the step's queue.
fn approved_share(world: &World, step: &Step) -> f64 {
    let queue = world.jobs.get(step.job).map(|job| &job.record.policy.queue);
    let share = queue.and_then(|queue| world.advice.approved_share.get(queue));
    share.copied().unwrap_or(INITIAL_APPROVED_SHARE)
}
