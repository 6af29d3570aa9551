//! Places suspects: tasks under which hosts were lost, each alone on a host.
//!
//! If the host is lost too, the suspect is the cause, and few other runs are lost with it.

use cassiahoist_runs::settle_crashes;
use cassiahoist_world::hosts::{Host, HostKey};
use cassiahoist_world::jobs::{StepKey, Task, TaskKey};
use cassiahoist_world::prelude::*;

use crate::place::{PlacementRoom, has_copy_on, loss_cost};

/// Time after the last start on a host until a suspect may start there, in milliseconds.
///
/// If that start crashes the host, this is known by then.
const QUIET_MS: u64 = 150;

/// Hosts of a pool for each one on which a suspect may be on probation at a time.
const HOSTS_PER_PROBATION: usize = 6;

/// Hosts of a pool for each one that suspects may have lost at a time, as far as its fate is not known.
const HOSTS_PER_LOSS: usize = 4;

/// How many more hosts of a pool suspects may put at risk.
#[derive(Debug)]
pub(crate) struct Isolation {
    /// For tasks under which one host was lost.
    remaining_hosts: usize,
    /// For tasks under which several were. They are the more likely causes, and leave room for others.
    remaining_for_repeated: usize,
}

impl Isolation {
    /// Returns the limit for the pending tasks of a step; `None` if none of them is a suspect.
    ///
    /// It looks again whether the crashes of the suspects were common, which shows only after a while.
    pub fn for_tasks(world: &mut World, step: StepKey, tasks: &[TaskKey]) -> Option<Self> {
        let mut has_suspects = false;
        for task in tasks {
            if is_suspect(world, *task) {
                settle_crashes(world, *task);
                has_suspects |= is_suspect(world, *task);
            }
        }
        if has_suspects { Self::for_step(world, step) } else { None }
    }

    fn for_step(world: &World, step: StepKey) -> Option<Self> {
        let step = world.jobs.steps.get(step)?;
        if !world.jobs.get(step.job)?.has_recorded_crashes() {
            return Some(Self { remaining_hosts: 0, remaining_for_repeated: 0 });
        }
        let pool = world.pool_of(step)?;
        let (mut host_count, mut on_probation, mut lost, mut of_job) = (0, 0, 0, 0);
        for (_, host) in world.hosts.iter_engaged().filter(|(_, host)| host.entry.pool == *pool) {
            host_count += 1;
            let Some(suspect) = host.isolated_run.and_then(|run| world.runs.rows.get(run)) else { continue };
            if host.unresponsive_since_ms.is_some() {
                lost += 1;
            } else {
                on_probation += 1;
            }
            of_job += usize::from(suspect.name.step.job == step.name.job);
        }
        let limit = (host_count / HOSTS_PER_PROBATION).max(1);
        // One job leaves half of the hosts to the suspects of others.
        let shared_limit = (limit / 2).max(1);
        let below = |limit: usize, count: usize| limit.saturating_sub(count);
        let remaining_hosts = below(limit, on_probation)
            .min(below((host_count / HOSTS_PER_LOSS).max(1), lost))
            .min(below(shared_limit, of_job));
        let remaining_for_repeated = remaining_hosts.min(below(shared_limit, on_probation));
        Some(Self { remaining_hosts, remaining_for_repeated })
    }

    /// Chooses a candidate for a suspect and counts its host as at risk.
    ///
    /// Hosts that have not crashed lately come first, then those whose loss costs least.
    pub fn choose(&mut self, world: &World, room: &PlacementRoom, task: &Task, now_ms: u64) -> Option<usize> {
        let remaining =
            if task.crashes.len() > 1 { self.remaining_for_repeated } else { self.remaining_hosts };
        if remaining == 0 {
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
        self.remaining_for_repeated = self.remaining_for_repeated.saturating_sub(1);
        Some(position)
    }
}

/// Returns whether a task has to start alone. It is no member of a gang.
fn is_suspect(world: &World, task: TaskKey) -> bool {
    world.jobs.tasks.get(task).is_some_and(|task| task.crashes.is_suspect())
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
