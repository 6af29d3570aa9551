//! Load of this daemon, measured in periods of fixed length.

use crate::counters::Counters;

/// Measurements of the present period.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadPeriod {
    /// When the period began, in monotonic milliseconds.
    pub started_at_ms: u64,
    /// Counters when the period began.
    pub counters_at_start: Counters,
    /// When the last tick ran, in monotonic milliseconds; 0 before the first.
    pub last_tick_at_ms: u64,
    /// Longest time from one tick to the next, in milliseconds.
    pub longest_gap_ms: u64,
    /// Time that the longest tick and the dispatch of its effects took, in microseconds.
    pub longest_tick_us: u64,
    /// Longest time that an answer of a host waited for a tick, in milliseconds.
    pub answer_queue_ms: u64,
}

/// Load in one period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Length of the period, in milliseconds.
    pub period_ms: u64,
    /// Ticks of the control thread.
    pub ticks: u64,
    /// Time that ticks and the dispatch of their effects took, in microseconds.
    pub tick_us: u64,
    /// Time that the longest tick took, in microseconds.
    pub longest_tick_us: u64,
    /// Longest time from one tick to the next, in milliseconds.
    pub longest_gap_ms: u64,
    /// Messages that ticks received.
    pub events: u64,
    /// Longest time that an answer of a host waited for a tick, in milliseconds.
    pub answer_queue_ms: u64,
    /// Latency of the quickest host, in milliseconds; 0 before it is measured.
    pub quickest_answer_ms: u64,
    /// Orders that were never sent.
    pub orders_unsent: u64,
    /// Start orders without an answer.
    pub starts_unanswered: u64,
    /// Start orders that were issued and not answered by the end of the period.
    pub open_starts: u64,
    /// Greatest number of open start orders allowed.
    pub start_limit: u64,
    /// Jobs in the tables.
    pub jobs: u64,
    /// Steps that may have pending tasks.
    pub ready_steps: u64,
    /// Pending tasks of ready steps.
    pub pending_tasks: u64,
    /// Runs that have resources reserved.
    pub runs: u64,
    /// Hosts that are polled.
    pub engaged_hosts: u64,
    /// Engaged hosts that do not answer.
    pub unresponsive_hosts: u64,
    /// Calls for advice that steps wait for.
    pub open_advice_calls: u64,
    /// Time since the range of host entries was answered, in milliseconds.
    pub hosts_range_age_ms: u64,
    /// Time since the range of jobs was answered, in milliseconds.
    pub jobs_range_age_ms: u64,
}

impl Load {
    /// Returns names and values of all fields; names are part of the log's format.
    #[must_use]
    pub fn fields(&self) -> [(&'static str, u64); 21] {
        [
            ("period_ms", self.period_ms),
            ("ticks", self.ticks),
            ("tick_us", self.tick_us),
            ("longest_tick_us", self.longest_tick_us),
            ("longest_gap_ms", self.longest_gap_ms),
            ("events", self.events),
            ("answer_queue_ms", self.answer_queue_ms),
            ("quickest_answer_ms", self.quickest_answer_ms),
            ("orders_unsent", self.orders_unsent),
            ("starts_unanswered", self.starts_unanswered),
            ("open_starts", self.open_starts),
            ("start_limit", self.start_limit),
            ("jobs", self.jobs),
            ("ready_steps", self.ready_steps),
            ("pending_tasks", self.pending_tasks),
            ("runs", self.runs),
            ("engaged_hosts", self.engaged_hosts),
            ("unresponsive_hosts", self.unresponsive_hosts),
            ("open_advice_calls", self.open_advice_calls),
            ("hosts_range_age_ms", self.hosts_range_age_ms),
            ("jobs_range_age_ms", self.jobs_range_age_ms),
        ]
    }
}

/// Load of this daemon in the present period and the one before.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadTable {
    /// Measurements of the present period.
    pub period: LoadPeriod,
    /// Load in the last full period; all zero before the end of the first.
    pub latest: Load,
}
