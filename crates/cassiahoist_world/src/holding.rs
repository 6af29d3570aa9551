//! Whether this daemon holds the slice, and what it knows about other holders.

use std::fmt;

use cassiahoist_core::prelude::*;
use rustc_hash::{FxHashMap, FxHashSet};
use statig::blocking::{IntoStateMachineExt, StateMachine};

pub use crate::holding_machine::HoldingEvent;
use crate::holding_machine::{HoldingMachine, State};
use crate::record::{ClaimRecord, HostRoster, ProgressRecord};

/// A host of the roster as a new holder has read it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    /// Name of the host.
    pub name: HostName,
    /// Start of its incarnation, in Unix milliseconds.
    pub started_unix_ms: u64,
    /// Its [`joined_generation`](crate::record::RosterHost::joined_generation).
    pub joined_generation: u32,
}

/// Progress of a new holder that loads the records of its predecessors.
#[derive(Clone, Debug, Default)]
pub struct RecordLoading {
    /// Whether accepted jobs are in the tables.
    pub jobs_loaded: bool,
    /// Whether the hosts listed in the store are in the tables.
    pub hosts_loaded: bool,
    /// Progress records with their revisions, by job; `None` until they are read.
    pub progress: Option<FxHashMap<JobId, (ProgressRecord, u64)>>,
    /// Jobs whose progress record can't be decoded. Their tasks may be done, so none of them is started.
    pub unreadable_progress: FxHashSet<JobId>,
    /// Whether the call for progress records is in flight.
    pub progress_in_flight: bool,
    /// Roster as read; `None` before that and once its hosts are in the tables.
    pub roster: Option<HostRoster>,
    /// Jobs that may have runs on hosts which the roster lists as silent.
    pub silent_jobs: FxHashSet<JobId>,
    /// Whether the roster can't be decoded. Then any host may still run tasks of an earlier holder.
    pub is_roster_unreadable: bool,
    /// Hosts of the roster as read.
    pub roster_hosts: Vec<ListedHost>,
    /// Whether the hosts of the roster are in the tables.
    pub roster_loaded: bool,
    /// Whether the call for the roster is in flight.
    pub roster_in_flight: bool,
    /// When to send the next call, in monotonic milliseconds; later after a failure.
    pub next_call_at_ms: u64,
}

impl RecordLoading {
    /// Returns whether all records of earlier holders are in the tables.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.jobs_loaded && self.hosts_loaded && self.roster_loaded
    }

    /// Returns the generation of hosts that join before the earlier holders are shut out.
    #[must_use]
    pub fn next_generation(&self) -> u32 {
        let generations = self.roster_hosts.iter().map(|host| host.joined_generation);
        generations.max().unwrap_or_default().saturating_add(1)
    }
}

/// Latency of hosts' answers at the control thread, measured in windows.
///
/// A holder that is too slow detects it here, since even the quickest host then seems slow. An order that expired in
/// this daemon's own queues counts as an answer that took as long.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerTimeWindow {
    /// When the present window ends if it has enough answers, in monotonic milliseconds.
    pub window_end_ms: u64,
    /// Number of answers in the present window.
    pub answer_count: u32,
    /// Lowest latency among them, in milliseconds; that of the last window until one arrives.
    pub min_latency_ms: u64,
    /// Shortest delay of a long poll beyond its wait in the present window, in milliseconds. `None` without one.
    pub min_poll_delay_ms: Option<u64>,
    /// Begin of the consecutive windows in which even the lowest latency was too high, in monotonic milliseconds.
    pub slow_since_ms: Option<u64>,
    /// Begin of the consecutive windows in which few starts could be open, in monotonic milliseconds.
    pub throttled_since_ms: Option<u64>,
}

/// Time for which a holder may give orders after its claim was certain, in milliseconds.
///
/// It is shorter than the lease in the store, so that it ends before a successor can claim. Two renewals of the lease fit in.
pub const PERMISSION_MS: u64 = 1_200;

/// Multiple of the lowest latency that an order's timeout allows for.
const LATENCY_FACTOR: u64 = 3;

/// Greatest time that the latency adds to an order's timeout, in milliseconds.
const MAX_LATENCY_ALLOWANCE_MS: u64 = 1_200;

/// Lowest latency from which the holder's own link or processor counts as congested, in milliseconds.
const CONGESTED_LATENCY_MS: u64 = 60;

impl AnswerTimeWindow {
    /// Returns the time that an order's timeout adds for the holder's own delays, in milliseconds.
    ///
    /// An order that times out in the holder's own queues would be settled and repeated, which adds to the delay.
    #[must_use]
    pub fn latency_allowance_ms(&self) -> u64 {
        (self.min_latency_ms * LATENCY_FACTOR).min(MAX_LATENCY_ALLOWANCE_MS)
    }

