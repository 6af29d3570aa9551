//! Requests advice on which hosts may run a step.
//!
//! The holder spreads the calls over all daemons, since the service serves those of one daemon one after the other.

use std::sync::Arc;

use cassiahoist_accounts::shares::ShareOrder;
use cassiahoist_accounts::usage::{CapDecision, UnseenUse, decide_under_cap};
use cassiahoist_core::prelude::*;
use cassiahoist_world::advice::{AdviceAnswer, AdviceCall, OpenAdviceCall, Ticket};
use cassiahoist_world::config::AdviceCost;
use cassiahoist_world::hosts::HostKey;
use cassiahoist_world::jobs::StepKey;
use cassiahoist_world::peer::PeerMessage;
use cassiahoist_world::prelude::*;
use rustc_hash::FxHashMap;

use crate::selectable::SelectableHosts;

/// Assumed share of queried hosts that the service approves.
///
/// It applies until a queue's own share is known.
pub(crate) const INITIAL_APPROVED_SHARE: f64 = 0.4;

/// Weight of a new answer in a queue's mean share of approved hosts.
const APPROVED_SHARE_WEIGHT: f64 = 0.1;

/// Time before a daemon's calls end at which it gets another, in milliseconds.
const PIPELINE_LEAD_MS: u64 = 10;

/// Time after the expected answer at which another daemon is asked instead, in milliseconds.
const TIMEOUT_SLACK_MS: u64 = 600;

/// Maximum number of calls in flight per daemon.
///
/// The service serves them one after the other.
const MAX_CALLS_PER_MEMBER: usize = 2;

/// Maximum delay of an answer before its daemon gets no further calls, in milliseconds.
///
/// The service still works through calls whose answers nobody waits for any more.
const MAX_OVERDUE_MS: u64 = 40;

/// Time for which an abandoned call still counts as in flight, in milliseconds.
const ABANDONED_CALL_MS: u64 = 2_500;

/// Delay before the next call after a failed or empty answer, in milliseconds.
const ADVICE_RETRY_MS: u64 = 60;

/// Delay before a step that needs no call now is looked at again, in milliseconds.
const RECHECK_DELAY_MS: u64 = 40;

/// Delay of that look for each ready step, in milliseconds.
///
/// It keeps the looks of one second within what the rounds of that second can do, however many steps wait.
const RECHECK_DELAY_PER_STEP_MS: u64 = 1;

/// Minimum time between rounds of requests, in milliseconds.
const MIN_ROUND_INTERVAL_MS: u64 = 4;

/// Maximum number of steps that a round selects hosts for.
///
/// Each selection goes over the hosts of a pool. Without a bound, a backlog of steps would make the holder's ticks so long
/// that it starts ever less, and the backlog would grow further.
const MAX_SELECTIONS_PER_ROUND: u32 = 16;

/// Forwards the holder's calls for advice to the service.
///
/// The answers are sent back to the holder.
pub fn forward_advice_calls(world: &mut World, _now_ms: u64) {
    for (sender, message) in
        world.inbox.take_peer_messages(|message| matches!(message, PeerMessage::AdviceRequest(_)))
    {
        let PeerMessage::AdviceRequest(call) = message else { continue };
        world.emit(Effect::RequestAdvice { call, reply_to: Some(sender.address) });
    }
}

/// Applies answers with advice and abandons late calls.
pub fn apply_advice(world: &mut World, now_ms: u64) {
    for answer in std::mem::take(&mut world.inbox.advice_answers) {
        if let Some(open) = world.advice.open_calls.remove(&answer.call) {
            apply_answer(world, open, answer, now_ms);
        }
    }
    abandon_late_calls(world, now_ms);
}

