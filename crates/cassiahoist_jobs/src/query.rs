//! Answers queries for the state of a job and the number of queued jobs.

use cassiahoist_core::prelude::*;
use cassiahoist_world::accounts::Caller;
use cassiahoist_world::calls::{CallAnswer, CallNumber, CallRequest, CallStage, OpenCall, QueuedJobs};
use cassiahoist_world::peer::{HolderReply, PeerMessage};
use cassiahoist_world::prelude::*;
use cassiahoist_world::record::JobState;
use cassiahoist_world::store::{
    StoreCompletion, StoreItem, StoreKey, StoreOp, StorePurpose, StoreReply, StoreValue,
};
use rustc_hash::FxHashMap;

use crate::calls::{STORE_RETRY_MS, refuse_call};
use crate::heartbeat::count_queued_jobs;
use crate::relay::try_relay_call;

/// Timeout for the holder's reply, after which the store is read instead, in milliseconds.
const HOLDER_TIMEOUT_MS: u64 = 300;

/// Timeout of one read from the store, in milliseconds.
const STORE_TIMEOUT_MS: u64 = 800;

/// Maximum age of a heartbeat whose counts are served to callers, in milliseconds.
const MAX_QUEUED_JOBS_AGE_MS: u64 = 1_900;

/// Maximum age of the holder's own count that is served to callers, in milliseconds.
const MAX_COUNT_AGE_MS: u64 = 250;

/// Answers with the number of jobs of a queue that have not started.
///
/// Fails with [`ErrorKind::StateAway`] on a daemon without a recent heartbeat from the holder.
pub(crate) fn answer_queued_jobs(
    world: &mut World,
    number: CallNumber,
    queue: &QueueName,
    now_ms: u64,
) -> Result<(), (ErrorKind, String)> {
    let known_count = if world.holding.is_holding() {
        Some(recent_queued_jobs(world, now_ms).get(queue).copied().unwrap_or_default())
    } else {
        match &world.calls.holder_status {
            Some(status) if now_ms <= status.received_at_ms + MAX_QUEUED_JOBS_AGE_MS => {
                Some(status.queued_jobs.get(queue).copied().unwrap_or_default())
            }
            _ => None,
        }
    };
    let Some(count) = known_count else {
        return Err((ErrorKind::StateAway, "no recent heartbeat from the holder".into()));
    };
    world.answer_call(number, CallAnswer::Pending(count));
    Ok(())
}

/// Returns the holder's count of queued jobs, by queue. It is counted anew if it is too old.
///
/// A count goes over all jobs, and many callers may ask at a time.
fn recent_queued_jobs(world: &mut World, now_ms: u64) -> &FxHashMap<QueueName, u64> {
    let earlier = world.calls.queued_jobs.take();
    let recent = earlier.filter(|count| {
        world.holding.is_since_claim(count.counted_at_ms) && now_ms < count.counted_at_ms + MAX_COUNT_AGE_MS
    });
    let count =
        recent.unwrap_or_else(|| QueuedJobs { by_queue: count_queued_jobs(world), counted_at_ms: now_ms });
    &world.calls.queued_jobs.insert(count).by_queue
}

/// Returns the state of a job that a caller may see, with the reason of a failure.
///
/// `None` if the job is not in the tables of this daemon, or the caller may not see it. Completion and failure become visible only once they are
/// recorded in the store.
fn visible_state(world: &World, job: JobId, caller: &Caller) -> Option<HolderReply> {
    let job = world.jobs.get(world.jobs.find(&job)?)?;
    if !caller.may_access(job.record.account.as_ref()) {
        return None;
    }
    let state = match job.state {
        JobState::Completed | JobState::Failed if job.recorded_state != job.state => JobState::Running,
        state => state,
    };
    Some(match &job.failure {
        Some(failure) if state == JobState::Failed => HolderReply::Failed(failure.reason),
        _ => HolderReply::State(state),
    })
}

/// Opens a call that queries the state of a job.
pub(crate) fn open_state_query(
    world: &mut World,
    call: &CallRequest,
    job: JobId,
    caller: Caller,
    now_ms: u64,
) {
    let stage = CallStage::QueryingHolder { deadline_ms: now_ms };
    let open_call = OpenCall::new(call.number, job, stage, call.deadline_ms, now_ms);
    world.calls.insert(open_call.with_caller(caller));
    query_job_state(world, call.number, now_ms);
}

/// Answers a state query from the tables, the holder or the store.
///
/// The holder reads the store for a job that it does not know, and so does a daemon that knows no holder.
pub(crate) fn query_job_state(world: &mut World, number: CallNumber, now_ms: u64) {
    let Some(call) = world.calls.open.get(&number) else { return };
    let (job, caller) = (call.job, call.caller.clone());
    if world.holding.is_holding()
        && let Some(reply) = visible_state(world, job, &caller)
    {
        return apply_holder_reply(world, number, reply, now_ms);
    }
    if world.holding.is_holding() || world.holding.claim.is_none() {
        return query_store(world, number, now_ms);
    }
    if let Some(call) = world.calls.open.get_mut(&number) {
        call.stage = CallStage::QueryingHolder { deadline_ms: now_ms + HOLDER_TIMEOUT_MS };
    }
    world.wake_by(now_ms + HOLDER_TIMEOUT_MS);
    world.send_to_holder(PeerMessage::StateRequest { call: number, job, caller });
}

