//! Metrics of the tables and of the traffic, published after each tick.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use cassiahoist_telemetry::Metrics;
use cassiahoist_world::counters::{BUCKETS_MS, Histogram};
use cassiahoist_world::traffic::TrafficKind;
use cassiahoist_world::unsent::UnsentCause;
use cassiahoist_world::world::World;

use crate::delay_metrics::DelayMetrics;

/// Reads one value from the tables.
type ReadValue = fn(&World) -> u64;

/// Borrows one histogram from the tables.
type ReadHistogram = fn(&World) -> &Histogram;

/// Cells that a tick's values are copied to, and that scrapes read.
#[derive(Debug)]
pub struct TableMetrics {
    cells: Vec<(Arc<AtomicU64>, ReadValue)>,
    histograms: Vec<(Vec<Arc<AtomicU64>>, ReadHistogram)>,
    delays: DelayMetrics,
}

const COUNTERS: &[(&str, &str, ReadValue)] = &[
    ("cassiahoist_calls", "Calls received from callers", |w| w.counters.calls),
    ("cassiahoist_calls_refused", "Calls answered with an error", |w| w.counters.refused),
    ("cassiahoist_calls_unauthenticated", "Calls without a valid key on queues that need one", |w| {
        w.counters.calls_unauthenticated
    }),
    (
        "cassiahoist_calls_config_outdated",
        "Calls refused since the configuration was confirmed too long ago",
        |w| w.counters.calls_config_outdated,
    ),
    ("cassiahoist_jobs_accepted", "Jobs stored", |w| w.counters.jobs_accepted),
    ("cassiahoist_jobs_ended", "Jobs that reached a final state at this daemon", |w| w.counters.jobs_ended),
    ("cassiahoist_starts", "Start orders issued to hosts", |w| w.counters.starts),
    ("cassiahoist_starts_refused", "Start orders that hosts refused", |w| w.counters.starts_refused),
    ("cassiahoist_starts_relayed", "Start orders given to a peer to send", |w| w.counters.starts_relayed),
    ("cassiahoist_starts_unsent", "Start orders that were never sent", |w| w.counters.starts_unsent),
    ("cassiahoist_orders_unsent", "Orders that this daemon could not send", |w| w.counters.orders_unsent),
    ("cassiahoist_runs_done", "Runs that completed", |w| w.counters.runs_done),
    ("cassiahoist_run_times_learned", "Ends from which run times were learned", |w| w.run_times.end_count()),
    ("cassiahoist_runs_failed", "Runs that failed", |w| w.counters.runs_failed),
    ("cassiahoist_runs_stopped", "Runs ordered to stop", |w| w.counters.runs_stopped),
    ("cassiahoist_polls", "Polls sent to hosts", |w| w.counters.polls),
    ("cassiahoist_store_calls", "Calls to the store", |w| w.counters.store_calls),
    ("cassiahoist_store_calls_unsent", "Calls to the store that this daemon could not send", |w| {
        w.counters.store_calls_unsent
    }),
    ("cassiahoist_advice_calls", "Calls to the advice service", |w| w.counters.advice_calls),
    ("cassiahoist_steps_visited", "Ready steps that rounds of advice and placement visited", |w| {
        w.counters.steps_visited
    }),
    ("cassiahoist_steps_held_back", "Visits of steps that the cap of their account kept waiting", |w| {
        w.account_usage.steps_held_back
    }),
    ("cassiahoist_host_searches", "Searches of placement for the hosts of one step", |w| {
        w.counters.host_searches
    }),
    ("cassiahoist_ticks", "Ticks of the control thread", |w| w.counters.ticks),
    ("cassiahoist_tick_us", "Time that ticks took, in microseconds", |w| w.counters.tick_us),
    ("cassiahoist_claims", "Times that this daemon won the claim on the slice", |w| w.counters.claims),
    ("cassiahoist_events", "Messages that the control thread received", |w| w.counters.events),
    ("cassiahoist_crashes_recorded", "Crashes of hosts recorded for a task that may be the cause", |w| {
        w.counters.crashes_recorded
    }),
    ("cassiahoist_jobs_crashing", "Jobs failed since hosts crashed repeatedly under a task", |w| {
        w.counters.jobs_crashing
    }),
    ("cassiahoist_starts_unanswered", "Start orders without an answer", |w| w.counters.starts_unanswered),
    ("cassiahoist_log_lines_dropped", "Log lines that were dropped", |w| w.counters.log_lines_dropped),
    ("cassiahoist_store_calls_failed", "Calls to the store that were sent and failed", |w| {
        w.counters.store_calls_failed
    }),
    ("cassiahoist_sent_bytes_starts", "Bytes sent for start orders", |w| sent_bytes(w, TrafficKind::Starts)),
    ("cassiahoist_sent_bytes_polls", "Bytes sent for polls of hosts", |w| sent_bytes(w, TrafficKind::Polls)),
    ("cassiahoist_sent_bytes_other_orders", "Bytes sent for other orders to hosts", |w| {
        sent_bytes(w, TrafficKind::OtherOrders)
    }),
    ("cassiahoist_sent_bytes_store", "Bytes sent for calls to the store", |w| {
        sent_bytes(w, TrafficKind::Store)
    }),
    ("cassiahoist_sent_bytes_advice", "Bytes sent for calls for advice", |w| {
        sent_bytes(w, TrafficKind::Advice)
    }),
    ("cassiahoist_sent_bytes_peers", "Bytes sent for messages to peers", |w| {
        sent_bytes(w, TrafficKind::Peers)
    }),
    ("cassiahoist_sent_bytes_callers", "Bytes sent for answers to callers", |w| {
        sent_bytes(w, TrafficKind::Callers)
    }),
    ("cassiahoist_accepts_failed", "Connections that could not be accepted", |w| {
        w.load.traffic.accepts_failed
    }),
    ("cassiahoist_calls_unqueued", "Calls refused since the control thread's queue was full", |w| {
        w.load.traffic.calls_unqueued
    }),
    ("cassiahoist_peer_messages_lost", "Messages to peers that were dropped or not delivered", |w| {
        w.load.traffic.peer_messages_lost
    }),
    ("cassiahoist_slow_connections_closed", "Connections closed since their clients were too slow", |w| {
        w.load.traffic.slow_connections
    }),
    ("cassiahoist_requests_unheld", "Requests refused since the budget of bytes had no room", |w| {
        w.load.traffic.requests_unheld
    }),
    ("cassiahoist_received_bytes", "Bytes of answers to requests", |w| w.load.traffic.received_bytes),
    ("cassiahoist_unsent_no_free_connection", "Requests not sent: no connection became free", |w| {
        unsent(w, UnsentCause::NoFreeConnection)
    }),
    (
        "cassiahoist_unsent_local_resources",
        "Requests not sent: the system had no descriptor, port or memory",
        |w| unsent(w, UnsentCause::LocalResources),
    ),
    ("cassiahoist_unsent_expired", "Requests not sent: their time had passed", |w| {
        unsent(w, UnsentCause::Expired)
    }),
    ("cassiahoist_unsent_unencodable", "Requests not sent: they could not be encoded", |w| {
        unsent(w, UnsentCause::Unencodable)
    }),
    ("cassiahoist_unsent_connect_failed", "Requests not sent: the connection was refused", |w| {
        unsent(w, UnsentCause::ConnectFailed)
    }),
    ("cassiahoist_unsent_connect_timeout", "Requests not sent: the connection did not open in time", |w| {
        unsent(w, UnsentCause::ConnectTimeout)
    }),
    ("cassiahoist_unsent_connection_closed", "Requests not sent: the connection closed before", |w| {
        unsent(w, UnsentCause::ConnectionClosed)
    }),
];

