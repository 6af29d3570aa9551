//! Expected run times of tasks, learned from finished runs.
//!
//! What is learned is the ratio of the actual run time to the one that the caller declared, by queue and, where these differ,
//! by account and image. A kind of host and a single host each have a factor of their own, so that the ratios of tasks on
//! unlike hosts compare. The first ends of a step tell most of its remaining tasks.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use rustc_hash::FxHashMap;

pub use crate::run_time_ratios::{RatioSketch, RecentRatios, log_ratio};
use crate::spec::StepSpec;

/// Maximum number of learned shapes. The quarter that has been without an end for longest is dropped beyond it.
pub const MAX_SHAPES: usize = 1_024;

/// Maximum number of kinds of hosts that are told apart.
pub const MAX_HOST_KINDS: usize = 64;

/// Run time that stands for an estimate where the caller declares none, in milliseconds.
const UNDECLARED_RUN_MS: u64 = 1_000;

/// Samples at which a shape counts as much as the less specific one, or as the caller's estimate.
const SHAPE_PRIOR_SAMPLES: f32 = 6.0;

/// Ends at which a step counts as much as its shape.
const STEP_PRIOR_SAMPLES: f32 = 1.0;

/// Ends of a kind of host from which its factor is used.
const MIN_KIND_SAMPLES: u32 = 12;

/// Least weight of a new end in the factor of a kind of host.
const KIND_SMOOTHING_FACTOR: f32 = 1.0 / 64.0;

/// Largest difference by which one end counts in the factor of a kind, as a binary logarithm.
const MAX_KIND_DEVIATION: f32 = 1.0;

/// Ends of a step from which further ones tell of their hosts: what its tasks have in common is known then.
const MIN_STEP_SAMPLES: u32 = 2;

/// Ends on a host from which its own factor is used.
const MIN_HOST_SAMPLES: u32 = 4;

/// Least own factor of a host that counts, as a binary logarithm. Smaller ones are within the spread of tasks.
const MIN_HOST_DEVIATION: f32 = 0.6;

/// What a run time is learned by.
#[derive(Clone, Copy, Debug)]
pub struct TaskShape<'a> {
    /// Queue of the job.
    pub queue: &'a QueueName,
    /// Account of the job, if it has one.
    pub account: Option<&'a AccountName>,
    /// Step of the task.
    pub spec: &'a StepSpec,
}

impl TaskShape<'_> {
    /// Returns the caller's estimate, in milliseconds, or what stands for it.
    fn declared_ms(&self) -> u64 {
        if self.spec.declared_run_ms == 0 { UNDECLARED_RUN_MS } else { self.spec.declared_run_ms }
    }

    /// Returns the keys that it is learned under, the least specific first.
    fn keys(&self) -> impl Iterator<Item = ShapeKey> {
        let is_declared = self.spec.declared_run_ms > 0;
        let key = |account: Option<&AccountName>, image: Option<&Arc<str>>| ShapeKey {
            queue: self.queue.clone(),
            account: account.cloned(),
            image: image.cloned(),
            is_declared,
        };
        let by_account = self.account.map(|account| key(Some(account), None));
        let by_image = self.spec.image.as_ref().map(|image| key(None, Some(image)));
        [Some(key(None, None)), by_account, by_image].into_iter().flatten()
    }
}

/// How long a task is expected to run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunTimeEstimate {
    /// Median, in milliseconds.
    pub median_ms: u64,
    /// 0.9 quantile, in milliseconds.
    pub p90_ms: u64,
    /// Number of finished runs that it rests on; 0 if it is the caller's own estimate.
    pub sample_count: u32,
}

/// Key of a learned shape; that of a whole queue has neither account nor image.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ShapeKey {
    /// Queue of the jobs.
    pub queue: QueueName,
    /// Account of the jobs.
    pub account: Option<AccountName>,
    /// Image of the tasks.
    pub image: Option<Arc<str>>,
    /// Whether the callers declare a run time.
    pub is_declared: bool,
}

/// Learned ratios of one shape.
#[derive(Clone, Debug, Default)]
pub struct ShapeRow {
    /// Ratios of actual to declared run times, on a host with a factor of 1.
    pub sketch: RatioSketch,
    /// Median of the sketch.
    median: f32,
    /// 0.9 quantile of the sketch.
    p90: f32,
    /// Number of the latest end, by which rows are dropped.
    last_end: u64,
}

impl ShapeRow {
    /// Creates a row from a stored sketch.
    #[must_use]
    pub fn new(sketch: RatioSketch) -> Self {
        let (median, p90) = (sketch.quantile(0.5), sketch.quantile(0.9));
        Self { sketch, median, p90, last_end: 0 }
    }

    fn record(&mut self, log_ratio: f32, end: u64) {
        self.sketch.record(log_ratio);
        self.median = self.sketch.quantile(0.5);
        self.p90 = self.sketch.quantile(0.9);
        self.last_end = end;
    }
}

