//! Machines on which the daemons of a simulation run.

use cassiahoist_core::descriptors::MIN_MAX_DESCRIPTORS;
use cassiahoist_core::prelude::*;
use rand::Rng;
use rand::rngs::SmallRng;

/// Machine of a daemon. The default has no limits, and its ticks take no time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Machine {
    /// Processor share and link, as far as they are limited.
    pub limits: Option<MachineLimits>,
    /// Descriptors that the daemon's process may have open; `None` for any number.
    pub max_descriptors: Option<usize>,
    /// Whether its link takes time for bytes, by its limits.
    pub has_narrow_link: bool,
}

impl Machine {
    /// Creates a machine whose ticks take time.
    #[must_use]
    pub fn new(limits: MachineLimits) -> Self {
        Self { limits: Some(limits), ..Self::default() }
    }

    /// Limits the descriptors of the daemon's process.
    #[must_use]
    pub fn with_max_descriptors(self, max_descriptors: usize) -> Self {
        Self { max_descriptors: Some(max_descriptors), ..self }
    }

    /// Lets the link take time for the bytes of orders and calls to the store.
    #[must_use]
    pub fn with_narrow_link(self) -> Self {
        Self { has_narrow_link: true, ..self }
    }
}

/// Draws unlike machines, of which one in five is strong, but at least one.
///
/// Processor shares and descriptors follow the number of hosts, since the holder's work and connections do.
pub(super) fn draw_machines(rng: &mut SmallRng, daemons: usize, hosts: usize) -> Vec<Machine> {
    /// Processor share of the weakest machine for each host, in thousandths of a core.
    const WEAK_CPU_MILLI_PER_HOST: f64 = 0.1;
    let first_strong = rng.random_range(0..daemons);
    (0..daemons)
        .map(|number| {
            let strong = number == first_strong || rng.random_bool(0.2);
            let factor = if strong { rng.random_range(4.0..8.0) } else { rng.random_range(1.0..2.0) };
            let limits = MachineLimits {
                cpu_milli: (hosts as f64 * WEAK_CPU_MILLI_PER_HOST * factor) as u32,
                link_mbps: if strong { 100 } else { 20 },
            };
            let descriptors_per_host =
                if strong { rng.random_range(1.0..8.0) } else { rng.random_range(0.0..3.0) };
            let max_descriptors = MIN_MAX_DESCRIPTORS + (hosts as f64 * descriptors_per_host) as usize;
            Machine::new(limits).with_max_descriptors(max_descriptors)
        })
        .collect()
}
