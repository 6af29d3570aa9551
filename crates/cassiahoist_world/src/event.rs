//! Events: messages to the control thread.

use crate::advice::AdviceAnswer;
use crate::declared::DeclareCall;
use crate::front::{CallNumber, FrontCall};
use crate::orders::OrderAnswered;
use crate::peer::{PeerMessage, Sender};
use crate::store::StoreAnswered;

/// A message to the control thread, processed in its next tick.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller made a call.
    Front(FrontCall),
    /// A caller disconnected before its answer.
    CallerGone(CallNumber),
    /// A call to the store was answered or failed.
    Store(Box<StoreAnswered>),
    /// An order to a host was answered or failed.
    Order(Box<OrderAnswered>),
    /// A call for advice by this daemon was answered or failed.
    Advice(AdviceAnswer),
    /// A peer sent a message.
    Peer {
        /// Daemon that sent it.
        from: Sender,
        /// Content.
        message: PeerMessage,
    },
    /// An operator submitted declarations.
    Declare(DeclareCall),
    /// The process was asked to stop.
    Stop,
}
