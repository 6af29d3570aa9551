//! Grants of slots.

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::{HostId, HostRole};
use cassiahoist_world::prelude::*;
use cassiahoist_world::requests::{ForwardOrder, Hop, RequestId, RequestPhase, RunOrder, Verdict};

/// How long a connection may stay silent before the answer counts as lost, in milliseconds.
const SILENCE_LIMIT_MS: u64 = 30_000;

/// What is done with the request at the head of a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Grant {
    /// It runs on a runner held here.
    Run(HostId),
    /// It goes to a peer with room.
    Forward { peer: MemberName, address: String },
    /// It waits.
    Wait,
}

/// Grants free slots to queued requests, in order.
pub fn grant_slots(world: &mut World, now_ms: u64) {
    for fleet in world.local.fleets.clone() {
        while let Some(&id) = world.requests.queues.get(&fleet).and_then(|queue| queue.front()) {
            let grant = decide(world, id, &fleet, now_ms);
            if grant == Grant::Wait {
                break;
            }
            if let Some(queue) = world.requests.queues.get_mut(&fleet) {
                queue.pop_front();
            }
            carry_out(world, id, grant, now_ms);
        }
    }
}

fn decide(world: &World, id: RequestId, fleet: &Fleet, now_ms: u64) -> Grant {
    if let Some(runner) = freest_runner(world, fleet, now_ms) {
        return Grant::Run(runner);
    }
    let Some(request) = world.requests.get(id) else {
        return Grant::Wait;
    };
    if request.hop == Hop::ToRunnerHolder {
        return Grant::Wait;
    }
    match roomiest_peer(world, fleet) {
        Some((peer, address)) => Grant::Forward { peer, address },
        None => Grant::Wait,
    }
}

fn freest_runner(world: &World, fleet: &Fleet, now_ms: u64) -> Option<HostId> {
    let usable = |id: HostId| {
        let host = world.hosts.get(id)?;
        let permit = world.slices.permit(host.slice, now_ms)?;
        let is_runner = matches!(host.report.role, HostRole::Runner { .. });
        (is_runner && host.report.name.fleet == *fleet && host.takes_work(permit.term))
            .then(|| (world.hosts.free_slots(id), id))
    };
    let best = world.hosts.iter().filter_map(|(id, _)| usable(id)).max_by_key(|&(free, _)| free)?;
    (best.0 > 0).then_some(best.1)
}

fn roomiest_peer(world: &World, fleet: &Fleet) -> Option<(MemberName, String)> {
    let best = world
        .members
        .listed()
        .filter(|member| member.record.incarnation != world.local.incarnation && !member.record.leaving)
        .filter_map(|member| Some((member.loads.get(fleet)?.free_slots, member)))
        .max_by_key(|&(free, _)| free)?;
    let record = &best.1.record;
    (best.0 > 0).then(|| (record.incarnation.member.clone(), record.peer_address.clone()))
}

fn carry_out(world: &mut World, id: RequestId, grant: Grant, now_ms: u64) {
    match grant {
        Grant::Run(runner) => run(world, id, runner, now_ms),
        Grant::Forward { peer, address } => {
            let Some(request) = world.requests.get_mut(id) else {
                return;
            };
            request.phase = RequestPhase::Forwarded { peer: peer.clone() };
            let (ticket, deadline_ms) = (request.ticket, request.spec.deadline_ms);
            let order = ForwardOrder { address, peer, hop: Hop::ToRunnerHolder, deadline_ms };
            world.counters.requests_forwarded += 1;
            world.emit(Effect::Verdict { ticket, verdict: Verdict::Forward(order) });
        }
        Grant::Wait => {}
    }
}

fn run(world: &mut World, id: RequestId, runner: HostId, now_ms: u64) {
    let Some(host) = world.hosts.get(runner) else {
        return;
    };
    let Some(permit) = world.slices.permit(host.slice, now_ms) else {
        return;
    };
    let (address, name) = (host.report.address.clone(), host.report.name.clone());
    let Some(request) = world.requests.get_mut(id) else {
        return;
    };
    request.phase = RequestPhase::Running { runner };
    request.attempts += 1;
    let order = RunOrder {
        address,
        runner: name,
        permit,
        attempt: request.attempts,
        deadline_ms: request.spec.deadline_ms,
        wants_body: !request.spec.idempotent && request.hop != Hop::ToRunnerHolder,
        silence_limit_ms: SILENCE_LIMIT_MS,
    };
    let ticket = request.ticket;
    world.hosts.slots_used[runner] += 1;
    world.counters.requests_granted += 1;
    world.emit(Effect::Verdict { ticket, verdict: Verdict::Run(order) });
}
