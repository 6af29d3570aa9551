//! What a tick wants done outside the control thread.

use std::fmt;

use cassiahoist_core::prelude::*;

use crate::advice::AdviceCall;
use crate::declared::{DeclareNumber, DeclareOutcome};
use crate::front::{CallNumber, FrontAnswer};
use crate::orders::HostOrder;
use crate::peer::PeerMessage;
use crate::store::StoreCall;

/// A log event to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogNote {
    /// The event.
    pub event: EventId,
    /// What it is about: names and values.
    pub fields: Vec<(&'static str, String)>,
}

impl LogNote {
    /// Creates a note without fields.
    #[must_use]
    pub fn new(event: EventId) -> Self {
        Self { event, fields: Vec::new() }
    }

    /// Adds a field.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl fmt::Display) -> Self {
        self.fields.push((name, value.to_string()));
        self
    }
}

/// What a tick wants done outside the control thread.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Answers a caller.
    Answer {
        /// The call.
        call: CallNumber,
        /// The answer.
        answer: FrontAnswer,
    },
    /// Calls the store.
    Store {
        /// The call.
        call: StoreCall,
        /// When control issued it, in monotonic milliseconds.
        started_ms: u64,
    },
    /// Orders a host.
    Order {
        /// The order.
        order: Box<HostOrder>,
        /// When control issued it, in monotonic milliseconds.
        started_ms: u64,
    },
    /// Calls for advice; the answer goes to a peer, or to this daemon's own control if none is named.
    Advise {
        /// The call.
        call: AdviceCall,
        /// Address of the peer that wants the answer, as `ip:port`.
        reply_to: Option<String>,
    },
    /// Sends a message to a peer.
    Peer {
        /// Its address, as `ip:port`.
        address: String,
        /// The message.
        message: PeerMessage,
    },
    /// Writes a log event.
    Log(LogNote),
    /// Tells an operator what became of its declarations.
    Declared {
        /// Number of the call.
        call: DeclareNumber,
        /// What became of it.
        outcome: DeclareOutcome,
    },
    /// Ends the process.
    Exit,
}
