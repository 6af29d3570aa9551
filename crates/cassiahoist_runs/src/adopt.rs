//! Adoption of runs that an earlier holder started.

use cassiahoist_world::hosts::HostKey;
use cassiahoist_world::jobs::{StepKey, StepState, TaskKey};
use cassiahoist_world::orders::RunReport;
use cassiahoist_world::prelude::*;
use cassiahoist_world::runs::{RunKey, RunState, StopReason};

use crate::lease_expiry::may_start_inherited_jobs;
use crate::lifecycle::{reserve_run, stop_run};

/// Creates a row for a reported run whose task has none.
///
/// Returns `None` if the job or the step has already ended.
pub(crate) fn adopt_run(
    world: &mut World,
    task: TaskKey,
    host: HostKey,
    report: &RunReport,
    now_ms: u64,
) -> Option<RunKey> {
    let (_, step, _) = world.jobs.task_context(task)?;
    if world.jobs.get(step.job)?.state.is_final() || step.state == StepState::Done {
        return None;
    }
    let key = reserve_run(world, task, host, report.run_number, RunState::Running, now_ms)?;
    let clock_ms = world.hosts.get(host)?.lists_clock_ms;
    if let Some(run) = world.runs.rows.get_mut(key) {
        run.listed_by_host = true;
        run.progress_clock_ms = clock_ms;
        run.progress_percent = report.progress_percent;
    }
    if let Some(task) = world.jobs.tasks.get_mut(task)
        && !report.checkpoint.is_empty()
    {
        task.checkpoint = std::sync::Arc::clone(&report.checkpoint);
    }
    Some(key)
}

/// Stops adopted gangs that lack a member. It visits only gangs that were partial since the last check.
///
/// It waits until every run of an earlier holder is known or has expired.
pub fn stop_partial_gangs(world: &mut World, now_ms: u64) {
    if !world.holding.is_holding()
        || world.jobs.partial_gangs.is_empty()
        || !may_start_inherited_jobs(world, now_ms)
    {
        return;
    }
    let partial_steps: Vec<StepKey> = std::mem::take(&mut world.jobs.partial_gangs)
        .into_iter()
        .filter(|key| world.jobs.ready.contains(*key))
        .filter(|key| {
            world.jobs.steps.get(*key).is_some_and(|step| step.pending_tasks.len() < step.tasks.len())
        })
        .collect();
    world.counters.steps_visited += partial_steps.len() as u64;
    for step in partial_steps {
        let Some(step) = world.jobs.steps.get(step) else { continue };
        let runs: Vec<RunKey> = world.jobs.step_runs(step).collect();
        for run in runs {
            stop_run(world, run, StopReason::GangBroken, now_ms);
        }
    }
}
