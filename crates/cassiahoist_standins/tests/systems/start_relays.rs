//! Start orders that a peer sends while they fill the holder's link, as the holder sees it.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_jobs::insert_job;
use cassiahoist_world::effect::Effect;
use cassiahoist_world::event::Event;
use cassiahoist_world::hosts::Host;
use cassiahoist_world::orders::{Order, RefusalReason};
use cassiahoist_world::peer::{PeerMessage, PeerSender};
use cassiahoist_world::record::MemberRecord;
use cassiahoist_world::runs::{Run, RunState};
use cassiahoist_world::spec::StepSpec;
use cassiahoist_world::start_relay::{RelayedAnswer, RelayedAnswers, RelayedOutcome, StartBatch};

use crate::support::{FENCE, TestDaemon, job_record, step};

/// Bandwidth of the holder's link, in megabits per second.
const LINK_MBPS: u32 = 2;

/// Bytes that the link carries in one millisecond.
const LINK_BYTES_PER_MS: u64 = 250;

/// Length of the argument that each start order carries, in bytes.
const ARGUMENT_BYTES: usize = 3_000;

/// Clock of the peer when the holder's shows 0, in milliseconds.
const PEER_CLOCK_OFFSET_MS: u64 = 70_000;

fn peer(number: u32) -> PeerSender {
    PeerSender {
        incarnation: format!("edge-{number}#9").parse().unwrap(),
        address: format!("10.1.0.{number}:7720"),
    }
}

fn register_peer(holder: &mut TestDaemon, number: u32, link_mbps: u32) {
    let PeerSender { incarnation, address } = peer(number);
    let record = MemberRecord {
        incarnation,
        peer_address: address,
        domain: FailureDomain::new("obihiro").unwrap(),
        limits: MachineLimits { cpu_milli: 100, link_mbps },
    };
    let now_ms = holder.now_ms;
    holder.app.world_mut().members.insert(record, now_ms);
}

/// Creates a holder on a slow link, with hosts for all tasks and a peer on a link as good.
fn holder_with_peer(link_mbps: u32) -> TestDaemon {
    let mut holder = TestDaemon::with_hosts(64);
    holder.app.world_mut().local.limits.link_mbps = link_mbps;
    register_peer(&mut holder, 1, LINK_MBPS);
    holder.tick(4_000);
    holder
}

fn add_job(holder: &mut TestDaemon, id: u64, step: StepSpec) {
    let mut job = job_record(id, vec![step]);
    Arc::make_mut(&mut job).spec.argument = "x".repeat(ARGUMENT_BYTES);
    let now_ms = holder.now_ms;
    insert_job(holder.app.world_mut(), &job, None, now_ms);
}

/// Lists the messages of the last tick with their destinations.
fn messages(holder: &TestDaemon) -> Vec<(String, PeerMessage)> {
    let messages = holder.effects.iter().filter_map(|effect| match effect {
        Effect::SendPeerMessage { address, message } => Some((address.clone(), message.clone())),
        _ => None,
    });
    messages.collect()
}

/// Lists the peers that the last tick asked to relay.
fn requests(holder: &TestDaemon) -> Vec<String> {
    let messages = messages(holder).into_iter();
    let is_request = |message: &PeerMessage| matches!(message, PeerMessage::StartRelayRequest { .. });
    messages.filter(|(_, message)| is_request(message)).map(|(address, _)| address).collect()
}

/// Lists the batches of the last tick.
fn batches(holder: &TestDaemon) -> Vec<StartBatch> {
    let batches = messages(holder).into_iter().filter_map(|(_, message)| match message {
        PeerMessage::StartBatch(batch) => Some(batch),
        _ => None,
    });
    batches.collect()
}

