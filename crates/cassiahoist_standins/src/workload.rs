//! Generated jobs and the ground truth about their tasks.

use cassiahoist_core::prelude::*;
use rand::Rng;
use rand::rngs::SmallRng;
use rustc_hash::FxHashMap;
use serde_json::{Value, json};

/// Actual behaviour of one task, which may differ from the declared one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActualTask {
    /// Total work of the task, in milliseconds.
    pub work_ms: u64,
    /// Resources that a run reserves.
    pub size: Resources,
    /// Whether it fails on every host, halfway through its work.
    pub fails: bool,
    /// Whether it makes progress only while all tasks of its step run.
    pub gang: bool,
    /// Whether it writes checkpoints, from which a later run resumes.
    pub checkpoints: bool,
    /// Whether it runs until its job is cancelled.
    pub runs_until_cancelled: bool,
    /// Whether it ends the process of each host that starts it.
    pub crashes_hosts: bool,
}

/// Actual behaviour of one step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActualStep {
    /// Number of tasks.
    pub tasks: u32,
    /// Numbers of the steps that have to complete first.
    pub after: Vec<u16>,
    /// Behaviour that all its tasks share.
    pub task: ActualTask,
    /// Label that its hosts need; `None` allows every host.
    pub required_label: Option<&'static str>,
    /// Greatest number of its tasks on one host; `None` for no limit.
    pub max_per_host: Option<u32>,
    /// Greatest number of its tasks that the scheduler may interrupt at a time.
    ///
    /// `None` for no limit.
    pub disruption_budget: Option<u32>,
    /// Whether several runs of one of its tasks may exist at a time.
    pub allows_copies: bool,
    /// Index of the task that ends the process of each host that starts it; `None` if there is none.
    pub deadly_task: Option<u32>,
}

/// A job as submitted by its caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Identity, chosen by the caller.
    pub id: JobId,
    /// Index of its queue in [`QUEUE_PATHS`].
    pub queue: usize,
    /// Steps by number, as in [`ActualStep::after`].
    pub steps: Vec<ActualStep>,
    /// Body of the submission, in the platform's format.
    pub body: Vec<u8>,
}

impl Job {
    /// Creates a job with a body whose argument is `padding_bytes` longer than its name.
    #[must_use]
    pub fn new(id: JobId, queue: usize, steps: Vec<ActualStep>, padding_bytes: usize) -> Self {
        let step_values: Vec<Value> = steps.iter().map(step_json).collect();
        let argument = format!("job {id}{}", "x".repeat(padding_bytes));
        let body = json!({ "spec": argument, "steps": step_values }).to_string().into_bytes();
        Self { id, queue, steps, body }
    }

    /// Returns whether the job can complete, that is, none of its tasks always fails or crashes its hosts.
    #[must_use]
    pub fn can_complete(&self) -> bool {
        self.steps.iter().all(|step| !step.task.fails && step.deadly_task.is_none())
    }

    /// Returns whether the job runs until it is cancelled.
    #[must_use]
    pub fn runs_until_cancelled(&self) -> bool {
        self.steps.iter().any(|step| step.task.runs_until_cancelled)
    }
}

/// Ground truth about all jobs, unknown to the daemons.
#[derive(Clone, Debug, Default)]
pub struct GroundTruth {
    /// Kind of workload that the jobs are drawn from.
    pub workload: Workload,
    /// Submitted jobs by identity.
    pub jobs: FxHashMap<JobId, Job>,
}

impl GroundTruth {
    /// Finds the behaviour of a task by name; `None` if the task doesn't exist.
    #[must_use]
    pub fn find_task(&self, task: &str) -> Option<ActualTask> {
        let name: TaskName = task.parse().ok()?;
        let step = self.jobs.get(&name.step.job)?.steps.get(usize::from(name.step.index))?;
        let crashes_hosts = step.deadly_task == Some(name.index);
        (name.index < step.tasks).then_some(ActualTask { crashes_hosts, ..step.task })
    }

    /// Returns the account of a job; `None` if the workload has no accounts.
    #[must_use]
    pub fn account_of(&self, job: JobId) -> Option<usize> {
        if self.workload != Workload::Accounts {
            return None;
        }
        let draw = job.0 % 10;
        let other = || 1 + (draw - FIRST_ACCOUNT_JOBS) as usize % (ACCOUNTS - 1);
        Some(if draw < FIRST_ACCOUNT_JOBS { 0 } else { other() })
    }

    /// Returns whether a task may have several runs at a time.
    #[must_use]
    pub fn allows_copies(&self, name: &TaskName) -> bool {
        let job = self.jobs.get(&name.step.job);
        job.and_then(|job| job.steps.get(usize::from(name.step.index))).is_some_and(|step| step.allows_copies)
    }
}

/// Kind of jobs that callers submit and of configurations that operators write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Workload {
    /// One pool of equal hosts; steps require nothing but resources.
    #[default]
    Plain,
    /// Two pools and two kinds of hosts; steps require labels, limits and disruption budgets.
    ///
    /// Even configuration versions move the batch queue to the second pool, and each version has a queue of
    /// its own.
    Varied,
    /// One pool of equal hosts; most steps allow copies and limit their tasks on one host.
    Copies,
    /// One pool of equal hosts; jobs belong to accounts with caps, most of them to the first.
    Accounts,
}

