//! Callers' calls and the answers to them.

use std::sync::Arc;

use cassiahoist_core::credential::Credential;
use cassiahoist_core::prelude::*;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::accounts::Caller;
use crate::record::{FailureReason, JobFailure, JobRecord, JobState};
use crate::spec::JobSpec;

/// Number of an open call, unique within a daemon.
pub type CallNumber = u64;

/// Action that a caller requests.
#[derive(Clone, Debug, PartialEq)]
pub enum CallAction {
    /// Submits a job; the error states why its specification is unreadable.
    Submit(Result<Box<JobSpec>, String>),
    /// Queries a job's state or the number of a queue's queued jobs.
    Query,
    /// Cancels the job that the path names.
    Cancel,
}

/// A call of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct CallRequest {
    /// Number of the call, assigned by the traffic threads.
    pub number: CallNumber,
    /// Host name in the request.
    pub host_name: String,
    /// Path in the request.
    pub path: String,
    /// Action that the caller requests.
    pub action: CallAction,
    /// What identifies the caller.
    pub credential: Credential,
    /// Size of the body, in bytes.
    pub body_bytes: usize,
    /// Deadline for the answer, in monotonic milliseconds.
    pub deadline_ms: u64,
}

/// Answer to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum CallAnswer {
    /// The job is stored.
    Accepted,
    /// The job has this state.
    State(JobState),
    /// The job failed for this reason.
    Failed(FailureReason),
    /// The cancellation is stored.
    Cancelled,
    /// The queue has this number of queued jobs.
    Pending(u64),
    /// The call failed, and the kind decides what the caller is told.
    Error {
        /// Kind of the error.
        kind: ErrorKind,
        /// When to retry, in milliseconds from the answer. `None` if a retry is of no use.
        #[serde(rename = "retry_ms")]
        retry_after_ms: Option<u64>,
    },
}

impl CallAnswer {
    /// Returns the answer for a job in a state; `failure` is `None` unless the reason of its failure is known.
    #[must_use]
    pub fn of_job(state: JobState, failure: Option<&JobFailure>) -> Self {
        match failure.filter(|_| state == JobState::Failed) {
            Some(failure) => Self::Failed(failure.reason),
            None => Self::State(state),
        }
    }
}

/// Action that a daemon requests from a peer.
///
/// It does so while the store does not answer it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum RelayAction {
    /// Stores a job whose record the requesting daemon made.
    Store(Arc<JobRecord>),
    /// Queries the state of a job.
    #[serde(rename = "Ask")]
    Query(JobId),
    /// Cancels a job if the store has it.
    Cancel(JobId),
}

/// Receiver of the answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOrigin {
    /// A caller of this daemon.
    Caller,
    /// A peer that relayed the call, because the store does not answer it.
    Peer {
        /// Address of the peer, as `ip:port`.
        address: String,
        /// Number of the call at the peer.
        call: CallNumber,
    },
}

/// Offset of the numbers of relayed calls.
///
/// It keeps them above the numbers of callers' calls.
pub const RELAYED_CALL_BASE: CallNumber = 1 << 62;

/// Calls that an incarnation may make for each millisecond by which the next one starts later, as a power of two.
const CALLS_PER_MS_BITS: u32 = 20;

/// Bits of the start of an incarnation, in Unix milliseconds, that its numbers hold. They last until 2039.
const START_BITS: u32 = 41;

/// Returns the number after which an incarnation numbers its calls.
///
/// A peer may answer a call of an earlier incarnation of this daemon. Its number must not be that of another call.
#[must_use]
pub fn first_call_number(incarnation: &Incarnation) -> CallNumber {
    (incarnation.started_unix_ms & ((1 << START_BITS) - 1)) << CALLS_PER_MS_BITS
}

/// Stage of an open call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallStage {
    /// The job is being stored.
    Storing {
        /// Job record to store.
        record: Arc<JobRecord>,
    },
    /// The holder was queried for the state of the job.
    QueryingHolder {
        /// Deadline after which the store is read instead, in monotonic milliseconds.
        deadline_ms: u64,
    },
    /// The progress record is being read from the store.
    ReadingProgress,
    /// There is no progress record, and the job record is being read instead.
    ReadingJob,
    /// The job record is being read, since a caller learns nothing about jobs of other accounts.
    CheckingOwner,
    /// The job record is being read, since a job beyond the cap of its account may have been accepted under a greater one.
    CheckingStored {
        /// How the job exceeds the cap, for the log.
        excess: String,
    },
    /// The job record is being read, since the answer to a cancellation depends on whether it is there.
    CheckingJobExists,
    /// The cancellation of a stored job is being stored.
    Cancelling,
    /// The cancellation of a job that is not stored is being stored, so that no open attempt can store the job later.
    CancellingUnstored,
}

