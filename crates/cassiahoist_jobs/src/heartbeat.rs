//! Sends the holder's heartbeat to every other daemon at short intervals.

use cassiahoist_core::prelude::*;
use cassiahoist_world::peer::PeerMessage;
use cassiahoist_world::prelude::*;
use cassiahoist_world::record::JobState;
use rustc_hash::FxHashMap;

/// Interval between heartbeats, in milliseconds.
///
/// Counts that callers get may be up to two seconds old.
const HEARTBEAT_INTERVAL_MS: u64 = 900;

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
