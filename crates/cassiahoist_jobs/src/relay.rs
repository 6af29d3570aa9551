//! Relays calls to peers while the store fails for this daemon.
//!
//! The store may still serve others: the peer makes the store calls and returns the answer.

use std::sync::Arc;

use cassiahoist_core::error::JobOutcome;
use cassiahoist_core::prelude::*;
use cassiahoist_world::accounts::Caller;
use cassiahoist_world::calls::{
    CallAnswer, CallNumber, CallOrigin, CallStage, OpenCall, RELAYED_CALL_BASE, RelayAction,
};
use cassiahoist_world::peer::PeerMessage;
use cassiahoist_world::prelude::*;

use crate::calls::{ANSWER_MARGIN_MS, MAX_OPEN_CALLS, RETRY_AFTER_MS, refuse_call};
use crate::{accept, cancel, query};

/// Duration of a store failure from which on calls are relayed, in milliseconds.
const MIN_STORE_FAILURE_MS: u64 = 150;

/// Timeout for a peer's reply to a relayed call, in milliseconds.
const RELAY_TIMEOUT_MS: u64 = 900;

/// Maximum number of times that one call is relayed.
const MAX_RELAYS_PER_CALL: u32 = 2;

/// Number of open calls from which calls of peers are refused. The rest is left to callers of this daemon.
const MAX_CALLS_WITH_RELAYED: usize = MAX_OPEN_CALLS / 2;

/// Time reserved for the peer's reply to arrive, in milliseconds.
const REPLY_TRANSIT_MS: u64 = 60;

/// Returns what a peer can do for a call; `None` if nothing.
fn relay_action(call: &OpenCall) -> Option<RelayAction> {
    Some(match &call.stage {
        CallStage::CheckingStored { .. } => return None,
        CallStage::Storing { record } => RelayAction::Store(Arc::clone(record)),
        CallStage::QueryingHolder { .. }
        | CallStage::CheckingOwner
        | CallStage::ReadingProgress
        | CallStage::ReadingJob => RelayAction::Query(call.job),
        CallStage::CheckingJobExists | CallStage::Cancelling | CallStage::CancellingUnstored => {
            RelayAction::Cancel(call.job)
        }
    })
}

/// Relays a caller's call to a peer if the store fails for this daemon.
///
/// Returns whether the call was relayed.
pub(crate) fn try_relay_call(world: &mut World, number: CallNumber, now_ms: u64) -> bool {
    let is_store_failing = world
        .store_connection
        .failing_since_ms
        .is_some_and(|since_ms| now_ms >= since_ms + MIN_STORE_FAILURE_MS);
    let Some(call) = world.calls.open.get(&number) else { return false };
    if !is_store_failing || call.origin != CallOrigin::Caller || call.relay_count >= MAX_RELAYS_PER_CALL {
        return false;
    }
    let Some(action) = relay_action(call) else { return false };
    let mut peers: Vec<&str> = world.members.peer_addresses(&world.local.incarnation.member).collect();
    peers.sort_unstable();
    if peers.is_empty() {
        return false;
    }
    let address = peers[(number as usize + call.relay_count as usize) % peers.len()].to_owned();
    let relay_deadline_ms =
        (now_ms + RELAY_TIMEOUT_MS).min(call.deadline_ms.saturating_sub(ANSWER_MARGIN_MS));
    let timeout_ms = relay_deadline_ms.saturating_sub(now_ms + REPLY_TRANSIT_MS);
    let caller = call.caller.clone();
    let message = PeerMessage::RelayRequest { call: number, action, caller, timeout_ms };
    if let Some(call) = world.calls.open.get_mut(&number) {
        call.relay_count += 1;
        call.relay_deadline_ms = Some(relay_deadline_ms);
        call.retry_at_ms = None;
    }
    world.emit(Effect::SendPeerMessage { address, message });
    world.wake_by(relay_deadline_ms);
    true
}

