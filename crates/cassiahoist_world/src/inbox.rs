//! Messages that arrived since the last tick, sorted by kind.

use crate::advice::AdviceAnswer;
use crate::declared::DeclareCall;
use crate::event::Event;
use crate::front::{CallNumber, FrontCall};
use crate::orders::OrderAnswered;
use crate::peer::{PeerMessage, Sender};
use crate::store::{KeySpace, StoreAnswered, StoreChange, StoreItem, StorePurpose};

/// Result of listing or watching a range of the store.
#[derive(Clone, Debug)]
pub enum RangeNews {
    /// All items of the range; replaces what was known about it.
    Whole(Vec<StoreItem>),
    /// Changes since the last result, in order.
    Changes(Vec<StoreChange>),
}

/// Messages that no system has read yet; each system takes its own.
#[derive(Debug, Default)]
pub struct Inbox {
    /// New calls of callers.
    pub front: Vec<FrontCall>,
    /// Calls whose callers disconnected.
    pub callers_gone: Vec<CallNumber>,
    /// Results of calls to the store.
    pub store: Vec<StoreAnswered>,
    /// Results of followed ranges; the first system of a tick derives them from [`Inbox::store`].
    pub ranges: Vec<(KeySpace, RangeNews)>,
    /// Results of orders to hosts.
    pub orders: Vec<OrderAnswered>,
    /// Results of calls for advice, by this daemon or by peers for it.
    pub advice: Vec<AdviceAnswer>,
    /// Messages of peers other than advice.
    pub peers: Vec<(Sender, PeerMessage)>,
    /// Operators' calls to store declarations.
    pub declares: Vec<DeclareCall>,
    /// Stored declarations as the followed range shows them; `None` if they were removed.
    pub declared: Vec<Option<StoreItem>>,
    /// Whether the process was asked to stop since the last tick.
    pub stop: bool,
}

impl Inbox {
    /// Adds an event to the list of the system that reads it.
    pub fn file(&mut self, event: Event) {
        match event {
            Event::Front(call) => self.front.push(call),
            Event::CallerGone(call) => self.callers_gone.push(call),
            Event::Store(answered) => self.store.push(*answered),
            Event::Order(answered) => self.orders.push(*answered),
            Event::Advice(answer) | Event::Peer { message: PeerMessage::Advised(answer), .. } => {
                self.advice.push(answer);
            }
            Event::Peer { from, message } => self.peers.push((from, message)),
            Event::Declare(call) => self.declares.push(call),
            Event::Stop => self.stop = true,
        }
    }

    /// Removes and returns the store's results whose purpose the filter accepts.
    pub fn take_store(&mut self, wanted: impl Fn(&StorePurpose) -> bool) -> Vec<StoreAnswered> {
        self.store.extract_if(.., |answered| wanted(&answered.purpose)).collect()
    }

    /// Removes and returns the results of one followed range, in order.
    pub fn take_range(&mut self, space: KeySpace) -> Vec<RangeNews> {
        self.ranges.extract_if(.., |(of, _)| *of == space).map(|(_, news)| news).collect()
    }

    /// Removes and returns the peers' messages that the filter accepts.
    pub fn take_peers(&mut self, wanted: impl Fn(&PeerMessage) -> bool) -> Vec<(Sender, PeerMessage)> {
        self.peers.extract_if(.., |(_, message)| wanted(message)).collect()
    }
}
