//! Requests advice on which hosts may run a step.
//!
//! The holder spreads the calls over all daemons, since the service serves those of one daemon one after the other.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_world::advice::{AdviceAnswer, AdviceCall, OpenAdviceCall, Ticket};
use cassiahoist_world::config::AdviceCost;
use cassiahoist_world::hosts::HostKey;
use cassiahoist_world::jobs::StepKey;
use cassiahoist_world::peer::PeerMessage;
use cassiahoist_world::prelude::*;
use rustc_hash::FxHashMap;

use crate::order::ready_steps_by_rank;
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
    if let Some(busy_until_ms) = world.advice.busy_until_ms.get_mut(&open.member) {
        *busy_until_ms = (*busy_until_ms).min(now_ms);
    }
    world.advice.next_round_at_ms = now_ms;
    let Some(step) = world.jobs.steps.get_mut(open.step) else { return };
    if step.advice.open_call == Some(answer.call) {
        step.advice.open_call = None;
        step.advice.next_call_at_ms = now_ms;
    }
    let Some(approved) = answer.approved else {
        step.advice.next_call_at_ms = now_ms + ADVICE_RETRY_MS;
        let log_record = LogRecord::new(EventId::AdviceFailed).with("step", step.name);
        world.log(log_record.with("member", open.member).with("took_ms", now_ms - open.sent_at_ms));
        return;
    };
    let expires_at_ms = now_ms + answer.ticket_ms;
    let queried_count = open.hosts.len();
    let mut approved_count = 0_usize;
    for key in open.hosts {
        let Some(host) = world.hosts.get(key) else { continue };
        if let Some(approved_host) =
            approved.iter().find(|approved_host| approved_host.host == host.entry.name)
        {
            approved_count += 1;
            let host_started_unix_ms = host.entry.started_unix_ms;
            let text = Arc::clone(&approved_host.ticket);
            step.advice.approved_hosts.insert(key, Ticket { text, expires_at_ms, host_started_unix_ms });
        } else {
            step.advice.approved_hosts.remove(&key);
            step.advice.rejected_hosts.insert(key);
        }
    }
    if approved_count == 0 {
        step.advice.next_call_at_ms = now_ms + ADVICE_RETRY_MS;
    }
    let (job, ready_since_ms) = (step.job, step.ready_since_ms);
    world.counters.advice_ms.record(now_ms.saturating_sub(ready_since_ms));
    let Some(job) = world.jobs.get(job) else { return };
    let share =
        world.advice.approved_share.entry(job.record.policy.queue.clone()).or_insert(INITIAL_APPROVED_SHARE);
    *share += APPROVED_SHARE_WEIGHT * (approved_count as f64 / queried_count.max(1) as f64 - *share);
}

fn abandon_late_calls(world: &mut World, now_ms: u64) {
    world.advice.open_calls.retain(|_, open| now_ms < open.abandon_at_ms + ABANDONED_CALL_MS);
    let late_calls: Vec<u64> = world
        .advice
        .open_calls
        .iter()
        .filter(|(_, open)| !open.abandoned && now_ms >= open.abandon_at_ms)
        .map(|(call, _)| *call)
        .collect();
    for call in late_calls {
        let Some(open) = world.advice.open_calls.get_mut(&call) else { continue };
        open.abandoned = true;
        let log_record =
            LogRecord::new(EventId::AdviceFailed).with("member", &open.member).with("call", call);
        let log_record = log_record.with("took_ms", now_ms - open.sent_at_ms);
        let step = open.step;
        world.log(log_record);
        if let Some(step) = world.jobs.steps.get_mut(step) {
            step.advice.open_call = None;
            step.advice.next_call_at_ms = now_ms;
        }
    }
    let awaited_calls = world.advice.open_calls.values().filter(|open| !open.abandoned);
    if let Some(next_abandon_at_ms) = awaited_calls.map(|open| open.abandon_at_ms).min() {
        world.wake_by(next_abandon_at_ms);
    }
}

/// Calls in flight by daemon, as a round of requests begins.
#[derive(Debug, Default)]
struct CallsInFlight {
    /// Number of calls of each daemon; [`MAX_CALLS_PER_MEMBER`] if one is overdue.
    by_member: FxHashMap<MemberName, usize>,
}

impl CallsInFlight {
    fn count(world: &World, now_ms: u64) -> Self {
        let mut by_member: FxHashMap<MemberName, usize> = FxHashMap::default();
        for open in world.advice.open_calls.values() {
            let is_overdue = now_ms > open.expected_at_ms + MAX_OVERDUE_MS;
            let weight = if is_overdue { MAX_CALLS_PER_MEMBER } else { 1 };
            *by_member.entry(open.member.clone()).or_default() += weight;
        }
        Self { by_member }
    }

