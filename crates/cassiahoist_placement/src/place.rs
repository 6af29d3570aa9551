//! Places pending tasks on hosts and orders their start.

use std::sync::Arc;

use cassiahoist_accounts::shares::ShareOrder;
use cassiahoist_accounts::usage::{CapDecision, UnseenUse, decide_under_cap, record_held_back};
use cassiahoist_core::prelude::*;
use cassiahoist_declarations::Packing;
use cassiahoist_runs::{InheritedStarts, decide_inherited_starts, reserve_run};
use cassiahoist_world::advice::Ticket;
use cassiahoist_world::hosts::{Host, HostKey};
use cassiahoist_world::jobs::{Step, StepKey, Task, TaskKey, TaskState};
use cassiahoist_world::orders::Order;
use cassiahoist_world::prelude::*;
use cassiahoist_world::runs::RunState;

use crate::choose::{Candidate, choose_candidate};
use crate::gang::place_gang;
use crate::isolation::Isolation;
use crate::requirements::{StepPolicy, StepRequirements};
use crate::room_bounds::{LeastNeed, RoomBounds};
use crate::start_route::StartRoute;

/// Time reserved to deliver a start order before its ticket expires, in milliseconds.
const TICKET_MARGIN_MS: u64 = 60;

/// Time for which a completed task shows that its host works, in milliseconds.
///
/// Where many hosts begin to fail at a time, most have failed nothing yet when a failed task runs again.
const PROVEN_MS: u64 = 600;

/// Cost of losing a run for which its job waits, as a multiple of that of another run.
const WAITING_RUN_COST: u32 = 8;

/// Time after a start that may crash its host for which no other job gets the host, in milliseconds.
const UNPROVEN_MS: u64 = 100;

/// Minimum time between rounds of placement, in milliseconds.
///
/// An answer with advice starts a round at once.
const MIN_ROUND_INTERVAL_MS: u64 = 8;

/// Maximum time between rounds of placement while steps are ready, in milliseconds.
const MAX_ROUND_INTERVAL_MS: u64 = 250;

/// Starts pending tasks on hosts, those of the most urgent steps first.
///
/// Does nothing while the daemon is stopping or not certain to hold the slice.
pub fn place_tasks(world: &mut World, now_ms: u64) {
    if !world.holding.is_confirmed_holder(now_ms) || world.local.is_stopping() || world.jobs.ready.is_empty()
    {
        return;
    }
    if now_ms < world.advice.next_round_at_ms {
        return world.wake_by(world.advice.next_round_at_ms);
    }
    world.advice.next_round_at_ms = now_ms + MIN_ROUND_INTERVAL_MS;
    world.wake_by(now_ms + MAX_ROUND_INTERVAL_MS);
    world.runs.start_budget.refill(world.local.limits.link_mbps, now_ms);
    let mut admission = admit_starts(world);
    if admission == StartAdmission::Open {
        admission = place_ready_steps(world, now_ms);
    }
    if let StartAdmission::AfterRefill { wait_ms } = admission {
        world.wake_by(now_ms + wait_ms);
    }
}

/// Places ready steps, those of accounts in turn, until all were visited or no more start orders may be issued.
fn place_ready_steps(world: &mut World, now_ms: u64) -> StartAdmission {
    let mut bounds = RoomBounds::collect(world, now_ms);
    world.account_usage.capacity = bounds.capacity();
    let inherited_starts = decide_inherited_starts(world, now_ms);
    let unseen = match inherited_starts {
        InheritedStarts::All => UnseenUse::default(),
        InheritedStarts::No | InheritedStarts::ExceptOnSilentHosts => UnseenUse::collect(world),
    };
    let mut order = ShareOrder::new(&world.account_usage, world.jobs.ready.first_placeable());
    while let Some(turn) = order.take_turn() {
        world.counters.steps_visited += 1;
        if may_place(world, turn.step(), inherited_starts) {
            place_step_within(world, &mut bounds, &unseen, turn.step(), now_ms);
            let admission = admit_starts(world);
            if admission != StartAdmission::Open {
                return admission;
            }
        }
        if let Some(next) = world.jobs.ready.next_placeable(turn.account, turn.position) {
            order.queue(&world.account_usage, turn.account, next);
        }
    }
    StartAdmission::Open
}