/// Reads the job of an open call from the store, or relays the call.
///
/// The progress record is read first, since the job record does not hold the state. Before that the job record has to
/// show that the caller may see the job.
pub(crate) fn query_store(world: &mut World, number: CallNumber, now_ms: u64) {
    if try_relay_call(world, number, now_ms) {
        return;
    }
    let Some(call) = world.calls.open.get_mut(&number) else { return };
    let (purpose, key) = if !call.caller.is_unrestricted() && !call.is_owner_checked {
        call.stage = CallStage::CheckingOwner;
        (StorePurpose::ReadJob(number), StoreKey::Job(call.job))
    } else if call.stage == CallStage::ReadingJob {
        (StorePurpose::ReadJob(number), StoreKey::Job(call.job))
    } else {
        call.stage = CallStage::ReadingProgress;
        (StorePurpose::ReadProgress(number), StoreKey::Progress(call.job))
    };
    let timeout_ms = STORE_TIMEOUT_MS.min(call.deadline_ms.saturating_sub(now_ms));
    world.call_store(purpose, StoreOp::Get(key), now_ms, timeout_ms);
}

/// Replies to peers' state queries and applies the holder's replies to this daemon's own.
pub fn process_state_messages(world: &mut World, now_ms: u64) {
    let is_state_message = |message: &PeerMessage| {
        matches!(message, PeerMessage::StateRequest { .. } | PeerMessage::StateReply { .. })
    };
    for (sender, message) in world.inbox.take_peer_messages(is_state_message) {
        match message {
            PeerMessage::StateRequest { call, job, caller } => {
                let is_holding = world.holding.is_holding();
                let reply = if is_holding { visible_state(world, job, &caller) } else { None };
                let reply = reply.unwrap_or(HolderReply::Unknown);
                let message = PeerMessage::StateReply { call, reply };
                world.emit(Effect::SendPeerMessage { address: sender.address, message });
            }
            PeerMessage::StateReply { call, reply } if is_querying_holder(world, call) => {
                apply_holder_reply(world, call, reply, now_ms);
            }
            _ => {}
        }
    }
}

fn is_querying_holder(world: &World, number: CallNumber) -> bool {
    let call = world.calls.open.get(&number);
    call.is_some_and(|call| matches!(call.stage, CallStage::QueryingHolder { .. }))
}

fn apply_holder_reply(world: &mut World, number: CallNumber, reply: HolderReply, now_ms: u64) {
    match reply {
        HolderReply::State(state) => world.answer_call(number, CallAnswer::State(state)),
        HolderReply::Failed(reason) => world.answer_call(number, CallAnswer::Failed(reason)),
        HolderReply::Unknown => query_store(world, number, now_ms),
    }
}

/// Applies the store's answers to state queries.
pub fn apply_read_answers(world: &mut World, now_ms: u64) {
    let completions = world.inbox.take_store_results(|purpose| {
        matches!(purpose, StorePurpose::ReadJob(_) | StorePurpose::ReadProgress(_))
    });
    for completion in completions {
        if let StorePurpose::ReadJob(number) | StorePurpose::ReadProgress(number) = completion.purpose {
            apply_read_answer(world, number, completion, now_ms);
        }
    }
}

fn apply_read_answer(world: &mut World, number: CallNumber, completion: StoreCompletion, now_ms: u64) {
    let Some(call) = world.calls.open.get_mut(&number) else { return };
    match completion.outcome {
        Ok(StoreReply::Item(Some(StoreItem { value: StoreValue::Progress(progress), .. }))) => {
            let answer = CallAnswer::of_job(progress.state, progress.failure.as_ref());
            world.answer_call(number, answer);
        }
        // Without its progress the job may be in any state.
        Ok(StoreReply::Item(Some(StoreItem { value: StoreValue::Unreadable { reason }, .. }))) => {
            let reason = format!("the record is unreadable: {reason}");
            refuse_call(world, number, ErrorKind::StateAway, &reason, now_ms);
        }
        Ok(StoreReply::Item(Some(StoreItem { value: StoreValue::Job(record), .. })))
            if !call.caller.may_access(record.account.as_ref()) =>
        {
            refuse_call(world, number, ErrorKind::UnknownJob, "the job is another account's", now_ms);
        }
        Ok(StoreReply::Item(Some(_))) if call.stage == CallStage::CheckingOwner => {
            call.is_owner_checked = true;
            query_store(world, number, now_ms);
        }
        Ok(StoreReply::Item(Some(_))) => world.answer_call(number, CallAnswer::State(JobState::Queued)),
        // Several reads of one call may be open, and only that of the job shows that there is none.
        Ok(StoreReply::Item(None)) if matches!(completion.purpose, StorePurpose::ReadProgress(_)) => {
            if call.stage == CallStage::ReadingProgress {
                call.stage = CallStage::ReadingJob;
                query_store(world, number, now_ms);
            }
        }
        Ok(StoreReply::Item(None)) => {
            refuse_call(world, number, ErrorKind::UnknownJob, "the store has no such job", now_ms);
        }
        Ok(_) | Err(_) => call.retry_at_ms = Some(now_ms + STORE_RETRY_MS),
    }
}