fn answer_as(holder: &mut TestDaemon, number: u32, claim: Fence, answers: Vec<RelayedAnswer>) {
    let clock_ms = PEER_CLOCK_OFFSET_MS + holder.now_ms;
    let message = PeerMessage::RelayedAnswers(RelayedAnswers { claim, clock_ms, answers });
    holder.receive_event(Event::PeerMessageReceived { from: peer(number), message });
}

/// Lets the relay of a batch return the same answer to all its orders.
fn answer(holder: &mut TestDaemon, batch: &StartBatch, outcome: RelayedOutcome) {
    let relay = (1..=3).find(|number| peer(*number).incarnation == batch.relay).unwrap();
    let host_clock_ms = match outcome {
        RelayedOutcome::Started | RelayedOutcome::Refused(_) => Some(holder.now_ms),
        RelayedOutcome::NotSent | RelayedOutcome::Declined | RelayedOutcome::Unknown => None,
    };
    let answers = batch.starts.iter().map(|start| RelayedAnswer { run: start.run, outcome, host_clock_ms });
    answer_as(holder, relay, batch.claim, answers.collect());
}

/// Ticks until a message shows what is wanted, and for at most one second.
fn tick_until<T>(holder: &mut TestDaemon, mut wanted: impl FnMut(&TestDaemon) -> Option<T>) -> T {
    for _ in 0..200 {
        holder.tick(5);
        if let Some(found) = wanted(holder) {
            return found;
        }
    }
    panic!("not seen within a second");
}

/// Creates a holder whose start orders fill its link and whose peer has replied to the request to relay.
fn holder_with_relay() -> TestDaemon {
    let mut holder = holder_with_peer(LINK_MBPS);
    add_job(&mut holder, 1, step(200));
    tick_until(&mut holder, |holder| requests(holder).contains(&peer(1).address).then_some(()));
    answer_as(&mut holder, 1, FENCE, Vec::new());
    holder
}

fn first_batch(holder: &mut TestDaemon) -> StartBatch {
    if let Some(batch) = batches(holder).into_iter().next() {
        return batch;
    }
    tick_until(holder, |holder| batches(holder).into_iter().next())
}

fn runs(holder: &TestDaemon, batch: &StartBatch) -> Vec<Run> {
    let rows = &holder.app.world().runs.rows;
    batch.starts.iter().filter_map(|start| rows.get(start.run)).cloned().collect()
}

fn is_any_host_unresponsive(holder: &TestDaemon) -> bool {
    let hosts = holder.app.world().hosts.iter();
    hosts.map(|(_, host): (_, &Host)| host).any(|host| host.unresponsive_since_ms.is_some())
}

/// A start order carries the argument of its job, up to 4 kB, once for each task. On a link of 2 Mbit/s the holder
/// started 60 tasks a second, more were due, and jobs of the lowest priority never started.
#[test]
fn peer_sends_start_orders_while_they_fill_the_holders_link() {
    let mut holder = holder_with_peer(LINK_MBPS);
    register_peer(&mut holder, 2, LINK_MBPS);
    register_peer(&mut holder, 3, LINK_MBPS);
    holder.tick(1_100);
    add_job(&mut holder, 1, step(400));
    tick_until(&mut holder, |holder| (!requests(holder).is_empty()).then_some(()));
    for number in 1..=3 {
        answer_as(&mut holder, number, FENCE, Vec::new());
    }
    let (mut started_count, mut sent_bytes) = (0, 0);
    for _ in 0..100 {
        holder.tick(5);
        for order in holder.orders().filter(|order| matches!(order.order, Order::Start { .. })) {
            sent_bytes += order.order.size_bytes();
            started_count += 1;
        }
        for batch in batches(&holder) {
            assert_eq!(batch.argument.len(), ARGUMENT_BYTES);
            sent_bytes += serde_json::to_vec(&batch).unwrap().len() as u64;
            started_count += batch.starts.len();
            answer(&mut holder, &batch, RelayedOutcome::Started);
        }
    }
    let greatest_direct_count = LINK_BYTES_PER_MS * 500 / ARGUMENT_BYTES as u64;
    assert!(started_count as u64 > 2 * greatest_direct_count, "only {started_count} starts");
    assert!(sent_bytes < LINK_BYTES_PER_MS * 550, "{sent_bytes} bytes in half a second");
}