/// A call without an answer yet.
#[derive(Clone, Debug)]
pub struct OpenCall {
    /// Number of the call.
    pub number: CallNumber,
    /// Job that the call is about.
    pub job: JobId,
    /// Caller, which decides whose jobs the call may read or cancel.
    pub caller: Caller,
    /// Whether the caller is known to be allowed to read the job.
    pub is_owner_checked: bool,
    /// Receiver of the answer.
    pub origin: CallOrigin,
    /// Stage that the call has reached.
    pub stage: CallStage,
    /// Whether an earlier attempt to store the job or the cancellation may still take effect. Then a refusal would be wrong.
    pub may_be_stored: bool,
    /// Deadline for the answer of a peer, in monotonic milliseconds. `None` if no relay request is open.
    pub relay_deadline_ms: Option<u64>,
    /// Number of relay requests sent for the call so far.
    pub relay_count: u32,
    /// When the call arrived, in monotonic milliseconds.
    pub arrived_at_ms: u64,
    /// Deadline for the answer, in monotonic milliseconds.
    pub deadline_ms: u64,
    /// When to retry, in monotonic milliseconds; `None` while an attempt is in flight.
    pub retry_at_ms: Option<u64>,
}

impl OpenCall {
    /// Creates a call of a caller. Both times are in monotonic milliseconds.
    #[must_use]
    pub fn new(number: CallNumber, job: JobId, stage: CallStage, deadline_ms: u64, now_ms: u64) -> Self {
        Self {
            number,
            job,
            caller: Caller::default(),
            is_owner_checked: false,
            origin: CallOrigin::Caller,
            stage,
            may_be_stored: false,
            relay_deadline_ms: None,
            relay_count: 0,
            arrived_at_ms: now_ms,
            deadline_ms,
            retry_at_ms: None,
        }
    }

    /// Returns whether an attempt to store the job or the cancellation is in flight, here or at a peer.
    #[must_use]
    pub fn is_storing(&self) -> bool {
        let is_waiting = self.retry_at_ms.is_none();
        match self.stage {
            CallStage::Storing { .. } | CallStage::Cancelling | CallStage::CancellingUnstored => is_waiting,
            CallStage::CheckingJobExists => is_waiting && self.relay_deadline_ms.is_some(),
            CallStage::QueryingHolder { .. }
            | CallStage::CheckingOwner
            | CallStage::CheckingStored { .. }
            | CallStage::ReadingProgress
            | CallStage::ReadingJob => false,
        }
    }

    /// Replaces the caller.
    #[must_use]
    pub fn with_caller(self, caller: Caller) -> Self {
        Self { caller, ..self }
    }

    /// Replaces the receiver of the answer.
    #[must_use]
    pub fn with_origin(self, origin: CallOrigin) -> Self {
        Self { origin, ..self }
    }
}

/// Content of the holder's latest heartbeat.
#[derive(Clone, Debug, Default)]
pub struct HolderStatus {
    /// Number of queued jobs, by queue.
    pub queued_jobs: FxHashMap<QueueName, u64>,
    /// Largest amount of each resource that a host has, by pool.
    pub largest_by_pool: FxHashMap<PoolName, Resources>,
    /// When the heartbeat arrived, in monotonic milliseconds.
    pub received_at_ms: u64,
}

/// A count of the jobs that have not started.
#[derive(Clone, Debug)]
pub struct QueuedJobs {
    /// Number of jobs by queue; queues without one are absent.
    pub by_queue: FxHashMap<QueueName, u64>,
    /// When they were counted, in monotonic milliseconds.
    pub counted_at_ms: u64,
}

/// Open calls at this daemon.
#[derive(Debug, Default)]
pub struct CallTable {
    /// Open calls by number.
    pub open: FxHashMap<CallNumber, OpenCall>,
    /// Number of calls that peers relayed to this daemon so far.
    pub relayed_call_count: u64,
    /// When the holder sends the next heartbeat, in monotonic milliseconds.
    pub next_heartbeat_at_ms: u64,
    /// Latest heartbeat of the holder; `None` before the first.
    pub holder_status: Option<HolderStatus>,
    /// Since when the holder's heartbeats have not arrived, in monotonic milliseconds. `None` if they arrive.
    pub holder_silent_since_ms: Option<u64>,
    /// Queued jobs at this daemon as holder, by queue; `None` before the first count.
    pub queued_jobs: Option<QueuedJobs>,
}

impl CallTable {
    /// Adds an open call.
    pub fn insert(&mut self, call: OpenCall) {
        self.open.insert(call.number, call);
    }
}
