//! Lists of running and ended runs that a host returns to a poll.

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::{Adoption, HostKey, OrphanRuns, Restart};
use cassiahoist_world::jobs::TaskState;
use cassiahoist_world::orders::{EndReport, HostLists, Order, RunEnding, RunReport};
use cassiahoist_world::prelude::*;
use cassiahoist_world::runs::{RunKey, RunState};
use rustc_hash::FxHashSet;

use crate::adopt::adopt_run;
use crate::crashes::{give_up_crashing_task, settle_crashes, withdraw_crash};
use crate::late_starts::remember_late_start;
use crate::lease_expiry::reset_restarted_host;
use crate::lifecycle::{mark_job_begun, mark_task_begun, reattach_run};
use crate::occurrences::find_reported_task;
use crate::orphans::replace_orphans;
use crate::outcome::{AfterDone, decide_after_done, end_run, finish_task, record_failed_run};
use crate::pace::adjust_filler_pace;

/// Timeout of an order to stop a run without a row, in milliseconds.
const ORPHAN_STOP_TIMEOUT_MS: u64 = 800;

/// Updates the run rows of a host from its poll answer.
///
/// `sent_ms` is when the poll was sent, in monotonic milliseconds.
pub fn apply_host_lists(world: &mut World, key: HostKey, lists: &HostLists, sent_ms: u64, now_ms: u64) {
    let Some(host) = world.hosts.get_mut(key) else { return };
    if let Some(started_unix_ms) = lists.started_unix_ms
        && host.update_incarnation(started_unix_ms)
    {
        let log_record = LogRecord::new(EventId::HostRestarted).with("host", &host.entry.name);
        world.log(log_record.with("born_unix_ms", started_unix_ms));
        reset_restarted_host(world, key, "it reported a new incarnation", now_ms);
        if let Some(host) = world.hosts.get_mut(key) {
            host.entry.started_unix_ms = started_unix_ms;
            // The answer with these lists has already given the clock of the new incarnation.
            host.clock_known = host.last_answer_at_ms == now_ms;
            host.last_restart = Some(Restart { noticed_at_ms: now_ms, earlier_clock_offset_ms: None });
        }
    }
    note_unread_ends(world, key, lists);
    for report in &lists.ended {
        apply_end_report(world, key, report, now_ms);
    }
    let mut listed = FxHashSet::default();
    let mut worst_tail_percent = None;
    let mut orphans = OrphanRuns::default();
    for report in &lists.running {
        if let Some(run) = apply_running_report(world, key, report, now_ms) {
            listed.insert(run);
            worst_tail_percent = worst_tail_percent.max(tail_percent(world, run, report));
        } else {
            count_orphan(world, &mut orphans, report);
        }
    }
    replace_orphans(world, key, orphans);
    adjust_filler_pace(world, key, worst_tail_percent, now_ms);
    if lists.may_have_more_ends {
        // A run in neither list may be among the further ends, and so may runs of earlier holders.
        return;
    }
    end_unlisted_runs(world, key, &listed, sent_ms, now_ms);
    let Some(host) = world.hosts.get_mut(key) else { return };
    if host.adoption == Adoption::Unknown {
        host.adoption = Adoption::Adopted;
        world.store_writes.roster_stale |= host.end_silence();
        let log_record = LogRecord::new(EventId::HostAdopted).with("host", &host.entry.name);
        world.log(log_record.with("running", lists.running.len()).with("ended", lists.ended.len()));
    }
}

/// Notes whether the host has ends, and whether it may have more than it listed.
fn note_unread_ends(world: &mut World, key: HostKey, lists: &HostLists) {
    let Some(host) = world.hosts.get_mut(key) else { return };
    host.lists_ends = !lists.ended.is_empty();
    let had_unread_ends = std::mem::replace(&mut host.has_unread_ends, lists.may_have_more_ends);
    if host.has_unread_ends && !had_unread_ends {
        let log_record = LogRecord::new(EventId::HostEndsUnread).with("host", &host.entry.name);
        let log_record = log_record.with("listed", lists.ended.len());
        let log_record = log_record.with("last_end_recorded", host.last_end_recorded);
        world.log(log_record.with("running", lists.running.len()));
    }
}

