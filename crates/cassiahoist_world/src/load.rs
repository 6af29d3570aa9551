//! Load of this daemon, measured in periods of fixed length.

use crate::counters::Counters;
use crate::traffic::{OpenConnections, TrafficKind, TrafficTotals};
use crate::unsent::UnsentCause;

/// Measurements of the present period.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadPeriod {
    /// When the period began, in monotonic milliseconds.
    pub started_at_ms: u64,
    /// Counters when the period began.
    pub counters_at_start: Counters,
    /// Traffic until the period began.
    pub traffic_at_start: TrafficTotals,
    /// When the last tick ran, in monotonic milliseconds; 0 before the first.
    pub last_tick_at_ms: u64,
    /// Longest time from one tick to the next, in milliseconds.
    pub longest_gap_ms: u64,
    /// Longest time by which a tick ran later than a timer was due, in milliseconds.
    pub longest_late_ms: u64,
    /// Time that the longest tick and the dispatch of its effects took, in microseconds.
    pub longest_tick_us: u64,
    /// Longest time that an answer of a host waited for a tick, in milliseconds.
    pub answer_queue_ms: u64,
}

/// Load of a holder's tables in one period.
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
    /// Longest time by which a tick ran later than a timer was due, in milliseconds.
    pub longest_late_ms: u64,
    /// Messages that ticks received.
    pub events: u64,
    /// Longest time that an answer of a host waited for a tick, in milliseconds.
    pub answer_queue_ms: u64,
    /// Latency of the quickest host, in milliseconds; 0 before it is measured.
    pub quickest_answer_ms: u64,
    /// Ready steps that rounds of advice and placement visited.
    pub steps_visited: u64,
    /// Searches of placement for the hosts of one step.
    pub host_searches: u64,
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
    /// Hosts in the tables.
    pub hosts: u64,
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
    pub fn fields(&self) -> [(&'static str, u64); 25] {
        [
            ("period_ms", self.period_ms),
            ("ticks", self.ticks),
            ("tick_us", self.tick_us),
            ("longest_tick_us", self.longest_tick_us),
            ("longest_gap_ms", self.longest_gap_ms),
            ("longest_late_ms", self.longest_late_ms),
            ("events", self.events),
            ("answer_queue_ms", self.answer_queue_ms),
            ("quickest_answer_ms", self.quickest_answer_ms),
            ("steps_visited", self.steps_visited),
            ("host_searches", self.host_searches),
            ("orders_unsent", self.orders_unsent),
            ("starts_unanswered", self.starts_unanswered),
            ("open_starts", self.open_starts),
            ("start_limit", self.start_limit),
            ("jobs", self.jobs),
            ("ready_steps", self.ready_steps),
            ("pending_tasks", self.pending_tasks),
            ("runs", self.runs),
            ("hosts", self.hosts),
            ("engaged_hosts", self.engaged_hosts),
            ("unresponsive_hosts", self.unresponsive_hosts),
            ("open_advice_calls", self.open_advice_calls),
            ("hosts_range_age_ms", self.hosts_range_age_ms),
            ("jobs_range_age_ms", self.jobs_range_age_ms),
        ]
    }
}

/// Load of any daemon's process in one period: its ticks, connections, bytes and failures, and the age of what it knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DaemonLoad {
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
    /// Longest time by which a tick ran later than a timer was due, in milliseconds.
    pub longest_late_ms: u64,
    /// Messages that ticks received.
    pub events: u64,
    /// Calls without an answer at the end of the period.
    pub open_calls: u64,
    /// Calls that were answered with an error.
    pub calls_refused: u64,
    /// Orders that this daemon could not send, for a reason of its own.
    pub orders_unsent: u64,
    /// Calls to the store that this daemon could not send, for a reason of its own.
    pub store_calls_unsent: u64,
    /// Calls to the store that were sent and failed.
    pub store_calls_failed: u64,
    /// Requests to hosts, store and advice service that were not sent, by cause.
    pub unsent: [u64; UnsentCause::ALL.len()],
    /// Connections that could not be accepted.
    pub accepts_failed: u64,
    /// Calls that were refused at once, since the control thread's queue was full.
    pub calls_unqueued: u64,
    /// Messages to peers that were dropped or not delivered.
    pub peer_messages_lost: u64,
    /// Connections at the end of the period.
    pub connections: OpenConnections,
    /// Bytes sent, by kind.
    pub sent_bytes: [u64; TrafficKind::ALL.len()],
    /// Bytes of the answers to requests.
    pub received_bytes: u64,
    /// Bytes of requests without an answer at the end of the period.
    pub open_bytes: u64,
    /// Log lines that were dropped.
    pub log_lines_dropped: u64,
    /// Registered daemons that this one knows.
    pub members: u64,
    /// Time since the store last answered, in milliseconds.
    pub store_answer_age_ms: u64,
    /// Time since the range of claims and members was answered, in milliseconds.
    pub cell_range_age_ms: u64,
    /// Time since the range of the configuration was answered, in milliseconds.
    pub operators_range_age_ms: u64,
    /// Time since the holder's last heartbeat, in milliseconds; 0 at the holder.
    pub heartbeat_age_ms: u64,
}

