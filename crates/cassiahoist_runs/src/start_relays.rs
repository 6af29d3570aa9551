//! Peers that send start orders for the holder, and the answers that they return.

use std::collections::BTreeMap;

use cassiahoist_core::prelude::*;
use cassiahoist_world::orders::{OrderCompletion, OrderOutcome};
use cassiahoist_world::peer::{PeerMessage, PeerSender};
use cassiahoist_world::prelude::*;
use cassiahoist_world::record::MemberRecord;
use cassiahoist_world::start_relay::{OpenRelayedStart, RelayedAnswers, RelayedOutcome, StartRelay};
use cassiahoist_world::unsent::UnsentCause;

/// Most peers that relay start orders at a time.
///
/// Each opens connections to hosts of its own, of which a host takes few.
const MAX_RELAYS: usize = 3;

/// Time for which relays are kept ready after start orders last filled the link, in milliseconds.
const NEED_MS: u64 = 5_000;

/// Interval between choices of relays, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 250;

/// Shortest time for which a relay must have been registered, in milliseconds.
const MIN_REGISTERED_MS: u64 = 1_000;

/// Age of the measurement of a relay's clock from which it is asked again, in milliseconds.
const MAX_CLOCK_AGE_MS: u64 = 1_000;

/// Time that a peer has for the reply to a request, in milliseconds.
const REPLY_TIMEOUT_MS: u64 = 750;

/// Time for which a peer gets no orders after it left some without an answer, in milliseconds.
const EXCLUSION_MS: u64 = 10_000;

/// Keeps relays ready while start orders fill the link.
pub fn choose_start_relays(world: &mut World, now_ms: u64) {
    if !world.holding.is_confirmed_holder(now_ms) {
        return;
    }
    if world.runs.start_budget.is_heavily_used() {
        world.runs.start_relays.needed_until_ms = now_ms + NEED_MS;
    }
    let table = &world.runs.start_relays;
    if now_ms >= table.needed_until_ms || now_ms < table.next_check_at_ms {
        return;
    }
    world.runs.start_relays.next_check_at_ms = now_ms + CHECK_INTERVAL_MS;
    world.wake_by(now_ms + CHECK_INTERVAL_MS);
    drop_silent_relays(world, now_ms);
    add_relays(world, now_ms);
    ask_relays(world, now_ms);
}

/// Excludes the relays that left a request without a reply, and those whose incarnation has ended.
fn drop_silent_relays(world: &mut World, now_ms: u64) {
    let table = &mut world.runs.start_relays;
    table.excluded_until_ms.retain(|_, until_ms| now_ms < *until_ms);
    let members = &world.members;
    table.relays.retain(|relay| members.registered_at_ms(&relay.incarnation).is_some());
    let is_silent = |relay: &&StartRelay| {
        relay.asked_at_ms.is_some_and(|asked_at_ms| now_ms >= asked_at_ms + REPLY_TIMEOUT_MS)
    };
    let silent: Vec<Incarnation> =
        table.relays.iter().filter(is_silent).map(|relay| relay.incarnation.clone()).collect();
    for relay in silent {
        exclude_relay(world, &relay, 0, now_ms);
    }
}

/// Gives a peer no orders for a while.
fn exclude_relay(world: &mut World, relay: &Incarnation, lost_orders: usize, now_ms: u64) {
    let table = &mut world.runs.start_relays;
    table.relays.retain(|other| other.incarnation != *relay);
    table.excluded_until_ms.insert(relay.clone(), now_ms + EXCLUSION_MS);
    let log_record = LogRecord::new(EventId::StartRelayDropped).with("relay", relay);
    world.log(log_record.with("orders", lost_orders));
}

/// Adds peers with the best links up to the greatest number of relays.
fn add_relays(world: &mut World, now_ms: u64) {
    let missing_count = MAX_RELAYS.saturating_sub(world.runs.start_relays.relays.len());
    if missing_count == 0 {
        return;
    }
    let table = &world.runs.start_relays;
    let own = &world.local;
    let is_candidate = |record: &&MemberRecord| {
        record.limits.link_mbps >= own.limits.link_mbps
            && record.incarnation.member != own.incarnation.member
            && !table.excluded_until_ms.contains_key(&record.incarnation)
            && table.relays.iter().all(|relay| relay.incarnation != record.incarnation)
    };
    let mut candidates: Vec<&MemberRecord> =
        world.members.registered_for(MIN_REGISTERED_MS, now_ms).filter(is_candidate).collect();
    // Messages within a failure domain cost least.
    candidates.sort_unstable_by_key(|record| {
        let is_remote = record.domain != own.domain;
        (std::cmp::Reverse(record.limits.link_mbps), is_remote, &record.incarnation)
    });
    let chosen = candidates.into_iter().take(missing_count);
    let added: Vec<StartRelay> = chosen
        .map(|record| {
            StartRelay::new(record.incarnation.clone(), record.peer_address.clone(), record.limits.link_mbps)
        })
        .collect();
    world.runs.start_relays.relays.extend(added);
}

