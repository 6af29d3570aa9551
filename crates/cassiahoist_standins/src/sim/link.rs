//! Link of a daemon's machine, on which orders to hosts queue up.

/// Time for which orders wait on a link at most, in milliseconds.
const MAX_QUEUE_MS: u64 = 2_000;

/// Link on which each order takes some time while the link is slow.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    slow_until_ms: u64,
    /// Time that each order takes while the link is slow, in milliseconds.
    order_ms: u64,
    /// When the last queued order has left, in milliseconds.
    free_at_ms: u64,
}

impl Link {
    /// Slows down the link until a time; each order takes `order_ms`.
    pub(super) fn slow_down(&mut self, until_ms: u64, order_ms: u64) {
        self.slow_until_ms = until_ms;
        self.order_ms = order_ms;
    }

    /// Queues an order and returns how long it takes to leave, in milliseconds.
    ///
    /// `None` if the queue is full; the order is lost then.
    pub(super) fn queue_order(&mut self, now_ms: u64) -> Option<u64> {
        let order_ms = if now_ms < self.slow_until_ms { self.order_ms } else { 0 };
        let free_at_ms = self.free_at_ms.max(now_ms) + order_ms;
        if free_at_ms > now_ms + MAX_QUEUE_MS {
            return None;
        }
        self.free_at_ms = free_at_ms;
        Some(free_at_ms - now_ms)
    }
}
