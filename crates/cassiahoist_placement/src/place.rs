//! Placing waiting tasks on hosts.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_declarations::Packing;
use cassiahoist_runs::{book_run, inherited_may_start};
use cassiahoist_world::hosts::{Host, HostKey};
use cassiahoist_world::jobs::{Step, StepKey, Task, TaskKey, TaskState};
use cassiahoist_world::orders::Order;
use cassiahoist_world::prelude::*;
use cassiahoist_world::runs::RunState;

use crate::choose::{Candidate, choose_host};
use crate::gang::place_gang;
use crate::order::steps_in_order;
use crate::terms::{StepPolicy, StepTerms};

/// How long an order to start may take, in milliseconds.
const START_PATIENCE_MS: u64 = 300;

/// Time kept for a start's way to its host, in milliseconds, before a ticket ends.
pub(crate) const TICKET_MARGIN_MS: u64 = 60;

/// Pause between rounds of placement, in milliseconds.
const ROUND_PAUSE_MS: u64 = 8;

/// Longest pause between rounds while tasks wait, in milliseconds.
const ROUND_LIMIT_MS: u64 = 250;

/// Gives waiting tasks to hosts, most urgent first.
pub fn place_tasks(world: &mut World, now_ms: u64) {
    if !world.holding.is_certain() || world.local.is_stopping() || world.jobs.ready.is_empty() {
        return;
    }
    if now_ms < world.advice.round_next_ms {
        return world.wake_by(world.advice.round_next_ms);
    }
    world.advice.round_next_ms = now_ms + ROUND_PAUSE_MS;
    world.wake_by(now_ms + ROUND_LIMIT_MS);
    let inherited = inherited_may_start(world, now_ms);
    for step in steps_in_order(world) {
        if may_place(world, step, inherited) {
            place_step(world, step, now_ms);
        }
    }
}

fn may_place(world: &World, key: StepKey, inherited_may_start: bool) -> bool {
    world
        .jobs
        .steps
        .get(key)
        .and_then(|step| world.jobs.get(step.job))
        .is_some_and(|job| !job.state.is_final() && (inherited_may_start || !job.inherited))
}

fn place_step(world: &mut World, key: StepKey, now_ms: u64) {
    let Some(step) = world.jobs.steps.get(key) else { return };
    let Some(policy) = StepPolicy::of(world, step) else { return };
    if world.jobs.spec(step).is_some_and(|spec| spec.gang) {
        return place_gang(world, key, &policy, now_ms);
    }
    for task in step.pending.clone() {
        let Some(step) = world.jobs.steps.get(key) else { return };
        let Some(row) = world.jobs.tasks.get(task) else { continue };
        if now_ms < row.not_before_ms {
            let at_ms = row.not_before_ms;
            world.wake_by(at_ms);
            continue;
        }
        let Some(terms) = StepTerms::new(world, step, &policy) else { return };
        if left_of_queue(world, step, &terms) == 0 {
            return;
        }
        let Some(host) = find_host(world, step, &terms, row, now_ms) else {
            // Tasks of a step are alike, so the next one finds no host either.
            return;
        };
        let number = row.last_number + 1;
        start_task(world, task, host, number, now_ms);
    }
}

/// Counts the tasks of a step's queue that may start beside those that run.
pub(crate) fn left_of_queue(world: &World, step: &Step, terms: &StepTerms<'_>) -> u32 {
    let Some(limit) = terms.policy.rules.max_running_tasks else { return u32::MAX };
    let queue = |job| world.jobs.get(job).map(|job| &job.record.policy.queue);
    let own = queue(step.job);
    let running = world.runs.rows.values().filter_map(|run| world.jobs.task_parts(run.task));
    let running = running.filter(|(_, step, _)| queue(step.job) == own).count();
    limit.saturating_sub(running as u32)
}

/// Finds a host for a task.
fn find_host(world: &World, step: &Step, terms: &StepTerms<'_>, task: &Task, now_ms: u64) -> Option<HostKey> {
    let packing = terms.policy.rules.packing.unwrap_or(if terms.spec.lasting {
        Packing::Spread
    } else {
        Packing::Pack
    });
    let candidates = open_hosts(world, step, terms, now_ms)
        .filter(|(key, host)| terms.fits(*key, host) > 0)
        .map(|(key, host)| candidate(world, terms, key, host, task));
    choose_host(candidates, packing)
}

