//! Link of a daemon's machine, on which orders to hosts and calls to the store queue up.

use super::machine::Machine;

/// Time for which messages wait on a link at most, in milliseconds.
const MAX_QUEUE_MS: u64 = 2_000;

/// Bytes that a message takes beside its body.
const OVERHEAD_BYTES: u64 = 300;

/// Link on which messages take time by their bytes, and each order some more while the link is slow.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    /// Bytes that leave in one millisecond; `None` for any number.
    bytes_per_ms: Option<u64>,
    slow_until_ms: u64,
    /// Time that each order takes while the link is slow, in milliseconds.
    order_ms: u64,
    /// When the last queued message has left, in microseconds.
    free_at_us: u64,
}

impl Link {
    /// Creates the idle link of a machine.
    #[must_use]
    pub(super) fn new(machine: &Machine) -> Self {
        let limits = machine.limits.filter(|_| machine.has_narrow_link);
        Self { bytes_per_ms: limits.map(|limits| u64::from(limits.link_mbps) * 125), ..Self::default() }
    }

    /// Slows down the link until a time; each order takes `order_ms`.
    pub(super) fn slow_down(&mut self, until_ms: u64, order_ms: u64) {
        self.slow_until_ms = until_ms;
        self.order_ms = order_ms;
    }

    /// Queues an order and returns how long it takes to leave, in milliseconds.
    ///
    /// `None` if the queue is full; the order is lost then.
    pub(super) fn queue_order(&mut self, body_bytes: usize, now_ms: u64) -> Option<u64> {
        let order_ms = if now_ms < self.slow_until_ms { self.order_ms } else { 0 };
        self.queue(order_ms * 1_000 + self.transmission_us(body_bytes), now_ms)
    }

    /// Queues a call to the store and returns how long it takes to leave, in milliseconds.
    ///
    /// `None` if the queue is full; the call is lost then.
    pub(super) fn queue_store_call(&mut self, body_bytes: usize, now_ms: u64) -> Option<u64> {
        match self.bytes_per_ms {
            Some(_) => self.queue(self.transmission_us(body_bytes), now_ms),
            None => Some(0),
        }
    }

    /// Returns how long a message takes on the link, in microseconds.
    fn transmission_us(&self, body_bytes: usize) -> u64 {
        self.bytes_per_ms
            .map_or(0, |bytes_per_ms| (body_bytes as u64 + OVERHEAD_BYTES) * 1_000 / bytes_per_ms)
    }

    fn queue(&mut self, took_us: u64, now_ms: u64) -> Option<u64> {
        let free_at_us = self.free_at_us.max(now_ms * 1_000) + took_us;
        let queued_ms = (free_at_us - now_ms * 1_000).div_ceil(1_000);
        if queued_ms > MAX_QUEUE_MS {
            return None;
        }
        self.free_at_us = free_at_us;
        Some(queued_ms)
    }
}
