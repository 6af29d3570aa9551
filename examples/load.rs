//! Measures what a holder's ticks cost with many hosts, in the seeded simulation.
//!
//! `cargo run --release --example load -- --hosts 1100 --jobs-per-s 50`. Processor time is that of this machine; orders
//! and messages are counted, not sent. With `--backlog 2000` that many jobs are submitted at once, and with
//! `--power-loss-at 3` all daemons lose power in that second, so that a new holder adopts what waits and runs.

use bpaf::{OptionParser, Parser, construct, long};
use cassiahoist_standins::sim::{Burst, Daemon, Fault, Scenario, Simulation};
use cassiahoist_standins::workload::Workload;
use cassiahoist_world::world::World;

/// Time at which callers begin to submit, in milliseconds.
const TRAFFIC_START_MS: u64 = 4_000;

/// Time for which daemons without power are down, in milliseconds.
const POWER_LOSS_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
struct Args {
    hosts: usize,
    daemons: usize,
    jobs_per_s: u64,
    seconds: u64,
    backlog: u32,
    power_loss_at: Option<u64>,
}

fn args() -> OptionParser<Args> {
    let hosts = long("hosts").help("Number of hosts").argument("N").fallback(1_100);
    let daemons = long("daemons").help("Number of daemons").argument("N").fallback(20);
    let jobs_per_s = long("jobs-per-s").help("Jobs submitted in a second").argument("N").fallback(50);
    let seconds = long("seconds").help("Time with submissions, in seconds").argument("N").fallback(10);
    let backlog = long("backlog").help("Jobs submitted at once at the start").argument("N").fallback(0);
    let power_loss_at =
        long("power-loss-at").help("Second in which all daemons lose power").argument("N").optional();
    construct!(Args { hosts, daemons, jobs_per_s, seconds, backlog, power_loss_at })
        .to_options()
        .descr("Measures a holder's ticks")
}

/// Totals of one daemon since its start, and since the start of its first incarnation for ticks.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    starts: u64,
    polls: u64,
    advice_calls: u64,
    ticks: u64,
    tick_micros: u128,
    longest_tick_micros: u128,
}

impl Totals {
    fn read(daemon: &mut Daemon) -> Self {
        let counters = daemon.app.as_ref().map(|app| app.world().counters).unwrap_or_default();
        Self {
            starts: counters.starts,
            polls: counters.polls,
            advice_calls: counters.advice_calls,
            ticks: daemon.tick_count,
            tick_micros: daemon.tick_time.as_micros(),
            longest_tick_micros: std::mem::take(&mut daemon.longest_tick).as_micros(),
        }
    }
}

/// Prints what the holder did since the totals before; counters of a new incarnation began anew.
fn print_second(second: u64, world: &World, before: &Totals, after: &Totals) {
    let (ticks, micros) = (after.ticks - before.ticks, after.tick_micros - before.tick_micros);
    println!(
        "{second:>6} {:>6} {:>5} {:>6} {ticks:>5} {:>7} {:>7} {:>4} {:>7} {:>5}",
        after.starts.saturating_sub(before.starts),
        after.polls.saturating_sub(before.polls),
        after.advice_calls.saturating_sub(before.advice_calls),
        micros / u128::from(ticks.max(1)),
        after.longest_tick_micros,
        micros / 1_000,
        world.jobs.ready.len(),
        world.runs.rows.len(),
    );
}

fn main() {
    let args = args().run();
    let power_loss = args
        .power_loss_at
        .map(|second| (TRAFFIC_START_MS + second * 1_000, Fault::KillAllDaemons(POWER_LOSS_MS)));
    let scenario = Scenario {
        daemons: args.daemons,
        hosts: args.hosts,
        traffic_ms: args.seconds * 1_000,
        settle_ms: 0,
        mean_job_interval_ms: 1_000 / args.jobs_per_s.max(1),
        workload: Workload::Plain,
        faults: power_loss.into_iter().collect(),
        bursts: vec![Burst { at_ms: TRAFFIC_START_MS, for_ms: 0, jobs: args.backlog }],
        ..Scenario::default()
    };
    let mut sim = Simulation::new(1, scenario);
    let mut before = vec![Totals::default(); args.daemons];
    println!("second starts polls advice ticks us/tick longest ms/s waiting  runs");
    for second in 1..=args.seconds {
        sim.run_until(TRAFFIC_START_MS + second * 1_000);
        let after: Vec<Totals> = sim.daemons.iter_mut().map(Totals::read).collect();
        if let Some(holder) = sim.holder()
            && let Some(app) = &sim.daemons[holder].app
        {
            print_second(second, app.world(), &before[holder], &after[holder]);
        }
        before = after;
    }
}
