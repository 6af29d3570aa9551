//! Runs of tasks on hosts.

use std::collections::BTreeSet;

use cassiahoist_core::prelude::*;
use rustc_hash::{FxHashMap, FxHashSet};
use slotmap::SlotMap;

use crate::account_usage::AccountKey;
pub use crate::keys::RunKey;
use crate::keys::{HostKey, TaskKey};
use crate::start_budget::StartBudget;
use crate::start_relay::StartRelayTable;
use crate::start_window::StartWindow;
use crate::unsent_starts::UnsentStart;

/// State of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// The start order is in flight.
    Starting,
    /// The host confirmed the start.
    Running,
    /// The start order was not answered; a stop order settles whether the run exists.
    Unsettled,
    /// A stop order is due or in flight. The resources stay reserved until the host lists the end.
    Stopping,
    /// The host accepted the stop order. The next poll shows whether the run ever started.
    Settled,
}

/// Why a run is being stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The host did not answer the start order.
    Unanswered,
    /// The job is final, or another run completed the task.
    JobOver,
    /// The task makes no progress.
    Stalled,
    /// Another member of the gang is missing or has ended.
    GangBroken,
}

/// One attempt to execute a task on a host.
#[derive(Clone, Debug)]
pub struct Run {
    /// Row of the task.
    pub task: TaskKey,
    /// Name of the task.
    pub name: TaskName,
    /// Row of the host.
    pub host: HostKey,
    /// Number of the run, greater than that of every earlier run of the task.
    pub run_number: u64,
    /// Resources reserved for the run on its host.
    pub reserved: Resources,
    /// Account of the job.
    pub account: AccountKey,
    /// Full size of the task, which counts for the account; a filler reserves less.
    pub task_size: Resources,
    /// State of the run.
    pub state: RunState,
    /// Why the run is being stopped; `None` if it is not.
    pub stop_reason: Option<StopReason>,
    /// When the start order was sent, in monotonic milliseconds. For an adopted run, when it was adopted.
    pub start_sent_at_ms: u64,
    /// When the host last confirmed the start or the stop, in monotonic milliseconds.
    ///
    /// Until then the time at which the row was made.
    pub confirmed_at_ms: u64,
    /// Whether a poll has listed the run. Then it belongs to the known incarnation of its host.
    pub listed_by_host: bool,
    /// Whether an earlier holder started the run, so that its age is unknown.
    pub adopted: bool,
    /// Whether the run may have been lost with an earlier incarnation of its host.
    pub maybe_lost: bool,
    /// When the start order was given up without an answer, in monotonic milliseconds; `None` once the host has listed the run.
    ///
    /// The order may still take effect, even in a later incarnation of the host.
    pub start_unanswered_at_ms: Option<u64>,
    /// Whether the row was removed before and restored after a restart or a silence of the host.
    ///
    /// Crashes before that have been counted.
    pub is_restored: bool,
    /// Whether an order about the run is in flight.
    pub order_in_flight: bool,
    /// When to send the next stop order, in monotonic milliseconds.
    pub next_stop_at_ms: u64,
    /// Progress that the host last reported, in percent.
    pub progress_percent: u32,
    /// When the progress last changed, in monotonic milliseconds. Before the first, when the start was confirmed.
    pub last_progress_at_ms: u64,
    /// The host's clock when it last reported other progress or confirmed the start, in milliseconds; 0 if unknown.
    pub progress_clock_ms: u64,
    /// The host's clock when it confirmed the start, in milliseconds; 0 if unknown.
    pub start_clock_ms: u64,
    /// Whether the run resumes from a checkpoint, so that it takes less time than a whole one.
    pub is_resumed: bool,
    /// How long the run was expected to take on a host of its kind when it was ordered, in milliseconds; 0 if unknown.
    pub expected_run_ms: u64,
    /// Share of processor time that the run was last ordered to take, in percent; 100 at its start.
    ///
    /// It is below 100 only for fillers. `None` if it is unknown, as for an adopted run or after an order that may not have
    /// taken effect.
    pub pace_percent: Option<u8>,
    /// When the latest pace order was issued, in monotonic milliseconds; 0 before the first.
    pub pace_sent_at_ms: u64,
    /// Until when a pace order without an answer may take effect, in monotonic milliseconds; 0 before the first such order.
    pub late_pace_until_ms: u64,
}

impl Run {
    /// Records that the host confirmed the start.
    ///
    /// Progress is expected from now on: the start order may have waited on the holder's link.
    pub fn confirm_start(&mut self, now_ms: u64) {
        self.state = RunState::Running;
        self.start_unanswered_at_ms = None;
        self.confirmed_at_ms = now_ms;
        self.last_progress_at_ms = now_ms;
    }