/// Whether start orders may be issued now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StartAdmission {
    /// They may.
    Open,
    /// Too many are open. The next answer to one begins another round.
    AfterAnswer,
    /// The link carries no more now.
    AfterRefill {
        /// Time until it does, in milliseconds.
        wait_ms: u64,
    },
}

fn admit_starts(world: &World) -> StartAdmission {
    if world.runs.start_window.available() == 0 {
        return StartAdmission::AfterAnswer;
    }
    let budget = world.runs.start_budget;
    if budget.is_exhausted() {
        return StartAdmission::AfterRefill { wait_ms: budget.refill_time_ms(world.local.limits.link_mbps) };
    }
    StartAdmission::Open
}

/// Places a step, unless it fits on no host as far as this round has shown.
fn place_step_within(
    world: &mut World,
    bounds: &mut RoomBounds,
    unseen: &UnseenUse,
    key: StepKey,
    now_ms: u64,
) {
    let Some(step) = world.jobs.steps.get(key) else { return };
    let (Some(spec), Some(pool)) = (world.jobs.step_spec(step), world.pool_of(step)) else { return };
    let most_tasks = match decide_under_cap(world, step, spec, unseen) {
        CapDecision::Start { most } => most,
        CapDecision::HeldBack => return record_held_back(world, key, unseen, now_ms),
    };
    let need = LeastNeed::of_step(spec, step.tasks.len());
    if !bounds.may_fit(pool, &need) {
        return;
    }
    let needs_advice = world.jobs.get(step.job).is_some_and(|job| job.record.policy.advice.is_some());
    if needs_advice && !bounds.may_fit_on(step.advice.approved_hosts.keys().copied(), &need) {
        return;
    }
    let Some(policy) = StepPolicy::for_step(world, step) else { return };
    let is_limited_per_host = spec.max_per_host.is_some() || policy.rules.max_tasks_per_host.is_some();
    let outcome = place_step(world, key, &policy, most_tasks, now_ms);
    world.counters.host_searches += u64::from(outcome != SearchOutcome::NotSearched);
    // A limit per host and missing tickets leave room that other steps may use.
    if outcome == SearchOutcome::NoRoom && !is_limited_per_host && !needs_advice {
        bounds.record_unmet(&policy.pool, need);
    }
}

/// Returns whether tasks of a step may start on some host, as far as its own row and its job show.
fn may_place(world: &World, key: StepKey, inherited_starts: InheritedStarts) -> bool {
    world.jobs.steps.get(key).and_then(|step| Some((step, world.jobs.get(step.job)?))).is_some_and(
        |(step, job)| {
            let lacks_advice = job.record.policy.advice.is_some() && step.advice.approved_hosts.is_empty();
            let may_start = !job.inherited
                || match inherited_starts {
                    InheritedStarts::No => false,
                    InheritedStarts::ExceptOnSilentHosts => {
                        !world.holding.loading.silent_jobs.contains(&job.record.id)
                    }
                    InheritedStarts::All => true,
                };
            // Without a configuration the cap of the account is unknown.
            let is_cap_known = job.record.account.is_none() || world.config.current.is_some();
            !lacks_advice && !job.state.is_final() && may_start && is_cap_known
        },
    )
}

/// What the search for the hosts of a step has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SearchOutcome {
    /// No hosts were compared.
    NotSearched,
    /// The step fits on no host that it may use now.
    NoRoom,
    /// There is room on some host.
    HasRoom,
}

fn place_step(
    world: &mut World,
    key: StepKey,
    policy: &StepPolicy,
    most_tasks: u32,
    now_ms: u64,
) -> SearchOutcome {
    let Some(step) = world.jobs.steps.get(key) else { return SearchOutcome::NotSearched };
    if world.jobs.step_spec(step).is_some_and(|spec| spec.gang) {
        return place_gang(world, key, policy, now_ms);
    }
    let Some(requirements) = StepRequirements::new(world, step, policy) else {
        return SearchOutcome::NotSearched;
    };
    let room = PlacementRoom::find(world, step, &requirements, now_ms);
    if room.candidates.is_empty() {
        return SearchOutcome::NoRoom;
    }
    let packing = requirements.packing();
    let remaining_tasks = remaining_queue_tasks(world, step, &requirements)
        .min(world.runs.start_window.available())
        .min(most_tasks);
    place_pending_tasks(world, key, room, packing, remaining_tasks, now_ms);
    SearchOutcome::HasRoom
}

