//! Runs seeded simulations with faults and checks them against the scheduler's invariants.
//!
//! `cargo run --release --example prove -- --seeds 500`; `--seed N` repeats one seed and prints its log.

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long};
use cassiahoist_standins::invariants::Violation;
use cassiahoist_standins::sim::{Scenario, Simulation};
use cassiahoist_standins::workload::Workload;
use cassiahoist_world::app::App;

#[derive(Clone, Debug)]
struct Args {
    seeds: u64,
    from: u64,
    seed: Option<u64>,
    varied: bool,
    copies: bool,
}

impl Args {
    fn workload(&self) -> Workload {
        match (self.varied, self.copies) {
            (true, _) => Workload::Varied,
            (false, true) => Workload::Copies,
            (false, false) => Workload::Plain,
        }
    }
}

fn args() -> OptionParser<Args> {
    let seeds = long("seeds").help("Number of seeds").argument("N").fallback(200);
    let from = long("from").help("First seed").argument("N").fallback(1);
    let seed = long("seed").help("Runs one seed and prints its log").argument("N").optional();
    let varied = long("varied")
        .help("With --seed: uses the workload with several pools, labels and configuration changes")
        .switch();
    let copies = long("copies")
        .help("With --seed: uses the workload whose steps allow copies and limit their tasks on a host")
        .switch();
    construct!(Args { seeds, from, seed, varied, copies })
        .to_options()
        .descr("Runs seeded simulations with faults")
}

/// Runs one simulated day of a seed and returns the violations.
fn run_day(seed: u64, workload: Workload, print: bool) -> Vec<Violation> {
    let scenario = Scenario::from_seed(seed, workload);
    if print {
        for (at_ms, fault) in &scenario.faults {
            println!("{at_ms:>7} fault {fault:?}");
        }
    }
    let mut sim = Simulation::new(seed, scenario);
    let violations = sim.run();
    if print {
        for (at_ms, daemon, log_record) in &sim.log {
            let fields: Vec<String> =
                log_record.fields.iter().map(|(name, value)| format!("{name}={value}")).collect();
            println!("{at_ms:>7} edge-{daemon} {} {}", log_record.event.name(), fields.join(" "));
        }
        for (at_ms, observation) in &sim.platform.trace.observations {
            println!("{at_ms:>7} observation {observation:?}");
        }
    }
    if print {
        print_waiting(&sim);
    }
    violations
}

/// Prints the ready steps and the hosts of the holder at the end.
fn print_waiting(sim: &Simulation) {
    let holder = sim.holder().and_then(|holder| sim.daemons[holder].app.as_ref());
    let Some(world) = holder.map(App::world) else { return };
    for step in world.jobs.ready.iter().filter_map(|key| world.jobs.steps.get(key)) {
        println!(
            "waiting {} pending {} of {} {:?}",
            step.name,
            step.pending_tasks.len(),
            step.tasks.len(),
            step.advice
        );
    }
    for (_, host) in world.hosts.iter() {
        println!(
            "host {} free {:?} adoption {:?} unresponsive {:?} missing {:?} draining {:?} standing {:?} orphans {:?}",
            host.entry.name,
            host.free_resources(),
            host.adoption,
            host.unresponsive_since_ms,
            host.missing_since_ms,
            host.draining_since_ms,
            host.standing,
            host.orphans
        );
    }
}

fn main() -> ExitCode {
    let args = args().run();
    if let Some(seed) = args.seed {
        for violation in run_day(seed, args.workload(), true) {
            println!("violation: {violation}");
        }
        return ExitCode::SUCCESS;
    }
    let mut violation_count = 0;
    for seed in args.from..args.from + args.seeds {
        for workload in Workload::ALL {
            let violations = run_day(seed, workload, false);
            violation_count += violations.len();
            for violation in violations.iter().take(2) {
                println!("seed {seed}, {workload:?}: {violation}");
            }
        }
    }
    println!(
        "prove: {} scenarios, {} seeds, {violation_count} violations",
        args.seeds * Workload::ALL.len() as u64,
        args.seeds
    );
    if violation_count == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
