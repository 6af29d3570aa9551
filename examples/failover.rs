//! Measures the time without task starts after the loss of the holder.
//!
//! `cargo run --release --example failover -- --seeds 20` measures it over 20 seeded simulations.

use bpaf::{OptionParser, Parser, construct, long};
use cassiahoist_core::event_id::EventId;
use cassiahoist_standins::sim::{Fault, Scenario, Simulation, StoreHealth};
use cassiahoist_standins::workload::Workload;

/// Time at which the holder is lost, in milliseconds.
const LOSS_MS: u64 = 8_000;

/// Duration of the outage of the daemon or the store, in milliseconds.
const OUTAGE_MS: u64 = 5_000;

/// Longest time to wait for the first start, in milliseconds.
const START_TIMEOUT_MS: u64 = 15_000;

/// Mean time between jobs, in milliseconds.
///
/// It is short, so that a start is due at any time.
const MEAN_JOB_INTERVAL_MS: u64 = 40;

/// A way to lose the holder.
#[derive(Clone, Copy, Debug)]
struct Loss {
    name: &'static str,
    fault: Fault,
    /// Start of the measurement, in milliseconds after the loss.
    measured_from_ms: u64,
    /// Second fault, with its time in milliseconds after the loss.
    second_fault: Option<(u64, Fault)>,
}

fn losses() -> Vec<Loss> {
    let unresponsive = StoreHealth { unresponsive: true, ..StoreHealth::default() };
    let loss = |name, fault| Loss { name, fault, measured_from_ms: 0, second_fault: None };
    vec![
        loss("killed", Fault::KillHolder(OUTAGE_MS)),
        loss("paused", Fault::PauseHolder(OUTAGE_MS)),
        loss("cut off from the store", Fault::CutHolderFromStore(OUTAGE_MS)),
        loss("asked to stop", Fault::StopHolder),
        Loss {
            measured_from_ms: OUTAGE_MS,
            second_fault: Some((OUTAGE_MS, Fault::SetStoreHealth(StoreHealth::default()))),
            ..loss("store unresponsive, from its recovery", Fault::SetStoreHealth(unresponsive))
        },
        Loss {
            measured_from_ms: 500,
            ..loss("all daemons killed, from their restart", Fault::KillAllDaemons(500))
        },
    ]
}

/// Returns the time until the first start by another daemon incarnation, in milliseconds.
///
/// Starts by the lost incarnation count only if the measurement begins after the loss.
/// Returns `None` if there was no holder to lose, or no start in time.
fn measure(seed: u64, loss: &Loss) -> Option<u64> {
    let mut faults = vec![(LOSS_MS, loss.fault)];
    faults.extend(loss.second_fault.map(|(after_ms, fault)| (LOSS_MS + after_ms, fault)));
    let scenario = Scenario {
        faults,
        mean_job_interval_ms: MEAN_JOB_INTERVAL_MS,
        hosts: 16,
        traffic_ms: LOSS_MS + START_TIMEOUT_MS,
        ..Scenario::from_seed(0, Workload::Plain)
    };
    let mut sim = Simulation::new(seed, scenario);
    sim.run_until(LOSS_MS - 10);
    let holder = sim.holder()?;
    let daemon_started_unix_ms = sim.daemons[holder].started_unix_ms;
    sim.run_until(LOSS_MS + loss.measured_from_ms + START_TIMEOUT_MS);
    let from_ms = LOSS_MS + loss.measured_from_ms;
    let is_lost_holder = |daemon: usize| {
        daemon == holder
            && sim.daemons[daemon].started_unix_ms == daemon_started_unix_ms
            && loss.measured_from_ms == 0
    };
    let first = sim.log.iter().find(|(at_ms, daemon, log_record)| {
        *at_ms >= from_ms && log_record.event == EventId::TaskStarted && !is_lost_holder(*daemon)
    })?;
    Some(first.0 - from_ms)
}

fn seeds() -> OptionParser<u64> {
    let seeds =
        long("seeds").help("Number of seeds for each way to lose the holder").argument("N").fallback(20);
    construct!(seeds).to_options().descr("Measures the time without task starts after the loss of the holder")
}

fn main() {
    let seeds = seeds().run();
    println!("| loss of the holder | first start after, p50 ms | max ms | seeds |");
    println!("| --- | --- | --- | --- |");
    for loss in losses() {
        let mut times_ms: Vec<u64> = (1..=seeds).filter_map(|seed| measure(seed, &loss)).collect();
        times_ms.sort_unstable();
        let median_ms = times_ms.get(times_ms.len() / 2).copied().unwrap_or_default();
        let greatest_ms = times_ms.last().copied().unwrap_or_default();
        println!("| {} | {median_ms} | {greatest_ms} | {} of {seeds} |", loss.name, times_ms.len());
    }
}
