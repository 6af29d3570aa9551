//! Who gives orders to hosts, and under which fencing tokens.

use cassiahoist_core::prelude::*;
use rustc_hash::FxHashMap;

use super::{Check, Promise, Violation};
use crate::trace::Fact;
use crate::workload::Truth;

/// Two daemons that give orders by turns within this time are both holders, in milliseconds.
const TURN_MS: u64 = 3_000;

/// A daemon in one life.
type Giver = (usize, u64);

/// Who gives orders to a host.
#[derive(Clone, Copy, Debug)]
struct Turn {
    giver: Giver,
    /// When it last did, in milliseconds.
    last_ms: u64,
    /// Who did before, and when last, in milliseconds.
    before: Option<(Giver, u64)>,
}

/// Who gave orders last.
#[derive(Debug, Default)]
pub(super) struct HolderCheck {
    by_fence: FxHashMap<u64, Giver>,
    turns: FxHashMap<HostName, Turn>,
}

impl Check for HolderCheck {
    fn read(&mut self, at_ms: u64, fact: &Fact, _truth: &Truth, found: &mut Vec<Violation>) {
        let Fact::Ordered { host, daemon, life, fence } = fact else { return };
        let giver = (*daemon, *life);
        let first = *self.by_fence.entry(*fence).or_insert(giver);
        if first != giver {
            let detail = format!("daemons {} and {daemon} give orders under token {fence}", first.0);
            found.push(Violation::new(Promise::One, at_ms, detail));
        }
        let turn = self.turns.entry(host.clone()).or_insert(Turn { giver, last_ms: at_ms, before: None });
        if turn.giver == giver {
            turn.last_ms = at_ms;
            return;
        }
        if turn.before.is_some_and(|(before, before_ms)| before == giver && at_ms < before_ms + TURN_MS) {
            let detail = format!("daemons {daemon} and {} give orders to {host} by turns", turn.giver.0);
            found.push(Violation::new(Promise::One, at_ms, detail).in_touch());
        }
        *turn = Turn { giver, last_ms: at_ms, before: Some((turn.giver, turn.last_ms)) };
    }
}
