//! Calls of callers and what they are told.

use cassiahoist_core::prelude::*;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::record::{JobRecord, JobState};
use crate::spec::JobSpec;
use std::sync::Arc;

/// Number of a call that waits for its answer.
pub type CallNumber = u64;

/// What a caller wants.
#[derive(Clone, Debug, PartialEq)]
pub enum CallAction {
    /// Submits a job; nothing if its text could not be read, with the reason.
    Submit(Result<Box<JobSpec>, String>),
    /// Asks how a job stands, or how many jobs of a queue wait.
    Ask,
    /// Cancels a job.
    Cancel,
}

/// A call of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct FrontCall {
    /// Number of the call.
    pub number: CallNumber,
    /// The host name that the caller used.
    pub host: String,
    /// The path.
    pub path: String,
    /// What is wanted.
    pub action: CallAction,
    /// Size of the body, in bytes.
    pub body_bytes: usize,
    /// When the caller stops waiting, in monotonic milliseconds.
    pub deadline_ms: u64,
}

/// What a caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum FrontAnswer {
    /// The job is stored.
    Accepted,
    /// How the job stands.
    State(JobState),
    /// The job is cancelled.
    Cancelled,
    /// How many jobs of the queue have not begun.
    Pending(u64),
    /// The call failed.
    Error {
        /// Why.
        kind: ErrorKind,
        /// When to come back, in milliseconds.
        retry_ms: Option<u64>,
    },
}

/// What a daemon asks a peer to do since the store does not answer it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum RelayAction {
    /// Stores a job.
    Store(Arc<JobRecord>),
    /// Asks how a job stands.
    Ask(JobId),
    /// Cancels a job.
    Cancel(JobId),
}

/// Who waits for the answer of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// A peer that the store does not answer.
    Peer {
        /// The peer's address, as `ip:port`.
        address: String,
        /// Number of its call.
        call: CallNumber,
    },
}

/// Numbers of calls that peers relay begin here, above those of callers.
pub const FIRST_RELAYED_CALL: CallNumber = 1 << 62;

/// How far a call has come.
#[derive(Clone, Debug, PartialEq)]
pub enum CallStage {
    /// The job is being stored.
    Storing {
        /// The job.
        record: Arc<JobRecord>,
        /// Whether an earlier try may take effect.
        uncertain: bool,
    },
    /// The holder was asked how the job stands.
    AskingHolder {
        /// When the store is asked instead, in monotonic milliseconds.
        until_ms: u64,
    },
    /// The store is asked for the progress record.
    ReadingProgress,
    /// The store is asked for the job.
    ReadingJob,
    /// The store is asked whether the job that is to be cancelled exists.
    FindingJob,
    /// The cancellation is being stored.
    Cancelling,
}

/// A call under way.
#[derive(Clone, Debug)]
pub struct OpenCall {
    /// Number of the call.
    pub number: CallNumber,
    /// The job.
    pub job: JobId,
    /// Who waits for the answer.
    pub origin: Origin,
    /// How far it has come.
    pub stage: CallStage,
    /// Until when a peer that was asked to help is waited for, in monotonic milliseconds.
    pub relayed_until_ms: Option<u64>,
    /// Peers asked so far.
    pub relays: u32,
    /// When it came, in monotonic milliseconds.
    pub arrived_ms: u64,
    /// When the caller stops waiting, in monotonic milliseconds.
    pub deadline_ms: u64,
    /// When to try again, in monotonic milliseconds; none while a call is under way.
    pub retry_at_ms: Option<u64>,
}

impl OpenCall {
    /// Registers a caller's call.
    ///
    /// Times are monotonic, in milliseconds.
    #[must_use]
    pub fn new(number: CallNumber, job: JobId, stage: CallStage, deadline_ms: u64, now_ms: u64) -> Self {
        Self {
            number,
            job,
            origin: Origin::Caller,
            stage,
            relayed_until_ms: None,
            relays: 0,
            arrived_ms: now_ms,
            deadline_ms,
            retry_at_ms: None,
        }
    }

    /// Sets who waits for the answer.
    #[must_use]
    pub fn with_origin(self, origin: Origin) -> Self {
        Self { origin, ..self }
    }
}

/// What the holder tells every daemon.
#[derive(Clone, Debug, Default)]
pub struct HolderNews {
    /// Waiting jobs by queue.
    pub pending: FxHashMap<QueueName, u64>,
    /// The most of each resource that a host of each pool has.
    pub largest: FxHashMap<PoolName, Resources>,
    /// When it was heard, in monotonic milliseconds.
    pub heard_ms: u64,
}

/// Calls under way at this daemon.
#[derive(Debug, Default)]
pub struct FrontTable {
    /// Calls by number.
    pub calls: FxHashMap<CallNumber, OpenCall>,
    /// Calls that peers relayed so far.
    pub relayed: u64,
    /// When the holder tells every daemon next, in monotonic milliseconds.
    pub heartbeat_next_ms: u64,
    /// What the holder last said.
    pub holder_news: Option<HolderNews>,
}

impl FrontTable {
    /// Adds a call.
    pub fn insert(&mut self, call: OpenCall) {
        self.calls.insert(call.number, call);
    }
}
