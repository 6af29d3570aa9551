//! Counters and latency histograms for the metrics page.

/// Upper bounds of the latency buckets, inclusive, in milliseconds.
pub const BUCKETS_MS: [u64; 10] = [5, 20, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000];

/// A latency histogram with fixed buckets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Histogram {
    /// Samples per bucket; the last bucket has the samples above every bound.
    pub counts: [u64; BUCKETS_MS.len() + 1],
    /// Sum of all samples, in milliseconds.
    pub sum_ms: u64,
}

impl Histogram {
    /// Adds a sample, in milliseconds.
    pub fn record(&mut self, sample_ms: u64) {
        let bucket = BUCKETS_MS.iter().position(|bound| sample_ms <= *bound).unwrap_or(BUCKETS_MS.len());
        self.counts[bucket] += 1;
        self.sum_ms += sample_ms;
    }
}

/// Totals since the start of the daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Calls received from callers, including refused ones. Calls that peers relay are not counted.
    pub calls: u64,
    /// Calls of callers and peers that were answered with an error.
    pub refused: u64,
    /// Calls without a valid key on queues that need one.
    pub calls_unauthenticated: u64,
    /// Calls refused since the configuration was confirmed too long ago.
    pub calls_config_outdated: u64,
    /// Jobs that this daemon stored for callers.
    pub jobs_accepted: u64,
    /// Jobs that reached a final state under this holder.
    pub jobs_ended: u64,
    /// Start orders issued, including those that could not be sent.
    pub starts: u64,
    /// Start orders that were given to a peer to send, of those that were issued.
    pub starts_relayed: u64,
    /// Start orders that a host refused.
    pub starts_refused: u64,
    /// Start orders that were never sent.
    pub starts_unsent: u64,
    /// Orders, starts included, that this daemon could not send, for a reason of its own.
    pub orders_unsent: u64,
    /// Runs in the table that completed. A run whose row was removed before its end arrived is not counted.
    pub runs_done: u64,
    /// Runs in the table that failed, whether the task or the host caused it.
    pub runs_failed: u64,
    /// Runs that this holder decided to stop.
    ///
    /// Runs whose start order was not answered count too.
    pub runs_stopped: u64,
    /// Crashes of hosts that were recorded for a task, one for each task that may be the cause.
    pub crashes_recorded: u64,
    /// Jobs that failed because hosts crashed repeatedly under a task.
    pub jobs_crashing: u64,
    /// Polls of hosts, both regular and immediate ones.
    pub polls: u64,
    /// Calls to the store, including watches.
    pub store_calls: u64,
    /// Calls to the store that this daemon could not send, for a reason of its own.
    pub store_calls_unsent: u64,
    /// Calls to the store that were sent and failed, or for which no connection opened.
    pub store_calls_failed: u64,
    /// Calls for advice by this holder, including those that other daemons make for it.
    pub advice_calls: u64,
    /// Ready steps that rounds of advice, rounds of placement and checks of gangs visited.
    pub steps_visited: u64,
    /// Searches for the hosts of one step by placement, each over all hosts that the step may use.
    pub host_searches: u64,
    /// Claims on the slice that this daemon won.
    pub claims: u64,
    /// Messages that the control thread received.
    pub events: u64,
    /// Start orders that hosts did not answer.
    pub starts_unanswered: u64,
    /// Log lines that were dropped.
    pub log_lines_dropped: u64,
    /// Ticks of the control thread.
    pub ticks: u64,
    /// Time that ticks and the dispatch of their effects took, in microseconds.
    pub tick_us: u64,
    /// Latency from the arrival of a job's call to the stored job.
    pub accept_ms: Histogram,
    /// Latency from a step's readiness to the start order of one of its tasks.
    pub start_ms: Histogram,
    /// Latency from a step's readiness to advice for it.
    pub advice_ms: Histogram,
    /// Latency from a job's acceptance to its final state, by the daemons' wall clocks.
    ///
    /// Cancelled jobs are left out.
    pub job_ms: Histogram,
}
