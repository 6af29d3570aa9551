//! Scenarios in which start orders fill the holder's link.

use cassiahoist_core::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::Scenario;
use super::faults::{draw_faults, draw_relay_faults, draw_slow_links};
use super::machine::Machine;
use crate::workload::Workload;

/// Number of daemons.
const DAEMONS: usize = 6;

/// Number of hosts.
const HOSTS: usize = 64;

/// Mean time between submissions, in milliseconds.
const MEAN_JOB_INTERVAL_MS: u64 = 45;

/// Bandwidth of each daemon's link, in megabits per second.
///
/// On a weaker one a listing whose reply is lost takes longer to time out than a day bears.
const LINK_MBPS: u32 = 3;

impl Scenario {
    /// Draws the scenario of a seed in which start orders with long arguments fill the links.
    ///
    /// Daemons that relay them are killed, paused, and cut off from each other or from the store.
    #[must_use]
    pub fn full_link(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let limits = MachineLimits { cpu_milli: 500, link_mbps: LINK_MBPS };
        let mut scenario = Self {
            daemons: DAEMONS,
            hosts: HOSTS,
            mean_job_interval_ms: MEAN_JOB_INTERVAL_MS,
            workload: Workload::Plain,
            machines: vec![Machine::new(limits); DAEMONS],
            max_argument_bytes: rng.random_range(2_500..3_900),
            ..Self::default()
        };
        draw_relay_faults(&mut scenario, &mut rng);
        if rng.random_bool(0.6) {
            draw_faults(&mut scenario, &mut rng);
        }
        if rng.random_bool(0.3) {
            draw_slow_links(&mut scenario, &mut rng);
        }
        scenario
    }
}
