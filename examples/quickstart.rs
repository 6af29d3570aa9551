//! Runs a small cell on loopback: real daemon processes, a stand-in platform and callers.
//!
//! `cargo run --release --example quickstart` submits jobs for ten seconds, kills one daemon halfway, waits
//! until every job has ended and checks what callers and hosts observed.

use std::process::ExitCode;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long};
use bytes::Bytes;
use cassiahoist_core::prelude::JobId;
use cassiahoist_standins::daemon_process::{DaemonProcess, build_daemon, start_daemon};
use cassiahoist_standins::invariants::{Invariant, Scope, find_violations};
use cassiahoist_standins::loopback::SharedPlatform;
use cassiahoist_standins::trace::Observation;
use cassiahoist_standins::workload::{Job, QUEUE_HOST, QUEUE_PATHS, Workload, draw_job};
use cassiahoist_traffic::http_client::{Exchange, HttpClient};
use http_body_util::Full;
use hyper::{Method, Request};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Number of daemons.
const DAEMONS: usize = 3;

/// Number of hosts, the backend servers that run tasks.
const HOSTS: usize = 8;

/// Time for the daemons to discover each other before jobs are submitted.
const MEMBERSHIP_DELAY: Duration = Duration::from_millis(1_500);

/// Longest time from the last submission until all jobs have ended.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(40);

/// Time that a caller waits for an answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Time between two jobs.
const JOB_INTERVAL: Duration = Duration::from_millis(120);

/// Number of times that a job is submitted at most.
const MAX_SUBMISSIONS: u32 = 5;

#[derive(Clone, Debug)]
struct Args {
    seconds: u64,
    seed: u64,
}

fn args() -> OptionParser<Args> {
    let seconds =
        long("seconds").help("Time during which jobs are submitted, in seconds").argument("S").fallback(10);
    let seed = long("seed").help("Seed for drawing the jobs").argument("N").fallback(7);
    construct!(Args { seconds, seed }).to_options().descr("Runs a small cell on loopback")
}

/// Number of jobs by outcome.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    sent: u64,
    answered: u64,
    refused: u64,
    cancelled: u64,
    failed: u64,
    unknown: u64,
}

/// Outcome of a job as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobOutcome {
    Completed,
    Failed,
    Cancelled,
    Refused,
    Unknown,
}

#[derive(Clone, Debug)]
struct Caller {
    http: HttpClient,
    platform: SharedPlatform,
    addresses: Vec<String>,
}

impl Caller {
    /// Calls a daemon and returns status and body of the answer.
    ///
    /// Daemons are numbered modulo their count. The status is 0 if no answer arrived.
    async fn call(&self, daemon: usize, method: Method, job: &Job, body: &[u8]) -> (u16, String) {
        let path = format!("{}{}", QUEUE_PATHS[job.queue], job.id);
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", QUEUE_HOST)
            .header("x-deadline-ms", CALL_TIMEOUT.as_millis().to_string())
            .body(Full::new(Bytes::copy_from_slice(body)));
        let Ok(request) = request else { return (0, String::new()) };
        match self.http.exchange(&self.addresses[daemon % self.addresses.len()], request, CALL_TIMEOUT).await
        {
            Exchange::Response(response) => {
                let text = String::from_utf8_lossy(response.body()).into_owned();
                (response.status().as_u16(), text)
            }
            Exchange::NotSent(_) | Exchange::NoResponse => (0, String::new()),
        }
    }

    fn record(&self, observation: Observation) {
        self.platform.with_platform(|platform, now_ms| platform.trace.record(now_ms, observation));
    }

    /// Submits a job until it is accepted; returns its outcome if it never is.
    async fn submit(&self, job: &Job, daemon: usize) -> Option<JobOutcome> {
        let mut last_status = 0;
        for attempt in 0..MAX_SUBMISSIONS as usize {
            let (status, _) = self.call(daemon + attempt, Method::POST, job, &job.body).await;
            self.record(Observation::JobSubmitted { job: job.id, status });
            last_status = status;
            match status {
                200..=299 => return None,
                429 | 503 => tokio::time::sleep(Duration::from_millis(500)).await,
                _ => {}
            }
        }
        Some(if matches!(last_status, 429 | 503) { JobOutcome::Refused } else { JobOutcome::Unknown })
    }

    /// Submits a job and queries its state until it has ended.
    ///
    /// A job that runs until cancelled is cancelled after 4 s.
    async fn submit_and_follow(self, job: Job, daemon: usize, deadline: tokio::time::Instant) -> JobOutcome {
        if let Some(job_outcome) = self.submit(&job, daemon).await {
            return job_outcome;
        }
        let cancel_at =
            job.runs_until_cancelled().then(|| tokio::time::Instant::now() + Duration::from_secs(4));
        let mut called_daemon = daemon;
        while tokio::time::Instant::now() < deadline {
            called_daemon += 1;
            if cancel_at.is_some_and(|at| tokio::time::Instant::now() >= at) {
                self.cancel(job.id, &job, called_daemon).await;
            }
            let (status, text) = self.call(called_daemon, Method::GET, &job, b"").await;
            let state = ["completed", "failed", "cancelled", "running", "queued"]
                .into_iter()
                .find(|state| text.contains(state))
                .unwrap_or_default();
            if status > 0 {
                self.record(Observation::StateAnswered { job: job.id, status, state: state.into() });
            }
            match state {
                "completed" => return JobOutcome::Completed,
                "failed" => return JobOutcome::Failed,
                "cancelled" => return JobOutcome::Cancelled,
                _ => tokio::time::sleep(Duration::from_millis(300)).await,
            }
        }
        JobOutcome::Unknown
    }

