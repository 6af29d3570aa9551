//! The choice of a worker.

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::{HostId, HostRole};
use cassiahoist_world::prelude::*;
use cassiahoist_world::runs::TaskOrder;

/// Scores a worker for a task; the lowest score wins.
pub trait FitPolicy {
    /// Gives the score of a worker with this much room and capacity.
    fn score(&self, size: &Resources, free: &Resources, capacity: &Resources) -> u64;
}

/// Prefers the worker that is left with the least room.
#[derive(Clone, Copy, Debug, Default)]
pub struct BestFit;

impl FitPolicy for BestFit {
    fn score(&self, size: &Resources, free: &Resources, capacity: &Resources) -> u64 {
        (free.minus(size).dominant_share(capacity) * 1e6) as u64
    }
}

/// Finds the best worker for a task among the adopted workers held here.
pub fn choose_worker<P: FitPolicy>(
    world: &World,
    order: &TaskOrder,
    policy: &P,
    now_ms: u64,
) -> Option<HostId> {
    let score = |id: HostId| {
        let host = world.hosts.get(id)?;
        let HostRole::Worker { capacity } = &host.report.role else {
            return None;
        };
        let permit = world.slices.permit(host.slice, now_ms)?;
        let free = world.hosts.free_resources(id);
        let usable = host.takes_work(permit.term)
            && host.report.name.fleet == order.task.job.fleet
            && order.size.fits_within(&free)
            && !order.avoid.contains(&host.report.name);
        usable.then(|| (policy.score(&order.size, &free, capacity), id))
    };
    world.hosts.iter().filter_map(|(id, _)| score(id)).min().map(|(_, id)| id)
}
