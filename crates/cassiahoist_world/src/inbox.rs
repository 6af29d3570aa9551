//! Messages that came since the last tick, by the system that reads them.

use crate::advice::AdviceAnswer;
use crate::declared::DeclareCall;
use crate::event::Event;
use crate::front::{CallNumber, FrontCall};
use crate::orders::OrderAnswered;
use crate::peer::{PeerMessage, Sender};
use crate::store::{KeySpace, StoreAnswered, StoreChange, StoreItem, StorePurpose};

/// What a followed range brought.
#[derive(Clone, Debug)]
pub enum RangeNews {
    /// Everything in it.
    Whole(Vec<StoreItem>),
    /// What changed, in order.
    Changes(Vec<StoreChange>),
}

/// Messages that came since the last tick.
#[derive(Debug, Default)]
pub struct Inbox {
    /// Calls of callers.
    pub front: Vec<FrontCall>,
    /// Callers that went away.
    pub callers_gone: Vec<CallNumber>,
    /// Answers of the store.
    pub store: Vec<StoreAnswered>,
    /// What followed ranges brought.
    pub ranges: Vec<(KeySpace, RangeNews)>,
    /// Answers of hosts.
    pub orders: Vec<OrderAnswered>,
    /// Advice.
    pub advice: Vec<AdviceAnswer>,
    /// Messages of peers.
    pub peers: Vec<(Sender, PeerMessage)>,
    /// Calls of operators to put declarations in force.
    pub declares: Vec<DeclareCall>,
    /// Items of the cell that hold declarations; none if they were removed.
    pub declared: Vec<Option<StoreItem>>,
    /// Whether a stop was asked for.
    pub stop: bool,
}

impl Inbox {
    /// Files a message.
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

    /// Takes the store's answers that a system reads.
    pub fn take_store(&mut self, wanted: impl Fn(&StorePurpose) -> bool) -> Vec<StoreAnswered> {
        self.store.extract_if(.., |answered| wanted(&answered.purpose)).collect()
    }

    /// Takes what a followed range brought.
    pub fn take_range(&mut self, space: KeySpace) -> Vec<RangeNews> {
        self.ranges.extract_if(.., |(of, _)| *of == space).map(|(_, news)| news).collect()
    }

    /// Takes the peers' messages that a system reads.
    pub fn take_peers(&mut self, wanted: impl Fn(&PeerMessage) -> bool) -> Vec<(Sender, PeerMessage)> {
        self.peers.extract_if(.., |(_, message)| wanted(message)).collect()
    }
}
