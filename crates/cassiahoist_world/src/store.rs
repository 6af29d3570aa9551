//! Calls to the platform's store, its keys, values and answers.
//!
//! The store keeps versioned keys: every commit has a revision, and each item has that of its last change.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_declarations::Declarations;
use serde::{Deserialize, Serialize};

use crate::config::ConfigRecord;
use crate::hosts::HostEntry;
use crate::record::{ClaimRecord, HostRoster, JobRecord, MemberRecord, ProgressRecord, TermRecord};
use crate::run_time_summary::RunTimeSummary;
use crate::unsent::UnsentCause;

/// A range of keys that is listed and watched as one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum KeySpace {
    /// Configuration that operators write.
    Operators,
    /// Entries that hosts write about themselves.
    Hosts,
    /// Claims, terms, rosters, declarations and registrations of daemons.
    Cell,
    /// Accepted jobs and cancellations.
    Jobs,
    /// Progress of jobs, which only the holder writes.
    Progress,
}

/// A key of the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum StoreKey {
    /// The operators' configuration; operators write it.
    Config,
    /// Entry of a host, which the host writes.
    Host(HostName),
    /// Claim on a slice, which its holder writes under its lease.
    Claim(SliceId),
    /// Number of the latest claim on a slice, which outlives the claim.
    Term(SliceId),
    /// Roster of a slice, which its holder writes.
    HostRoster(SliceId),
    /// Summary of the learned run times of a slice, which its holder writes.
    RunTimes(SliceId),
    /// The operators' declarations, which daemons write on an operator's call.
    Declared,
    /// Registration of a daemon, which it writes under its lease.
    Member(MemberName),
    /// An accepted job, which the accepting daemon writes.
    Job(JobId),
    /// Cancellation of a job, which the daemon that received the call writes.
    Cancel(JobId),
    /// Progress of a job, which the holder writes.
    Progress(JobId),
    /// Any other key, which no daemon writes.
    Foreign(Arc<str>),
}

/// A decoded value of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreValue {
    /// Value of [`StoreKey::Config`].
    Config(Arc<ConfigRecord>),
    /// Value of [`StoreKey::Host`].
    Host(Box<HostEntry>),
    /// Value of [`StoreKey::Claim`].
    Claim(ClaimRecord),
    /// Value of [`StoreKey::Term`].
    Term(TermRecord),
    /// Value of [`StoreKey::HostRoster`].
    HostRoster(HostRoster),
    /// Value of [`StoreKey::RunTimes`].
    RunTimes(Arc<RunTimeSummary>),
    /// Value of [`StoreKey::Member`].
    Member(MemberRecord),
    /// Value of [`StoreKey::Declared`].
    Declared(Arc<Declarations>),
    /// Value of [`StoreKey::Job`].
    Job(Arc<JobRecord>),
    /// Value of [`StoreKey::Cancel`], which carries nothing.
    Cancel,
    /// Value of [`StoreKey::Progress`].
    Progress(Box<ProgressRecord>),
    /// Bytes that do not decode to the type that the key requires.
    Unreadable {
        /// Error of the decoder.
        reason: String,
    },
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreItem {
    /// Key of the item.
    pub key: StoreKey,
    /// Decoded value; [`StoreValue::Unreadable`] for malformed bytes and foreign keys.
    pub value: StoreValue,
    /// Revision of its last change.
    pub revision: u64,
}

/// A change that a watch observed.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreChange {
    /// The item was created or replaced.
    Written(StoreItem),
    /// The key was removed, or its lease ended.
    Removed {
        /// Key that no longer exists.
        key: StoreKey,
        /// Revision of the removal.
        revision: u64,
    },
}

impl StoreChange {
    /// Returns the written item; `None` for a removal.
    #[must_use]
    pub fn written(self) -> Option<StoreItem> {
        match self {
            Self::Written(item) => Some(item),
            Self::Removed { .. } => None,
        }
    }
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub struct StorePut {
    /// Key that is created or replaced.
    pub key: StoreKey,
    /// Value that the key gets; never [`StoreValue::Unreadable`].
    pub value: StoreValue,
    /// Lease at whose end the store removes the key. `None` if the key is permanent.
    pub lease: Option<u64>,
}

/// A conditional change that takes effect as a whole or not at all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Transaction {
    /// Keys with the revisions that they must have. 0 requires that the key does not exist.
    pub expect: Vec<(StoreKey, u64)>,
    /// Writes, each of which creates or replaces a key.
    pub puts: Vec<StorePut>,
    /// Keys to remove; those that do not exist are ignored.
    pub deletes: Vec<StoreKey>,
}

/// Maximum number of entries in one transaction, conditions included.
pub const MAX_TRANSACTION_ENTRIES: usize = 32;

impl Transaction {
    /// Adds a condition; revision 0 requires that the key does not exist.
    #[must_use]
    pub fn with_expect(mut self, key: StoreKey, revision: u64) -> Self {
        self.expect.push((key, revision));
        self
    }

