//! Accepts jobs: a job is accepted once its record is in the store.

use std::sync::Arc;

use cassiahoist_accounts::usage::CapExcess;
use cassiahoist_core::prelude::*;
use cassiahoist_membership::{SLICE, apply_claim_conflict};
use cassiahoist_world::accounts::Caller;
use cassiahoist_world::calls::{CallAnswer, CallNumber, CallRequest, CallStage, OpenCall};
use cassiahoist_world::config::QueuePolicy;
use cassiahoist_world::peer::PeerMessage;
use cassiahoist_world::prelude::*;
use cassiahoist_world::record::JobRecord;
use cassiahoist_world::spec::JobSpec;
use cassiahoist_world::store::{
    StoreCompletion, StoreFailure, StoreKey, StoreOp, StorePurpose, StoreReply, StoreValue, Transaction,
};

use crate::calls::{STORE_RETRY_MS, refuse_call};
use crate::notify::notify_holder;
use crate::relay::try_relay_call;

/// Time after which a job that is not stored is refused, in milliseconds.
///
/// It applies while no attempt can have stored the job. Otherwise retries go on until the caller's deadline.
const REFUSE_AFTER_MS: u64 = 1_000;

/// Builds the record of a job that a caller submits.
pub(crate) fn build_record(
    world: &World,
    job: JobId,
    policy: &Arc<QueuePolicy>,
    spec: &JobSpec,
    caller: &Caller,
) -> JobRecord {
    JobRecord {
        id: job,
        policy: Arc::clone(policy),
        spec: spec.clone(),
        accepted_unix_ms: world.local.unix_ms,
        account: caller.account().cloned(),
        claim: Fence(0),
    }
}

/// Opens a call that stores a job, directly or through a peer.
pub(crate) fn accept_job(
    world: &mut World,
    call: &CallRequest,
    record: JobRecord,
    caller: Caller,
    now_ms: u64,
) {
    let id = record.id;
    let stage = CallStage::Storing { record: Arc::new(record) };
    let open_call = OpenCall::new(call.number, id, stage, call.deadline_ms, now_ms);
    world.calls.insert(open_call.with_caller(caller));
    if !try_relay_call(world, call.number, now_ms) {
        store_job(world, call.number, now_ms);
    }
}

/// Creates a job's record on condition that none exists and that the job was not cancelled.
///
/// The claim, or without one the term record, is a further condition: the record names the holders that may start the job.
pub(crate) fn store_job(world: &mut World, number: CallNumber, now_ms: u64) {
    if world.store_connection.is_unresponsive(now_ms) {
        // This attempt is not sent, so it cannot store the job.
        return retry_or_refuse(world, number, now_ms);
    }
    let claim = world.holding.claim.as_ref().map(|(_, revision)| *revision);
    let term_revision = world.holding.term_revision;
    let Some(call) = world.calls.open.get_mut(&number) else { return };
    let CallStage::Storing { record } = &mut call.stage else { return };
    Arc::make_mut(record).claim = Fence(claim.unwrap_or(term_revision + 1));
    let key = StoreKey::Job(call.job);
    let transaction = Transaction::default()
        .with_expect(key.clone(), 0)
        .with_expect(StoreKey::Cancel(call.job), 0)
        .with_expect(StoreKey::Claim(SLICE), claim.unwrap_or_default())
        .with_put(key, StoreValue::Job(Arc::clone(record)));
    let transaction = match claim {
        Some(_) => transaction,
        None => transaction.with_expect(StoreKey::Term(SLICE), term_revision),
    };
    let timeout_ms = world.store_connection.call_timeout_ms().min(call.deadline_ms.saturating_sub(now_ms));
    world.call_store(StorePurpose::StoreJob(number), StoreOp::Commit(transaction), now_ms, timeout_ms);
}

/// Opens a call for a job beyond the cap of its account, which is refused unless the store has the job.
pub(crate) fn look_up_beyond_cap(
    world: &mut World,
    call: &CallRequest,
    job: JobId,
    caller: Caller,
    excess: &CapExcess,
    now_ms: u64,
) {
    let stage = CallStage::CheckingStored { excess: excess.to_string() };
    world.calls.insert(OpenCall::new(call.number, job, stage, call.deadline_ms, now_ms).with_caller(caller));
    read_stored_job(world, call.number, now_ms);
}

/// Reads the record of a job that may have been stored by an earlier call.
pub(crate) fn read_stored_job(world: &mut World, number: CallNumber, now_ms: u64) {
    let Some(call) = world.calls.open.get(&number) else { return };
    let (key, deadline_ms) = (StoreKey::Job(call.job), call.deadline_ms);
    let timeout_ms = world.store_connection.call_timeout_ms().min(deadline_ms.saturating_sub(now_ms));
    world.call_store(StorePurpose::StoreJob(number), StoreOp::Get(key), now_ms, timeout_ms);
}

