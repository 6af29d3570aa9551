//! Calls of callers, and jobs and cancellations that peers forward to the holder.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_standins::workload::{Workload, config_json};
use cassiahoist_world::calls::{CallAction, CallAnswer, CallRequest};
use cassiahoist_world::effect::Effect;
use cassiahoist_world::event::Event;
use cassiahoist_world::orders::{Order, RunEnding};
use cassiahoist_world::peer::{PeerMessage, PeerSender};
use cassiahoist_world::record::MemberRecord;
use cassiahoist_world::store::{StoreCall, StoreKey, StoreOp, StorePurpose, StoreReply};

use crate::support::{FENCE, TestDaemon, end, ended_lists, job_record, step, task_name};

#[test]
fn cancelled_tasks_are_stopped_and_never_restarted() {
    let mut holder = TestDaemon::with_running_tasks(1, 2);
    let from = PeerSender { incarnation: "edge-1#1".parse().unwrap(), address: "10.1.0.1:7720".into() };
    holder.receive_event(Event::PeerMessageReceived { from, message: PeerMessage::JobCancelled(JobId(1)) });
    let stops = holder.orders().filter(|order| matches!(order.order, Order::Stop { .. })).count();
    assert_eq!(stops, 2);
    holder.report_lists(
        0,
        ended_lists(vec![
            end(1, &task_name(1, 0, 0), 1, RunEnding::Stopped),
            end(2, &task_name(1, 0, 1), 1, RunEnding::Stopped),
        ]),
    );
    holder.tick(500);
    assert!(holder.starts().is_empty());
}

/// The cancellation arrives before its job; if it were dropped, the job would start.
#[test]
fn cancellation_received_before_its_job_takes_effect() {
    let mut holder = TestDaemon::with_hosts(1);
    let from = PeerSender { incarnation: "edge-1#1".parse().unwrap(), address: "10.1.0.1:7720".into() };
    holder.receive_event(Event::PeerMessageReceived {
        from: from.clone(),
        message: PeerMessage::JobCancelled(JobId(1)),
    });
    holder.receive_event(Event::PeerMessageReceived {
        from,
        message: PeerMessage::JobStored(job_record(1, vec![step(1)])),
    });
    holder.tick(50);
    assert!(holder.starts().is_empty());
}

/// A job recorded under a later claim belongs to a later holder.
#[test]
fn job_recorded_under_a_later_claim_is_ignored() {
    let mut holder = TestDaemon::with_hosts(1);
    let mut later = job_record(1, vec![step(1)]);
    Arc::make_mut(&mut later).claim = Fence(FENCE.0 + 1);
    let from = PeerSender { incarnation: "edge-1#1".parse().unwrap(), address: "10.1.0.1:7720".into() };
    holder.receive_event(Event::PeerMessageReceived { from, message: PeerMessage::JobStored(later) });
    assert!(holder.app.world().jobs.is_empty());
}

/// Puts the first configuration of the simulated workload in force.
fn configure(holder: &mut TestDaemon) {
    let config = cassiahoist_platform::decode_config(config_json(1, Workload::Plain).to_string().as_bytes());
    holder.app.world_mut().config.current = Some(Arc::new(config.unwrap()));
}

/// Submits a job to the queue of short jobs.
fn submit(holder: &mut TestDaemon, call: u64, body: &[u8]) {
    let job = cassiahoist_platform::decode_job(body).unwrap();
    holder.receive_event(Event::CallReceived(CallRequest {
        number: call,
        host_name: "desk.example".into(),
        path: format!("/checks/{}", JobId(call)),
        action: CallAction::Submit(Ok(Box::new(job))),
        body_bytes: body.len(),
        deadline_ms: holder.now_ms + 3_000,
    }));
}

/// Returns the answer to a call in the last tick.
fn answer_to(holder: &TestDaemon, wanted: u64) -> Option<CallAnswer> {
    holder.effects.iter().find_map(|effect| match effect {
        Effect::AnswerCall { call, answer } if *call == wanted => Some(*answer),
        _ => None,
    })
}

const TOO_LARGE: CallAnswer = CallAnswer::Error { kind: ErrorKind::SizeTooLarge, retry_after_ms: None };

