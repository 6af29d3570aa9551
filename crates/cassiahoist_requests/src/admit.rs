//! Admission of requests.

use cassiahoist_core::prelude::*;
use cassiahoist_journal::{Ownership, append_record, find_record, owner_of};
use cassiahoist_world::event::RequestArrived;
use cassiahoist_world::prelude::*;
use cassiahoist_world::requests::{ForwardOrder, Hop, Request, RequestId, RequestPhase, Verdict};
use cassiahoist_world::store::{JournalRecord, JournalState};

use crate::retire::{answer, refuse};

/// What becomes of a request that arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Admission {
    /// It waits for a slot.
    Queue,
    /// It is recorded first.
    Record,
    /// It goes to the owner of its identity.
    ToOwner { peer: MemberName, address: String },
    /// It waits for another request with the same identity.
    Follow(RequestId),
    /// It is answered at once.
    Answer(Answer),
}

/// Admits requests that arrived.
pub fn admit_requests(world: &mut World, now_ms: u64) {
    for arrived in std::mem::take(&mut world.inbox.requests) {
        if arrived.hop == Hop::Door {
            world.counters.requests_arrived += 1;
        }
        let admission = decide(world, &arrived, now_ms);
        carry_out(world, arrived, admission, now_ms);
    }
}

fn decide(world: &World, arrived: &RequestArrived, now_ms: u64) -> Admission {
    let spec = &arrived.spec;
    let refusal = |kind| Admission::Answer(Answer::error(kind));
    if !world.local.has_fleet(&spec.identity.fleet) {
        return refusal(ErrorKind::UnknownFleet);
    }
    if world.local.stop.is_stopping() && arrived.hop == Hop::Door {
        return refusal(ErrorKind::Stopping);
    }
    if spec.deadline_ms <= now_ms {
        return refusal(ErrorKind::TooLate);
    }
    if world.requests.len() >= world.local.limits.max_requests {
        return refusal(ErrorKind::Overloaded);
    }
    if spec.idempotent || arrived.hop == Hop::ToRunnerHolder {
        return Admission::Queue;
    }
    decide_recorded(world, arrived, now_ms)
}

fn decide_recorded(world: &World, arrived: &RequestArrived, now_ms: u64) -> Admission {
    let spec = &arrived.spec;
    match owner_of(world, &spec.identity, now_ms) {
        Ownership::Here => {}
        Ownership::Peer { member, address } if arrived.hop == Hop::Door => {
            return Admission::ToOwner { peer: member, address };
        }
        _ => return Admission::Answer(Answer::error(ErrorKind::NoHolder)),
    }
    if let Some(id) = world.requests.find_identity(&spec.identity) {
        return Admission::Follow(id);
    }
    match find_record(world, &spec.identity) {
        None => Admission::Record,
        Some(record) => Admission::Answer(known_answer(record, spec.content_hash)),
    }
}

/// Gives the answer for an identity that the journal knows.
pub fn known_answer(record: &JournalRecord, content_hash: u64) -> Answer {
    if record.content_hash != content_hash {
        return Answer::error(ErrorKind::IdentityReused);
    }
    match &record.state {
        JournalState::Ended(kind) => Answer::error(*kind),
        JournalState::Answered { content_type, text: Some(text) } => {
            Answer::Whole(AnswerBody { content_type: content_type.clone(), bytes: text.clone().into_bytes() })
        }
        JournalState::Accepted | JournalState::Answered { text: None, .. } => {
            Answer::error(ErrorKind::AnswerLost)
        }
    }
}

fn carry_out(world: &mut World, arrived: RequestArrived, admission: Admission, now_ms: u64) {
    match admission {
        Admission::Queue => {
            let fleet = arrived.spec.identity.fleet.clone();
            let id = insert(world, arrived, RequestPhase::Queued, now_ms);
            world.requests.queues.entry(fleet).or_default().push_back(id);
        }
        Admission::Record => {
            let record = JournalRecord {
                identity: arrived.spec.identity.clone(),
                content_hash: arrived.spec.content_hash,
                state: JournalState::Accepted,
                at_unix_s: world.local.unix_s(now_ms),
                job: None,
            };
            append_record(world, record);
            insert(world, arrived, RequestPhase::Recording, now_ms);
        }
        Admission::ToOwner { peer, address } => {
            let order = ForwardOrder {
                address,
                peer: peer.clone(),
                hop: Hop::ToOwner,
                deadline_ms: arrived.spec.deadline_ms,
            };
            let ticket = arrived.ticket;
            insert(world, arrived, RequestPhase::Forwarded { peer }, now_ms);
            world.counters.requests_forwarded += 1;
            world.emit(Effect::Verdict { ticket, verdict: Verdict::Forward(order) });
        }
        Admission::Follow(id) => {
            if let Some(request) = world.requests.get_mut(id) {
                request.followers.push(arrived.ticket);
            }
        }
        Admission::Answer(reply) => answer(world, arrived.ticket, reply),
    }
}

fn insert(world: &mut World, arrived: RequestArrived, phase: RequestPhase, now_ms: u64) -> RequestId {
    world.requests.insert(Request {
        ticket: arrived.ticket,
        spec: arrived.spec,
        hop: arrived.hop,
        phase,
        arrived_ms: now_ms,
        attempts: 0,
        followers: Vec::new(),
    })
}

/// Queues requests whose record is written and refuses those whose record is not.
pub fn settle_recordings(world: &mut World, _now_ms: u64) {
    for identity in world.journal.written.clone() {
        let Some(id) = world.requests.find_identity(&identity) else {
            continue;
        };
        let Some(request) = world.requests.get_mut(id) else {
            continue;
        };
        if request.phase == RequestPhase::Recording {
            request.phase = RequestPhase::Queued;
            world.requests.queues.entry(identity.fleet.clone()).or_default().push_back(id);
        }
    }
    for (identities, kind) in [
        (world.journal.not_written.clone(), ErrorKind::NotRecorded),
        (world.journal.uncertain.clone(), ErrorKind::RecordUncertain),
    ] {
        for identity in identities {
            let Some(id) = world.requests.find_identity(&identity) else {
                continue;
            };
            if world.requests.get(id).is_some_and(|request| request.phase == RequestPhase::Recording) {
                refuse(world, id, kind);
            }
        }
    }
}
