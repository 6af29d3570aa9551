//! Calls to the platform's store and the state of the link to it.

use cassiahoist_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::declarations::ConfigRecord;
use crate::members::MemberRecord;
use crate::slices::DomainRecord;

/// The key of a value in the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum StoreKey {
    /// Slice records of a failure domain.
    Slices(FailureDomain),
    /// A segment of the journal of an identity slice.
    Segment {
        /// The identity slice.
        slice: SliceName,
        /// Number of the segment, from 0.
        number: u64,
    },
    /// The operators' configuration.
    Config,
}

/// One record of an identity in the journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalRecord {
    /// The identity recorded.
    pub identity: RequestIdentity,
    /// Hash of the content, to tell reuse of an identity for other content.
    pub content_hash: u64,
    /// What is known of the work.
    pub state: JournalState,
    /// Wall-clock time of the record, in seconds since the epoch.
    pub at_unix_s: u64,
    /// The job to run, for jobs; nothing for requests.
    pub job: Option<crate::jobs::JobSpec>,
}

/// What the journal knows of a piece of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JournalState {
    /// It may be dispatched from now on.
    Accepted,
    /// It ran; the answer if it was small enough to keep.
    Answered {
        /// Media type of the answer.
        content_type: String,
        /// The answer as text, if it was kept.
        text: Option<String>,
    },
    /// It ended with an error of this kind.
    Ended(ErrorKind),
}

/// A segment of the journal: records, and whether a successor sealed it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentRecord {
    /// Term of the writer that appended or sealed last.
    pub term: u64,
    /// No more appends are allowed.
    pub sealed: bool,
    /// Records in order.
    pub records: Vec<JournalRecord>,
}

/// A value in the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreValue {
    /// Slice records.
    Slices(DomainRecord),
    /// A journal segment.
    Segment(SegmentRecord),
    /// The configuration.
    Config(Box<ConfigRecord>),
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreCall {
    /// Reads a value if it is newer than a version.
    Read {
        /// The key.
        key: StoreKey,
        /// Version that the reader already has; 0 for none.
        newer_than: u64,
    },
    /// Writes a value if its version is still the expected one.
    Swap {
        /// The key.
        key: StoreKey,
        /// Version expected; 0 if the value is expected to be absent.
        expected_version: u64,
        /// The new value.
        value: StoreValue,
    },
    /// Writes or renews this daemon's membership under a lease.
    RenewMember {
        /// What peers read.
        record: MemberRecord,
        /// Time to live of the lease, in milliseconds.
        ttl_ms: u64,
    },
    /// Removes this daemon's membership.
    RemoveMember {
        /// Who leaves.
        incarnation: Incarnation,
    },
    /// Lists members if any changed since a version.
    ListMembers {
        /// Version that the reader already has; 0 for none.
        newer_than: u64,
    },
}

/// The store's answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// The value and its version.
    Value {
        /// The version.
        version: u64,
        /// The value.
        value: StoreValue,
    },
    /// There is no such value.
    Absent,
    /// Nothing is newer than the reader's version.
    Unchanged,
    /// The swap took effect.
    Swapped {
        /// The new version.
        version: u64,
    },
    /// The version was not the expected one; nothing was written.
    Conflict,
    /// Membership is renewed or removed.
    Done,
    /// The members.
    Members {
        /// The version of the list.
        version: u64,
        /// Who is listed.
        members: Vec<MemberRecord>,
    },
    /// No answer came; a write may have taken effect.
    Unanswered,
}

/// An answered call, with the time at which the call began.
#[derive(Clone, Debug)]
pub struct StoreAnswered {
    /// The call.
    pub call: StoreCall,
    /// When control issued the call, in monotonic milliseconds.
    pub started_ms: u64,
    /// The answer.
    pub reply: StoreReply,
}

/// The link to the store as seen from here.
#[derive(Debug, Default, Serialize)]
pub struct StoreLink {
    /// Start of the last answered call, in monotonic milliseconds.
    pub answered_ms: Option<u64>,
    /// Calls unanswered in a row.
    pub unanswered: u32,
    /// When membership is renewed next, in monotonic milliseconds.
    pub next_renew_ms: u64,
    /// Whether a renewal is under way.
    pub renew_in_flight: bool,
    /// Whether a listing is under way.
    pub list_in_flight: bool,
    /// When members are listed next, in monotonic milliseconds.
    pub next_list_ms: u64,
}

impl StoreLink {
    /// Tells whether the store seems out of reach.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.unanswered >= 2
    }
}
