//! Runs seeded simulations with faults and checks them against the scheduler's invariants.
//!
//! `cargo run --release --example prove -- --seeds 500`; `--seed N` repeats one seed and prints its log. Each seed is
//! played with all workloads, with overlapping misfortunes, with tasks that crash their hosts and with islands, without and with outages within the cuts, one in five with full links, and one in twenty with the
//! crowded and the narrow scenario, which take longer; `--full-link-seeds N` and `--crowded-seeds N` set their numbers.

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long};
use cassiahoist_standins::invariants::Violation;
use cassiahoist_standins::sim::{Scenario, Simulation};
use cassiahoist_standins::workload::Workload;
use cassiahoist_world::app::App;

/// Number of seeds for each seed of the crowded and the narrow scenario.
const SEEDS_PER_CROWDED: u64 = 20;

/// Number of seeds for each seed of the scenario with full links.
const SEEDS_PER_FULL_LINK: u64 = 5;

/// Kind of simulated day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Day {
    /// A few hosts and drawn faults.
    Seeded(Workload),
    /// Many hosts, daemons on unlike machines and a backlog after a loss of power.
    Crowded,
    /// Start orders that fill the holder's link, and faults of the daemons that relay them.
    FullLink,
    /// A link of the holder that start orders fill.
    Narrow,
    /// Restarts, late orders, silence and changes of the holder that overlap.
    Misfortunes,
    /// The holder cut off together with some hosts, beside outages of the store and late ticks.
    Islands,
    /// Daemons and hosts cut off, beside outages of the store, pauses and kills within the cuts.
    IslandOutages,
    /// Tasks that crash their hosts, beside crashes of racks and changes of the holder.
    Deadly,
}

impl Day {
    fn scenario(self, seed: u64) -> Scenario {
        match self {
            Self::Seeded(workload) => Scenario::from_seed(seed, workload),
            Self::Crowded => Scenario::crowded(seed),
            Self::FullLink => Scenario::full_link(seed),
            Self::Narrow => Scenario::narrow(seed),
            Self::Misfortunes => Scenario::misfortunes(seed),
            Self::Deadly => Scenario::deadly(seed),
            Self::Islands => Scenario::islands(seed),
            Self::IslandOutages => Scenario::island_outages(seed),
        }
    }
}

#[derive(Clone, Debug)]
struct Args {
    seeds: u64,
    crowded_seeds: Option<u64>,
    full_link_seeds: Option<u64>,
    from: u64,
    seed: Option<u64>,
    varied: bool,
    copies: bool,
    accounts: bool,
    crowded: bool,
    full_link: bool,
    narrow: bool,
    misfortunes: bool,
    deadly: bool,
    islands: bool,
    island_outages: bool,
}

impl Args {
    /// Returns the kind of day that `--seed` plays.
    fn day(&self) -> Day {
        if self.crowded {
            Day::Crowded
        } else if self.full_link {
            Day::FullLink
        } else if self.narrow {
            Day::Narrow
        } else if self.misfortunes {
            Day::Misfortunes
        } else if self.deadly {
            Day::Deadly
        } else if self.islands {
            Day::Islands
        } else if self.island_outages {
            Day::IslandOutages
        } else if self.varied {
            Day::Seeded(Workload::Varied)
        } else if self.copies {
            Day::Seeded(Workload::Copies)
        } else if self.accounts {
            Day::Seeded(Workload::Accounts)
        } else {
            Day::Seeded(Workload::Plain)
        }
    }

