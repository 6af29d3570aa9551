//! Faults, their injection and the record of when they were active.

use cassiahoist_core::prelude::*;
use cassiahoist_world::event::Event;
use rand::Rng;
use rand::rngs::SmallRng;

use super::islands::IslandCut;
use super::{Scenario, Simulation};
use crate::host::HostHealth;
use crate::platform::{LateOrders, TIME_ZERO_UNIX_MS};

/// Injected misbehaviour of the store and of the paths to hosts.
///
/// The default has none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StoreHealth {
    /// Whether no call reaches the store.
    pub unresponsive: bool,
    /// Time added to each call, in milliseconds.
    pub added_latency_ms: u64,
    /// Probability that a reply is lost, from 0 to 1.
    pub reply_loss_probability: f64,
    /// Greatest delay before calls with a lost reply take effect, in milliseconds.
    ///
    /// 0 for none.
    pub max_effect_delay_ms: u64,
    /// Probability that an order to a host is late, from 0 to 1.
    ///
    /// It takes effect after a delay and its reply is lost.
    pub late_order_probability: f64,
}

/// A fault to inject, or a planned change.
///
/// A `usize` numbers a daemon or host, modulo their count; a `u64` is a duration in milliseconds, unless said
/// otherwise.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Kills the holder's process, which restarts after a time.
    KillHolder(u64),
    /// Kills a daemon's process, which restarts after a time.
    KillDaemon(usize, u64),
    /// Kills every daemon's process; all restart after a time.
    KillAllDaemons(u64),
    /// Pauses the holder's process for a time.
    PauseHolder(u64),
    /// Pauses a daemon's process for a time.
    PauseDaemon(usize, u64),
    /// Cuts a daemon off from its peers for a time.
    CutDaemonFromPeers(usize, u64),
    /// Cuts the holder off from the store for a time.
    CutHolderFromStore(u64),
    /// Cuts the holder off together with some hosts, which only it reaches then; it does not reach the store.
    ///
    /// This ends earlier cuts.
    IsolateHolder {
        /// Number of the first host, modulo their count.
        first_host: usize,
        /// Number of hosts from there on, as far as there are more.
        host_count: usize,
        /// Length of the cut, in milliseconds.
        for_ms: u64,
        /// Whether the connections between daemons stay open.
        keeps_peers: bool,
    },
    /// Cuts the holder off together with daemons and hosts, beside earlier cuts.
    CutOff(IslandCut),
    /// Kills the process of the holder outside of all islands, which restarts after a time.
    KillOuterHolder(u64),
    /// Pauses the process of the holder outside of all islands for a time.
    PauseOuterHolder(u64),
    /// Pauses the process of the holder on an island for a time.
    PauseIslandHolder(u64),
    /// Cuts a daemon off from the store for a time.
    CutDaemonFromStore(usize, u64),
    /// Slows down the link of the holder's machine.
    ///
    /// The first number is the duration, the second the time that each order to a host takes on the link. Orders wait
    /// for earlier ones, and still reach their hosts after their timeouts.
    SlowHolderLink(u64, u64),
    /// Asks the holder to stop, as a planned shutdown does.
    StopHolder,
    /// Changes the misbehaviour of the store.
    SetStoreHealth(StoreHealth),
    /// Gives all leases of the store their full time again.
    ExtendLeases,
    /// Expires all leases of the store.
    ExpireLeases,
    /// Drops the history of the store.
    CompactHistory,
    /// Restarts a host, which loses its runs.
    RestartHost(usize),
    /// Crashes a host, which refuses connections for a time and is back then.
    CrashHost(usize, u64),
    /// Changes a host's capacity while it runs: its processors, in thousandths of a core.
    ResizeHost(usize, u64),
    /// Restarts a host, whose entry follows after a time.
    RestartHostUnannounced(usize, u64),
    /// Makes a host unreachable for a time.
    MakeHostUnreachable(usize, u64),
    /// Delays the orders that are sent to a host within a time, and loses their answers.
    ///
    /// The first duration is that time, the second the delay after which each of them takes effect.
    DelayOrders(usize, u64, u64),
    /// Changes the misbehaviour of a host.
    SetHostHealth(usize, HostHealth),
    /// Marks a host as draining.
    DrainHost(usize),
    /// Writes an unreadable host entry, as a foreign writer might.
    UnreadableHostEntry,
    /// Replaces the host roster by a value that no daemon can read.
    UnreadableRoster,
    /// Removes a host's entry, as when it leaves; its process goes on and answers.
    DeregisterHost(usize),
    /// Writes the entry of a host again, as when it joins.
    RegisterHost(usize),
    /// Writes a configuration with the version given.
    WriteConfig(u64),
}

