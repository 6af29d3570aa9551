//! Rate limit of start orders by their size, within the bandwidth of the holder's link.

/// Share of the link's bandwidth that start orders may use, in percent.
///
/// Polls, which renew the run leases of hosts, and calls to the store use the same link.
const LINK_SHARE_PERCENT: u64 = 70;

/// Longest burst of start orders, as the time that the limit takes to allow as many bytes, in milliseconds.
const MAX_BURST_MS: u64 = 50;

/// Time for which the budget is refilled before more orders are issued, in milliseconds.
///
/// Each round of placement goes over the ready steps, so that rounds for single orders would cost too much.
const MIN_REFILL_MS: u64 = 10;

/// Use of the budget from which start orders alone explain a full link, in percent.
const HEAVY_USE_PERCENT: u64 = 50;

/// Bytes of start orders that the holder's link carries, as a token bucket.
///
/// Orders beyond the bandwidth would wait in the link's queue, together with polls and renewals of the store lease, and
/// all of them would time out. The last order of a burst may exceed the budget; later ones wait until that is made up
/// for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartBudget {
    /// Bytes that may be sent now; negative after orders that exceeded the budget.
    available_bytes: i64,
    /// When the budget was last refilled, in monotonic milliseconds.
    refilled_at_ms: u64,
    /// Bytes of orders since the last measurement of the use.
    spent_bytes: u64,
    /// When the use was last measured, in monotonic milliseconds.
    measured_at_ms: u64,
    /// Whether start orders took up much of the link in the last measurement.
    heavily_used: bool,
}

/// Bytes that a link carries in one millisecond.
fn link_bytes_per_ms(link_mbps: u32) -> u64 {
    u64::from(link_mbps.max(1)) * 1_000 / 8
}

/// Bytes that the budget gains in one millisecond.
fn refill_bytes_per_ms(link_mbps: u32) -> u64 {
    link_bytes_per_ms(link_mbps) * LINK_SHARE_PERCENT / 100
}

impl StartBudget {
    /// Adds what the link carried since the last call, up to the longest burst.
    pub fn refill(&mut self, link_mbps: u32, now_ms: u64) {
        let bytes_per_ms = refill_bytes_per_ms(link_mbps);
        let elapsed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        let gained_bytes = i64::try_from(elapsed_ms.saturating_mul(bytes_per_ms)).unwrap_or(i64::MAX);
        let max_bytes = (bytes_per_ms * MAX_BURST_MS) as i64;
        self.available_bytes = self.available_bytes.saturating_add(gained_bytes).min(max_bytes);
        self.refilled_at_ms = now_ms;
    }

    /// Subtracts an order of this size, whether or not the budget allows it.
    pub fn spend(&mut self, order_bytes: u64) {
        self.available_bytes -= order_bytes as i64;
        self.spent_bytes += order_bytes;
    }

    /// Returns whether start orders took up much of the link in the last measurement.
    ///
    /// They also do while the link still carries orders that exceeded the budget.
    #[must_use]
    pub fn is_heavily_used(self) -> bool {
        self.heavily_used
    }

    /// Measures the use of the time since the last measurement.
    pub fn measure_use(&mut self, link_mbps: u32, now_ms: u64) {
        let allowed_bytes =
            now_ms.saturating_sub(self.measured_at_ms).saturating_mul(refill_bytes_per_ms(link_mbps));
        let is_heavy =
            self.spent_bytes.saturating_mul(100) >= allowed_bytes.saturating_mul(HEAVY_USE_PERCENT);
        self.heavily_used = (is_heavy && self.spent_bytes > 0) || self.is_overdrawn_at(link_mbps, now_ms);
        self.spent_bytes = 0;
        self.measured_at_ms = now_ms;
    }

    fn is_overdrawn_at(mut self, link_mbps: u32, now_ms: u64) -> bool {
        self.refill(link_mbps, now_ms);
        self.available_bytes < 0
    }

    /// Returns whether orders of this size may be issued now without exceeding the budget.
    #[must_use]
    pub fn covers(self, order_bytes: u64) -> bool {
        self.available_bytes >= order_bytes.min(i64::MAX as u64) as i64
    }

    /// Returns whether no order may be issued now.
    #[must_use]
    pub fn is_exhausted(self) -> bool {
        self.available_bytes <= 0
    }

    /// Returns the time after which enough is refilled to issue orders again, in milliseconds.
    #[must_use]
    pub fn refill_time_ms(self, link_mbps: u32) -> u64 {
        self.overdrawn_bytes() / refill_bytes_per_ms(link_mbps) + MIN_REFILL_MS
    }

    /// Returns how long the link takes for the orders that exceeded the budget, in milliseconds.
    #[must_use]
    pub fn queueing_time_ms(self, link_mbps: u32) -> u64 {
        self.overdrawn_bytes() / link_bytes_per_ms(link_mbps)
    }

    fn overdrawn_bytes(self) -> u64 {
        self.available_bytes.min(0).unsigned_abs()
    }
}
