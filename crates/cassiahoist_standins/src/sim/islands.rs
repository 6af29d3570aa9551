//! Islands: daemons and hosts that reach each other and nothing else.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::faults::{Fault, StoreHealth};
use super::{Scenario, Simulation, TRAFFIC_START_MS};
use crate::workload::Workload;

/// Number of hosts of a scenario with islands.
const HOSTS: usize = 12;

/// Messages that a cut around an island loses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutDirection {
    /// Those in both directions.
    Both,
    /// Those to the island; its orders arrive outside and are not answered.
    Inward,
    /// Those from the island; orders from outside arrive there and are not answered.
    Outward,
}

/// A cut of the holder, daemons and hosts from the store and from all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IslandCut {
    /// Number of daemons: the holder and those after it, modulo their count.
    pub daemon_count: usize,
    /// Number of the first host, modulo their count.
    pub first_host: usize,
    /// Number of hosts from there on, modulo their count.
    pub host_count: usize,
    /// Length of the cut, in milliseconds.
    pub for_ms: u64,
    /// Messages that are lost.
    pub direction: CutDirection,
    /// Whether the connections between daemons stay open.
    pub keeps_peers: bool,
}

/// Daemons and hosts that are cut off together.
///
/// The daemons reach these hosts only, and no other daemon reaches them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Island {
    /// Numbers of the daemons.
    pub(super) daemons: Vec<usize>,
    /// Numbers of the hosts.
    pub(super) hosts: Vec<usize>,
    /// Time at which the cut heals, in milliseconds.
    pub(super) until_ms: u64,
    /// Messages that are lost.
    pub(super) direction: CutDirection,
    /// Whether the store, which is outside, is cut off too.
    pub(super) cuts_store: bool,
    /// Whether messages to and from the other daemons are lost too.
    pub(super) cuts_peers: bool,
    /// Whether replies to calls that arrived before the cut are lost too.
    pub(super) cuts_open_calls: bool,
}

/// Fate of a call between a daemon and the store or a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CallPath {
    /// Call and reply arrive.
    Open,
    /// The call arrives, its reply is lost.
    LosesReply,
    /// The call does not arrive.
    LosesCall,
}

impl Island {
    /// Returns whether a message is lost, given whether its sender and its receiver are on the island.
    fn loses(&self, from_island: bool, to_island: bool) -> bool {
        match self.direction {
            CutDirection::Both => from_island != to_island,
            CutDirection::Inward => !from_island && to_island,
            CutDirection::Outward => from_island && !to_island,
        }
    }

    /// Returns whether a daemon, and the host or store that it calls, are on the island.
    fn sides(&self, daemon: usize, host: Option<usize>) -> (bool, bool) {
        let daemon_inside = self.daemons.contains(&daemon);
        let called_inside = match host {
            Some(host) => self.hosts.contains(&host),
            None => daemon_inside && !self.cuts_store,
        };
        (daemon_inside, called_inside)
    }

    fn loses_reply(&self, daemon: usize, host: Option<usize>) -> bool {
        let (daemon_inside, called_inside) = self.sides(daemon, host);
        self.loses(called_inside, daemon_inside)
    }

    fn path(&self, daemon: usize, host: Option<usize>) -> CallPath {
        let (daemon_inside, called_inside) = self.sides(daemon, host);
        if self.loses(daemon_inside, called_inside) {
            CallPath::LosesCall
        } else if self.loses(called_inside, daemon_inside) {
            CallPath::LosesReply
        } else {
            CallPath::Open
        }
    }
}

impl Simulation {
    fn active_islands(&self) -> impl Iterator<Item = &Island> {
        self.islands.iter().filter(|island| self.now_ms < island.until_ms)
    }

    /// Returns the fate of a call that a daemon sends to a host, or to the store if no host is given.
    pub(super) fn call_path(&self, daemon: usize, host: Option<usize>) -> CallPath {
        self.active_islands().map(|island| island.path(daemon, host)).max().unwrap_or(CallPath::Open)
    }

    /// Returns whether a cut loses the reply to a call that arrived earlier.
    pub(super) fn loses_open_reply(&self, daemon: usize, host: Option<usize>) -> bool {
        self.active_islands().any(|island| island.cuts_open_calls && island.loses_reply(daemon, host))
    }

    /// Returns whether a message between daemons is lost.
    pub(super) fn loses_peer_message(&self, from: usize, to: usize) -> bool {
        self.active_islands()
            .filter(|island| island.cuts_peers)
            .any(|island| island.loses(island.daemons.contains(&from), island.daemons.contains(&to)))
    }

    /// Returns the holder on an island, or the one outside of all islands.
    pub(super) fn holder_by_side(&self, on_island: bool) -> Option<usize> {
        let is_cut_off = |daemon: &usize| self.active_islands().any(|island| island.daemons.contains(daemon));
        let is_holding = |daemon: &usize| {
            self.daemons[*daemon].app.as_ref().is_some_and(|app| app.world().holding.is_holding())
        };
        (0..self.daemons.len()).filter(is_holding).find(|daemon| is_cut_off(daemon) == on_island)
    }

    /// Cuts the holder off with hosts until a time in milliseconds, in place of earlier islands.
    pub(super) fn isolate_holder(&mut self, hosts: Vec<usize>, until_ms: u64, keeps_peers: bool) {
        let Some(holder) = self.holder() else { return };
        self.daemons[holder].store_unreachable_until_ms = until_ms;
        if !keeps_peers {
            self.daemons[holder].cut_from_peers_until_ms = until_ms;
        }
        self.islands = vec![Island {
            daemons: vec![holder],
            hosts,
            until_ms,
            direction: CutDirection::Both,
            cuts_store: false,
            cuts_peers: false,
            cuts_open_calls: false,
        }];
    }

    /// Cuts the holder, daemons and hosts off.
    pub(super) fn cut_off(&mut self, cut: &IslandCut) {
        let Some(holder) = self.holder() else { return };
        let (daemons, hosts) = (self.daemons.len(), self.platform.registered_hosts.len());
        let until_ms = self.now_ms + cut.for_ms;
        let cut_hosts = cut.first_host..cut.first_host + cut.host_count;
        self.platform.record_cut(cut_hosts.map(|host| host % hosts), until_ms, self.now_ms);
        self.islands.push(Island {
            daemons: (holder..holder + cut.daemon_count).map(|daemon| daemon % daemons).collect(),
            hosts: (cut.first_host..cut.first_host + cut.host_count).map(|host| host % hosts).collect(),
            until_ms,
            direction: cut.direction,
            cuts_store: true,
            cuts_peers: !cut.keeps_peers,
            cuts_open_calls: true,
        });
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
