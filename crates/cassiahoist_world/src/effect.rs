//! Effects: actions that a tick requests from the traffic threads.

use std::fmt;
use std::sync::Arc;

use cassiahoist_core::prelude::*;

use crate::advice::AdviceCall;
use crate::calls::{CallAnswer, CallNumber};
use crate::config::ConfigRecord;
use crate::declarations::{DeclareCallNumber, DeclareOutcome};
use crate::orders::HostOrder;
use crate::peer::PeerMessage;
use crate::store::StoreCall;

/// A log event with its fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// Kind of the event, from the catalogue.
    pub event: EventId,
    /// Names and values that the log line carries, in order.
    pub fields: Vec<(&'static str, String)>,
}

impl LogRecord {
    /// Creates a log event without fields.
    #[must_use]
    pub fn new(event: EventId) -> Self {
        Self { event, fields: Vec::new() }
    }

    /// Appends a field; names are part of the log's format, which operators' tools match.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl fmt::Display) -> Self {
        self.fields.push((name, value.to_string()));
        self
    }
}

/// An action that a tick requests from the traffic threads.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Answers a caller of this daemon; peers get a message instead.
    AnswerCall {
        /// Number of the call.
        call: CallNumber,
        /// Answer that the traffic threads encode for the caller.
        answer: CallAnswer,
    },
    /// Calls the store; the result returns as [`Event::StoreCompleted`](crate::event::Event::StoreCompleted).
    CallStore {
        /// Call to make, with its deadline.
        call: StoreCall,
        /// When the control thread issued it, in monotonic milliseconds.
        issued_at_ms: u64,
    },
    /// Sends an order to a host; the result returns as [`Event::OrderCompleted`](crate::event::Event::OrderCompleted).
    SendOrder {
        /// Order to send, with the address and timeout.
        order: Box<HostOrder>,
        /// When the control thread issued it, in monotonic milliseconds.
        issued_at_ms: u64,
    },
    /// Calls the advice service.
    RequestAdvice {
        /// Call to make; a failed call is answered too.
        call: AdviceCall,
        /// Address of the peer that gets the answer, as `ip:port`. `None` for this daemon itself.
        reply_to: Option<String>,
    },
    /// Sends a message to a peer, without confirmation.
    SendPeerMessage {
        /// Address of the peer, as `ip:port`.
        address: String,
        /// Message to send; it may be lost.
        message: PeerMessage,
    },
    /// Writes a log event.
    WriteLog(LogRecord),
    /// Answers an operator's call to store declarations.
    AnswerDeclareCall {
        /// Number of the call.
        call: DeclareCallNumber,
        /// Result of the call.
        outcome: DeclareOutcome,
    },
    /// Closes callers' connections, each once its request in progress is answered, and accepts no further ones.
    CloseCallerConnections,
    /// Lets the server for callers use a configuration.
    UseConfig(Arc<ConfigRecord>),
    /// Ends the process at the end of a graceful stop.
    Exit,
}
