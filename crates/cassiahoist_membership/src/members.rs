//! State of the cell in the store: members, the claim and its term.

use cassiahoist_core::prelude::*;
use cassiahoist_world::calls::HolderStatus;
use cassiahoist_world::holding::HoldingEvent;
use cassiahoist_world::inbox::RangeUpdate;
use cassiahoist_world::peer::PeerMessage;
use cassiahoist_world::prelude::*;
use cassiahoist_world::record::{ClaimRecord, MemberRecord, TermRecord};
use cassiahoist_world::store::{
    KeySpace, StoreChange, StoreItem, StoreKey, StoreOp, StorePurpose, StoreReply, StoreValue, Transaction,
};
use rustc_hash::FxHashSet;

use crate::claim::begin_adoption;
use crate::lease::drop_lease;
use crate::step_down::{StepDownCause, step_down};

/// Timeout of a registration, in milliseconds.
const REGISTER_TIMEOUT_MS: u64 = 800;

/// Delay before a failed registration is retried, in milliseconds.
const REGISTER_RETRY_DELAY_MS: u64 = 100;

/// Applies changes of members, the claim, the term and the declarations.
pub fn apply_cell_changes(world: &mut World, now_ms: u64) {
    for update in world.inbox.take_range_updates(KeySpace::Cell) {
        match update {
            RangeUpdate::Listing(items) => apply_listing(world, items, now_ms),
            RangeUpdate::Changes(changes) => {
                for change in changes {
                    match change {
                        StoreChange::Written(item) => apply_item(world, item, now_ms),
                        StoreChange::Removed { key, revision } => apply_delete(world, &key, revision, now_ms),
                    }
                }
            }
        }
    }
}

fn apply_listing(world: &mut World, items: Vec<StoreItem>, now_ms: u64) {
    let listed: FxHashSet<MemberName> = items
        .iter()
        .filter_map(|item| if let StoreKey::Member(name) = &item.key { Some(name.clone()) } else { None })
        .collect();
    world.members.retain(|name| listed.contains(name));
    world.members.registered = false;
    if !items.iter().any(|item| item.key == StoreKey::Declared) {
        world.inbox.declaration_items.push(None);
    }
    let has_claim = items.iter().any(|item| matches!(item.key, StoreKey::Claim(_)));
    if !has_claim {
        let known_revision = world.holding.claim.take().map_or(0, |(_, revision)| revision);
        record_vacancy(world, known_revision, now_ms);
    }
    for item in items {
        apply_item(world, item, now_ms);
    }
}

fn apply_item(world: &mut World, item: StoreItem, now_ms: u64) {
    if item.key == StoreKey::Declared {
        return world.inbox.declaration_items.push(Some(item));
    }
    match item.value {
        StoreValue::Claim(claim) => apply_claim(world, claim, item.revision, now_ms),
        StoreValue::Term(TermRecord { term, holder, released }) if term >= world.holding.term => {
            world.holding.was_released = released;
            world.holding.term = term;
            world.holding.term_revision = item.revision;
            world.holding.last_holder = Some(holder);
        }
        StoreValue::Member(record) => {
            if record.incarnation == world.local.incarnation {
                world.members.registered = true;
            }
            // With many daemons, each of which logged this, the lines would outnumber all others.
            if world.holding.is_holding() && world.members.get(&record.incarnation.member) != Some(&record) {
                world.log(LogRecord::new(EventId::MemberJoined).with("member", &record.incarnation));
            }
            world.members.insert(record, now_ms);
        }
        StoreValue::Unreadable { reason } => {
            let log_record = LogRecord::new(EventId::StoreItemSkipped).with("key", format!("{:?}", item.key));
            world.log(log_record.with("reason", reason));
        }
        _ => {}
    }
}

fn apply_claim(world: &mut World, claim: ClaimRecord, revision: u64, now_ms: u64) {
    let fence = Fence(revision);
    let is_own = claim.holder == world.local.incarnation;
    let known_revision = world.holding.claim.as_ref().map_or(0, |(_, known_revision)| *known_revision);
    if revision < known_revision || fence < world.holding.greatest_fence {
        return;
    }
    // Once the cell was listed, either a claim or a vacancy is known.
    let is_first_listing = world.holding.claim.is_none() && world.holding.vacant_since_ms.is_none();
    world.holding.greatest_fence = fence;
    world.holding.vacant_since_ms = None;
    if is_own {
        let is_newer = world.holding.fence().is_none_or(|held| held < fence);
        world.holding.claim = Some((claim, revision));
        // The claim took effect, but its answer was lost.
        if is_newer && world.holding.claim_sent_at_ms > 0 {
            world.holding.apply_event(HoldingEvent::ClaimWon { fence, at_ms: now_ms });
            begin_adoption(world, now_ms);
        }
        return;
    }
    if revision != known_revision {
        world.holding.claim_seen_at_ms = (!is_first_listing).then_some(now_ms);
        let log_record = LogRecord::new(EventId::HolderChanged).with("holder", &claim.holder);
        let range_gap_ms = world.store_connection.range_gap_ms(KeySpace::Cell);
        let log_record = log_record.with("fence", fence).with("term", claim.term);
        world.log(log_record.with("range_gap_ms", range_gap_ms));
    }
    world.holding.claim = Some((claim, revision));
    step_down(world, StepDownCause::Succeeded { by: fence }, now_ms);
}

