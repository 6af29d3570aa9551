//! Ready steps in the order of their placement, and those among them that may be placed or make a call for advice.
//!
//! The order holds within an account. Whoever visits the steps decides whose turn it is.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use rustc_hash::FxHashMap;

use crate::account_usage::AccountKey;
use crate::keys::StepKey;
use crate::order_of_work::Rank;

/// Position of a ready step in the order of placement.
pub type Position = (Rank, StepKey);

/// Positions of steps, in order within each account.
#[derive(Debug, Default)]
struct PositionsByAccount {
    by_account: BTreeMap<AccountKey, BTreeSet<Position>>,
}

impl PositionsByAccount {
    fn insert(&mut self, account: AccountKey, position: Position) {
        self.by_account.entry(account).or_default().insert(position);
    }

    /// Removes a position and returns whether it was there.
    fn remove(&mut self, account: AccountKey, position: &Position) -> bool {
        let Some(positions) = self.by_account.get_mut(&account) else { return false };
        let was_there = positions.remove(position);
        if positions.is_empty() {
            self.by_account.remove(&account);
        }
        was_there
    }

    fn firsts(&self) -> impl Iterator<Item = (AccountKey, Position)> {
        self.by_account.iter().filter_map(|(account, positions)| Some((*account, *positions.first()?)))
    }

    fn next_after(&self, account: AccountKey, position: Position) -> Option<Position> {
        let positions = self.by_account.get(&account)?;
        positions.range((Bound::Excluded(position), Bound::Unbounded)).next().copied()
    }
}

/// Ready steps that may have pending tasks, the most urgent first.
///
/// The order is kept as steps come and go, so that no tick has to sort them.
#[derive(Debug, Default)]
pub struct ReadySteps {
    by_rank: BTreeSet<Position>,
    entries: FxHashMap<StepKey, (AccountKey, Rank)>,
    /// Those that need no advice or have got some.
    placeable: PositionsByAccount,
}

impl ReadySteps {
    /// Adds a step of an account. One that is there keeps its rank.
    pub fn insert(&mut self, step: StepKey, account: AccountKey, rank: Rank) {
        if self.entries.insert(step, (account, rank)).is_none() {
            self.by_rank.insert((rank, step));
        }
    }

    /// Removes a step, if it is there.
    pub fn remove(&mut self, step: StepKey) {
        if let Some((account, rank)) = self.entries.remove(&step) {
            self.by_rank.remove(&(rank, step));
            self.placeable.remove(account, &(rank, step));
        }
    }

    /// Changes the rank of a step, if it is there.
    pub fn rerank(&mut self, step: StepKey, rank: Rank) {
        let Some((account, earlier_rank)) = self.entries.get_mut(&step) else { return };
        let (account, earlier_rank) = (*account, std::mem::replace(earlier_rank, rank));
        self.by_rank.remove(&(earlier_rank, step));
        self.by_rank.insert((rank, step));
        if self.placeable.remove(account, &(earlier_rank, step)) {
            self.placeable.insert(account, (rank, step));
        }
    }

    /// Returns the account of a step and its position there; `None` if it is not there.
    #[must_use]
    pub fn position(&self, step: StepKey) -> Option<(AccountKey, Position)> {
        let (account, rank) = *self.entries.get(&step)?;
        Some((account, (rank, step)))
    }

    /// Adds a ready step to those that placement visits.
    pub fn mark_placeable(&mut self, step: StepKey) {
        if let Some((account, rank)) = self.entries.get(&step) {
            self.placeable.insert(*account, (*rank, step));
        }
    }

    /// Iterates over the most urgent step of each account among those that need no advice or have got some.
    pub fn first_placeable(&self) -> impl Iterator<Item = (AccountKey, Position)> {
        self.placeable.firsts()
    }

    /// Returns the step of an account that follows a position, among those that need no advice or have got some.
    #[must_use]
    pub fn next_placeable(&self, account: AccountKey, position: Position) -> Option<Position> {
        self.placeable.next_after(account, position)
    }

    /// Returns whether a step is there.
    #[must_use]
    pub fn contains(&self, step: StepKey) -> bool {
        self.entries.contains_key(&step)
    }

    /// Iterates over the steps, the most urgent first.
    pub fn iter(&self) -> impl Iterator<Item = StepKey> + Clone {
        self.by_rank.iter().map(|(_, step)| *step)
    }

    /// Returns the number of steps.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_rank.len()
    }

    /// Returns whether there are no steps.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_rank.is_empty()
    }
}

/// Ready steps whose queue needs advice, by when each may make its next call.
///
/// Entries of steps that have changed since are left in place; whoever takes one checks the row of the step.
#[derive(Debug, Default)]
pub struct AdviceQueue {
    /// Steps that may make a call now.
    due: PositionsByAccount,
    /// Steps that may make a call later, with the time in monotonic milliseconds.
    put_off: BTreeSet<(u64, AccountKey, Position)>,
}

impl AdviceQueue {
    /// Adds a step of an account that may make a call from `at_ms` on, in monotonic milliseconds.
    pub fn put_off(&mut self, at_ms: u64, account: AccountKey, position: Position) {
        self.put_off.insert((at_ms, account, position));
    }

    /// Moves a step that may make a call from `at_ms` on to another position.
    pub fn rerank(&mut self, at_ms: u64, account: AccountKey, earlier: Position, later: Position) {
        if self.due.remove(account, &earlier) {
            self.due.insert(account, later);
        }
        if self.put_off.remove(&(at_ms, account, earlier)) {
            self.put_off.insert((at_ms, account, later));
        }
    }

    /// Makes the steps due whose time has come.
    pub fn release_due(&mut self, now_ms: u64) {
        while let Some((at_ms, account, position)) = self.put_off.first().copied()
            && at_ms <= now_ms
        {
            self.put_off.pop_first();
            self.due.insert(account, position);
        }
    }

    /// Iterates over the most urgent due step of each account.
    pub fn first_due(&self) -> impl Iterator<Item = (AccountKey, Position)> {
        self.due.firsts()
    }

    /// Returns the due step of an account that follows a position.
    #[must_use]
    pub fn next_due(&self, account: AccountKey, position: Position) -> Option<Position> {
        self.due.next_after(account, position)
    }

    /// Removes a step from those that are due.
    pub fn remove_due(&mut self, account: AccountKey, position: Position) {
        self.due.remove(account, &position);
    }

    /// Returns when the next step becomes due, in monotonic milliseconds.
    #[must_use]
    pub fn next_due_at_ms(&self) -> Option<u64> {
        self.put_off.first().map(|(at_ms, _, _)| *at_ms)
    }
}
