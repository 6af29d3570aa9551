//! Calls of callers: which queue they reach and what they want.

use cassiahoist_core::prelude::*;
use cassiahoist_world::front::{CallAction, CallNumber, CallStage, FrontAnswer, FrontCall, OpenCall};
use cassiahoist_world::prelude::*;
use cassiahoist_world::spec::JobSpec;

use crate::{accept, ask, cancel, relay};

/// Most calls under way at a daemon; later ones are refused.
const MAX_OPEN_CALLS: usize = 2_000;

/// When a refused caller should come back, in milliseconds.
pub(crate) const COME_BACK_MS: u64 = 1_000;

/// Time kept for the answer's way to the caller, in milliseconds.
pub(crate) const ANSWER_MARGIN_MS: u64 = 150;

/// Pause before a store call that failed is repeated, in milliseconds.
pub(crate) const RETRY_MS: u64 = 200;

/// Takes in new calls.
pub fn admit_calls(world: &mut World, now_ms: u64) {
    for call in std::mem::take(&mut world.inbox.front) {
        world.counters.calls += 1;
        if let Err((kind, reason)) = admit_call(world, &call, now_ms) {
            let retry_ms = kind.answer_row().retryable.then_some(COME_BACK_MS);
            let note = refusal_note(world, kind, &reason, now_ms).with("path", &call.path);
            world.log(note);
            world.answer(call.number, FrontAnswer::Error { kind, retry_ms });
        }
    }
}

type Refusal = (ErrorKind, String);

fn admit_call(world: &mut World, call: &FrontCall, now_ms: u64) -> Result<(), Refusal> {
    let refuse = |kind: ErrorKind, reason: &str| Err((kind, reason.to_owned()));
    let Some(config) = world.config.in_force.clone() else {
        return refuse(ErrorKind::NotConfigured, "no configuration was read yet");
    };
    let Some((queue, rest)) = config.route(&call.host, &call.path) else {
        return refuse(ErrorKind::UnknownQueue, &format!("version {}", config.version));
    };
    if world.front.calls.len() >= MAX_OPEN_CALLS {
        return refuse(ErrorKind::Overloaded, "too many calls are open");
    }
    if call.body_bytes > config.max_body_bytes {
        return refuse(ErrorKind::BodyTooLarge, &format!("{} bytes", call.body_bytes));
    }
    if rest.is_empty() && call.action == CallAction::Ask {
        return ask::answer_pending(world, call.number, &queue.policy.queue, now_ms);
    }
    let Ok(job) = rest.parse::<JobId>() else {
        let kind =
            if call.action == CallAction::Ask { ErrorKind::UnknownQueue } else { ErrorKind::BadRequest };
        return refuse(kind, "the path does not end in a job's identity");
    };
    match &call.action {
        CallAction::Submit(Err(reason)) => refuse(ErrorKind::BadRequest, reason),
        CallAction::Submit(Ok(spec)) => {
            spec.check().map_err(|error| (ErrorKind::BadRequest, error.to_string()))?;
            check_sizes(world, &queue.policy.pool, spec, now_ms)?;
            accept::accept_job(world, call, job, &queue.policy, spec, now_ms);
            Ok(())
        }
        CallAction::Ask => {
            ask::ask_state(world, call.number, job, call.deadline_ms, now_ms);
            Ok(())
        }
        CallAction::Cancel => {
            cancel::cancel_job(world, call.number, job, call.deadline_ms, now_ms);
            Ok(())
        }
    }
}

/// Oldest word of the holder about the sizes of hosts that is relied on, in milliseconds.
const SIZES_AGE_MS: u64 = 5_000;

/// Refuses a job of which a task is larger than every host that its pool is known to have had.
fn check_sizes(world: &World, pool: &PoolName, spec: &JobSpec, now_ms: u64) -> Result<(), Refusal> {
    let news = world.front.holder_news.as_ref().filter(|news| now_ms <= news.heard_ms + SIZES_AGE_MS);
    let known =
        if world.holding.is_holding() { Some(world.hosts.largest()) } else { news.map(|news| &news.largest) };
    let Some(largest) = known.and_then(|known| known.get(pool)) else { return Ok(()) };
    match spec.steps.iter().position(|step| !step.size.fits_within(largest)) {
        Some(number) => {
            let size = spec.steps[number].size;
            Err((
                ErrorKind::SizeTooLarge,
                format!("step {number} needs {size:?}, hosts have up to {largest:?}"),
            ))
        }
        None => Ok(()),
    }
}

/// Forgets calls whose callers went away before a job was stored.
pub fn drop_gone_callers(world: &mut World, _now_ms: u64) {
    for number in std::mem::take(&mut world.inbox.callers_gone) {
        let storing = world
            .front
            .calls
            .get(&number)
            .is_some_and(|call| matches!(call.stage, CallStage::Storing { .. } | CallStage::Cancelling));
        // What is being stored is finished, so that the holder hears of it.
        if !storing {
            world.front.calls.remove(&number);
        }
    }
}

