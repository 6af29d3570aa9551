//! Messages to the control thread.

use cassiahoist_core::prelude::*;

use crate::hosts::HostReport;
use crate::jobs::JobSpec;
use crate::peer::PeerMessage;
use crate::requests::{ForwardEnd, Hop, RequestSpec, RunEnd, Ticket};
use crate::store::StoreAnswered;
use crate::worker::{RunnerProbed, WorkerAnswered};

/// A request that arrived from a caller or a peer.
#[derive(Clone, Debug)]
pub struct RequestArrived {
    /// The traffic task that waits for a verdict.
    pub ticket: Ticket,
    /// What is asked for.
    pub spec: RequestSpec,
    /// How it came.
    pub hop: Hop,
}

/// A job that arrived from a caller or a peer.
#[derive(Clone, Debug)]
pub struct JobArrived {
    /// The traffic task that waits for a verdict.
    pub ticket: Ticket,
    /// What is submitted.
    pub spec: JobSpec,
    /// How it came.
    pub hop: Hop,
    /// When the caller stops waiting for the record, in monotonic milliseconds.
    pub deadline_ms: u64,
}

/// A question about an identity, or a wish to cancel its job.
#[derive(Clone, Debug)]
pub struct IdentityAsked {
    /// The traffic task that waits for a verdict.
    pub ticket: Ticket,
    /// The identity.
    pub identity: RequestIdentity,
    /// What is asked.
    pub question: IdentityQuestion,
    /// How it came.
    pub hop: Hop,
    /// When the caller stops waiting, in monotonic milliseconds.
    pub deadline_ms: u64,
}

/// What is asked about an identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdentityQuestion {
    /// What became of it?
    Lookup,
    /// Cancel it.
    Cancel,
    /// Why does it wait?
    Explain,
}

/// A message to the control thread.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived.
    Request(RequestArrived),
    /// A run at a runner ended.
    RunEnded {
        /// The traffic task that ran it.
        ticket: Ticket,
        /// How it ended.
        end: RunEnd,
    },
    /// A forwarded request ended.
    ForwardEnded {
        /// The traffic task that forwarded it.
        ticket: Ticket,
        /// How it ended.
        end: ForwardEnd,
    },
    /// The caller went away.
    CallerGone {
        /// The traffic task that served it.
        ticket: Ticket,
    },
    /// A job arrived.
    Job(JobArrived),
    /// Someone asks about an identity.
    Identity(IdentityAsked),
    /// The host list was read.
    Hosts {
        /// Revision of the list.
        revision: u64,
        /// Every host.
        reports: Vec<HostReport>,
    },
    /// The store answered a call.
    Store(StoreAnswered),
    /// A peer sent a message.
    Peer {
        /// The sender.
        from: Incarnation,
        /// The message.
        message: PeerMessage,
    },
    /// A peer's control address refused a connection or answered with another incarnation.
    PeerDead {
        /// The incarnation that is proved dead.
        incarnation: Incarnation,
    },
    /// A worker answered a command, or did not.
    Worker(WorkerAnswered),
    /// A runner answered a probe, or did not.
    Runner(RunnerProbed),
    /// The process is asked to stop.
    Stop,
}
