//! Questions about identities of requests.

use cassiahoist_core::prelude::*;
use cassiahoist_journal::{Ownership, find_record, owner_of};
use cassiahoist_world::event::{IdentityAsked, IdentityQuestion};
use cassiahoist_world::prelude::*;
use cassiahoist_world::requests::{ForwardOrder, Hop, Verdict};

use crate::admit::known_answer;
use crate::retire::answer;

/// Answers questions about requests, and sends questions about others' identities on.
///
/// Questions about jobs owned here stay for the systems of jobs.
pub fn answer_lookups(world: &mut World, now_ms: u64) {
    for asked in std::mem::take(&mut world.inbox.identity_questions) {
        match owner_of(world, &asked.identity, now_ms) {
            Ownership::Here if world.jobs.find(&asked.identity).is_some() => {
                world.inbox.identity_questions.push(asked);
            }
            Ownership::Here => answer_here(world, &asked),
            Ownership::Peer { member, address } if asked.hop == Hop::Door => {
                let order =
                    ForwardOrder { address, peer: member, hop: Hop::ToOwner, deadline_ms: asked.deadline_ms };
                world.emit(Effect::Verdict { ticket: asked.ticket, verdict: Verdict::Forward(order) });
            }
            _ => answer(world, asked.ticket, Answer::error(ErrorKind::NoHolder)),
        }
    }
}

fn answer_here(world: &mut World, asked: &IdentityAsked) {
    let reply = if let Some(id) = world.requests.find_identity(&asked.identity) {
        let phase = world.requests.get(id).map(|request| format!("{:?}", request.phase)).unwrap_or_default();
        Answer::Report { outcome: Outcome::Pending, json: format!("{{\"phase\":{phase:?}}}") }
    } else {
        match find_record(world, &asked.identity) {
            Some(record) if asked.question != IdentityQuestion::Cancel => {
                known_answer(record, record.content_hash)
            }
            _ => Answer::error(ErrorKind::UnknownIdentity),
        }
    };
    answer(world, asked.ticket, reply);
}
