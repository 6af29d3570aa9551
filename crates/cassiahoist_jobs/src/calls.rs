//! Admits callers' calls, routes them to a queue and retries those still open.

use cassiahoist_accounts::config_age::{ConfigAge, judge_config_age};
use cassiahoist_accounts::identity::{Identity, identify_caller};
use cassiahoist_accounts::usage::check_cap;
use cassiahoist_core::prelude::*;
use cassiahoist_world::calls::{CallAction, CallAnswer, CallNumber, CallRequest, CallStage, OpenCall};
use cassiahoist_world::prelude::*;
use cassiahoist_world::spec::JobSpec;

use crate::{accept, cancel, query, relay};

/// Maximum number of open calls of a daemon; further ones are refused.
pub(crate) const MAX_OPEN_CALLS: usize = 2_000;

/// Delay after which a refused caller should retry, in milliseconds.
pub(crate) const RETRY_AFTER_MS: u64 = 1_000;

/// Time reserved to deliver the answer to the caller, in milliseconds.
pub(crate) const ANSWER_MARGIN_MS: u64 = 150;

/// Delay before a failed store call is retried, in milliseconds.
pub(crate) const STORE_RETRY_MS: u64 = 200;

/// Admits or refuses the calls that arrived since the last tick.
pub fn admit_calls(world: &mut World, now_ms: u64) {
    for call in std::mem::take(&mut world.inbox.calls) {
        world.counters.calls += 1;
        if let Err((kind, reason)) = admit_call(world, &call, now_ms) {
            let retry_after_ms = kind.answer().retryable.then_some(RETRY_AFTER_MS);
            let log_record = build_refusal_record(world, kind, &reason, now_ms).with("path", &call.path);
            world.log(log_record);
            world.answer_call(call.number, CallAnswer::Error { kind, retry_after_ms });
        }
    }
}

type Refusal = (ErrorKind, String);

fn admit_call(world: &mut World, call: &CallRequest, now_ms: u64) -> Result<(), Refusal> {
    let refuse = |kind: ErrorKind, reason: &str| Err((kind, reason.to_owned()));
    let Some(config) = world.config.current.clone() else {
        return refuse(ErrorKind::NotConfigured, "no configuration has been read yet");
    };
    let Some((queue, path_rest)) = config.route(&call.host_name, &call.path) else {
        return refuse(
            ErrorKind::UnknownQueue,
            &format!("no route in configuration version {}", config.version),
        );
    };
    let caller = match identify_caller(&world.config, &world.local.bounds, queue, &call.credential, now_ms) {
        Identity::Known(caller) => caller,
        Identity::Unknown => {
            world.counters.calls_unauthenticated += 1;
            return refuse(
                ErrorKind::Unauthenticated,
                "the call carries no key of the configuration in force",
            );
        }
        Identity::Unconfirmed { age_ms } => {
            world.counters.calls_config_outdated += 1;
            return refuse(
                ErrorKind::ConfigOutdated,
                &format!("the configuration was confirmed {age_ms} ms ago"),
            );
        }
    };
    if world.calls.open.len() >= MAX_OPEN_CALLS {
        return refuse(ErrorKind::Overloaded, "too many calls are open");
    }
    if call.body_bytes > config.max_body_bytes {
        return refuse(ErrorKind::BodyTooLarge, &format!("{} bytes", call.body_bytes));
    }
    if path_rest.is_empty() && call.action == CallAction::Query {
        return query::answer_queued_jobs(world, call.number, &queue.policy.queue, now_ms);
    }
    let Ok(job) = path_rest.parse::<JobId>() else {
        let kind =
            if call.action == CallAction::Query { ErrorKind::UnknownQueue } else { ErrorKind::BadRequest };
        return refuse(kind, "the path does not end in a job id");
    };
    match &call.action {
        CallAction::Submit(Err(reason)) => refuse(ErrorKind::BadRequest, reason),
        CallAction::Submit(Ok(spec)) => {
            spec.validate().map_err(|error| (ErrorKind::BadRequest, error.to_string()))?;
            spec.check_bounds().map_err(|bound| (ErrorKind::JobTooLarge, bound))?;
            check_sizes(world, &queue.policy.pool, spec, now_ms)?;
            if let Some(Err(excess)) = caller.account().map(|account| check_cap(world, account, spec)) {
                check_cap_age(world, now_ms)?;
                accept::look_up_beyond_cap(world, call, job, caller, &excess, now_ms);
                return Ok(());
            }
            let record = accept::build_record(world, job, &queue.policy, spec, &caller);
            accept::accept_job(world, call, record, caller, now_ms);
            Ok(())
        }
        CallAction::Query => {
            query::open_state_query(world, call, job, caller, now_ms);
            Ok(())
        }
        CallAction::Cancel => {
            cancel::cancel_job(world, call, job, caller, now_ms);
            Ok(())
        }
    }
}