    /// Adds a permanent write.
    #[must_use]
    pub fn with_put(mut self, key: StoreKey, value: StoreValue) -> Self {
        self.puts.push(StorePut { key, value, lease: None });
        self
    }

    /// Adds a write that the store removes at the end of a lease.
    #[must_use]
    pub fn with_leased_put(mut self, key: StoreKey, value: StoreValue, lease: u64) -> Self {
        self.puts.push(StorePut { key, value, lease: Some(lease) });
        self
    }

    /// Adds the removal of a key, which need not exist.
    #[must_use]
    pub fn with_delete(mut self, key: StoreKey) -> Self {
        self.deletes.push(key);
        self
    }
}

/// An operation on the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreOp {
    /// Reads one key; the read is linearizable.
    Get(StoreKey),
    /// Reads all items of a range, page by page.
    List(KeySpace),
    /// Waits for changes of a range after a revision.
    Watch {
        /// Range whose changes are returned.
        space: KeySpace,
        /// Revision after which changes are returned.
        after: u64,
        /// How long to wait for the first change, in milliseconds.
        wait_ms: u64,
    },
    /// Commits a transaction if its conditions hold.
    Commit(Transaction),
    /// Grants a lease with this time to live, in milliseconds.
    GrantLease(u64),
    /// Renews the lease with this number.
    RenewLease(u64),
    /// Ends the lease with this number.
    EndLease(u64),
}

/// Purpose of a call, by which systems select the results that they read.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum StorePurpose {
    /// Obtains this daemon's lease.
    GrantLease,
    /// Renews this daemon's lease.
    RenewLease,
    /// Ends this daemon's lease at its stop.
    EndLease,
    /// Writes this daemon's registration, bound to its lease.
    RegisterMember,
    /// Writes this daemon's claim with its term record.
    ClaimSlice,
    /// Removes this daemon's claim.
    ReleaseClaim,
    /// Lists or watches a range that this daemon follows.
    FollowRange(KeySpace),
    /// Reads all progress records, for a new holder.
    LoadProgress,
    /// Reads the roster, for a new holder.
    LoadRoster,
    /// Writes the roster, for a later holder.
    WriteRoster,
    /// Reads the summary of learned run times, for a new holder.
    LoadRunTimes,
    /// Writes the summary of learned run times, for a later holder.
    WriteRunTimes,
    /// Stores a job for the call with this number.
    StoreJob(u64),
    /// Reads a job for the call with this number.
    ReadJob(u64),
    /// Reads the progress of a job for the call with this number.
    ReadProgress(u64),
    /// Finds and cancels a job for the call with this number.
    CancelJob(u64),
    /// Writes progress records as the commit with this number.
    RecordProgress(u64),
    /// Stores declarations for the operator's call with this number.
    StoreDeclarations(u64),
    /// Removes the records of jobs whose state need no longer be known.
    RemoveJobs,
    /// Removes cancellations of jobs that were never stored.
    RemoveCancellations,
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreCall {
    /// Purpose of the call.
    pub purpose: StorePurpose,
    /// Operation to perform; a failed one is not retried.
    pub op: StoreOp,
    /// Deadline for the answer or a listing's first page, in monotonic milliseconds.
    pub deadline_ms: u64,
}

/// Answer of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// Result of a read; `None` if the key does not exist.
    Item(Option<StoreItem>),
    /// Result of a listing.
    Items {
        /// All items of the range.
        items: Vec<StoreItem>,
        /// Revision after which to watch.
        revision: u64,
    },
    /// Result of a watch.
    Changes {
        /// Changes, in order; empty if none came within the wait.
        changes: Vec<StoreChange>,
        /// Revision after which to watch next.
        revision: u64,
    },
    /// The store discarded the changes after the given revision; the range must be listed.
    HistoryCompacted,
    /// The transaction took effect.
    Committed {
        /// Revision of the commit.
        revision: u64,
    },
    /// A condition did not hold, and nothing changed.
    Conflict {
        /// Present items of all keys with a condition. Keys that do not exist are absent.
        items: Vec<StoreItem>,
    },
    /// The lease was granted or renewed.
    LeaseGranted {
        /// Number of the lease.
        lease: u64,
        /// Time to live, in milliseconds.
        ttl_ms: u64,
    },
    /// The lease does not exist, or has ended.
    LeaseNotFound,
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFailure {
    /// The store did not apply the call and never will.
    NotApplied,
    /// The call was never sent, so it has no effect.
    NotSent(UnsentCause),
    /// The call may have taken effect, or may do so later.
    Unknown,
}

impl StoreFailure {
    /// Returns whether the cause lies with this daemon and says nothing about the store.
    #[must_use]
    pub fn is_local_failure(self) -> bool {
        matches!(self, Self::NotSent(cause) if cause.is_local())
    }
}

/// Result of a call to the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreCompletion {
    /// Purpose of the call.
    pub purpose: StorePurpose,
    /// When the control thread issued it, in monotonic milliseconds.
    pub issued_at_ms: u64,
    /// Answer, or why there is none.
    pub outcome: Result<StoreReply, StoreFailure>,
}
