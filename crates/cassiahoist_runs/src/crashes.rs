//! Tasks that crash their hosts: suspicion, probation and giving up.
//!
//! [`CrashHistory`](cassiahoist_world::crashes::CrashHistory) has the rules; these functions record what happened.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_world::crashes::{Crash, NEW_RUN_MS, NEWEST_SPAN_MS};
use cassiahoist_world::hosts::{Host, HostKey};
use cassiahoist_world::jobs::{TaskKey, TaskState};
use cassiahoist_world::orders::RunEnding;
use cassiahoist_world::prelude::*;
use cassiahoist_world::record::{FailureReason, JobFailure};
use cassiahoist_world::runs::{RunKey, RunState};

use crate::order_answers::poll_immediately;
use crate::outcome::{JobEnd, end_job, end_run};

/// Time for which a silent host may still turn out to refuse connections, in milliseconds.
const REFUSAL_WAIT_MS: u64 = 300;

/// Time from a crash for which tasks of the same queue are placed with caution, in milliseconds.
const CAUTION_MS: u64 = 15_000;

/// Number of crashes from which even late ones are recorded in the store.
const RECORDED_CRASHES: usize = 2;

/// What shows that a host's runs have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostLoss {
    /// It refuses connections, or its lease expired while it was silent. It may be alive.
    Silent,
    /// Another incarnation, or another host, answers in its place.
    Restarted,
}

/// Ends the runs that were lost with a host and gives up tasks that crash their hosts.
///
/// `cause` goes to the log.
pub(crate) fn end_lost_runs(world: &mut World, runs: &[RunKey], loss: HostLoss, cause: &str, now_ms: u64) {
    for key in runs {
        log_lost_run(world, *key, cause, now_ms);
        let Some(run) = world.runs.rows.get(*key) else { continue };
        let task = run.task;
        record_crash(world, *key, loss, now_ms);
        settle_crashes(world, task);
        end_run(world, *key, RunEnding::Lapsed, &Arc::from(""), now_ms);
        give_up_crashing_task(world, task, now_ms);
    }
}

/// Records the crash of a host that refuses connections, for its new runs.
///
/// The crash is withdrawn if the host answers again in the same incarnation.
pub(crate) fn suspect_new_runs(world: &mut World, host: HostKey, now_ms: u64) {
    let Some(row) = world.hosts.get(host) else { return };
    let runs: Vec<RunKey> = row.runs.iter().copied().collect();
    for run in runs {
        record_crash(world, run, HostLoss::Silent, now_ms);
    }
}

/// Records the loss of a host that became unresponsive, and whether one of its new runs may be the cause.
pub(crate) fn record_loss(world: &mut World, host: HostKey, now_ms: u64) {
    let Some(row) = world.hosts.get(host) else { return };
    let newest_at_ms = newest_start_at_ms(world, row);
    let is_explained = row.isolated_run.is_some()
        || (newest_at_ms > 0 && row.last_answer_at_ms <= newest_at_ms + NEWEST_SPAN_MS);
    world.hosts.record_loss(host, is_explained, now_ms);
}

/// Withdraws the crashes of a host that answers in the same incarnation.
pub(crate) fn withdraw_crashes(world: &mut World, host: HostKey) {
    let Some(row) = world.hosts.get_mut(host) else { return };
    row.refuses_connections = false;
    world.store_writes.roster_stale |= row.end_silence();
    let expired = std::mem::take(&mut row.uncertain_crashes);
    let present = row.runs.iter().filter_map(|run| world.runs.rows.get(*run));
    let present = present.filter(|run| !run.maybe_lost).map(|run| (run.task, run.run_number));
    let suspects: Vec<(TaskKey, u64)> = expired.into_iter().chain(present).collect();
    for (task, run_number) in suspects {
        withdraw_crash(world, task, run_number);
    }
}

/// Withdraws the crash of one run whose host turned out to be alive.
pub(crate) fn withdraw_crash(world: &mut World, task: TaskKey, run_number: u64) {
    if world.jobs.crashes_of_mut(task).is_some_and(|crashes| crashes.withdraw(run_number)) {
        log_cleared_task(world, task, "its host is alive");
        mark_unrecorded(world, task);
    }
}

