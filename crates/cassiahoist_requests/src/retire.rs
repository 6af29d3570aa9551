//! Ends of requests: answers, refusals and deadlines.

use cassiahoist_core::prelude::*;
use cassiahoist_journal::append_record;
use cassiahoist_world::prelude::*;
use cassiahoist_world::requests::{Hop, Request, RequestId, RequestPhase, Ticket, Verdict};
use cassiahoist_world::store::{JournalRecord, JournalState};

/// Largest answer kept in the journal, in bytes.
pub const MAX_KEPT_ANSWER_BYTES: usize = 2_048;

/// Gives a waiting traffic task its answer.
pub fn answer(world: &mut World, ticket: Ticket, reply: Answer) {
    match reply.outcome() {
        Outcome::NotRun => world.counters.requests_refused += 1,
        Outcome::Unknown => world.counters.requests_uncertain += 1,
        _ => {}
    }
    world.emit(Effect::Verdict { ticket, verdict: Verdict::Answer(reply) });
}

/// Ends a request that was answered; its own traffic task has the answer already.
pub fn finish(world: &mut World, id: RequestId, body: Option<AnswerBody>, now_ms: u64) {
    let Some(request) = world.requests.remove(id) else {
        return;
    };
    let reply = match &body {
        Some(body) => Answer::Whole(body.clone()),
        None => Answer::error(ErrorKind::AnswerLost),
    };
    for &ticket in &request.followers {
        answer(world, ticket, reply.clone());
    }
    if is_recorded(&request) {
        let body = body.unwrap_or_default();
        let kept =
            (body.bytes.len() <= MAX_KEPT_ANSWER_BYTES).then(|| String::from_utf8(body.bytes).ok()).flatten();
        let state = JournalState::Answered { content_type: body.content_type, text: kept };
        record_end(world, &request, state, now_ms);
    }
}

/// Ends a request with an error.
pub fn refuse(world: &mut World, id: RequestId, kind: ErrorKind) {
    let Some(request) = world.requests.remove(id) else {
        return;
    };
    let recorded = is_recorded(&request) && request.phase != RequestPhase::Recording;
    for &ticket in std::iter::once(&request.ticket).chain(&request.followers) {
        answer(world, ticket, Answer::error(kind));
    }
    let event = match kind.answer_row().outcome {
        Outcome::Unknown => EventId::RequestUncertain,
        _ => EventId::RequestRefused,
    };
    world.log(event, format!("{} {kind:?}", request.spec.identity));
    if recorded {
        record_end(world, &request, JournalState::Ended(kind), 0);
    }
}

fn is_recorded(request: &Request) -> bool {
    !request.spec.idempotent
        && request.hop != Hop::ToRunnerHolder
        && !(request.hop == Hop::Door && matches!(request.phase, RequestPhase::Forwarded { .. }))
}

fn record_end(world: &mut World, request: &Request, state: JournalState, now_ms: u64) {
    let record = JournalRecord {
        identity: request.spec.identity.clone(),
        content_hash: request.spec.content_hash,
        state,
        at_unix_s: world.local.unix_s(now_ms),
        job: None,
    };
    append_record(world, record);
}

/// Refuses queued and recording requests whose deadline has passed, and forgets callers that went away.
pub fn expire_requests(world: &mut World, now_ms: u64) {
    for ticket in std::mem::take(&mut world.inbox.callers_gone) {
        let Some(id) = world.requests.find_ticket(ticket) else {
            continue;
        };
        if world.requests.get(id).is_some_and(|request| request.phase == RequestPhase::Queued) {
            refuse(world, id, ErrorKind::CancelledBeforeStart);
        }
    }
    let mut wake_at_ms = u64::MAX;
    let mut late = Vec::new();
    for (id, request) in world.requests.iter() {
        if !matches!(request.phase, RequestPhase::Queued | RequestPhase::Recording) {
            continue;
        }
        if request.spec.deadline_ms <= now_ms {
            late.push((id, request.phase == RequestPhase::Recording));
        } else {
            wake_at_ms = wake_at_ms.min(request.spec.deadline_ms);
        }
    }
    world.wake_by(wake_at_ms);
    for (id, recording) in late {
        refuse(world, id, if recording { ErrorKind::RecordUncertain } else { ErrorKind::TooLate });
    }
    drop_stale_entries(world);
}

/// Takes requests that no longer wait out of the queues.
fn drop_stale_entries(world: &mut World) {
    let mut queues = std::mem::take(&mut world.requests.queues);
    let requests = &world.requests;
    for queue in queues.values_mut() {
        queue.retain(|&id| requests.get(id).is_some_and(|request| request.phase == RequestPhase::Queued));
    }
    world.requests.queues = queues;
}