/// Lists the hosts on which tasks of a step may be started now, whether or not they have room.
pub(crate) fn open_hosts<'w>(
    world: &'w World,
    step: &'w Step,
    terms: &'w StepTerms<'_>,
    now_ms: u64,
) -> impl Iterator<Item = (HostKey, &'w Host)> {
    let advised = world.jobs.get(step.job).is_some_and(|job| job.record.policy.advice.is_some());
    world.hosts.iter_engaged().filter(move |(key, host)| {
        host.in_roster
            && host.takes_work(now_ms)
            && terms.suits(host)
            && (!advised || ticket(step, *key, host, now_ms).is_some())
    })
}

/// Gives the ticket of a step for a host, if it is good for a start now.
pub(crate) fn ticket<'s>(step: &'s Step, key: HostKey, host: &Host, now_ms: u64) -> Option<&'s Arc<str>> {
    let ticket = step.advice.good.get(&key)?;
    let good = now_ms + TICKET_MARGIN_MS < ticket.until_ms && ticket.born_unix_ms == host.report.born_unix_ms;
    good.then_some(&ticket.text)
}

fn candidate(world: &World, terms: &StepTerms<'_>, key: HostKey, host: &Host, task: &Task) -> Candidate {
    let far = terms.spec.data_rack.as_ref().is_some_and(|rack| !host.has_label(rack));
    Candidate {
        host: key,
        left: host.room().minus(&terms.booked),
        capacity: host.report.capacity,
        failed_there: task.failed_on.contains(&key),
        far,
        disturbs: disturbs(world, terms, host),
        failures: host.standing.failures,
    }
}

/// Tells whether a task would bring serving tasks and fillers together.
fn disturbs(world: &World, terms: &StepTerms<'_>, host: &Host) -> bool {
    let serves = terms.spec.tail_target_ms.is_some();
    if !serves && !terms.spec.filler {
        return false;
    }
    host.runs.iter().filter_map(|run| world.runs.rows.get(*run)).any(|run| {
        world
            .jobs
            .task_parts(run.task)
            .is_some_and(|(_, _, other)| if serves { other.filler } else { other.tail_target_ms.is_some() })
    })
}

/// Books a run and orders its start.
pub(crate) fn start_task(world: &mut World, task_key: TaskKey, host_key: HostKey, number: u64, now_ms: u64) {
    let Some(host) = world.hosts.get(host_key) else { return };
    let lease_ms = world.local.bounds.run_lease_ms;
    let lease_until_ms = host.clock_ms(now_ms) + lease_ms;
    let Some((task, step, _)) = world.jobs.task_parts(task_key) else { return };
    if task.state != TaskState::Pending {
        return;
    }
    let (name, checkpoint, ready_ms) = (task.name, Arc::clone(&task.checkpoint), step.ready_ms);
    let ticket = ticket(step, host_key, host, now_ms).cloned();
    let Some(job) = world.jobs.get(step.job) else { return };
    let argument: Arc<str> = job.record.spec.argument.as_str().into();
    let host_name = host.report.name.clone();
    let Some(run) = book_run(world, task_key, host_key, number, RunState::Starting, now_ms) else { return };
    if let Some(row) = world.runs.rows.get_mut(run) {
        row.order_in_flight = true;
    }
    if let Some(host) = world.hosts.get_mut(host_key) {
        host.lease_end_ms = host.lease_end_ms.max(now_ms + world.local.bounds.longest_lease_ms());
        host.poll.next_ms = host.poll.next_ms.min(now_ms);
    }
    world.counters.starts += 1;
    world.counters.start_ms.record(now_ms.saturating_sub(ready_ms));
    let note = LogNote::new(EventId::TaskStarted).with("task", name).with("run", number);
    world.log(note.with("host", host_name).with("waited_ms", now_ms.saturating_sub(ready_ms)));
    let order = Order::Start { run, task: name, number, argument, checkpoint, ticket, lease_until_ms };
    world.send_order(host_key, order, START_PATIENCE_MS, now_ms);
}
