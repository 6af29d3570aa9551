//! Measures how long no task is started after the holder of the slice is lost, over seeded days of the simulation.
//!
//! `cargo run --release --example failover -- --seeds 20`

use bpaf::{OptionParser, Parser, construct, long};
use cassiahoist_core::event_id::EventId;
use cassiahoist_standins::sim::{Fault, Plan, Sim, StoreMood};
use cassiahoist_standins::workload::Workload;

/// When the holder is lost, in milliseconds.
const LOST_MS: u64 = 8_000;

/// How long the lost daemon or the store is away, in milliseconds.
const AWAY_MS: u64 = 5_000;

/// How long a first start is waited for, in milliseconds.
const PATIENCE_MS: u64 = 15_000;

/// Mean time between jobs, in milliseconds, so that a start is due at any time.
const JOB_EVERY_MS: u64 = 40;

/// A way to lose the holder.
#[derive(Clone, Copy, Debug)]
struct Loss {
    name: &'static str,
    fault: Fault,
    /// When the time without starts begins, in milliseconds after the loss.
    counted_from_ms: u64,
    /// A second fault and when it comes, in milliseconds after the loss.
    then: Option<(u64, Fault)>,
}

fn losses() -> Vec<Loss> {
    let silent = StoreMood { silent: true, ..StoreMood::default() };
    let loss = |name, fault| Loss { name, fault, counted_from_ms: 0, then: None };
    vec![
        loss("killed", Fault::KillHolder(AWAY_MS)),
        loss("frozen", Fault::FreezeHolder(AWAY_MS)),
        loss("cut off from the store", Fault::CutHolder(AWAY_MS)),
        loss("asked to stop", Fault::StopHolder),
        Loss {
            counted_from_ms: AWAY_MS,
            then: Some((AWAY_MS, Fault::Store(StoreMood::default()))),
            ..loss("store silent, from its return", Fault::Store(silent))
        },
        Loss { counted_from_ms: 500, ..loss("all daemons killed, from their return", Fault::KillAll(500)) },
    ]
}

/// Gives the time until the first start by a daemon that did not hold before, in milliseconds.
fn measure(seed: u64, loss: &Loss) -> Option<u64> {
    let mut faults = vec![(LOST_MS, loss.fault)];
    faults.extend(loss.then.map(|(after_ms, fault)| (LOST_MS + after_ms, fault)));
    let plan = Plan {
        faults,
        job_every_ms: JOB_EVERY_MS,
        hosts: 16,
        traffic_ms: LOST_MS + PATIENCE_MS,
        ..Plan::draw(0, Workload::Plain)
    };
    let mut sim = Sim::new(seed, plan);
    sim.play_until(LOST_MS - 10);
    let holder = sim.holder()?;
    let life = sim.daemons[holder].life;
    sim.play_until(LOST_MS + loss.counted_from_ms + PATIENCE_MS);
    let from_ms = LOST_MS + loss.counted_from_ms;
    let same =
        |daemon: usize| daemon == holder && sim.daemons[daemon].life == life && loss.counted_from_ms == 0;
    let first = sim.log.iter().find(|(at_ms, daemon, note)| {
        *at_ms >= from_ms && note.event == EventId::TaskStarted && !same(*daemon)
    })?;
    Some(first.0 - from_ms)
}

fn seeds() -> OptionParser<u64> {
    let seeds = long("seeds").help("Number of seeds for each loss").argument("N").fallback(20);
    construct!(seeds).to_options().descr("Time without starts after the holder is lost")
}

fn main() {
    let seeds = seeds().run();
    println!("| loss of the holder | first start after, p50 ms | most ms | seeds |");
    println!("| --- | --- | --- | --- |");
    for loss in losses() {
        let mut times: Vec<u64> = (1..=seeds).filter_map(|seed| measure(seed, &loss)).collect();
        times.sort_unstable();
        let middle = times.get(times.len() / 2).copied().unwrap_or_default();
        let most = times.last().copied().unwrap_or_default();
        println!("| {} | {middle} | {most} | {} of {seeds} |", loss.name, times.len());
    }
}
