//! State of this daemon's connection to the store.

use rustc_hash::FxHashMap;

use crate::store::KeySpace;

/// State of a followed range, which is listed once and then watched.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowedRange {
    /// Revision up to which changes are known; `None` before the first listing.
    pub revision: Option<u64>,
    /// Whether a call is in flight.
    pub in_flight: bool,
    /// When to send the next call, in monotonic milliseconds.
    pub next_call_at_ms: u64,
    /// Results of calls issued before this time are ignored, in monotonic milliseconds.
    pub ignore_issued_before_ms: u64,
    /// When the range was last answered, in monotonic milliseconds.
    ///
    /// Before the first answer, when this daemon began to follow the range.
    pub last_answer_at_ms: u64,
    /// Time before which all changes of the range are known, in monotonic milliseconds; 0 before the first listing.
    ///
    /// The store answers for a moment after the call was issued, so this is when the last complete answer was asked for.
    pub confirmed_at_ms: u64,
    /// Time between the last two answers, in milliseconds. A change in the last one is at most this old.
    pub answer_gap_ms: u64,
    /// Calls that failed since the last answer.
    pub failed_calls: u32,
    /// Whether the range was logged as stale since its last answer.
    pub is_stale: bool,
}

impl FollowedRange {
    /// Discards what is known, so that the range is listed again. Ignores calls in flight.
    pub fn relist(&mut self, now_ms: u64) {
        self.revision = None;
        self.next_call_at_ms = now_ms;
        self.ignore_issued_before_ms = now_ms;
    }
}

/// State of this daemon's connection to the store, and its lease.
#[derive(Clone, Debug, Default)]
pub struct StoreConnection {
    /// When the store last answered, in monotonic milliseconds; 0 before the first answer.
    pub last_answer_at_ms: u64,
    /// Since when calls have failed without an answer between, in monotonic milliseconds. `None` after an
    /// answer.
    pub failing_since_ms: Option<u64>,
    /// Calls that have failed since then.
    pub failed_calls: u32,
    /// When the oldest call since the last answer was issued, in monotonic milliseconds.
    ///
    /// Watches do not count. `None` if no call was issued since.
    pub unanswered_since_ms: Option<u64>,
    /// Exponentially weighted mean latency of answers, without watches, in milliseconds.
    pub mean_answer_ms: f64,
    /// State of each followed range.
    pub followed_ranges: FxHashMap<KeySpace, FollowedRange>,
    /// Number of this daemon's lease; `None` before it is granted and after it ended.
    pub lease: Option<u64>,
    /// When the last successful grant or renewal was issued, in monotonic milliseconds.
    pub lease_renewed_at_ms: u64,
    /// Whether a call about the lease is in flight.
    pub lease_in_flight: bool,
    /// When to send the next call about the lease, in monotonic milliseconds.
    pub next_lease_call_at_ms: u64,
}

/// Multiple of the mean latency that a call's timeout adds to the shortest one.
const TIMEOUT_FACTOR: f64 = 8.0;

/// Shortest and longest timeout of a call, in milliseconds.
pub const TIMEOUT_BOUNDS_MS: std::ops::RangeInclusive<u64> = 300..=1_200;

/// A store that leaves calls unanswered for this long counts as unresponsive, in milliseconds.
const UNRESPONSIVE_AFTER_MS: u64 = 400;

/// Weight of a new latency in the mean.
const SMOOTHING_FACTOR: f64 = 0.2;

impl StoreConnection {
    /// Records an answer and its latency, in milliseconds.
    pub fn record_latency(&mut self, took_ms: u64) {
        self.unanswered_since_ms = None;
        self.mean_answer_ms += SMOOTHING_FACTOR * (took_ms as f64 - self.mean_answer_ms);
    }

    /// Returns the timeout for the next call, in milliseconds.
    ///
    /// An answer that takes longer counts as lost.
    #[must_use]
    pub fn call_timeout_ms(&self) -> u64 {
        let scaled_mean_ms = (self.mean_answer_ms * TIMEOUT_FACTOR) as u64;
        (TIMEOUT_BOUNDS_MS.start() + scaled_mean_ms).min(*TIMEOUT_BOUNDS_MS.end())
    }

    /// Returns whether a call made now would most likely remain unanswered.
    #[must_use]
    pub fn is_unresponsive(&self, now_ms: u64) -> bool {
        self.is_failing()
            || self.unanswered_since_ms.is_some_and(|since_ms| now_ms >= since_ms + UNRESPONSIVE_AFTER_MS)
    }

    /// Returns the time since a followed range was answered, in milliseconds; 0 if it is not followed.
    #[must_use]
    pub fn range_age_ms(&self, space: KeySpace, now_ms: u64) -> u64 {
        let range = self.followed_ranges.get(&space);
        range.map_or(0, |range| now_ms.saturating_sub(range.last_answer_at_ms))
    }

    /// Returns the greatest age of a change in the last answer for a range, in milliseconds.
    #[must_use]
    pub fn range_gap_ms(&self, space: KeySpace) -> u64 {
        self.followed_ranges.get(&space).map_or(0, |range| range.answer_gap_ms)
    }

    /// Returns whether a call has failed since the store last answered.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.failing_since_ms.is_some()
    }
}