/// Asks the relays whose clocks are not known well enough.
fn ask_relays(world: &mut World, now_ms: u64) {
    let Some(fence) = world.holding.fence() else { return };
    let is_due = |relay: &&mut StartRelay| {
        relay.asked_at_ms.is_none()
            && relay.clock_age_ms(now_ms).is_none_or(|age_ms| age_ms >= MAX_CLOCK_AGE_MS)
    };
    let mut addresses = Vec::new();
    for relay in world.runs.start_relays.relays.iter_mut().filter(is_due) {
        relay.asked_at_ms = Some(now_ms);
        addresses.push(relay.address.clone());
    }
    for address in addresses {
        let message = PeerMessage::StartRelayRequest { fence };
        world.emit(Effect::SendPeerMessage { address, message });
    }
}

/// Takes the answers that relays returned, as those of the hosts themselves.
///
/// A relay that declines orders gets no more for a while.
pub(crate) fn take_relayed_answers(world: &mut World, now_ms: u64) -> Vec<OrderCompletion> {
    let is_answer = |message: &PeerMessage| matches!(message, PeerMessage::RelayedAnswers(_));
    let mut completions = Vec::new();
    for (sender, message) in world.inbox.take_peer_messages(is_answer) {
        let PeerMessage::RelayedAnswers(answers) = message else { continue };
        record_relay_clock(world, &sender, answers.clock_ms, now_ms);
        take_answers(world, &sender, &answers, now_ms, &mut completions);
    }
    completions
}

fn record_relay_clock(world: &mut World, sender: &PeerSender, clock_ms: u64, now_ms: u64) {
    let relays = &mut world.runs.start_relays.relays;
    if let Some(relay) = relays.iter_mut().find(|relay| relay.incarnation == sender.incarnation) {
        relay.record_clock(clock_ms, now_ms);
    }
}

fn take_answers(
    world: &mut World,
    sender: &PeerSender,
    answers: &RelayedAnswers,
    now_ms: u64,
    completions: &mut Vec<OrderCompletion>,
) {
    let mut declined_count = 0;
    for answer in &answers.answers {
        let open = &mut world.runs.start_relays.open;
        let is_open = open
            .get(&answer.run)
            .is_some_and(|open| open.claim == answers.claim && open.relay == sender.incarnation);
        if !is_open {
            continue;
        }
        let Some(open) = open.remove(&answer.run) else { continue };
        let outcome = match answer.outcome {
            RelayedOutcome::Started => OrderOutcome::Done { lists: None },
            RelayedOutcome::Refused(reason) => OrderOutcome::Refused(reason),
            RelayedOutcome::NotSent | RelayedOutcome::Declined => OrderOutcome::NotSent(UnsentCause::Relay),
            RelayedOutcome::Unknown => OrderOutcome::Unknown,
        };
        declined_count += usize::from(answer.outcome == RelayedOutcome::Declined);
        completions.push(completion(open, outcome, answer.host_clock_ms, now_ms));
    }
    if declined_count > 0 {
        exclude_relay(world, &sender.incarnation, declined_count, now_ms);
    }
}

fn completion(
    open: OpenRelayedStart,
    outcome: OrderOutcome,
    host_clock_ms: Option<u64>,
    now_ms: u64,
) -> OrderCompletion {
    OrderCompletion {
        order: open.order,
        issued_at_ms: open.issued_at_ms,
        host_clock_ms,
        completed_at_ms: now_ms,
        outcome,
    }
}

/// Takes the orders whose answers were not returned in time, as unanswered ones.
///
/// Their relays get no more orders for a while.
pub(crate) fn take_unreturned_starts(world: &mut World, now_ms: u64) -> Vec<OrderCompletion> {
    let table = &mut world.runs.start_relays;
    let Some(first_at_ms) = table.open.values().map(|open| open.expires_at_ms).min() else {
        return Vec::new();
    };
    if now_ms < first_at_ms {
        world.wake_by(first_at_ms);
        return Vec::new();
    }
    let mut expired: Vec<_> = table.open.extract_if(|_, open| now_ms >= open.expires_at_ms).collect();
    // The order of a map is not that of the orders.
    expired.sort_unstable_by_key(|(run, _)| *run);
    let mut orders_by_relay: BTreeMap<Incarnation, usize> = BTreeMap::new();
    for (_, open) in &expired {
        *orders_by_relay.entry(open.relay.clone()).or_default() += 1;
    }
    for (relay, orders) in orders_by_relay {
        exclude_relay(world, &relay, orders, now_ms);
    }
    let unanswered = |(_, open)| completion(open, OrderOutcome::Unknown, None, now_ms);
    expired.into_iter().map(unanswered).collect()
}
