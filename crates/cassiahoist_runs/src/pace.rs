//! Pace of fillers that share a host with serving tasks.
//!
//! A filler runs on processor time that other tasks leave. Its pace is the share of time that it gets; it is reduced
//! while the tail latency of a serving task on the host is close to its target.

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::HostKey;
use cassiahoist_world::orders::{Order, OrderOutcome, RefusalReason};
use cassiahoist_world::prelude::*;
use cassiahoist_world::runs::{RunKey, RunState};

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

/// Sends pace orders for fillers whose pace differs from that of their host.
pub fn send_filler_pace(world: &mut World, now_ms: u64) {
    if !world.holding.has_permission(now_ms) || now_ms < world.runs.next_pace_check_at_ms {
        return;
    }
    world.runs.next_pace_check_at_ms = now_ms + CHECK_INTERVAL_MS;
    let due: Vec<(RunKey, u8)> = world
        .runs
        .rows
        .iter()
        .filter(|(_, run)| run.state == RunState::Running && !run.order_in_flight)
        .filter_map(|(key, run)| {
            let host = world.hosts.get(run.host).filter(|host| host.unresponsive_since_ms.is_none())?;
            let (_, _, spec) = world.jobs.task_context(run.task)?;
            let target_percent = host.filler_pace_percent;
            (spec.filler && run.pace_percent != Some(target_percent)).then_some((key, target_percent))
        })
        .collect();
    for (key, percent) in due {
        let Some(run) = world.runs.rows.get_mut(key) else { continue };
        run.pace_percent = Some(percent);
        let (host, order) =
            (run.host, Order::SetPace { run: key, task: run.name, run_number: run.run_number, percent });
        world.send_order(host, order, PACE_ORDER_TIMEOUT_MS, now_ms);
    }
}

/// Marks the pace of a run as unknown if the order to set it may not have taken effect. It is then sent again.
pub(crate) fn apply_pace_answer(
    world: &mut World,
    key: RunKey,
    percent: u8,
    outcome: &OrderOutcome,
    now_ms: u64,
) {
    match outcome {
        OrderOutcome::Refused(RefusalReason::Unwell) | OrderOutcome::NotSent(_) | OrderOutcome::Unknown => {}
        OrderOutcome::Done { .. } | OrderOutcome::Refused(_) => return,
    }
    let Some(run) = world.runs.rows.get_mut(key) else { return };
    // A later order may have set another pace.
    if run.pace_percent == Some(percent) {
        run.pace_percent = None;
        world.runs.next_pace_check_at_ms = world.runs.next_pace_check_at_ms.max(now_ms + PACE_RETRY_MS);
    }
}