    /// Returns whether a daemon may get another call.
    fn accepts_call(&self, member: &MemberName) -> bool {
        self.by_member.get(member).is_none_or(|calls| *calls < MAX_CALLS_PER_MEMBER)
    }

    fn add(&mut self, member: &MemberName) {
        *self.by_member.entry(member.clone()).or_default() += 1;
    }
}

/// Requests advice for ready steps that lack hosts, the most urgent first.
pub fn request_advice(world: &mut World, now_ms: u64) {
    if !world.holding.is_holding() || world.local.is_stopping() || world.jobs.ready.is_empty() {
        return;
    }
    if now_ms < world.advice.next_request_at_ms {
        return world.wake_by(world.advice.next_request_at_ms);
    }
    world.advice.next_request_at_ms = now_ms + MIN_ROUND_INTERVAL_MS;
    let mut in_flight = CallsInFlight::count(world, now_ms);
    let mut free_member = None;
    let mut selectable_hosts = None;
    let mut remaining_selections = MAX_SELECTIONS_PER_ROUND;
    let recheck_at_ms =
        now_ms + RECHECK_DELAY_MS.max(world.jobs.ready.len() as u64 * RECHECK_DELAY_PER_STEP_MS);
    for key in ready_steps_by_rank(world) {
        let Some(step) = world.jobs.steps.get(key) else { continue };
        let Some(cost) = world.jobs.get(step.job).and_then(|job| job.record.policy.advice) else { continue };
        if step.advice.open_call.is_some() {
            continue;
        }
        if now_ms < step.advice.next_call_at_ms {
            let next_call_at_ms = step.advice.next_call_at_ms;
            world.wake_by(next_call_at_ms);
            continue;
        }
        if remaining_selections == 0 {
            return world.wake_by(world.advice.next_request_at_ms);
        }
        remaining_selections -= 1;
        let Some(member) = free_member.take().or_else(|| next_free_member(world, &in_flight, now_ms)) else {
            return;
        };
        let selectable_hosts =
            selectable_hosts.get_or_insert_with(|| SelectableHosts::collect(world, now_ms));
        let hosts = world.jobs.steps.get(key).map(|step| selectable_hosts.select_for(world, step, now_ms));
        let hosts = hosts.unwrap_or_default();
        if hosts.is_empty() {
            free_member = Some(member);
            if let Some(step) = world.jobs.steps.get_mut(key) {
                step.advice.next_call_at_ms = recheck_at_ms;
            }
            world.wake_by(recheck_at_ms);
        } else {
            in_flight.add(&member);
            send_call(world, key, cost, hosts, member, now_ms);
        }
    }
}

/// Returns the daemon whose calls are expected to end first.
///
/// `None` if every daemon is overdue or has [`MAX_CALLS_PER_MEMBER`] calls in flight. Also `None` if the chosen one is
/// busy; a tick is then scheduled for the time at which it may get the call.
fn next_free_member(world: &mut World, in_flight: &CallsInFlight, now_ms: u64) -> Option<MemberName> {
    let member = world
        .members
        .iter()
        .map(|member| &member.incarnation.member)
        .filter(|name| in_flight.accepts_call(name))
        .min_by_key(|name| world.advice.busy_until_ms.get(*name).copied().unwrap_or_default())?
        .clone();
    let busy_until_ms = world.advice.busy_until_ms.get(&member).copied().unwrap_or_default();
    if busy_until_ms > now_ms + PIPELINE_LEAD_MS {
        world.wake_by(busy_until_ms - PIPELINE_LEAD_MS);
        return None;
    }
    Some(member)
}

fn send_call(
    world: &mut World,
    key: StepKey,
    cost: AdviceCost,
    hosts: Vec<HostKey>,
    member: MemberName,
    now_ms: u64,
) {
    world.advice.last_call_number += 1;
    let number = world.advice.last_call_number;
    let cost_ms = (cost.call_ms + cost.per_host_ms * hosts.len() as f64).ceil() as u64;
    let busy_until_ms = world.advice.busy_until_ms.entry(member.clone()).or_default();
    *busy_until_ms = (*busy_until_ms).max(now_ms) + cost_ms;
    let expected_at_ms = *busy_until_ms;
    let abandon_at_ms = expected_at_ms + TIMEOUT_SLACK_MS;
    let Some(step) = world.jobs.steps.get_mut(key) else { return };
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
    if member == world.local.incarnation.member {
        world.emit(Effect::RequestAdvice { call, reply_to: None });
    } else if let Some(record) = world.members.get(&member) {
        let address = record.peer_address.clone();
        world.emit(Effect::SendPeerMessage { address, message: PeerMessage::AdviceRequest(call) });
    }
    let open = OpenAdviceCall {
        step: key,
        hosts,
        member,
        sent_at_ms: now_ms,
        expected_at_ms,
        abandon_at_ms,
        abandoned: false,
    };
    world.advice.open_calls.insert(number, open);
    world.wake_by(abandon_at_ms);
}
