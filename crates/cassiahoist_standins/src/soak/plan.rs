//! Disruptions of one soak, drawn from a seed.

use std::ops::Range;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::cuts::Direction;
use super::{DAEMONS, HOSTS};

/// Time from the start of a plan to its first disruption, in milliseconds.
const FIRST_SERIES_MS: Range<u64> = 2_000..4_000;

/// Time from the end of a series to the next; some begin before the last has ended.
const SERIES_GAP_MS: Range<u64> = 0..4_000;

/// Daemon that a disruption hits; resolved when it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// The daemon whose claim the store has, or had last.
    Holder,
    /// The daemon that held the claim when the latest island was cut off.
    IsolatedHolder,
    /// A daemon by number.
    Daemon(usize),
}

/// A disruption of the cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Disruption {
    /// The holder, the daemons after it and hosts, those of its failure domain first, are cut off together.
    Isolate {
        /// Number of daemons on the island, the holder included.
        daemons: usize,
        /// Number of hosts on the island.
        hosts: usize,
        /// Whether the daemons on both sides reach each other.
        keeps_peers: bool,
        /// Direction in which messages are lost.
        direction: Direction,
    },
    /// No daemon reaches the store, or none gets its answers.
    StoreOutage(Direction),
    /// Hosts with consecutive numbers are cut off from all daemons.
    CutHosts {
        /// Number of the first host.
        first: usize,
        /// Number of hosts.
        count: usize,
        /// Direction in which messages are lost.
        direction: Direction,
    },
    /// A daemon is cut off from the store and all else.
    CutDaemon(Target, Direction),
    /// A daemon's process is stopped and goes on later.
    Pause(Target),
    /// A daemon's process is killed and started again.
    Kill(Target),
    /// A daemon is asked to stop, and started again.
    Terminate(Target),
    /// A daemon is asked to reread its settings.
    Hangup(Target),
    /// A host crashes and starts again.
    CrashHost(usize),
    /// A host's entry is removed and written again at the end.
    RemoveHost(usize),
    /// Orders to a host take effect late and without an answer.
    DelayOrders {
        /// Number of the host.
        host: usize,
        /// Time after which each order takes effect, in milliseconds.
        delay_ms: u64,
    },
}

/// A disruption with its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedDisruption {
    /// Begin, in milliseconds since the start of the plan.
    pub at_ms: u64,
    /// Time until it ends, in milliseconds.
    pub for_ms: u64,
    /// What happens.
    pub disruption: Disruption,
}

/// Disruptions of one soak.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Seed from which it was drawn.
    pub seed: u64,
    /// Disruptions in order of their begin.
    pub disruptions: Vec<PlannedDisruption>,
}

/// What a plan is made of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanKind {
    /// Islands around the holder, and single disruptions.
    Islands,
    /// Hosts that take orders late and restart meanwhile, and single disruptions.
    LateOrders,
}

impl Plan {
    /// Draws the plan of a seed; its last disruption ends within `length_ms`.
    #[must_use]
    pub fn draw(kind: PlanKind, seed: u64, length_ms: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut disruptions = Vec::new();
        let mut at_ms = rng.random_range(FIRST_SERIES_MS);
        while at_ms + 1_000 < length_ms {
            let series_ms = match kind {
                PlanKind::Islands => draw_series(&mut rng, at_ms, &mut disruptions),
                PlanKind::LateOrders => draw_late_orders(&mut rng, at_ms, &mut disruptions),
            };
            let overlap_ms = if rng.random_bool(0.25) { rng.random_range(0..=series_ms / 2) } else { 0 };
            at_ms += series_ms - overlap_ms + rng.random_range(SERIES_GAP_MS);
        }
        disruptions.retain(|planned: &PlannedDisruption| planned.at_ms + 500 < length_ms);
        for planned in &mut disruptions {
            planned.for_ms = planned.for_ms.min(length_ms - planned.at_ms);
        }
        disruptions.sort_by_key(|planned| planned.at_ms);
        Self { seed, disruptions }
    }
}

/// Draws hosts that take orders late and restart one or more times before the orders arrive, beside other disruptions.
///
/// Returns how long they take, in milliseconds.
fn draw_late_orders(rng: &mut SmallRng, at_ms: u64, disruptions: &mut Vec<PlannedDisruption>) -> u64 {
    let series_ms = rng.random_range(5_000..12_000);
    for _ in 0..rng.random_range(2..=5) {
        let (host, begin_ms) = (rng.random_range(0..HOSTS), at_ms + rng.random_range(0..series_ms));
        let (delay_ms, for_ms) = (rng.random_range(2_000..12_000), rng.random_range(50..900));
        let disruption = Disruption::DelayOrders { host, delay_ms };
        disruptions.push(PlannedDisruption { at_ms: begin_ms, for_ms, disruption });
        let mut crash_at_ms = begin_ms + for_ms + rng.random_range(100..3_000);
        for _ in 0..rng.random_range(1..=2) {
            let for_ms = rng.random_range(50..3_000);
            let disruption = Disruption::CrashHost(host);
            disruptions.push(PlannedDisruption { at_ms: crash_at_ms, for_ms, disruption });
            crash_at_ms += for_ms + rng.random_range(100..4_000);
        }
    }
    for _ in 0..rng.random_range(0..=2) {
        let begin_ms = at_ms + rng.random_range(0..series_ms);
        disruptions.push(draw_single(rng, begin_ms));
    }
    series_ms
}

