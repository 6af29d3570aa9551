//! Ratios of actual to expected run times, in bounded memory.

/// Buckets per doubling of the ratio.
const BUCKETS_PER_OCTAVE: usize = 8;

/// Doublings from a ratio of 1 to the greatest and to the least ratio that are told apart.
const OCTAVES: usize = 4;

/// Number of buckets, from a ratio of 1/16 to one of 16.
const BUCKET_COUNT: usize = 2 * OCTAVES * BUCKETS_PER_OCTAVE;

/// Samples at which all counts are halved, so that recent ones decide.
const MAX_SAMPLES: u32 = 200;

/// Converts a ratio of run times to a binary logarithm within the range of a sketch.
#[must_use]
pub fn log_ratio(actual_ms: f32, expected_ms: f32) -> f32 {
    (actual_ms.max(1.0) / expected_ms.max(1.0)).log2().clamp(-(OCTAVES as f32), OCTAVES as f32)
}

/// A histogram of ratios in logarithmic buckets, in which recent samples weigh most.
///
/// Ratios are binary logarithms, see [`log_ratio`]. A bucket spans 9%.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RatioSketch {
    counts: [u8; BUCKET_COUNT],
    total: u32,
}

impl Default for RatioSketch {
    fn default() -> Self {
        Self { counts: [0; BUCKET_COUNT], total: 0 }
    }
}

impl RatioSketch {
    /// Adds a ratio.
    pub fn record(&mut self, log_ratio: f32) {
        let position = (log_ratio + OCTAVES as f32) * BUCKETS_PER_OCTAVE as f32;
        let bucket = (position.max(0.0) as usize).min(BUCKET_COUNT - 1);
        self.counts[bucket] += 1;
        self.total += 1;
        if self.total >= MAX_SAMPLES {
            self.halve();
        }
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().map(|count| u32::from(*count)).sum();
    }

    /// Returns the number of samples that it holds, older ones in part.
    #[must_use]
    pub fn sample_count(&self) -> u32 {
        self.total
    }

    /// Returns the ratio that a share of the samples does not exceed; 0 without samples.
    #[must_use]
    pub fn quantile(&self, share: f32) -> f32 {
        let wanted = share * self.total as f32;
        let mut below = 0.0;
        for (bucket, count) in self.counts.iter().enumerate() {
            let count = f32::from(*count);
            if count > 0.0 && below + count >= wanted {
                let within = ((wanted - below) / count).clamp(0.0, 1.0);
                return (bucket as f32 + within) / BUCKETS_PER_OCTAVE as f32 - OCTAVES as f32;
            }
            below += count;
        }
        0.0
    }

    /// Iterates over the buckets in use, with their counts.
    pub fn buckets(&self) -> impl Iterator<Item = (u8, u8)> {
        self.counts
            .iter()
            .enumerate()
            .filter(|(_, count)| **count > 0)
            .map(|(bucket, count)| (bucket as u8, *count))
    }

    /// Builds a sketch from buckets; those out of range are left out.
    #[must_use]
    pub fn from_buckets(buckets: impl Iterator<Item = (u8, u8)>) -> Self {
        let mut sketch = Self::default();
        for (bucket, count) in buckets {
            if let Some(slot) = sketch.counts.get_mut(usize::from(bucket)) {
                *slot = slot.saturating_add(count);
            }
        }
        sketch.total = sketch.counts.iter().map(|count| u32::from(*count)).sum();
        while sketch.total >= MAX_SAMPLES {
            sketch.halve();
        }
        sketch
    }
}

/// Number of ratios that [`RecentRatios`] keeps.
const RECENT_COUNT: usize = 7;

/// The latest few ratios, as binary logarithms.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RecentRatios {
    latest: [f32; RECENT_COUNT],
    recorded: u32,
}

impl RecentRatios {
    /// Adds a ratio, in place of the oldest one.
    pub fn record(&mut self, log_ratio: f32) {
        self.latest[self.recorded as usize % RECENT_COUNT] = log_ratio;
        self.recorded = self.recorded.saturating_add(1);
    }

    /// Returns how many ratios are kept.
    #[must_use]
    pub fn sample_count(&self) -> u32 {
        self.recorded.min(RECENT_COUNT as u32)
    }

    /// Returns whether the next ratio replaces the oldest one.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.recorded as usize >= RECENT_COUNT
    }

    /// Returns the median; `None` without ratios.
    #[must_use]
    pub fn median(&self) -> Option<f32> {
        let mut sorted = self.latest;
        let kept = &mut sorted[..self.sample_count() as usize];
        kept.sort_unstable_by(f32::total_cmp);
        let middle = kept.len() / 2;
        match kept.len() {
            0 => None,
            length if length % 2 == 1 => Some(kept[middle]),
            _ => Some(f32::midpoint(kept[middle - 1], kept[middle])),
        }
    }

    /// Forgets all ratios.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