/// Refuses a call while a configuration that must be in force may have raised the cap of its account.
fn check_cap_age(world: &mut World, now_ms: u64) -> Result<(), Refusal> {
    let max_age_ms = world.local.bounds.max_unknown_key_age_ms();
    match judge_config_age(&world.config, max_age_ms, now_ms) {
        ConfigAge::Outdated { age_ms } => {
            world.counters.calls_config_outdated += 1;
            Err((ErrorKind::ConfigOutdated, format!("the configuration was confirmed {age_ms} ms ago")))
        }
        ConfigAge::Unlimited | ConfigAge::ConfirmedUntil(_) => Ok(()),
    }
}

/// Maximum age of the capacities in a heartbeat that are still used, in milliseconds.
const MAX_CAPACITY_AGE_MS: u64 = 5_000;

/// Refuses a job with a task that exceeds the pool's largest known capacities.
///
/// The holder takes them from its tables, other daemons from the latest heartbeat. Accepts every size while no recent
/// ones are known.
fn check_sizes(world: &World, pool: &PoolName, spec: &JobSpec, now_ms: u64) -> Result<(), Refusal> {
    let recent_status = world
        .calls
        .holder_status
        .as_ref()
        .filter(|status| now_ms <= status.received_at_ms + MAX_CAPACITY_AGE_MS);
    let largest_by_pool = if world.holding.is_holding() {
        Some(world.hosts.largest_by_pool())
    } else {
        recent_status.map(|status| &status.largest_by_pool)
    };
    let Some(largest) = largest_by_pool.and_then(|capacities| capacities.get(pool)) else { return Ok(()) };
    match spec.steps.iter().position(|step| !step.task_size.fits_within(largest)) {
        Some(index) => {
            let size = spec.steps[index].task_size;
            Err((
                ErrorKind::SizeTooLarge,
                format!("step {index} needs {size:?}, but hosts of the pool have at most {largest:?}"),
            ))
        }
        None => Ok(()),
    }
}

/// Drops calls whose callers disconnected, except those that write to the store.
pub fn drop_disconnected_callers(world: &mut World, _now_ms: u64) {
    for number in std::mem::take(&mut world.inbox.disconnected_calls) {
        let is_writing = world.calls.open.get(&number).is_some_and(|call| {
            matches!(
                call.stage,
                CallStage::Storing { .. } | CallStage::Cancelling | CallStage::CancellingUnstored
            )
        });
        // A write that may take effect is completed, so that the holder is notified of it.
        if !is_writing {
            world.calls.open.remove(&number);
        }
    }
}

/// What to do with an open call in this tick.
enum RetryDecision {
    /// Waits for an answer, a deadline or the time of the retry.
    Wait,
    /// Answers with an error, since the deadline is too close for anything else.
    TimeOut,
    /// Repeats the failed store call.
    RetryNow,
    /// Gives up on the peer that has not answered the relayed call.
    TimeOutRelay,
}

fn decide_retry(call: &OpenCall, now_ms: u64) -> RetryDecision {
    if now_ms + ANSWER_MARGIN_MS >= call.deadline_ms {
        return RetryDecision::TimeOut;
    }
    match (call.relay_deadline_ms, call.retry_at_ms) {
        (Some(deadline_ms), _) if now_ms >= deadline_ms => RetryDecision::TimeOutRelay,
        (None, Some(at_ms)) if now_ms >= at_ms => RetryDecision::RetryNow,
        _ => RetryDecision::Wait,
    }
}

