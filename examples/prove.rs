//! Plays seeded days of faults on the daemons' tables and systems and judges them by what callers and hosts saw.
//!
//! `cargo run --release --example prove -- --seeds 500`; `--seed N` plays one again and prints its log.

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long};
use cassiahoist_standins::sim::{Plan, Sim};
use cassiahoist_standins::verdict::Violation;
use cassiahoist_standins::workload::Workload;
use cassiahoist_world::app::App;

#[derive(Clone, Debug)]
struct Args {
    seeds: u64,
    from: u64,
    seed: Option<u64>,
    varied: bool,
}

impl Args {
    fn workload(&self) -> Workload {
        if self.varied { Workload::Varied } else { Workload::Plain }
    }
}

fn args() -> OptionParser<Args> {
    let seeds = long("seeds").help("Number of seeds").argument("N").fallback(200);
    let from = long("from").help("First seed").argument("N").fallback(1);
    let seed = long("seed").help("Plays one seed and prints its log").argument("N").optional();
    let varied = long("varied").help("With --seed: the day with several pools, labels and changes").switch();
    construct!(Args { seeds, from, seed, varied }).to_options().descr("Seeded days of faults")
}

/// Plays one day of a seed.
fn play(seed: u64, workload: Workload, print: bool) -> Vec<Violation> {
    let plan = Plan::draw(seed, workload);
    if print {
        for (at_ms, fault) in &plan.faults {
            println!("{at_ms:>7} fault {fault:?}");
        }
    }
    let mut sim = Sim::new(seed, plan);
    let found = sim.play();
    if print {
        for (at_ms, daemon, note) in &sim.log {
            let fields: Vec<String> =
                note.fields.iter().map(|(name, value)| format!("{name}={value}")).collect();
            println!("{at_ms:>7} edge-{daemon} {} {}", note.event.name(), fields.join(" "));
        }
        for (at_ms, fact) in &sim.platform.trace.facts {
            println!("{at_ms:>7} fact {fact:?}");
        }
    }
    if print {
        print_waiting(&sim);
    }
    found
}

/// Prints the steps that wait at the end.
fn print_waiting(sim: &Sim) {
    let holder = sim.holder().and_then(|holder| sim.daemons[holder].app.as_ref());
    let Some(world) = holder.map(App::world) else { return };
    for step in world.jobs.ready.iter().filter_map(|key| world.jobs.steps.get(*key)) {
        println!(
            "waiting {} pending {} of {} {:?}",
            step.name,
            step.pending.len(),
            step.tasks.len(),
            step.advice
        );
    }
    for (_, host) in world.hosts.iter() {
        println!(
            "host {} room {:?} adoption {:?} silent {:?} missing {:?} leaving {:?} standing {:?} orphans {:?}",
            host.report.name,
            host.room(),
            host.adoption,
            host.silent_since_ms,
            host.missing_since_ms,
            host.leaving_since_ms,
            host.standing,
            host.orphans
        );
    }
}

fn main() -> ExitCode {
    let args = args().run();
    if let Some(seed) = args.seed {
        for violation in play(seed, args.workload(), true) {
            println!("violation: {violation}");
        }
        return ExitCode::SUCCESS;
    }
    let mut violations = 0;
    for seed in args.from..args.from + args.seeds {
        for workload in [Workload::Plain, Workload::Varied] {
            let found = play(seed, workload, false);
            violations += found.len();
            for violation in found.iter().take(2) {
                println!("seed {seed}, {workload:?}: {violation}");
            }
        }
    }
    println!("prove: {} scenarios, {} seeds, {violations} violations", args.seeds * 2, args.seeds);
    if violations == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
