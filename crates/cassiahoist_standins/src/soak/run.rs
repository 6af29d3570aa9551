//! Plays the plan of a seed on a cell and checks what was observed.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cassiahoist_core::prelude::*;
use nix::sys::signal::Signal;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::callers::{Caller, JobOutcome};
use super::cell::SoakCell;
use super::cuts::Cut;
use super::network::Network;
use super::plan::{Disruption, Plan, PlannedDisruption, Target};
use super::{DAEMONS, FAILURE_DOMAINS, HOSTS};
use crate::invariants::{Invariant, Scope, Violation, find_violations};

/// Longest time until the daemons have a holder.
const START_TIMEOUT: Duration = Duration::from_millis(10_000);

/// Time that the holder has to learn of all hosts before jobs are submitted.
const SETTLE_DELAY: Duration = Duration::from_millis(2_000);

/// Time from the start of the callers to that of the plan.
const TRAFFIC_LEAD: Duration = Duration::from_millis(3_000);

/// Longest time from the end of the plan until all jobs have ended.
const COMPLETION_TIMEOUT: Duration = Duration::from_millis(45_000);

/// Time between two jobs of one caller.
const JOB_INTERVAL: Duration = Duration::from_millis(3_500);

/// Longest time that a soak takes beside its plan.
const OVERHEAD_TIMEOUT: Duration = Duration::from_millis(90_000);

/// Result of a soak.
#[derive(Debug)]
pub struct SoakReport {
    /// Violations of invariants that count whatever the faults.
    pub violations: Vec<Violation>,
    /// Observations about each violation, as lines.
    pub observations: Vec<Vec<String>>,
    /// Faults of the daemons' processes and jobs that have not ended.
    pub faults: Vec<String>,
    /// Number of jobs by outcome.
    pub outcomes: BTreeMap<JobOutcome, usize>,
    /// What was done when, in milliseconds.
    pub history: Vec<(u64, String)>,
}

impl SoakReport {
    /// Returns whether nothing is wrong.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty() && self.faults.is_empty()
    }
}

/// A soak in progress.
#[derive(Debug)]
struct Soak {
    cell: SoakCell,
    network: Network,
    /// Last daemon known to have the claim.
    last_holder: AtomicUsize,
    /// Daemon that had the claim when the latest island was cut off.
    isolated_holder: AtomicUsize,
    history: Mutex<Vec<(u64, String)>>,
}

/// Plays a plan of `length_ms` on new processes, with addresses that begin as `prefix` and logs in a folder.
///
/// # Errors
/// The cell can't be started, or the soak takes longer than it may.
pub async fn run_soak(
    plan: &Plan,
    length_ms: u64,
    program: &Path,
    folder: &Path,
    prefix: [u8; 3],
) -> io::Result<SoakReport> {
    let limit = Duration::from_millis(length_ms) + OVERHEAD_TIMEOUT;
    // The processes are killed when the future is dropped.
    tokio::time::timeout(limit, play(plan, length_ms, program, folder, prefix)).await?
}

async fn play(
    plan: &Plan,
    length_ms: u64,
    program: &Path,
    folder: &Path,
    prefix: [u8; 3],
) -> io::Result<SoakReport> {
    let (network, addresses) = Network::start(prefix).await?;
    let cell = SoakCell::start(program, folder, network.clone(), &addresses)?;
    let soak = Arc::new(Soak {
        cell,
        network,
        last_holder: AtomicUsize::new(0),
        isolated_holder: AtomicUsize::new(0),
        history: Mutex::default(),
    });
    soak.wait_for_holder().await?;
    let callers_addresses: Vec<_> = addresses.iter().map(|addresses| addresses.listen.callers).collect();
    let until = Instant::now() + TRAFFIC_LEAD + Duration::from_millis(length_ms);
    let mut callers = JoinSet::new();
    for home in 0..DAEMONS {
        let caller = Caller::new(home, soak.network.clone(), callers_addresses.clone());
        let seed = plan.seed.wrapping_mul(DAEMONS as u64 + 1).wrapping_add(home as u64);
        callers.spawn(caller.submit_jobs(seed, JOB_INTERVAL, until, until + COMPLETION_TIMEOUT));
    }
    tokio::time::sleep(TRAFFIC_LEAD).await;
    let outcomes = tokio::select! {
        outcomes = async {
            soak.play_disruptions(plan).await?;
            Ok::<_, io::Error>(callers.join_all().await.concat())
        } => outcomes?,
        () = soak.cell.supervise() => Vec::new(),
    };
    Ok(soak.report(&outcomes))
}

