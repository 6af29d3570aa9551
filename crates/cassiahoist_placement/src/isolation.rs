//! Places suspects: tasks under which hosts were lost, each alone on a host.
//!
//! If the host is lost too, the suspect is the cause, and few other runs are lost with it.

use cassiahoist_world::hosts::{Host, HostKey};
use cassiahoist_world::jobs::{StepKey, Task, TaskKey};
use cassiahoist_world::prelude::*;

use crate::place::{PlacementRoom, has_copy_on, loss_cost};

/// Time after the last start on a host until a suspect may start there, in milliseconds.
///
/// If that start crashes the host, this is known by then.
const QUIET_MS: u64 = 150;

/// Hosts of a pool for each one that suspects may put at risk at a time. Those of one job may use half of these.
const HOSTS_PER_SUSPECT: usize = 6;

/// How many more hosts of a pool suspects may put at risk.
#[derive(Debug)]
pub(crate) struct Isolation {
    remaining_hosts: usize,
}

impl Isolation {
    /// Returns the limit for the pending tasks of a step; `None` if none of them is a suspect.
    pub fn for_tasks(world: &World, step: StepKey, tasks: &[TaskKey]) -> Option<Self> {
        let mut tasks = tasks.iter().filter_map(|task| world.jobs.tasks.get(*task));
        tasks.any(|task| task.crashes.is_suspect()).then(|| Self::for_step(world, step)).flatten()
    }

    fn for_step(world: &World, step: StepKey) -> Option<Self> {
        let step = world.jobs.steps.get(step)?;
        let pool = world.pool_of(step)?;
        let hosts = world.hosts.iter_engaged().filter(|(_, host)| host.entry.pool == *pool);
        let (mut host_count, mut at_risk_count, mut own_count) = (0, 0, 0);
        for (_, host) in hosts {
            host_count += 1;
            let suspect = host.isolated_run.and_then(|run| world.runs.rows.get(run));
            at_risk_count += usize::from(suspect.is_some());
            own_count += usize::from(suspect.is_some_and(|run| run.name.step.job == step.name.job));
        }
        let limit = (host_count / HOSTS_PER_SUSPECT).max(1);
        let own_limit = (limit / 2).max(1);
        let remaining_hosts = limit.saturating_sub(at_risk_count).min(own_limit.saturating_sub(own_count));
        Some(Self { remaining_hosts })
    }

    /// Chooses a candidate for a suspect and counts its host as at risk.
    ///
    /// Hosts that have not crashed lately come first, then those whose loss costs least.
    pub fn choose(&mut self, world: &World, room: &PlacementRoom, task: &Task, now_ms: u64) -> Option<usize> {
        if self.remaining_hosts == 0 {
            return None;
        }
        let hosts = room.candidates.iter().enumerate();
        let hosts = hosts.filter_map(|(position, (candidate, _))| {
            let host = world.hosts.get(candidate.host)?;
            (is_quiet(host, now_ms) && !has_copy_on(world, task, candidate.host))
                .then(|| (position, preference(world, candidate.host, host, task, now_ms)))
        });
        let (position, _) = hosts.min_by_key(|(_, preference)| *preference)?;
        self.remaining_hosts -= 1;
        Some(position)
    }
}

/// Returns whether nothing that was started on a host lately can still crash it unnoticed.
pub(crate) fn is_quiet(host: &Host, now_ms: u64) -> bool {
    now_ms >= host.last_start_at_ms + QUIET_MS
}

/// Returns the sort key of a host for a suspect; the lowest comes first.
fn preference(
    world: &World,
    key: HostKey,
    host: &Host,
    task: &Task,
    now_ms: u64,
) -> (bool, bool, u32, HostKey) {
    let crashed_lately = world.hosts.has_crashed_lately(&host.entry.address, now_ms);
    (task.failed_hosts.contains(&key), crashed_lately, loss_cost(world, host, task.name.step), key)
}
