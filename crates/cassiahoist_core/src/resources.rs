//! Amounts of processors, memory and accelerators.

use serde::{Deserialize, Serialize};

/// An amount of every resource that a host has or a task needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// Thousandths of a processor.
    pub cpu_milli: u64,
    /// Memory in mebibytes.
    pub memory_mib: u64,
    /// Whole accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Gives an amount.
    #[must_use]
    pub fn new(cpu_milli: u64, memory_mib: u64, accelerators: u32) -> Self {
        Self { cpu_milli, memory_mib, accelerators }
    }

    /// Tells whether this amount fits within `room`.
    #[must_use]
    pub fn fits_within(&self, room: &Self) -> bool {
        self.cpu_milli <= room.cpu_milli
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
    }

    /// Adds another amount.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Takes another amount away, down to zero.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Takes a share, in percent.
    #[must_use]
    pub fn percent(&self, percent: u8) -> Self {
        let share = |amount: u64| amount.saturating_mul(u64::from(percent)) / 100;
        Self {
            cpu_milli: share(self.cpu_milli),
            memory_mib: share(self.memory_mib),
            accelerators: share(u64::from(self.accelerators)) as u32,
        }
    }

    /// Takes the larger amount of each resource.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Gives the largest share of `total` that this amount takes of any resource, from 0 to 1 and above.
    ///
    /// Dominant share after Ghodsi et al., "Dominant Resource Fairness", NSDI 2011.
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
