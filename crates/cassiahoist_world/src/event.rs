//! Messages to the control thread.

use crate::advice::AdviceAnswer;
use crate::declared::DeclareCall;
use crate::front::{CallNumber, FrontCall};
use crate::orders::OrderAnswered;
use crate::peer::{PeerMessage, Sender};
use crate::store::StoreAnswered;

/// A message to the control thread.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller called.
    Front(FrontCall),
    /// A caller went away before its answer.
    CallerGone(CallNumber),
    /// The store answered a call, or did not.
    Store(Box<StoreAnswered>),
    /// A host answered an order, or did not.
    Order(Box<OrderAnswered>),
    /// Advice that this daemon asked for came, or did not.
    Advice(AdviceAnswer),
    /// A peer sent a message.
    Peer {
        /// The sender.
        from: Sender,
        /// The message.
        message: PeerMessage,
    },
    /// An operator wants declarations in force.
    Declare(DeclareCall),
    /// The process is asked to stop.
    Stop,
}
