//! Whether this daemon holds the slice, and what it knows about other holders.

use std::fmt;

use cassiahoist_core::prelude::*;
use rustc_hash::FxHashMap;
use statig::blocking::{IntoStateMachineExt, StateMachine};

pub use crate::holding_machine::HoldingEvent;
use crate::holding_machine::{HoldingMachine, State};
use crate::record::{ClaimRecord, HostRoster, ProgressRecord};

/// Progress of a new holder that loads the records of its predecessors.
#[derive(Clone, Debug, Default)]
pub struct Loading {
    /// Whether accepted jobs are in the tables.
    pub jobs: bool,
    /// Whether the hosts listed in the store are in the tables.
    pub hosts: bool,
    /// Progress records with their revisions, by job; `None` until they are read.
    pub progress: Option<FxHashMap<JobId, (ProgressRecord, u64)>>,
    /// Whether the call for progress records is in flight.
    pub progress_in_flight: bool,
    /// Roster, from when it is read until its hosts are in the tables.
    pub roster: Option<HostRoster>,
    /// Whether the hosts of the roster are in the tables.
    pub roster_loaded: bool,
    /// Whether the call for the roster is in flight.
    pub roster_in_flight: bool,
    /// When to send the next call, in monotonic milliseconds; later after a failure.
    pub next_ms: u64,
}

impl Loading {
    /// Returns whether all records of earlier holders are in the tables.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.jobs && self.hosts && self.roster_loaded
    }
}

/// Latency of hosts' answers at the control thread, measured in spans of fixed length.
///
/// A holder that is too slow detects it here, since even the quickest host then seems slow.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerPace {
    /// When the present span ends, in monotonic milliseconds.
    pub span_end_ms: u64,
    /// Number of answers in the present span.
    pub answers: u32,
    /// Lowest latency among them, in milliseconds; that of the last span until one arrives.
    pub quickest_ms: u64,
    /// Consecutive spans in which even the lowest latency was too high.
    pub slow_spans: u32,
}

/// State of the removal of a claim that this daemon gave up.
///
/// The removal is repeated until the store confirms it, since a claim that stayed would block other daemons
/// for as long as this one renews its lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Release {
    /// Nothing is to be removed.
    #[default]
    Settled,
    /// The removal is in flight, for the claim with this fencing token.
    Sent(Fence),
    /// The removal failed or was not answered, and is sent again.
    Again {
        /// Fencing token of the claim.
        fence: Fence,
        /// When to send it, in monotonic milliseconds.
        at_ms: u64,
    },
}

/// Known holder of the slice, and the state of this daemon's claim.
pub struct Holding {
    machine: StateMachine<HoldingMachine>,
    /// Latest claim seen in the store, with its revision. `None` if nobody holds the slice.
    pub claim: Option<(ClaimRecord, u64)>,
    /// Number of the latest claim seen; 0 before the first.
    pub term: u64,
    /// Store revision of the [`TermRecord`](crate::record::TermRecord); 0 if there is none.
    pub term_revision: u64,
    /// Greatest fencing token seen in the store, from peers or from hosts.
    pub greatest_fence: Fence,
    /// Since when the slice has had no claim, in monotonic milliseconds.
    pub vacant_since_ms: Option<u64>,
    /// Fencing token of the claim under which the present tables were filled.
    ///
    /// It is older than the present claim if this daemon reclaimed the slice before anyone else. Answers to
    /// orders under a smaller token are ignored.
    pub tables_since: Fence,
    /// When the last tick ran, in monotonic milliseconds. A long gap shows a paused process.
    pub ticked_ms: u64,
    /// When a pause of the process put the claim in doubt, in monotonic milliseconds.
    ///
    /// Cleared once the store renews the lease or a limit passes.
    pub doubted_since_ms: Option<u64>,
    /// Progress of loading the records of earlier holders.
    pub loading: Loading,
    /// Daemon that made the latest claim seen.
    pub last_holder: Option<Incarnation>,
    /// When this daemon last sent a claim, in monotonic milliseconds; 0 if never.
    pub claimed_ms: u64,
    /// When this daemon began to poll hosts under its present claim, in monotonic milliseconds.
    ///
    /// An earlier holder may have extended run leases until then.
    pub polled_from_ms: u64,
    /// State of the removal of a claim that was given up.
    pub release: Release,
    /// Latency of hosts' answers, by which the daemon recognizes that it is too slow.
    pub pace: AnswerPace,
    /// When this daemon became too slow to hold the slice, in monotonic milliseconds.
    ///
    /// It releases its claim from then on; `None` once it has stepped down.
    pub unfit_since_ms: Option<u64>,
    /// Until when this daemon yields to others before it claims, in monotonic milliseconds.
    ///
    /// Set when it was too slow to hold the slice.
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
    /// Applies an event to the state machine. An event that the state does not expect changes nothing.
    pub fn handle(&mut self, event: HoldingEvent) {
        self.machine.handle(&event);
    }

    /// Returns the fencing token while this daemon adopts or holds the slice.
    #[must_use]
    pub fn fence(&self) -> Option<Fence> {
        match *self.machine.state() {
            State::Adopting { fence, .. } | State::Holding { fence, .. } => Some(fence),
            State::Standby {} | State::Claiming {} => None,
        }
    }

    /// Returns when this daemon won its claim, in monotonic milliseconds; `None` without a claim.
    #[must_use]
    pub fn since_ms(&self) -> Option<u64> {
        match *self.machine.state() {
            State::Adopting { since_ms, .. } | State::Holding { since_ms, .. } => Some(since_ms),
            State::Standby {} | State::Claiming {} => None,
        }
    }

    /// Returns whether this daemon won the claim and still loads records.
    #[must_use]
    pub fn is_adopting(&self) -> bool {
        matches!(self.machine.state(), State::Adopting { .. })
    }

    /// Returns whether this daemon has adopted the slice and places work.
    #[must_use]
    pub fn is_holding(&self) -> bool {
        matches!(self.machine.state(), State::Holding { .. })
    }

    /// Returns whether this daemon holds the slice and its claim is not in doubt.
    #[must_use]
    pub fn is_certain(&self) -> bool {
        self.is_holding() && self.doubted_since_ms.is_none()
    }

    /// Returns whether the result of a claim is open.
    #[must_use]
    pub fn is_claiming(&self) -> bool {
        matches!(self.machine.state(), State::Claiming {})
    }
}
