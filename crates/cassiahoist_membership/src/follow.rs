//! Replication of store ranges, each of which is listed once and then watched.

use cassiahoist_core::prelude::*;
use cassiahoist_world::inbox::RangeUpdate;
use cassiahoist_world::prelude::*;
use cassiahoist_world::store::{KeySpace, StoreCompletion, StoreFailure, StoreOp, StorePurpose, StoreReply};
use cassiahoist_world::store_connection::TIMEOUT_BOUNDS_MS;

/// How long a watch waits for a change, in milliseconds.
///
/// Three seconds after an outage the store counts as stable again. If the answer to a watch is lost, the next one
/// begins within that time.
const WATCH_WAIT_MS: u64 = 2_200;

/// Watches of the operators' configuration that fit into the longest life of a withdrawn key.
///
/// A watch confirms the configuration for the time before it began, so its result is as old as two watches when the next
/// one ends. The rest outlasts a watch whose answer is lost.
const WATCHES_PER_REVOCATION: u64 = 4;

/// Returns how long a watch of a range waits for a change, in milliseconds.
fn watch_wait_ms(space: KeySpace, bounds: &Bounds) -> u64 {
    match (space, bounds.max_config_age_ms()) {
        (KeySpace::Operators, Some(max_age_ms)) => WATCH_WAIT_MS.min(max_age_ms / WATCHES_PER_REVOCATION),
        _ => WATCH_WAIT_MS,
    }
}

/// Timeout of one page of a listing, in milliseconds, without its transfer time.
const PAGE_TIMEOUT_MS: u64 = 1_500;

/// Largest volume of concurrent pages, in megabits.
///
/// It is the largest size of a page times the number of concurrent listings of a new holder.
const LISTINGS_MEGABITS: u64 = 8 * 3;

/// Returns the timeout of one page on this daemon's link, in milliseconds.
pub(crate) fn page_timeout_ms(world: &World) -> u64 {
    PAGE_TIMEOUT_MS + LISTINGS_MEGABITS * 1_000 / u64::from(world.local.limits.link_mbps.max(1))
}

/// Delay before a failed call is retried, in milliseconds.
const RETRY_DELAY_MS: u64 = 250;

/// Pause between watches of new jobs, in milliseconds. Daemons notify the holder of new jobs directly.
const JOBS_PAUSE_MS: u64 = 1_000;

/// Pause between watches of host entries, in milliseconds.
///
/// Each heartbeat of a host may change its entry; a watch that returned for each would cause dozens of calls a second.
const HOSTS_PAUSE_MS: u64 = 400;

/// Age above which a followed range is stale, in milliseconds.
///
/// A watch that waits and times out once, with the longest pause before it, is younger.
const STALE_AFTER_MS: u64 = WATCH_WAIT_MS + *TIMEOUT_BOUNDS_MS.end() + JOBS_PAUSE_MS;

/// Fewest changes in an answer that the store may have truncated.
///
/// The next watch then starts without a pause. The store returns at most about 500 items at a time.
const MIN_TRUNCATED_CHANGES: usize = 300;

/// Store ranges that every daemon follows.
const MEMBER_RANGES: [KeySpace; 2] = [KeySpace::Operators, KeySpace::Cell];

/// Store ranges that only the holder follows.
const HOLDER_RANGES: [KeySpace; 2] = [KeySpace::Hosts, KeySpace::Jobs];

/// Updates the store's reachability and routes answers of followed ranges to the inbox.
pub fn route_store_answers(world: &mut World, now_ms: u64) {
    for index in 0..world.inbox.store_results.len() {
        let completion = &world.inbox.store_results[index];
        if matches!(completion.outcome, Err(failure) if failure.is_local_failure()) {
            world.counters.store_calls_unsent += 1;
            continue;
        }
        let purpose = completion.purpose.clone();
        let failure = completion.outcome.as_ref().err().copied();
        let issued_at_ms = completion.issued_at_ms;
        // The store holds a watch until a change, so its duration is not counted as latency.
        let is_watch =
            matches!(&completion.outcome, Ok(StoreReply::Changes { .. } | StoreReply::HistoryCompacted));
        if failure.is_none() && !is_watch {
            world.store_connection.record_latency(now_ms.saturating_sub(issued_at_ms));
        }
        match failure {
            Some(kind) => record_store_failure(world, &purpose, kind, issued_at_ms, now_ms),
            None => record_store_answer(world, &purpose, now_ms),
        }
    }
    for completion in
        world.inbox.take_store_results(|purpose| matches!(purpose, StorePurpose::FollowRange(_)))
    {
        if let StorePurpose::FollowRange(space) = completion.purpose {
            apply_range_answer(world, space, completion, now_ms);
        }
    }
}