impl Workload {
    /// All kinds of workload.
    pub const ALL: [Self; 4] = [Self::Plain, Self::Varied, Self::Copies, Self::Accounts];

    /// Returns the pool that runs a queue under a configuration version.
    #[must_use]
    pub fn pool(self, queue: usize, version: u64) -> &'static str {
        match self {
            Self::Varied if queue == BATCH_QUEUE && version.is_multiple_of(2) => SECOND_POOL,
            Self::Plain | Self::Varied | Self::Copies | Self::Accounts => DEFAULT_POOL,
        }
    }

    /// Returns the pool of a host by its number.
    #[must_use]
    pub fn host_pool(self, number: usize) -> &'static str {
        if self == Self::Varied && number % 2 == 1 { SECOND_POOL } else { DEFAULT_POOL }
    }

    /// Returns the label of a host's kind by its number.
    #[must_use]
    pub fn host_label(self, number: usize) -> &'static str {
        if self == Self::Varied && number % 4 < 2 { SECOND_LABEL } else { FIRST_LABEL }
    }
}

/// Number of accounts.
const ACCOUNTS: usize = 4;

/// Number of jobs in ten that belong to the first account.
const FIRST_ACCOUNT_JOBS: u64 = 7;

/// Returns the key of an account's callers.
#[must_use]
pub fn account_key(account: usize) -> String {
    format!("key-of-account-{account}")
}

/// Returns the cap of an account: the widest gang fits, and the first account would often use more.
#[must_use]
pub fn account_cap(account: usize) -> Resources {
    Resources::new(if account == 0 { 64_000 } else { 32_000 }, 512_000, 0)
}

fn accounts_json() -> Vec<Value> {
    let account_json = |account: usize| {
        let cap = account_cap(account);
        json!({
            "name": format!("account-{account}"), "apiKeys": [account_key(account)], "weight": 1.0,
            "cap": { "cpu": cap.cpu_milli, "memMb": cap.memory_mib, "gpu": cap.accelerators },
        })
    };
    (0..ACCOUNTS).map(account_json).collect()
}

/// Labels of the two kinds of hosts.
const FIRST_LABEL: &str = "a";
const SECOND_LABEL: &str = "b";

/// Host name in the URLs of callers.
pub const QUEUE_HOST: &str = "desk.example";

/// Pool that runs all queues of the plain workload.
pub const DEFAULT_POOL: &str = "desk";

/// Second pool of the varied workload.
const SECOND_POOL: &str = "press";

/// Number of failed runs of a task after which its job fails.
pub const MAX_ATTEMPTS: u32 = 3;

/// URL paths of the queues.
///
/// In order: short jobs, long batches and jobs that run until cancelled.
pub const QUEUE_PATHS: [&str; 3] = ["/checks/", "/batches/", "/watches/"];

/// Index of the queue of long batches.
const BATCH_QUEUE: usize = 1;

/// Returns the path of the queue that exists only in one configuration version.
#[must_use]
pub fn version_queue_path(version: u64) -> String {
    format!("/only-{version}/")
}

/// Returns the configuration of a version, in the platform's format.
#[must_use]
pub fn config_json(version: u64, workload: Workload) -> Value {
    let route = |name: &str, path: &str, pool: &str, priority: u32, advice: bool| {
        let mut route = json!({
            "name": name, "host": QUEUE_HOST, "pathPrefix": path, "service": pool, "priority": priority,
            "maxAttempts": MAX_ATTEMPTS, "stretch": 2.0, "targetLatencyMs": 500, "timeoutMs": 3000,
        });
        if advice {
            route["hint"] =
                json!({ "decideMs": 20.0, "perWorkerMs": 0.3, "validityMs": crate::advice::TICKET_MS });
        }
        route
    };
    let mut routes = vec![
        route("checks", QUEUE_PATHS[0], workload.pool(0, version), 0, true),
        route("batches", QUEUE_PATHS[1], workload.pool(BATCH_QUEUE, version), 2, false),
        route("watches", QUEUE_PATHS[2], workload.pool(2, version), 1, false),
    ];
    let service = |name: &str| json!({ "name": name, "rejectsOverload": false, "standby": false });
    let mut services = vec![service(DEFAULT_POOL)];
    if workload == Workload::Varied {
        routes.push(route(&format!("only-{version}"), &version_queue_path(version), DEFAULT_POOL, 3, false));
        services.push(service(SECOND_POOL));
    }
    let tenants = if workload == Workload::Accounts { accounts_json() } else { Vec::new() };
    json!({
        "version": version, "routes": routes, "services": services, "tenants": tenants,
        "limits": { "maxBodyBytes": 262_144 },
    })
}

