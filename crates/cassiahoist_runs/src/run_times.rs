//! Learns from runs that ended done how long tasks take.

use cassiahoist_world::hosts::{Host, HostKey};
use cassiahoist_world::jobs::TaskKey;
use cassiahoist_world::prelude::*;
use cassiahoist_world::run_times::{FinishedRun, TaskShape, host_deviation};
use cassiahoist_world::runs::Run;
use cassiahoist_world::spec::StepSpec;

/// Learns the run time of a run that ended done.
///
/// A run that resumed from a checkpoint, was inherited, was slowed down on purpose or never ends by itself says nothing about
/// the time of a whole run.
pub(crate) fn record_run_time(world: &mut World, run: &Run, now_ms: u64) {
    let Some((task, step, spec)) = world.jobs.task_context(run.task) else { return };
    let Some(record) = world.jobs.get(step.job).map(|job| &job.record) else { return };
    world.runs.record_run_time(&record.policy.queue, now_ms - run.start_sent_at_ms);
    let Some(host) = world.hosts.get(run.host) else { return };
    let is_whole = !run.adopted && !run.is_resumed && !run.maybe_lost;
    if !is_whole || !has_ordinary_pace(spec, host) {
        return;
    }
    let finished = FinishedRun {
        shape: TaskShape { queue: &record.policy.queue, account: record.account.as_ref(), spec },
        step: &step.run_ratios,
        // All members of a gang end together, at the pace of the slowest host.
        host_kind: host.kind().filter(|_| !spec.gang),
        host_deviation: if spec.gang { 0.0 } else { host.speed.deviation },
        took_ms: run_ms(run, host.lists_clock_ms, now_ms),
    };
    let step_key = task.step;
    let sample = world.run_times.record(&finished);
    // Later ends are those on slow hosts, more than the others.
    if let Some(step) = world.jobs.steps.get_mut(step_key)
        && !step.run_ratios.is_full()
    {
        step.run_ratios.record(sample.step_ratio);
    }
    if let Some(host_ratio) = sample.host_ratio
        && let Some(host) = world.hosts.get_mut(run.host)
    {
        host.speed.run_ratios.record(host_ratio);
        host.speed.last_end_at_ms = now_ms;
        host.speed.deviation = host_deviation(&host.speed.run_ratios);
    }
}

/// Returns whether nothing but the speed of a host decides how long a task of a step runs there.
fn has_ordinary_pace(spec: &StepSpec, host: &Host) -> bool {
    let off_data_rack = spec.data_rack.as_ref().is_some_and(|rack| !host.has_label(rack));
    !off_data_rack && !spec.runs_until_cancelled && !spec.filler && !spec.same_rack
}

/// Returns how long a run of a task is expected to take on a host of this kind, in milliseconds.
///
/// It is 0 until that was learned, and where the progress of a run would not tell how fast its host is.
pub(crate) fn expected_run_ms(world: &World, task: TaskKey, host: HostKey) -> u64 {
    let (Some((_, step, spec)), Some(host)) = (world.jobs.task_context(task), world.hosts.get(host)) else {
        return 0;
    };
    if spec.gang || !has_ordinary_pace(spec, host) {
        return 0;
    }
    let learned = world.step_run_time(step).filter(|estimate| estimate.sample_count > 0);
    learned.map_or(0, |estimate| (estimate.median_ms as f32 * host.speed.kind_factor.exp2()) as u64)
}

/// Returns how long a run took, in milliseconds.
///
/// On the host's clock it lasts from the answer to the start to the list with the end, without the holder's link and queues.
/// If that clock is unknown, it lasts from the holder's notice of the one to its notice of the other.
fn run_ms(run: &Run, lists_clock_ms: u64, now_ms: u64) -> u64 {
    if run.start_clock_ms > 0 && lists_clock_ms > run.start_clock_ms {
        lists_clock_ms - run.start_clock_ms
    } else {
        now_ms - run.confirmed_at_ms
    }
}