fn record_store_failure(
    world: &mut World,
    purpose: &StorePurpose,
    failure: StoreFailure,
    issued_at_ms: u64,
    now_ms: u64,
) {
    world.counters.store_calls_failed += 1;
    let connection = &mut world.store_connection;
    // If a later call was answered, this failure says nothing about the current state.
    if issued_at_ms < connection.last_answer_at_ms {
        return;
    }
    connection.failed_calls += 1;
    if connection.is_failing() {
        return;
    }
    connection.failing_since_ms = Some(now_ms);
    let answered_ms_ago = now_ms.saturating_sub(connection.last_answer_at_ms);
    let log_record = LogRecord::new(EventId::StoreUnreachable).with("purpose", format!("{purpose:?}"));
    let log_record = log_record.with("failure", format!("{failure:?}"));
    let log_record = log_record.with("took_ms", now_ms.saturating_sub(issued_at_ms));
    world.log(log_record.with("store_answered_ms_ago", answered_ms_ago));
}

fn record_store_answer(world: &mut World, purpose: &StorePurpose, now_ms: u64) {
    let connection = &mut world.store_connection;
    connection.last_answer_at_ms = now_ms;
    let failed_calls = std::mem::take(&mut connection.failed_calls);
    if let Some(since_ms) = connection.failing_since_ms.take() {
        let log_record = LogRecord::new(EventId::StoreReachable).with("purpose", format!("{purpose:?}"));
        let log_record = log_record.with("for_ms", now_ms.saturating_sub(since_ms));
        world.log(log_record.with("failed_calls", failed_calls));
    }
}

fn apply_range_answer(world: &mut World, space: KeySpace, completion: StoreCompletion, now_ms: u64) {
    let range = world.store_connection.followed_ranges.entry(space).or_default();
    range.in_flight = false;
    range.next_call_at_ms = now_ms;
    if completion.issued_at_ms < range.ignore_issued_before_ms {
        return;
    }
    match completion.outcome {
        Ok(_) => record_range_answer(world, space, now_ms),
        Err(failure) => record_range_failure(world, space, failure, completion.issued_at_ms, now_ms),
    }
    let range = world.store_connection.followed_ranges.entry(space).or_default();
    match completion.outcome {
        Ok(StoreReply::Items { items, revision }) => {
            range.revision = Some(revision);
            range.confirmed_at_ms = completion.issued_at_ms;
            world.inbox.range_updates.push((space, RangeUpdate::Listing(items)));
        }
        Ok(StoreReply::Changes { changes, revision }) => {
            range.revision = Some(revision);
            if changes.len() < MIN_TRUNCATED_CHANGES {
                range.confirmed_at_ms = completion.issued_at_ms;
                range.next_call_at_ms = now_ms + watch_pause_ms(space);
            }
            if !changes.is_empty() {
                world.inbox.range_updates.push((space, RangeUpdate::Changes(changes)));
            }
        }
        Ok(_) => {
            range.revision = None;
            world.log(LogRecord::new(EventId::StoreHistoryCompacted).with("range", format!("{space:?}")));
        }
        Err(_) => range.next_call_at_ms = now_ms + RETRY_DELAY_MS,
    }
}

