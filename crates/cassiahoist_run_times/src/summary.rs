//! Keeps a summary of the learned run times in the store, for the next holder.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_membership::SLICE;
use cassiahoist_world::prelude::*;
use cassiahoist_world::run_time_summary::RunTimeSummary;
use cassiahoist_world::store::{
    StoreItem, StoreKey, StoreOp, StorePurpose, StoreReply, StoreValue, Transaction,
};

/// Timeout of a call about the summary, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_500;

/// Delay before a failed read is repeated, in milliseconds.
const RETRY_DELAY_MS: u64 = 500;

/// Shortest time between two writes, in milliseconds.
const MIN_INTERVAL_MS: u64 = 5_000;

/// Fewest ends since the last write that are worth another.
const MIN_NEW_ENDS: u64 = 50;

/// Reads the summary of earlier holders once a claim.
///
/// Nothing waits for it: until it arrives, estimates are the callers' own.
pub fn load_summary(world: &mut World, now_ms: u64) {
    apply_load_answers(world, now_ms);
    let Some(fence) = world.holding.fence().filter(|_| is_holder(world)) else { return };
    let summary = &mut world.run_times.summary;
    if summary.loaded_under == Some(fence) || summary.in_flight || now_ms < summary.next_call_at_ms {
        return;
    }
    summary.in_flight = true;
    let op = StoreOp::Get(StoreKey::RunTimes(SLICE));
    world.call_store(StorePurpose::LoadRunTimes, op, now_ms, CALL_TIMEOUT_MS);
}

fn is_holder(world: &World) -> bool {
    world.holding.is_adopting() || world.holding.is_holding()
}

fn apply_load_answers(world: &mut World, now_ms: u64) {
    for completion in world.inbox.take_store_results(|purpose| *purpose == StorePurpose::LoadRunTimes) {
        world.run_times.summary.in_flight = false;
        if !world.holding.is_since_claim(completion.issued_at_ms) {
            continue;
        }
        let Ok(StoreReply::Item(item)) = completion.outcome else {
            world.run_times.summary.next_call_at_ms = now_ms + RETRY_DELAY_MS;
            world.wake_by(now_ms + RETRY_DELAY_MS);
            continue;
        };
        world.run_times.summary.loaded_under = world.holding.fence();
        if let Some(item) = item {
            adopt_summary(world, &item);
        }
    }
}

fn adopt_summary(world: &mut World, item: &StoreItem) {
    let log_record = LogRecord::new(EventId::RunTimesAdopted);
    let outcome = match &item.value {
        StoreValue::RunTimes(summary) => summary.apply(&mut world.run_times).map(|()| summary),
        StoreValue::Unreadable { reason } => Err(reason.clone()),
        _ => Err("it is no summary of run times".into()),
    };
    let log_record = match outcome {
        Ok(summary) => log_record
            .with("shapes", summary.shapes.len())
            .with("kinds", summary.kinds.len())
            .with("age_ms", world.local.unix_ms.saturating_sub(summary.written_unix_ms)),
        Err(reason) => log_record.with("reason", reason),
    };
    world.log(log_record);
}

/// Writes the summary after enough ends, under the claim of this daemon.
///
/// A write that fails is not repeated for its own sake: the next one covers it.
pub fn write_summary(world: &mut World, now_ms: u64) {
    apply_write_answers(world);
    let Some(fence) = world.holding.fence().filter(|_| world.holding.is_holding()) else { return };
    let end_count = world.run_times.end_count();
    let summary = &mut world.run_times.summary;
    let is_due = summary.loaded_under == Some(fence)
        && !summary.in_flight
        && now_ms >= summary.next_call_at_ms
        && end_count >= summary.written_end_count + MIN_NEW_ENDS;
    if !is_due {
        return;
    }
    summary.in_flight = true;
    summary.next_call_at_ms = now_ms + MIN_INTERVAL_MS;
    summary.written_end_count = end_count;
    summary.written_unix_ms = world.local.unix_ms;
    let record = RunTimeSummary::new(&world.run_times, world.local.unix_ms);
    let transaction = Transaction::default()
        .with_expect(StoreKey::Claim(SLICE), fence.0)
        .with_put(StoreKey::RunTimes(SLICE), StoreValue::RunTimes(Arc::new(record)));
    world.call_store(StorePurpose::WriteRunTimes, StoreOp::Commit(transaction), now_ms, CALL_TIMEOUT_MS);
}

fn apply_write_answers(world: &mut World) {
    let answers = world.inbox.take_store_results(|purpose| *purpose == StorePurpose::WriteRunTimes);
    if !answers.is_empty() {
        world.run_times.summary.in_flight = false;
    }
}