fn apply_answer(world: &mut World, open: OpenAdviceCall, answer: AdviceAnswer, now_ms: u64) {
    shorten_busy_time(world, &open.member, now_ms);
    world.advice.next_round_at_ms = now_ms;
    let Some(step) = world.jobs.steps.get_mut(open.step) else { return };
    let (job, ready_since_ms) = (step.job, step.ready_since_ms);
    if step.advised_at_ms == 0 && answer.approved.as_ref().is_some_and(|approved| !approved.is_empty()) {
        step.advised_at_ms = now_ms;
    }
    let ends_wait = step.advice.open_call == Some(answer.call);
    if ends_wait {
        step.advice.open_call = None;
    }
    let Some(approved) = answer.approved else {
        let step_name = step.name;
        world.jobs.schedule_advice_call(open.step, now_ms + ADVICE_RETRY_MS);
        let log_record = LogRecord::new(EventId::AdviceFailed).with("step", step_name);
        world.log(log_record.with("member", open.member).with("took_ms", now_ms - open.sent_at_ms));
        return;
    };
    // The answer may have waited on the way and for this tick, so its earliest possible time counts.
    let answered_at_ms = (open.sent_at_ms + answer.took_ms).min(now_ms);
    let expires_at_ms = answered_at_ms + answer.ticket_ms;
    let queried_count = open.hosts.len();
    let mut approved_count = 0_usize;
    for key in open.hosts {
        let Some(host) = world.hosts.get(key) else { continue };
        let host_started_unix_ms = host.entry.started_unix_ms;
        if let Some(approved_host) =
            approved.iter().find(|approved_host| approved_host.host == host.entry.name)
        {
            approved_count += 1;
            let text = Arc::clone(&approved_host.ticket);
            let ticket = Ticket { text, expires_at_ms, host_started_unix_ms };
            world.jobs.approve_host(open.step, key, ticket);
        } else {
            world.jobs.reject_host(open.step, key, host_started_unix_ms);
        }
    }
    if approved_count == 0 {
        world.jobs.schedule_advice_call(open.step, now_ms + ADVICE_RETRY_MS);
    } else if ends_wait {
        world.jobs.schedule_advice_call(open.step, now_ms);
    }
    world.counters.advice_ms.record(now_ms.saturating_sub(ready_since_ms));
    let Some(job) = world.jobs.get(job) else { return };
    let share =
        world.advice.approved_share.entry(job.record.policy.queue.clone()).or_insert(INITIAL_APPROVED_SHARE);
    *share += APPROVED_SHARE_WEIGHT * (approved_count as f64 / queried_count.max(1) as f64 - *share);
}

/// Corrects until when a daemon is busy after an answer that came earlier than expected.
///
/// The service begins the daemon's next call then.
fn shorten_busy_time(world: &mut World, member: &MemberName, now_ms: u64) {
    let remaining_calls = world.advice.open_calls.values().filter(|open| open.member == *member);
    let remaining_end_ms = remaining_calls.map(|open| open.expected_at_ms).max().unwrap_or_default();
    if let Some(busy_until_ms) = world.advice.busy_until_ms.get_mut(member) {
        *busy_until_ms = (*busy_until_ms).min(remaining_end_ms.max(now_ms));
    }
}

/// Releases the steps that wait for late calls, and forgets calls that are very late.
///
/// A tick may come so late that a call is both at once, so steps are released first.
fn abandon_late_calls(world: &mut World, now_ms: u64) {
    let late_calls: Vec<u64> = world
        .advice
        .open_calls
        .iter()
        .filter(|(_, open)| !open.abandoned && now_ms >= open.abandon_at_ms)
        .map(|(call, _)| *call)
        .collect();
    for call in late_calls {
        abandon_call(world, call, now_ms);
    }
    world.advice.open_calls.retain(|_, open| now_ms < open.abandon_at_ms + ABANDONED_CALL_MS);
    let awaited_calls = world.advice.open_calls.values().filter(|open| !open.abandoned);
    if let Some(next_abandon_at_ms) = awaited_calls.map(|open| open.abandon_at_ms).min() {
        world.wake_by(next_abandon_at_ms);
    }
}

/// Lets the step of a call be asked about again.
fn abandon_call(world: &mut World, call: u64, now_ms: u64) {
    let Some(open) = world.advice.open_calls.get_mut(&call) else { return };
    open.abandoned = true;
    let log_record = LogRecord::new(EventId::AdviceFailed).with("member", &open.member).with("call", call);
    let log_record = log_record
        .with("took_ms", now_ms - open.sent_at_ms)
        .with("late_ms", now_ms.saturating_sub(open.abandon_at_ms));
    let step_key = open.step;
    let step_name = world.jobs.steps.get(step_key).map(|step| step.name);
    world.log(match step_name {
        Some(step_name) => log_record.with("step", step_name),
        None => log_record,
    });
    if let Some(step) = world.jobs.steps.get_mut(step_key).filter(|step| step.advice.open_call == Some(call))
    {
        step.advice.open_call = None;
        world.jobs.schedule_advice_call(step_key, now_ms);
    }
}

