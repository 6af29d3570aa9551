//! Summary of learned run times in the store, for the next holder.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::run_time_ratios::RatioSketch;
use crate::run_times::{KindRow, RunTimeTable, ShapeKey};

/// Version of the summary. A reader drops summaries of other versions.
pub const SUMMARY_VERSION: u32 = 1;

/// Maximum number of shapes in a summary, those with the most samples first.
const MAX_SUMMARY_SHAPES: usize = 24;

/// Largest factor of a kind of host that is read, as a power of two either way.
const MAX_STORED_FACTOR: f32 = 4.0;

/// A learned shape in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredShape {
    /// Queue of the jobs.
    pub queue: QueueName,
    /// Account of the jobs; `None` if it does not matter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<AccountName>,
    /// Image of the tasks; `None` if it does not matter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub image: Option<Arc<str>>,
    /// Whether the callers declare a run time.
    pub is_declared: bool,
    /// Buckets of the sketch that are in use, each with its count.
    pub buckets: Vec<(u8, u8)>,
}

/// A learned kind of host in the store.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StoredKind {
    /// Kind of the host.
    pub kind: Arc<str>,
    /// Factor of its run times, as a binary logarithm.
    pub raw_factor: f32,
    /// Number of ends that it rests on.
    pub sample_count: u32,
}

/// What a holder has learned of run times.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RunTimeSummary {
    /// Version of the format.
    pub version: u32,
    /// When it was written, in Unix milliseconds.
    pub written_unix_ms: u64,
    /// Shapes of tasks.
    #[serde(default)]
    pub shapes: Vec<StoredShape>,
    /// Kinds of hosts.
    #[serde(default)]
    pub kinds: Vec<StoredKind>,
}

impl RunTimeSummary {
    /// Summarizes a table at a Unix time in milliseconds.
    #[must_use]
    pub fn new(table: &RunTimeTable, unix_ms: u64) -> Self {
        let mut rows: Vec<_> = table.iter_shapes().collect();
        rows.sort_unstable_by_key(|(_, row)| u32::MAX - row.sketch.sample_count());
        let shapes = rows.into_iter().take(MAX_SUMMARY_SHAPES).map(|(key, row)| StoredShape {
            queue: key.queue.clone(),
            account: key.account.clone(),
            image: key.image.clone(),
            is_declared: key.is_declared,
            buckets: row.sketch.buckets().collect(),
        });
        let kinds = table.iter_kinds().map(|(kind, row)| StoredKind {
            kind: Arc::clone(kind),
            raw_factor: row.raw_factor,
            sample_count: row.sample_count,
        });
        Self {
            version: SUMMARY_VERSION,
            written_unix_ms: unix_ms,
            shapes: shapes.collect(),
            kinds: kinds.collect(),
        }
    }

    /// Adds to a table what the table does not know.
    ///
    /// A table whose own summary is older than this one has missed a holding, and is replaced.
    ///
    /// # Errors
    /// Returns the reason, and changes nothing, if the version is another one or a factor is no number.
    pub fn apply(&self, table: &mut RunTimeTable) -> Result<(), String> {
        if self.version != SUMMARY_VERSION {
            return Err(format!("version {}, not {SUMMARY_VERSION}", self.version));
        }
        if !self.kinds.iter().all(|kind| kind.raw_factor.abs() <= MAX_STORED_FACTOR) {
            return Err("the factor of a kind of host is out of range".into());
        }
        if self.written_unix_ms > table.summary.written_unix_ms {
            table.forget();
            table.summary.written_unix_ms = self.written_unix_ms;
        }
        for shape in &self.shapes {
            let key = ShapeKey {
                queue: shape.queue.clone(),
                account: shape.account.clone(),
                image: shape.image.clone(),
                is_declared: shape.is_declared,
            };
            table.adopt_shape(key, RatioSketch::from_buckets(shape.buckets.iter().copied()));
        }
        for kind in &self.kinds {
            let row = KindRow { raw_factor: kind.raw_factor, sample_count: kind.sample_count };
            table.adopt_kind(Arc::clone(&kind.kind), row);
        }
        Ok(())
    }
}