/// Applies the claim and the term found in the items of a store conflict. Without a claim the slice is vacant.
pub fn apply_claim_conflict(world: &mut World, items: Vec<StoreItem>, now_ms: u64) {
    let (terms, items): (Vec<_>, Vec<_>) =
        items.into_iter().partition(|item| matches!(item.key, StoreKey::Term(_)));
    for item in terms {
        apply_item(world, item, now_ms);
    }
    let claim = items.into_iter().find(|item| matches!(item.key, StoreKey::Claim(_)));
    if let Some(item) = claim {
        return apply_item(world, item, now_ms);
    }
    let known_revision = world.holding.claim.take().map_or(0, |(_, revision)| revision);
    record_vacancy(world, known_revision, now_ms);
}

fn apply_delete(world: &mut World, key: &StoreKey, revision: u64, now_ms: u64) {
    match key {
        StoreKey::Claim(_) => {
            let known_revision =
                world.holding.claim.as_ref().map_or(0, |(_, known_revision)| *known_revision);
            if revision > known_revision {
                world.holding.claim = None;
                record_vacancy(world, known_revision, now_ms);
            }
        }
        StoreKey::Member(name) => {
            if *name == world.local.incarnation.member {
                world.members.registered = false;
            }
            if world.members.remove(name) && world.holding.is_holding() {
                world.log(LogRecord::new(EventId::MemberLeft).with("member", name));
            }
        }
        StoreKey::Declared => world.inbox.declaration_items.push(None),
        _ => {}
    }
}

/// Records that the slice is vacant, and steps down if this daemon held it.
///
/// `removed_revision` is that of the removed claim; a newer claim of this daemon stays.
fn record_vacancy(world: &mut World, removed_revision: u64, now_ms: u64) {
    world.holding.vacant_since_ms.get_or_insert(now_ms);
    if world.holding.fence().is_some_and(|fence| fence.0 <= removed_revision) {
        step_down(world, StepDownCause::Lapsed, now_ms);
    }
}

/// Writes this daemon's member entry, bound to its lease.
pub fn register_member(world: &mut World, now_ms: u64) {
    for completion in world.inbox.take_store_results(|purpose| *purpose == StorePurpose::RegisterMember) {
        world.members.register_in_flight = false;
        match completion.outcome {
            Ok(StoreReply::Committed { .. }) => world.members.registered = true,
            // The lease ended before the entry was written.
            Ok(StoreReply::LeaseNotFound) => drop_lease(world, now_ms),
            Ok(_) | Err(_) => world.members.next_register_at_ms = now_ms + REGISTER_RETRY_DELAY_MS,
        }
    }
    let Some(lease) = world.store_connection.lease else { return };
    if world.members.registered || world.members.register_in_flight || world.local.is_stopping() {
        return;
    }
    if now_ms < world.members.next_register_at_ms {
        return world.wake_by(world.members.next_register_at_ms);
    }
    world.members.register_in_flight = true;
    let record = MemberRecord {
        incarnation: world.local.incarnation.clone(),
        peer_address: world.local.peer_address.clone(),
        domain: world.local.domain.clone(),
        limits: world.local.limits,
    };
    let key = StoreKey::Member(record.incarnation.member.clone());
    let transaction = Transaction::default().with_leased_put(key, StoreValue::Member(record), lease);
    world.call_store(StorePurpose::RegisterMember, StoreOp::Commit(transaction), now_ms, REGISTER_TIMEOUT_MS);
}

/// Logs messages of peers that can't be decoded.
pub fn log_unreadable_messages(world: &mut World, _now_ms: u64) {
    for (sender, reason) in std::mem::take(&mut world.inbox.unreadable_messages) {
        let log_record = LogRecord::new(EventId::PeerMessageSkipped).with("member", &sender.incarnation);
        world.log(log_record.with("reason", reason));
    }
}

/// Applies the heartbeats that the holder sends to every daemon.
pub fn apply_heartbeats(world: &mut World, now_ms: u64) {
    for (_, message) in
        world.inbox.take_peer_messages(|message| matches!(message, PeerMessage::Heartbeat { .. }))
    {
        let PeerMessage::Heartbeat { fence, queued_jobs, largest_by_pool } = message else { continue };
        if fence < world.holding.greatest_fence {
            continue;
        }
        world.calls.holder_status =
            Some(HolderStatus { queued_jobs, largest_by_pool, received_at_ms: now_ms });
        if world.holding.fence().is_some_and(|own| own < fence) {
            step_down(world, StepDownCause::Succeeded { by: fence }, now_ms);
        }
    }
}
