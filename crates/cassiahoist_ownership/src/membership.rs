//! This daemon's membership and the list of the others.

use cassiahoist_core::prelude::*;
use cassiahoist_world::members::MemberRecord;
use cassiahoist_world::prelude::*;
use cassiahoist_world::store::{StoreAnswered, StoreCall, StoreReply};
use rustc_hash::FxHashSet;

/// Gives what this daemon writes of itself.
fn own_record(world: &World) -> MemberRecord {
    MemberRecord {
        incarnation: world.local.incarnation.clone(),
        domain: world.local.domain.clone(),
        peer_address: world.local.peer_address.clone(),
        leaving: world.local.stop.is_stopping(),
    }
}

/// Takes in answers to renewals and listings.
pub fn read_member_replies(world: &mut World, _now_ms: u64) {
    let is_member_call = |answered: &mut StoreAnswered| {
        matches!(
            answered.call,
            StoreCall::RenewMember { .. } | StoreCall::RemoveMember { .. } | StoreCall::ListMembers { .. }
        )
    };
    let answers: Vec<_> = world.inbox.store.extract_if(.., is_member_call).collect();
    for answered in answers {
        match answered.call {
            StoreCall::ListMembers { .. } => read_listing(world, answered.started_ms, answered.reply),
            _ => world.store.renew_in_flight = false,
        }
    }
}

fn read_listing(world: &mut World, started_ms: u64, reply: StoreReply) {
    world.store.list_in_flight = false;
    match reply {
        StoreReply::Unchanged => world.members.read_ms = world.members.read_ms.max(Some(started_ms)),
        StoreReply::Members { version, members } => {
            world.members.read_ms = world.members.read_ms.max(Some(started_ms));
            world.members.version = version;
            replace_listing(world, &members);
        }
        _ => {}
    }
}

fn replace_listing(world: &mut World, records: &[MemberRecord]) {
    let listed_now: FxHashSet<_> = records.iter().map(|record| &record.incarnation.member).collect();
    let gone: Vec<_> = world
        .members
        .iter()
        .filter(|(_, member)| member.listed && !listed_now.contains(&member.record.incarnation.member))
        .map(|(id, member)| (id, member.record.incarnation.clone()))
        .collect();
    for (id, incarnation) in gone {
        if let Some(member) = world.members.get_mut(id) {
            member.listed = false;
        }
        world.log(EventId::MemberLeft, incarnation.to_string());
    }
    for record in records {
        let id = world.members.upsert(record);
        let Some(member) = world.members.get_mut(id) else {
            continue;
        };
        if !member.listed {
            member.listed = true;
            world.log(EventId::MemberJoined, record.incarnation.to_string());
        }
    }
}

/// Renews this daemon's membership and lists the others when either is due.
pub fn renew_membership(world: &mut World, now_ms: u64) {
    let timing = world.local.timing;
    if !world.store.renew_in_flight && now_ms >= world.store.next_renew_ms {
        world.store.renew_in_flight = true;
        world.store.next_renew_ms = now_ms + timing.member_ttl_ms / 3;
        let call = StoreCall::RenewMember { record: own_record(world), ttl_ms: timing.member_ttl_ms };
        world.emit(Effect::Store { call, started_ms: now_ms });
    }
    if !world.store.list_in_flight && now_ms >= world.store.next_list_ms {
        world.store.list_in_flight = true;
        world.store.next_list_ms = now_ms + timing.confirm_interval_ms;
        let call = StoreCall::ListMembers { newer_than: world.members.version };
        world.emit(Effect::Store { call, started_ms: now_ms });
    }
    world.wake_by(world.store.next_renew_ms.max(now_ms + 1));
    world.wake_by(world.store.next_list_ms.max(now_ms + 1));
}
