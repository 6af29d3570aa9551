//! Scenarios in which the holder's link carries little more than its work needs.

use cassiahoist_core::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::callers::Burst;
use super::faults::Fault;
use super::machine::Machine;
use super::{Scenario, TRAFFIC_START_MS};

/// Number of daemons.
const DAEMONS: usize = 6;

/// Mean time between submissions outside bursts, in milliseconds.
const MEAN_JOB_INTERVAL_MS: u64 = 150;

/// Longest argument that the platform accepts, less the name of a job, in bytes.
const MAX_ARGUMENT_BYTES: usize = 3_900;

impl Scenario {
    /// Draws the scenario of a seed with a narrow link of the holder.
    ///
    /// Two bursts fill the link with start orders. Polls and calls to the store share it. The holder may die after the first.
    #[must_use]
    pub fn narrow(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let hosts = rng.random_range(60..=120);
        let link_mbps = rng.random_range(2..=3);
        let limits = MachineLimits { cpu_milli: 1_000, link_mbps };
        let mut draw_burst = |at_ms| Burst {
            at_ms,
            for_ms: rng.random_range(100..600),
            jobs: link_mbps * rng.random_range(15..30),
        };
        let bursts = vec![draw_burst(TRAFFIC_START_MS + 500), draw_burst(TRAFFIC_START_MS + 7_000)];
        let killed_ms = TRAFFIC_START_MS + rng.random_range(1_000..4_000);
        let faults =
            if rng.random_bool(0.5) { vec![(killed_ms, Fault::KillHolder(3_000))] } else { Vec::new() };
        Self {
            daemons: DAEMONS,
            hosts,
            mean_job_interval_ms: MEAN_JOB_INTERVAL_MS,
            faults,
            machines: vec![Machine::new(limits).with_narrow_link(); DAEMONS],
            bursts,
            max_argument_bytes: MAX_ARGUMENT_BYTES,
            ..Self::default()
        }
    }
}