    /// Returns whether even the quickest host seems slow.
    #[must_use]
    pub fn is_congested(&self) -> bool {
        self.min_latency_ms >= CONGESTED_LATENCY_MS
    }
}

/// State of the removal of a claim that this daemon gave up.
///
/// The removal is repeated until the store confirms it, since a claim that stayed would block other daemons
/// for as long as this one renews its lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ClaimRelease {
    /// Nothing is to be removed.
    #[default]
    Idle,
    /// The removal is in flight, for the claim with this fencing token.
    InFlight(Fence),
    /// The removal failed or was not answered, and is sent again.
    Retry {
        /// Fencing token of the claim.
        fence: Fence,
        /// When to send it, in monotonic milliseconds.
        at_ms: u64,
    },
}

/// Known holder of the slice and state of this daemon's claim.
pub struct Holding {
    machine: StateMachine<HoldingMachine>,
    /// Latest claim seen in the store, with its revision. `None` if nobody holds the slice.
    pub claim: Option<(ClaimRecord, u64)>,
    /// Number of the latest claim seen; 0 before the first.
    pub term: u64,
    /// Store revision of the [`TermRecord`](crate::record::TermRecord); 0 if there is none.
    pub term_revision: u64,
    /// Store revision of the term record that this daemon's latest claim replaces; 0 if there was none.
    pub replaced_term_revision: u64,
    /// Whether the latest claim was removed by its holder, and did not end with its lease.
    pub was_released: bool,
    /// When the latest claim began as far as this daemon saw, in monotonic milliseconds.
    ///
    /// `None` before the first one, and for a claim that was older than this daemon's first listing.
    pub claim_seen_at_ms: Option<u64>,
    /// How long the claim before this daemon's own lasted, in milliseconds. `None` if it saw none begin.
    pub predecessor_tenure_ms: Option<u64>,
    /// Daemon that released the slice before this one claimed it. `None` if the claim before ended with its lease.
    pub released_by: Option<Incarnation>,
    /// Greatest fencing token seen in the store, from peers or from hosts.
    pub greatest_fence: Fence,
    /// Since when the slice has had no claim, in monotonic milliseconds.
    pub vacant_since_ms: Option<u64>,
    /// Fencing token of the claim under which the present tables were filled.
    ///
    /// It is older than the present claim if this daemon reclaimed the slice before anyone else. Answers to
    /// orders under a smaller token are ignored.
    pub tables_fence: Fence,
    /// When the last tick ran, in monotonic milliseconds. A long gap shows that the process was suspended.
    pub last_tick_at_ms: u64,
    /// When a suspension of the process left the claim unconfirmed, in monotonic milliseconds.
    ///
    /// Cleared once the store has renewed the lease.
    pub unconfirmed_since_ms: Option<u64>,
    /// Latest time at which the store showed that nobody else held the slice, in monotonic milliseconds; 0 without a claim.
    pub claim_confirmed_at_ms: u64,
    /// Until when this daemon may give orders to hosts under its claim, in monotonic milliseconds; 0 without a claim.
    pub may_act_until_ms: u64,
    /// Since when it may do so without a break, in monotonic milliseconds; `None` while it may not. For the log.
    pub has_permission_since_ms: Option<u64>,
    /// When enough hosts were shut out from earlier holders for these to lose their permission, in monotonic milliseconds.
    ///
    /// `None` before that. Earlier holders may give orders for [`PERMISSION_MS`] longer. It stays true for as long as the
    /// tables are kept, since earlier holders can't regain the hosts.
    pub shut_out_at_ms: Option<u64>,
    /// When the process last resumed after a suspension, in monotonic milliseconds; 0 if never.
    pub resumed_at_ms: u64,
    /// Progress of loading the records of earlier holders.
    pub loading: RecordLoading,
    /// Daemon that made the latest claim seen.
    pub last_holder: Option<Incarnation>,
    /// Vacancy for which a wait before the claim was logged, by its start in monotonic milliseconds.
    pub deferral_logged_for_ms: Option<u64>,
    /// When this daemon last sent a claim, in monotonic milliseconds; 0 if never.
    pub claim_sent_at_ms: u64,
    /// When this daemon adopted the slice and began to poll hosts, in monotonic milliseconds; 0 before that.
    ///
    /// An earlier holder may have extended run leases until then. A reclaim that keeps the tables keeps it too.
    pub polling_since_ms: u64,
    /// State of the removal of a claim that was given up.
    pub claim_release: ClaimRelease,
    /// Latency of hosts' answers, by which the daemon recognizes that it is too slow.
    pub answer_times: AnswerTimeWindow,
    /// Since when this daemon, without being stopped, transfers the slice to another one, in monotonic milliseconds.
    ///
    /// It releases its claim from then on; `None` once it has stepped down.
    pub releasing_since_ms: Option<u64>,
    /// Until when this daemon yields to others before it claims, in monotonic milliseconds.
    ///
    /// Set when it transferred the slice to another one.
    pub yield_until_ms: u64,
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
            replaced_term_revision: 0,
            was_released: false,
            claim_seen_at_ms: None,
            predecessor_tenure_ms: None,
            released_by: None,
            greatest_fence: Fence(0),
            vacant_since_ms: None,
            tables_fence: Fence(0),
            last_tick_at_ms: 0,
            unconfirmed_since_ms: None,
            claim_confirmed_at_ms: 0,
            may_act_until_ms: 0,
            has_permission_since_ms: None,
            shut_out_at_ms: None,
            resumed_at_ms: 0,
            loading: RecordLoading::default(),
            last_holder: None,
            deferral_logged_for_ms: None,
            claim_sent_at_ms: 0,
            polling_since_ms: 0,
            claim_release: ClaimRelease::default(),
            answer_times: AnswerTimeWindow::default(),
            releasing_since_ms: None,
            yield_until_ms: 0,
        }
    }
}