    /// Lists all days with their seeds.
    fn days(&self) -> Vec<(u64, Day)> {
        let seeds = self.from..self.from + self.seeds;
        if self.island_outages {
            return seeds.map(|seed| (seed, Day::IslandOutages)).collect();
        }
        let crowded_seeds = self.crowded_seeds.unwrap_or(self.seeds / SEEDS_PER_CROWDED);
        if self.accounts {
            return seeds.map(|seed| (seed, Day::Seeded(Workload::Accounts))).collect();
        }
        let [plain, varied, copies, accounts] = Workload::ALL.map(Day::Seeded);
        let small_days = [
            plain,
            varied,
            copies,
            accounts,
            Day::Misfortunes,
            Day::Deadly,
            Day::Islands,
            Day::IslandOutages,
        ];
        let small = seeds.flat_map(|seed| small_days.map(|day| (seed, day)));
        let large_days = [Day::Crowded, Day::Narrow];
        let large = (self.from..self.from + crowded_seeds).flat_map(|seed| large_days.map(|day| (seed, day)));
        let full_link_seeds = self.full_link_seeds.unwrap_or(self.seeds / SEEDS_PER_FULL_LINK);
        let full_link = (self.from..self.from + full_link_seeds).map(|seed| (seed, Day::FullLink));
        small.chain(full_link).chain(large).collect()
    }
}

fn args() -> OptionParser<Args> {
    let seeds = long("seeds").help("Number of seeds").argument("N").fallback(200);
    let crowded_seeds = long("crowded-seeds")
        .help("Number of seeds with the crowded and the narrow scenario; one in twenty seeds by default")
        .argument("N")
        .optional();
    let full_link_seeds = long("full-link-seeds")
        .help("Number of seeds with full links; one in five seeds by default")
        .argument("N")
        .optional();
    let from = long("from").help("First seed").argument("N").fallback(1);
    let seed = long("seed").help("Runs one seed and prints its log").argument("N").optional();
    let varied = long("varied")
        .help("With --seed: uses the workload with several pools, labels and configuration changes")
        .switch();
    let copies = long("copies")
        .help("With --seed: uses the workload whose steps allow copies and limit their tasks on a host")
        .switch();
    let accounts = long("accounts")
        .help("Plays client accounts with caps, of which one presses on its cap; with --seeds, nothing else")
        .switch();
    let crowded = long("crowded")
        .help("With --seed: plays many hosts, daemons on unlike machines and a backlog after a loss of power")
        .switch();
    let narrow =
        long("narrow").help("With --seed: plays a link of the holder that start orders fill").switch();
    let misfortunes = long("misfortunes")
        .help("With --seed: plays restarts, late orders, silence and changes of the holder that overlap")
        .switch();
    let deadly = long("deadly").help("With --seed: plays tasks that crash their hosts").switch();
    let islands = long("islands")
        .help("With --seed: plays a holder that is cut off together with some hosts, and late ticks")
        .switch();
    let island_outages = long("island-outages")
        .help("Plays daemons and hosts that are cut off, beside outages of the store; with --seeds, nothing else")
        .switch();
    let full_link = long("full-link")
        .help(
            "With --seed: plays start orders that fill all links, and faults of the daemons that relay them",
        )
        .switch();
    construct!(Args {
        seeds,
        crowded_seeds,
        full_link_seeds,
        from,
        seed,
        varied,
        copies,
        accounts,
        crowded,
        full_link,
        narrow,
        misfortunes,
        deadly,
        islands,
        island_outages
    })
    .to_options()
    .descr("Runs seeded simulations with faults")
}

/// Runs one simulated day of a seed and returns the violations.
fn run_day(seed: u64, day: Day, print: bool) -> Vec<Violation> {
    let scenario = day.scenario(seed);
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
        for violation in run_day(seed, args.day(), true) {
            println!("violation: {violation}");
        }
        return ExitCode::SUCCESS;
    }
    let days = args.days();
    let mut violation_count = 0;
    for (seed, day) in &days {
        let violations = run_day(*seed, *day, false);
        violation_count += violations.len();
        for violation in violations.iter().take(2) {
            println!("seed {seed}, {day:?}: {violation}");
        }
    }
    println!("prove: {} scenarios, {} seeds, {violation_count} violations", days.len(), args.seeds);
    if violation_count == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
