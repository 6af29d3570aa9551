//! A small cell on loopback: shipped daemons as processes of their own, stand-ins for the platform, callers.
//!
//! `cargo run --release --example quickstart` hands jobs in for ten seconds, kills one daemon on the way, waits until
//! every job has ended and judges the day by what callers and hosts saw.

use std::process::ExitCode;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long};
use bytes::Bytes;
use cassiahoist_core::prelude::JobId;
use cassiahoist_standins::cell::{DaemonProcess, build_daemon, start_daemon};
use cassiahoist_standins::server::SharedPlatform;
use cassiahoist_standins::trace::Fact;
use cassiahoist_standins::verdict::{Promise, Scope, judge};
use cassiahoist_standins::workload::{Job, QUEUE_HOST, QUEUE_PATHS, Workload, draw_job};
use cassiahoist_traffic::http_client::{Exchange, HttpClient};
use http_body_util::Full;
use hyper::{Method, Request};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Daemons of the cell.
const DAEMONS: usize = 3;

/// Backend servers.
const HOSTS: usize = 8;

/// Time for the daemons to find each other.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Longest time in which jobs end after the last was handed in.
const FINISH: Duration = Duration::from_secs(40);

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_millis(3_000);

/// Pause between two jobs.
const JOB_EVERY: Duration = Duration::from_millis(120);

/// Times that a job is handed in.
const TRIES: u32 = 5;

#[derive(Clone, Debug)]
struct Args {
    seconds: u64,
    seed: u64,
}

fn args() -> OptionParser<Args> {
    let seconds = long("seconds").help("Time in which jobs are handed in").argument("S").fallback(10);
    let seed = long("seed").help("Seed of the jobs").argument("N").fallback(7);
    construct!(Args { seconds, seed }).to_options().descr("A small cell on loopback")
}

/// What became of the callers' jobs.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    sent: u64,
    answered: u64,
    refused: u64,
    cancelled: u64,
    failed: u64,
    unknown: u64,
}

/// How one job ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
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
    async fn call(&self, server: usize, method: Method, job: &Job, body: &[u8]) -> (u16, String) {
        let path = format!("{}{}", QUEUE_PATHS[job.queue], job.id);
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", QUEUE_HOST)
            .header("x-deadline-ms", PATIENCE.as_millis().to_string())
            .body(Full::new(Bytes::copy_from_slice(body)));
        let Ok(request) = request else { return (0, String::new()) };
        match self.http.exchange(&self.addresses[server % self.addresses.len()], request, PATIENCE).await {
            Exchange::Answered(response) => {
                let text = String::from_utf8_lossy(response.body()).into_owned();
                (response.status().as_u16(), text)
            }
            Exchange::NotSent | Exchange::Lost => (0, String::new()),
        }
    }

    fn note(&self, fact: Fact) {
        self.platform.with(|platform, now_ms| platform.trace.note(now_ms, fact));
    }

    /// Hands a job in until it is accepted.
    async fn submit(&self, job: &Job, server: usize) -> Option<End> {
        let mut last = 0;
        for attempt in 0..TRIES as usize {
            let (status, _) = self.call(server + attempt, Method::POST, job, &job.body).await;
            self.note(Fact::Submitted { job: job.id, status });
            last = status;
            match status {
                200..=299 => return None,
                429 | 503 => tokio::time::sleep(Duration::from_millis(500)).await,
                _ => {}
            }
        }
        Some(if matches!(last, 429 | 503) { End::Refused } else { End::Unknown })
    }

    /// Hands a job in, asks for it until it has ended, and cancels it if it lasts.
    async fn follow(self, job: Job, server: usize, until: tokio::time::Instant) -> End {
        if let Some(end) = self.submit(&job, server).await {
            return end;
        }
        let cancel_at = job.lasts().then(|| tokio::time::Instant::now() + Duration::from_secs(4));
        let mut attempt = server;
        while tokio::time::Instant::now() < until {
            attempt += 1;
            if cancel_at.is_some_and(|at| tokio::time::Instant::now() >= at) {
                self.cancel(job.id, &job, attempt).await;
            }
            let (status, text) = self.call(attempt, Method::GET, &job, b"").await;
            let state = ["completed", "failed", "cancelled", "running", "queued"]
                .into_iter()
                .find(|state| text.contains(state))
                .unwrap_or_default();
            if status > 0 {
                self.note(Fact::Shown { job: job.id, status, state: state.into() });
            }
            match state {
                "completed" => return End::Completed,
                "failed" => return End::Failed,
                "cancelled" => return End::Cancelled,
                _ => tokio::time::sleep(Duration::from_millis(300)).await,
            }
        }
        End::Unknown
    }

    async fn cancel(&self, id: JobId, job: &Job, server: usize) {
        self.note(Fact::CancelSent { job: id });
        let (status, _) = self.call(server, Method::DELETE, job, b"").await;
        self.note(Fact::Cancelled { job: id, status });
    }
}