/// Retries open calls and refuses those whose deadline is too close.
///
/// Failed store calls are repeated. A call that the holder has not answered in time is answered from the store.
pub fn retry_calls(world: &mut World, now_ms: u64) {
    let numbers: Vec<CallNumber> = world.calls.open.keys().copied().collect();
    for number in numbers {
        let Some(call) = world.calls.open.get(&number) else { continue };
        match decide_retry(call, now_ms) {
            RetryDecision::TimeOut => time_out_call(world, number, now_ms),
            RetryDecision::RetryNow => retry_call(world, number, now_ms),
            RetryDecision::TimeOutRelay => relay::time_out_relay(world, number, now_ms),
            RetryDecision::Wait => {
                let mut wake_ms = call.deadline_ms.saturating_sub(ANSWER_MARGIN_MS);
                wake_ms = wake_ms.min(call.retry_at_ms.unwrap_or(u64::MAX));
                wake_ms = wake_ms.min(call.relay_deadline_ms.unwrap_or(u64::MAX));
                if let (CallStage::QueryingHolder { deadline_ms }, None) =
                    (&call.stage, call.relay_deadline_ms)
                {
                    let deadline_ms = *deadline_ms;
                    if now_ms >= deadline_ms {
                        query::query_store(world, number, now_ms);
                        continue;
                    }
                    wake_ms = wake_ms.min(deadline_ms);
                }
                world.wake_by(wake_ms);
            }
        }
    }
}

fn time_out_call(world: &mut World, number: CallNumber, now_ms: u64) {
    let Some(call) = world.calls.open.get(&number) else { return };
    let kind = match call.stage {
        _ if call.may_be_stored || call.is_storing() => ErrorKind::RecordUncertain,
        // An earlier submission may have stored the job.
        CallStage::CheckingStored { .. } => ErrorKind::RecordUncertain,
        CallStage::Storing { .. } => ErrorKind::StoreAway,
        _ => ErrorKind::StateAway,
    };
    refuse_call(world, number, kind, "deadline exceeded", now_ms);
}

/// Builds the log record of a refusal.
///
/// It includes the facts behind the decision: the configuration's version and the age of what the store and the holder
/// last said.
fn build_refusal_record(world: &World, kind: ErrorKind, reason: &str, now_ms: u64) -> LogRecord {
    let version = world.config.current.as_ref().map_or(0, |config| config.version);
    let heartbeat_at_ms = world.calls.holder_status.as_ref().map(|status| status.received_at_ms);
    let heartbeat_ms_ago =
        heartbeat_at_ms.map_or("never".into(), |at_ms| now_ms.saturating_sub(at_ms).to_string());
    LogRecord::new(EventId::CallRefused)
        .with("kind", format!("{kind:?}"))
        .with("reason", reason)
        .with("config_version", version)
        .with("store_answered_ms_ago", now_ms.saturating_sub(world.store_connection.last_answer_at_ms))
        .with("heartbeat_ms_ago", heartbeat_ms_ago)
}

/// Answers an open call with an error and logs the refusal.
pub(crate) fn refuse_call(world: &mut World, number: CallNumber, kind: ErrorKind, reason: &str, now_ms: u64) {
    let Some(call) = world.calls.open.get(&number) else { return };
    let log_record = build_refusal_record(world, kind, reason, now_ms).with("job", call.job);
    let log_record = log_record
        .with("open_ms", now_ms.saturating_sub(call.arrived_at_ms))
        .with("relays", call.relay_count);
    world.log(log_record);
    let retry_after_ms = kind.answer().retryable.then_some(RETRY_AFTER_MS);
    world.answer_call(number, CallAnswer::Error { kind, retry_after_ms });
}

fn retry_call(world: &mut World, number: CallNumber, now_ms: u64) {
    if relay::try_relay_call(world, number, now_ms) {
        return;
    }
    let Some(call) = world.calls.open.get_mut(&number) else { return };
    call.retry_at_ms = None;
    match call.stage {
        CallStage::Storing { .. } => accept::store_job(world, number, now_ms),
        CallStage::QueryingHolder { .. }
        | CallStage::CheckingOwner
        | CallStage::ReadingProgress
        | CallStage::ReadingJob => {
            query::query_store(world, number, now_ms);
        }
        CallStage::CheckingStored { .. } => accept::read_stored_job(world, number, now_ms),
        CallStage::CheckingJobExists => cancel::look_up_job(world, number, now_ms),
        CallStage::Cancelling | CallStage::CancellingUnstored => {
            cancel::store_cancellation(world, number, now_ms);
        }
    }
}
