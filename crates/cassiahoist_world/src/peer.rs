//! Messages between daemons, and the names under which they are sent.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::accounts::Caller;
use crate::advice::{AdviceAnswer, AdviceCall};
use crate::calls::{CallAnswer, CallNumber, RelayAction};
use crate::record::{FailureReason, JobRecord, JobState};
use crate::start_relay::{RelayedAnswers, StartBatch};

/// State of a job as the holder knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum HolderReply {
    /// The job has this state.
    State(JobState),
    /// The job failed for this reason.
    Failed(FailureReason),
    /// The daemon does not know the job or is not the holder. Only the store can tell whether the job exists.
    Unknown,
}

/// Daemon that sent a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSender {
    /// Name and incarnation of the daemon.
    pub incarnation: Incarnation,
    /// Address at which it listens for peers, as `ip:port`.
    pub address: String,
}

/// A daemon's question for the age of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConfigAgeQuestion {
    /// Daemon that asks. A later incarnation has another clock and ignores the reply.
    pub asker: Incarnation,
    /// When it asked, in its monotonic milliseconds.
    pub asked_at_ms: u64,
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
    #[serde(rename = "AskState")]
    StateRequest {
        /// Number of the sender's call, returned in the reply.
        call: CallNumber,
        /// Identity of the job.
        job: JobId,
        /// Caller that asks. The reply for a job that it may not see is [`HolderReply::Unknown`].
        #[serde(default, skip_serializing_if = "Caller::is_unrestricted")]
        caller: Caller,
    },
    /// Reply to a [`PeerMessage::StateRequest`], also from a daemon that is not the holder.
    #[serde(rename = "TellState")]
    StateReply {
        /// Number of the receiver's call.
        call: CallNumber,
        /// State of the job as the holder knows it.
        #[serde(rename = "view")]
        reply: HolderReply,
    },
    /// Requests a call for advice on behalf of the holder.
    #[serde(rename = "Advise")]
    AdviceRequest(AdviceCall),
    /// Reply to an [`PeerMessage::AdviceRequest`], also if the call failed.
    #[serde(rename = "Advised")]
    AdviceReply(AdviceAnswer),
    /// Requests that a peer serve a call in place of the sender.
    ///
    /// The sender does so while the store does not answer it.
    #[serde(rename = "Relay")]
    RelayRequest {
        /// Number of the sender's call, returned in the reply.
        call: CallNumber,
        /// Action that the call requires.
        action: RelayAction,
        /// Caller, whom the sender has identified.
        #[serde(default, skip_serializing_if = "Caller::is_unrestricted")]
        caller: Caller,
        /// Time that the receiver has for the call, in milliseconds from the receipt.
        #[serde(rename = "patience_ms")]
        timeout_ms: u64,
    },
    /// Reply to a [`PeerMessage::RelayRequest`].
    #[serde(rename = "Relayed")]
    RelayReply {
        /// Number of the receiver's call.
        call: CallNumber,
        /// Answer to the call.
        answer: CallAnswer,
    },
    /// Asks a peer which version of the configuration it has, and how old that is.
    ConfigAgeRequest(ConfigAgeQuestion),
    /// Reply to a [`PeerMessage::ConfigAgeRequest`], sent only by a daemon with a confirmed configuration.
    ConfigAgeReply {
        /// Question as it was asked.
        question: ConfigAgeQuestion,
        /// Version that the sender has in force.
        version: u64,
        /// Time since that was last known to be the newest one, in milliseconds at the sending of the reply.
        age_ms: u64,
    },
    /// Asks a peer whether it relays start orders. The reply is a [`PeerMessage::RelayedAnswers`] without answers.
    StartRelayRequest {
        /// Fencing token of the holder.
        fence: Fence,
    },
    /// Start orders that the receiver sends to hosts for the holder.
    StartBatch(StartBatch),
    /// Answers to start orders that the sender relayed.
    RelayedAnswers(RelayedAnswers),
    /// Broadcasts the holder's state to every daemon, about once a second.
    Heartbeat {
        /// Fencing token of the holder.
        fence: Fence,
        /// Number of queued jobs, by queue.
        #[serde(rename = "pending")]
        queued_jobs: FxHashMap<QueueName, u64>,
        /// Largest amount of each resource that a host has, by pool.
        #[serde(rename = "largest")]
        largest_by_pool: FxHashMap<PoolName, Resources>,
    },
}