/// Answers a call for a job beyond the cap of its account, by what the store has.
fn apply_stored_job(world: &mut World, number: CallNumber, excess: &str, reply: StoreReply, now_ms: u64) {
    let Some(call) = world.calls.open.get(&number) else { return };
    let StoreReply::Item(item) = reply else { return };
    match item.map(|item| item.value) {
        Some(StoreValue::Job(stored)) if call.caller.may_access(stored.account.as_ref()) => {
            finish_accept(world, number, stored, now_ms);
        }
        Some(StoreValue::Job(_)) => {
            let reason = "a job of another account has this id";
            refuse_call(world, number, ErrorKind::IdTaken, reason, now_ms);
        }
        Some(_) => {
            let reason = "the record of the job is unreadable";
            refuse_call(world, number, ErrorKind::RecordUncertain, reason, now_ms);
        }
        None => refuse_call(world, number, ErrorKind::ExceedsAccountCap, excess, now_ms),
    }
}

/// Applies the store's answers to job creations.
pub fn apply_accept_answers(world: &mut World, now_ms: u64) {
    for completion in world.inbox.take_store_results(|purpose| matches!(purpose, StorePurpose::StoreJob(_))) {
        if let StorePurpose::StoreJob(number) = completion.purpose {
            apply_accept_answer(world, number, completion, now_ms);
        }
    }
}

fn apply_accept_answer(world: &mut World, number: CallNumber, completion: StoreCompletion, now_ms: u64) {
    let Some(call) = world.calls.open.get_mut(&number) else { return };
    if let CallStage::CheckingStored { excess } = &call.stage {
        let excess = excess.clone();
        return match completion.outcome {
            Ok(reply) => apply_stored_job(world, number, &excess, reply, now_ms),
            Err(_) => call.retry_at_ms = Some(now_ms + STORE_RETRY_MS),
        };
    }
    let CallStage::Storing { record } = &call.stage else { return };
    match completion.outcome {
        Ok(StoreReply::Committed { .. }) => {
            let record = Arc::clone(record);
            finish_accept(world, number, record, now_ms);
        }
        Ok(StoreReply::Conflict { items }) => {
            // A job with this id exists already; the call is answered for that job.
            let stored = items.iter().find_map(|item| match &item.value {
                StoreValue::Job(stored) => Some(Arc::clone(stored)),
                _ => None,
            });
            if let Some(stored) = &stored
                && !call.caller.may_access(stored.account.as_ref())
            {
                // The stored job is not the one that this caller submits, which is not stored and never will be.
                let reason = "a job of another account has this id";
                return refuse_call(world, number, ErrorKind::IdTaken, reason, now_ms);
            }
            if let Some(stored) = stored {
                return finish_accept(world, number, stored, now_ms);
            }
            if items.iter().any(|item| item.key == StoreKey::Cancel(call.job)) {
                // No attempt has stored the job, and none can any more.
                let reason = "it was cancelled before it was stored";
                return refuse_call(world, number, ErrorKind::JobCancelled, reason, now_ms);
            }
            // The condition on the claim or the term failed: the holder has changed or is gone.
            apply_claim_conflict(world, items, now_ms);
            store_job(world, number, now_ms);
        }
        Ok(_) | Err(StoreFailure::Unknown) => {
            call.may_be_stored = true;
            call.retry_at_ms = Some(now_ms + STORE_RETRY_MS);
        }
        Err(StoreFailure::NotApplied | StoreFailure::NotSent(_)) => retry_or_refuse(world, number, now_ms),
    }
}

/// Schedules a retry, or refuses a job that no attempt can have stored.
fn retry_or_refuse(world: &mut World, number: CallNumber, now_ms: u64) {
    let Some(call) = world.calls.open.get_mut(&number) else { return };
    if !call.may_be_stored && now_ms + STORE_RETRY_MS >= call.arrived_at_ms + REFUSE_AFTER_MS {
        return refuse_call(world, number, ErrorKind::StoreAway, "the store is unreachable", now_ms);
    }
    call.retry_at_ms = Some(now_ms + STORE_RETRY_MS);
    world.wake_by(now_ms + STORE_RETRY_MS);
}

fn finish_accept(world: &mut World, number: CallNumber, record: Arc<JobRecord>, now_ms: u64) {
    let arrived_at_ms = world.calls.open.get(&number).map_or(now_ms, |call| call.arrived_at_ms);
    world.counters.jobs_accepted += 1;
    world.counters.accept_ms.record(now_ms - arrived_at_ms);
    let log_record = LogRecord::new(EventId::JobAccepted).with("job", record.id);
    let log_record = log_record.with("queue", &record.policy.queue).with("took_ms", now_ms - arrived_at_ms);
    let log_record = log_record.with("argument_bytes", record.spec.argument.len());
    world.log(log_record.with("tasks", record.spec.steps.iter().map(|step| step.task_count).sum::<u32>()));
    world.answer_call(number, CallAnswer::Accepted);
    notify_holder(world, PeerMessage::JobStored(record), now_ms);
}