const GAUGES: &[(&str, &str, ReadValue)] = &[
    ("cassiahoist_calls_open", "Calls in progress", |w| w.calls.open.len() as u64),
    ("cassiahoist_jobs_open", "Jobs in this daemon's tables", |w| w.jobs.len() as u64),
    ("cassiahoist_runs_open", "Runs that occupy resources", |w| w.runs.rows.len() as u64),
    ("cassiahoist_steps_ready", "Steps with waiting tasks", |w| w.jobs.ready.len() as u64),
    ("cassiahoist_accounts_with_runs", "Client accounts with runs", |w| w.account_usage.accounts_with_runs()),
    ("cassiahoist_holding", "1 while this daemon holds the slice", |w| u64::from(w.holding.is_holding())),
    ("cassiahoist_config_version", "Version of the configuration in force; 0 if none", |w| {
        w.config.current.as_ref().map_or(0, |config| config.version)
    }),
    ("cassiahoist_config_outdated", "1 while the configuration is too old to check keys", |w| {
        u64::from(w.config.is_outdated)
    }),
    ("cassiahoist_longest_tick_us", "Longest tick of the last second, in microseconds", |w| {
        w.load.latest.longest_tick_us
    }),
    ("cassiahoist_answer_queue_ms", "Longest wait of a host's answer for a tick in the last second", |w| {
        w.load.latest.answer_queue_ms
    }),
    ("cassiahoist_starts_open", "Start orders without an answer so far", |w| {
        u64::from(w.runs.start_window.open())
    }),
    ("cassiahoist_starts_limit", "Most open start orders", |w| u64::from(w.runs.start_window.limit())),
    ("cassiahoist_quickest_answer_ms", "Latency of the quickest host", |w| {
        w.holding.answer_times.min_latency_ms
    }),
    ("cassiahoist_hosts_engaged", "Hosts that are polled", |w| w.load.latest.engaged_hosts),
    ("cassiahoist_hosts_unresponsive", "Hosts that do not answer", |w| w.load.latest.unresponsive_hosts),
    ("cassiahoist_tasks_pending", "Pending tasks of ready steps", |w| w.load.latest.pending_tasks),
    ("cassiahoist_host_connections_open", "Open connections to hosts", |w| w.load.traffic.connections.hosts),
    ("cassiahoist_host_connections_limit", "Most open connections to hosts", |w| {
        w.load.traffic.connections.hosts_limit
    }),
    ("cassiahoist_caller_connections_open", "Open connections of callers", |w| {
        w.load.traffic.connections.callers
    }),
    ("cassiahoist_caller_connections_limit", "Most open connections of callers", |w| {
        w.load.traffic.connections.callers_limit
    }),
    ("cassiahoist_peer_connections_open", "Open connections to and from peers", |w| {
        w.load.traffic.connections.peers
    }),
    ("cassiahoist_store_connections_open", "Open connections to the store", |w| {
        w.load.traffic.connections.store
    }),
    ("cassiahoist_advice_connections_open", "Open connections to the advice service", |w| {
        w.load.traffic.connections.advice
    }),
    ("cassiahoist_descriptors_limit", "Descriptors that the process may open", |w| {
        w.load.traffic.connections.descriptors_limit
    }),
    ("cassiahoist_open_bytes", "Bytes of requests without an answer so far", |w| w.load.traffic.open_bytes),
    ("cassiahoist_longest_gap_ms", "Longest time between ticks in the last second", |w| {
        w.load.daemon.longest_gap_ms
    }),
    ("cassiahoist_longest_late_ms", "Longest time by which a tick was late in the last second", |w| {
        w.load.daemon.longest_late_ms
    }),
    ("cassiahoist_hosts", "Hosts in this daemon's tables", |w| w.hosts.len() as u64),
    ("cassiahoist_members", "Registered daemons that this one knows", |w| w.load.daemon.members),
    ("cassiahoist_advice_calls_open", "Calls for advice that steps wait for", |w| {
        w.load.latest.open_advice_calls
    }),
    ("cassiahoist_store_answer_age_ms", "Time since the store last answered", |w| {
        w.load.daemon.store_answer_age_ms
    }),
    ("cassiahoist_heartbeat_age_ms", "Time since the holder's last heartbeat; 0 at the holder", |w| {
        w.load.daemon.heartbeat_age_ms
    }),
    ("cassiahoist_cell_range_age_ms", "Age of the known claims and members", |w| {
        w.load.daemon.cell_range_age_ms
    }),
    ("cassiahoist_operators_range_age_ms", "Age of the known configuration", |w| {
        w.load.daemon.operators_range_age_ms
    }),
    ("cassiahoist_hosts_range_age_ms", "Age of the known host entries", |w| w.load.latest.hosts_range_age_ms),
    ("cassiahoist_run_times_shapes", "Shapes of tasks with a learned run time", |w| {
        w.run_times.shape_count() as u64
    }),
    ("cassiahoist_run_times_summary_age_ms", "Age of the summary of learned run times; 0 without one", |w| {
        match w.run_times.summary.written_unix_ms {
            0 => 0,
            written_unix_ms => w.local.unix_ms.saturating_sub(written_unix_ms),
        }
    }),
    ("cassiahoist_run_times_error_percent", "Typical error of the learned median", |w| {
        w.run_times.total_errors().median_error_percent()
    }),
    ("cassiahoist_run_times_declared_error_percent", "Typical error of the callers' estimates", |w| {
        w.run_times.total_errors().declared_error_percent()
    }),
    ("cassiahoist_jobs_range_age_ms", "Age of the known jobs", |w| w.load.latest.jobs_range_age_ms),
];

