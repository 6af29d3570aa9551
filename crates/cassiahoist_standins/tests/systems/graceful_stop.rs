//! Graceful stop of a daemon with calls of callers.

use cassiahoist_core::prelude::*;
use cassiahoist_world::calls::CallAnswer;
use cassiahoist_world::effect::Effect;
use cassiahoist_world::event::Event;
use cassiahoist_world::store::{StorePurpose, StoreReply};

use crate::calls::{answer_to, configure, request_cancellation};
use crate::support::TestDaemon;

/// Lets time pass until an effect is requested, for `limit_ms` at most. Returns the time that passed, in milliseconds.
fn wait_for_effect(daemon: &mut TestDaemon, effect: &Effect, limit_ms: u64) -> Option<u64> {
    let from_ms = daemon.now_ms;
    while daemon.now_ms < from_ms + limit_ms {
        daemon.tick(10);
        if daemon.effects.contains(effect) {
            return Some(daemon.now_ms - from_ms);
        }
    }
    None
}

fn stopping_standby() -> TestDaemon {
    let mut daemon = TestDaemon::standby();
    configure(&mut daemon);
    daemon.receive_event(Event::StopRequested);
    daemon
}

/// A daemon exited while callers went on with requests on open connections; those that it had read were never answered.
#[test]
fn connections_are_closed_before_the_exit() {
    let mut daemon = stopping_standby();
    let serving_ms = wait_for_effect(&mut daemon, &Effect::CloseCallerConnections, 6_000).unwrap();
    assert!((2_900..=3_600).contains(&serving_ms), "{serving_ms}");
    assert!(!daemon.effects.contains(&Effect::Exit));
    let closing_ms = wait_for_effect(&mut daemon, &Effect::Exit, 6_000).unwrap();
    assert!((100..=300).contains(&closing_ms), "{closing_ms}");
}

/// A request that was read just before its connection was closed still gets its answer.
#[test]
fn call_that_arrives_during_the_closing_is_answered_before_the_exit() {
    let mut daemon = stopping_standby();
    wait_for_effect(&mut daemon, &Effect::CloseCallerConnections, 6_000).unwrap();
    daemon.tick(100);
    request_cancellation(&mut daemon, 9, JobId(1));
    let lookup =
        daemon.store_calls().find(|call| call.purpose == StorePurpose::CancelJob(9)).cloned().unwrap();
    assert_eq!(wait_for_effect(&mut daemon, &Effect::Exit, 400), None);
    daemon.answer_store(lookup, Ok(StoreReply::Item(None)));
    let write =
        daemon.store_calls().find(|call| call.purpose == StorePurpose::CancelJob(9)).cloned().unwrap();
    daemon.answer_store(write, Ok(StoreReply::Committed { revision: 70 }));
    assert!(matches!(answer_to(&daemon, 9), Some(CallAnswer::Error { kind: ErrorKind::UnknownJob, .. })));
    assert!(wait_for_effect(&mut daemon, &Effect::Exit, 200).is_some());
}

/// A daemon whose store is away can't release its claim, and still ends within the grace period, connections first.
#[test]
fn exit_comes_in_time_with_a_claim_that_is_not_released() {
    let mut daemon = stopping_standby();
    let from_ms = daemon.now_ms;
    daemon.app.world_mut().holding.apply_event(cassiahoist_world::holding::HoldingEvent::ClaimWon {
        fence: crate::support::FENCE,
        at_ms: 1_000,
    });
    // The release waits for progress that can't be recorded.
    let mut closed_at_ms = None;
    for _ in 0..600 {
        daemon.app.world_mut().store_writes.flush = Some(cassiahoist_world::store_writes::Flush::default());
        daemon.tick(10);
        if daemon.effects.contains(&Effect::CloseCallerConnections) {
            closed_at_ms = Some(daemon.now_ms);
        }
        if daemon.effects.contains(&Effect::Exit) {
            break;
        }
    }
    assert!(daemon.effects.contains(&Effect::Exit));
    assert!(daemon.now_ms <= from_ms + 5_100, "{}", daemon.now_ms - from_ms);
    assert!(closed_at_ms.is_some_and(|at_ms| at_ms < daemon.now_ms));
}
