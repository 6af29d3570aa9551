//! Order in which accounts get room: by priority, then by what they use for their weight.
//!
//! The use is the dominant share of the hosts, as in Ghodsi et al., "Dominant Resource Fairness: Fair Allocation of Multiple
//! Resource Types", NSDI 2011.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use cassiahoist_world::account_usage::{AccountKey, AccountUsageTable};
use cassiahoist_world::keys::StepKey;
use cassiahoist_world::ready_steps::Position;

/// The next step of an account in a round.
#[derive(Clone, Copy, Debug)]
pub struct Turn {
    /// Account whose turn it is.
    pub account: AccountKey,
    /// Its most urgent step that the round has not visited.
    pub position: Position,
    /// Priority of the account.
    account_priority: u32,
    /// What the account used for its weight when the turn was queued.
    weighted_share: f64,
}

impl Turn {
    /// Returns the step to visit.
    #[must_use]
    pub fn step(&self) -> StepKey {
        self.position.1
    }
}

impl Ord for Turn {
    fn cmp(&self, other: &Self) -> Ordering {
        let priorities = |turn: &Self| (turn.position.0.priority, turn.account_priority);
        priorities(self)
            .cmp(&priorities(other))
            .then_with(|| self.weighted_share.total_cmp(&other.weighted_share))
            .then_with(|| self.position.cmp(&other.position))
    }
}

impl PartialOrd for Turn {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Turn {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Turn {}

/// Turns of the accounts in one round; an account has one at most.
///
/// Whoever takes a turn queues the account's next one, so that what its visit has started counts.
#[derive(Debug, Default)]
pub struct ShareOrder {
    turns: BinaryHeap<Reverse<Turn>>,
}

impl ShareOrder {
    /// Begins a round with the first step of each account.
    #[must_use]
    pub fn new(usage: &AccountUsageTable, firsts: impl Iterator<Item = (AccountKey, Position)>) -> Self {
        let mut order = Self::default();
        for (account, position) in firsts {
            order.queue(usage, account, position);
        }
        order
    }

    /// Queues the next step of an account.
    pub fn queue(&mut self, usage: &AccountUsageTable, account: AccountKey, position: Position) {
        let row = usage.get(account);
        let weighted_share = row.weighted_share(&usage.capacity);
        self.turns.push(Reverse(Turn { account, position, account_priority: row.priority, weighted_share }));
    }

    /// Takes the turn of the account that comes first.
    pub fn take_turn(&mut self) -> Option<Turn> {
        self.turns.pop().map(|Reverse(turn)| turn)
    }
}
