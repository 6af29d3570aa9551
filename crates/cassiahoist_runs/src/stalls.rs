//! Detection of runs that make no progress.

use cassiahoist_world::jobs::StepState;
use cassiahoist_world::prelude::*;
use cassiahoist_world::runs::{Run, RunKey, RunState, StopReason};

use crate::health::record_failure;
use crate::lifecycle::stop_run;
use crate::poll::POLL_WAIT_MS;

/// Shortest time without progress after which a run is stopped, in milliseconds.
///
/// A run whose earlier progress was slower gets more time, see [`STALL_FACTOR`].
const MIN_STALL_TIMEOUT_MS: u64 = 1_300;

/// Age of a host's lists from which its runs are not judged, in milliseconds.
///
/// Polls that are held for [`POLL_WAIT_MS`] keep the lists younger. Answers to other orders report no progress.
const MAX_LISTS_AGE_MS: u64 = POLL_WAIT_MS + 100;

/// Bounds on the time until a run reports its first progress, in milliseconds.
///
/// Within them the timeout is the mean run time of the queue. It is the upper bound if that is unknown.
const FIRST_PROGRESS_TIMEOUT_MS: std::ops::RangeInclusive<u64> = 1_000..=2_500;

/// Interval between checks for stalled runs, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 100;

/// Stall timeout, as a multiple of a run's mean time per percent of progress.
const STALL_FACTOR: u64 = 8;

/// Returns for how long a run has made no progress, in milliseconds.
///
/// Lists that arrive late, as on a full link, tell less than the time of their arrival suggests. So the time between the
/// lists on the host's own clock bounds it.
fn idle_ms(world: &World, run: &Run, now_ms: u64) -> u64 {
    let by_arrival_ms = now_ms.saturating_sub(run.last_progress_at_ms);
    let Some(host) = world.hosts.get(run.host) else { return by_arrival_ms };
    if run.progress_clock_ms == 0 || host.lists_clock_ms == 0 {
        return by_arrival_ms;
    }
    let lists_age_ms = now_ms.saturating_sub(host.lists_received_at_ms);
    by_arrival_ms.min((host.lists_clock_ms + lists_age_ms).saturating_sub(run.progress_clock_ms))
}

/// Returns whether a run has made no progress for longer than its stall timeout.
fn is_stalled(world: &World, run: &Run, now_ms: u64) -> bool {
    let idle_ms = idle_ms(world, run, now_ms);
    if run.progress_percent == 0 {
        let mean_run_ms = world.mean_run_ms(run.task).unwrap_or(*FIRST_PROGRESS_TIMEOUT_MS.end());
        let timeout_ms =
            mean_run_ms.clamp(*FIRST_PROGRESS_TIMEOUT_MS.start(), *FIRST_PROGRESS_TIMEOUT_MS.end());
        return run.state == RunState::Running && idle_ms >= timeout_ms;
    }
    let progress_time_ms = run.last_progress_at_ms.saturating_sub(run.confirmed_at_ms);
    let ms_per_percent = progress_time_ms / u64::from(run.progress_percent.max(1));
    run.state == RunState::Running && idle_ms >= MIN_STALL_TIMEOUT_MS.max(ms_per_percent * STALL_FACTOR)
}

/// Stops stalled runs, so that their tasks run on other hosts.
pub fn stop_stalled_runs(world: &mut World, now_ms: u64) {
    if !world.holding.is_holding() || now_ms < world.runs.next_stall_check_at_ms {
        return;
    }
    world.runs.next_stall_check_at_ms = now_ms + CHECK_INTERVAL_MS;
    let stalled: Vec<RunKey> = world
        .runs
        .rows
        .iter()
        .filter(|(_, run)| is_stalled(world, run, now_ms))
        .filter(|(_, run)| expects_progress(world, run, now_ms))
        .map(|(key, _)| key)
        .collect();
    for key in stalled {
        let Some(run) = world.runs.rows.get(key) else { continue };
        let (host, task) = (run.host, run.task);
        stop_run(world, key, StopReason::Stalled, now_ms);
        record_failure(world, host, task, now_ms);
    }
}

/// Returns whether a run should be progressing.
///
/// Missing reports of its host, ends that its host keeps back, a gang that is still starting, a serving task, a filler and a
/// paused run explain a lack of progress, so none of them counts as a stall.
fn expects_progress(world: &World, run: &Run, now_ms: u64) -> bool {
    let Some((_, step, spec)) = world.jobs.task_context(run.task) else { return false };
    // Answers to other orders report no progress, however often a slow holder sends them between two polls.
    let is_reported = run.listed_by_host
        && world.hosts.get(run.host).is_some_and(|host| {
            host.unresponsive_since_ms.is_none()
                && !host.has_unread_ends
                && now_ms < host.lists_received_at_ms + MAX_LISTS_AGE_MS
        });
    let gang_starting = spec.gang && run.progress_percent == 0;
    let serving = spec.runs_until_cancelled && run.progress_percent >= 100;
    is_reported
        && !gang_starting
        && !serving
        && !spec.filler
        && run.pace_percent != Some(0)
        && step.state == StepState::Ready
}
