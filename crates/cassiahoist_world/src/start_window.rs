//! Limit of start orders without an answer, adapted to the holder's own link and processor.

/// Greatest limit, reached while answers are quick.
const MAX_OPEN_STARTS: u32 = 1_024;

/// Smallest limit. A holder that is too slow even with so few open starts is a slow one.
const MIN_OPEN_STARTS: u32 = 8;

/// Limit up to which a holder whose tasks wait is throttled.
const MAX_THROTTLED_STARTS: u32 = 2 * MIN_OPEN_STARTS;

/// Limit before the first measurement.
const INITIAL_OPEN_STARTS: u32 = 128;

/// Limit of start orders without an answer.
///
/// Orders beyond what the holder's link carries would wait in its queues, time out and be settled at the cost of further
/// orders. Tasks wait in the tables instead, where the most urgent ones go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartWindow {
    open: u32,
    limit: u32,
}

impl Default for StartWindow {
    fn default() -> Self {
        Self { open: 0, limit: INITIAL_OPEN_STARTS }
    }
}

impl StartWindow {
    /// Counts a start order that was issued.
    pub fn count_issued(&mut self) {
        self.open += 1;
    }

    /// Counts a start order that was answered or timed out.
    pub fn count_answered(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Returns the number of start orders that were issued and not answered.
    #[must_use]
    pub fn open(self) -> u32 {
        self.open
    }

    /// Returns how many orders the holder's link and processor bear at a time.
    #[must_use]
    pub fn limit(self) -> u32 {
        self.limit
    }

    /// Returns how many more start orders may be issued now.
    #[must_use]
    pub fn available(self) -> u32 {
        self.limit.saturating_sub(self.open)
    }

    /// Returns whether the limit can't be reduced further.
    #[must_use]
    pub fn is_at_minimum(self) -> bool {
        self.limit <= MIN_OPEN_STARTS
    }

    /// Returns whether at least half of the limit is in use.
    fn is_in_use(self) -> bool {
        self.open * 2 >= self.limit
    }

    /// Returns whether tasks are held back by a limit close to the smallest one.
    #[must_use]
    pub fn is_throttled(self) -> bool {
        self.limit <= MAX_THROTTLED_STARTS && self.is_in_use()
    }

    /// Halves the limit, since even the quickest answer was slow.
    pub fn shrink(&mut self) {
        self.limit = (self.limit / 2).max(MIN_OPEN_STARTS);
    }

    /// Raises the limit by half, if at least half of it is in use or it is at its minimum.
    pub fn grow(&mut self) {
        if self.is_in_use() || self.is_at_minimum() {
            self.limit = (self.limit + self.limit / 2).min(MAX_OPEN_STARTS);
        }
    }
}