/// Records that the host of a run was lost, if the run may be the cause.
///
/// New runs may be; others only if another incarnation shows a crash, since they would be blamed for lost paths otherwise.
pub(crate) fn record_crash(world: &mut World, key: RunKey, loss: HostLoss, now_ms: u64) {
    let crash = early_crash(world, key, now_ms);
    let crash =
        crash.or_else(|| if loss == HostLoss::Restarted { late_crash(world, key, now_ms) } else { None });
    let (Some(crash), Some(run)) = (crash, world.runs.rows.get(key)) else { return };
    let (task, host, run_number) = (run.task, run.host, run.run_number);
    let is_early = crash.is_early();
    let is_likely_cause = is_early && crash.is_newest;
    let log_record = LogRecord::new(EventId::TaskSuspected)
        .with("task", run.name)
        .with("run", run_number)
        .with("host", &crash.host)
        .with("heard_after_ms", crash.heard_after_ms)
        .with("lost_after_ms", crash.lost_after_ms);
    if is_likely_cause {
        place_cautiously(world, task, now_ms);
    }
    let Some(crashes) = world.jobs.crashes_of_mut(task) else { return };
    if crashes.record(crash) {
        let count = crashes.len();
        world.counters.crashes_recorded += 1;
        world.log(log_record.with("crashes", count).with("loss", format!("{loss:?}")));
        if is_early || count >= RECORDED_CRASHES {
            mark_unrecorded(world, task);
            // A later holder would start the task beside others again.
            world.store_writes.crashes_unrecorded = true;
        }
    }
    if loss == HostLoss::Silent
        && let Some(host) = world.hosts.get_mut(host)
        && !host.uncertain_crashes.contains(&(task, run_number))
    {
        host.uncertain_crashes.push((task, run_number));
    }
}

/// Lets the tasks of a task's queue avoid hosts on which much would be lost, for a while.
///
/// Others of them may crash their hosts, too.
fn place_cautiously(world: &mut World, task: TaskKey, now_ms: u64) {
    let job = world.jobs.task_context(task).and_then(|(_, step, _)| world.jobs.get(step.job));
    if let Some(queue) = job.map(|job| job.record.policy.queue.clone()) {
        world.runs.cautious_until_ms.insert(queue, now_ms + CAUTION_MS);
    }
}

/// Notes which hosts of a task's crashes were lost together with others. That shows only after a while.
pub fn settle_crashes(world: &mut World, task: TaskKey) {
    let World { jobs, hosts, .. } = world;
    let Some(crashes) = jobs.crashes_of_mut(task) else { return };
    if crashes.mark_common(|host| hosts.was_lost_alone(host) == Some(false)) {
        mark_unrecorded(world, task);
    }
}

/// Fails the job of a task under which too many hosts have crashed, or two that leave no other cause.
pub(crate) fn give_up_crashing_task(world: &mut World, key: TaskKey, now_ms: u64) {
    let Some(crashes) = world.jobs.crashes_of(key) else { return };
    let is_conclusive =
        crashes.conclusive_crash().is_some_and(|crash| world.hosts.was_lost_alone(&crash.host).is_some());
    if !is_conclusive && !crashes.is_exhausted() {
        return;
    }
    let crashed_hosts = crashes.iter().map(|crash| crash.host.clone()).collect();
    let Some((task, step, _)) = world.jobs.task_context(key) else { return };
    if task.state == TaskState::Done {
        return;
    }
    let (job, task) = (step.job, task.name);
    let failure = JobFailure { reason: FailureReason::CrashedHosts, task, crashed_hosts };
    if world.jobs.get(job).is_some_and(|job| !job.state.is_final()) {
        world.counters.jobs_crashing += 1;
        end_job(world, job, JobEnd::Failed(failure), now_ms);
    }
}

/// Returns whether a run's task has to wait until it is known what became of the run's host.
///
/// A new run may have crashed the host. Its task may start alone once it counts as a suspect, but after a second such crash
/// it waits, so that it takes no more hosts than are back.
pub(crate) fn awaits_fate_of_host(world: &World, key: RunKey, now_ms: u64) -> bool {
    let Some(run) = world.runs.rows.get(key) else { return false };
    let Some(host) = world.hosts.get(run.host) else { return false };
    let Some(crashes) = world.jobs.crashes_of(run.task) else { return false };
    if crashes.iter().any(|crash| crash.run_number != run.run_number && crash.is_early()) {
        return true;
    }
    let may_refuse = !host.refuses_connections
        && host.unresponsive_since_ms.is_some_and(|since_ms| now_ms < since_ms + REFUSAL_WAIT_MS);
    let is_likely_cause = |crash: &Crash| crash.is_newest && crash.lost_after_ms < NEW_RUN_MS;
    may_refuse && early_crash(world, key, now_ms).as_ref().is_some_and(is_likely_cause)
}