/// Returns whether tasks of the step's queue may crash their hosts.
fn is_cautious(world: &World, step: &Step, now_ms: u64) -> bool {
    let queue = world.jobs.get(step.job).map(|job| &job.record.policy.queue);
    let until_ms = queue.and_then(|queue| world.runs.cautious_until_ms.get(queue));
    until_ms.is_some_and(|until_ms| now_ms < *until_ms)
}

/// Starts the pending tasks of a step, as many as its room and its queue allow.
fn place_pending_tasks(
    world: &mut World,
    key: StepKey,
    mut room: PlacementRoom,
    packing: Packing,
    mut remaining_tasks: u32,
    now_ms: u64,
) {
    let Some(pending_tasks) = world.jobs.steps.get(key).map(|step| step.pending_tasks.clone()) else {
        return;
    };
    let mut isolation = Isolation::for_tasks(world, key, &pending_tasks);
    let mut unvisited_count = pending_tasks.len();
    let mut route = StartRoute::choose(world, key, unvisited_count.min(remaining_tasks as usize), now_ms);
    for task_key in pending_tasks {
        if room.candidates.is_empty() || remaining_tasks == 0 {
            break;
        }
        if route.is_full(world) {
            std::mem::take(&mut route).finish(world, now_ms);
            if world.runs.start_budget.is_exhausted() {
                break;
            }
            route = StartRoute::choose(world, key, unvisited_count.min(remaining_tasks as usize), now_ms);
        }
        unvisited_count -= 1;
        let Some(task) = world.jobs.tasks.get(task_key) else { continue };
        if now_ms < task.not_before_ms {
            let not_before_ms = task.not_before_ms;
            world.wake_by(not_before_ms);
            continue;
        }
        let is_suspect = task.crashes.is_suspect();
        let position = match &mut isolation {
            Some(isolation) if is_suspect => isolation.choose(world, &room, task, now_ms),
            _ => room.choose(world, task, packing),
        };
        let Some(position) = position else { continue };
        let run_number = task.last_run_number + 1;
        let host = if is_suspect { room.take_whole(position) } else { room.take(position) };
        start_task(world, task_key, host, run_number, &mut route, now_ms);
        remaining_tasks -= 1;
    }
    route.finish(world, now_ms);
}

/// Hosts on which a step may start tasks in this round, with their free places.
#[derive(Debug)]
pub(crate) struct PlacementRoom {
    /// Candidates, each with the number of tasks that still fit.
    pub candidates: Vec<(Candidate, u32)>,
    /// Resources that one task reserves.
    task_size: Resources,
}

impl PlacementRoom {
    fn find(world: &World, step: &Step, requirements: &StepRequirements<'_>, now_ms: u64) -> Self {
        let is_cautious = is_cautious(world, step, now_ms);
        let candidates = startable_hosts(world, step, requirements, now_ms)
            .map(|(key, host)| (key, host, requirements.tasks_that_fit(host)))
            .filter(|(_, _, fitting_tasks)| *fitting_tasks > 0)
            .map(|(key, host, fitting_tasks)| {
                (build_candidate(world, requirements, key, host, is_cautious, now_ms), fitting_tasks)
            });
        Self { candidates: candidates.collect(), task_size: requirements.reserved_resources }
    }

    /// Returns the position of the best candidate for a task.
    fn choose(&self, world: &World, task: &Task, packing: Packing) -> Option<usize> {
        let is_last_attempt = is_last_attempt(world, task);
        let for_task = |(position, (candidate, _)): (usize, &(Candidate, u32))| {
            let failed_before = task.failed_hosts.contains(&candidate.host);
            let unproven = candidate.unproven && is_last_attempt;
            (!has_copy_on(world, task, candidate.host))
                .then_some((position, Candidate { failed_before, unproven, ..*candidate }))
        };
        choose_candidate(self.candidates.iter().enumerate().filter_map(for_task), packing)
    }

    /// Takes all places of a candidate and returns its host.
    fn take_whole(&mut self, position: usize) -> HostKey {
        self.candidates.swap_remove(position).0.host
    }

