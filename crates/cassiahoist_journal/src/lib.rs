//! Record of non-idempotent work, kept in the platform's store.
//!
//! Each identity slice has a journal of numbered segments. Its holder appends by compare-and-swap, many records
//! at once; a successor seals the last segment by a swap before it reads it, so that a late append of a former
//! holder fails whatever the clocks say.

mod append;
mod open;
mod replies;

use cassiahoist_core::prelude::*;
use cassiahoist_world::journal::JournalPhase;
use cassiahoist_world::prelude::*;
use cassiahoist_world::store::JournalRecord;

/// Registers the journals.
#[derive(Clone, Copy, Debug, Default)]
pub struct JournalPlugin;

impl Plugin for JournalPlugin {
    fn build(&self, app: &mut App) {
        app.add_system(TickSet::Receive, replies::read_segment_replies)
            .add_system(TickSet::Configuration, open::open_journals)
            .add_system(TickSet::Report, append::append_batches);
    }
}

/// What an owner does with an identity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ownership {
    /// This daemon owns the identity and its journal is open.
    Here,
    /// This daemon owns the identity, and its journal is still loading.
    Loading,
    /// Another daemon owns the identity.
    Peer {
        /// The owner.
        member: MemberName,
        /// Its address, as `ip:port`.
        address: String,
    },
    /// No listed daemon owns the identity at present.
    Nobody,
}

/// Finds the owner of an identity.
#[must_use]
pub fn owner_of(world: &World, identity: &RequestIdentity, now_ms: u64) -> Ownership {
    let name = world.local.identity_slice(identity);
    let Some(id) = world.slices.find(&name) else {
        return Ownership::Nobody;
    };
    if world.slices.permit(id, now_ms).is_some() {
        let open = world.journal.rows.get(&id).is_some_and(|journal| journal.phase == JournalPhase::Open);
        return if open { Ownership::Here } else { Ownership::Loading };
    }
    let Some(holder) = world.slices.holder_of(&name) else {
        return Ownership::Nobody;
    };
    if *holder == world.local.incarnation {
        return Ownership::Loading;
    }
    match world.members.get_named(&holder.member) {
        Some(member) if member.record.incarnation == *holder => {
            Ownership::Peer { member: holder.member.clone(), address: member.record.peer_address.clone() }
        }
        _ => Ownership::Nobody,
    }
}

/// Borrows the latest record of an identity, if its journal is open here.
#[must_use]
pub fn find_record<'w>(world: &'w World, identity: &RequestIdentity) -> Option<&'w JournalRecord> {
    let id = world.slices.find(&world.local.identity_slice(identity))?;
    world.journal.rows.get(&id)?.entries.get(identity)
}

/// Adds a record to the next append of its journal.
///
/// Its fate comes in [`cassiahoist_world::journal::JournalTable`] in a later tick.
pub fn append_record(world: &mut World, record: JournalRecord) {
    let name = world.local.identity_slice(&record.identity);
    let Some(id) = world.slices.find(&name) else {
        return;
    };
    if let Some(journal) = world.journal.rows.get_mut(&id) {
        journal.batch.push(record);
    }
}