/// On a link with room nothing is handed over, and no peer is asked.
#[test]
fn holder_with_room_on_its_link_sends_all_start_orders_itself() {
    let mut holder = holder_with_peer(1_000);
    add_job(&mut holder, 1, step(200));
    for _ in 0..200 {
        holder.tick(5);
        assert_eq!(requests(&holder), Vec::<String>::new());
        assert_eq!(batches(&holder), Vec::new());
    }
}

/// Members of a gang start together or not at all, and one that is lost breaks the whole gang.
#[test]
fn gangs_are_not_relayed() {
    let mut holder = holder_with_relay();
    let batch = first_batch(&mut holder);
    answer(&mut holder, &batch, RelayedOutcome::Started);
    add_job(&mut holder, 2, StepSpec { gang: true, ..step(40) });
    for _ in 0..100 {
        holder.tick(5);
        let gang_starts = batches(&holder).into_iter().filter(|batch| batch.step.job == JobId(2)).count();
        assert_eq!(gang_starts, 0);
    }
}

/// A daemon of an earlier version skips the request. It gets no orders, which it would lose, and another is asked.
#[test]
fn peer_without_a_reply_gets_no_orders() {
    let mut holder = holder_with_peer(LINK_MBPS);
    for number in 2..=4 {
        register_peer(&mut holder, number, LINK_MBPS);
    }
    add_job(&mut holder, 1, step(200));
    let mut asked = Vec::new();
    for _ in 0..400 {
        holder.tick(5);
        holder.confirm_starts();
        asked.extend(requests(&holder));
        assert_eq!(batches(&holder), Vec::new());
    }
    asked.sort_unstable();
    let all: Vec<String> = (1..=4).map(|number| peer(number).address).collect();
    assert_eq!(asked, all);
}

/// The orders of a relay may leave until their timeout, by its own clock, which a message shows too early rather than too
/// late.
#[test]
fn deadline_of_a_batch_is_on_the_clock_of_its_relay() {
    let mut holder = holder_with_relay();
    let batch = first_batch(&mut holder);
    let left_ms = batch.deadline_ms - PEER_CLOCK_OFFSET_MS - holder.now_ms;
    assert!((200..1_000).contains(&left_ms), "{left_ms} ms");
    assert_eq!((batch.relay, batch.claim), (peer(1).incarnation, FENCE));
}

#[test]
fn relayed_start_is_confirmed_by_the_returned_answer() {
    let mut holder = holder_with_relay();
    let batch = first_batch(&mut holder);
    assert!(runs(&holder, &batch).iter().all(|run| run.state == RunState::Starting));
    answer(&mut holder, &batch, RelayedOutcome::Started);
    let runs = runs(&holder, &batch);
    assert_eq!(runs.len(), batch.starts.len());
    assert!(runs.iter().all(|run| run.state == RunState::Running));
}

#[test]
fn relayed_start_that_was_refused_or_not_sent_is_placed_again() {
    let refused = RelayedOutcome::Refused(RefusalReason::Room);
    for outcome in [refused, RelayedOutcome::NotSent, RelayedOutcome::Declined] {
        let mut holder = holder_with_relay();
        let batch = first_batch(&mut holder);
        answer(&mut holder, &batch, outcome);
        assert_eq!(runs(&holder, &batch).len(), 0, "{outcome:?}");
        assert!(!is_any_host_unresponsive(&holder), "{outcome:?}");
    }
}

