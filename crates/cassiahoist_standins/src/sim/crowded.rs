//! Scenarios with many hosts, daemons on unlike machines and a backlog.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::callers::Burst;
use super::faults::Fault;
use super::machine::draw_machines;
use super::{Scenario, TRAFFIC_START_MS};
use crate::workload::Workload;

/// Number of daemons.
const DAEMONS: usize = 16;

/// Mean time between submissions outside bursts, in milliseconds.
const MEAN_JOB_INTERVAL_MS: u64 = 25;

/// Time over which the starts of all daemons spread, in milliseconds.
const START_SPREAD_MS: u64 = 300;

impl Scenario {
    /// Draws the crowded scenario of a seed.
    ///
    /// All daemons lose power while the jobs of a burst wait, and another burst comes soon after they start again.
    #[must_use]
    pub fn crowded(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let hosts = rng.random_range(200..=300);
        let power_lost_ms = TRAFFIC_START_MS + rng.random_range(2_500..6_000);
        let down_ms = rng.random_range(800..1_500);
        let mut draw_burst = |at_ms| Burst {
            at_ms,
            for_ms: rng.random_range(300..1_500),
            jobs: hosts as u32 * rng.random_range(150..300) / 100,
        };
        let bursts = vec![
            draw_burst(TRAFFIC_START_MS + 500),
            draw_burst(power_lost_ms - 1_000),
            draw_burst(power_lost_ms + down_ms + 500),
        ];
        Self {
            daemons: DAEMONS,
            hosts,
            mean_job_interval_ms: MEAN_JOB_INTERVAL_MS,
            workload: Workload::Plain,
            faults: vec![(power_lost_ms, Fault::KillAllDaemons(down_ms))],
            machines: draw_machines(&mut rng, DAEMONS, hosts),
            start_spread_ms: START_SPREAD_MS,
            bursts,
            ..Self::default()
        }
    }
}