/// Learned factor of a kind of host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KindRow {
    /// Run time on the kind compared with that on the mean of all kinds, as a binary logarithm, before the mean is deducted.
    pub raw_factor: f32,
    /// Number of ends.
    pub sample_count: u32,
}

impl KindRow {
    fn record(&mut self, log_ratio: f32) {
        self.sample_count = self.sample_count.saturating_add(1);
        let weight = (1.0 / self.sample_count as f32).max(KIND_SMOOTHING_FACTOR);
        let deviation = (log_ratio - self.raw_factor).clamp(-MAX_KIND_DEVIATION, MAX_KIND_DEVIATION);
        self.raw_factor += weight * deviation;
    }
}

/// How far estimates of a queue were off, over all recorded ends.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EstimateErrors {
    /// Number of ends.
    pub end_count: u64,
    /// Sum of the deviations of the caller's estimates, as binary logarithms without sign.
    pub declared_deviation_sum: f64,
    /// Sum of the deviations of the learned medians, as binary logarithms without sign.
    pub median_deviation_sum: f64,
    /// Ends within the learned 0.9 quantile.
    pub within_p90_count: u64,
    /// Ends within the caller's estimate.
    pub within_declared_count: u64,
}

impl EstimateErrors {
    /// Returns the typical error of the caller's estimates, in percent.
    #[must_use]
    pub fn declared_error_percent(&self) -> u64 {
        deviation_percent(self.declared_deviation_sum, self.end_count)
    }

    /// Returns the typical error of the learned medians, in percent.
    #[must_use]
    pub fn median_error_percent(&self) -> u64 {
        deviation_percent(self.median_deviation_sum, self.end_count)
    }

    /// Returns the share of ends within the learned 0.9 quantile, in percent.
    #[must_use]
    pub fn within_p90_percent(&self) -> u64 {
        self.within_p90_count * 100 / self.end_count.max(1)
    }

    /// Returns the share of ends within the caller's estimate, in percent.
    #[must_use]
    pub fn within_declared_percent(&self) -> u64 {
        self.within_declared_count * 100 / self.end_count.max(1)
    }
}

fn deviation_percent(sum: f64, count: u64) -> u64 {
    (((sum / count.max(1) as f64).exp2() - 1.0) * 100.0).round() as u64
}

/// An uninterrupted run that ended done.
#[derive(Clone, Copy, Debug)]
pub struct FinishedRun<'a> {
    /// Shape of the task.
    pub shape: TaskShape<'a>,
    /// Ratios of the step's earlier ends.
    pub step: &'a RecentRatios,
    /// Kind of the host; `None` if it has none, or if the run says nothing of a single host.
    pub host_kind: Option<&'a Arc<str>>,
    /// Own factor of the host, as a binary logarithm, see [`host_deviation`].
    pub host_deviation: f32,
    /// How long the run took, in milliseconds.
    pub took_ms: u64,
}

/// What a finished run tells about its step and its host, as binary logarithms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunTimeSample {
    /// Ratio to the declared run time, on a host with a factor of 1.
    pub step_ratio: f32,
    /// Ratio to the run time that was expected on a host of this kind; `None` if that rested on too little.
    pub host_ratio: Option<f32>,
}

/// Learned run times of all shapes of tasks.
#[derive(Debug, Default)]
pub struct RunTimeTable {
    shapes: FxHashMap<ShapeKey, ShapeRow>,
    kinds: FxHashMap<Arc<str>, KindRow>,
    /// Mean of the raw factors of all kinds in use.
    mean_kind_factor: f32,
    errors: FxHashMap<QueueName, EstimateErrors>,
    end_count: u64,
    /// When to update the speeds of hosts next, in monotonic milliseconds.
    pub next_speed_update_at_ms: u64,
    /// State of the summary in the store.
    pub summary: SummaryState,
}

/// State of the summary of learned run times in the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct SummaryState {
    /// Claim under which it was read, or found unusable; `None` before that.
    pub loaded_under: Option<Fence>,
    /// Whether a call about it is in flight.
    pub in_flight: bool,
    /// When the next call about it may be made, in monotonic milliseconds.
    pub next_call_at_ms: u64,
    /// Number of ends that the latest written one covers.
    pub written_end_count: u64,
    /// When the one that was read or written last was written, in Unix milliseconds; 0 if there is none.
    pub written_unix_ms: u64,
    /// When to log what was learned next, in monotonic milliseconds.
    pub next_log_at_ms: u64,
}

/// Ratios as binary logarithms, with the number of samples that they rest on.
#[derive(Clone, Copy, Debug, Default)]
struct LogEstimate {
    median: f32,
    p90: f32,
    sample_count: u32,
}

