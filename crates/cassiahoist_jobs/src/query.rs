//! Answers queries for the state of a job and the number of queued jobs.

use cassiahoist_core::prelude::*;
use cassiahoist_world::front::{CallNumber, CallStage, FrontAnswer, OpenCall};
use cassiahoist_world::peer::{HolderView, PeerMessage};
use cassiahoist_world::prelude::*;
use cassiahoist_world::record::JobState;
use cassiahoist_world::store::{
    StoreAnswered, StoreItem, StoreKey, StoreOp, StorePurpose, StoreReply, StoreValue,
};

use crate::calls::{STORE_RETRY_MS, refuse_call};
use crate::heartbeat::count_queued_jobs;
use crate::relay::try_relay_call;

/// Timeout for the holder's answer before the store is read instead, in milliseconds.
const HOLDER_TIMEOUT_MS: u64 = 300;

/// Timeout of one read from the store, in milliseconds.
const STORE_TIMEOUT_MS: u64 = 800;

/// Maximum age of a heartbeat's counts that are served to callers, in milliseconds.
const MAX_PENDING_AGE_MS: u64 = 1_900;

/// Answers with the number of jobs of a queue that have not started.
///
/// Fails with [`ErrorKind::StateAway`] on a daemon without a recent heartbeat from the holder.
pub(crate) fn answer_pending_count(
    world: &mut World,
    number: CallNumber,
    queue: &QueueName,
    now_ms: u64,
) -> Result<(), (ErrorKind, String)> {
    let count_if_known = if world.holding.is_holding() {
        Some(count_queued_jobs(world).get(queue).copied().unwrap_or_default())
    } else {
        match &world.front.holder_news {
            Some(news) if now_ms <= news.heard_ms + MAX_PENDING_AGE_MS => {
                Some(news.pending.get(queue).copied().unwrap_or_default())
            }
            _ => None,
        }
    };
    let Some(count) = count_if_known else {
        return Err((ErrorKind::StateAway, "no recent heartbeat from the holder".into()));
    };
    world.answer(number, FrontAnswer::Pending(count));
    Ok(())
}

/// Returns the state of a job that callers may see.
///
/// `None` if the job is not in the tables of this daemon. Completion and failure become visible only once they are
/// recorded in the store.
fn visible_state(world: &World, job: JobId) -> Option<JobState> {
    let job = world.jobs.get(world.jobs.find(&job)?)?;
    Some(match job.state {
        JobState::Completed | JobState::Failed if job.recorded_state != job.state => JobState::Running,
        state => state,
    })
}

/// Opens a call that asks for the state of a job.
pub(crate) fn open_state_query(
    world: &mut World,
    number: CallNumber,
    job: JobId,
    deadline_ms: u64,
    now_ms: u64,
) {
    let stage = CallStage::AskingHolder { until_ms: now_ms };
    world.front.insert(OpenCall::new(number, job, stage, deadline_ms, now_ms));
    query_job_state(world, number, now_ms);
}

/// Answers an open call from the tables, the holder or the store.
///
/// The holder reads the store for a job that it does not know, and so does a daemon that knows no holder.
pub(crate) fn query_job_state(world: &mut World, number: CallNumber, now_ms: u64) {
    let Some(job) = world.front.calls.get(&number).map(|call| call.job) else { return };
    if world.holding.is_holding()
        && let Some(state) = visible_state(world, job)
    {
        return world.answer(number, FrontAnswer::State(state));
    }
    if world.holding.is_holding() || world.holding.claim.is_none() {
        return query_store(world, number, now_ms);
    }
    if let Some(call) = world.front.calls.get_mut(&number) {
        call.stage = CallStage::AskingHolder { until_ms: now_ms + HOLDER_TIMEOUT_MS };
    }
    world.wake_by(now_ms + HOLDER_TIMEOUT_MS);
    world.tell_holder(PeerMessage::AskState { call: number, job });
}

/// Reads the job of an open call from the store, or relays the call.
///
/// The progress record is read first, since the job record does not hold the state.
pub(crate) fn query_store(world: &mut World, number: CallNumber, now_ms: u64) {
    if try_relay_call(world, number, now_ms) {
        return;
    }
    let Some(call) = world.front.calls.get_mut(&number) else { return };
    let key = if call.stage == CallStage::ReadingJob {
        StoreKey::Job(call.job)
    } else {
        call.stage = CallStage::ReadingProgress;
        StoreKey::Progress(call.job)
    };
    let timeout_ms = STORE_TIMEOUT_MS.min(call.deadline_ms.saturating_sub(now_ms));
    world.call_store(StorePurpose::Lookup(number), StoreOp::Get(key), now_ms, timeout_ms);
}

/// Answers state queries of peers and applies the holder's answers to own queries.
pub fn process_state_messages(world: &mut World, now_ms: u64) {
    let wanted = |message: &PeerMessage| {
        matches!(message, PeerMessage::AskState { .. } | PeerMessage::TellState { .. })
    };
    for (from, message) in world.inbox.take_peers(wanted) {
        match message {
            PeerMessage::AskState { call, job } => {
                let state = if world.holding.is_holding() { visible_state(world, job) } else { None };
                let view = state.map_or(HolderView::Unknown, HolderView::State);
                let message = PeerMessage::TellState { call, view };
                world.emit(Effect::Peer { address: from.address, message });
            }
            PeerMessage::TellState { call, view } => apply_holder_view(world, call, view, now_ms),
            _ => {}
        }
    }
}

fn apply_holder_view(world: &mut World, number: CallNumber, view: HolderView, now_ms: u64) {
    let asking = world
        .front
        .calls
        .get(&number)
        .is_some_and(|call| matches!(call.stage, CallStage::AskingHolder { .. }));
    if !asking {
        return;
    }
    match view {
        HolderView::State(state) => world.answer(number, FrontAnswer::State(state)),
        HolderView::Unknown => query_store(world, number, now_ms),
    }
}

/// Applies the store's answers to state queries.
pub fn apply_lookup_answers(world: &mut World, now_ms: u64) {
    for answered in world.inbox.take_store(|purpose| matches!(purpose, StorePurpose::Lookup(_))) {
        if let StorePurpose::Lookup(number) = answered.purpose {
            apply_lookup_answer(world, number, answered, now_ms);
        }
    }
}

fn apply_lookup_answer(world: &mut World, number: CallNumber, answered: StoreAnswered, now_ms: u64) {
    let Some(call) = world.front.calls.get_mut(&number) else { return };
    match answered.outcome {
        Ok(StoreReply::Item(Some(StoreItem { value: StoreValue::Progress(progress), .. }))) => {
            world.answer(number, FrontAnswer::State(progress.state));
        }
        Ok(StoreReply::Item(Some(_))) => world.answer(number, FrontAnswer::State(JobState::Queued)),
        Ok(StoreReply::Item(None)) if call.stage == CallStage::ReadingProgress => {
            call.stage = CallStage::ReadingJob;
            query_store(world, number, now_ms);
        }
        Ok(StoreReply::Item(None)) => {
            refuse_call(world, number, ErrorKind::UnknownJob, "the store has no such job", now_ms);
        }
        Ok(_) | Err(_) => call.retry_at_ms = Some(now_ms + STORE_RETRY_MS),
    }
}