/// Time for which an ended fault still excuses violations, in milliseconds.
const RECOVERY_MS: u64 = 3_000;

/// Record of injected faults.
#[derive(Clone, Debug, Default)]
pub(super) struct FaultHistory {
    /// Times of injection, in milliseconds.
    injected_ms: Vec<u64>,
    /// Start and end of each fault, in milliseconds.
    active_spans: Vec<(u64, u64)>,
    /// Time since which the store has misbehaved, in milliseconds; `None` while it works.
    store_faulty_since_ms: Option<u64>,
}

impl FaultHistory {
    fn record(&mut self, fault: &Fault, now_ms: u64) {
        if matches!(fault, Fault::WriteConfig(_) | Fault::UnreadableHostEntry) {
            return;
        }
        self.injected_ms.push(now_ms);
        let for_ms = match fault {
            Fault::KillHolder(for_ms)
            | Fault::KillDaemon(_, for_ms)
            | Fault::KillAllDaemons(for_ms)
            | Fault::PauseHolder(for_ms)
            | Fault::PauseDaemon(_, for_ms)
            | Fault::CutDaemonFromPeers(_, for_ms)
            | Fault::CutHolderFromStore(for_ms)
            | Fault::CrashHost(_, for_ms)
            | Fault::RestartHostUnannounced(_, for_ms)
            | Fault::SlowHolderLink(for_ms, _)
            | Fault::CutDaemonFromStore(_, for_ms)
            | Fault::MakeHostUnreachable(_, for_ms)
            | Fault::KillOuterHolder(for_ms)
            | Fault::PauseOuterHolder(for_ms)
            | Fault::PauseIslandHolder(for_ms)
            | Fault::CutOff(IslandCut { for_ms, .. })
            | Fault::IsolateHolder { for_ms, .. } => *for_ms,
            Fault::DelayOrders(_, for_ms, delay_ms) => for_ms + delay_ms,
            Fault::SetStoreHealth(health) if *health == StoreHealth::default() => {
                let since_ms = self.store_faulty_since_ms.take().unwrap_or(now_ms);
                self.active_spans.push((since_ms, now_ms));
                return;
            }
            Fault::SetStoreHealth(_) => {
                self.store_faulty_since_ms.get_or_insert(now_ms);
                return;
            }
            Fault::DrainHost(_) | Fault::DeregisterHost(_) | Fault::ResizeHost(..) => return,
            _ => 0,
        };
        self.active_spans.push((now_ms, now_ms + for_ms));
    }

    /// Returns whether a fault was injected within `window_ms` of a time in milliseconds.
    pub(super) fn injected_within(&self, at_ms: u64, window_ms: u64) -> bool {
        self.injected_ms.iter().any(|injected_ms| at_ms.abs_diff(*injected_ms) < window_ms)
    }

    /// Returns whether no fault was active at a time in milliseconds or shortly before.
    pub(super) fn is_fault_free(&self, at_ms: u64) -> bool {
        let store_faulty = self.store_faulty_since_ms.is_some_and(|since_ms| at_ms >= since_ms);
        !store_faulty
            && !self
                .active_spans
                .iter()
                .any(|(from_ms, until_ms)| at_ms >= *from_ms && at_ms < until_ms + RECOVERY_MS)
    }
}