impl LogEstimate {
    fn blend(self, median: f32, p90: f32, weight: f32) -> Self {
        let mix = |from: f32, to: f32| from + weight * (to - from);
        Self { median: mix(self.median, median), p90: mix(self.p90, p90), ..self }
    }
}

impl RunTimeTable {
    /// Estimates how long a task runs on hosts of a kind; `None` for any kind.
    ///
    /// Without a finished run it returns the caller's own estimate.
    #[must_use]
    pub fn estimate(&self, shape: &TaskShape<'_>, host_kind: Option<&str>) -> RunTimeEstimate {
        let estimate = self.log_estimate(shape, None);
        self.to_run_time(shape, estimate, self.kind_factor(host_kind))
    }

    /// Estimates like [`Self::estimate`], with the ratios of the earlier ends of the task's step.
    #[must_use]
    pub fn estimate_in_step(
        &self,
        shape: &TaskShape<'_>,
        step: &RecentRatios,
        host_kind: Option<&str>,
    ) -> RunTimeEstimate {
        let estimate = self.log_estimate(shape, Some(step));
        self.to_run_time(shape, estimate, self.kind_factor(host_kind))
    }

    #[expect(clippy::unused_self, reason = "reads as a step of the estimate")]
    fn to_run_time(&self, shape: &TaskShape<'_>, estimate: LogEstimate, factor: f32) -> RunTimeEstimate {
        let declared_ms = shape.declared_ms();
        if estimate.sample_count == 0 {
            let run_ms = shape.spec.declared_run_ms;
            return RunTimeEstimate { median_ms: run_ms, p90_ms: run_ms, sample_count: 0 };
        }
        let to_ms = |log_ratio: f32| (declared_ms as f32 * (log_ratio + factor).exp2()).round() as u64;
        RunTimeEstimate {
            median_ms: to_ms(estimate.median),
            p90_ms: to_ms(estimate.p90),
            sample_count: estimate.sample_count,
        }
    }

    /// Blends what is known, the least specific first.
    fn log_estimate(&self, shape: &TaskShape<'_>, step: Option<&RecentRatios>) -> LogEstimate {
        let mut estimate = LogEstimate::default();
        for row in shape.keys().filter_map(|key| self.shapes.get(&key)) {
            let samples = row.sketch.sample_count();
            let weight = samples as f32 / (samples as f32 + SHAPE_PRIOR_SAMPLES);
            estimate = estimate.blend(row.median, row.p90, weight);
            estimate.sample_count = estimate.sample_count.max(samples);
        }
        if let Some(step) = step
            && let Some(median) = step.median()
        {
            let samples = step.sample_count();
            let weight = samples as f32 / (samples as f32 + STEP_PRIOR_SAMPLES);
            // The tasks of a step differ less from each other than those of a queue.
            let spread = (estimate.p90 - estimate.median) * (1.0 - weight / 2.0);
            estimate = estimate.blend(median, median + spread, weight);
            estimate.sample_count = estimate.sample_count.max(samples);
        }
        estimate
    }

    /// Returns the run time on a kind of host compared with the mean of all kinds, as a binary logarithm.
    ///
    /// It is 0 for an unknown kind and until enough runs have ended on the kind.
    #[must_use]
    pub fn kind_factor(&self, host_kind: Option<&str>) -> f32 {
        host_kind
            .and_then(|kind| self.kinds.get(kind))
            .filter(|row| row.sample_count >= MIN_KIND_SAMPLES)
            .map_or(0.0, |row| row.raw_factor - self.mean_kind_factor)
    }

    /// Learns from a finished run, and returns what it tells about its step and its host.
    pub fn record(&mut self, run: &FinishedRun<'_>) -> RunTimeSample {
        self.end_count += 1;
        let declared_ms = run.shape.declared_ms() as f32;
        let ratio = log_ratio(run.took_ms as f32, declared_ms);
        let kind_factor = self.kind_factor(run.host_kind.map(AsRef::as_ref));
        let step_ratio = ratio - kind_factor - run.host_deviation;
        let expected = self.log_estimate(&run.shape, Some(run.step));
        self.record_error(run, &expected, ratio);
        let is_expected = expected.sample_count >= MIN_KIND_SAMPLES;
        let is_step_known = run.step.sample_count() >= MIN_STEP_SAMPLES;
        if is_expected && let Some(kind) = run.host_kind {
            self.record_kind(kind, ratio - run.host_deviation - expected.median);
        }
        let tells_of_host = is_expected && is_step_known && run.host_kind.is_some();
        let host_ratio = tells_of_host.then_some(ratio - kind_factor - expected.median);
        let end = self.end_count;
        for key in run.shape.keys() {
            self.shapes.entry(key).or_default().record(step_ratio, end);
        }
        if self.shapes.len() > MAX_SHAPES {
            self.drop_oldest_shapes();
        }
        RunTimeSample { step_ratio, host_ratio }
    }