impl Holding {
    /// Applies an event to the state machine. An event that the state does not expect changes nothing.
    pub fn apply_event(&mut self, event: HoldingEvent) {
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

    /// Returns whether a holder under this daemon's claim may start a job, which was accepted as given.
    #[must_use]
    pub fn covers_job(&self, accepted: Fence) -> bool {
        self.fence().is_some_and(|fence| accepted <= fence)
    }

    /// Returns whether no earlier holder may have started a job, which was accepted as given.
    ///
    /// It was accepted under this daemon's claim, or while nobody held the slice just before.
    #[must_use]
    pub fn is_first_holder_of_job(&self, accepted: Fence) -> bool {
        self.covers_job(accepted) && accepted.0 > self.replaced_term_revision
    }

    /// Returns when this daemon won its claim, in monotonic milliseconds; `None` without a claim.
    #[must_use]
    pub fn claim_won_at_ms(&self) -> Option<u64> {
        match *self.machine.state() {
            State::Adopting { since_ms, .. } | State::Holding { since_ms, .. } => Some(since_ms),
            State::Standby {} | State::Claiming {} => None,
        }
    }

    /// Returns whether a call was issued under this daemon's present claim.
    ///
    /// Answers to earlier calls may be late ones of an earlier holding, whose tables were cleared.
    #[must_use]
    pub fn is_since_claim(&self, issued_at_ms: u64) -> bool {
        self.claim_won_at_ms().is_some_and(|won_at_ms| issued_at_ms >= won_at_ms)
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

    /// Returns whether this daemon may give orders that work goes on or stops.
    ///
    /// Another daemon may hold the slice otherwise.
    #[must_use]
    pub fn has_permission(&self, now_ms: u64) -> bool {
        self.is_holding() && now_ms < self.may_act_until_ms
    }

    /// Records that the store showed the claim at a time in monotonic milliseconds, and extends the permission.
    pub fn confirm_claim(&mut self, at_ms: u64) {
        self.claim_confirmed_at_ms = self.claim_confirmed_at_ms.max(at_ms);
        self.extend_permission(at_ms.saturating_add(PERMISSION_MS));
    }

    /// Extends the permission to give orders up to a time in monotonic milliseconds.
    pub fn extend_permission(&mut self, until_ms: u64) {
        self.may_act_until_ms = self.may_act_until_ms.max(until_ms);
    }

    /// Ends the permission to give orders.
    pub fn end_permission(&mut self) {
        self.claim_confirmed_at_ms = 0;
        self.may_act_until_ms = 0;
        self.has_permission_since_ms = None;
    }

    /// Forgets what was known of earlier holders, together with the tables that were filled since.
    pub fn forget_predecessors(&mut self) {
        self.polling_since_ms = 0;
        self.shut_out_at_ms = None;
    }

    /// Returns whether this daemon may start runs: it has the permission to act, and its claim is confirmed.
    ///
    /// A suspension of the process leaves the claim unconfirmed, since another daemon may have claimed meanwhile.
    #[must_use]
    pub fn is_confirmed_holder(&self, now_ms: u64) -> bool {
        self.has_permission(now_ms) && self.unconfirmed_since_ms.is_none()
    }

    /// Returns whether the result of a claim is open.
    #[must_use]
    pub fn is_claiming(&self) -> bool {
        matches!(self.machine.state(), State::Claiming {})
    }
}