/// Schedules a retry of a relayed call whose peer has not replied.
///
/// What the peer did is unknown, so it may have stored the job or the cancellation.
pub(crate) fn time_out_relay(world: &mut World, number: CallNumber, now_ms: u64) {
    let Some(call) = world.calls.open.get_mut(&number) else { return };
    call.may_be_stored |= call.is_storing();
    call.relay_deadline_ms = None;
    call.retry_at_ms = Some(now_ms);
}

/// Serves peers' relayed calls and applies the replies to this daemon's own.
pub fn process_relay_messages(world: &mut World, now_ms: u64) {
    let is_relay_message = |message: &PeerMessage| {
        matches!(message, PeerMessage::RelayRequest { .. } | PeerMessage::RelayReply { .. })
    };
    for (sender, message) in world.inbox.take_peer_messages(is_relay_message) {
        match message {
            PeerMessage::RelayRequest { call, .. } if world.calls.open.len() >= MAX_CALLS_WITH_RELAYED => {
                let (kind, retry_after_ms) = (ErrorKind::Overloaded, Some(RETRY_AFTER_MS));
                let answer = CallAnswer::Error { kind, retry_after_ms };
                let message = PeerMessage::RelayReply { call, answer };
                world.emit(Effect::SendPeerMessage { address: sender.address, message });
            }
            PeerMessage::RelayRequest { call, action, caller, timeout_ms } => {
                let origin = CallOrigin::Peer { address: sender.address, call };
                let deadline_ms = now_ms + timeout_ms + ANSWER_MARGIN_MS;
                serve_relayed_call(world, origin, action, caller, deadline_ms, now_ms);
            }
            PeerMessage::RelayReply { call, answer } => apply_relay_reply(world, call, answer, now_ms),
            _ => {}
        }
    }
}

fn serve_relayed_call(
    world: &mut World,
    origin: CallOrigin,
    action: RelayAction,
    caller: Caller,
    deadline_ms: u64,
    now_ms: u64,
) {
    world.calls.relayed_call_count += 1;
    let number = RELAYED_CALL_BASE + world.calls.relayed_call_count;
    let (job, stage) = match action {
        RelayAction::Store(record) => (record.id, CallStage::Storing { record }),
        RelayAction::Query(job) => (job, CallStage::QueryingHolder { deadline_ms: now_ms }),
        RelayAction::Cancel(job) => (job, CallStage::CheckingJobExists),
    };
    let call = OpenCall::new(number, job, stage.clone(), deadline_ms, now_ms).with_origin(origin);
    world.calls.insert(call.with_caller(caller));
    match stage {
        // Refused at once: the requesting daemon need not wait for a store that is unreachable here as well.
        CallStage::Storing { .. } if world.store_connection.is_unresponsive(now_ms) => {
            refuse_call(world, number, ErrorKind::StoreAway, "the store is unreachable here as well", now_ms);
        }
        CallStage::Storing { .. } => accept::store_job(world, number, now_ms),
        CallStage::CheckingJobExists => cancel::look_up_job(world, number, now_ms),
        _ => query::query_job_state(world, number, now_ms),
    }
}

fn apply_relay_reply(world: &mut World, number: CallNumber, answer: CallAnswer, now_ms: u64) {
    let Some(call) = world.calls.open.get_mut(&number) else { return };
    if call.relay_deadline_ms.is_none() {
        return;
    }
    call.relay_deadline_ms = None;
    match answer {
        CallAnswer::Error {
            kind: ErrorKind::UnknownJob | ErrorKind::JobCancelled | ErrorKind::IdTaken,
            ..
        } => {
            world.answer_call(number, answer);
        }
        CallAnswer::Error { kind, .. } => {
            call.retry_at_ms = Some(now_ms);
            call.may_be_stored |= kind.answer().outcome == JobOutcome::Unknown;
        }
        final_answer => world.answer_call(number, final_answer),
    }
}