/// What to do about a call that waits to be tried again.
enum Retry {
    /// Nothing yet.
    Wait,
    /// Give up: the time is over.
    GiveUp,
    /// Try again.
    Again,
    /// The peer that was asked to help has not answered.
    RelayLost,
}

fn decide_retry(call: &OpenCall, now_ms: u64) -> Retry {
    if now_ms + ANSWER_MARGIN_MS >= call.deadline_ms {
        return Retry::GiveUp;
    }
    match (call.relayed_until_ms, call.retry_at_ms) {
        (Some(until_ms), _) if now_ms >= until_ms => Retry::RelayLost,
        (None, Some(at_ms)) if now_ms >= at_ms => Retry::Again,
        _ => Retry::Wait,
    }
}

/// Repeats store calls that failed, and gives up calls whose time is over.
pub fn retry_calls(world: &mut World, now_ms: u64) {
    let numbers: Vec<CallNumber> = world.front.calls.keys().copied().collect();
    for number in numbers {
        let Some(call) = world.front.calls.get(&number) else { continue };
        match decide_retry(call, now_ms) {
            Retry::GiveUp => give_up(world, number, now_ms),
            Retry::Again => try_again(world, number, now_ms),
            Retry::RelayLost => relay::lose_relay(world, number, now_ms),
            Retry::Wait => {
                let mut wake_ms = call.deadline_ms.saturating_sub(ANSWER_MARGIN_MS);
                wake_ms = wake_ms.min(call.retry_at_ms.unwrap_or(u64::MAX));
                wake_ms = wake_ms.min(call.relayed_until_ms.unwrap_or(u64::MAX));
                if let (CallStage::AskingHolder { until_ms }, None) = (&call.stage, call.relayed_until_ms) {
                    let until_ms = *until_ms;
                    if now_ms >= until_ms {
                        ask::read_store(world, number, now_ms);
                        continue;
                    }
                    wake_ms = wake_ms.min(until_ms);
                }
                world.wake_by(wake_ms);
            }
        }
    }
}

fn give_up(world: &mut World, number: CallNumber, now_ms: u64) {
    let Some(call) = world.front.calls.get(&number) else { return };
    let kind = match call.stage {
        CallStage::Storing { uncertain: true, .. } => ErrorKind::RecordUncertain,
        // The store may still answer a call that is under way.
        CallStage::Storing { uncertain: false, .. } if call.retry_at_ms.is_none() => {
            ErrorKind::RecordUncertain
        }
        CallStage::Storing { uncertain: false, .. } => ErrorKind::StoreAway,
        _ => ErrorKind::StateAway,
    };
    refuse_call(world, number, kind, "the time is over", now_ms);
}

/// Describes a refusal by what it was decided on: the configuration's version and the age of the store's last answer.
fn refusal_note(world: &World, kind: ErrorKind, reason: &str, now_ms: u64) -> LogNote {
    let version = world.config.in_force.as_ref().map_or(0, |config| config.version);
    LogNote::new(EventId::CallRefused)
        .with("kind", format!("{kind:?}"))
        .with("reason", reason)
        .with("config_version", version)
        .with("store_answered_ms_ago", now_ms.saturating_sub(world.store.answered_ms))
}

/// Answers an open call with an error.
pub(crate) fn refuse_call(world: &mut World, number: CallNumber, kind: ErrorKind, reason: &str, now_ms: u64) {
    let Some(call) = world.front.calls.get(&number) else { return };
    let note = refusal_note(world, kind, reason, now_ms).with("job", call.job);
    let note = note.with("open_ms", now_ms.saturating_sub(call.arrived_ms)).with("relays", call.relays);
    world.log(note);
    let retry_ms = kind.answer_row().retryable.then_some(COME_BACK_MS);
    world.answer(number, FrontAnswer::Error { kind, retry_ms });
}

fn try_again(world: &mut World, number: CallNumber, now_ms: u64) {
    if relay::relay_call(world, number, now_ms) {
        return;
    }
    let Some(call) = world.front.calls.get_mut(&number) else { return };
    call.retry_at_ms = None;
    match call.stage {
        CallStage::Storing { .. } => accept::store_job(world, number, now_ms),
        CallStage::AskingHolder { .. } | CallStage::ReadingProgress | CallStage::ReadingJob => {
            ask::read_store(world, number, now_ms);
        }
        CallStage::FindingJob => cancel::find_job(world, number, now_ms),
        CallStage::Cancelling => cancel::store_cancel(world, number, now_ms),
    }
}
