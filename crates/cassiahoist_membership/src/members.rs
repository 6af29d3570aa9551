//! The cell as the store shows it: members, the claim and its number.

use cassiahoist_core::prelude::*;
use cassiahoist_world::front::HolderNews;
use cassiahoist_world::holding::HoldingEvent;
use cassiahoist_world::inbox::RangeNews;
use cassiahoist_world::peer::PeerMessage;
use cassiahoist_world::prelude::*;
use cassiahoist_world::record::{ClaimRecord, MemberRecord, TermRecord};
use cassiahoist_world::store::{
    KeySpace, StoreChange, StoreItem, StoreKey, StoreOp, StorePurpose, StoreReply, StoreValue, Transaction,
};
use rustc_hash::FxHashSet;

use crate::claim::begin_adoption;
use crate::step_down::{Cause, step_down};

/// How long registering may take, in milliseconds.
const PATIENCE_MS: u64 = 800;

/// Takes in changes of members and of the claim.
pub fn read_cell(world: &mut World, now_ms: u64) {
    for news in world.inbox.take_range(KeySpace::Cell) {
        match news {
            RangeNews::Whole(items) => read_whole(world, items, now_ms),
            RangeNews::Changes(changes) => {
                for change in changes {
                    match change {
                        StoreChange::Written(item) => read_item(world, item, now_ms),
                        StoreChange::Removed { key, revision } => read_removal(world, &key, revision, now_ms),
                    }
                }
            }
        }
    }
}

fn read_whole(world: &mut World, items: Vec<StoreItem>, now_ms: u64) {
    let listed: FxHashSet<MemberName> = items
        .iter()
        .filter_map(|item| if let StoreKey::Member(name) = &item.key { Some(name.clone()) } else { None })
        .collect();
    world.members.retain(|name| listed.contains(name));
    world.members.registered = false;
    if !items.iter().any(|item| item.key == StoreKey::Declared) {
        world.inbox.declared.push(None);
    }
    let claimed = items.iter().any(|item| matches!(item.key, StoreKey::Claim(_)));
    if !claimed {
        let known = world.holding.claim.take().map_or(0, |(_, revision)| revision);
        vacate(world, known, now_ms);
    }
    for item in items {
        read_item(world, item, now_ms);
    }
}

fn read_item(world: &mut World, item: StoreItem, now_ms: u64) {
    if item.key == StoreKey::Declared {
        return world.inbox.declared.push(Some(item));
    }
    match item.value {
        StoreValue::Claim(claim) => read_claim(world, claim, item.revision, now_ms),
        StoreValue::Term(TermRecord { term, holder }) if term >= world.holding.term => {
            world.holding.term = term;
            world.holding.term_revision = item.revision;
            world.holding.last_holder = Some(holder);
        }
        StoreValue::Member(record) => {
            if record.incarnation == world.local.incarnation {
                world.members.registered = true;
            }
            if world.members.get(&record.incarnation.member) != Some(&record) {
                world.log(LogNote::new(EventId::MemberJoined).with("member", &record.incarnation));
            }
            world.members.insert(record);
        }
        StoreValue::Unreadable { reason } => {
            let note = LogNote::new(EventId::StoreItemSkipped).with("key", format!("{:?}", item.key));
            world.log(note.with("reason", reason));
        }
        _ => {}
    }
}

fn read_claim(world: &mut World, claim: ClaimRecord, revision: u64, now_ms: u64) {
    let fence = Fence(revision);
    let own = claim.holder == world.local.incarnation;
    let known = world.holding.claim.as_ref().map_or(0, |(_, known)| *known);
    if revision < known || fence < world.holding.greatest_fence {
        return;
    }
    world.holding.greatest_fence = fence;
    world.holding.vacant_since_ms = None;
    if own {
        let newer = world.holding.fence().is_none_or(|held| held < fence);
        world.holding.claim = Some((claim, revision));
        // The answer to the claim was lost, and the claim took effect.
        if newer && world.holding.claimed_ms > 0 {
            world.holding.handle(HoldingEvent::ClaimWon { fence, at_ms: now_ms });
            begin_adoption(world, now_ms);
        }
        return;
    }
    if revision != known {
        let note = LogNote::new(EventId::HolderChanged).with("holder", &claim.holder);
        world.log(note.with("fence", fence).with("term", claim.term));
    }
    world.holding.claim = Some((claim, revision));
    step_down(world, Cause::Succeeded { by: fence }, now_ms);
}

/// Takes in the claim from the items of a conflict; its absence means that nobody holds the slice.
pub fn learn_claim(world: &mut World, items: Vec<StoreItem>, now_ms: u64) {
    let claim = items.into_iter().find(|item| matches!(item.key, StoreKey::Claim(_)));
    if let Some(item) = claim {
        return read_item(world, item, now_ms);
    }
    let known = world.holding.claim.take().map_or(0, |(_, revision)| revision);
    vacate(world, known, now_ms);
}

fn read_removal(world: &mut World, key: &StoreKey, revision: u64, now_ms: u64) {
    match key {
        StoreKey::Claim(_) => {
            let known = world.holding.claim.as_ref().map_or(0, |(_, known)| *known);
            if revision > known {
                world.holding.claim = None;
                vacate(world, known, now_ms);
            }
        }
        StoreKey::Member(name) => {
            if *name == world.local.incarnation.member {
                world.members.registered = false;
            }
            if world.members.remove(name) {
                world.log(LogNote::new(EventId::MemberLeft).with("member", name));
            }
        }
        StoreKey::Declared => world.inbox.declared.push(None),
        _ => {}
    }
}

/// Nobody holds the slice any more, this daemon included.
fn vacate(world: &mut World, known: u64, now_ms: u64) {
    world.holding.vacant_since_ms.get_or_insert(now_ms);
    if world.holding.fence().is_some_and(|fence| fence.0 <= known) {
        step_down(world, Cause::Lapsed, now_ms);
    }
}

/// Registers this daemon under its lease.
pub fn register_member(world: &mut World, now_ms: u64) {
    for answered in world.inbox.take_store(|purpose| *purpose == StorePurpose::Register) {
        world.members.registering = false;
        match answered.outcome {
            Ok(StoreReply::Committed { .. }) => world.members.registered = true,
            // The lease ended meanwhile.
            Ok(StoreReply::NoLease) => world.store.lease = None,
            Ok(_) | Err(_) => {}
        }
    }
    let Some(lease) = world.store.lease else { return };
    if world.members.registered || world.members.registering || world.local.is_stopping() {
        return;
    }
    world.members.registering = true;
    let record = MemberRecord {
        incarnation: world.local.incarnation.clone(),
        peer_address: world.local.peer_address.clone(),
        domain: world.local.domain.clone(),
        limits: world.local.limits,
    };
    let key = StoreKey::Member(record.incarnation.member.clone());
    let transaction = Transaction::default().with_leased(key, StoreValue::Member(record), lease);
    world.call_store(StorePurpose::Register, StoreOp::Commit(transaction), now_ms, PATIENCE_MS);
}

/// Takes in what the holder tells every daemon.
pub fn read_heartbeats(world: &mut World, now_ms: u64) {
    for (_, message) in world.inbox.take_peers(|message| matches!(message, PeerMessage::Heartbeat { .. })) {
        let PeerMessage::Heartbeat { fence, pending, largest } = message else { continue };
        if fence < world.holding.greatest_fence {
            continue;
        }
        world.front.holder_news = Some(HolderNews { pending, largest, heard_ms: now_ms });
        if world.holding.fence().is_some_and(|own| own < fence) {
            step_down(world, Cause::Succeeded { by: fence }, now_ms);
        }
    }
}
