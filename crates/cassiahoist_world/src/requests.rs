//! Requests of callers to runners.

use std::collections::VecDeque;

use cassiahoist_core::prelude::*;
use rustc_hash::FxHashMap;
use serde::Serialize;
use slotmap::{SlotMap, new_key_type};

use crate::effect::Permit;
use crate::hosts::HostId;

new_key_type! {
    /// A row of the request table.
    pub struct RequestId;
}

/// Names a waiting traffic task within one daemon.
pub type Ticket = u64;

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RequestSpec {
    /// Identity within the fleet.
    pub identity: RequestIdentity,
    /// The team that asks.
    pub team: TeamName,
    /// The kind of the request.
    pub kind: WorkKind,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// When the answer is of no more use, in monotonic milliseconds.
    pub deadline_ms: u64,
    /// Hash of the body.
    pub content_hash: u64,
}

/// How a request came to this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Hop {
    /// From a caller.
    Door,
    /// From a peer, since this daemon owns the identity.
    ToOwner,
    /// From a peer without a free slot; it is recorded where that is needed.
    ToRunnerHolder,
}

/// What a request is waiting for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum RequestPhase {
    /// The journal's record is being written.
    Recording,
    /// A slot.
    Queued,
    /// The runner.
    Running {
        /// The runner.
        runner: HostId,
    },
    /// The peer to which it was forwarded.
    Forwarded {
        /// The peer.
        peer: MemberName,
    },
}

/// One request under way.
#[derive(Clone, Debug, Serialize)]
pub struct Request {
    /// The traffic task that waits for a verdict.
    pub ticket: Ticket,
    /// What the caller asks for.
    pub spec: RequestSpec,
    /// How it came.
    pub hop: Hop,
    /// What it waits for.
    pub phase: RequestPhase,
    /// When it arrived, in monotonic milliseconds.
    pub arrived_ms: u64,
    /// Attempts so far.
    pub attempts: u32,
    /// Other traffic tasks that wait for the same identity.
    pub followers: Vec<Ticket>,
}

/// How a run at a runner ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The runner answered; the body comes along if the journal wants it.
    Answered(Option<AnswerBody>),
    /// The runner ran it and reported a failure.
    Failed,
    /// It is proved that the runner never got it.
    NotSent,
    /// The runner refused it without running it.
    Rejected,
    /// It was sent and no whole answer came.
    Lost,
}

/// How a forwarded request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardEnd {
    /// The peer gave an answer.
    Answered(Outcome),
    /// It is proved that the peer never got it.
    NotSent,
    /// It was sent and no answer came.
    Lost,
}

/// What a traffic task does next with its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Sends the request to a runner.
    Run(RunOrder),
    /// Sends the request to a peer.
    Forward(ForwardOrder),
    /// Gives the caller an answer.
    Answer(Answer),
}

/// An order to run a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunOrder {
    /// Address of the runner.
    pub address: String,
    /// The runner.
    pub runner: HostName,
    /// Permission to use the runner.
    pub permit: Permit,
    /// Attempt number, from 1.
    pub attempt: u32,
    /// When the answer is of no more use, in monotonic milliseconds.
    pub deadline_ms: u64,
    /// Whether the answer's body is wanted for the journal.
    pub wants_body: bool,
    /// When a silent connection is given up, in monotonic milliseconds.
    pub silence_limit_ms: u64,
}

/// An order to forward a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardOrder {
    /// Address of the peer.
    pub address: String,
    /// The peer.
    pub peer: MemberName,
    /// How the peer is to take it.
    pub hop: Hop,
    /// When the answer is of no more use, in monotonic milliseconds.
    pub deadline_ms: u64,
}

/// Requests by row, with indexes by ticket and identity and a queue by fleet.
#[derive(Debug, Default)]
pub struct RequestTable {
    rows: SlotMap<RequestId, Request>,
    by_ticket: FxHashMap<Ticket, RequestId>,
    by_identity: FxHashMap<RequestIdentity, RequestId>,
    /// Requests waiting for a slot, by fleet.
    pub queues: FxHashMap<Fleet, VecDeque<RequestId>>,
}

impl RequestTable {
    /// Adds a request.
    pub fn insert(&mut self, request: Request) -> RequestId {
        let (ticket, identity) = (request.ticket, request.spec.identity.clone());
        let id = self.rows.insert(request);
        self.by_ticket.insert(ticket, id);
        self.by_identity.insert(identity, id);
        id
    }

    /// Removes a request.
    pub fn remove(&mut self, id: RequestId) -> Option<Request> {
        let request = self.rows.remove(id)?;
        self.by_ticket.remove(&request.ticket);
        if self.by_identity.get(&request.spec.identity) == Some(&id) {
            self.by_identity.remove(&request.spec.identity);
        }
        Some(request)
    }

    /// Finds a request by the ticket of its traffic task.
    #[must_use]
    pub fn find_ticket(&self, ticket: Ticket) -> Option<RequestId> {
        self.by_ticket.get(&ticket).copied()
    }

    /// Finds the latest request with an identity.
    #[must_use]
    pub fn find_identity(&self, identity: &RequestIdentity) -> Option<RequestId> {
        self.by_identity.get(identity).copied()
    }

    /// Borrows a request.
    #[must_use]
    pub fn get(&self, id: RequestId) -> Option<&Request> {
        self.rows.get(id)
    }

    /// Borrows a request to change it.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.rows.get_mut(id)
    }

    /// Iterates over all requests.
    pub fn iter(&self) -> impl Iterator<Item = (RequestId, &Request)> {
        self.rows.iter()
    }

    /// Counts all requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Tells whether there are no requests.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