impl Soak {
    async fn wait_for_holder(&self) -> io::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        while self.network.holder().is_none() {
            if Instant::now() > deadline {
                return Err(io::Error::other("no daemon became the holder"));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        tokio::time::sleep(SETTLE_DELAY).await;
        Ok(())
    }

    /// Plays all disruptions of a plan, each at its time.
    async fn play_disruptions(self: &Arc<Self>, plan: &Plan) -> io::Result<()> {
        let start = Instant::now();
        let mut played = JoinSet::new();
        for (number, planned) in plan.disruptions.iter().cloned().enumerate() {
            let soak = Arc::clone(self);
            played.spawn(async move {
                tokio::time::sleep_until(start + Duration::from_millis(planned.at_ms)).await;
                soak.play_disruption(number, &planned).await
            });
        }
        played.join_all().await.into_iter().collect()
    }

    async fn play_disruption(&self, number: usize, planned: &PlannedDisruption) -> io::Result<()> {
        let span = Duration::from_millis(planned.for_ms);
        match planned.disruption.clone() {
            Disruption::Isolate { daemons, hosts, keeps_peers, direction } => {
                let holder = self.holder();
                self.isolated_holder.store(holder, Ordering::SeqCst);
                let (daemons, hosts) = island(holder, daemons, hosts);
                self.network.platform().with_platform(|platform, now_ms| {
                    platform.record_cut(hosts.iter().copied(), now_ms + planned.for_ms, now_ms);
                });
                let cut = Cut::new(daemons, hosts).with_peers_kept(keeps_peers).with_direction(direction);
                self.cut(number, cut, span).await;
            }
            Disruption::StoreOutage(direction) => {
                self.network.platform().with_platform(|platform, now_ms| {
                    platform.record_cut(0..HOSTS, now_ms + planned.for_ms, now_ms);
                });
                self.cut(number, Cut::store_outage().with_direction(direction), span).await;
            }
            Disruption::CutHosts { first, count, direction } => {
                let hosts = (first..first + count).map(|host| host % HOSTS).collect();
                self.cut(number, Cut::new(Vec::new(), hosts).with_direction(direction), span).await;
            }
            Disruption::CutDaemon(target, direction) => {
                let daemon = self.resolve(target);
                self.cut(number, Cut::new(vec![daemon], Vec::new()).with_direction(direction), span).await;
            }
            Disruption::Pause(target) => {
                let daemon = self.resolve(target);
                self.note(format!("pause edge-{daemon}"));
                self.cell.signal(daemon, Signal::SIGSTOP);
                tokio::time::sleep(span).await;
                self.cell.signal(daemon, Signal::SIGCONT);
                self.note(format!("edge-{daemon} goes on"));
            }
            Disruption::Kill(target) => {
                let daemon = self.resolve(target);
                self.note(format!("kill edge-{daemon}"));
                self.cell.kill(daemon);
                tokio::time::sleep(span).await;
                self.cell.end_downtime(daemon).await?;
                self.note(format!("start edge-{daemon}"));
            }
            Disruption::Terminate(target) => {
                let daemon = self.resolve(target);
                self.note(format!("terminate edge-{daemon}"));
                self.cell.terminate(daemon);
                tokio::time::sleep(span).await;
                self.cell.end_downtime(daemon).await?;
                self.note(format!("start edge-{daemon}"));
            }
            Disruption::Hangup(target) => {
                let daemon = self.resolve(target);
                self.note(format!("hang up edge-{daemon}"));
                self.cell.signal(daemon, Signal::SIGHUP);
            }
            Disruption::CrashHost(host) => {
                self.note(format!("host {host} crashes for {span:?}"));
                self.network.platform().with_platform(|platform, now_ms| {
                    platform.crash_host(host, planned.for_ms, now_ms);
                });
            }
            Disruption::RemoveHost(host) => {
                self.note(format!("host {host} leaves"));
                let platform = self.network.platform();
                platform.with_platform(|platform, now_ms| platform.deregister_host(host, now_ms));
                tokio::time::sleep(span).await;
                platform.with_platform(|platform, now_ms| platform.register_host(host, now_ms));
                self.note(format!("host {host} is back"));
            }
            Disruption::DelayOrders { host, delay_ms } => {
                self.note(format!("orders to host {host} are {delay_ms} ms late"));
                self.network.delay_orders(number, host, delay_ms);
                tokio::time::sleep(span).await;
                self.network.end_delays(number);
                self.note(format!("orders to host {host} arrive in time"));
            }
        }
        Ok(())
    }

    async fn cut(&self, number: usize, cut: Cut, span: Duration) {
        self.note(format!("cut {number}: {cut:?}"));
        self.network.change_cuts(|cuts| cuts.add(number, cut));
        tokio::time::sleep(span).await;
        self.network.change_cuts(|cuts| cuts.heal(number));
        self.note(format!("cut {number} heals"));
    }

    fn note(&self, text: String) {
        let now_ms = self.network.platform().now_ms();
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        history.push((now_ms, text));
    }

    /// Returns the daemon with the claim, or the last one if the store has none.
    fn holder(&self) -> usize {
        match self.network.holder() {
            Some(holder) => {
                self.last_holder.store(holder, Ordering::SeqCst);
                holder
            }
            None => self.last_holder.load(Ordering::SeqCst),
        }
    }

    fn resolve(&self, target: Target) -> usize {
        match target {
            Target::Holder => self.holder(),
            Target::IsolatedHolder => self.isolated_holder.load(Ordering::SeqCst),
            Target::Daemon(number) => number,
        }
    }

    fn report(&self, outcomes: &[JobOutcome]) -> SoakReport {
        let mut counts = BTreeMap::new();
        for outcome in outcomes {
            *counts.entry(*outcome).or_default() += 1;
        }
        let mut faults = self.cell.crashes();
        if let Some(open) = counts.get(&JobOutcome::Open) {
            faults.push(format!("{open} accepted jobs have not ended"));
        }
        let (violations, observations) = self.network.platform().with_platform(|platform, now_ms| {
            let mut violations = find_violations(&platform.trace, &platform.ground_truth, now_ms);
            // Disruptions overlap all the time, and no job has a gang.
            violations.retain(|violation| {
                violation.invariant != Invariant::GangStart && violation.scope == Scope::Always
            });
            let observations = violations
                .iter()
                .map(|violation| observations_about(violation, &platform.trace.observations))
                .collect();
            (violations, observations)
        });
        let history = self.history.lock().unwrap_or_else(PoisonError::into_inner).clone();
        SoakReport { violations, observations, faults, outcomes: counts, history }
    }
}

/// Returns the daemons and hosts of an island: the holder, then those of its failure domain, then the others.
fn island(holder: usize, daemons: usize, hosts: usize) -> (Vec<usize>, Vec<usize>) {
    let domains = FAILURE_DOMAINS.len();
    let distance = |number: usize| (number + domains - holder % domains) % domains;
    let mut daemon_numbers: Vec<usize> = (0..DAEMONS).collect();
    daemon_numbers.sort_by_key(|number| (*number != holder, distance(*number)));
    let mut host_numbers: Vec<usize> = (0..HOSTS).collect();
    host_numbers.sort_by_key(|number| distance(*number));
    daemon_numbers.truncate(daemons);
    host_numbers.truncate(hosts);
    (daemon_numbers, host_numbers)
}

/// Lists the observations about the task, job or host that a violation names first.
fn observations_about(
    violation: &Violation,
    observations: &[(u64, crate::trace::Observation)],
) -> Vec<String> {
    let subject = violation.detail.split_whitespace().next().unwrap_or_default();
    let is_task = subject.parse::<TaskName>().is_ok();
    observations
        .iter()
        .map(|(at_ms, observation)| format!("{at_ms:>7} {observation:?}"))
        .filter(|line| {
            line.contains(subject)
                || is_task
                    && subject.split('.').next().is_some_and(|job| line.contains(job))
                    && !line.contains("Run")
        })
        .collect()
}
