//! Measures what a holder's ticks cost with many hosts, in the seeded simulation.
//!
//! `cargo run --release --example load -- --hosts 1100 --jobs-per-s 50`. Processor time is that of this machine; orders
//! and messages are counted, not sent.

use bpaf::{OptionParser, Parser, construct, long};
use cassiahoist_standins::sim::{Scenario, Simulation};
use cassiahoist_standins::workload::Workload;
use cassiahoist_world::world::World;

/// Time at which callers begin to submit, in milliseconds.
const TRAFFIC_START_MS: u64 = 4_000;

#[derive(Clone, Copy, Debug)]
struct Args {
    hosts: usize,
    daemons: usize,
    jobs_per_s: u64,
    seconds: u64,
}

fn args() -> OptionParser<Args> {
    let hosts = long("hosts").help("Number of hosts").argument("N").fallback(1_100);
    let daemons = long("daemons").help("Number of daemons").argument("N").fallback(20);
    let jobs_per_s = long("jobs-per-s").help("Jobs submitted in a second").argument("N").fallback(50);
    let seconds = long("seconds").help("Time with submissions, in seconds").argument("N").fallback(10);
    construct!(Args { hosts, daemons, jobs_per_s, seconds }).to_options().descr("Measures a holder's ticks")
}

/// Totals of the holder at one moment.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    starts: u64,
    polls: u64,
    advice_calls: u64,
    ticks: u64,
    tick_micros: u128,
}

fn read_totals(sim: &Simulation) -> Option<(Totals, &World)> {
    let daemon = &sim.daemons[sim.holder()?];
    let world = daemon.app.as_ref()?.world();
    let totals = Totals {
        starts: world.counters.starts,
        polls: world.counters.polls,
        advice_calls: world.counters.advice_calls,
        ticks: daemon.tick_count,
        tick_micros: daemon.tick_time.as_micros(),
    };
    Some((totals, world))
}

fn main() {
    let args = args().run();
    let scenario = Scenario {
        daemons: args.daemons,
        hosts: args.hosts,
        traffic_ms: args.seconds * 1_000,
        settle_ms: 0,
        mean_job_interval_ms: 1_000 / args.jobs_per_s.max(1),
        workload: Workload::Plain,
        ..Scenario::default()
    };
    let mut sim = Simulation::new(1, scenario);
    let mut before = Totals::default();
    println!("second starts polls advice ticks us/tick ms/s waiting runs");
    for second in 1..=args.seconds {
        sim.run_until(TRAFFIC_START_MS + second * 1_000);
        let Some((totals, world)) = read_totals(&sim) else { continue };
        let (ticks, micros) = (totals.ticks - before.ticks, totals.tick_micros - before.tick_micros);
        println!(
            "{second:>6} {:>6} {:>5} {:>6} {ticks:>5} {:>7} {:>4} {:>7} {:>4}",
            totals.starts - before.starts,
            totals.polls - before.polls,
            totals.advice_calls - before.advice_calls,
            micros / u128::from(ticks.max(1)),
            micros / 1_000,
            world.jobs.ready.len(),
            world.runs.rows.len(),
        );
        before = totals;
    }
}
