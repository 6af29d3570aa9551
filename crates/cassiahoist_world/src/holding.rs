//! Whether this daemon holds the slice.

use std::fmt;

use cassiahoist_core::prelude::*;
use rustc_hash::FxHashMap;
use statig::blocking::{IntoStateMachineExt, StateMachine};

pub use crate::holding_machine::HoldingEvent;
use crate::holding_machine::{HoldingMachine, State};
use crate::record::{ClaimRecord, HostRoster, ProgressRecord};

/// Loading of records by a new holder.
#[derive(Clone, Debug, Default)]
pub struct Loading {
    /// Accepted jobs are in the tables.
    pub jobs: bool,
    /// Listed hosts are in the tables.
    pub hosts: bool,
    /// Progress, once it is read.
    pub progress: Option<FxHashMap<JobId, (ProgressRecord, u64)>>,
    /// Whether the call for progress is under way.
    pub progress_in_flight: bool,
    /// The host roster, once it is read and until it is in the tables.
    pub roster: Option<HostRoster>,
    /// Whether hosts that may run work are in the tables.
    pub roster_loaded: bool,
    /// Whether the call for the host roster is under way.
    pub roster_in_flight: bool,
    /// When to call next, in monotonic milliseconds.
    pub next_ms: u64,
}

impl Loading {
    /// Tells whether everything that an earlier holder left is in the tables.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.jobs && self.hosts && self.roster_loaded
    }
}

/// How quickly hosts' answers reach control, which tells a daemon that is too slow to hold the slice.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerPace {
    /// When the present span ends, in monotonic milliseconds.
    pub span_end_ms: u64,
    /// Answers in the present span.
    pub answers: u32,
    /// Time of the quickest of them, in milliseconds.
    pub quickest_ms: u64,
    /// Spans in a row in which even the quickest answer was slow.
    pub slow_spans: u32,
}

/// Whether a claim that was given up is gone from the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Release {
    /// Nothing is to be removed.
    #[default]
    Settled,
    /// The removal was sent.
    Sent(Fence),
    /// The removal has to be sent again.
    Again {
        /// The claim's fencing token.
        fence: Fence,
        /// When, in monotonic milliseconds.
        at_ms: u64,
    },
}

/// The slice's holder as this daemon knows it.
pub struct Holding {
    machine: StateMachine<HoldingMachine>,
    /// The claim seen in the store, with its revision.
    pub claim: Option<(ClaimRecord, u64)>,
    /// The latest claim number seen.
    pub term: u64,
    /// Revision of the record of the latest claim number.
    pub term_revision: u64,
    /// Greatest fencing token seen anywhere.
    pub greatest_fence: Fence,
    /// Since when the slice has had no claim, in monotonic milliseconds.
    pub vacant_since_ms: Option<u64>,
    /// First fencing token under which the present tables were kept without a break.
    pub tables_since: Fence,
    /// When the last tick ran, in monotonic milliseconds.
    pub ticked_ms: u64,
    /// Since when the claim has been in doubt after a pause of the process, in monotonic milliseconds.
    pub doubted_since_ms: Option<u64>,
    /// Records read so far by a new holder.
    pub loading: Loading,
    /// Who made the latest claim seen.
    pub last_holder: Option<Incarnation>,
    /// When the last claim was sent, in monotonic milliseconds.
    pub claimed_ms: u64,
    /// Since when hosts have been polled under the present claim, in monotonic milliseconds; an earlier holder may have
    /// renewed leases until then.
    pub polled_from_ms: u64,
    /// Whether a claim that was given up is gone from the store.
    pub release: Release,
    /// How quickly hosts' answers reach control.
    pub pace: AnswerPace,
    /// Since when this daemon has wanted to hand the slice over, since it is too slow, in monotonic milliseconds.
    pub unfit_since_ms: Option<u64>,
    /// Until when other daemons are let go first with a claim, in monotonic milliseconds.
    pub reluctant_until_ms: u64,
}

impl fmt::Debug for Holding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Holding")
            .field("state", self.machine.state())
            .field("claim", &self.claim)
            .field("term", &self.term)
            .field("greatest_fence", &self.greatest_fence)
            .finish_non_exhaustive()
    }
}

impl Default for Holding {
    fn default() -> Self {
        Self {
            machine: HoldingMachine.state_machine(),
            claim: None,
            term: 0,
            term_revision: 0,
            greatest_fence: Fence(0),
            vacant_since_ms: None,
            tables_since: Fence(0),
            ticked_ms: 0,
            doubted_since_ms: None,
            loading: Loading::default(),
            last_holder: None,
            claimed_ms: 0,
            polled_from_ms: 0,
            release: Release::default(),
            pace: AnswerPace::default(),
            unfit_since_ms: None,
            reluctant_until_ms: 0,
        }
    }
}

impl Holding {
    /// Moves the machine.
    pub fn handle(&mut self, event: HoldingEvent) {
        self.machine.handle(&event);
    }

    /// Gives the fencing token while this daemon adopts or holds.
    #[must_use]
    pub fn fence(&self) -> Option<Fence> {
        match *self.machine.state() {
            State::Adopting { fence, .. } | State::Holding { fence, .. } => Some(fence),
            State::Standby {} | State::Claiming {} => None,
        }
    }

    /// Gives when this daemon won its claim, in monotonic milliseconds.
    #[must_use]
    pub fn since_ms(&self) -> Option<u64> {
        match *self.machine.state() {
            State::Adopting { since_ms, .. } | State::Holding { since_ms, .. } => Some(since_ms),
            State::Standby {} | State::Claiming {} => None,
        }
    }

    /// Tells whether records are still being read.
    #[must_use]
    pub fn is_adopting(&self) -> bool {
        matches!(self.machine.state(), State::Adopting { .. })
    }

    /// Tells whether this daemon places work.
    #[must_use]
    pub fn is_holding(&self) -> bool {
        matches!(self.machine.state(), State::Holding { .. })
    }

    /// Tells whether this daemon holds the slice and has no reason to doubt it.
    #[must_use]
    pub fn is_certain(&self) -> bool {
        self.is_holding() && self.doubted_since_ms.is_none()
    }

    /// Tells whether a claim is under way.
    #[must_use]
    pub fn is_claiming(&self) -> bool {
        matches!(self.machine.state(), State::Claiming {})
    }
}