/// Names of [`UnsentCause::ALL`] in log fields.
const UNSENT_FIELDS: [&str; UnsentCause::ALL.len()] = [
    "unsent_no_free_connection",
    "unsent_local_resources",
    "unsent_expired",
    "unsent_unencodable",
    "unsent_connect_failed",
    "unsent_connect_timeout",
    "unsent_connection_closed",
];

/// Names of [`TrafficKind::ALL`] in log fields.
const SENT_FIELDS: [&str; TrafficKind::ALL.len()] = [
    "starts_bytes",
    "polls_bytes",
    "other_orders_bytes",
    "store_bytes",
    "advice_bytes",
    "peers_bytes",
    "callers_bytes",
];

/// Lateness of a tick from which the daemon lacks processor time, in milliseconds.
const LATE_TICK_MS: u64 = 250;

impl DaemonLoad {
    /// Returns names and values of all fields; names are part of the log's format.
    #[must_use]
    pub fn fields(&self) -> Vec<(&'static str, u64)> {
        let work = [
            ("period_ms", self.period_ms),
            ("ticks", self.ticks),
            ("tick_us", self.tick_us),
            ("longest_tick_us", self.longest_tick_us),
            ("longest_gap_ms", self.longest_gap_ms),
            ("longest_late_ms", self.longest_late_ms),
            ("events", self.events),
            ("open_calls", self.open_calls),
            ("calls_refused", self.calls_refused),
            ("orders_unsent", self.orders_unsent),
            ("store_calls_unsent", self.store_calls_unsent),
            ("store_calls_failed", self.store_calls_failed),
            ("accepts_failed", self.accepts_failed),
            ("calls_unqueued", self.calls_unqueued),
            ("peer_messages_lost", self.peer_messages_lost),
        ];
        let connections = [
            ("descriptors_limit", self.connections.descriptors_limit),
            ("host_connections", self.connections.hosts),
            ("host_connections_limit", self.connections.hosts_limit),
            ("caller_connections", self.connections.callers),
            ("peer_connections", self.connections.peers),
            ("store_connections", self.connections.store),
            ("advice_connections", self.connections.advice),
        ];
        let known = [
            ("received_bytes", self.received_bytes),
            ("open_bytes", self.open_bytes),
            ("log_lines_dropped", self.log_lines_dropped),
            ("members", self.members),
            ("store_answer_age_ms", self.store_answer_age_ms),
            ("cell_range_age_ms", self.cell_range_age_ms),
            ("operators_range_age_ms", self.operators_range_age_ms),
            ("heartbeat_age_ms", self.heartbeat_age_ms),
        ];
        let unsent = UNSENT_FIELDS.into_iter().zip(self.unsent);
        let sent = SENT_FIELDS.into_iter().zip(self.sent_bytes);
        work.into_iter().chain(unsent).chain(connections).chain(sent).chain(known).collect()
    }

    /// Returns whether this daemon itself failed at something in the period, whatever other processes did.
    #[must_use]
    pub fn has_own_failure(&self) -> bool {
        let unsent_locally =
            UnsentCause::ALL.iter().zip(self.unsent).any(|(cause, count)| cause.is_local() && count > 0);
        unsent_locally
            || self.orders_unsent > 0
            || self.store_calls_unsent > 0
            || self.accepts_failed > 0
            || self.calls_unqueued > 0
            || self.log_lines_dropped > 0
            || self.longest_late_ms >= LATE_TICK_MS
    }
}

/// Load of this daemon in the present period and the one before.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadTable {
    /// Measurements of the present period.
    pub period: LoadPeriod,
    /// Load of the tables in the last full period; all zero before the end of the first.
    pub latest: Load,
    /// Load of the process in the last full period; all zero before the end of the first.
    pub daemon: DaemonLoad,
    /// Traffic so far; copied from the traffic threads after each tick.
    pub traffic: TrafficTotals,
    /// When a daemon without the slice logs its load next, in monotonic milliseconds.
    pub next_daemon_line_at_ms: u64,
}
