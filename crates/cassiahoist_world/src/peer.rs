//! Messages between daemons.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::advice::{AdviceAnswer, AdviceCall};
use crate::front::{CallNumber, FrontAnswer, RelayAction};
use crate::record::{JobRecord, JobState};

/// State of a job as the holder knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum HolderView {
    /// The job has this state.
    State(JobState),
    /// The holder does not know the job. Only the store can tell whether it exists.
    Unknown,
}

/// Daemon that sent a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sender {
    /// Name and incarnation of the daemon.
    pub incarnation: Incarnation,
    /// Address at which it listens for peers, as `ip:port`.
    pub address: String,
}

/// A message between daemons; it may be lost, and no receipt is sent.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum PeerMessage {
    /// Notifies the holder that the sender stored a job.
    JobStored(Arc<JobRecord>),
    /// Notifies the holder that the sender stored a cancellation.
    JobCancelled(JobId),
    /// Asks the holder for the state of a job.
    AskState {
        /// Number of the sender's call, returned in the answer.
        call: CallNumber,
        /// Identity of the job.
        job: JobId,
    },
    /// Answers [`PeerMessage::AskState`].
    TellState {
        /// Number of the receiver's call.
        call: CallNumber,
        /// State of the job as the holder knows it.
        view: HolderView,
    },
    /// Requests a call for advice on behalf of the holder.
    Advise(AdviceCall),
    /// Answers [`PeerMessage::Advise`].
    Advised(AdviceAnswer),
    /// Requests that a peer serve a call in place of the sender.
    ///
    /// The sender does so while the store does not answer it.
    Relay {
        /// Number of the sender's call, returned in the answer.
        call: CallNumber,
        /// Action that the call requires.
        action: RelayAction,
        /// Timeout of the call, in milliseconds.
        patience_ms: u64,
    },
    /// Answers [`PeerMessage::Relay`].
    Relayed {
        /// Number of the receiver's call.
        call: CallNumber,
        /// Answer to the call.
        answer: FrontAnswer,
    },
    /// Broadcasts the holder's state to every daemon, about once a second.
    Heartbeat {
        /// Fencing token of the holder.
        fence: Fence,
        /// Number of queued jobs, by queue.
        pending: FxHashMap<QueueName, u64>,
        /// Largest amount of each resource that a host has, by pool.
        largest: FxHashMap<PoolName, Resources>,
    },
}