/// Counts a listed run without a row.
///
/// It occupies its resources until the host no longer lists it.
fn count_orphan(world: &World, orphans: &mut OrphanRuns, report: &RunReport) {
    let step_name = report.task.step;
    let job = world.jobs.find(&step_name.job).and_then(|job| world.jobs.get(job));
    let spec = job.and_then(|job| job.record.spec.steps.get(usize::from(step_name.index)));
    orphans.count += 1;
    orphans.steps.push(step_name);
    match (job, spec) {
        (Some(job), Some(spec)) => {
            orphans.resources = orphans.resources.saturating_add(&spec.reserved_resources());
            orphans.counted.push((job.account, spec.task_size));
        }
        _ => orphans.has_unknown_size = true,
    }
}

/// Returns the tail latency of a serving task, in percent of its target.
///
/// It is `None` for a task without a target.
fn tail_percent(world: &World, run: RunKey, report: &RunReport) -> Option<u64> {
    let (_, _, spec) = world.jobs.task_context(world.runs.rows.get(run)?.task)?;
    let target_ms = spec.tail_target_ms?;
    Some(report.load * 100 / target_ms.max(1))
}

fn apply_end_report(world: &mut World, key: HostKey, report: &EndReport, now_ms: u64) {
    let job = world.jobs.find(&report.task.step.job);
    let Some(host) = world.hosts.get_mut(key) else { return };
    if report.end_number <= host.last_end_applied {
        return;
    }
    host.last_end_applied = report.end_number;
    host.unrecorded_ends.push(report.end_number, job);
    world.store_writes.ends_unrecorded = true;
    if let Some(job) = job {
        mark_job_begun(world, job);
    }
    let known_run = find_run(world, key, &report.task, report.run_number);
    if let Some(run) = known_run {
        return end_run(world, run, report.ending, &report.checkpoint, now_ms);
    }
    // No row stands for the run: an earlier holder started it, or its lease was considered expired.
    let Some(task) = find_reported_task(world, &report.task, now_ms) else { return };
    match report.ending {
        RunEnding::Done if decide_after_done(world, task) == AfterDone::Finish => {
            finish_task(world, task, now_ms);
        }
        // The failure counts even if a later run of the task was adopted first.
        RunEnding::Failed => record_failed_run(world, task, key, report.run_number, now_ms),
        // The task waits for a start already, or has another run.
        RunEnding::Done | RunEnding::Stopped | RunEnding::Lapsed | RunEnding::Broken | RunEnding::Alone => {
            if let Some(task) = world.jobs.tasks.get_mut(task) {
                task.last_run_number = task.last_run_number.max(report.run_number);
                if !report.checkpoint.is_empty() && task.checkpoint.is_empty() {
                    task.checkpoint = std::sync::Arc::clone(&report.checkpoint);
                }
            }
        }
    }
}

fn find_run(world: &World, host: HostKey, task: &TaskName, run_number: u64) -> Option<RunKey> {
    let host = world.hosts.get(host)?;
    host.runs.iter().copied().find(|run| {
        world.runs.rows.get(*run).is_some_and(|run| run.name == *task && run.run_number == run_number)
    })
}