/// Puts a run on probation if hosts were lost under earlier runs of its task. A suspect gets its host to itself.
pub(crate) fn begin_probation(world: &mut World, key: RunKey) {
    let Some(run) = world.runs.rows.get(key) else { return };
    let Some(crashes) = world.jobs.crashes_of(run.task).filter(|crashes| !crashes.is_empty()) else { return };
    let (is_suspect, host) = (crashes.is_suspect(), run.host);
    world.runs.on_probation.insert(key);
    if is_suspect && let Some(host) = world.hosts.get_mut(host) {
        host.isolated_run.get_or_insert(key);
    }
}

/// Clears tasks whose runs have outlived their probation.
pub fn end_probations(world: &mut World, now_ms: u64) {
    let runs: Vec<RunKey> = world.runs.on_probation.iter().copied().collect();
    for run in runs {
        match decide_probation(world, run, now_ms) {
            ProbationDecision::Wait => {}
            ProbationDecision::WaitUntil(at_ms) => world.wake_by(at_ms),
            ProbationDecision::Poll(host) => poll_immediately(world, host, now_ms),
            ProbationDecision::End => end_probation(world, run),
        }
    }
}

/// What becomes of a run on probation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbationDecision {
    /// An answer of its host decides.
    Wait,
    /// It lasts until this time, in monotonic milliseconds.
    WaitUntil(u64),
    /// Its host has to answer once more.
    Poll(HostKey),
    /// It is over.
    End,
}

fn decide_probation(world: &World, key: RunKey, now_ms: u64) -> ProbationDecision {
    let Some(run) = world.runs.rows.get(key) else { return ProbationDecision::End };
    let crashes = world.jobs.crashes_of(run.task).filter(|crashes| !crashes.is_empty());
    let (Some(crashes), Some(host)) = (crashes, world.hosts.get(run.host)) else {
        return ProbationDecision::End;
    };
    let until_ms = run.start_sent_at_ms + crashes.probation_ms();
    if now_ms < until_ms {
        return ProbationDecision::WaitUntil(until_ms);
    }
    if run.maybe_lost {
        return ProbationDecision::Wait;
    }
    match run.state {
        RunState::Running if host.unresponsive_since_ms.is_some() => ProbationDecision::Wait,
        RunState::Running if host.last_answer_at_ms >= until_ms => ProbationDecision::End,
        RunState::Running if host.open_extra_polls == 0 => ProbationDecision::Poll(run.host),
        _ => ProbationDecision::Wait,
    }
}

fn end_probation(world: &mut World, key: RunKey) {
    world.runs.on_probation.remove(&key);
    let Some(run) = world.runs.rows.get(key) else { return };
    let (task, host, run_number) = (run.task, run.host, run.run_number);
    if let Some(host) = world.hosts.get_mut(host) {
        host.isolated_run.take_if(|isolated| *isolated == key);
    }
    clear_task(world, task, run_number, "it outlived its probation");
}

/// Removes the crashes of a task that a run has shown to be harmless.
pub(crate) fn clear_task(world: &mut World, task: TaskKey, run_number: u64, cause: &str) {
    let Some(crashes) = world.jobs.crashes_of_mut(task).filter(|crashes| !crashes.is_empty()) else { return };
    let was_recorded = crashes.is_suspect() || crashes.len() >= RECORDED_CRASHES;
    crashes.clear(run_number);
    if was_recorded {
        log_cleared_task(world, task, cause);
        mark_unrecorded(world, task);
    }
}

