//! Runs that make no progress, and runs of which the holder has heard nothing new.

use cassiahoist_core::prelude::*;
use cassiahoist_world::effect::Effect;
use cassiahoist_world::orders::{Order, OrderOutcome, RunReport};

use crate::support::{TestDaemon, running, running_lists, step, task_name};

/// Clock of the host at the start, in milliseconds. [`TestDaemon::confirm_starts`] answers with it.
const START_CLOCK_MS: u64 = 2_000;

/// Longer than a run may take until it reports its first progress, in milliseconds.
const LONG_MS: u64 = 2_600;

fn report(progress_percent: u32) -> RunReport {
    RunReport { progress_percent, ..running(&task_name(1, 0, 0), 1) }
}

/// Runs two ticks, the second after the next check for stalled runs, and returns whether a run was stopped as stalled.
fn stops_stalled_run(holder: &mut TestDaemon) -> bool {
    (0..2).any(|_| {
        holder.tick(101).iter().any(|effect| match effect {
            Effect::WriteLog(log_record) => {
                log_record.event == EventId::RunStopped
                    && log_record.fields.contains(&("reason", "Stalled".into()))
            }
            _ => false,
        })
    })
}

#[test]
fn run_without_progress_is_stopped() {
    let mut holder = TestDaemon::with_running_tasks(1, 1);
    holder.tick(LONG_MS);
    holder.report_lists_at(0, running_lists(vec![report(0)]), START_CLOCK_MS + LONG_MS);
    assert!(stops_stalled_run(&mut holder));
}

/// The link of a holder was full, so that lists came late; it stopped 1,000 healthy runs in a day.
///
/// Answers to start orders, which are short, showed it the host as responsive.
#[test]
fn run_is_not_judged_without_recent_lists() {
    let mut holder = TestDaemon::with_running_tasks(1, 1);
    holder.report_lists_at(0, running_lists(vec![report(0)]), START_CLOCK_MS + 10);
    holder.add_job(2, vec![step(1)]);
    holder.tick(10);
    let other = holder.orders().find(|order| matches!(order.order, Order::Start { .. })).cloned().unwrap();
    holder.tick(LONG_MS);
    holder.answer(other, OrderOutcome::Done { lists: None }, Some(START_CLOCK_MS + LONG_MS));
    assert!(!stops_stalled_run(&mut holder));
}

/// A list that was made soon after the start arrives when the run should have made progress long ago.
#[test]
fn late_list_without_progress_stops_no_run() {
    let mut holder = TestDaemon::with_running_tasks(1, 1);
    holder.tick(LONG_MS);
    holder.report_lists_at(0, running_lists(vec![report(0)]), START_CLOCK_MS + 100);
    assert!(!stops_stalled_run(&mut holder));
    // The next list is a recent one, and shows that the run hangs.
    holder.report_lists_at(0, running_lists(vec![report(0)]), START_CLOCK_MS + LONG_MS);
    assert!(stops_stalled_run(&mut holder));
}
