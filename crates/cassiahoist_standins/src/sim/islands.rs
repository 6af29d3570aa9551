//! Islands: the holder and some hosts that reach each other and nothing else.

use std::ops::Range;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::faults::{Fault, StoreHealth};
use super::{Scenario, TRAFFIC_START_MS};
use crate::workload::Workload;

/// Number of hosts of a scenario with islands.
const HOSTS: usize = 12;

/// A daemon and hosts that are cut off together.
///
/// The daemon reaches these hosts only, and no other daemon reaches them. It does not reach the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Island {
    /// Number of the daemon.
    pub(super) daemon: usize,
    /// Numbers of the hosts.
    pub(super) hosts: Range<usize>,
    /// Time at which the cut heals, in milliseconds.
    pub(super) until_ms: u64,
}

impl Island {
    /// Returns whether the cut separates a daemon and a host at a time in milliseconds.
    pub(super) fn separates(&self, daemon: usize, host: usize, now_ms: u64) -> bool {
        now_ms < self.until_ms && (daemon == self.daemon) != self.hosts.contains(&host)
    }
}

impl Scenario {
    /// Draws the scenario of a seed in which the holder and some hosts are cut off, beside outages of the store, late
    /// ticks and jobs that run very many times.
    #[must_use]
    pub fn islands(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        // Queues with advice wait for more answers than others.
        let workload = if rng.random_bool(0.5) { Workload::Plain } else { Workload::Varied };
        let mut faults = Vec::new();
        let mut at_ms = TRAFFIC_START_MS + rng.random_range(1_000..5_000);
        for _ in 0..rng.random_range(1..=3) {
            draw_isolation(&mut faults, at_ms, &mut rng);
            at_ms += rng.random_range(500..7_000);
        }
        Self { hosts: HOSTS, workload, faults, series_share: 0.04, ..Self::default() }
    }
}

fn draw_isolation(faults: &mut Vec<(u64, Fault)>, at_ms: u64, rng: &mut SmallRng) {
    let isolation = Fault::IsolateHolder {
        first_host: rng.random_range(0..HOSTS),
        host_count: rng.random_range(1..=HOSTS / 2),
        for_ms: rng.random_range(1_500..9_000),
        keeps_peers: rng.random_bool(0.5),
    };
    match rng.random_range(0..5) {
        0 => faults.push((at_ms, isolation)),
        // The store is away from all daemons until just before or after the cut begins.
        1 | 2 => {
            let away_ms = rng.random_range(200..6_000);
            draw_outage(faults, at_ms, away_ms, rng);
            faults.push(((at_ms + away_ms + rng.random_range(0..800)).saturating_sub(400), isolation));
        }
        // The holder is paused before the cut and wakes within it.
        3 => {
            faults.push((at_ms, Fault::PauseHolder(rng.random_range(500..4_500))));
            faults.push((at_ms + rng.random_range(0..400), isolation));
        }
        // Late ticks while nobody can claim: the holder keeps its tables.
        _ => {
            let pause_ms = rng.random_range(1_500..4_500);
            faults.push((at_ms, Fault::PauseHolder(pause_ms)));
            let outage_at_ms = at_ms + rng.random_range(0..1_000);
            draw_outage(faults, outage_at_ms, pause_ms + rng.random_range(200..1_500), rng);
        }
    }
}

fn draw_outage(faults: &mut Vec<(u64, Fault)>, at_ms: u64, for_ms: u64, rng: &mut SmallRng) {
    let health = StoreHealth { unresponsive: true, ..StoreHealth::default() };
    faults.push((at_ms, Fault::SetStoreHealth(health)));
    if rng.random_bool(0.3) {
        faults.push((at_ms + for_ms / 2, Fault::ExpireLeases));
    }
    faults.push((at_ms + for_ms, Fault::SetStoreHealth(StoreHealth::default())));
}