/// A daemon that may make another call.
#[derive(Debug)]
struct FreeMember {
    name: MemberName,
    /// Number of its calls in flight.
    calls: usize,
    /// When its calls are expected to end, in monotonic milliseconds.
    busy_until_ms: u64,
}

/// Daemons that may make calls in a round of requests.
///
/// They are counted once a round, not for each call.
#[derive(Debug)]
struct FreeMembers {
    rows: Vec<FreeMember>,
}

impl FreeMembers {
    /// Collects the daemons that have fewer than [`MAX_CALLS_PER_MEMBER`] calls in flight, none of them overdue.
    fn collect(world: &World, now_ms: u64) -> Self {
        let mut calls_by_member: FxHashMap<&MemberName, usize> = FxHashMap::default();
        for open in world.advice.open_calls.values() {
            let is_overdue = now_ms > open.expected_at_ms + MAX_OVERDUE_MS;
            let weight = if is_overdue { MAX_CALLS_PER_MEMBER } else { 1 };
            *calls_by_member.entry(&open.member).or_default() += weight;
        }
        let members = world.members.iter().map(|record| &record.incarnation.member);
        let rows = members.map(|name| FreeMember {
            name: name.clone(),
            calls: calls_by_member.get(name).copied().unwrap_or_default(),
            busy_until_ms: world.advice.busy_until_ms.get(name).copied().unwrap_or_default(),
        });
        Self { rows: rows.filter(|row| row.calls < MAX_CALLS_PER_MEMBER).collect() }
    }

    /// Returns the daemon whose calls are expected to end first.
    fn first_free(&self) -> Option<&FreeMember> {
        self.rows.iter().min_by_key(|row| row.busy_until_ms)
    }

    /// Counts a call that a daemon makes until `busy_until_ms`.
    fn count_call(&mut self, member: &MemberName, busy_until_ms: u64) {
        let Some(index) = self.rows.iter().position(|row| row.name == *member) else { return };
        let row = &mut self.rows[index];
        row.calls += 1;
        row.busy_until_ms = busy_until_ms;
        if row.calls >= MAX_CALLS_PER_MEMBER {
            self.rows.swap_remove(index);
        }
    }
}

/// Requests advice for ready steps that lack hosts, the most urgent first.
///
/// A round visits only the steps that are due for a call.
pub fn request_advice(world: &mut World, now_ms: u64) {
    if !world.holding.is_holding() || world.local.is_stopping() || world.jobs.ready.is_empty() {
        return;
    }
    if now_ms < world.advice.next_request_at_ms {
        return world.wake_by(world.advice.next_request_at_ms);
    }
    world.advice.next_request_at_ms = now_ms + MIN_ROUND_INTERVAL_MS;
    world.jobs.advice_queue.release_due(now_ms);
    if let Some(next_due_at_ms) = world.jobs.advice_queue.next_due_at_ms() {
        world.wake_by(next_due_at_ms);
    }
    if world.jobs.advice_queue.first_due().next().is_some() {
        request_due_advice(world, now_ms);
    }
}

