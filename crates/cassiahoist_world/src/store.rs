//! Calls to the platform's store, in the product's terms.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_declarations::Declarations;
use serde::{Deserialize, Serialize};

use crate::config::ConfigRecord;
use crate::hosts::HostReport;
use crate::record::{ClaimRecord, HostRoster, JobRecord, MemberRecord, ProgressRecord, TermRecord};

/// A range of keys that is listed and watched together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum KeySpace {
    /// What operators write.
    Operators,
    /// What hosts write about themselves.
    Hosts,
    /// Claims and members.
    Cell,
    /// Accepted jobs and cancellations.
    Jobs,
    /// Progress of jobs.
    Progress,
}

/// A key of the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum StoreKey {
    /// The operators' configuration.
    Config,
    /// What a host says of itself.
    Host(HostName),
    /// Who holds a slice.
    Claim(SliceId),
    /// The latest claim of a slice, which outlives its lease.
    Term(SliceId),
    /// Hosts that may run work of a slice.
    HostRoster(SliceId),
    /// What operators declared.
    Declared,
    /// A live daemon.
    Member(MemberName),
    /// An accepted job.
    Job(JobId),
    /// A job that its caller cancelled.
    Cancel(JobId),
    /// Progress of a job.
    Progress(JobId),
    /// A key of another writer.
    Foreign(Arc<str>),
}

/// A decoded value of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreValue {
    /// Of [`StoreKey::Config`].
    Config(Arc<ConfigRecord>),
    /// Of [`StoreKey::Host`].
    Host(Box<HostReport>),
    /// Of [`StoreKey::Claim`].
    Claim(ClaimRecord),
    /// Of [`StoreKey::Term`].
    Term(TermRecord),
    /// Of [`StoreKey::HostRoster`].
    HostRoster(HostRoster),
    /// Of [`StoreKey::Member`].
    Member(MemberRecord),
    /// Of [`StoreKey::Declared`].
    Declared(Arc<Declarations>),
    /// Of [`StoreKey::Job`].
    Job(Arc<JobRecord>),
    /// Of [`StoreKey::Cancel`].
    Cancel,
    /// Of [`StoreKey::Progress`].
    Progress(Box<ProgressRecord>),
    /// Bytes that can't be read as what the key should hold.
    Unreadable {
        /// Why.
        reason: String,
    },
}

/// One item of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreItem {
    /// The key.
    pub key: StoreKey,
    /// The value.
    pub value: StoreValue,
    /// Revision of its last change.
    pub revision: u64,
}

/// One change seen by a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreChange {
    /// An item was written.
    Written(StoreItem),
    /// A key was removed.
    Removed {
        /// The key.
        key: StoreKey,
        /// Revision of the removal.
        revision: u64,
    },
}

impl StoreChange {
    /// Gives the item that was written; `None` for a removal.
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
    /// The key.
    pub key: StoreKey,
    /// The value.
    pub value: StoreValue,
    /// The lease with which the key ends, if any.
    pub lease: Option<u64>,
}

/// An all-or-nothing change.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Transaction {
    /// Keys and the revisions that they must have; 0 means that the key must not exist.
    pub expect: Vec<(StoreKey, u64)>,
    /// Writes.
    pub puts: Vec<StorePut>,
    /// Keys to remove.
    pub deletes: Vec<StoreKey>,
}

/// Most entries of one transaction, conditions included.
pub const MAX_TRANSACTION_ENTRIES: usize = 32;

impl Transaction {
    /// Adds a condition.
    #[must_use]
    pub fn with_expect(mut self, key: StoreKey, revision: u64) -> Self {
        self.expect.push((key, revision));
        self
    }

    /// Adds a write without a lease.
    #[must_use]
    pub fn with_put(mut self, key: StoreKey, value: StoreValue) -> Self {
        self.puts.push(StorePut { key, value, lease: None });
        self
    }

    /// Adds a write that ends with a lease.
    #[must_use]
    pub fn with_leased(mut self, key: StoreKey, value: StoreValue, lease: u64) -> Self {
        self.puts.push(StorePut { key, value, lease: Some(lease) });
        self
    }

    /// Adds a removal.
    #[must_use]
    pub fn with_delete(mut self, key: StoreKey) -> Self {
        self.deletes.push(key);
        self
    }
}

/// What is asked of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreOp {
    /// Reads one key, linearizably.
    Get(StoreKey),
    /// Reads a whole range.
    List(KeySpace),
    /// Waits for changes after a revision.
    Watch {
        /// The range.
        space: KeySpace,
        /// The revision after which changes are wanted.
        after: u64,
        /// How long to wait for the first change, in milliseconds.
        wait_ms: u64,
    },
    /// Changes keys under conditions.
    Commit(Transaction),
    /// Grants a lease for a time, in milliseconds.
    GrantLease(u64),
    /// Renews a lease.
    KeepLease(u64),
    /// Ends a lease.
    EndLease(u64),
}

/// Why a call is made: the system that reads the answer goes by it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum StorePurpose {
    /// Grants this daemon's lease.
    Grant,
    /// Renews this daemon's lease.
    Keep,
    /// Ends this daemon's lease.
    End,
    /// Registers this daemon.
    Register,
    /// Claims a slice.
    Claim,
    /// Hands a slice over.
    Release,
    /// Reads or watches a range.
    Follow(KeySpace),
    /// Reads all progress for a new holder.
    LoadProgress,
    /// Reads the hosts that may run work, for a new holder.
    LoadRoster,
    /// Records that hosts may run work.
    RecordRoster,
    /// Stores a job for the caller who waits under this call number.
    Accept(u64),
    /// Reads something for the caller who waits under this call number.
    Lookup(u64),
    /// Cancels a job for the caller who waits under this call number.
    Cancel(u64),
    /// Records progress; the number counts commits.
    Progress(u64),
    /// Stores declarations for the operator who waits under this call number.
    Declare(u64),
    /// Removes old records.
    Retire,
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreCall {
    /// Why.
    pub purpose: StorePurpose,
    /// What.
    pub op: StoreOp,
    /// When the caller stops waiting, for the first page if a range is read, in monotonic milliseconds.
    pub deadline_ms: u64,
}

/// An answer of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// The item, or none.
    Item(Option<StoreItem>),
    /// A whole range.
    Items {
        /// The items.
        items: Vec<StoreItem>,
        /// The revision from which to go on watching.
        revision: u64,
    },
    /// Changes of a range.
    Changes {
        /// The changes, in order.
        changes: Vec<StoreChange>,
        /// The revision from which to go on watching.
        revision: u64,
    },
    /// The store no longer has the history asked for.
    HistoryGone,
    /// The transaction was done.
    Committed {
        /// Its revision.
        revision: u64,
    },
    /// A condition did not hold.
    Conflict {
        /// The keys of the conditions, as they are; absent ones are left out.
        items: Vec<StoreItem>,
    },
    /// A lease was granted or renewed.
    Leased {
        /// The lease.
        lease: u64,
        /// How long it lasts, in milliseconds.
        ttl_ms: u64,
    },
    /// No such lease exists.
    NoLease,
}

/// Why a call brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFailure {
    /// Nothing was done.
    NotDone,
    /// It may have been done, or may be done later.
    Unknown,
}

/// A call and what came of it.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreAnswered {
    /// Why it was made.
    pub purpose: StorePurpose,
    /// When control issued it, in monotonic milliseconds.
    pub started_ms: u64,
    /// What came of it.
    pub outcome: Result<StoreReply, StoreFailure>,
}
