//! Scenarios of misfortunes that overlap: restarts that are announced late, late orders, silence and changes of the holder.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::faults::{Fault, StoreHealth};
use super::{Scenario, TRAFFIC_START_MS};
use crate::workload::Workload;

/// Number of hosts, all of which a misfortune may concern.
const HOSTS: usize = 8;

impl Scenario {
    /// Draws the scenario of a seed in which several misfortunes overlap.
    #[must_use]
    pub fn misfortunes(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let workload = if rng.random_bool(0.5) { Workload::Plain } else { Workload::Copies };
        let mut faults = Vec::new();
        let mut at_ms = TRAFFIC_START_MS + rng.random_range(1_000..5_000);
        for _ in 0..rng.random_range(3..=6) {
            draw_misfortune(&mut faults, at_ms, &mut rng);
            at_ms += rng.random_range(0..2_500);
        }
        Self { hosts: HOSTS, workload, faults, ..Self::default() }
    }
}

fn draw_misfortune(faults: &mut Vec<(u64, Fault)>, at_ms: u64, rng: &mut SmallRng) {
    let first_host = rng.random_range(0..HOSTS);
    let hosts = first_host..first_host + rng.random_range(1..=HOSTS);
    match rng.random_range(0..6) {
        0 | 1 => {
            let entry_delay_ms = rng.random_range(0..400);
            let late_ms = rng.random_range(20..300);
            let delay_ms = rng.random_range(500..5_000);
            for host in hosts {
                faults.push((at_ms, Fault::RestartHostUnannounced(host, entry_delay_ms)));
                faults.push((at_ms, Fault::DelayOrders(host, late_ms, delay_ms)));
            }
        }
        2 => {
            let silent_ms = rng.random_range(300..4_500);
            faults.extend(hosts.map(|host| (at_ms, Fault::MakeHostUnreachable(host, silent_ms))));
        }
        3 => {
            let delay_ms = rng.random_range(500..6_000);
            faults.extend(hosts.map(|host| (at_ms, Fault::DelayOrders(host, 300, delay_ms))));
            faults.push((at_ms + rng.random_range(0..300), draw_holder_change(rng)));
        }
        4 => {
            let health = if rng.random_bool(0.5) {
                StoreHealth { unresponsive: true, ..StoreHealth::default() }
            } else {
                StoreHealth {
                    reply_loss_probability: 0.3,
                    max_effect_delay_ms: 4_000,
                    ..StoreHealth::default()
                }
            };
            faults.push((at_ms, Fault::SetStoreHealth(health)));
            let healthy_ms = at_ms + rng.random_range(300..4_000);
            faults.push((healthy_ms, Fault::SetStoreHealth(StoreHealth::default())));
        }
        _ => {
            faults.push((at_ms, Fault::UnreadableRoster));
            faults.push((at_ms, Fault::UnreadableHostEntry));
            faults.push((at_ms + rng.random_range(0..100), draw_holder_change(rng)));
            if first_host < HOSTS / 4 {
                faults.push((at_ms, Fault::DeregisterHost(first_host)));
            }
        }
    }
}

fn draw_holder_change(rng: &mut SmallRng) -> Fault {
    match rng.random_range(0..4) {
        0 => Fault::StopHolder,
        1 => Fault::PauseHolder(rng.random_range(900..6_000)),
        2 => Fault::KillAllDaemons(rng.random_range(200..2_000)),
        _ => Fault::KillHolder(rng.random_range(300..6_000)),
    }
}
