//! Metrics of the parts of late jobs' time, by queue and part.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use cassiahoist_core::prelude::*;
use cassiahoist_telemetry::{LabelledCounter, Metrics};
use cassiahoist_world::counters::{BUCKETS_MS, Histogram};
use cassiahoist_world::delays::{DelayPart, DelayTable};

/// Name of the histogram, before the suffixes of its counters.
const NAME: &str = "cassiahoist_late_job_ms";

/// Value of the queue's label for the queues that are not told apart.
const OTHER_QUEUES: &str = "other";

/// Counters of the histogram: one for each bucket, then the count and the sum.
#[derive(Debug)]
pub(crate) struct DelayMetrics {
    counters: Vec<Arc<LabelledCounter>>,
    published_count: AtomicU64,
}

impl DelayMetrics {
    pub(crate) fn new(metrics: &Metrics) -> Self {
        let buckets = BUCKETS_MS.iter().map(|bound| format!("{NAME}_le_{bound}"));
        let names = buckets.chain([format!("{NAME}_count"), format!("{NAME}_sum")]);
        let help = "Bucket, count or sum of the time that late jobs spent in a part, in milliseconds";
        let counters = names.map(|name| metrics.register_labelled_counter(name, help));
        Self { counters: counters.collect(), published_count: AtomicU64::new(0) }
    }

    /// Copies the table, if a late job was recorded since the last time.
    pub(crate) fn publish(&self, delays: &DelayTable) {
        if self.published_count.swap(delays.late_count, Ordering::Relaxed) == delays.late_count {
            return;
        }
        for (index, counter) in self.counters.iter().enumerate() {
            let of_queue = |(queue, histograms): (Option<&QueueName>, &[Histogram])| {
                let queue = queue.map_or(OTHER_QUEUES, QueueName::as_str).to_owned();
                let values = DelayPart::ALL.map(|part| (part, read(&histograms[part as usize], index)));
                values.map(|(part, value)| {
                    (vec![("queue", queue.clone()), ("part", part.log_field().to_owned())], value)
                })
            };
            let rows = delays.iter().map(|(queue, histograms)| (queue, histograms.as_slice()));
            counter.set_rows(rows.flat_map(of_queue));
        }
    }
}

/// Returns the value of a histogram's counter.
fn read(histogram: &Histogram, index: usize) -> u64 {
    match index {
        index if index < BUCKETS_MS.len() => histogram.counts[..=index].iter().sum(),
        index if index == BUCKETS_MS.len() => histogram.counts.iter().sum(),
        _ => histogram.sum_ms,
    }
}