/// Returns the crash of a run that was new when its host was last heard.
///
/// `None` if the host gave no sign of life since the start, unless it refuses connections: it was probably lost before.
fn early_crash(world: &World, key: RunKey, now_ms: u64) -> Option<Crash> {
    let run = world.runs.rows.get(key)?;
    let host = world.hosts.get(run.host)?;
    let was_heard = host.last_answer_at_ms >= run.start_sent_at_ms || host.refuses_connections;
    let was_at_work = run.adopted && run.progress_percent > 0;
    if !was_heard || was_at_work || run.is_restored || has_harmless_run(world, key, now_ms) {
        return None;
    }
    crash_of(world, key, now_ms).filter(Crash::is_early)
}

/// Returns the crash of a run that was not new any more.
fn late_crash(world: &World, key: RunKey, now_ms: u64) -> Option<Crash> {
    let is_restored = world.runs.rows.get(key).is_some_and(|run| run.is_restored);
    if is_restored || has_harmless_run(world, key, now_ms) {
        return None;
    }
    let crash = crash_of(world, key, now_ms)?;
    Some(Crash { heard_after_ms: crash.heard_after_ms.max(NEW_RUN_MS), ..crash })
}

fn crash_of(world: &World, key: RunKey, now_ms: u64) -> Option<Crash> {
    let run = world.runs.rows.get(key)?;
    let host = world.hosts.get(run.host)?;
    let lost_at_ms = host.unresponsive_since_ms.unwrap_or(now_ms);
    Some(Crash {
        run_number: run.run_number,
        host: host.entry.name.clone(),
        heard_after_ms: host.last_answer_at_ms.saturating_sub(run.start_sent_at_ms),
        lost_after_ms: lost_at_ms.saturating_sub(run.start_sent_at_ms),
        is_isolated: host.isolated_run == Some(key),
        is_common: false,
        is_newest: run.start_sent_at_ms + NEWEST_SPAN_MS >= newest_start_at_ms(world, host),
    })
}

/// Returns when the newest run on a host was started, in monotonic milliseconds.
///
/// Start orders that the host did not live to see don't count.
fn newest_start_at_ms(world: &World, host: &Host) -> u64 {
    let runs = host.runs.iter().filter_map(|run| world.runs.rows.get(*run));
    let starts = runs.map(|run| run.start_sent_at_ms).filter(|at_ms| *at_ms <= host.last_answer_at_ms);
    starts.max().unwrap_or_default()
}

/// Returns whether the task is done, or another of its runs is at work and no longer new.
fn has_harmless_run(world: &World, key: RunKey, now_ms: u64) -> bool {
    let Some(run) = world.runs.rows.get(key) else { return false };
    match world.jobs.tasks.get(run.task).map(|task| task.state) {
        None | Some(TaskState::Done) => true,
        Some(TaskState::Placed(other)) if other != key => world.runs.rows.get(other).is_some_and(|other| {
            other.state == RunState::Running && now_ms >= other.start_sent_at_ms + NEW_RUN_MS
        }),
        Some(_) => false,
    }
}

fn mark_unrecorded(world: &mut World, task: TaskKey) {
    let Some((_, step, _)) = world.jobs.task_context(task) else { return };
    let job = step.job;
    world.jobs.unrecorded_jobs.insert(job);
    if let Some(job) = world.jobs.get_mut(job) {
        job.crash_changes += 1;
    }
}

fn log_cleared_task(world: &mut World, key: TaskKey, cause: &str) {
    let Some(task) = world.jobs.tasks.get(key) else { return };
    let log_record = LogRecord::new(EventId::SuspicionEnded).with("task", task.name);
    world.log(log_record.with("cause", cause));
}

/// Logs which run was lost with its host, and how long the host was seen alive after its start.
fn log_lost_run(world: &mut World, key: RunKey, cause: &str, now_ms: u64) {
    let Some(run) = world.runs.rows.get(key) else { return };
    let Some(host) = world.hosts.get(run.host) else { return };
    let log_record = LogRecord::new(EventId::RunLostWithHost)
        .with("task", run.name)
        .with("run", run.run_number)
        .with("host", &host.entry.name)
        .with("cause", cause)
        .with("state", format!("{:?}", run.state))
        .with("started_ms_ago", now_ms.saturating_sub(run.start_sent_at_ms))
        .with("answered_ms_after_start", host.last_answer_at_ms.saturating_sub(run.start_sent_at_ms))
        .with("runs_on_host", host.runs.len());
    world.log(log_record);
}