fn record_range_answer(world: &mut World, space: KeySpace, now_ms: u64) {
    let range = world.store_connection.followed_ranges.entry(space).or_default();
    let answered_at_ms = std::mem::replace(&mut range.last_answer_at_ms, now_ms);
    range.answer_gap_ms = now_ms.saturating_sub(answered_at_ms);
    let (was_stale, failed_calls) =
        (std::mem::take(&mut range.is_stale), std::mem::take(&mut range.failed_calls));
    if was_stale || failed_calls > 0 {
        let log_record = LogRecord::new(EventId::RangeFresh).with("range", format!("{space:?}"));
        let log_record = log_record.with("age_ms", range.answer_gap_ms);
        world.log(log_record.with("failed_calls", failed_calls));
    }
}

/// Counts a failed call for a range, and logs the first one since the last answer.
fn record_range_failure(
    world: &mut World,
    space: KeySpace,
    failure: StoreFailure,
    issued_at_ms: u64,
    now_ms: u64,
) {
    let range = world.store_connection.followed_ranges.entry(space).or_default();
    range.failed_calls += 1;
    if range.failed_calls > 1 {
        return;
    }
    let log_record = LogRecord::new(EventId::RangeCallFailed).with("range", format!("{space:?}"));
    let log_record = log_record
        .with("failure", format!("{failure:?}"))
        .with("took_ms", now_ms.saturating_sub(issued_at_ms))
        .with("age_ms", now_ms.saturating_sub(range.last_answer_at_ms));
    world.log(log_record);
}

/// Returns the pause between watches of a range, in milliseconds.
fn watch_pause_ms(space: KeySpace) -> u64 {
    match space {
        KeySpace::Jobs => JOBS_PAUSE_MS,
        KeySpace::Hosts => HOSTS_PAUSE_MS,
        KeySpace::Operators | KeySpace::Cell | KeySpace::Progress => 0,
    }
}

/// Starts the listing or watch that is due of each followed range.
///
/// Ranges of the holder are listed anew after each claim, since other daemons don't follow them.
pub fn follow_ranges(world: &mut World, now_ms: u64) {
    for space in MEMBER_RANGES {
        follow_range(world, space, now_ms);
    }
    if world.holding.fence().is_some() {
        for space in HOLDER_RANGES {
            follow_range(world, space, now_ms);
        }
    } else {
        for space in HOLDER_RANGES {
            let range = world.store_connection.followed_ranges.entry(space).or_default();
            range.relist(now_ms);
            range.last_answer_at_ms = now_ms;
            range.is_stale = false;
            range.failed_calls = 0;
        }
    }
}

/// Logs each followed range that the store has not answered for longer than a watch takes.
pub fn detect_stale_ranges(world: &mut World, now_ms: u64) {
    let mut log_records = Vec::new();
    for (space, range) in &mut world.store_connection.followed_ranges {
        let age_ms = now_ms.saturating_sub(range.last_answer_at_ms);
        if age_ms > STALE_AFTER_MS && !range.is_stale {
            range.is_stale = true;
            let log_record = LogRecord::new(EventId::RangeStale).with("range", format!("{space:?}"));
            let log_record = log_record.with("age_ms", age_ms).with("in_flight", range.in_flight);
            log_records.push(log_record.with("failed_calls", range.failed_calls));
        }
    }
    for log_record in log_records {
        world.log(log_record);
    }
}

fn follow_range(world: &mut World, space: KeySpace, now_ms: u64) {
    let (timeout_ms, page_timeout_ms) = (world.store_connection.call_timeout_ms(), page_timeout_ms(world));
    let wait_ms = watch_wait_ms(space, &world.local.bounds);
    let range = world.store_connection.followed_ranges.entry(space).or_default();
    if range.in_flight {
        return;
    }
    if now_ms < range.next_call_at_ms {
        let next_call_at_ms = range.next_call_at_ms;
        return world.wake_by(next_call_at_ms);
    }
    range.in_flight = true;
    let (op, timeout_ms) = match range.revision {
        Some(after) => (StoreOp::Watch { space, after, wait_ms }, wait_ms + timeout_ms),
        None => (StoreOp::List(space), page_timeout_ms),
    };
    world.call_store(StorePurpose::FollowRange(space), op, now_ms, timeout_ms);
}
