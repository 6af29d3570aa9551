//! Amounts of processor, memory and accelerators.

use serde::{Deserialize, Serialize};

/// Amount of each resource that a host has or a task needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// Processor, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in mebibytes.
    pub memory_mib: u64,
    /// Number of whole accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Creates an amount from thousandths of a core, mebibytes and whole accelerators.
    #[must_use]
    pub fn new(cpu_milli: u64, memory_mib: u64, accelerators: u32) -> Self {
        Self { cpu_milli, memory_mib, accelerators }
    }

    /// Returns whether `available` has enough of every resource for this amount.
    #[must_use]
    pub fn fits_within(&self, available: &Self) -> bool {
        self.cpu_milli <= available.cpu_milli
            && self.memory_mib <= available.memory_mib
            && self.accelerators <= available.accelerators
    }

    /// Returns the sum of both amounts, saturating at the maximum.
    #[must_use]
    pub fn saturating_add(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the difference of both amounts, saturating at 0.
    #[must_use]
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns a share of this amount, in percent, each resource rounded down.
    #[must_use]
    pub fn scale_percent(&self, percent: u8) -> Self {
        let share = |amount: u64| amount.saturating_mul(u64::from(percent)) / 100;
        Self {
            cpu_milli: share(self.cpu_milli),
            memory_mib: share(self.memory_mib),
            accelerators: share(u64::from(self.accelerators)) as u32,
        }
    }

    /// Returns how many times this amount fits within `available`; `u32::MAX` for an amount of nothing.
    #[must_use]
    pub fn count_within(&self, available: &Self) -> u32 {
        let dimensions = [
            (available.cpu_milli, self.cpu_milli),
            (available.memory_mib, self.memory_mib),
            (u64::from(available.accelerators), u64::from(self.accelerators)),
        ];
        let counts = dimensions.iter().filter(|(_, needed)| *needed > 0);
        let counts = counts.map(|(available, needed)| (available / needed).min(u64::from(u32::MAX)) as u32);
        counts.min().unwrap_or(u32::MAX)
    }

    /// Returns this amount a number of times, saturating at the maximum.
    #[must_use]
    pub fn times(&self, count: u32) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_mul(u64::from(count)),
            memory_mib: self.memory_mib.saturating_mul(u64::from(count)),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Returns the larger amount of each resource.
    #[must_use]
    pub fn component_max(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the smaller amount of each resource.
    #[must_use]
    pub fn component_min(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.min(other.cpu_milli),
            memory_mib: self.memory_mib.min(other.memory_mib),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns the largest share of `total` that this amount takes of any resource.
    ///
    /// 1 means all of it; the result may exceed 1. A resource of which `total` has none counts as 0. Dominant
    /// share after Ghodsi et al., "Dominant Resource Fairness", NSDI 2011.
    #[must_use]
    pub fn dominant_share(&self, total: &Self) -> f64 {
        let share = |part: u64, whole: u64| {
            if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
        };
        share(self.cpu_milli, total.cpu_milli)
            .max(share(self.memory_mib, total.memory_mib))
            .max(share(u64::from(self.accelerators), u64::from(total.accelerators)))
    }
}
