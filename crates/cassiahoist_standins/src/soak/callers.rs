//! Callers of a soak: they submit jobs, ask for their states and cancel some.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cassiahoist_core::prelude::*;
use cassiahoist_traffic::http_client::{Exchange, HttpClient};
use http_body_util::Full;
use hyper::{Method, Request};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::DAEMONS;
use super::network::Network;
use crate::trace::Observation;
use crate::workload::{ActualStep, ActualTask, Job, QUEUE_HOST, QUEUE_PATHS, Workload, draw_job};

/// Time that a caller waits for an answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Time between two queries for one job.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);

/// Greatest number of times that a job is submitted.
const MAX_SUBMISSIONS: usize = 6;

/// Pause of a caller after a refusal.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Tasks of the job that lasts for the whole soak.
const LASTING_TASKS: u32 = 12;

/// Outcome of a job as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum JobOutcome {
    /// The job completed.
    Completed,
    /// The job failed.
    Failed,
    /// The job was cancelled.
    Cancelled,
    /// Every submission was refused.
    Refused,
    /// The job was accepted and has not ended in time.
    Open,
    /// No submission had a clear answer.
    Unknown,
}

/// A caller, who sits beside one daemon and reaches those on the same side of every cut.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Number of the daemon that it sits beside.
    home: usize,
    /// Keeps connections open from one call to the next.
    http: HttpClient,
    network: Network,
    addresses: Vec<SocketAddr>,
}

impl Caller {
    /// Creates a caller beside a daemon; `addresses` are those of all daemons for callers.
    #[must_use]
    pub fn new(home: usize, network: Network, addresses: Vec<SocketAddr>) -> Self {
        Self { home, http: HttpClient::new(), network, addresses }
    }

    /// Submits jobs until a time, follows each until it has ended or the deadline is over, and returns the outcomes.
    pub async fn submit_jobs(
        self,
        seed: u64,
        interval: Duration,
        until: Instant,
        deadline: Instant,
    ) -> Vec<JobOutcome> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut jobs = JoinSet::new();
        if self.home == 0 {
            let job = lasting_job(&mut rng, LASTING_TASKS);
            jobs.spawn(self.clone().follow(job, rng.random(), Some(until), deadline));
        }
        while Instant::now() < until {
            let job = draw_soak_job(&mut rng);
            let cancel_after_ms = if job.runs_until_cancelled() {
                Some(rng.random_range(5_000..20_000))
            } else {
                rng.random_bool(0.08).then(|| rng.random_range(100..4_000))
            };
            let cancel_at = cancel_after_ms.map(|ms| Instant::now() + Duration::from_millis(ms));
            jobs.spawn(self.clone().follow(job, rng.random(), cancel_at, deadline));
            tokio::time::sleep(interval).await;
        }
        jobs.join_all().await
    }

    /// Submits a job and asks for its state until it has ended.
    async fn follow(self, job: Job, seed: u64, cancel_at: Option<Instant>, deadline: Instant) -> JobOutcome {
        let mut rng = SmallRng::seed_from_u64(seed);
        let platform = self.network.platform();
        platform.with_platform(|platform, _| platform.ground_truth.jobs.insert(job.id, job.clone()));
        if let Some(outcome) = self.submit(&job, &mut rng).await {
            return outcome;
        }
        let mut is_cancelled = false;
        while Instant::now() < deadline {
            if !is_cancelled && cancel_at.is_some_and(|at| Instant::now() >= at) {
                is_cancelled = self.cancel(&job, &mut rng).await;
            }
            let (status, text) = self.call(Method::GET, &job, b"", &mut rng).await;
            let states = ["completed", "failed", "cancelled", "running", "queued"];
            let state = states.into_iter().find(|state| text.contains(state)).unwrap_or_default();
            if status > 0 {
                self.record(Observation::StateAnswered { job: job.id, status, state: state.into() });
            }
            match state {
                "completed" => return JobOutcome::Completed,
                "failed" => return JobOutcome::Failed,
                "cancelled" => return JobOutcome::Cancelled,
                _ => tokio::time::sleep(QUERY_INTERVAL).await,
            }
        }
        JobOutcome::Open
    }

    /// Submits a job until it is accepted; returns its outcome if it never is.
    async fn submit(&self, job: &Job, rng: &mut SmallRng) -> Option<JobOutcome> {
        let mut was_only_refused = true;
        for _ in 0..MAX_SUBMISSIONS {
            let (status, _) = self.call(Method::POST, job, &job.body, rng).await;
            self.record(Observation::JobSubmitted { job: job.id, status });
            match status {
                200..=299 => return None,
                429 | 503 => {}
                _ => was_only_refused = false,
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        Some(if was_only_refused { JobOutcome::Refused } else { JobOutcome::Unknown })
    }

    /// Asks to cancel a job and returns whether that was confirmed.
    async fn cancel(&self, job: &Job, rng: &mut SmallRng) -> bool {
        self.record(Observation::CancelRequested { job: job.id });
        let (status, _) = self.call(Method::DELETE, job, b"", rng).await;
        self.record(Observation::CancelAnswered { job: job.id, status });
        (200..300).contains(&status)
    }

    /// Calls one of the daemons in reach; returns status and body, status 0 if no answer arrived.
    async fn call(&self, method: Method, job: &Job, body: &[u8], rng: &mut SmallRng) -> (u16, String) {
        let in_reach: Vec<usize> =
            (0..DAEMONS).filter(|daemon| self.network.are_together(self.home, *daemon)).collect();
        let daemon = in_reach[rng.random_range(0..in_reach.len())];
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{}", QUEUE_PATHS[job.queue], job.id))
            .header("host", QUEUE_HOST)
            .header("x-deadline-ms", CALL_TIMEOUT.as_millis().to_string())
            .body(Full::new(Bytes::copy_from_slice(body)));
        let Ok(request) = request else { return (0, String::new()) };
        match self.http.exchange(&self.addresses[daemon].to_string(), request, CALL_TIMEOUT).await {
            Exchange::Response(response) => {
                (response.status().as_u16(), String::from_utf8_lossy(response.body()).into_owned())
            }
            Exchange::NotSent(_) | Exchange::NoResponse => (0, String::new()),
        }
    }

    fn record(&self, observation: Observation) {
        self.network.platform().with_platform(|platform, now_ms| platform.trace.record(now_ms, observation));
    }
}

/// Draws a job with tasks of 1 to 3 s, or with lasting ones.
fn draw_soak_job(rng: &mut SmallRng) -> Job {
    let Job { id, queue, mut steps, .. } = draw_job(rng, Workload::Plain, 0);
    for step in &mut steps {
        step.task.gang = false;
        if !step.task.runs_until_cancelled {
            step.task.work_ms = rng.random_range(1_000..=3_000);
        }
    }
    Job::new(id, queue, steps, 0)
}

fn lasting_job(rng: &mut SmallRng, tasks: u32) -> Job {
    let task = ActualTask {
        work_ms: 1_000,
        size: Resources::new(2_000, 256, 0),
        fails: false,
        gang: false,
        checkpoints: false,
        runs_until_cancelled: true,
        crashes_hosts: false,
    };
    let step = ActualStep {
        tasks,
        after: Vec::new(),
        task,
        required_label: None,
        max_per_host: None,
        disruption_budget: None,
        allows_copies: false,
        deadly_task: None,
    };
    Job::new(JobId(rng.random()), QUEUE_PATHS.len() - 1, vec![step], 0)
}
