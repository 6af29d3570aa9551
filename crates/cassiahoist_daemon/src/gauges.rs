//! Metrics that are published after each tick.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use cassiahoist_telemetry::Metrics;
use cassiahoist_world::world::World;

/// Reads one figure from the tables.
type Reading = fn(&World) -> u64;

/// Cells from which scrapes read.
#[derive(Debug)]
pub struct Gauges {
    cells: Vec<(Arc<AtomicU64>, Reading)>,
}

impl Gauges {
    /// Registers every metric.
    pub fn new(metrics: &Metrics) -> Self {
        let counters: [(&str, &str, Reading); 8] = [
            ("cassiahoist_requests_arrived", "Requests from callers", |w| w.counters.requests_arrived),
            ("cassiahoist_requests_granted", "Requests granted a slot here", |w| w.counters.requests_granted),
            ("cassiahoist_requests_forwarded", "Requests forwarded", |w| w.counters.requests_forwarded),
            ("cassiahoist_requests_refused", "Answers: not run", |w| w.counters.requests_refused),
            ("cassiahoist_requests_uncertain", "Answers: may have run", |w| w.counters.requests_uncertain),
            ("cassiahoist_jobs_accepted", "Jobs recorded", |w| w.counters.jobs_accepted),
            ("cassiahoist_tasks_started", "Tasks started", |w| w.counters.tasks_started),
            ("cassiahoist_store_calls", "Calls to the store", |w| w.counters.store_calls),
        ];
        let gauges: [(&str, &str, Reading); 5] = [
            ("cassiahoist_requests_open", "Requests under way", |w| w.requests.len() as u64),
            ("cassiahoist_jobs_open", "Jobs owned here", |w| w.jobs.len() as u64),
            ("cassiahoist_runs", "Runs on hosts held here", |w| w.runs.len() as u64),
            ("cassiahoist_slices_held", "Slices held here", |w| {
                w.slices.iter().filter(|(_, slice)| slice.tenure().is_some()).count() as u64
            }),
            ("cassiahoist_config_generation", "Generation in force", |w| w.config.in_force.generation),
        ];
        let counters = counters.map(|(name, text, read)| (metrics.counter(name, text), read));
        let gauges = gauges.map(|(name, text, read)| (metrics.gauge(name, text), read));
        Self { cells: counters.into_iter().chain(gauges).collect() }
    }

    /// Publishes the figures of the present tables.
    pub fn publish(&self, world: &World) {
        for (cell, read) in &self.cells {
            cell.store(read(world), Ordering::Relaxed);
        }
    }
}
