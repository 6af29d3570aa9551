//! Messages that arrived since the last tick, sorted by kind.

use crate::advice::AdviceAnswer;
use crate::calls::{CallNumber, CallRequest};
use crate::declarations::DeclareCall;
use crate::event::Event;
use crate::orders::OrderCompletion;
use crate::peer::{PeerMessage, PeerSender};
use crate::store::{KeySpace, StoreChange, StoreCompletion, StoreItem, StorePurpose};

/// Result of listing or watching a range of the store.
#[derive(Clone, Debug)]
pub enum RangeUpdate {
    /// All items of the range; replaces what was known about it.
    Listing(Vec<StoreItem>),
    /// Changes since the last result, in order.
    Changes(Vec<StoreChange>),
}

/// Messages that no system has read yet; each system takes its own.
#[derive(Debug, Default)]
pub struct Inbox {
    /// New calls of callers.
    pub calls: Vec<CallRequest>,
    /// Calls whose callers disconnected.
    pub disconnected_calls: Vec<CallNumber>,
    /// Results of calls to the store.
    pub store_results: Vec<StoreCompletion>,
    /// Results of followed ranges; the first system of a tick derives them from [`Inbox::store_results`].
    pub range_updates: Vec<(KeySpace, RangeUpdate)>,
    /// Results of orders to hosts.
    pub order_results: Vec<OrderCompletion>,
    /// Results of calls for advice, by this daemon or by peers for it.
    pub advice_answers: Vec<AdviceAnswer>,
    /// Messages of peers other than advice.
    pub peer_messages: Vec<(PeerSender, PeerMessage)>,
    /// Messages of peers that can't be decoded, with the reason.
    pub unreadable_messages: Vec<(PeerSender, String)>,
    /// Operators' calls to store declarations.
    pub declare_calls: Vec<DeclareCall>,
    /// Stored declarations as the followed range shows them; `None` if they were removed.
    pub declaration_items: Vec<Option<StoreItem>>,
    /// Whether the process was asked to stop since the last tick.
    pub stop_requested: bool,
}

impl Inbox {
    /// Adds an event to the list of the system that reads it.
    pub fn push(&mut self, event: Event) {
        match event {
            Event::CallReceived(call) => self.calls.push(call),
            Event::CallerDisconnected(call) => self.disconnected_calls.push(call),
            Event::StoreCompleted(completion) => self.store_results.push(*completion),
            Event::OrderCompleted(completion) => self.order_results.push(*completion),
            Event::AdviceReceived(answer)
            | Event::PeerMessageReceived { message: PeerMessage::AdviceReply(answer), .. } => {
                self.advice_answers.push(answer);
            }
            Event::PeerMessageReceived { from, message } => self.peer_messages.push((from, message)),
            Event::UnreadablePeerMessage { from, reason } => self.unreadable_messages.push((from, reason)),
            Event::DeclareCallReceived(call) => self.declare_calls.push(call),
            Event::StopRequested => self.stop_requested = true,
        }
    }

    /// Removes and returns the store's results whose purpose the filter accepts.
    pub fn take_store_results(&mut self, wanted: impl Fn(&StorePurpose) -> bool) -> Vec<StoreCompletion> {
        self.store_results.extract_if(.., |completion| wanted(&completion.purpose)).collect()
    }

    /// Removes and returns the results of one followed range, in order.
    pub fn take_range_updates(&mut self, space: KeySpace) -> Vec<RangeUpdate> {
        self.range_updates
            .extract_if(.., |(updated_space, _)| *updated_space == space)
            .map(|(_, update)| update)
            .collect()
    }

    /// Removes and returns the peers' messages that the filter accepts.
    pub fn take_peer_messages(
        &mut self,
        wanted: impl Fn(&PeerMessage) -> bool,
    ) -> Vec<(PeerSender, PeerMessage)> {
        self.peer_messages.extract_if(.., |(_, message)| wanted(message)).collect()
    }
}
