//! Pace of fillers that share a host with serving tasks.
//!
//! A filler runs on processor time that other tasks leave. Its pace is the share of time that it gets; it is reduced
//! while the tail latency of a serving task on the host is close to its target.

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::HostKey;
use cassiahoist_world::orders::{Order, OrderCompletion, OrderOutcome, RefusalReason};
use cassiahoist_world::prelude::*;
use cassiahoist_world::runs::{Run, RunKey, RunState};

/// Tail latency above which fillers slow down, in percent of its target.
const SLOW_ABOVE_PERCENT: u64 = 85;

/// Tail latency below which fillers speed up, in percent of its target.
const SPEED_BELOW_PERCENT: u64 = 60;

/// Interval between increases of the pace, in milliseconds. The tail latency shows the effect of each.
const SPEED_INTERVAL_MS: u64 = 1_500;

/// Interval between reductions of the pace, in milliseconds.
const SLOW_INTERVAL_MS: u64 = 700;

/// Increase of the pace in one step, in percentage points.
const SPEED_STEP_PERCENT: u8 = 25;

/// Longest time until a new filler gets the pace of its host, in milliseconds.
///
/// A change of a host's pace takes effect at once.
const CHECK_INTERVAL_MS: u64 = 50;

/// Timeout of a pace order, in milliseconds.
const PACE_ORDER_TIMEOUT_MS: u64 = 800;

/// Delay before pace orders are sent again after one failed, in milliseconds.
const PACE_RETRY_MS: u64 = 200;

/// Interval between repetitions of a pace order that an earlier one without an answer may undo, in milliseconds.
///
/// It bounds the time for which a run has the pace of the earlier order.
const PACE_REPEAT_MS: u64 = 1_000;

/// Adjusts the filler pace of a host to its worst tail latency.
///
/// `worst_percent` is relative to the target; it is `None` without serving tasks, and then fillers run at full pace.
/// Close to the target the pace is halved; above it fillers get no processor time.
pub(crate) fn adjust_filler_pace(world: &mut World, key: HostKey, worst_percent: Option<u64>, now_ms: u64) {
    let Some(host) = world.hosts.get_mut(key) else { return };
    let previous_percent = host.filler_pace_percent;
    let Some(tail_percent) = worst_percent else {
        host.filler_pace_percent = 100;
        return;
    };
    if tail_percent > SLOW_ABOVE_PERCENT && now_ms >= host.filler_pace_changed_at_ms + SLOW_INTERVAL_MS {
        host.filler_pace_percent = if tail_percent > 100 { 0 } else { host.filler_pace_percent / 2 };
        host.filler_pace_changed_at_ms = now_ms;
    } else if tail_percent < SPEED_BELOW_PERCENT
        && now_ms >= host.filler_pace_changed_at_ms + SPEED_INTERVAL_MS
        && previous_percent < 100
    {
        host.filler_pace_percent = (previous_percent + SPEED_STEP_PERCENT).min(100);
        host.filler_pace_changed_at_ms = now_ms;
    }
    if host.filler_pace_percent != previous_percent && !host.runs.is_empty() {
        let log_record = LogRecord::new(EventId::FillerPaceChanged).with("host", &host.entry.name);
        let log_record =
            log_record.with("percent", host.filler_pace_percent).with("tail_percent", tail_percent);
        world.log(log_record);
        world.runs.next_pace_check_at_ms = now_ms;
    }
}

/// Whether a filler gets a pace order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PaceDecision {
    /// Its pace is that of its host.
    Keep,
    /// It is sent its pace again at this time, in monotonic milliseconds.
    RepeatAt(u64),
    /// It is sent its pace now.
    Send,
}

fn decide_pace(run: &Run, target_percent: u8, now_ms: u64) -> PaceDecision {
    let repeat_at_ms = run.pace_sent_at_ms + PACE_REPEAT_MS;
    if run.pace_percent != Some(target_percent) {
        PaceDecision::Send
    } else if !run.is_pace_uncertain() {
        PaceDecision::Keep
    } else if now_ms < repeat_at_ms {
        PaceDecision::RepeatAt(repeat_at_ms)
    } else {
        PaceDecision::Send
    }
}