    fn record_kind(&mut self, kind: &Arc<str>, log_ratio: f32) {
        if self.kinds.len() >= MAX_HOST_KINDS && !self.kinds.contains_key(kind) {
            return;
        }
        self.kinds.entry(Arc::clone(kind)).or_default().record(log_ratio);
        self.update_mean_kind_factor();
    }

    fn update_mean_kind_factor(&mut self) {
        let used = self.kinds.values().filter(|row| row.sample_count >= MIN_KIND_SAMPLES);
        let (count, sum) = used.fold((0_u32, 0.0), |(count, sum), row| (count + 1, sum + row.raw_factor));
        self.mean_kind_factor = sum / count.max(1) as f32;
    }

    fn record_error(&mut self, run: &FinishedRun<'_>, expected: &LogEstimate, ratio: f32) {
        let on_host = self.kind_factor(run.host_kind.map(AsRef::as_ref)) + run.host_deviation;
        if self.errors.len() >= MAX_HOST_KINDS && !self.errors.contains_key(run.shape.queue) {
            return;
        }
        let errors = self.errors.entry(run.shape.queue.clone()).or_default();
        errors.end_count += 1;
        errors.declared_deviation_sum += f64::from(ratio.abs());
        errors.median_deviation_sum += f64::from((ratio - expected.median - on_host).abs());
        errors.within_p90_count += u64::from(ratio <= expected.p90 + on_host);
        errors.within_declared_count += u64::from(ratio <= 0.0);
    }

    /// Drops the quarter of the shapes that has been without an end for longest.
    fn drop_oldest_shapes(&mut self) {
        let mut ends: Vec<u64> = self.shapes.values().map(|row| row.last_end).collect();
        let (_, oldest_kept, _) = ends.select_nth_unstable(MAX_SHAPES / 4);
        let oldest_kept = *oldest_kept;
        self.shapes.retain(|_, row| row.last_end >= oldest_kept);
    }

    /// Returns the number of shapes that are known.
    #[must_use]
    pub fn shape_count(&self) -> usize {
        self.shapes.len()
    }

    /// Returns the number of ends that were learned from.
    #[must_use]
    pub fn end_count(&self) -> u64 {
        self.end_count
    }

    /// Iterates over the shapes that are known.
    pub fn iter_shapes(&self) -> impl Iterator<Item = (&ShapeKey, &ShapeRow)> {
        self.shapes.iter()
    }

    /// Iterates over the kinds of hosts that are known.
    pub fn iter_kinds(&self) -> impl Iterator<Item = (&Arc<str>, &KindRow)> {
        self.kinds.iter()
    }

    /// Iterates over the errors of estimates, by queue.
    pub fn iter_errors(&self) -> impl Iterator<Item = (&QueueName, &EstimateErrors)> {
        self.errors.iter()
    }

    /// Forgets what was learned; the errors of estimates stay.
    pub fn forget(&mut self) {
        self.shapes.clear();
        self.kinds.clear();
        self.update_mean_kind_factor();
    }

    /// Returns how far estimates were off over all queues.
    #[must_use]
    pub fn total_errors(&self) -> EstimateErrors {
        self.errors.values().fold(EstimateErrors::default(), |sum, errors| EstimateErrors {
            end_count: sum.end_count + errors.end_count,
            declared_deviation_sum: sum.declared_deviation_sum + errors.declared_deviation_sum,
            median_deviation_sum: sum.median_deviation_sum + errors.median_deviation_sum,
            within_p90_count: sum.within_p90_count + errors.within_p90_count,
            within_declared_count: sum.within_declared_count + errors.within_declared_count,
        })
    }

    /// Takes over a shape that an earlier holder learned, unless it is known already.
    pub fn adopt_shape(&mut self, key: ShapeKey, sketch: RatioSketch) {
        if self.shapes.len() < MAX_SHAPES {
            self.shapes.entry(key).or_insert_with(|| ShapeRow::new(sketch));
        }
    }

    /// Takes over a kind of host that an earlier holder learned, unless it is known already.
    pub fn adopt_kind(&mut self, kind: Arc<str>, row: KindRow) {
        if self.kinds.len() < MAX_HOST_KINDS {
            self.kinds.entry(kind).or_insert(row);
            self.update_mean_kind_factor();
        }
    }
}

/// Returns the own factor of a host from the ratios of its latest ends, as a binary logarithm.
///
/// It is 0 for a host whose runs take as long as its kind suggests, within the spread of tasks.
#[must_use]
pub fn host_deviation(ratios: &RecentRatios) -> f32 {
    let median = ratios.median().filter(|_| ratios.sample_count() >= MIN_HOST_SAMPLES);
    median.filter(|median| median.abs() >= MIN_HOST_DEVIATION).unwrap_or_default()
}
