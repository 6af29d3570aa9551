//! Sends the holder's heartbeat to every other daemon at short intervals.

use cassiahoist_core::prelude::*;
use cassiahoist_world::peer::PeerMessage;
use cassiahoist_world::prelude::*;
use cassiahoist_world::record::JobState;
use cassiahoist_world::store::KeySpace;
use rustc_hash::FxHashMap;

/// Interval between heartbeats, in milliseconds.
///
/// Counts that callers get may be up to two seconds old.
const HEARTBEAT_INTERVAL_MS: u64 = 900;

/// Age of the last heartbeat from which the holder is silent, in milliseconds. One may be lost.
const MAX_HEARTBEAT_AGE_MS: u64 = 2 * HEARTBEAT_INTERVAL_MS + 100;

/// Logs when the holder's heartbeats stop to arrive, and when they arrive again.
///
/// Calls that need the holder's counts are refused meanwhile.
pub fn detect_silent_holder(world: &mut World, now_ms: u64) {
    let heartbeat_at_ms = world.calls.holder_status.as_ref().map_or(0, |status| status.received_at_ms);
    let age_ms = if world.holding.is_holding() { 0 } else { now_ms.saturating_sub(heartbeat_at_ms) };
    match world.calls.holder_silent_since_ms {
        None if age_ms > MAX_HEARTBEAT_AGE_MS => {
            world.calls.holder_silent_since_ms = Some(now_ms);
            log_silence(world, EventId::HolderSilent, age_ms, now_ms);
        }
        Some(since_ms) if age_ms <= MAX_HEARTBEAT_AGE_MS => {
            world.calls.holder_silent_since_ms = None;
            log_silence(world, EventId::HolderHeard, now_ms - since_ms, now_ms);
        }
        None | Some(_) => {}
    }
}

fn log_silence(world: &mut World, event: EventId, silent_ms: u64, now_ms: u64) {
    let holder = world.holding.claim.as_ref().map_or("none".into(), |(claim, _)| claim.holder.to_string());
    let log_record = LogRecord::new(event)
        .with("holder", holder)
        .with("silent_ms", silent_ms)
        .with("range_age_ms", world.store_connection.range_age_ms(KeySpace::Cell, now_ms));
    world.log(log_record);
}

/// Counts jobs that have not started, by queue; queues without one are absent.
#[must_use]
pub(crate) fn count_queued_jobs(world: &World) -> FxHashMap<QueueName, u64> {
    let mut counts = FxHashMap::default();
    for (_, job) in world.jobs.iter() {
        if job.state == JobState::Queued {
            *counts.entry(job.record.policy.queue.clone()).or_default() += 1;
        }
    }
    counts
}

/// Sends the fencing token, queued jobs by queue and largest capacities by pool.
pub fn send_heartbeat(world: &mut World, now_ms: u64) {
    let Some(fence) = world.holding.fence() else { return };
    if !world.holding.is_holding() {
        return;
    }
    let next_heartbeat_at_ms = world.calls.next_heartbeat_at_ms;
    if now_ms < next_heartbeat_at_ms {
        return world.wake_by(next_heartbeat_at_ms);
    }
    world.calls.next_heartbeat_at_ms = now_ms + HEARTBEAT_INTERVAL_MS;
    world.wake_by(now_ms + HEARTBEAT_INTERVAL_MS);
    let queued_jobs = count_queued_jobs(world);
    let largest_by_pool = world.hosts.largest_by_pool().clone();
    let peers = world.members.peer_addresses(&world.local.incarnation.member);
    let addresses: Vec<String> = peers.map(str::to_owned).collect();
    for address in addresses {
        let message = PeerMessage::Heartbeat {
            fence,
            queued_jobs: queued_jobs.clone(),
            largest_by_pool: largest_by_pool.clone(),
        };
        world.emit(Effect::SendPeerMessage { address, message });
    }
}