fn apply_running_report(world: &mut World, host: HostKey, report: &RunReport, now_ms: u64) -> Option<RunKey> {
    let Some(key) = find_run(world, host, &report.task, report.run_number) else {
        return adopt_or_stop_run(world, host, report, now_ms);
    };
    let clock_ms = world.hosts.get(host)?.lists_clock_ms;
    let run = world.runs.rows.get_mut(key)?;
    if run.state == RunState::Starting {
        run.confirm_start(now_ms);
        run.progress_clock_ms = clock_ms;
        run.start_clock_ms = clock_ms;
    }
    run.listed_by_host = true;
    run.start_unanswered_at_ms = None;
    let started_again = std::mem::take(&mut run.maybe_lost);
    if run.progress_percent != report.progress_percent {
        run.progress_percent = report.progress_percent;
        run.last_progress_at_ms = now_ms;
        run.progress_clock_ms = clock_ms;
    }
    let task = run.task;
    mark_task_begun(world, task);
    if !report.checkpoint.is_empty()
        && let Some(task) = world.jobs.tasks.get_mut(task)
        && *task.checkpoint != *report.checkpoint
    {
        task.checkpoint = std::sync::Arc::clone(&report.checkpoint);
    }
    if started_again {
        // The new incarnation started it, so that the earlier one had not.
        withdraw_crash(world, task, report.run_number);
    }
    reattach_run(world, key);
    Some(key)
}

/// Adopts a run without a row if its task is pending, else stops it.
fn adopt_or_stop_run(world: &mut World, host: HostKey, report: &RunReport, now_ms: u64) -> Option<RunKey> {
    let task = find_reported_task(world, &report.task, now_ms);
    if let Some(task) = task {
        mark_task_begun(world, task);
    }
    let is_pending = task
        .is_some_and(|task| world.jobs.tasks.get(task).is_some_and(|task| task.state == TaskState::Pending));
    if let (Some(task), true) = (task, is_pending)
        && let Some(run) = adopt_run(world, task, host, report, now_ms)
    {
        return Some(run);
    }
    if !world.holding.has_permission(now_ms) {
        // Later lists show the run again.
        return None;
    }
    let log_record =
        LogRecord::new(EventId::RunStopped).with("task", report.task).with("run", report.run_number);
    world.log(log_record.with("reason", "no pending task matches this run"));
    let order = Order::Stop { run: None, task: report.task, run_number: report.run_number };
    world.send_order(host, order, ORPHAN_STOP_TIMEOUT_MS, now_ms);
    None
}

/// Ends runs that the host knew of before the poll and no longer lists.
fn end_unlisted_runs(world: &mut World, key: HostKey, listed: &FxHashSet<RunKey>, sent_ms: u64, now_ms: u64) {
    let Some(host) = world.hosts.get(key) else { return };
    let unlisted: Vec<RunKey> = host
        .runs
        .iter()
        .copied()
        .filter(|run| !listed.contains(run))
        .filter(|run| {
            world.runs.rows.get(*run).is_some_and(|run| match run.state {
                RunState::Running => run.confirmed_at_ms < sent_ms,
                // The extra poll goes out when the stop is confirmed.
                RunState::Settled => run.confirmed_at_ms <= sent_ms,
                RunState::Starting | RunState::Unsettled | RunState::Stopping => false,
            })
        })
        .collect();
    for run in unlisted {
        let Some(row) = world.runs.rows.get(run) else { continue };
        let (task, maybe_lost) = (row.task, row.maybe_lost);
        if row.state == RunState::Running {
            let log_record = LogRecord::new(EventId::RunLost)
                .with("task", row.name)
                .with("run", row.run_number)
                .with("host", world.hosts.get(key).map_or("", |host| host.entry.name.as_str()))
                .with("lists_age_ms", now_ms.saturating_sub(sent_ms))
                .with("confirmed_ms_ago", now_ms.saturating_sub(row.confirmed_at_ms));
            world.log(log_record);
        }
        if maybe_lost {
            settle_crashes(world, task);
        }
        remember_late_start(world, run, now_ms);
        end_run(world, run, RunEnding::Lapsed, &std::sync::Arc::from(""), now_ms);
        if maybe_lost {
            give_up_crashing_task(world, task, now_ms);
        }
    }
}
