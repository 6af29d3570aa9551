//! Orders and cancels of owners.

use cassiahoist_core::prelude::*;
use cassiahoist_world::peer::{PeerMessage, TaskNews, TaskNewsState};
use cassiahoist_world::prelude::*;
use cassiahoist_world::runs::{Run, RunPhase};

/// Takes in orders; one that is known already is answered with its state.
pub fn take_orders(world: &mut World, now_ms: u64) {
    for (owner, order) in std::mem::take(&mut world.inbox.orders) {
        if let Some(id) = world.runs.find(&order.task) {
            tell_again(world, id, &owner);
            continue;
        }
        let booked = order.size;
        let id =
            world.runs.insert(Run { order, owner, booked, phase: RunPhase::Waiting, ordered_ms: now_ms });
        world.runs.waiting.push_back(id);
    }
}

fn tell_again(world: &mut World, id: cassiahoist_world::runs::RunId, owner: &MemberName) {
    let Some(run) = world.runs.get_mut(id) else { return };
    run.owner = owner.clone();
    let RunPhase::Running { host, .. } = run.phase else {
        return;
    };
    let task = run.order.task.clone();
    let Some(name) = world.hosts.get(host).map(|host| host.report.name.clone()) else {
        return;
    };
    tell_owner(world, owner, TaskNews { task, state: TaskNewsState::Running(name) });
}

/// Takes in cancels: a waiting run is dropped, a booked one is stopped at its worker.
pub fn take_cancels(world: &mut World, _now_ms: u64) {
    for (_, task) in std::mem::take(&mut world.inbox.cancels) {
        let Some(id) = world.runs.find(&task) else {
            continue;
        };
        match world.runs.get(id).and_then(|run| run.phase.host()) {
            None => {
                world.runs.remove(id);
            }
            Some(host) => world.runs.set_phase(id, RunPhase::Stopping { host }),
        }
    }
}

/// Sends news of a task to its owner, which may be this daemon itself.
pub fn tell_owner(world: &mut World, owner: &MemberName, news: TaskNews) {
    let message = PeerMessage::TaskNews(vec![news]);
    if *owner == world.local.incarnation.member {
        let from = world.local.incarnation.clone();
        world.inbox.file(Event::Peer { from, message });
        world.wake_by(0);
        return;
    }
    let Some(member) = world.members.get_named(owner) else {
        return;
    };
    let address = member.record.peer_address.clone();
    world.emit(Effect::Peer { to: owner.clone(), address, message });
}