/// An order or an answer that is lost on the way is the same as an order without an answer: a stop of the same run settles
/// it, and its room stays reserved. That the relay failed says nothing about the hosts.
#[test]
fn lost_relayed_start_is_settled_by_a_stop() {
    for returned in [true, false] {
        let mut holder = holder_with_relay();
        let batch = first_batch(&mut holder);
        if returned {
            answer(&mut holder, &batch, RelayedOutcome::Unknown);
        } else {
            for _ in 0..400 {
                holder.tick(5);
                holder.confirm_starts();
            }
        }
        let runs = runs(&holder, &batch);
        assert_eq!(runs.len(), batch.starts.len());
        assert!(runs.iter().all(|run| run.state == RunState::Unsettled), "{runs:?}");
        assert!(!is_any_host_unresponsive(&holder));
    }
}

/// A relay that was killed or cut off keeps all that it is given.
#[test]
fn relay_that_returns_no_answers_gets_no_further_orders() {
    let mut holder = holder_with_relay();
    let mut last_batch_at_ms = 0;
    let first_batch_at_ms = holder.now_ms;
    for id in 2..40 {
        add_job(&mut holder, id, step(20));
        for _ in 0..20 {
            holder.tick(5);
            holder.confirm_starts();
            if !batches(&holder).is_empty() {
                last_batch_at_ms = holder.now_ms;
            }
        }
    }
    assert!(last_batch_at_ms > 0);
    assert!(last_batch_at_ms < first_batch_at_ms + 600, "{} ms", last_batch_at_ms - first_batch_at_ms);
}

/// A relay that is stopping, or knows a later claim, sends none of its orders, and each was delayed by the detour.
#[test]
fn relay_that_declines_orders_gets_no_further_ones() {
    let mut holder = holder_with_relay();
    let batch = first_batch(&mut holder);
    answer(&mut holder, &batch, RelayedOutcome::Declined);
    for id in 2..20 {
        add_job(&mut holder, id, step(20));
        for _ in 0..20 {
            holder.tick(5);
            holder.confirm_starts();
            assert!(batches(&holder).is_empty(), "a batch {} ms later", holder.now_ms);
        }
    }
}

/// A relay that could not send an order, since a host has left, is still of use for the others.
#[test]
fn relay_that_could_not_send_orders_gets_further_ones() {
    let mut holder = holder_with_relay();
    let batch = first_batch(&mut holder);
    answer(&mut holder, &batch, RelayedOutcome::NotSent);
    add_job(&mut holder, 2, step(20));
    assert_eq!(first_batch(&mut holder).relay, batch.relay);
}

/// A message may arrive twice, and a late one may come from a peer that no longer has the order.
#[test]
fn answers_that_do_not_match_an_open_order_are_ignored() {
    let mut holder = holder_with_relay();
    let batch = first_batch(&mut holder);
    let refused = |batch: &StartBatch| {
        let outcome = RelayedOutcome::Refused(RefusalReason::Old);
        let starts = batch.starts.iter();
        starts
            .map(|start| RelayedAnswer { run: start.run, outcome, host_clock_ms: Some(1) })
            .collect::<Vec<_>>()
    };
    answer_as(&mut holder, 2, FENCE, refused(&batch));
    answer_as(&mut holder, 1, Fence(FENCE.0 - 1), refused(&batch));
    answer(&mut holder, &batch, RelayedOutcome::Started);
    answer_as(&mut holder, 1, FENCE, refused(&batch));
    let runs = runs(&holder, &batch);
    assert_eq!(runs.len(), batch.starts.len());
    assert!(runs.iter().all(|run| run.state == RunState::Running));
}

/// A host that knows a later claim refuses the relay as it would refuse the holder.
#[test]
fn refusal_by_fence_through_a_relay_ends_the_holding() {
    let mut holder = holder_with_relay();
    let batch = first_batch(&mut holder);
    answer(&mut holder, &batch, RelayedOutcome::Refused(RefusalReason::Fence));
    assert!(!holder.app.world().holding.is_holding());
}
