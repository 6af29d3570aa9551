//! Advice on which hosts may run a step, asked for by all daemons in turn.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_world::advice::{AdviceAnswer, AdviceCall, OpenCall, Ticket};
use cassiahoist_world::config::AdviceTerms;
use cassiahoist_world::hosts::HostKey;
use cassiahoist_world::jobs::{Step, StepKey};
use cassiahoist_world::peer::PeerMessage;
use cassiahoist_world::prelude::*;

use crate::order::steps_in_order;
use crate::place::ticket;
use crate::terms::{StepPolicy, StepTerms};

/// Most hosts that one call may name.
const MAX_HOSTS: usize = 100;

/// Fewest hosts that a call names if there are that many.
const MIN_HOSTS: usize = 16;

/// Room asked for, as a multiple of what the step needs, since room is taken meanwhile.
const ROOM_FACTOR: f64 = 3.0;

/// Share of hosts taken to be good before a queue's own share is known.
const FIRST_GOOD_SHARE: f64 = 0.4;

/// Weight of a new answer in the learned share of good hosts.
const LEARNING_RATE: f64 = 0.1;

/// How much earlier than its present call's end a daemon is given the next one, in milliseconds.
const PIPELINE_MS: u64 = 10;

/// Time that a call may take beyond its expected time before the step is asked for elsewhere, in milliseconds.
const SLACK_MS: u64 = 600;

/// Calls that one daemon has under way at most; the service serves them one after the other.
const MAX_CALLS_PER_MEMBER: usize = 2;

/// A daemon whose call is late by this much gets no further one, in milliseconds, since the service works through
/// calls that nobody waits for any more.
const OVERDUE_MS: u64 = 40;

/// An abandoned call counts as under way for this long, in milliseconds.
const FORGET_MS: u64 = 2_500;

/// Pause before a step is asked for again after a call failed or found nothing, in milliseconds.
const RETRY_MS: u64 = 60;

/// Calls for advice as peers ask this daemon to.
pub fn relay_advice_calls(world: &mut World, _now_ms: u64) {
    for (from, message) in world.inbox.take_peers(|message| matches!(message, PeerMessage::Advise(_))) {
        let PeerMessage::Advise(call) = message else { continue };
        world.emit(Effect::Advise { call, reply_to: Some(from.address) });
    }
}

/// Takes in advice.
pub fn read_advice(world: &mut World, now_ms: u64) {
    for answer in std::mem::take(&mut world.inbox.advice) {
        if let Some(open) = world.advice.calls.remove(&answer.call) {
            read_answer(world, open, answer, now_ms);
        }
    }
    give_up_calls(world, now_ms);
}

fn read_answer(world: &mut World, open: OpenCall, answer: AdviceAnswer, now_ms: u64) {
    if let Some(busy) = world.advice.busy_until_ms.get_mut(&open.member) {
        *busy = (*busy).min(now_ms);
    }
    world.advice.round_next_ms = now_ms;
    let Some(step) = world.jobs.steps.get_mut(open.step) else { return };
    if step.advice.asked == Some(answer.call) {
        step.advice.asked = None;
        step.advice.next_ms = now_ms;
    }
    let Some(good) = answer.good else {
        step.advice.next_ms = now_ms + RETRY_MS;
        let note = LogNote::new(EventId::AdviceFailed).with("step", step.name);
        world.log(note.with("member", open.member).with("took_ms", now_ms - open.sent_ms));
        return;
    };
    let until_ms = now_ms + answer.ticket_ms;
    let named = open.hosts.len();
    let mut found = 0_usize;
    for host in open.hosts {
        let Some(row) = world.hosts.get(host) else { continue };
        if let Some(row_of) = good.iter().find(|row_of| row_of.host == row.report.name) {
            found += 1;
            let born_unix_ms = row.report.born_unix_ms;
            let text = Arc::clone(&row_of.ticket);
            step.advice.good.insert(host, Ticket { text, until_ms, born_unix_ms });
        } else {
            step.advice.good.remove(&host);
            step.advice.bad.insert(host);
        }
    }
    if found == 0 {
        step.advice.next_ms = now_ms + RETRY_MS;
    }
    let (job, ready_ms) = (step.job, step.ready_ms);
    world.counters.advice_ms.record(now_ms.saturating_sub(ready_ms));
    let Some(job) = world.jobs.get(job) else { return };
    let share = world.advice.good_share.entry(job.record.policy.queue.clone()).or_insert(FIRST_GOOD_SHARE);
    *share += LEARNING_RATE * (found as f64 / named.max(1) as f64 - *share);
}

fn give_up_calls(world: &mut World, now_ms: u64) {
    world.advice.calls.retain(|_, open| now_ms < open.give_up_ms + FORGET_MS);
    let late: Vec<u64> = world
        .advice
        .calls
        .iter()
        .filter(|(_, open)| !open.abandoned && now_ms >= open.give_up_ms)
        .map(|(call, _)| *call)
        .collect();
    for call in late {
        let Some(open) = world.advice.calls.get_mut(&call) else { continue };
        open.abandoned = true;
        let note = LogNote::new(EventId::AdviceFailed).with("member", &open.member).with("call", call);
        let note = note.with("took_ms", now_ms - open.sent_ms);
        let step = open.step;
        world.log(note);
        if let Some(step) = world.jobs.steps.get_mut(step) {
            step.advice.asked = None;
            step.advice.next_ms = now_ms;
        }
    }
    let waiting = world.advice.calls.values().filter(|open| !open.abandoned);
    if let Some(next_ms) = waiting.map(|open| open.give_up_ms).min() {
        world.wake_by(next_ms);
    }
}