impl Simulation {
    /// Injects the faults whose time has come.
    pub(super) fn inject_due_faults(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<Fault> = self
            .scenario
            .faults
            .extract_if(.., |(at_ms, _)| now_ms >= *at_ms)
            .map(|(_, fault)| fault)
            .collect();
        for fault in due {
            self.fault_history.record(&fault, now_ms);
            self.inject(fault);
        }
    }

    fn inject(&mut self, fault: Fault) {
        let now_ms = self.now_ms;
        let hosts = self.platform.registered_hosts.len();
        match fault {
            Fault::KillHolder(down_ms) => self.kill(self.holder(), down_ms),
            Fault::KillOuterHolder(down_ms) => self.kill(self.holder_by_side(false), down_ms),
            Fault::KillDaemon(daemon, down_ms) => self.kill(Some(daemon % self.daemons.len()), down_ms),
            Fault::KillAllDaemons(down_ms) => {
                for daemon in 0..self.daemons.len() {
                    let restart_at_ms = now_ms + down_ms + self.draw_start_delay_ms();
                    self.kill_daemon(daemon, restart_at_ms);
                }
            }
            Fault::PauseHolder(for_ms) => self.pause(self.holder(), for_ms),
            Fault::PauseOuterHolder(for_ms) => self.pause(self.holder_by_side(false), for_ms),
            Fault::PauseIslandHolder(for_ms) => self.pause(self.holder_by_side(true), for_ms),
            Fault::PauseDaemon(daemon, for_ms) => self.pause(Some(daemon % self.daemons.len()), for_ms),
            Fault::CutDaemonFromPeers(daemon, for_ms) => {
                let daemon = daemon % self.daemons.len();
                self.daemons[daemon].cut_from_peers_until_ms = now_ms + for_ms;
            }
            Fault::CutHolderFromStore(for_ms) => {
                if let Some(holder) = self.holder() {
                    self.daemons[holder].store_unreachable_until_ms = now_ms + for_ms;
                }
            }
            Fault::IsolateHolder { first_host, host_count, for_ms, keeps_peers } => {
                let first_host = first_host % hosts;
                let island_hosts = (first_host..(first_host + host_count).min(hosts)).collect();
                self.isolate_holder(island_hosts, now_ms + for_ms, keeps_peers);
            }
            Fault::CutOff(cut) => self.cut_off(&cut),
            Fault::SlowHolderLink(for_ms, order_ms) => {
                if let Some(holder) = self.holder() {
                    self.daemons[holder].link.slow_down(now_ms + for_ms, order_ms);
                }
            }
            Fault::CutDaemonFromStore(daemon, for_ms) => {
                let daemon = daemon % self.daemons.len();
                self.daemons[daemon].store_unreachable_until_ms = now_ms + for_ms;
            }
            Fault::StopHolder => {
                if let Some(holder) = self.holder() {
                    let daemon_started_unix_ms = self.daemons[holder].started_unix_ms;
                    self.deliver(holder, daemon_started_unix_ms, Event::StopRequested, 0);
                }
            }
            Fault::SetStoreHealth(health) => self.store_health = health,
            Fault::ExtendLeases => self.platform.store.extend_all_leases(now_ms),
            Fault::ExpireLeases => self.platform.store.expire_all_leases(),
            Fault::CompactHistory => self.platform.store.compact(),
            Fault::WriteConfig(version) => self.platform.write_config(version, now_ms),
            Fault::UnreadableHostEntry => self.platform.store.put("servers/orphan", "bm8ganNvbg==".into()),
            Fault::UnreadableRoster => self.platform.store.put("hoist/hosts/0", "bm8ganNvbg==".into()),
            Fault::DeregisterHost(host) => self.platform.deregister_host(host % hosts, now_ms),
            Fault::RegisterHost(host) => self.platform.register_host(host % hosts, now_ms),
            Fault::RestartHost(host) => self.restart_host(host % hosts, 0),
            Fault::CrashHost(host, down_ms) => {
                self.platform.crash_host(host % hosts, down_ms, now_ms);
            }
            Fault::ResizeHost(host, cpu_milli) => {
                let registered = &mut self.platform.registered_hosts[host % hosts];
                let capacity = Resources { cpu_milli, ..registered.host.capacity };
                registered.host.resize(capacity, now_ms);
                self.platform.write_host_entry(host % hosts, now_ms);
            }
            Fault::RestartHostUnannounced(host, entry_delay_ms) => {
                self.restart_host(host % hosts, entry_delay_ms);
            }
            Fault::MakeHostUnreachable(host, for_ms) => {
                self.platform.registered_hosts[host % hosts].unreachable_until_ms = now_ms + for_ms;
            }
            Fault::DelayOrders(host, for_ms, delay_ms) => {
                self.platform.registered_hosts[host % hosts].late_orders =
                    Some(LateOrders { until_ms: now_ms + for_ms, delay_ms });
            }
            Fault::SetHostHealth(host, health) => self.platform.set_host_health(host % hosts, health, now_ms),
            Fault::DrainHost(host) => {
                self.platform.registered_hosts[host % hosts].draining = true;
                self.platform.write_host_entry(host % hosts, now_ms);
            }
        }
    }
}

