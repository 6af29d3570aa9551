//! Events: messages to the control thread.

use crate::advice::AdviceAnswer;
use crate::calls::{CallNumber, CallRequest};
use crate::declarations::DeclareCall;
use crate::orders::OrderCompletion;
use crate::peer::{PeerMessage, PeerSender};
use crate::store::StoreCompletion;

/// A message to the control thread, processed in its next tick.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller made a call.
    CallReceived(CallRequest),
    /// A caller disconnected before its answer.
    CallerDisconnected(CallNumber),
    /// A call to the store was answered or failed.
    StoreCompleted(Box<StoreCompletion>),
    /// An order to a host was answered or failed.
    OrderCompleted(Box<OrderCompletion>),
    /// A call for advice by this daemon was answered or failed.
    AdviceReceived(AdviceAnswer),
    /// A peer sent a message.
    PeerMessageReceived {
        /// Daemon that sent it.
        from: PeerSender,
        /// Message of the peer. An advice reply is processed like [`Event::AdviceReceived`].
        message: PeerMessage,
    },
    /// A peer sent a message that can't be decoded. Messages beside it are not affected.
    UnreadablePeerMessage {
        /// Daemon that sent it.
        from: PeerSender,
        /// Why it can't be decoded.
        reason: String,
    },
    /// An operator submitted declarations.
    DeclareCallReceived(DeclareCall),
    /// The process was asked to stop.
    StopRequested,
}
