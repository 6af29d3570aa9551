//! Writes of the holder to the store: progress in groups, removals and the roster.

use cassiahoist_core::prelude::*;
use rustc_hash::FxHashSet;

use crate::keys::{HostKey, JobKey};
use crate::record::JobState;

/// What a commit writes of one job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommittedJob {
    /// Row of the job.
    pub job: JobKey,
    /// State that is written.
    pub state: JobState,
    /// Number of changes of the crashes under its tasks that are written.
    pub crash_changes: u64,
}

/// One transaction of a flush whose result is open.
#[derive(Clone, Debug, Default)]
pub struct OpenCommit {
    /// Number of the commit, which its store call carries.
    pub number: u64,
    /// Jobs in the transaction, with the state that it writes.
    pub jobs: Vec<CommittedJob>,
}

/// A flush: transactions that write every job that had changed when it began.
#[derive(Clone, Debug, Default)]
pub struct Flush {
    /// Transactions whose results are open.
    pub open_commits: Vec<OpenCommit>,
    /// Hosts with ends that this flush covers.
    pub hosts: Vec<HostKey>,
    /// Jobs of the transactions that failed. Their ends are not durable.
    pub failed_jobs: FxHashSet<JobKey>,
}

/// State of the holder's writes to the store.
#[derive(Clone, Debug, Default)]
pub struct StoreWriteTable {
    /// Flush in progress; `None` between two flushes.
    pub flush: Option<Flush>,
    /// Number of the latest commit; 0 before the first.
    ///
    /// It never restarts, so that a late answer to a commit of an earlier holding matches no other.
    pub last_commit_number: u64,
    /// When the next flush may begin, in monotonic milliseconds.
    pub next_flush_at_ms: u64,
    /// Whether an end arrived that no flush has recorded. Then a flush is due even if no job changed.
    pub ends_unrecorded: bool,
    /// Whether crashes of hosts under tasks wait to be recorded.
    pub crashes_unrecorded: bool,
    /// When the roster may be written next to list hosts as silent, in monotonic milliseconds.
    pub next_roster_silence_at_ms: u64,
    /// Jobs whose records are being removed from the store. Empty if no removal is in flight.
    pub jobs_in_removal: Vec<JobKey>,
    /// When to search for expired jobs next, in monotonic milliseconds.
    pub next_job_removal_at_ms: u64,
    /// Jobs whose cancellations are being removed from the store. Empty if no such removal is in flight.
    pub cancellations_in_removal: Vec<JobId>,
    /// When to search for cancellations of jobs that were not stored next, in monotonic milliseconds.
    pub next_cancellation_removal_at_ms: u64,
    /// Whether a write of the roster is in flight.
    pub roster_in_flight: bool,
    /// Whether the stored roster lists hosts that no longer run anything.
    pub roster_stale: bool,
    /// Greatest revision of a write that this daemon made on condition of its claim; 0 before the first.
    ///
    /// It is later than that claim and earlier than any other one.
    pub latest_revision: u64,
    /// Hosts that may get start orders once the write in flight is committed.
    ///
    /// Each has the start of its incarnation, in Unix milliseconds.
    pub roster_hosts_in_flight: Vec<(HostKey, u64)>,
    /// When the roster may be written next after a failure, in monotonic milliseconds.
    pub next_roster_write_at_ms: u64,
    /// When the roster may be written next only to remove hosts, in monotonic milliseconds.
    pub next_roster_removal_at_ms: u64,
    /// Greatest number of hosts that the stored roster may have: as last read or written, or in a write without an answer.
    pub roster_size: usize,
    /// Number of hosts in the write of the roster that is in flight.
    pub roster_size_in_flight: usize,
    /// Store revision of the roster; 0 if none is stored.
    pub roster_revision: u64,
}

impl StoreWriteTable {
    /// Forgets the writes of a holding that ended.
    pub fn clear(&mut self) {
        *self = Self { last_commit_number: self.last_commit_number, ..Self::default() };
    }
}