    async fn cancel(&self, id: JobId, job: &Job, daemon: usize) {
        self.record(Observation::CancelRequested { job: id });
        let (status, _) = self.call(daemon, Method::DELETE, job, b"").await;
        self.record(Observation::CancelAnswered { job: id, status });
    }
}

fn count_outcome(tally: &mut Tally, job_outcome: JobOutcome) {
    match job_outcome {
        JobOutcome::Completed => tally.answered += 1,
        JobOutcome::Failed => tally.failed += 1,
        JobOutcome::Cancelled => tally.cancelled += 1,
        JobOutcome::Refused => tally.refused += 1,
        JobOutcome::Unknown => tally.unknown += 1,
    }
}

fn start_cell(
    folder: &std::path::Path,
    addresses: &cassiahoist_standins::loopback::PlatformAddresses,
) -> std::io::Result<Vec<DaemonProcess>> {
    let program = build_daemon()?;
    std::fs::create_dir_all(folder)?;
    (0..DAEMONS).map(|number| start_daemon(&program, folder, number, addresses)).collect()
}

async fn run_quickstart(args: Args) -> std::io::Result<bool> {
    let (platform, addresses) = SharedPlatform::start(HOSTS).await?;
    let folder = std::env::temp_dir().join(format!("cassiahoist-quickstart-{}", std::process::id()));
    let mut daemons = start_cell(&folder, &addresses)?;
    tokio::time::sleep(MEMBERSHIP_DELAY).await;
    let addresses = daemons.iter().map(|daemon| daemon.callers_address.to_string()).collect();
    let caller = Caller { http: HttpClient::new(), platform: platform.clone(), addresses };
    let mut rng = SmallRng::seed_from_u64(args.seed);
    let traffic = Duration::from_secs(args.seconds);
    let start = tokio::time::Instant::now();
    let mut job_tasks = Vec::new();
    let mut is_daemon_killed = false;
    while start.elapsed() < traffic {
        let job = draw_job(&mut rng, Workload::Plain, 0);
        platform.with_platform(|platform, _| platform.ground_truth.jobs.insert(job.id, job.clone()));
        let daemon = rng.random_range(0..DAEMONS);
        job_tasks.push(tokio::spawn(caller.clone().submit_and_follow(
            job,
            daemon,
            start + traffic + COMPLETION_TIMEOUT,
        )));
        tokio::time::sleep(JOB_INTERVAL).await;
        if !is_daemon_killed && start.elapsed() > traffic / 2 {
            is_daemon_killed = true;
            daemons[0].kill()?;
            println!("quickstart: daemon edge-0 killed after {} ms", start.elapsed().as_millis());
        }
    }
    let mut tally = Tally { sent: job_tasks.len() as u64, ..Tally::default() };
    for task in job_tasks {
        count_outcome(&mut tally, task.await.unwrap_or(JobOutcome::Unknown));
    }
    let all_running = daemons.iter_mut().skip(1).all(|daemon| matches!(daemon.try_exit_status(), Ok(None)));
    if !all_running {
        println!("quickstart: a daemon exited unexpectedly; see the logs in {}", folder.display());
    }
    Ok(print_report(&platform, tally) && all_running)
}

/// Prints the outcomes of the jobs and returns whether no invariant was violated.
fn print_report(platform: &SharedPlatform, tally: Tally) -> bool {
    let (mut violations, now_ms) = platform.with_platform(|platform, now_ms| {
        (find_violations(&platform.trace, &platform.ground_truth, now_ms), now_ms)
    });
    // A daemon is killed, so violations that a recent fault excuses don't count here, nor do gang starts.
    violations
        .retain(|violation| violation.invariant != Invariant::GangStart && violation.scope == Scope::Always);
    for violation in &violations {
        println!("quickstart: {violation}");
    }
    println!(
        "quickstart: {} failed by their tasks, {} cancelled by their callers, {} with unknown outcome, {now_ms} ms",
        tally.failed, tally.cancelled, tally.unknown
    );
    let count = |invariant| violations.iter().filter(|violation| violation.invariant == invariant).count();
    let (lost, doubled) = (count(Invariant::JobCompletion), count(Invariant::SingleRun));
    println!(
        "quickstart: {} sent, {} answered, {} refused, {lost} lost, {doubled} doubled",
        tally.sent, tally.answered, tally.refused
    );
    violations.is_empty() && tally.unknown == 0
}

fn main() -> ExitCode {
    let args = args().run();
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let outcome = runtime.and_then(|runtime| runtime.block_on(run_quickstart(args)));
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            println!("quickstart: violated an invariant, left a job with unknown outcome or lost a daemon");
            ExitCode::FAILURE
        }
        Err(error) => {
            println!("quickstart: failed to run: {error}");
            ExitCode::FAILURE
        }
    }
}