/// Sends pace orders for fillers whose pace differs from that of their host, or may differ because of an earlier order.
pub fn send_filler_pace(world: &mut World, now_ms: u64) {
    if !world.holding.has_permission(now_ms) || now_ms < world.runs.next_pace_check_at_ms {
        return;
    }
    world.runs.next_pace_check_at_ms = now_ms + CHECK_INTERVAL_MS;
    let mut due: Vec<(RunKey, u8)> = Vec::new();
    let mut next_repeat_at_ms = u64::MAX;
    for (key, run) in &world.runs.rows {
        let Some(target_percent) = host_pace_percent(world, run) else { continue };
        match decide_pace(run, target_percent, now_ms) {
            PaceDecision::Keep => {}
            PaceDecision::RepeatAt(at_ms) => next_repeat_at_ms = next_repeat_at_ms.min(at_ms),
            PaceDecision::Send => due.push((key, target_percent)),
        }
    }
    world.wake_by(next_repeat_at_ms);
    for (key, percent) in due {
        let Some(run) = world.runs.rows.get_mut(key) else { continue };
        run.pace_percent = Some(percent);
        run.pace_sent_at_ms = now_ms;
        let (host, order) =
            (run.host, Order::SetPace { run: key, task: run.name, run_number: run.run_number, percent });
        world.send_order(host, order, PACE_ORDER_TIMEOUT_MS, now_ms);
    }
}

/// Returns the pace that a run should have; `None` if it is no filler at work on a host that answers.
fn host_pace_percent(world: &World, run: &Run) -> Option<u8> {
    if run.state != RunState::Running || run.order_in_flight {
        return None;
    }
    let host = world.hosts.get(run.host).filter(|host| host.unresponsive_since_ms.is_none())?;
    let (_, _, spec) = world.jobs.task_context(run.task)?;
    spec.filler.then_some(host.filler_pace_percent)
}

/// What an answer to a pace order calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterPaceAnswer {
    /// The run has the pace of the latest order.
    Keep,
    /// The run may have another pace, so that the present one is sent again.
    SendAgain,
    /// The order may take effect late, so that the present pace is sent again until it can't any more.
    Repeat,
}

/// Decides what an answer to a pace order calls for; `is_latest` says whether no order with another pace followed it.
///
/// Orders may take effect in another order than that of their answers, and one without an answer after later ones. The host
/// refuses it only once it has executed an order under a greater fencing token, which the next one may have.
fn decide_after_pace_answer(
    outcome: &OrderOutcome,
    is_latest: bool,
    is_shut_out_by_next: bool,
) -> AfterPaceAnswer {
    match outcome {
        OrderOutcome::Done { .. } if is_latest => AfterPaceAnswer::Keep,
        OrderOutcome::Done { .. } => AfterPaceAnswer::SendAgain,
        OrderOutcome::Unknown if is_shut_out_by_next => AfterPaceAnswer::SendAgain,
        OrderOutcome::Unknown => AfterPaceAnswer::Repeat,
        OrderOutcome::Refused(RefusalReason::Unwell | RefusalReason::Fence) | OrderOutcome::NotSent(_)
            if is_latest =>
        {
            AfterPaceAnswer::SendAgain
        }
        // The host did nothing, so that the pace of a later order holds, or it no longer has the run.
        OrderOutcome::Refused(_) | OrderOutcome::NotSent(_) => AfterPaceAnswer::Keep,
    }
}

/// Applies an answer to a pace order. If the run may have another pace than its host now, the order is sent again.
pub(crate) fn apply_pace_answer(
    world: &mut World,
    key: RunKey,
    percent: u8,
    completion: &OrderCompletion,
    now_ms: u64,
) {
    let next_fence = world.order_fence(completion.order.host);
    let is_shut_out_by_next = next_fence.is_some_and(|fence| fence > completion.order.fence);
    let Some(run) = world.runs.rows.get_mut(key) else { return };
    let is_latest = run.pace_percent == Some(percent);
    let decision = decide_after_pace_answer(&completion.outcome, is_latest, is_shut_out_by_next);
    if decision == AfterPaceAnswer::Repeat {
        run.expect_late_pace(now_ms);
    }
    let is_known = decision == AfterPaceAnswer::Keep || (decision == AfterPaceAnswer::Repeat && !is_latest);
    if !is_known {
        run.pace_percent = None;
        world.runs.next_pace_check_at_ms = world.runs.next_pace_check_at_ms.max(now_ms + PACE_RETRY_MS);
    }
    if completion.outcome == OrderOutcome::Unknown {
        log_unanswered_pace(world, key, percent, now_ms);
    }
}

fn log_unanswered_pace(world: &mut World, key: RunKey, percent: u8, now_ms: u64) {
    let Some(run) = world.runs.rows.get(key) else { return };
    let log_record =
        LogRecord::new(EventId::PaceUnanswered).with("task", run.name).with("run", run.run_number);
    let host = world.hosts.get(run.host).map_or("", |host| host.entry.name.as_str());
    let log_record = log_record.with("host", host).with("percent", percent);
    world.log(log_record.with("repeat_ms", run.late_pace_until_ms.saturating_sub(now_ms)));
}
