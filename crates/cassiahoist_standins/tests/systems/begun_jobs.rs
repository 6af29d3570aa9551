//! When a job has begun: from the first run that a host has begun, and not from the first start order.

use cassiahoist_core::prelude::*;
use cassiahoist_world::effect::Effect;
use cassiahoist_world::jobs::JobKey;
use cassiahoist_world::orders::{HostOrder, Order, OrderOutcome, RefusalReason, RunEnding};
use cassiahoist_world::peer::PeerMessage;
use cassiahoist_world::record::JobState;
use cassiahoist_world::spec::StepSpec;
use cassiahoist_world::unsent::UnsentCause;

use crate::support::{TestDaemon, end, ended_lists, running, running_lists, step, task_name};

const UNBEGUN_OUTCOMES: [OrderOutcome; 6] = [
    OrderOutcome::Refused(RefusalReason::Room),
    OrderOutcome::Refused(RefusalReason::Late),
    OrderOutcome::Refused(RefusalReason::Unwell),
    OrderOutcome::NotSent(UnsentCause::ConnectFailed),
    OrderOutcome::NotSent(UnsentCause::NoFreeConnection),
    OrderOutcome::Unknown,
];

/// Creates a holder of a job of one task whose start order is under way. Returns the order, too.
fn ordered(spec: StepSpec) -> (TestDaemon, JobKey, HostOrder) {
    let mut holder = TestDaemon::with_hosts(1);
    let job = holder.add_job(1, vec![spec]);
    holder.tick(10);
    let start = holder.orders().find(|order| matches!(order.order, Order::Start { .. })).cloned().unwrap();
    (holder, job, start)
}

fn state(holder: &TestDaemon, job: JobKey) -> JobState {
    holder.app.world().jobs.get(job).unwrap().state
}

/// Returns how many queued jobs the holder announces in its next heartbeat.
fn announced_count(holder: &mut TestDaemon) -> u64 {
    let queue = QueueName::new("checks").unwrap();
    holder.add_member(1);
    loop {
        let count = holder.tick(100).iter().find_map(|effect| match effect {
            Effect::SendPeerMessage { message: PeerMessage::Heartbeat { queued_jobs, .. }, .. } => {
                Some(queued_jobs.get(&queue).copied().unwrap_or_default())
            }
            _ => None,
        });
        if let Some(count) = count {
            return count;
        }
    }
}

/// The first start of a job was refused, not sent or left unanswered, and no later one took effect.
///
/// The job counted as begun from then on: it was missing from the number of queued jobs, and callers were told that it runs.
#[test]
fn job_whose_start_failed_stays_queued() {
    for spec in [step(1), StepSpec { runs_until_cancelled: true, ..step(1) }] {
        for outcome in UNBEGUN_OUTCOMES {
            let (mut holder, job, start) = ordered(spec.clone());
            assert_eq!(state(&holder, job), JobState::Queued, "the order is under way");
            let clock_ms = matches!(outcome, OrderOutcome::Refused(_)).then_some(holder.now_ms);
            holder.answer(start, outcome.clone(), clock_ms);
            assert_eq!(state(&holder, job), JobState::Queued, "{outcome:?}");
            assert_eq!(announced_count(&mut holder), 1, "{outcome:?}");
        }
    }
}

/// The only host that can run the job is lost for good.
#[test]
fn jobs_of_a_lost_host_stay_queued() {
    let (mut holder, job, start) = ordered(step(1));
    holder.answer(start, OrderOutcome::Unknown, None);
    for _ in 0..300 {
        let orders: Vec<HostOrder> = holder.orders().cloned().collect();
        holder.tick(50);
        for order in orders {
            holder.answer(order, OrderOutcome::Unknown, None);
        }
    }
    assert_eq!(state(&holder, job), JobState::Queued);
    assert_eq!(announced_count(&mut holder), 1);
}

/// The host began the run, whichever way the holder learns of it.
#[test]
fn job_has_begun_once_a_host_shows_a_run() {
    let task = task_name(1, 0, 0);
    let (mut holder, job, start) = ordered(step(1));
    let clock_ms = holder.now_ms;
    holder.answer(start, OrderOutcome::Done { lists: None }, Some(clock_ms));
    assert_eq!(state(&holder, job), JobState::Running, "its answer");
    assert_eq!(announced_count(&mut holder), 0);

    let (mut holder, job, _) = ordered(step(1));
    holder.report_lists(0, running_lists(vec![running(&task, 1)]));
    assert_eq!(state(&holder, job), JobState::Running, "its lists, before the answer");

    let (mut holder, job, start) = ordered(step(1));
    holder.answer(start, OrderOutcome::Unknown, None);
    holder.report_lists(0, running_lists(vec![running(&task, 1)]));
    assert_eq!(state(&holder, job), JobState::Running, "its lists, after the start was given up");

    for ending in [RunEnding::Failed, RunEnding::Stopped, RunEnding::Lapsed] {
        let (mut holder, job, _) = ordered(step(1));
        holder.report_lists(0, ended_lists(vec![end(1, &task, 1, ending)]));
        assert_eq!(state(&holder, job), JobState::Running, "the end {ending:?}");
    }
}

/// An earlier holder gave the order, so that this one has no row for the run.
#[test]
fn job_has_begun_once_a_host_shows_a_run_of_an_earlier_holder() {
    let task = task_name(1, 0, 0);
    let mut holder = TestDaemon::with_hosts(1);
    let job = holder.add_job(1, vec![step(1)]);
    holder.report_lists(0, running_lists(vec![running(&task, 7)]));
    assert_eq!(state(&holder, job), JobState::Running, "an adopted run");

    for ending in [RunEnding::Failed, RunEnding::Lapsed] {
        let mut holder = TestDaemon::with_hosts(1);
        let job = holder.add_job(1, vec![step(1)]);
        holder.report_lists(0, ended_lists(vec![end(1, &task, 7, ending)]));
        assert_eq!(state(&holder, job), JobState::Running, "the end {ending:?}");
    }

    let (mut holder, job, _) = ordered(step(1));
    holder.report_lists(0, running_lists(vec![running(&task, 7)]));
    assert_eq!(state(&holder, job), JobState::Running, "a run that has to be stopped");
}

/// A job that has begun never counts as queued again, also if its only run was lost.
#[test]
fn begun_job_is_not_queued_again() {
    let (mut holder, job, start) = ordered(step(1));
    let clock_ms = holder.now_ms;
    holder.answer(start, OrderOutcome::Done { lists: None }, Some(clock_ms));
    holder.tick(50);
    holder.report_lists(0, running_lists(Vec::new()));
    holder.tick(50);
    assert_eq!(holder.app.world().runs.rows.values().filter(|run| run.run_number == 1).count(), 0);
    assert_eq!(state(&holder, job), JobState::Running);
}
