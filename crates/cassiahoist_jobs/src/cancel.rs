//! Cancels jobs: a job is cancelled once the cancellation is in the store.
//!
//! That a job is not in the store doesn't mean that it never will be, since an attempt to store it may be open at any
//! daemon or on its way to the store. So the cancellation is stored as well, and [`store_job`](crate::accept::store_job)
//! requires that there is none.

use cassiahoist_core::prelude::*;
use cassiahoist_world::calls::{CallAnswer, CallNumber, CallStage, OpenCall};
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
pub(crate) fn cancel_job(world: &mut World, number: CallNumber, job: JobId, deadline_ms: u64, now_ms: u64) {
    if world.holding.is_holding() && world.jobs.find(&job).is_some() {
        world.calls.insert(OpenCall::new(number, job, CallStage::Cancelling, deadline_ms, now_ms));
        return store_cancellation(world, number, now_ms);
    }
    world.calls.insert(OpenCall::new(number, job, CallStage::CheckingJobExists, deadline_ms, now_ms));
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