impl Simulation {
    fn kill(&mut self, daemon: Option<usize>, down_ms: u64) {
        if let Some(daemon) = daemon {
            self.kill_daemon(daemon, self.now_ms + down_ms);
        }
    }

    fn pause(&mut self, daemon: Option<usize>, for_ms: u64) {
        if let Some(daemon) = daemon {
            self.daemons[daemon].paused_until_ms = self.now_ms + for_ms;
        }
    }

    fn restart_host(&mut self, host: usize, entry_delay_ms: u64) {
        let (platform, now_ms) = (&mut self.platform, self.now_ms);
        platform.registered_hosts[host].starts_at_ms = None;
        platform.registered_hosts[host].host.restart(TIME_ZERO_UNIX_MS + now_ms, now_ms, &mut platform.trace);
        platform.registered_hosts[host].entry_due_ms = Some(now_ms + entry_delay_ms);
        platform.write_due_entries(now_ms);
        let address = platform.registered_hosts[host].address.clone();
        self.fail_host_calls(&address);
    }
}

/// Draws one to five faults of a scenario.
///
/// About half of them come within 400 ms of the one before.
pub(super) fn draw_faults(scenario: &mut Scenario, rng: &mut SmallRng) {
    let count = rng.random_range(1..=5);
    let mut at_ms = rng.random_range(4_000..8_000);
    for _ in 0..count {
        scenario.faults.push((at_ms, draw_fault(rng)));
        // A store that misbehaves recovers later.
        if let Some((_, Fault::SetStoreHealth(_))) = scenario.faults.last() {
            scenario
                .faults
                .push((at_ms + rng.random_range(500..6_000), Fault::SetStoreHealth(StoreHealth::default())));
        }
        if let Some((_, Fault::SetHostHealth(host, _))) = scenario.faults.last().copied() {
            let recovered_ms = at_ms + rng.random_range(1_000..6_000);
            scenario.faults.push((recovered_ms, Fault::SetHostHealth(host, HostHealth::Healthy)));
        }
        at_ms += if rng.random_bool(0.5) { rng.random_range(0..400) } else { rng.random_range(0..5_000) };
    }
}

