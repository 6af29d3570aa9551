//! Metrics of the tables and of the connections to hosts, published after each tick.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use cassiahoist_telemetry::Metrics;
use cassiahoist_traffic::host_client::HostClient;
use cassiahoist_traffic::protocol::HostProtocol;
use cassiahoist_world::counters::{BUCKETS_MS, Histogram};
use cassiahoist_world::world::World;

/// Reads one value from the tables.
type ReadValue = fn(&World) -> u64;

/// Borrows one histogram from the tables.
type ReadHistogram = fn(&World) -> &Histogram;

/// Cells that a tick's values are copied to, and that scrapes read.
#[derive(Debug)]
pub struct TableMetrics {
    cells: Vec<(Arc<AtomicU64>, ReadValue)>,
    histograms: Vec<(Vec<Arc<AtomicU64>>, ReadHistogram)>,
    host_connections_open: Arc<AtomicU64>,
    host_connections_limit: Arc<AtomicU64>,
}

const COUNTERS: [(&str, &str, ReadValue); 24] = [
    ("cassiahoist_calls", "Calls received from callers", |w| w.counters.calls),
    ("cassiahoist_calls_refused", "Calls answered with an error", |w| w.counters.refused),
    ("cassiahoist_jobs_accepted", "Jobs stored", |w| w.counters.jobs_accepted),
    ("cassiahoist_jobs_ended", "Jobs that reached a final state at this daemon", |w| w.counters.jobs_ended),
    ("cassiahoist_starts", "Start orders issued to hosts", |w| w.counters.starts),
    ("cassiahoist_starts_refused", "Start orders that hosts refused", |w| w.counters.starts_refused),
    ("cassiahoist_starts_relayed", "Start orders given to a peer to send", |w| w.counters.starts_relayed),
    ("cassiahoist_starts_unsent", "Start orders that were never sent", |w| w.counters.starts_unsent),
    ("cassiahoist_orders_unsent", "Orders that this daemon could not send", |w| w.counters.orders_unsent),
    ("cassiahoist_runs_done", "Runs that completed", |w| w.counters.runs_done),
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
    ("cassiahoist_host_searches", "Searches of placement for the hosts of one step", |w| {
        w.counters.host_searches
    }),
    ("cassiahoist_ticks", "Ticks of the control thread", |w| w.counters.ticks),
    ("cassiahoist_tick_us", "Time that ticks took, in microseconds", |w| w.counters.tick_us),
    ("cassiahoist_claims", "Times that this daemon won the claim on the slice", |w| w.counters.claims),
    ("cassiahoist_events", "Messages that the control thread received", |w| w.counters.events),
    ("cassiahoist_starts_unanswered", "Start orders without an answer", |w| w.counters.starts_unanswered),
    ("cassiahoist_log_lines_dropped", "Log lines that were dropped", |w| w.counters.log_lines_dropped),
];

const GAUGES: [(&str, &str, ReadValue); 14] = [
    ("cassiahoist_calls_open", "Calls in progress", |w| w.calls.open.len() as u64),
    ("cassiahoist_jobs_open", "Jobs in this daemon's tables", |w| w.jobs.len() as u64),
    ("cassiahoist_runs_open", "Runs that occupy resources", |w| w.runs.rows.len() as u64),
    ("cassiahoist_steps_ready", "Steps with waiting tasks", |w| w.jobs.ready.len() as u64),
    ("cassiahoist_holding", "1 while this daemon holds the slice", |w| u64::from(w.holding.is_holding())),
    ("cassiahoist_config_version", "Version of the configuration in force; 0 if none", |w| {
        w.config.current.as_ref().map_or(0, |config| config.version)
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
];

const HISTOGRAMS: [(&str, ReadHistogram); 4] = [
    ("cassiahoist_accept_ms", |w| &w.counters.accept_ms),
    ("cassiahoist_start_ms", |w| &w.counters.start_ms),
    ("cassiahoist_advice_ms", |w| &w.counters.advice_ms),
    ("cassiahoist_job_ms", |w| &w.counters.job_ms),
];

impl TableMetrics {
    /// Registers every metric of the tables.
    pub fn new(metrics: &Metrics) -> Self {
        let counters = COUNTERS.map(|(name, help, read)| (metrics.register_counter(name.into(), help), read));
        let gauges = GAUGES.map(|(name, help, read)| (metrics.register_gauge(name, help), read));
        let histograms = HISTOGRAMS.map(|(name, read)| (register_histogram(metrics, name), read));
        Self {
            cells: counters.into_iter().chain(gauges).collect(),
            histograms: histograms.into(),
            host_connections_open: metrics
                .register_gauge("cassiahoist_host_connections_open", "Open connections to hosts"),
            host_connections_limit: metrics
                .register_gauge("cassiahoist_host_connections_limit", "Most open connections to hosts"),
        }
    }

    /// Copies the number of open connections to hosts, and its limit, to the cells.
    pub fn publish_host_connections<P: HostProtocol>(&self, hosts: &HostClient<P>) {
        self.host_connections_open.store(hosts.open_connections() as u64, Ordering::Relaxed);
        self.host_connections_limit.store(hosts.max_open_connections() as u64, Ordering::Relaxed);
    }

    /// Copies the current values of the tables to the cells.
    pub fn publish(&self, world: &World) {
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