/// Tells whether a daemon may be given another call.
fn takes_call(world: &World, member: &MemberName, now_ms: u64) -> bool {
    let mut calls = 0;
    for open in world.advice.calls.values().filter(|open| open.member == *member) {
        calls += 1;
        if now_ms > open.expected_ms + OVERDUE_MS {
            return false;
        }
    }
    calls < MAX_CALLS_PER_MEMBER
}

/// Asks for advice on steps that lack hosts, most urgent first.
pub fn ask_for_advice(world: &mut World, now_ms: u64) {
    if !world.holding.is_holding() || world.local.is_stopping() {
        return;
    }
    for key in steps_in_order(world) {
        let Some(step) = world.jobs.steps.get(key) else { continue };
        let Some(terms) = world.jobs.get(step.job).and_then(|job| job.record.policy.advice) else { continue };
        if step.advice.asked.is_some() {
            continue;
        }
        if now_ms < step.advice.next_ms {
            let next_ms = step.advice.next_ms;
            world.wake_by(next_ms);
            continue;
        }
        let Some(member) = free_member(world, now_ms) else { return };
        let hosts =
            world.jobs.steps.get(key).map(|step| hosts_to_name(world, step, now_ms)).unwrap_or_default();
        if !hosts.is_empty() {
            send_call(world, key, terms, hosts, member, now_ms);
        }
    }
}

/// Finds the daemon whose calls are over first, among those that are on time.
fn free_member(world: &mut World, now_ms: u64) -> Option<MemberName> {
    let member = world
        .members
        .iter()
        .map(|member| &member.incarnation.member)
        .filter(|name| takes_call(world, name, now_ms))
        .min_by_key(|name| world.advice.busy_until_ms.get(*name).copied().unwrap_or_default())?
        .clone();
    let busy_until_ms = world.advice.busy_until_ms.get(&member).copied().unwrap_or_default();
    if busy_until_ms > now_ms + PIPELINE_MS {
        world.wake_by(busy_until_ms - PIPELINE_MS);
        return None;
    }
    Some(member)
}

/// Chooses the hosts that a call names: known good ones first, then those with most room.
fn hosts_to_name(world: &World, step: &Step, now_ms: u64) -> Vec<HostKey> {
    let Some(policy) = StepPolicy::of(world, step) else { return Vec::new() };
    let Some(terms) = StepTerms::new(world, step, &policy) else { return Vec::new() };
    let queue = world.jobs.get(step.job).map(|job| &job.record.policy.queue);
    let share =
        queue.and_then(|queue| world.advice.good_share.get(queue)).copied().unwrap_or(FIRST_GOOD_SHARE);
    let mut wanted = step.pending.len() as f64 * ROOM_FACTOR;
    let mut named = Vec::new();
    for (key, host) in world.hosts.iter_engaged() {
        let open = host.in_roster && host.takes_work(now_ms) && terms.suits(host);
        if !open || step.advice.bad.contains(&key) {
            continue;
        }
        let fits = terms.fits(key, host);
        if ticket(step, key, host, now_ms).is_some() {
            wanted -= f64::from(fits.min(step.pending.len() as u32));
        } else if fits > 0 {
            named.push((!step.advice.good.contains_key(&key), u32::MAX - fits, key));
        }
    }
    if wanted <= 0.0 {
        return Vec::new();
    }
    named.sort_unstable();
    let mut hosts = Vec::new();
    for (unknown, fits_inverse, key) in named {
        if hosts.len() >= MAX_HOSTS || (wanted <= 0.0 && hosts.len() >= MIN_HOSTS) {
            break;
        }
        let fits = f64::from((u32::MAX - fits_inverse).min(step.pending.len() as u32));
        wanted -= if unknown { fits * share } else { fits };
        hosts.push(key);
    }
    hosts
}

fn send_call(
    world: &mut World,
    key: StepKey,
    terms: AdviceTerms,
    hosts: Vec<HostKey>,
    member: MemberName,
    now_ms: u64,
) {
    world.advice.last_call += 1;
    let number = world.advice.last_call;
    let took_ms = (terms.call_ms + terms.per_host_ms * hosts.len() as f64).ceil() as u64;
    let busy = world.advice.busy_until_ms.entry(member.clone()).or_default();
    *busy = (*busy).max(now_ms) + took_ms;
    let expected_ms = *busy;
    let give_up_ms = expected_ms + SLACK_MS;
    let Some(step) = world.jobs.steps.get_mut(key) else { return };
    step.advice.asked = Some(number);
    let names = hosts.iter().filter_map(|host| world.hosts.get(*host)).map(|host| host.report.name.clone());
    let call = AdviceCall {
        call: number,
        step: step.name,
        hosts: names.collect(),
        patience_ms: give_up_ms + FORGET_MS - now_ms,
    };
    world.counters.advice_calls += 1;
    if member == world.local.incarnation.member {
        world.emit(Effect::Advise { call, reply_to: None });
    } else if let Some(record) = world.members.get(&member) {
        let address = record.peer_address.clone();
        world.emit(Effect::Peer { address, message: PeerMessage::Advise(call) });
    }
    let open =
        OpenCall { step: key, hosts, member, sent_ms: now_ms, expected_ms, give_up_ms, abandoned: false };
    world.advice.calls.insert(number, open);
    world.wake_by(give_up_ms);
}
