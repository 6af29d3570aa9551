//! Answers of the store about journal segments.

use cassiahoist_core::prelude::*;
use cassiahoist_world::journal::{Journal, JournalPhase, JournalTable};
use cassiahoist_world::prelude::*;
use cassiahoist_world::slices::SliceId;
use cassiahoist_world::store::{SegmentRecord, StoreAnswered, StoreCall, StoreKey, StoreReply, StoreValue};

/// Pause before an unanswered call is repeated, in milliseconds.
const RETRY_PAUSE_MS: u64 = 100;

/// Takes in answers about journal segments.
pub fn read_segment_replies(world: &mut World, now_ms: u64) {
    world.journal.written.clear();
    world.journal.not_written.clear();
    world.journal.uncertain.clear();
    let is_segment_call = |answered: &mut StoreAnswered| {
        matches!(
            answered.call,
            StoreCall::Read { key: StoreKey::Segment { .. }, .. }
                | StoreCall::Swap { key: StoreKey::Segment { .. }, .. }
        )
    };
    let answers: Vec<_> = world.inbox.store.extract_if(.., is_segment_call).collect();
    for answered in answers {
        read_reply(world, answered, now_ms);
    }
}

fn read_reply(world: &mut World, answered: StoreAnswered, now_ms: u64) {
    let (slice, number, written) = match answered.call {
        StoreCall::Read { key: StoreKey::Segment { slice, number }, .. } => (slice, number, None),
        StoreCall::Swap {
            key: StoreKey::Segment { slice, number },
            value: StoreValue::Segment(content),
            ..
        } => (slice, number, Some(content)),
        _ => return,
    };
    let Some(id) = world.slices.find(&slice) else {
        return;
    };
    let Some(journal) = world.journal.rows.get_mut(&id) else {
        return;
    };
    if journal.segment != number {
        return;
    }
    journal.in_flight = false;
    if answered.reply == StoreReply::Unanswered {
        journal.next_call_ms = now_ms + RETRY_PAUSE_MS;
        if let Some(pending) = &mut journal.pending {
            pending.uncertain = true;
        }
        world.wake_by(now_ms + RETRY_PAUSE_MS);
        return;
    }
    match (journal.phase, written) {
        (JournalPhase::Loading, Some(content)) => after_seal(journal, &answered.reply, content),
        (JournalPhase::Loading, None) => {
            let seal = after_load(journal, answered.reply);
            if let Some((expected_version, content)) = seal {
                let key = StoreKey::Segment { slice, number };
                let call = StoreCall::Swap { key, expected_version, value: StoreValue::Segment(content) };
                world.emit(Effect::Store { call, started_ms: now_ms });
            }
        }
        (JournalPhase::Open, Some(content)) => {
            if let Some(call) = after_append(&mut world.journal, id, &answered.reply, content) {
                world.emit(Effect::Store { call: read_back(slice, number, call), started_ms: now_ms });
            }
        }
        (JournalPhase::Open, None) => after_read_back(&mut world.journal, id, answered.reply),
    }
}

/// What an answer to an append asks for next.
struct ReadBack;

fn read_back(slice: SliceName, number: u64, _step: ReadBack) -> StoreCall {
    StoreCall::Read { key: StoreKey::Segment { slice, number }, newer_than: 0 }
}

/// Takes in a segment while loading; gives the seal to write, if one is needed.
fn after_load(journal: &mut Journal, reply: StoreReply) -> Option<(u64, SegmentRecord)> {
    match reply {
        StoreReply::Absent => {
            journal.phase = JournalPhase::Open;
            journal.version = 0;
            journal.content = SegmentRecord::default();
            None
        }
        StoreReply::Value { value: StoreValue::Segment(content), .. } if content.sealed => {
            take_in(journal, content);
            None
        }
        StoreReply::Value { version, value: StoreValue::Segment(content) } => {
            journal.in_flight = true;
            Some((version, SegmentRecord { sealed: true, term: journal.term, ..content }))
        }
        _ => None,
    }
}

/// A seal that failed is followed by another reading.
fn after_seal(journal: &mut Journal, reply: &StoreReply, content: SegmentRecord) {
    if let StoreReply::Swapped { .. } = reply {
        take_in(journal, content);
    }
}

fn take_in(journal: &mut Journal, content: SegmentRecord) {
    for record in content.records {
        journal.entries.insert(record.identity.clone(), record);
    }
    journal.segment += 1;
}

/// Takes in the answer to an append.
fn after_append(
    table: &mut JournalTable,
    id: SliceId,
    reply: &StoreReply,
    content: SegmentRecord,
) -> Option<ReadBack> {
    let journal = table.rows.get_mut(&id)?;
    match reply {
        StoreReply::Swapped { version } => {
            settle_written(table, id, *version, content);
            None
        }
        StoreReply::Conflict if journal.pending.as_ref().is_some_and(|pending| pending.uncertain) => {
            journal.in_flight = true;
            Some(ReadBack)
        }
        _ => {
            settle_not_written(table, id);
            None
        }
    }
}

/// Tells a lost answer's fate from what the segment holds now.
fn after_read_back(table: &mut JournalTable, id: SliceId, reply: StoreReply) {
    let Some(journal) = table.rows.get(&id) else {
        return;
    };
    let StoreReply::Value { version, value: StoreValue::Segment(content) } = reply else {
        settle_not_written(table, id);
        return;
    };
    let pending = journal.pending.iter().flat_map(|pending| &pending.records);
    let all_there =
        pending.clone().count() > 0 && pending.clone().all(|record| content.records.contains(record));
    if all_there {
        settle_written(table, id, version, content);
    } else {
        settle_not_written(table, id);
    }
}

fn settle_written(table: &mut JournalTable, id: SliceId, version: u64, content: SegmentRecord) {
    let Some(journal) = table.rows.get_mut(&id) else {
        return;
    };
    journal.version = version;
    let sealed = content.sealed;
    journal.content = content;
    let Some(pending) = journal.pending.take() else {
        return;
    };
    for record in pending.records {
        table.written.push(record.identity.clone());
        journal.entries.insert(record.identity.clone(), record);
    }
    if sealed {
        reload(journal);
    }
}

fn settle_not_written(table: &mut JournalTable, id: SliceId) {
    let Some(journal) = table.rows.get_mut(&id) else {
        return;
    };
    if let Some(pending) = journal.pending.take() {
        table.not_written.extend(pending.records.into_iter().map(|record| record.identity));
    }
    reload(journal);
}

fn reload(journal: &mut Journal) {
    journal.phase = JournalPhase::Loading;
}
