//! Opening and dropping journals as identity slices change hands.

use cassiahoist_world::journal::{Journal, JournalPhase};
use cassiahoist_world::prelude::*;
use cassiahoist_world::slices::SliceId;
use cassiahoist_world::store::{StoreCall, StoreKey};

/// Starts to load the journals of identity slices taken, and drops those of slices lost.
pub fn open_journals(world: &mut World, now_ms: u64) {
    let held: Vec<(SliceId, u64)> = world
        .slices
        .iter()
        .filter(|(_, slice)| slice.name.is_identities())
        .filter_map(|(id, slice)| Some((id, slice.tenure()?.term)))
        .collect();
    drop_lost(world, &held);
    for (id, term) in held {
        world.journal.rows.entry(id).or_insert_with(|| Journal { term, ..Journal::default() });
        load(world, id, now_ms);
    }
}

fn drop_lost(world: &mut World, held: &[(SliceId, u64)]) {
    let lost: Vec<SliceId> = world
        .journal
        .rows
        .iter()
        .filter(|(id, journal)| !held.contains(&(**id, journal.term)))
        .map(|(&id, _)| id)
        .collect();
    for id in lost {
        let Some(journal) = world.journal.rows.remove(&id) else {
            continue;
        };
        let queued = journal.batch.into_iter().map(|record| record.identity);
        world.journal.not_written.extend(queued);
        let pending = journal.pending.into_iter().flat_map(|pending| pending.records);
        world.journal.uncertain.extend(pending.map(|record| record.identity));
    }
}

fn load(world: &mut World, id: SliceId, now_ms: u64) {
    if world.slices.permit(id, now_ms).is_none() {
        return;
    }
    let Some(name) = world.slices.get(id).map(|slice| slice.name.clone()) else {
        return;
    };
    let Some(journal) = world.journal.rows.get_mut(&id) else {
        return;
    };
    if journal.phase != JournalPhase::Loading || journal.in_flight || now_ms < journal.next_call_ms {
        return;
    }
    journal.in_flight = true;
    let key = StoreKey::Segment { slice: name, number: journal.segment };
    world.emit(Effect::Store { call: StoreCall::Read { key, newer_than: 0 }, started_ms: now_ms });
}
