//! Journals of the identity slices held here.

use cassiahoist_core::prelude::*;
use rustc_hash::FxHashMap;
use serde::Serialize;

use crate::slices::SliceId;
use crate::store::{JournalRecord, SegmentRecord};

/// How far a journal is ready for appends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub enum JournalPhase {
    /// The segments of former holders are being sealed and read.
    #[default]
    Loading,
    /// Records may be appended.
    Open,
}

/// An append under way.
#[derive(Clone, Debug, Serialize)]
pub struct PendingAppend {
    /// Records that it adds.
    pub records: Vec<JournalRecord>,
    /// When it was issued, in monotonic milliseconds.
    pub started_ms: u64,
    /// Whether its answer was lost and it is being read back.
    pub uncertain: bool,
}

/// The journal of one identity slice held here.
#[derive(Debug, Default, Serialize)]
pub struct Journal {
    /// The term under which it is held.
    pub term: u64,
    /// How far it is ready.
    pub phase: JournalPhase,
    /// Number of the segment appended to.
    pub segment: u64,
    /// Version of that segment in the store.
    pub version: u64,
    /// Content of that segment by the last reading or append.
    pub content: SegmentRecord,
    /// Records to append next.
    pub batch: Vec<JournalRecord>,
    /// The append under way.
    pub pending: Option<PendingAppend>,
    /// Whether any call for this journal is under way.
    pub in_flight: bool,
    /// Next call at the earliest, in monotonic milliseconds.
    pub next_call_ms: u64,
    /// Latest record of each identity.
    #[serde(skip)]
    pub entries: FxHashMap<RequestIdentity, JournalRecord>,
}

/// Journals by slice.
#[derive(Debug, Default)]
pub struct JournalTable {
    /// Rows.
    pub rows: FxHashMap<SliceId, Journal>,
    /// Identities whose record is written since the last tick's readers ran.
    pub written: Vec<RequestIdentity>,
    /// Identities whose record is proved not written since the last tick's readers ran.
    pub not_written: Vec<RequestIdentity>,
    /// Identities whose record may or may not be written since the last tick's readers ran.
    pub uncertain: Vec<RequestIdentity>,
}