/// Selects hosts for the due steps and sends the calls, as many as a round may.
fn request_due_advice(world: &mut World, now_ms: u64) {
    let mut members = FreeMembers::collect(world, now_ms);
    let mut selectable_hosts = None;
    let mut remaining_selections = MAX_SELECTIONS_PER_ROUND;
    let recheck_at_ms =
        now_ms + RECHECK_DELAY_MS.max(world.jobs.ready.len() as u64 * RECHECK_DELAY_PER_STEP_MS);
    let mut order = ShareOrder::new(&world.account_usage, world.jobs.advice_queue.first_due());
    while let Some(turn) = order.take_turn() {
        let (account, position, key) = (turn.account, turn.position, turn.step());
        if let Some(next) = world.jobs.advice_queue.next_due(account, position) {
            order.queue(&world.account_usage, account, next);
        }
        world.counters.steps_visited += 1;
        let Some(cost) = due_call_cost(world, key, now_ms) else {
            world.jobs.advice_queue.remove_due(account, position);
            continue;
        };
        if !may_start_under_cap(world, key) {
            world.jobs.advice_queue.remove_due(account, position);
            world.jobs.schedule_advice_call(key, recheck_at_ms);
            world.wake_by(recheck_at_ms);
            continue;
        }
        if remaining_selections == 0 {
            return world.wake_by(world.advice.next_request_at_ms);
        }
        remaining_selections -= 1;
        let Some(member) = members.first_free() else { return };
        if member.busy_until_ms > now_ms + PIPELINE_LEAD_MS {
            return world.wake_by(member.busy_until_ms - PIPELINE_LEAD_MS);
        }
        let member = member.name.clone();
        world.jobs.advice_queue.remove_due(account, position);
        let selectable_hosts =
            selectable_hosts.get_or_insert_with(|| SelectableHosts::collect(world, now_ms));
        let hosts = world.jobs.steps.get(key).map(|step| selectable_hosts.select_for(world, step, now_ms));
        let hosts = hosts.unwrap_or_default();
        if hosts.is_empty() {
            world.jobs.schedule_advice_call(key, recheck_at_ms);
            world.wake_by(recheck_at_ms);
        } else {
            let busy_until_ms = send_call(world, key, cost, hosts, &member, now_ms);
            members.count_call(&member, busy_until_ms);
        }
    }
}

/// Returns whether the cap of its account lets some task of a step start, as far as the tables show what runs.
fn may_start_under_cap(world: &World, key: StepKey) -> bool {
    let step = world.jobs.steps.get(key).and_then(|step| Some((step, world.jobs.step_spec(step)?)));
    step.is_some_and(|(step, spec)| {
        decide_under_cap(world, step, spec, &UnseenUse::default()) != CapDecision::HeldBack
    })
}

/// Returns the cost of a call for a step; `None` if the step needs none now.
fn due_call_cost(world: &World, key: StepKey, now_ms: u64) -> Option<AdviceCost> {
    let step = world.jobs.steps.get(key)?;
    let may_call = step.advice.open_call.is_none() && now_ms >= step.advice.next_call_at_ms;
    if !may_call || !world.jobs.ready.contains(key) {
        return None;
    }
    world.jobs.get(step.job)?.record.policy.advice
}

/// Sends a call through a daemon, and returns when that daemon's calls are expected to end.
fn send_call(
    world: &mut World,
    key: StepKey,
    cost: AdviceCost,
    hosts: Vec<HostKey>,
    member: &MemberName,
    now_ms: u64,
) -> u64 {
    world.advice.last_call_number += 1;
    let number = world.advice.last_call_number;
    let cost_ms = (cost.call_ms + cost.per_host_ms * hosts.len() as f64).ceil() as u64;
    let busy_until_ms = world.advice.busy_until_ms.entry(member.clone()).or_default();
    *busy_until_ms = (*busy_until_ms).max(now_ms) + cost_ms;
    let busy_until_ms = *busy_until_ms;
    // Answers also wait on the holder's own link and for its ticks, which is not the fault of the daemon that calls.
    let expected_at_ms = busy_until_ms + world.holding.answer_times.latency_allowance_ms();
    let abandon_at_ms = expected_at_ms + TIMEOUT_SLACK_MS;
    let Some(step) = world.jobs.steps.get_mut(key) else { return busy_until_ms };
    step.advice.open_call = Some(number);
    let host_names =
        hosts.iter().filter_map(|host| world.hosts.get(*host)).map(|host| host.entry.name.clone());
    let call = AdviceCall {
        call: number,
        step: step.name,
        hosts: host_names.collect(),
        timeout_ms: abandon_at_ms + ABANDONED_CALL_MS - now_ms,
    };
    world.counters.advice_calls += 1;
    if *member == world.local.incarnation.member {
        world.emit(Effect::RequestAdvice { call, reply_to: None });
    } else if let Some(record) = world.members.get(member) {
        let address = record.peer_address.clone();
        world.emit(Effect::SendPeerMessage { address, message: PeerMessage::AdviceRequest(call) });
    }
    let open = OpenAdviceCall {
        step: key,
        hosts,
        member: member.clone(),
        sent_at_ms: now_ms,
        expected_at_ms,
        abandon_at_ms,
        abandoned: false,
    };
    world.advice.open_calls.insert(number, open);
    world.wake_by(abandon_at_ms);
    busy_until_ms
}
