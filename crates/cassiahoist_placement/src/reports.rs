//! Reports of workers.

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::{Adoption, HostHealth, HostId};
use cassiahoist_world::peer::{TaskNews, TaskNewsState};
use cassiahoist_world::prelude::*;
use cassiahoist_world::runs::{Run, RunId, RunPhase};
use cassiahoist_world::worker::{FinishedTask, RunningTask, WorkerReport};

use crate::orders::tell_owner;
use crate::place::unbook;
use crate::sync::SyncTable;

/// Takes in reports: adopts workers, notes what started and ended.
pub fn read_worker_reports(world: &mut World, now_ms: u64) {
    for answered in std::mem::take(&mut world.inbox.workers) {
        SyncTable::answered(world, answered.host);
        let Some(host) = world.hosts.get_mut(answered.host) else {
            continue;
        };
        let Some(report) = answered.report else {
            host.failures = host.failures.saturating_add(1);
            if host.failures == 2 {
                host.health = HostHealth::Unreachable;
                let name = host.report.name.to_string();
                world.log(EventId::HostUnreachable, name);
            }
            continue;
        };
        host.failures = 0;
        host.leaving |= report.leaving;
        if host.health == HostHealth::Unreachable {
            host.health = HostHealth::Live;
        }
        if report.term > answered.term {
            continue;
        }
        take_in(world, answered.host, answered.term, report, now_ms);
    }
}

fn take_in(world: &mut World, host: HostId, term: u64, report: WorkerReport, now_ms: u64) {
    for running in report.running {
        note_running(world, host, running, now_ms);
    }
    for finished in report.finished {
        note_finished(world, host, finished);
    }
    let Some(row) = world.hosts.get_mut(host) else {
        return;
    };
    if matches!(row.adoption, Adoption::Asked { term: asked, .. } if asked == term) {
        row.adoption = Adoption::Adopted { term };
        let name = row.report.name.to_string();
        world.log(EventId::HostAdopted, name);
    }
}

fn note_running(world: &mut World, host: HostId, running: RunningTask, now_ms: u64) {
    let since_ms = now_ms.saturating_sub(running.ran_ms);
    let Some(id) = world.runs.find(&running.order.task) else {
        adopt_run(world, host, running, since_ms);
        return;
    };
    if matches!(world.runs.get(id).map(|run| &run.phase), Some(RunPhase::Starting { .. })) {
        world.runs.set_phase(id, RunPhase::Running { host, since_ms });
        tell_running(world, id, host);
    }
}

fn adopt_run(world: &mut World, host: HostId, running: RunningTask, since_ms: u64) {
    let size = running.order.size;
    let slice = world.local.identity_slice(&running.order.task.job);
    let holder = world.slices.holder_of(&slice).map(|holder| holder.member.clone());
    let owner = holder.unwrap_or_else(|| world.local.incarnation.member.clone());
    world.hosts.booked[host] = world.hosts.booked[host].plus(&size);
    world.teams.book(&running.order.team, &size);
    let phase = RunPhase::Running { host, since_ms };
    let id =
        world.runs.insert(Run { order: running.order, owner, booked: size, phase, ordered_ms: since_ms });
    tell_running(world, id, host);
}

fn tell_running(world: &mut World, id: RunId, host: HostId) {
    let Some(run) = world.runs.get(id) else { return };
    let Some(name) = world.hosts.get(host).map(|host| host.report.name.clone()) else {
        return;
    };
    let (owner, task) = (run.owner.clone(), run.order.task.clone());
    tell_owner(world, &owner, TaskNews { task, state: TaskNewsState::Running(name) });
}

fn note_finished(world: &mut World, host: HostId, finished: FinishedTask) {
    SyncTable::forget(world, host, finished.task.clone());
    let Some(id) = world.runs.find(&finished.task) else {
        return;
    };
    unbook(world, id);
    let Some(run) = world.runs.remove(id) else { return };
    let Some(name) = world.hosts.get(host).map(|host| host.report.name.clone()) else {
        return;
    };
    let state = TaskNewsState::Ended { host: name, exit: finished.exit };
    tell_owner(world, &run.owner, TaskNews { task: finished.task, state });
}
