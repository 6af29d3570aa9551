//! Cancels jobs: a job is cancelled once the cancellation is in the store.
//!
//! That a job is not in the store doesn't mean that it never will be, since an attempt to store it may be open at any
//! daemon or on its way to the store. So the cancellation is stored as well, and [`store_job`](crate::accept::store_job)
//! requires that there is none.

use cassiahoist_core::prelude::*;
use cassiahoist_world::accounts::Caller;
use cassiahoist_world::calls::{CallAnswer, CallNumber, CallRequest, CallStage, OpenCall};
use cassiahoist_world::peer::PeerMessage;
use cassiahoist_world::prelude::*;
use cassiahoist_world::store::{
    StoreCompletion, StoreFailure, StoreKey, StoreOp, StorePurpose, StoreReply, StoreValue, Transaction,
};

use crate::calls::{STORE_RETRY_MS, refuse_call};
use crate::notify::notify_holder;
use crate::relay::try_relay_call;

/// Timeout of one store call, in milliseconds.
const STORE_TIMEOUT_MS: u64 = 800;

/// Opens a call that cancels a job.
///
/// The holder skips the lookup in the store for a job in its own tables.
pub(crate) fn cancel_job(world: &mut World, call: &CallRequest, job: JobId, caller: Caller, now_ms: u64) {
    let number = call.number;
    let stage = CallStage::CheckingJobExists;
    let open_call = OpenCall::new(number, job, stage, call.deadline_ms, now_ms).with_caller(caller);
    if world.holding.is_holding()
        && let Some(known) = world.jobs.find(&job).and_then(|key| world.jobs.get(key))
        && open_call.caller.may_access(known.record.account.as_ref())
    {
        world.calls.insert(OpenCall { stage: CallStage::Cancelling, ..open_call });
        return store_cancellation(world, number, now_ms);
    }
    world.calls.insert(open_call);
    if !try_relay_call(world, number, now_ms) {
        look_up_job(world, number, now_ms);
    }
}

/// Reads the job from the store, since the answer depends on whether it is there.
pub(crate) fn look_up_job(world: &mut World, number: CallNumber, now_ms: u64) {
    let Some(call) = world.calls.open.get(&number) else { return };
    let (key, deadline_ms) = (StoreKey::Job(call.job), call.deadline_ms);
    let timeout_ms = STORE_TIMEOUT_MS.min(deadline_ms.saturating_sub(now_ms));
    world.call_store(StorePurpose::CancelJob(number), StoreOp::Get(key), now_ms, timeout_ms);
}

/// Writes the cancellation to the store. That of a job which is not stored requires that this still holds.
pub(crate) fn store_cancellation(world: &mut World, number: CallNumber, now_ms: u64) {
    let Some(call) = world.calls.open.get(&number) else { return };
    let transaction = Transaction::default().with_put(StoreKey::Cancel(call.job), StoreValue::Cancel);
    let transaction = match call.stage {
        CallStage::CancellingUnstored => transaction.with_expect(StoreKey::Job(call.job), 0),
        _ => transaction,
    };
    let timeout_ms = STORE_TIMEOUT_MS.min(call.deadline_ms.saturating_sub(now_ms));
    world.call_store(StorePurpose::CancelJob(number), StoreOp::Commit(transaction), now_ms, timeout_ms);
}

/// Applies the store's answers to cancellations.
pub fn apply_cancel_answers(world: &mut World, now_ms: u64) {
    for completion in world.inbox.take_store_results(|purpose| matches!(purpose, StorePurpose::CancelJob(_)))
    {
        if let StorePurpose::CancelJob(number) = completion.purpose {
            apply_cancel_answer(world, number, &completion, now_ms);
        }
    }
}

fn apply_cancel_answer(world: &mut World, number: CallNumber, completion: &StoreCompletion, now_ms: u64) {
    let Some(call) = world.calls.open.get_mut(&number) else { return };
    match &completion.outcome {
        Ok(reply) if !may_cancel(&call.caller, reply) => {
            refuse_call(world, number, ErrorKind::UnknownJob, "the job is another account's", now_ms);
        }
        // A conflict means that the job was stored after it was looked up.
        Ok(StoreReply::Item(Some(_)) | StoreReply::Conflict { .. }) => {
            call.stage = CallStage::Cancelling;
            store_cancellation(world, number, now_ms);
        }
        Ok(StoreReply::Item(None)) => {
            call.stage = CallStage::CancellingUnstored;
            store_cancellation(world, number, now_ms);
        }
        Ok(StoreReply::Committed { .. }) if call.stage == CallStage::CancellingUnstored => {
            let reason = "the store has no such job, and none can be stored now";
            refuse_call(world, number, ErrorKind::UnknownJob, reason, now_ms);
        }
        Ok(StoreReply::Committed { .. }) => {
            let job = call.job;
            world.log(LogRecord::new(EventId::JobCancelled).with("job", job));
            world.answer_call(number, CallAnswer::Cancelled);
            notify_holder(world, PeerMessage::JobCancelled(job), now_ms);
        }
        Err(StoreFailure::NotApplied | StoreFailure::NotSent(_)) => {
            call.retry_at_ms = Some(now_ms + STORE_RETRY_MS);
        }
        Ok(_) | Err(StoreFailure::Unknown) => {
            call.may_be_stored |= call.stage != CallStage::CheckingJobExists;
            call.retry_at_ms = Some(now_ms + STORE_RETRY_MS);
        }
    }
}

/// Returns whether a caller may cancel the job that an answer of the store shows, if it shows one.
fn may_cancel(caller: &Caller, reply: &StoreReply) -> bool {
    let items = match reply {
        StoreReply::Item(item) => item.as_slice(),
        StoreReply::Conflict { items } => items,
        _ => &[],
    };
    items.iter().all(|item| match &item.value {
        StoreValue::Job(record) => caller.may_access(record.account.as_ref()),
        _ => true,
    })
}
