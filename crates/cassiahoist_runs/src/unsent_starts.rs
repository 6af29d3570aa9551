//! Start orders of gangs that this daemon could not send.
//!
//! Without one member a whole gang would have to be stopped and placed anew, so its order is issued again.

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::Host;
use cassiahoist_world::orders::{HostOrder, Order};
use cassiahoist_world::prelude::*;
use cassiahoist_world::runs::{Run, RunState};
use cassiahoist_world::unsent::UnsentCause;
use cassiahoist_world::unsent_starts::UnsentStart;

use crate::outcome::break_gang;

/// Time from the placement of a gang for which its unsent starts are issued again, in milliseconds.
///
/// Members that have started wait for the others meanwhile.
const MAX_ASSEMBLY_MS: u64 = 1_000;

/// Delay before an unsent start is issued again, in milliseconds.
const REISSUE_DELAY_MS: u64 = 100;

/// What becomes of a run whose start was not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnsentStartDecision {
    /// The start is issued again at this time, in monotonic milliseconds.
    IssueAt(u64),
    /// The run is given up.
    Undo,
}

/// Decides on a run whose start was not sent.
pub(crate) fn decide_unsent_start(
    world: &World,
    run: &Run,
    cause: UnsentCause,
    now_ms: u64,
) -> UnsentStartDecision {
    let may_be_sent = match cause {
        UnsentCause::NoFreeConnection | UnsentCause::LocalResources | UnsentCause::ConnectionClosed => true,
        // With quick answers of other hosts, this one is lost.
        UnsentCause::ConnectTimeout => world.holding.answer_times.is_congested(),
        // After a pause of the process the claim has to be confirmed first.
        UnsentCause::Expired
        | UnsentCause::Unencodable
        | UnsentCause::ConnectFailed
        // Starts of gangs are not relayed.
        | UnsentCause::Relay => false,
    };
    let is_gang = world.jobs.task_context(run.task).is_some_and(|(_, _, spec)| spec.gang);
    let issue_at_ms = now_ms + REISSUE_DELAY_MS;
    if may_be_sent
        && is_gang
        && run.state == RunState::Starting
        && issue_at_ms <= run.start_sent_at_ms + MAX_ASSEMBLY_MS
    {
        UnsentStartDecision::IssueAt(issue_at_ms)
    } else {
        UnsentStartDecision::Undo
    }
}

/// Keeps a start order that was not sent until it is issued again.
pub(crate) fn keep_unsent_start(
    world: &mut World,
    order: &HostOrder,
    cause: UnsentCause,
    issue_at_ms: u64,
    now_ms: u64,
) {
    let Order::Start { task, run_number, .. } = &order.order else { return };
    world.counters.starts_unsent += 1;
    let log_record = LogRecord::new(EventId::StartRefused).with("task", task).with("run", run_number);
    let log_record = log_record.with("host", &order.host_name).with("reason", "None");
    let log_record = log_record.with("cause", format!("{cause:?}"));
    world.log(log_record.with("again_in_ms", issue_at_ms.saturating_sub(now_ms)));
    world.runs.unsent_starts.push(UnsentStart { order: order.clone(), issue_at_ms });
    world.wake_by(issue_at_ms);
}

/// Issues the unsent starts that are due. Those of runs that were given up meanwhile are dropped.
///
/// While the claim is not confirmed they wait; a gang is broken if that takes too long.
pub fn issue_unsent_starts(world: &mut World, now_ms: u64) {
    if world.runs.unsent_starts.is_empty() || !world.holding.is_confirmed_holder(now_ms) {
        return;
    }
    let is_due = |start: &mut UnsentStart| start.issue_at_ms <= now_ms;
    let due: Vec<UnsentStart> = world.runs.unsent_starts.extract_if(.., is_due).collect();
    for start in due {
        issue_start(world, start.order, now_ms);
    }
    if let Some(next_at_ms) = world.runs.unsent_starts.iter().map(|start| start.issue_at_ms).min() {
        world.wake_by(next_at_ms);
    }
}

fn issue_start(world: &mut World, order: HostOrder, now_ms: u64) {
    let Order::Start { run: key, task, run_number, argument, checkpoint, ticket, .. } = order.order else {
        return;
    };
    let Some(run) = world.runs.rows.get_mut(key).filter(|run| run.state == RunState::Starting) else {
        return;
    };
    if now_ms > run.start_sent_at_ms + MAX_ASSEMBLY_MS {
        let task = run.task;
        return break_gang(world, task, run_number, now_ms);
    }
    let (task_key, bounds) = (run.task, world.local.bounds);
    // A restarted host gets no start before its clock is known and the roster lists it again.
    let is_ready = |host: &Host| host.clock_known && host.in_roster;
    if !world.hosts.get(order.host).is_some_and(is_ready) {
        return break_gang(world, task_key, run_number, now_ms);
    }
    if let Some(run) = world.runs.rows.get_mut(key) {
        run.order_in_flight = true;
    }
    let Some(host) = world.hosts.get_mut(order.host) else { return };
    host.lease_end_ms = host.lease_end_ms.max(now_ms + bounds.max_run_lease_ms());
    let lease_until_ms = host.clock_ms(now_ms) + bounds.run_lease_ms;
    let again = Order::Start { run: key, task, run_number, argument, checkpoint, ticket, lease_until_ms };
    world.runs.start_window.count_issued();
    world.runs.start_budget.spend(again.size_bytes());
    world.send_order(order.host, again, order.timeout_ms, now_ms);
}
