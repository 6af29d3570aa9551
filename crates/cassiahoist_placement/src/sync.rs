//! Commands to workers: starts, stops and lease renewals.

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::{Adoption, HostId, HostRole};
use cassiahoist_world::prelude::*;
use cassiahoist_world::runs::RunPhase;
use cassiahoist_world::worker::{WorkerCommand, WorkerCommandBody};

/// Interval between commands to a worker that runs something, in milliseconds.
const BUSY_SYNC_INTERVAL_MS: u64 = 200;

/// How long a start may stay unconfirmed before it is sent again, in milliseconds.
const START_REPEAT_MS: u64 = 1_000;

/// Access to the columns of commands under way.
#[derive(Debug)]
pub struct SyncTable;

impl SyncTable {
    /// Notes that a worker's command is answered or given up.
    pub fn answered(world: &mut World, host: HostId) {
        if let Some(sync) = world.hosts.sync.get_mut(host) {
            sync.in_flight = false;
        }
    }

    /// Notes that a worker may forget a finished task.
    pub fn forget(world: &mut World, host: HostId, task: TaskName) {
        if let Some(sync) = world.hosts.sync.get_mut(host) {
            sync.forget.push(task);
        }
    }
}

/// Sends each worker held here its command when one is due, one at a time a worker.
pub fn renew_leases(world: &mut World, now_ms: u64) {
    let ids: Vec<HostId> = world
        .hosts
        .iter()
        .filter(|(_, host)| matches!(host.report.role, HostRole::Worker { .. }))
        .map(|(id, _)| id)
        .collect();
    for id in ids {
        sync_worker(world, id, now_ms);
    }
    world.wake_by(now_ms + BUSY_SYNC_INTERVAL_MS);
}

fn sync_worker(world: &mut World, id: HostId, now_ms: u64) {
    let Some(host) = world.hosts.get(id) else { return };
    let Some(permit) = world.slices.permit(host.slice, now_ms) else {
        return;
    };
    let adopted = host.adoption == Adoption::Adopted { term: permit.term };
    let address = host.report.address.clone();
    let sync = &world.hosts.sync[id];
    if sync.in_flight {
        return;
    }
    let mut body = WorkerCommandBody {
        term: permit.term,
        lease_ms: world.local.timing.task_lease_ms,
        forget: sync.forget.clone(),
        ..WorkerCommandBody::default()
    };
    let last_ms = sync.last_ms;
    let mut starting = Vec::new();
    for &run_id in world.runs.on_host(id) {
        let Some(run) = world.runs.get(run_id) else {
            continue;
        };
        match run.phase {
            RunPhase::Starting { at_ms, .. } if at_ms >= last_ms || now_ms >= at_ms + START_REPEAT_MS => {
                body.start.push(run.order.clone());
                starting.push(run_id);
            }
            RunPhase::Stopping { .. } => body.stop.push(run.order.task.clone()),
            _ => {}
        }
    }
    let busy = !world.runs.on_host(id).is_empty();
    let interval_ms = if busy { BUSY_SYNC_INTERVAL_MS } else { world.local.timing.worker_sync_interval_ms };
    let urgent = !body.start.is_empty() || !adopted;
    if !urgent && now_ms < last_ms + interval_ms {
        return;
    }
    for run_id in starting {
        world.runs.set_phase(run_id, RunPhase::Starting { host: id, at_ms: now_ms });
    }
    let sync = &mut world.hosts.sync[id];
    (sync.in_flight, sync.last_ms) = (true, now_ms);
    sync.forget.clear();
    if !adopted && let Some(host) = world.hosts.get_mut(id) {
        host.adoption = Adoption::Asked { term: permit.term, at_ms: now_ms };
    }
    world.emit(Effect::Worker(WorkerCommand { host: id, address, permit, body }));
}