/// Draws up to two slow-downs of the holder's link.
pub(super) fn draw_slow_links(scenario: &mut Scenario, rng: &mut SmallRng) {
    for _ in 0..rng.random_range(0..=2) {
        let fault = Fault::SlowHolderLink(rng.random_range(1_000..8_000), rng.random_range(10..150));
        scenario.faults.push((rng.random_range(4_000..14_000), fault));
    }
}

/// Replaces drawn configuration writes and drains by planned ones.
///
/// These write increasing versions and drain one host.
pub(super) fn draw_planned_changes(scenario: &mut Scenario, rng: &mut SmallRng) {
    // At most one host drains: with three of a pool draining, the advice service may find no remaining host
    // eligible for a step.
    scenario.faults.retain(|(_, fault)| !matches!(fault, Fault::WriteConfig(_) | Fault::DrainHost(_)));
    let mut version = 1;
    let mut at_ms = rng.random_range(4_000..6_000);
    while at_ms < 4_000 + scenario.traffic_ms {
        version += rng.random_range(1..4);
        scenario.faults.push((at_ms, Fault::WriteConfig(version)));
        at_ms += rng.random_range(50..6_000);
    }
    scenario.faults.push((rng.random_range(5_000..12_000), Fault::DrainHost(rng.random_range(0..64))));
}

/// Draws faults of daemons that may relay start orders for the holder.
pub(super) fn draw_relay_faults(scenario: &mut Scenario, rng: &mut SmallRng) {
    for _ in 0..rng.random_range(1..=4) {
        let (daemon, for_ms) = (rng.random_range(0..64), rng.random_range(200..5_000));
        let fault = match rng.random_range(0..4) {
            0 => Fault::KillDaemon(daemon, for_ms),
            1 => Fault::PauseDaemon(daemon, for_ms),
            2 => Fault::CutDaemonFromPeers(daemon, for_ms),
            _ => Fault::CutDaemonFromStore(daemon, for_ms),
        };
        scenario.faults.push((rng.random_range(5_000..15_000), fault));
    }
}

fn draw_fault(rng: &mut SmallRng) -> Fault {
    let for_ms = rng.random_range(200..8_000);
    let host = rng.random_range(0..64);
    let health = StoreHealth::default();
    match rng.random_range(0..18) {
        0 | 1 => Fault::KillHolder(for_ms),
        2 => Fault::KillDaemon(host, for_ms),
        3 => Fault::KillAllDaemons(for_ms.min(2_000)),
        4 => Fault::PauseHolder(for_ms),
        5 if rng.random_bool(0.5) => Fault::CutHolderFromStore(for_ms),
        5 => Fault::CutDaemonFromStore(host, for_ms),
        6 => Fault::StopHolder,
        7 => Fault::SetStoreHealth(StoreHealth { unresponsive: true, ..health }),
        8 => Fault::SetStoreHealth(StoreHealth { added_latency_ms: rng.random_range(50..400), ..health }),
        9 => Fault::SetStoreHealth(StoreHealth { reply_loss_probability: 0.3, ..health }),
        10 => Fault::SetStoreHealth(StoreHealth {
            reply_loss_probability: 0.3,
            max_effect_delay_ms: 4_000,
            ..health
        }),
        11 => Fault::SetStoreHealth(StoreHealth { late_order_probability: 0.06, ..health }),
        12 => Fault::ExpireLeases,
        13 => Fault::CompactHistory,
        14 => Fault::RestartHost(host),
        15 => Fault::MakeHostUnreachable(host, for_ms),
        16 => match rng.random_range(0..3) {
            0 => Fault::SetHostHealth(host, HostHealth::FailsRuns),
            1 => Fault::SetHostHealth(host, HostHealth::StallsRuns),
            _ => Fault::SetHostHealth(host, HostHealth::RefusesStarts),
        },
        _ => match rng.random_range(0..3) {
            0 => Fault::DrainHost(host),
            1 => Fault::UnreadableHostEntry,
            _ => Fault::WriteConfig(rng.random_range(2..50)),
        },
    }
}
