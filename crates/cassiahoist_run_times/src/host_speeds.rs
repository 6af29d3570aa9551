//! Speeds of hosts, from what their runs took and from the progress of those that run.

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::{Host, HostKey, HostSpeed};
use cassiahoist_world::prelude::*;
use cassiahoist_world::run_times::log_ratio;
use cassiahoist_world::runs::{Run, RunState};

/// Interval between updates of the speeds, in milliseconds.
const UPDATE_INTERVAL_MS: u64 = 250;

/// Time without ends after which the own factor of a host is forgotten, in milliseconds.
///
/// A slow host gets little work, so that it is tried again.
const HOST_MEMORY_MS: u64 = 8_000;

/// Breadth of a class of speed, as a binary logarithm of run times.
const CLASS_BREADTH: f32 = 0.32;

/// Shortest time on a host from which the progress of a run counts, in milliseconds.
const MIN_PROGRESS_TIME_MS: u64 = 400;

/// Least factor by which runs on a host have to be slow to show that it is, as a binary logarithm.
const MIN_SLOW_FACTOR: f32 = 1.0;

/// Updates the factors and classes of speed of the engaged hosts.
pub fn update_host_speeds(world: &mut World, now_ms: u64) {
    if !world.holding.is_holding() || now_ms < world.run_times.next_speed_update_at_ms {
        return;
    }
    world.run_times.next_speed_update_at_ms = now_ms + UPDATE_INTERVAL_MS;
    let mut speeds: Vec<(HostKey, HostSpeed)> =
        world.hosts.iter_engaged().map(|(key, host)| (key, updated_speed(world, host, now_ms))).collect();
    let fastest = speeds.iter().map(|(_, speed)| speed.factor).fold(f32::INFINITY, f32::min);
    for (_, speed) in &mut speeds {
        speed.class = ((speed.factor - fastest) / CLASS_BREADTH).round() as u8;
    }
    for (key, speed) in speeds {
        let Some(host) = world.hosts.get_mut(key) else { continue };
        let earlier = std::mem::replace(&mut host.speed, speed);
        if (speed.own_factor == 0.0) != (earlier.own_factor == 0.0) {
            let log_record = LogRecord::new(EventId::HostSpeedChanged).with("host", &host.entry.name);
            let log_record = log_record.with("run_time_percent", (speed.own_factor.exp2() * 100.0).round());
            world.log(log_record.with("ends", speed.run_ratios.sample_count()));
        }
    }
}

fn updated_speed(world: &World, host: &Host, now_ms: u64) -> HostSpeed {
    let mut speed = host.speed;
    if speed.deviation != 0.0 && now_ms > speed.last_end_at_ms + HOST_MEMORY_MS {
        speed.run_ratios.clear();
        speed.deviation = 0.0;
    }
    speed.kind_factor = world.run_times.kind_factor(host.kind().map(AsRef::as_ref));
    let shown_by_progress = slowness_by_progress(world, host);
    speed.own_factor = if shown_by_progress > 0.0 { shown_by_progress } else { speed.deviation };
    speed.factor = speed.kind_factor + speed.own_factor;
    speed
}

/// Returns by how much the present runs of a host are slower than on others of its kind, as a binary logarithm.
///
/// It is 0 unless all runs of several steps show it, since those of one step may all be longer than expected.
fn slowness_by_progress(world: &World, host: &Host) -> f32 {
    let runs = host.runs.iter().filter_map(|run| world.runs.rows.get(*run));
    let judged = runs.filter_map(|run| Some((run.name.step, factor_by_progress(host, run)?)));
    let mut first_step = None;
    let mut has_several_steps = false;
    let mut least_factor = f32::INFINITY;
    for (step, factor) in judged {
        if factor < MIN_SLOW_FACTOR {
            return 0.0;
        }
        has_several_steps |= *first_step.get_or_insert(step) != step;
        least_factor = least_factor.min(factor);
    }
    if has_several_steps { least_factor } else { 0.0 }
}

/// Compares the time that a run will take by its progress with the expected one, as a binary logarithm.
///
/// `None` if its progress says nothing yet.
fn factor_by_progress(host: &Host, run: &Run) -> Option<f32> {
    let ran_ms = host.lists_clock_ms.saturating_sub(run.start_clock_ms);
    let says_enough = run.state == RunState::Running
        && run.start_clock_ms > 0
        && !run.is_resumed
        && run.expected_run_ms > 0
        && ran_ms >= MIN_PROGRESS_TIME_MS;
    if !says_enough {
        return None;
    }
    // Progress is listed in whole percent, so that the next one is not done yet.
    let done_share = (run.progress_percent + 1) as f32 / 100.0;
    Some(log_ratio(ran_ms as f32 / done_share, run.expected_run_ms as f32))
}
