//! Ends of runs and forwards.

use cassiahoist_core::prelude::*;
use cassiahoist_world::prelude::*;
use cassiahoist_world::requests::{ForwardEnd, Hop, RequestId, RequestPhase, RunEnd};

use crate::retire::{finish, refuse};

/// Attempts at one request.
const MAX_ATTEMPTS: u32 = 3;

/// Takes in ends of runs and gives their slots back.
pub fn read_run_ends(world: &mut World, now_ms: u64) {
    for (ticket, end) in std::mem::take(&mut world.inbox.run_ends) {
        let Some(id) = world.requests.find_ticket(ticket) else {
            continue;
        };
        let Some(request) = world.requests.get(id) else {
            continue;
        };
        let RequestPhase::Running { runner } = request.phase else {
            continue;
        };
        if let Some(used) = world.hosts.slots_used.get_mut(runner) {
            *used = used.saturating_sub(1);
        }
        settle_run(world, id, end, now_ms);
    }
}

fn settle_run(world: &mut World, id: RequestId, end: RunEnd, now_ms: u64) {
    let Some(request) = world.requests.get(id) else {
        return;
    };
    let may_retry = request.attempts < MAX_ATTEMPTS && request.spec.deadline_ms > now_ms;
    match end {
        RunEnd::Answered(body) => finish(world, id, body, now_ms),
        RunEnd::Failed => refuse(world, id, ErrorKind::BackendFailed),
        RunEnd::NotSent | RunEnd::Rejected if may_retry => queue_again(world, id),
        RunEnd::NotSent | RunEnd::Rejected => refuse(world, id, ErrorKind::TooLate),
        RunEnd::Lost if may_retry && request.spec.idempotent => queue_again(world, id),
        RunEnd::Lost => refuse(world, id, ErrorKind::AnswerLost),
    }
}

fn queue_again(world: &mut World, id: RequestId) {
    let Some(request) = world.requests.get_mut(id) else {
        return;
    };
    request.phase = RequestPhase::Queued;
    let fleet = request.spec.identity.fleet.clone();
    world.requests.queues.entry(fleet).or_default().push_front(id);
}

/// Takes in ends of forwarded requests.
pub fn read_forward_ends(world: &mut World, now_ms: u64) {
    for (ticket, end) in std::mem::take(&mut world.inbox.forward_ends) {
        let Some(id) = world.requests.find_ticket(ticket) else {
            continue;
        };
        let Some(request) = world.requests.get_mut(id) else {
            continue;
        };
        request.attempts += 1;
        let may_retry = request.attempts < MAX_ATTEMPTS && request.spec.deadline_ms > now_ms;
        let (idempotent, from_door) = (request.spec.idempotent, request.hop == Hop::Door);
        match end {
            ForwardEnd::Answered(_) => finish(world, id, None, now_ms),
            ForwardEnd::NotSent if may_retry && idempotent => queue_again(world, id),
            ForwardEnd::Lost if may_retry && idempotent && from_door => queue_again(world, id),
            ForwardEnd::NotSent => refuse(world, id, ErrorKind::NoHolder),
            ForwardEnd::Lost => refuse(world, id, ErrorKind::AnswerLost),
        }
    }
}