fn add(tally: &mut Tally, end: End) {
    match end {
        End::Completed => tally.answered += 1,
        End::Failed => tally.failed += 1,
        End::Cancelled => tally.cancelled += 1,
        End::Refused => tally.refused += 1,
        End::Unknown => tally.unknown += 1,
    }
}

fn start_cell(
    folder: &std::path::Path,
    addresses: &cassiahoist_standins::server::Addresses,
) -> std::io::Result<Vec<DaemonProcess>> {
    let program = build_daemon()?;
    std::fs::create_dir_all(folder)?;
    (0..DAEMONS).map(|number| start_daemon(&program, folder, number, addresses)).collect()
}

async fn play(args: Args) -> std::io::Result<bool> {
    let (platform, addresses) = SharedPlatform::start(HOSTS).await?;
    let folder = std::env::temp_dir().join(format!("cassiahoist-quickstart-{}", std::process::id()));
    let mut daemons = start_cell(&folder, &addresses)?;
    tokio::time::sleep(SETTLE).await;
    let addresses = daemons.iter().map(|daemon| daemon.callers.to_string()).collect();
    let caller = Caller { http: HttpClient::new(), platform: platform.clone(), addresses };
    let mut rng = SmallRng::seed_from_u64(args.seed);
    let traffic = Duration::from_secs(args.seconds);
    let start = tokio::time::Instant::now();
    let mut following = Vec::new();
    let mut killed = false;
    while start.elapsed() < traffic {
        let job = draw_job(&mut rng, Workload::Plain);
        platform.with(|platform, _| platform.truth.jobs.insert(job.id, job.clone()));
        let server = rng.random_range(0..DAEMONS);
        following.push(tokio::spawn(caller.clone().follow(job, server, start + traffic + FINISH)));
        tokio::time::sleep(JOB_EVERY).await;
        if !killed && start.elapsed() > traffic / 2 {
            killed = true;
            daemons[0].kill()?;
            println!("quickstart: daemon edge-0 killed after {} ms", start.elapsed().as_millis());
        }
    }
    let mut tally = Tally { sent: following.len() as u64, ..Tally::default() };
    for task in following {
        add(&mut tally, task.await.unwrap_or(End::Unknown));
    }
    let alive = daemons.iter_mut().skip(1).all(|daemon| matches!(daemon.ended(), Ok(None)));
    if !alive {
        println!("quickstart: a daemon ended by itself; see {}", folder.display());
    }
    Ok(report(&platform, tally) && alive)
}

/// Prints what became of the jobs; tells whether every promise was kept.
fn report(platform: &SharedPlatform, tally: Tally) -> bool {
    let (mut found, now_ms) =
        platform.with(|platform, now_ms| (judge(&platform.trace, &platform.truth, now_ms), now_ms));
    // A daemon is killed, so that promises of daemons in touch and of gangs can't be judged here.
    found.retain(|violation| violation.promise != Promise::Gang && violation.scope == Scope::Always);
    for violation in &found {
        println!("quickstart: {violation}");
    }
    println!(
        "quickstart: {} failed as their tasks do, {} cancelled by their callers, {} without a known end, {now_ms} ms",
        tally.failed, tally.cancelled, tally.unknown
    );
    let count = |promise| found.iter().filter(|violation| violation.promise == promise).count();
    let (lost, doubled) = (count(Promise::Lost), count(Promise::Twice));
    println!(
        "quickstart: {} sent, {} answered, {} refused, {lost} lost, {doubled} doubled",
        tally.sent, tally.answered, tally.refused
    );
    found.is_empty() && tally.unknown == 0
}

fn main() -> ExitCode {
    let args = args().run();
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let outcome = runtime.and_then(|runtime| runtime.block_on(play(args)));
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            println!("quickstart: a promise was broken");
            ExitCode::FAILURE
        }
        Err(error) => {
            println!("quickstart: could not run: {error}");
            ExitCode::FAILURE
        }
    }
}