    /// Takes one place of a candidate and returns its host.
    fn take(&mut self, position: usize) -> HostKey {
        let (candidate, fitting_tasks) = &mut self.candidates[position];
        candidate.remaining = candidate.remaining.saturating_sub(&self.task_size);
        *fitting_tasks -= 1;
        let (host, is_full) = (candidate.host, *fitting_tasks == 0);
        if is_full {
            self.candidates.swap_remove(position);
        }
        host
    }
}

/// Returns how many more tasks of the queue may run; `u32::MAX` without a maximum.
pub(crate) fn remaining_queue_tasks(world: &World, step: &Step, requirements: &StepRequirements<'_>) -> u32 {
    let Some(maximum) = requirements.policy.rules.max_running_tasks else { return u32::MAX };
    let queue_of = |job| world.jobs.get(job).map(|job| &job.record.policy.queue);
    let own_queue = queue_of(step.job);
    let running_tasks = world.runs.rows.values().filter_map(|run| world.jobs.task_context(run.task));
    let running_count = running_tasks.filter(|(_, step, _)| queue_of(step.job) == own_queue).count();
    maximum.saturating_sub(running_count as u32)
}

/// Iterates over the hosts on which the step may start tasks now.
///
/// Free resources are not considered. A host has to be in the roster and to accept work; for a queue with advice it
/// also needs a valid ticket.
pub(crate) fn startable_hosts<'w>(
    world: &'w World,
    step: &'w Step,
    requirements: &'w StepRequirements<'_>,
    now_ms: u64,
) -> impl Iterator<Item = (HostKey, &'w Host)> {
    let needs_ticket = world.jobs.get(step.job).is_some_and(|job| job.record.policy.advice.is_some());
    // Approved hosts are few, so the others need not be visited.
    let approved_hosts = needs_ticket.then(|| step.advice.approved_hosts.keys().copied());
    let approved_hosts =
        approved_hosts.into_iter().flatten().filter_map(|key| Some((key, world.hosts.get(key)?)));
    let all_hosts = (!needs_ticket).then(|| world.hosts.iter_engaged());
    all_hosts.into_iter().flatten().chain(approved_hosts).filter(move |(key, host)| {
        host.in_roster
            && host.accepts_new_runs(now_ms)
            && !host.is_unproven_for(requirements.step.job, now_ms)
            && requirements.is_eligible(host)
            && (!needs_ticket || valid_ticket(step, *key, host, now_ms).is_some())
    })
}

/// Returns the text of the step's ticket for a host.
///
/// `None` without a ticket that is valid for a start now. A ticket is valid only for the incarnation of the host for
/// which it was issued.
pub(crate) fn valid_ticket<'s>(
    step: &'s Step,
    key: HostKey,
    host: &Host,
    now_ms: u64,
) -> Option<&'s Arc<str>> {
    let ticket = step.advice.approved_hosts.get(&key)?;
    is_ticket_valid(ticket, host.entry.started_unix_ms, now_ms).then_some(&ticket.text)
}

/// Returns whether a ticket is valid for a start now on the incarnation of a host that started at a Unix time.
pub(crate) fn is_ticket_valid(ticket: &Ticket, host_started_unix_ms: u64, now_ms: u64) -> bool {
    now_ms + TICKET_MARGIN_MS < ticket.expires_at_ms && ticket.host_started_unix_ms == host_started_unix_ms
}

/// Returns whether the task failed before and its next failure fails its job.
fn is_last_attempt(world: &World, task: &Task) -> bool {
    let step = world.jobs.steps.get(task.step);
    let job = step.and_then(|step| world.jobs.get(step.job));
    let failures = task.failed_runs.len() as u32;
    failures > 0 && job.is_some_and(|job| failures + 1 >= job.record.policy.max_attempts)
}

/// Returns whether an earlier run of the task may still exist on the host.
pub(crate) fn has_copy_on(world: &World, task: &Task, host: HostKey) -> bool {
    let mut copies = task.detached_runs.iter().filter_map(|run| world.runs.rows.get(*run));
    copies.any(|run| run.host == host)
}

