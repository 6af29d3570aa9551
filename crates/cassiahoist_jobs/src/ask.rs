//! Questions about jobs and queues.

use cassiahoist_core::prelude::*;
use cassiahoist_world::front::{CallNumber, CallStage, FrontAnswer, OpenCall};
use cassiahoist_world::peer::{HolderView, PeerMessage};
use cassiahoist_world::prelude::*;
use cassiahoist_world::record::JobState;
use cassiahoist_world::store::{
    StoreAnswered, StoreItem, StoreKey, StoreOp, StorePurpose, StoreReply, StoreValue,
};

use crate::calls::{RETRY_MS, refuse_call};
use crate::heartbeat::count_pending;
use crate::relay::relay_call;

/// How long the holder is waited for before the store is asked, in milliseconds.
const HOLDER_PATIENCE_MS: u64 = 300;

/// How long one reading may take, in milliseconds.
const PATIENCE_MS: u64 = 800;

/// Oldest count of waiting jobs that is given, in milliseconds.
const PENDING_AGE_MS: u64 = 1_900;

/// Answers how many jobs of a queue have not begun.
pub(crate) fn answer_pending(
    world: &mut World,
    number: CallNumber,
    queue: &QueueName,
    now_ms: u64,
) -> Result<(), (ErrorKind, String)> {
    let counted = if world.holding.is_holding() {
        Some(count_pending(world).get(queue).copied().unwrap_or_default())
    } else {
        match &world.front.holder_news {
            Some(news) if now_ms <= news.heard_ms + PENDING_AGE_MS => {
                Some(news.pending.get(queue).copied().unwrap_or_default())
            }
            _ => None,
        }
    };
    let Some(count) = counted else {
        return Err((ErrorKind::StateAway, "the holder's count is too old".into()));
    };
    world.answer(number, FrontAnswer::Pending(count));
    Ok(())
}

/// Tells how a job stands as callers may see it: a final state shows once it is recorded.
fn shown_state(world: &World, job: JobId) -> Option<JobState> {
    let job = world.jobs.get(world.jobs.find(&job)?)?;
    Some(match job.state {
        JobState::Completed | JobState::Failed if job.recorded_state != job.state => JobState::Running,
        state => state,
    })
}

/// Begins to answer how a job stands.
pub(crate) fn ask_state(world: &mut World, number: CallNumber, job: JobId, deadline_ms: u64, now_ms: u64) {
    let stage = CallStage::AskingHolder { until_ms: now_ms };
    world.front.insert(OpenCall::new(number, job, stage, deadline_ms, now_ms));
    continue_ask(world, number, now_ms);
}

/// Asks the holder for the state of an open call's job, or the store if there is none.
pub(crate) fn continue_ask(world: &mut World, number: CallNumber, now_ms: u64) {
    let Some(job) = world.front.calls.get(&number).map(|call| call.job) else { return };
    if world.holding.is_holding()
        && let Some(state) = shown_state(world, job)
    {
        return world.answer(number, FrontAnswer::State(state));
    }
    if world.holding.is_holding() || world.holding.claim.is_none() {
        return read_store(world, number, now_ms);
    }
    if let Some(call) = world.front.calls.get_mut(&number) {
        call.stage = CallStage::AskingHolder { until_ms: now_ms + HOLDER_PATIENCE_MS };
    }
    world.wake_by(now_ms + HOLDER_PATIENCE_MS);
    world.tell_holder(PeerMessage::AskState { call: number, job });
}

/// Asks the store instead of the holder.
pub(crate) fn read_store(world: &mut World, number: CallNumber, now_ms: u64) {
    if relay_call(world, number, now_ms) {
        return;
    }
    let Some(call) = world.front.calls.get_mut(&number) else { return };
    let key = if call.stage == CallStage::ReadingJob {
        StoreKey::Job(call.job)
    } else {
        call.stage = CallStage::ReadingProgress;
        StoreKey::Progress(call.job)
    };
    let patience_ms = PATIENCE_MS.min(call.deadline_ms.saturating_sub(now_ms));
    world.call_store(StorePurpose::Lookup(number), StoreOp::Get(key), now_ms, patience_ms);
}

/// Answers peers that ask this daemon as holder, and takes in the holder's answers.
pub fn answer_peers(world: &mut World, now_ms: u64) {
    let wanted = |message: &PeerMessage| {
        matches!(message, PeerMessage::AskState { .. } | PeerMessage::TellState { .. })
    };
    for (from, message) in world.inbox.take_peers(wanted) {
        match message {
            PeerMessage::AskState { call, job } => {
                let state = if world.holding.is_holding() { shown_state(world, job) } else { None };
                let view = state.map_or(HolderView::Unknown, HolderView::State);
                let message = PeerMessage::TellState { call, view };
                world.emit(Effect::Peer { address: from.address, message });
            }
            PeerMessage::TellState { call, view } => read_view(world, call, view, now_ms),
            _ => {}
        }
    }
}

fn read_view(world: &mut World, number: CallNumber, view: HolderView, now_ms: u64) {
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
        HolderView::Unknown => read_store(world, number, now_ms),
    }
}

/// Takes in the store's answers to questions.
pub fn read_ask_answers(world: &mut World, now_ms: u64) {
    for answered in world.inbox.take_store(|purpose| matches!(purpose, StorePurpose::Lookup(_))) {
        if let StorePurpose::Lookup(number) = answered.purpose {
            read_ask_answer(world, number, answered, now_ms);
        }
    }
}

fn read_ask_answer(world: &mut World, number: CallNumber, answered: StoreAnswered, now_ms: u64) {
    let Some(call) = world.front.calls.get_mut(&number) else { return };
    match answered.outcome {
        Ok(StoreReply::Item(Some(StoreItem { value: StoreValue::Progress(progress), .. }))) => {
            world.answer(number, FrontAnswer::State(progress.state));
        }
        Ok(StoreReply::Item(Some(_))) => world.answer(number, FrontAnswer::State(JobState::Queued)),
        Ok(StoreReply::Item(None)) if call.stage == CallStage::ReadingProgress => {
            call.stage = CallStage::ReadingJob;
            read_store(world, number, now_ms);
        }
        Ok(StoreReply::Item(None)) => {
            refuse_call(world, number, ErrorKind::UnknownJob, "the store has no such job", now_ms);
        }
        Ok(_) | Err(_) => call.retry_at_ms = Some(now_ms + RETRY_MS),
    }
}
