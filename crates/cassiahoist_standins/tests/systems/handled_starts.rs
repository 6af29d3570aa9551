//! Start orders that a daemon sends to hosts for the holder.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_world::effect::Effect;
use cassiahoist_world::event::Event;
use cassiahoist_world::keys::RunKey;
use cassiahoist_world::orders::{HostOrder, Order, OrderOutcome, RefusalReason};
use cassiahoist_world::peer::{PeerMessage, PeerSender};
use cassiahoist_world::record::ClaimRecord;
use cassiahoist_world::start_relay::{BatchedStart, RelayedAnswers, RelayedOutcome, StartBatch};
use cassiahoist_world::unsent::UnsentCause;
use slotmap::KeyData;

use crate::support::{FENCE, TestDaemon};

/// Time that the orders of a batch have, in milliseconds.
const TIMEOUT_MS: u64 = 300;

fn holder() -> PeerSender {
    PeerSender { incarnation: "edge-7#3".parse().unwrap(), address: "10.1.0.7:7720".into() }
}

/// Creates a daemon that knows the claim of the holder.
fn relay() -> TestDaemon {
    let mut relay = TestDaemon::standby();
    let claim = ClaimRecord { holder: holder().incarnation, peer_address: holder().address, term: 4 };
    relay.app.world_mut().holding.claim = Some((claim, FENCE.0));
    relay.app.world_mut().holding.greatest_fence = FENCE;
    relay.tick(1);
    relay
}

fn batched_start(number: u64) -> BatchedStart {
    BatchedStart {
        run: RunKey::from(KeyData::from_ffi((1 << 32) + number)),
        host_name: HostName::new(&format!("i-{number}")).unwrap(),
        address: format!("10.9.0.{number}:80").into(),
        fence: Fence(FENCE.0 + number - 1),
        task_index: number as u32,
        run_number: 5,
        lease_until_ms: 9_000,
        checkpoint: "c".into(),
        ticket: Some("t".into()),
    }
}

fn batch(relay: &TestDaemon) -> StartBatch {
    StartBatch {
        relay: relay.app.world().local.incarnation.clone(),
        claim: FENCE,
        deadline_ms: relay.now_ms + TIMEOUT_MS,
        step: "00000000000000aa.0.1".parse().unwrap(),
        argument: Arc::from("payload"),
        starts: vec![batched_start(1), batched_start(2)],
    }
}

fn receive(relay: &mut TestDaemon, message: PeerMessage) {
    relay.receive_event(Event::PeerMessageReceived { from: holder(), message });
}

fn sent_orders(relay: &TestDaemon) -> Vec<HostOrder> {
    relay.orders().cloned().collect()
}

/// Ticks until answers are returned, and for at most 50 ms. `None` if none were.
fn returned(relay: &mut TestDaemon) -> Option<RelayedAnswers> {
    for _ in 0..10 {
        let answers = relay.effects.iter().find_map(|effect| match effect {
            Effect::SendPeerMessage { address, message: PeerMessage::RelayedAnswers(answers) } => {
                assert_eq!(*address, holder().address);
                Some(answers.clone())
            }
            _ => None,
        });
        if answers.is_some() {
            return answers;
        }
        relay.tick(5);
    }
    None
}

fn returned_outcomes(relay: &mut TestDaemon) -> Vec<RelayedOutcome> {
    let answers = returned(relay).map(|answers| answers.answers).unwrap_or_default();
    answers.iter().map(|answer| answer.outcome).collect()
}

#[test]
fn request_is_answered_with_the_own_clock() {
    let mut relay = relay();
    receive(&mut relay, PeerMessage::StartRelayRequest { fence: FENCE });
    let answers = returned(&mut relay).unwrap();
    assert_eq!((answers.claim, answers.clock_ms, answers.answers.len()), (FENCE, relay.now_ms, 0));
}

#[test]
fn orders_are_sent_unchanged() {
    let mut relay = relay();
    let batch = batch(&relay);
    receive(&mut relay, PeerMessage::StartBatch(batch));
    let orders = sent_orders(&relay);
    assert_eq!(orders.len(), 2);
    let order = &orders[1];
    assert_eq!(
        (order.host_name.as_str(), order.address.as_str(), order.fence),
        ("i-2", "10.9.0.2:80", Fence(FENCE.0 + 1))
    );
    assert!(order.timeout_ms <= TIMEOUT_MS);
    let Order::Start { run, task, run_number, argument, checkpoint, ticket, lease_until_ms } = &order.order
    else {
        panic!("not a start order");
    };
    assert_eq!(*run, batched_start(2).run);
    assert_eq!((task.to_string(), *run_number), ("00000000000000aa.0.1.2".to_owned(), 5));
    assert_eq!((&**argument, &**checkpoint, ticket.as_deref()), ("payload", "c", Some("t")));
    assert_eq!(*lease_until_ms, 9_000);
}

