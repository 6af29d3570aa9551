//! Disrupts real daemon processes on loopback by a seeded plan, and checks what callers and hosts observe.
//!
//! `cargo run --release --example soak -- --seed 7 --seconds 40` plays one seed. The exit code is 1 if an invariant was
//! violated or a job did not end.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long};
use cassiahoist_standins::daemon_process::build_daemon;
use cassiahoist_standins::soak::plan::{Plan, PlanKind};
use cassiahoist_standins::soak::run::{SoakReport, run_soak};
use tokio::signal::unix::{SignalKind, signal};

/// Most observations that are printed about one violation.
const MAX_OBSERVATIONS: usize = 40;

/// Most violations of one seed that are printed with their observations.
const MAX_VIOLATIONS: usize = 6;

#[derive(Clone, Debug)]
struct Args {
    seconds: u64,
    seed: u64,
    seeds: u64,
    kind: PlanKind,
    keep_logs: Option<PathBuf>,
}

fn args() -> OptionParser<Args> {
    let seconds = long("seconds").help("Length of each plan, in seconds").argument("S").fallback(40);
    let seed = long("seed").help("First seed").argument("N").fallback(1);
    let seeds = long("seeds").help("Number of seeds").argument("N").fallback(1);
    let kind = long("late-orders")
        .help("Let hosts take orders late and restart before that, instead of cutting islands off")
        .flag(PlanKind::LateOrders, PlanKind::Islands);
    let keep_logs = long("keep-logs")
        .help("Folder in which the daemons' logs are kept, by seed")
        .argument("DIR")
        .optional();
    construct!(Args { seconds, seed, seeds, kind, keep_logs })
        .to_options()
        .descr("Disrupts real daemon processes by seeded plans")
}

/// Returns the first parts of addresses that no other soak on this machine uses now.
fn address_prefix() -> [u8; 3] {
    let id = std::process::id().to_be_bytes();
    [127, 64 + id[2] % 64, id[3]]
}

fn print_plan(plan: &Plan) {
    println!("soak: seed {}", plan.seed);
    for planned in &plan.disruptions {
        println!("{:>7} for {:>5} ms: {:?}", planned.at_ms, planned.for_ms, planned.disruption);
    }
}

fn print_report(seed: u64, report: &SoakReport) {
    if !report.is_clean() {
        for (at_ms, text) in &report.history {
            println!("{at_ms:>7} {text}");
        }
    }
    for (violation, observations) in report.violations.iter().zip(&report.observations).take(MAX_VIOLATIONS) {
        println!("soak: seed {seed}: {violation}");
        for line in observations.iter().take(MAX_OBSERVATIONS) {
            println!("    {line}");
        }
    }
    for fault in &report.faults {
        println!("soak: seed {seed}: {fault}");
    }
    let mut kinds = std::collections::BTreeMap::new();
    for violation in &report.violations {
        *kinds.entry(violation.invariant).or_insert(0_usize) += 1;
    }
    println!(
        "soak: seed {seed}: jobs {:?}, {} violations {kinds:?}, {} faults",
        report.outcomes,
        report.violations.len(),
        report.faults.len()
    );
}

/// Plays one seed, and ends all its processes.
async fn run_seed(plan: &Plan, length_ms: u64, program: &Path, folder: &Path) -> std::io::Result<SoakReport> {
    let (mut interrupt, mut terminate) = (signal(SignalKind::interrupt())?, signal(SignalKind::terminate())?);
    // The daemons are killed when the future of the soak is dropped.
    tokio::select! {
        result = run_soak(plan, length_ms, program, folder, address_prefix()) => result,
        _ = interrupt.recv() => Err(std::io::Error::other("interrupted")),
        _ = terminate.recv() => Err(std::io::Error::other("terminated")),
    }
}

/// Plays all seeds and returns whether every one was clean.
fn run_seeds(args: &Args, logs: &Path) -> std::io::Result<bool> {
    let program = build_daemon()?;
    let mut is_clean = true;
    for seed in args.seed..args.seed + args.seeds {
        let length_ms = args.seconds * 1_000;
        let plan = Plan::draw(args.kind, seed, length_ms);
        print_plan(&plan);
        let folder = logs.join(format!("seed-{seed}"));
        // The listeners and connections of a seed end with its runtime.
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let report = runtime.block_on(run_seed(&plan, length_ms, &program, &folder))?;
        print_report(seed, &report);
        is_clean &= report.is_clean();
    }
    Ok(is_clean)
}

fn run(args: &Args) -> std::io::Result<bool> {
    let temporary = std::env::temp_dir().join(format!("cassiahoist-soak-{}", std::process::id()));
    let result = run_seeds(args, args.keep_logs.as_ref().unwrap_or(&temporary));
    if temporary.exists() {
        std::fs::remove_dir_all(&temporary)?;
    }
    result
}

fn main() -> ExitCode {
    match run(&args().run()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            println!("soak: failed to run: {error}");
            ExitCode::from(2)
        }
    }
}
