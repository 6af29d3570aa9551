//! Messages between daemons.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::advice::{AdviceAnswer, AdviceCall};
use crate::front::{CallNumber, FrontAnswer, RelayAction};
use crate::record::{JobRecord, JobState};

/// What a holder knows about a job that a peer asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum HolderView {
    /// The job stands like this.
    State(JobState),
    /// The holder does not know it; the store does, if it exists.
    Unknown,
}

/// The daemon that sent a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sender {
    /// Name and life.
    pub incarnation: Incarnation,
    /// Where it listens for peers, as `ip:port`.
    pub address: String,
}

/// A message between daemons.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum PeerMessage {
    /// A job was stored.
    JobStored(Arc<JobRecord>),
    /// A job was cancelled.
    JobCancelled(JobId),
    /// Asks the holder how a job stands.
    AskState {
        /// The asking call.
        call: CallNumber,
        /// The job.
        job: JobId,
    },
    /// Answers [`PeerMessage::AskState`].
    TellState {
        /// The asking call.
        call: CallNumber,
        /// What the holder knows.
        view: HolderView,
    },
    /// Asks a daemon to call for advice.
    Advise(AdviceCall),
    /// Answers [`PeerMessage::Advise`].
    Advised(AdviceAnswer),
    /// Asks a peer to serve a call in place of a daemon that the store does not answer.
    Relay {
        /// The asking call.
        call: CallNumber,
        /// What is to be done.
        action: RelayAction,
        /// How long the caller still waits, in milliseconds.
        patience_ms: u64,
    },
    /// Answers [`PeerMessage::Relay`].
    Relayed {
        /// The asking call.
        call: CallNumber,
        /// The answer.
        answer: FrontAnswer,
    },
    /// What the holder tells every daemon at short intervals.
    Heartbeat {
        /// The holder's fencing token.
        fence: Fence,
        /// Jobs that have not begun, by queue.
        pending: FxHashMap<QueueName, u64>,
        /// The most of each resource that a host of each pool has.
        largest: FxHashMap<PoolName, Resources>,
    },
}