#[test]
fn answers_of_hosts_are_returned_together() {
    let mut relay = relay();
    let batch = batch(&relay);
    receive(&mut relay, PeerMessage::StartBatch(batch));
    let orders = sent_orders(&relay);
    relay.tick(20);
    let now_ms = relay.now_ms;
    relay.app.world_mut().handled_starts.next_return_at_ms = now_ms + 10;
    relay.answer(orders[0].clone(), OrderOutcome::Done { lists: None }, Some(4_000));
    relay.answer(orders[1].clone(), OrderOutcome::Refused(RefusalReason::Room), Some(4_100));
    let answers = returned(&mut relay).unwrap();
    let rows: Vec<_> = answers.answers.iter().map(|answer| (answer.outcome, answer.host_clock_ms)).collect();
    let refused = RelayedOutcome::Refused(RefusalReason::Room);
    assert_eq!(rows, [(RelayedOutcome::Started, Some(4_000)), (refused, Some(4_100))]);
}

/// The relay had no connection or no descriptor, or could not reach the host.
#[test]
fn failures_to_send_are_returned_as_not_sent() {
    for cause in [UnsentCause::NoFreeConnection, UnsentCause::ConnectFailed, UnsentCause::Expired] {
        let mut relay = relay();
        let batch = batch(&relay);
        receive(&mut relay, PeerMessage::StartBatch(batch));
        let orders = sent_orders(&relay);
        relay.answer(orders[0].clone(), OrderOutcome::NotSent(cause), None);
        assert_eq!(returned_outcomes(&mut relay), [RelayedOutcome::NotSent], "{cause:?}");
    }
}

/// The relay was paused, and by the time that it reads the batch another daemon may hold the slice. A restarted host
/// would not know its fence.
#[test]
fn batch_whose_time_has_passed_is_not_sent() {
    let mut relay = relay();
    let batch = batch(&relay);
    relay.tick(TIMEOUT_MS);
    receive(&mut relay, PeerMessage::StartBatch(batch));
    assert_eq!(sent_orders(&relay), Vec::new());
    assert_eq!(returned_outcomes(&mut relay), [RelayedOutcome::Declined; 2]);
}

/// A deadline on the clock of an earlier incarnation says nothing about that of the present one.
#[test]
fn batch_for_an_earlier_incarnation_is_ignored() {
    let mut relay = relay();
    let batch = StartBatch { relay: "edge-0#0".parse().unwrap(), ..batch(&relay) };
    receive(&mut relay, PeerMessage::StartBatch(batch));
    assert_eq!(sent_orders(&relay), Vec::new());
    assert_eq!(returned(&mut relay), None);
}

#[test]
fn batch_under_another_claim_is_not_sent() {
    for (known_fence, known_holder) in
        [(FENCE.0 + 3, "edge-7#3"), (FENCE.0 - 3, "edge-7#3"), (FENCE.0, "edge-7#2")]
    {
        let mut relay = relay();
        let claim =
            ClaimRecord { holder: known_holder.parse().unwrap(), peer_address: holder().address, term: 5 };
        relay.app.world_mut().holding.claim = Some((claim, known_fence));
        let batch = batch(&relay);
        receive(&mut relay, PeerMessage::StartRelayRequest { fence: FENCE });
        assert_eq!(returned(&mut relay), None, "{known_fence} {known_holder}");
        receive(&mut relay, PeerMessage::StartBatch(batch));
        assert_eq!(sent_orders(&relay), Vec::new(), "{known_fence} {known_holder}");
    }
}

/// A host refuses an order from before its restart, and one of an earlier holder. Only the present holder can tell which.
#[test]
fn refusal_by_fence_is_returned_under_the_claim_of_the_batch() {
    let mut relay = relay();
    let batch = batch(&relay);
    receive(&mut relay, PeerMessage::StartBatch(batch));
    let orders = sent_orders(&relay);
    let greatest_fence = relay.app.world().holding.greatest_fence;
    relay.answer(orders[1].clone(), OrderOutcome::Refused(RefusalReason::Fence), Some(4_000));
    let answers = returned(&mut relay).unwrap();
    assert_eq!(answers.claim, FENCE);
    assert_eq!(answers.answers[0].outcome, RelayedOutcome::Refused(RefusalReason::Fence));
    assert_eq!(relay.app.world().holding.greatest_fence, greatest_fence);
}

/// A heartbeat shows a later claim before the store does.
#[test]
fn nothing_is_sent_once_a_greater_fence_is_known() {
    let mut relay = relay();
    relay.app.world_mut().holding.greatest_fence = Fence(FENCE.0 + 9);
    let batch = batch(&relay);
    receive(&mut relay, PeerMessage::StartBatch(batch));
    assert_eq!(sent_orders(&relay), Vec::new());
}

/// A delivery that was not acknowledged is sent again. A run that has ended meanwhile would be refused as old, and would
/// count as never started.
#[test]
fn batch_that_arrives_twice_is_sent_once() {
    let mut relay = relay();
    let batch = batch(&relay);
    receive(&mut relay, PeerMessage::StartBatch(batch.clone()));
    receive(&mut relay, PeerMessage::StartBatch(batch.clone()));
    assert_eq!(sent_orders(&relay), Vec::new());
    relay.tick(TIMEOUT_MS);
    receive(&mut relay, PeerMessage::StartBatch(batch));
    assert_eq!(sent_orders(&relay), Vec::new());
    assert_eq!(returned(&mut relay), None);
}
