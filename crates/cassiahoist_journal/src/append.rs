//! Group commit of records.

use cassiahoist_world::journal::{Journal, JournalPhase, PendingAppend};
use cassiahoist_world::prelude::*;
use cassiahoist_world::slices::SliceId;
use cassiahoist_world::store::{SegmentRecord, StoreCall, StoreKey, StoreValue};

/// Interval between appends to one journal, in milliseconds.
pub const APPEND_INTERVAL_MS: u64 = 20;

/// Records in one segment before the next one is begun.
pub const MAX_SEGMENT_RECORDS: usize = 2_000;

/// Appends the batch of each open journal, one call at a time a journal.
pub fn append_batches(world: &mut World, now_ms: u64) {
    let mut calls = Vec::new();
    let mut wake_at_ms = u64::MAX;
    for (&id, journal) in &mut world.journal.rows {
        if journal.phase != JournalPhase::Open || journal.in_flight {
            continue;
        }
        if journal.pending.is_none() && journal.batch.is_empty() {
            continue;
        }
        if now_ms < journal.next_call_ms {
            wake_at_ms = wake_at_ms.min(journal.next_call_ms);
            continue;
        }
        calls.push((id, next_swap(journal, now_ms)));
    }
    world.wake_by(wake_at_ms);
    for (id, (number, expected_version, content)) in calls {
        emit_swap(world, id, number, expected_version, content, now_ms);
    }
}

fn next_swap(journal: &mut Journal, now_ms: u64) -> (u64, u64, SegmentRecord) {
    if journal.pending.is_none() {
        if journal.content.records.len() >= MAX_SEGMENT_RECORDS {
            journal.segment += 1;
            journal.version = 0;
            journal.content = SegmentRecord::default();
        }
        let records = std::mem::take(&mut journal.batch);
        journal.pending = Some(PendingAppend { records, started_ms: now_ms, uncertain: false });
    }
    journal.in_flight = true;
    journal.next_call_ms = now_ms + APPEND_INTERVAL_MS;
    (journal.segment, journal.version, content_with_pending(journal))
}

/// Gives the segment's content with the pending append added.
pub fn content_with_pending(journal: &Journal) -> SegmentRecord {
    let pending = journal.pending.iter().flat_map(|pending| &pending.records);
    SegmentRecord {
        term: journal.term,
        sealed: false,
        records: journal.content.records.iter().chain(pending).cloned().collect(),
    }
}

fn emit_swap(
    world: &mut World,
    id: SliceId,
    number: u64,
    expected_version: u64,
    content: SegmentRecord,
    now_ms: u64,
) {
    let Some(slice) = world.slices.get(id).map(|slice| slice.name.clone()) else {
        return;
    };
    let call = StoreCall::Swap {
        key: StoreKey::Segment { slice, number },
        expected_version,
        value: StoreValue::Segment(content),
    };
    world.emit(Effect::Store { call, started_ms: now_ms });
}
