//! Processor of a daemon's machine, on which ticks take time by the work that they do.

/// Processor time of a tick without work, in nanoseconds on a whole core.
const TICK_NS: u64 = 20_000;

/// Processor time of a message that a tick receives, in nanoseconds, with its transport.
const EVENT_NS: u64 = 10_000;

/// Processor time of an effect that a tick emits, in nanoseconds, with its transport.
const EFFECT_NS: u64 = 12_000;

/// Processor time of a host's row that a system goes over, in nanoseconds.
const HOST_ROW_NS: u64 = 50;

/// Work of one tick.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TickWork {
    /// Messages received.
    pub events: u64,
    /// Effects emitted.
    pub effects: u64,
    /// Rows of hosts that systems went over.
    pub host_rows: u64,
}

impl TickWork {
    /// Returns the processor time of the work, in nanoseconds on a whole core.
    #[must_use]
    pub fn processor_ns(&self) -> u64 {
        TICK_NS + self.events * EVENT_NS + self.effects * EFFECT_NS + self.host_rows * HOST_ROW_NS
    }
}

/// Share of a core that does one tick after the other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Processor {
    /// Thousandths of a core; `None` if work takes no time.
    cpu_milli: Option<u32>,
    busy_until_ms: u64,
}

impl Processor {
    /// Creates an idle processor with a share of a core; without a share, work takes no time.
    #[must_use]
    pub fn new(cpu_milli: Option<u32>) -> Self {
        Self { cpu_milli, busy_until_ms: 0 }
    }

    /// Begins the work of a tick; [`Self::is_busy`] returns true until it is done.
    ///
    /// Parts of a millisecond are dropped.
    pub fn begin(&mut self, work: &TickWork, now_ms: u64) {
        let Some(cpu_milli) = self.cpu_milli else { return };
        // Nanoseconds on a whole core, divided by thousandths of a core, are microseconds.
        let took_us = work.processor_ns() / u64::from(cpu_milli.max(1));
        self.busy_until_ms = now_ms + took_us / 1_000;
    }

    /// Returns whether the work of the last tick is not done yet.
    #[must_use]
    pub fn is_busy(&self, now_ms: u64) -> bool {
        now_ms < self.busy_until_ms
    }
}