    /// Returns whether the host has confirmed the start, by its answer or in its lists.
    fn is_start_confirmed(&self) -> bool {
        self.listed_by_host || self.start_clock_ms > 0
    }

    /// Returns when the start order was last under way, in monotonic milliseconds; `None` if the host has confirmed it.
    ///
    /// It may take effect after the end of the host's run lease and in spite of a stop, of which a later incarnation knows
    /// nothing.
    #[must_use]
    pub fn late_start_since_ms(&self) -> Option<u64> {
        let may_be_under_way = match self.state {
            RunState::Starting => self.order_in_flight,
            RunState::Running => false,
            RunState::Unsettled | RunState::Stopping | RunState::Settled => !self.is_start_confirmed(),
        };
        may_be_under_way.then(|| self.start_unanswered_at_ms.unwrap_or(self.start_sent_at_ms))
    }

    /// Returns until when the start order may take effect at a later incarnation of the host, in monotonic milliseconds.
    ///
    /// `None` if the host has confirmed it.
    #[must_use]
    pub fn late_start_until_ms(&self) -> Option<u64> {
        self.late_start_since_ms().map(|since_ms| since_ms + MAX_ORDER_DELAY_MS)
    }

    /// Notes that a pace order was given up without an answer, so that it may take effect after later ones.
    pub fn expect_late_pace(&mut self, now_ms: u64) {
        self.late_pace_until_ms = now_ms + MAX_ORDER_DELAY_MS;
    }

    /// Returns whether an earlier pace order may have undone the latest one, or still may.
    #[must_use]
    pub fn is_pace_uncertain(&self) -> bool {
        self.pace_sent_at_ms < self.late_pace_until_ms
    }

    /// Forgets that the host confirmed the stop, since its present incarnation has not.
    ///
    /// Another stop order is due.
    pub fn unsettle(&mut self, now_ms: u64) {
        self.state = RunState::Unsettled;
        self.next_stop_at_ms = now_ms;
        self.order_in_flight = false;
    }
}

/// Time for which an order that was given up without an answer may take effect, in milliseconds.
pub const MAX_ORDER_DELAY_MS: u64 = 12_000;

/// All runs that have resources reserved on a host.
#[derive(Debug, Default)]
pub struct RunTable {
    /// Runs by key. A host lists the keys of its own runs in [`Host::runs`](crate::hosts::Host::runs).
    pub rows: SlotMap<RunKey, Run>,
    /// Limit of start orders without an answer.
    pub start_window: StartWindow,
    /// Bytes of start orders that the holder's link carries.
    pub start_budget: StartBudget,
    /// Peers that send start orders while these fill the holder's link.
    pub start_relays: StartRelayTable,
    /// Start orders that were not sent and are issued again.
    pub unsent_starts: Vec<UnsentStart>,
    /// Runs that were ordered to stop and may need a further stop order.
    pub stopping: FxHashSet<RunKey>,
    /// Runs of tasks under which hosts were lost, which have not outlived their probation.
    pub on_probation: BTreeSet<RunKey>,
    /// Until when tasks of a queue avoid hosts on which much would be lost, in monotonic milliseconds.
    ///
    /// One of its tasks is suspected of crashing its hosts, and others may do so too.
    pub cautious_until_ms: FxHashMap<QueueName, u64>,
    /// When to look for stalled runs next, in monotonic milliseconds.
    pub next_stall_check_at_ms: u64,
    /// When to compare the pace of fillers with that of their hosts next, in monotonic milliseconds.
    pub next_pace_check_at_ms: u64,
    /// When an order to any host last remained unanswered, in monotonic milliseconds.
    pub last_unanswered_at_ms: Option<u64>,
    /// Exponentially weighted mean duration of completed runs, by queue, in milliseconds.
    ///
    /// Declared run times are too inaccurate to use.
    pub mean_run_ms: FxHashMap<QueueName, f64>,
}

/// Weight of a new duration in the mean.
const SMOOTHING_FACTOR: f64 = 0.05;

impl RunTable {
    /// Removes all runs.
    pub fn clear(&mut self) {
        self.rows.clear();
        self.stopping.clear();
        self.on_probation.clear();
        self.cautious_until_ms.clear();
        self.unsent_starts.clear();
        self.start_window = StartWindow::default();
        self.start_budget = StartBudget::default();
        self.start_relays.clear();
    }

    /// Adds the duration of a completed run, in milliseconds, to its queue's mean.
    pub fn record_run_time(&mut self, queue: &QueueName, took_ms: u64) {
        let mean_ms = self.mean_run_ms.entry(queue.clone()).or_insert(took_ms as f64);
        *mean_ms += SMOOTHING_FACTOR * (took_ms as f64 - *mean_ms);
    }
}
