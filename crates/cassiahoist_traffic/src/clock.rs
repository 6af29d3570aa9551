//! The process's monotonic and wall clocks.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// Reading of the clock at its creation, in milliseconds. It is above 0, so that 0 can mean never.
const START_MS: u64 = 1_000;

/// Measures monotonic milliseconds, independent of changes of the wall clock.
///
/// Includes time in which the machine was suspended, so that ages and deadlines stay correct after a suspension.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    start: Duration,
}

/// Returns the time since the machine booted, suspension included. Zero if the clock can't be read.
fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}

impl MonotonicClock {
    /// Creates a clock that starts now.
    #[must_use]
    pub fn new() -> Self {
        Self { start: since_boot() }
    }

    /// Returns the current time of this clock, in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        START_MS + since_boot().saturating_sub(self.start).as_millis() as u64
    }

    /// Returns the time left until `at_ms` of this clock; zero if that has passed.
    #[must_use]
    pub fn duration_until(&self, at_ms: u64) -> Duration {
        Duration::from_millis(at_ms.saturating_sub(self.now_ms()))
    }

    /// Returns the wall-clock time, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn unix_ms() -> u64 {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        unix.as_millis() as u64
    }
}

impl Default for MonotonicClock {
    fn default() -> Self {
        Self::new()
    }
}
