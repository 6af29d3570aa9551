//! Following ranges of the store by listing and watching.

use cassiahoist_core::prelude::*;
use cassiahoist_world::inbox::RangeNews;
use cassiahoist_world::prelude::*;
use cassiahoist_world::store::{KeySpace, StoreAnswered, StoreOp, StorePurpose, StoreReply};

/// How long a watch waits for a change, in milliseconds. If its answer is lost, the next one begins within the three
/// seconds after which the store counts as stable again.
const WATCH_WAIT_MS: u64 = 2_200;

/// How long a page of a listing may take beside its way over the link, in milliseconds.
const PAGE_PATIENCE_MS: u64 = 1_500;

/// Most that a page holds, in megabits, times the listings that a new holder makes at the same time.
const PAGES_MEGABITS: u64 = 8 * 3;

/// Gives how long a page of a listing may take on this daemon's link, in milliseconds.
pub(crate) fn page_patience_ms(world: &World) -> u64 {
    PAGE_PATIENCE_MS + PAGES_MEGABITS * 1_000 / u64::from(world.local.limits.link_mbps.max(1))
}

/// Pause after a failed call, in milliseconds.
const RETRY_MS: u64 = 250;

/// Pause between watches of new jobs, in milliseconds; front servers tell the holder of new jobs directly.
const JOBS_PAUSE_MS: u64 = 1_000;

/// Pause between watches of hosts' entries, in milliseconds: each heartbeat of a host may change its entry, and a
/// watch that returned for each would be dozens of calls a second.
const HOSTS_PAUSE_MS: u64 = 400;

/// An answer with so many changes may be cut short by the store, so that the next watch is made without a pause. The
/// store gives at most about 500 items at a time.
const FULL_CHANGES: usize = 300;

/// Ranges that every daemon follows.
const ALWAYS: [KeySpace; 2] = [KeySpace::Operators, KeySpace::Cell];

/// Ranges that the holder follows.
const AT_HOLDER: [KeySpace; 2] = [KeySpace::Hosts, KeySpace::Jobs];

/// Notes whether the store answers and files what followed ranges brought.
pub fn sort_store_answers(world: &mut World, now_ms: u64) {
    for index in 0..world.inbox.store.len() {
        let answered = &world.inbox.store[index];
        let (failed, started_ms) = (answered.outcome.is_err(), answered.started_ms);
        let watch = matches!(&answered.outcome, Ok(StoreReply::Changes { .. } | StoreReply::HistoryGone));
        if !failed && !watch {
            world.store.note_answer(now_ms.saturating_sub(started_ms));
        }
        note_link(world, failed, started_ms, now_ms);
    }
    for answered in world.inbox.take_store(|purpose| matches!(purpose, StorePurpose::Follow(_))) {
        if let StorePurpose::Follow(space) = answered.purpose {
            read_follow_answer(world, space, answered, now_ms);
        }
    }
}

fn note_link(world: &mut World, failed: bool, started_ms: u64, now_ms: u64) {
    if failed && started_ms < world.store.answered_ms {
        // A later call was answered.
        return;
    }
    let was_failing = world.store.is_failing();
    if failed {
        world.store.failing_since_ms.get_or_insert(now_ms);
    } else {
        world.store.answered_ms = now_ms;
        world.store.failing_since_ms = None;
    }
    if failed && !was_failing {
        world.log(LogNote::new(EventId::StoreUnreachable));
    } else if !failed && was_failing {
        world.log(LogNote::new(EventId::StoreReachable));
    }
}

fn read_follow_answer(world: &mut World, space: KeySpace, answered: StoreAnswered, now_ms: u64) {
    let follow = world.store.follows.entry(space).or_default();
    follow.in_flight = false;
    follow.next_ms = now_ms;
    if answered.started_ms < follow.valid_from_ms {
        return;
    }
    match answered.outcome {
        Ok(StoreReply::Items { items, revision }) => {
            follow.revision = Some(revision);
            world.inbox.ranges.push((space, RangeNews::Whole(items)));
        }
        Ok(StoreReply::Changes { changes, revision }) => {
            follow.revision = Some(revision);
            if changes.len() < FULL_CHANGES {
                follow.next_ms = now_ms + pause_ms(space);
            }
            if !changes.is_empty() {
                world.inbox.ranges.push((space, RangeNews::Changes(changes)));
            }
        }
        Ok(_) => {
            follow.revision = None;
            world.log(LogNote::new(EventId::StoreHistoryGone).with("range", format!("{space:?}")));
        }
        Err(_) => follow.next_ms = now_ms + RETRY_MS,
    }
}

/// Gives the pause between watches of a range, in milliseconds.
fn pause_ms(space: KeySpace) -> u64 {
    match space {
        KeySpace::Jobs => JOBS_PAUSE_MS,
        KeySpace::Hosts => HOSTS_PAUSE_MS,
        KeySpace::Operators | KeySpace::Cell | KeySpace::Progress => 0,
    }
}

/// Lists or watches each range that this daemon follows.
pub fn follow_ranges(world: &mut World, now_ms: u64) {
    for space in ALWAYS {
        follow_range(world, space, now_ms);
    }
    if world.holding.fence().is_some() {
        for space in AT_HOLDER {
            follow_range(world, space, now_ms);
        }
    } else {
        for space in AT_HOLDER {
            world.store.follows.entry(space).or_default().restart(now_ms);
        }
    }
}

fn follow_range(world: &mut World, space: KeySpace, now_ms: u64) {
    let (patience_ms, page_patience_ms) = (world.store.patience_ms(), page_patience_ms(world));
    let follow = world.store.follows.entry(space).or_default();
    if follow.in_flight {
        return;
    }
    if now_ms < follow.next_ms {
        let next_ms = follow.next_ms;
        return world.wake_by(next_ms);
    }
    follow.in_flight = true;
    let (op, patience_ms) = match follow.revision {
        Some(after) => (StoreOp::Watch { space, after, wait_ms: WATCH_WAIT_MS }, WATCH_WAIT_MS + patience_ms),
        None => (StoreOp::List(space), page_patience_ms),
    };
    world.call_store(StorePurpose::Follow(space), op, now_ms, patience_ms);
}