const HISTOGRAMS: [(&str, ReadHistogram); 4] = [
    ("cassiahoist_accept_ms", |w| &w.counters.accept_ms),
    ("cassiahoist_start_ms", |w| &w.counters.start_ms),
    ("cassiahoist_advice_ms", |w| &w.counters.advice_ms),
    ("cassiahoist_job_ms", |w| &w.counters.job_ms),
];

fn sent_bytes(world: &World, kind: TrafficKind) -> u64 {
    world.load.traffic.sent_bytes[kind as usize]
}

fn unsent(world: &World, cause: UnsentCause) -> u64 {
    world.load.traffic.unsent[cause as usize]
}

impl TableMetrics {
    /// Registers every metric of the tables.
    pub fn new(metrics: &Metrics) -> Self {
        let counters =
            COUNTERS.iter().map(|&(name, help, read)| (metrics.register_counter(name.into(), help), read));
        let gauges = GAUGES.iter().map(|&(name, help, read)| (metrics.register_gauge(name, help), read));
        let histograms = HISTOGRAMS.map(|(name, read)| (register_histogram(metrics, name), read));
        Self {
            cells: counters.into_iter().chain(gauges).collect(),
            histograms: histograms.into(),
            delays: DelayMetrics::new(metrics),
        }
    }

    /// Copies the current values of the tables to the cells.
    pub fn publish(&self, world: &World) {
        self.delays.publish(&world.delays);
        for (cell, read) in &self.cells {
            cell.store(read(world), Ordering::Relaxed);
        }
        for (cells, read) in &self.histograms {
            let histogram = read(world);
            let mut cumulative = 0;
            for (cell, count) in cells.iter().zip(histogram.counts) {
                cumulative += count;
                cell.store(cumulative, Ordering::Relaxed);
            }
            if let Some(sum) = cells.last() {
                sum.store(histogram.sum_ms, Ordering::Relaxed);
            }
        }
    }
}

/// Registers a histogram's counters.
///
/// There is one per bucket, cumulative as in Prometheus, then one for the count and one for the sum.
fn register_histogram(metrics: &Metrics, name: &str) -> Vec<Arc<AtomicU64>> {
    let bounds = BUCKETS_MS.iter().map(|bound| format!("{name}_le_{bound}"));
    let totals = [format!("{name}_count"), format!("{name}_sum")];
    bounds
        .chain(totals)
        .map(|name| metrics.register_counter(name, "Bucket, count or sum of a histogram in milliseconds"))
        .collect()
}