#[test]
fn job_larger_than_any_host_is_refused_and_not_stored() {
    let mut holder = TestDaemon::with_hosts(1);
    configure(&mut holder);
    submit(&mut holder, 9, br#"{"steps":[{"count":1,"cpu":8000},{"count":1,"cpu":8001}]}"#);
    assert_eq!(answer_to(&holder, 9), Some(TOO_LARGE));
    assert!(holder.commits(|call| matches!(call.purpose, StorePurpose::StoreJob(_))).is_empty());
    submit(&mut holder, 10, br#"{"steps":[{"count":20,"cpu":8000}]}"#);
    assert_eq!(answer_to(&holder, 10), None);
    assert_eq!(holder.commits(|call| matches!(call.purpose, StorePurpose::StoreJob(_))).len(), 1);
}

#[test]
fn largest_host_size_spreads_by_heartbeat_and_expires() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.app.world_mut().members.insert(
        MemberRecord {
            incarnation: "edge-1#1".parse().unwrap(),
            peer_address: "10.1.0.1:7720".into(),
            domain: FailureDomain::new("obihiro").unwrap(),
            limits: MachineLimits::default(),
        },
        0,
    );
    holder.tick(10);
    let heartbeat = holder.effects.iter().find_map(|effect| match effect {
        Effect::SendPeerMessage { message: message @ PeerMessage::Heartbeat { .. }, .. } => {
            Some(message.clone())
        }
        _ => None,
    });
    let mut standby = TestDaemon::standby();
    configure(&mut standby);
    let large = br#"{"steps":[{"count":1,"cpu":9000}]}"#;
    submit(&mut standby, 8, large);
    assert_eq!(answer_to(&standby, 8), None, "no size of a host has been received yet");
    let from = PeerSender { incarnation: "edge-1#1".parse().unwrap(), address: "10.1.0.1:7720".into() };
    standby.receive_event(Event::PeerMessageReceived { from, message: heartbeat.unwrap() });
    submit(&mut standby, 9, large);
    assert_eq!(answer_to(&standby, 9), Some(TOO_LARGE));
    standby.tick(6_000);
    submit(&mut standby, 10, large);
    assert_eq!(answer_to(&standby, 10), None, "the holder's last heartbeat is too old");
}

#[test]
fn submission_without_store_is_relayed_and_uncertain_on_timeout() {
    let mut holder = TestDaemon::with_hosts(0);
    configure(&mut holder);
    let world = holder.app.world_mut();
    world.members.insert(
        MemberRecord {
            incarnation: "edge-1#1".parse().unwrap(),
            peer_address: "10.1.0.1:7720".into(),
            domain: FailureDomain::new("obihiro").unwrap(),
            limits: MachineLimits::default(),
        },
        0,
    );
    world.store_connection.failing_since_ms = Some(500);
    submit(&mut holder, 9, br#"{"steps":[{"count":1}]}"#);
    let relayed = holder.effects.iter().any(|effect| {
        matches!(effect, Effect::SendPeerMessage { address, message: PeerMessage::RelayRequest { call: 9, .. } }
            if address == "10.1.0.1:7720")
    });
    assert!(relayed, "{:?}", holder.effects);
    assert_eq!(holder.commits(|call| matches!(call.purpose, StorePurpose::StoreJob(_))).len(), 0);
    // The peer doesn't answer. Whether it stored the job is unknown, so no refusal may claim that the job
    // hasn't run.
    for _ in 0..60 {
        holder.tick(100);
        let answer = holder.effects.iter().find_map(|effect| match effect {
            Effect::AnswerCall { call: 9, answer } => Some(*answer),
            _ => None,
        });
        if let Some(answer) = answer {
            assert!(matches!(answer, CallAnswer::Error { kind: ErrorKind::RecordUncertain, .. }));
            return;
        }
    }
    panic!("no answer before the deadline");
}

/// Callers cancel jobs that never arrive.
#[test]
fn cancellations_of_unknown_jobs_are_bounded() {
    let mut holder = TestDaemon::with_hosts(1);
    let from: PeerSender =
        PeerSender { incarnation: "edge-1#1".parse().unwrap(), address: "10.1.0.1:7720".into() };
    for id in 0..6_000 {
        let message = PeerMessage::JobCancelled(JobId(id));
        holder.app.push_event(Event::PeerMessageReceived { from: from.clone(), message });
    }
    holder.tick(1);
    assert_eq!(holder.app.world().jobs.early_cancellations.len(), 4_096);
    holder.tick(25_000);
    holder
        .receive_event(Event::PeerMessageReceived { from, message: PeerMessage::JobCancelled(JobId(9_999)) });
    assert_eq!(holder.app.world().jobs.early_cancellations.len(), 1);
}

/// Two reads of a job's progress are open, since the call was taken up again while the store seemed unresponsive.
///
/// The second answer without progress counted as the one to the read of the job, and the caller was told that an accepted job
/// does not exist.
#[test]
fn repeated_read_of_missing_progress_does_not_deny_the_job() {
    let mut holder = TestDaemon::with_hosts(0);
    configure(&mut holder);
    holder.receive_event(Event::CallReceived(CallRequest {
        number: 9,
        host_name: "desk.example".into(),
        path: format!("/checks/{}", JobId(9)),
        action: CallAction::Query,
        body_bytes: 0,
        deadline_ms: holder.now_ms + 3_000,
    }));
    let reads_progress = |call: &&StoreCall| matches!(call.op, StoreOp::Get(StoreKey::Progress(_)));
    let read = holder.store_calls().find(reads_progress).cloned().unwrap();
    holder.answer_store(read.clone(), Ok(StoreReply::Item(None)));
    assert!(holder.store_calls().any(|call| matches!(call.op, StoreOp::Get(StoreKey::Job(_)))));
    holder.answer_store(read, Ok(StoreReply::Item(None)));
    assert_eq!(answer_to(&holder, 9), None);
}