fn build_candidate(
    world: &World,
    requirements: &StepRequirements<'_>,
    key: HostKey,
    host: &Host,
    is_cautious: bool,
    now_ms: u64,
) -> Candidate {
    let off_data_rack = requirements.spec.data_rack.as_ref().is_some_and(|rack| !host.has_label(rack));
    Candidate {
        host: key,
        remaining: host.free_resources().saturating_sub(&requirements.reserved_resources),
        capacity: host.entry.capacity,
        failed_before: false,
        unproven: now_ms > host.standing.last_done_at_ms + PROVEN_MS,
        off_data_rack,
        would_interfere: would_interfere(world, requirements, host),
        failures: host.standing.failures,
        loss_cost: if is_cautious { loss_cost(world, host, requirements.step) } else { 0 },
        speed_penalty: requirements.speed_preference.penalty(host.speed.class),
    }
}

/// Returns what the loss of a host would cost other jobs than that of a step.
///
/// A run counts for more if its job waits for it and its step allows no copies, since its task waits until the loss is
/// certain.
pub(crate) fn loss_cost(world: &World, host: &Host, step: StepName) -> u32 {
    let runs = host.runs.iter().filter_map(|run| world.runs.rows.get(*run));
    let others = runs.filter(|run| run.name.step.job != step.job);
    let waits = |task| {
        let context = world.jobs.task_context(task);
        context.is_some_and(|(_, _, spec)| !spec.runs_until_cancelled && (spec.gang || !spec.allows_copies))
    };
    others.map(|run| if waits(run.task) { WAITING_RUN_COST } else { 1 }).sum()
}

/// Returns whether serving tasks and fillers would share the host.
///
/// A serving task has a target for its tail latency. On a shared host fillers are slowed down, so that it meets the
/// target.
fn would_interfere(world: &World, requirements: &StepRequirements<'_>, host: &Host) -> bool {
    let is_serving = requirements.spec.tail_target_ms.is_some();
    if !is_serving && !requirements.spec.filler {
        return false;
    }
    host.runs.iter().filter_map(|run| world.runs.rows.get(*run)).any(|run| {
        world.jobs.task_context(run.task).is_some_and(|(_, _, other_spec)| {
            if is_serving { other_spec.filler } else { other_spec.tail_target_ms.is_some() }
        })
    })
}

/// Reserves a run and orders its start, if the task is pending.
pub(crate) fn start_task(
    world: &mut World,
    task_key: TaskKey,
    host_key: HostKey,
    run_number: u64,
    route: &mut StartRoute,
    now_ms: u64,
) {
    let Some(host) = world.hosts.get(host_key) else { return };
    let lease_ms = world.local.bounds.run_lease_ms;
    let lease_until_ms = host.clock_ms(now_ms) + lease_ms;
    let Some((task, step, _)) = world.jobs.task_context(task_key) else { return };
    if task.state != TaskState::Pending {
        return;
    }
    let (name, checkpoint, ready_since_ms) = (task.name, Arc::clone(&task.checkpoint), step.ready_since_ms);
    let ticket = valid_ticket(step, host_key, host, now_ms).cloned();
    let is_cautious = is_cautious(world, step, now_ms);
    let Some(job) = world.jobs.get(step.job) else { return };
    let argument: Arc<str> = job.record.spec.argument.as_str().into();
    let host_name = host.entry.name.clone();
    let Some(run) = reserve_run(world, task_key, host_key, run_number, RunState::Starting, now_ms) else {
        return;
    };
    if let Some(run) = world.runs.rows.get_mut(run) {
        run.order_in_flight = true;
    }
    if let Some(host) = world.hosts.get_mut(host_key) {
        host.last_start_at_ms = now_ms;
        if is_cautious {
            host.unproven = Some((name.step.job, now_ms + UNPROVEN_MS));
        }
        host.lease_end_ms = host.lease_end_ms.max(now_ms + world.local.bounds.max_run_lease_ms());
        host.poll.next_ms = host.poll.next_ms.min(now_ms);
    }
    world.counters.starts += 1;
    world.runs.start_window.count_issued();
    world.counters.start_ms.record(now_ms.saturating_sub(ready_since_ms));
    let log_record = LogRecord::new(EventId::TaskStarted).with("task", name).with("run", run_number);
    let log_record =
        log_record.with("host", host_name).with("waited_ms", now_ms.saturating_sub(ready_since_ms));
    world.log(match route.relay() {
        Some(relay) => log_record.with("relay", relay),
        None => log_record,
    });
    let order = Order::Start { run, task: name, run_number, argument, checkpoint, ticket, lease_until_ms };
    route.add(world, host_key, order, now_ms);
}