/// Draws disruptions that overlap, from `at_ms` on, and returns how long they take, in milliseconds.
fn draw_series(rng: &mut SmallRng, at_ms: u64, disruptions: &mut Vec<PlannedDisruption>) -> u64 {
    if rng.random_bool(0.75) {
        return draw_island(rng, at_ms, disruptions);
    }
    let series_ms = rng.random_range(4_000..10_000);
    for _ in 0..rng.random_range(2..=5) {
        let begin_ms = at_ms + rng.random_range(0..series_ms);
        disruptions.push(draw_single(rng, begin_ms));
    }
    series_ms
}

/// Draws an island around the holder, with outages of the store and other disruptions before and within it.
fn draw_island(rng: &mut SmallRng, at_ms: u64, disruptions: &mut Vec<PlannedDisruption>) -> u64 {
    let cut_ms = rng.random_range(8_000..24_000);
    let is_one_way = rng.random_bool(0.15);
    let hosts = if rng.random_bool(0.5) {
        rng.random_range(HOSTS / 2 + 1..=HOSTS - 2)
    } else {
        rng.random_range(1..=HOSTS / 2)
    };
    let isolate = Disruption::Isolate {
        daemons: rng.random_range(1..=DAEMONS / 2 + 1),
        hosts,
        keeps_peers: rng.random_bool(0.6),
        direction: if is_one_way { draw_one_way(rng) } else { Direction::Both },
    };
    disruptions.push(PlannedDisruption { at_ms, for_ms: cut_ms, disruption: isolate });
    let outages = match rng.random_range(0..10) {
        0..=1 => 0,
        2..=6 => 1,
        _ => 2,
    };
    let mut outage_at_ms = (at_ms + rng.random_range(0..4_000)).saturating_sub(500);
    for _ in 0..outages {
        let for_ms = rng.random_range(1_000..7_000);
        let direction = if rng.random_bool(0.2) { Direction::Outward } else { Direction::Both };
        let disruption = Disruption::StoreOutage(direction);
        disruptions.push(PlannedDisruption { at_ms: outage_at_ms, for_ms, disruption });
        outage_at_ms += for_ms + rng.random_range(300..4_000);
    }
    for _ in 0..rng.random_range(0..=4) {
        let begin_ms = at_ms + rng.random_range(0..cut_ms);
        disruptions.push(draw_single(rng, begin_ms));
    }
    cut_ms
}

fn draw_one_way(rng: &mut SmallRng) -> Direction {
    if rng.random_bool(0.5) { Direction::Outward } else { Direction::Inward }
}

fn draw_target(rng: &mut SmallRng) -> Target {
    match rng.random_range(0..4) {
        0 => Target::Holder,
        1 => Target::IsolatedHolder,
        _ => Target::Daemon(rng.random_range(0..DAEMONS)),
    }
}

/// Draws a disruption of one daemon or of a few hosts.
fn draw_single(rng: &mut SmallRng, at_ms: u64) -> PlannedDisruption {
    let target = draw_target(rng);
    let host = rng.random_range(0..HOSTS);
    let (disruption, for_ms) = match rng.random_range(0..12) {
        0..=2 => (Disruption::Pause(target), rng.random_range(300..5_000)),
        3 => (Disruption::Kill(target), rng.random_range(300..4_000)),
        4 => (Disruption::Terminate(target), rng.random_range(500..8_000)),
        5 => (Disruption::Hangup(target), 0),
        6 => (Disruption::CrashHost(host), rng.random_range(500..6_000)),
        7 => (Disruption::RemoveHost(host), rng.random_range(1_500..9_000)),
        8 => {
            let delay_ms = rng.random_range(200..4_000);
            (Disruption::DelayOrders { host, delay_ms }, rng.random_range(500..4_000))
        }
        9 => {
            let (count, direction) = (rng.random_range(1..=3), draw_one_way(rng));
            (Disruption::CutHosts { first: host, count, direction }, rng.random_range(500..6_000))
        }
        10 => (Disruption::CutDaemon(target, Direction::Both), rng.random_range(500..8_000)),
        _ => (Disruption::CutDaemon(target, draw_one_way(rng)), rng.random_range(500..6_000)),
    };
    PlannedDisruption { at_ms, for_ms, disruption }
}
