//! Scenarios of tasks that crash their hosts, beside crashes of racks and changes of the holder.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::faults::{Fault, StoreHealth};
use super::{DeadlyJobs, Scenario, Span, TRAFFIC_START_MS};
use crate::workload::Workload;

/// Number of hosts.
const HOSTS: usize = 16;

/// Number of hosts in a rack.
const RACK_HOSTS: usize = 4;

impl Scenario {
    /// Draws the scenario of a seed in which tasks of some jobs crash their hosts.
    #[must_use]
    pub fn deadly(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let workload = if rng.random_bool(0.3) { Workload::Plain } else { Workload::Copies };
        let from_ms = TRAFFIC_START_MS + rng.random_range(500..3_000);
        let until_ms = from_ms + rng.random_range(1_000..8_000);
        let deadly_jobs =
            DeadlyJobs { share: rng.random_range(0.03..0.3), span_ms: Span { from_ms, until_ms } };
        let mut faults = Vec::new();
        for _ in 0..rng.random_range(0..=4) {
            draw_fault_beside(&mut faults, from_ms + rng.random_range(0..10_000), &mut rng);
        }
        Self { hosts: HOSTS, workload, faults, deadly_jobs: Some(deadly_jobs), ..Self::default() }
    }
}

fn draw_fault_beside(faults: &mut Vec<(u64, Fault)>, at_ms: u64, rng: &mut SmallRng) {
    match rng.random_range(0..8) {
        0 | 1 => {
            let first_host = rng.random_range(0..HOSTS / RACK_HOSTS) * RACK_HOSTS;
            let down_ms = rng.random_range(500..6_000);
            faults.extend(
                (first_host..first_host + RACK_HOSTS).map(|host| (at_ms, Fault::CrashHost(host, down_ms))),
            );
        }
        2 => {
            let (host, silent_ms) = (rng.random_range(0..HOSTS), rng.random_range(500..6_000));
            faults.push((at_ms, Fault::MakeHostUnreachable(host, silent_ms)));
        }
        3 => faults.push((at_ms, Fault::KillHolder(rng.random_range(300..4_000)))),
        4 => faults.push((at_ms, Fault::PauseHolder(rng.random_range(900..4_000)))),
        5 => faults.push((at_ms, Fault::KillAllDaemons(rng.random_range(200..2_000)))),
        6 => {
            let health = StoreHealth { unresponsive: true, ..StoreHealth::default() };
            faults.push((at_ms, Fault::SetStoreHealth(health)));
            let healthy_ms = at_ms + rng.random_range(300..5_000);
            faults.push((healthy_ms, Fault::SetStoreHealth(StoreHealth::default())));
        }
        _ => {
            let host = rng.random_range(0..HOSTS);
            faults.push((at_ms, Fault::ResizeHost(host, rng.random_range(1..8) * 1_000)));
            let grown_ms = at_ms + rng.random_range(2_000..8_000);
            faults.push((grown_ms, Fault::ResizeHost(host, 16_000)));
        }
    }
}
