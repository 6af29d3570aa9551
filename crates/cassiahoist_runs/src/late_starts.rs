//! Start orders that hosts never confirmed and may carry out late, after the row of the run was removed.
//!
//! A host that confirmed the stop of a run refuses its start, however late that comes. A later incarnation of the host knows
//! nothing of the stop, so that it has to confirm another one before the task may start again.

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::HostKey;
use cassiahoist_world::jobs::TaskState;
use cassiahoist_world::prelude::*;
use cassiahoist_world::runs::{Run, RunKey};

use crate::lifecycle::mark_placed;

/// Remembers a run whose row is about to be removed, if its start may take effect in a later incarnation of its host.
pub(crate) fn remember_late_start(world: &mut World, key: RunKey, now_ms: u64) {
    let World { runs, hosts, .. } = world;
    let Some(run) = runs.rows.get(key) else { return };
    if let Some(host) = hosts.get_mut(run.host) {
        host.remember_late_start(run, now_ms);
    }
}

/// Gives rows to the remembered runs of a restarted host again, so that they are stopped in its present incarnation.
pub(crate) fn restore_late_starts(world: &mut World, host: HostKey, now_ms: u64) {
    let Some(row) = world.hosts.get_mut(host) else { return };
    for run in row.take_late_starts(now_ms) {
        restore_run(world, run, now_ms);
    }
}

/// Gives a row to a run whose start may take effect late, and reserves the resources that it would use.
///
/// Its task waits for the end of the run, unless it is done, has another run or allows copies.
pub(crate) fn restore_run(world: &mut World, mut run: Run, now_ms: u64) {
    run.unsettle(now_ms);
    run.is_restored = true;
    let (host, task, account) = (run.host, run.task, run.account);
    let (reserved, task_size) = (run.reserved, run.task_size);
    let log_record = LogRecord::new(EventId::LateStartAwaited).with("task", run.name);
    let log_record = log_record.with("run", run.run_number);
    let sent_ms_ago = now_ms.saturating_sub(run.start_sent_at_ms);
    let key = world.runs.rows.insert(run);
    world.runs.stopping.insert(key);
    world.account_usage.add(account, &task_size);
    let Some(row) = world.hosts.get_mut(host) else { return };
    row.reserved = row.reserved.saturating_add(&reserved);
    row.runs.insert(key);
    let log_record = log_record.with("host", &row.entry.name).with("sent_ms_ago", sent_ms_ago);
    world.log(log_record);
    let Some((row, _, spec)) = world.jobs.task_context(task) else { return };
    let (is_pending, allows_copies) = (row.state == TaskState::Pending, spec.allows_copies && !spec.gang);
    if allows_copies {
        if let Some(task) = world.jobs.tasks.get_mut(task) {
            task.detached_runs.push(key);
        }
    } else if is_pending {
        mark_placed(world, task, key);
    }
}