/// Draws a random job, whose argument is up to `max_argument_bytes` longer than its name.
pub fn draw_job(rng: &mut SmallRng, workload: Workload, max_argument_bytes: usize) -> Job {
    let id = JobId(rng.random());
    let queue = match rng.random_range(0..10) {
        0..=5 => 0,
        6..=8 => 1,
        _ => 2,
    };
    let count = if queue == 2 { 1 } else { rng.random_range(1..=3_u16) };
    let mut steps: Vec<ActualStep> = (0..count).map(|number| draw_step(rng, queue, number)).collect();
    for step in &mut steps {
        match workload {
            Workload::Plain | Workload::Accounts => {}
            Workload::Varied => draw_constraints(rng, queue, step),
            Workload::Copies => draw_copies(rng, step),
        }
    }
    let padding_bytes = if max_argument_bytes > 0 { rng.random_range(0..=max_argument_bytes) } else { 0 };
    Job::new(id, queue, steps, padding_bytes)
}

fn draw_step(rng: &mut SmallRng, queue: usize, number: u16) -> ActualStep {
    let gang = queue == 1 && rng.random_bool(0.3);
    let task = ActualTask {
        work_ms: if queue == 0 { rng.random_range(100..900) } else { rng.random_range(500..4_000) },
        size: Resources::new(rng.random_range(500..5_000), rng.random_range(100..4_000), 0),
        fails: queue != 2 && rng.random_bool(0.02),
        gang,
        checkpoints: queue == 1 && rng.random_bool(0.7),
        runs_until_cancelled: queue == 2,
        crashes_hosts: false,
    };
    let after = if number > 0 && rng.random_bool(0.8) { vec![number - 1] } else { Vec::new() };
    ActualStep {
        tasks: rng.random_range(1..=6),
        after,
        task,
        required_label: None,
        max_per_host: None,
        disruption_budget: None,
        allows_copies: false,
        deadly_task: None,
    }
}

/// Makes one task of a job, in a step drawn at random, crash each host that starts it.
pub fn make_deadly(rng: &mut SmallRng, job: &mut Job) {
    let step = rng.random_range(0..job.steps.len());
    let step = &mut job.steps[step];
    step.deadly_task = Some(rng.random_range(0..step.tasks));
}

/// Makes the tasks of a job take seven times as long, which their estimates don't tell.
pub fn make_long(job: &mut Job) {
    for step in &mut job.steps {
        step.task.work_ms *= 7;
    }
}

/// Makes a job run very many times, all of them due at once or from some seconds after `unix_ms` on.
pub fn make_series(rng: &mut SmallRng, job: &mut Job, unix_ms: u64) {
    let Ok(Value::Object(mut body)) = serde_json::from_slice(&job.body) else { return };
    let first_run_unix_ms = if rng.random_bool(0.5) { 0 } else { unix_ms + rng.random_range(0..10_000) };
    body.insert("repeatCount".into(), json!(rng.random_range(10_000..100_000_000)));
    body.insert("firstRunMs".into(), json!(first_run_unix_ms));
    body.insert("intervalMs".into(), json!(rng.random_range(1..3_000)));
    job.body = Value::Object(body).to_string().into_bytes();
}

/// Draws the label, limit per host and disruption budget of a step.
fn draw_constraints(rng: &mut SmallRng, queue: usize, step: &mut ActualStep) {
    if queue == BATCH_QUEUE && !step.task.gang && rng.random_bool(0.3) {
        step.required_label = Some(if rng.random_bool(0.5) { FIRST_LABEL } else { SECOND_LABEL });
    }
    if step.required_label.is_none() && !step.task.gang && rng.random_bool(0.3) {
        step.max_per_host = Some(rng.random_range(2..=3));
    }
    if step.task.runs_until_cancelled && rng.random_bool(0.7) {
        step.disruption_budget = Some(rng.random_range(1..=2));
    }
}

/// Draws whether a step allows copies, and its limit per host.
fn draw_copies(rng: &mut SmallRng, step: &mut ActualStep) {
    if !step.task.gang && !step.task.runs_until_cancelled && rng.random_bool(0.8) {
        step.allows_copies = true;
        step.max_per_host = rng.random_bool(0.7).then(|| rng.random_range(1..=2));
    }
}

fn step_json(step: &ActualStep) -> Value {
    let mut value = json!({
        "count": step.tasks,
        "cpu": step.task.size.cpu_milli,
        "memMb": step.task.size.memory_mib,
        "estimateMs": step.task.work_ms / 2,
    });
    if !step.after.is_empty() {
        value["after"] = json!(step.after);
    }
    if step.task.gang {
        value["gang"] = json!(true);
    }
    if step.task.checkpoints {
        value["savesProgress"] = json!(true);
    }
    if step.task.runs_until_cancelled {
        value["persistent"] = json!(true);
    }
    if let Some(label) = step.required_label {
        value["requiredLabel"] = json!(label);
    }
    if let Some(limit) = step.max_per_host {
        value["maxPerServer"] = json!(limit);
    }
    if step.allows_copies {
        value["speculative"] = json!(true);
    }
    if let Some(count) = step.disruption_budget {
        value["mayMiss"] = json!(count);
    }
    value
}
