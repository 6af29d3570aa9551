//! Jobs of callers, and what is true of their tasks.

use cassiahoist_core::prelude::*;
use rand::Rng;
use rand::rngs::SmallRng;
use rustc_hash::FxHashMap;
use serde_json::{Value, json};

/// What is true of one task, whatever was declared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskTruth {
    /// Work until it is done, in milliseconds.
    pub work_ms: u64,
    /// What it takes.
    pub size: Resources,
    /// Whether it fails wherever it runs.
    pub fails: bool,
    /// Whether it works only together with its step's other tasks.
    pub gang: bool,
    /// Whether it checkpoints.
    pub checkpoints: bool,
    /// Whether it runs until its job is cancelled.
    pub lasting: bool,
}

/// What is true of one step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepTruth {
    /// Number of tasks.
    pub tasks: u32,
    /// Steps that have to be done first.
    pub after: Vec<u16>,
    /// Each task.
    pub task: TaskTruth,
    /// The label that its hosts must have.
    pub required_label: Option<&'static str>,
    /// Most of its tasks on one host.
    pub max_per_host: Option<u32>,
    /// Tasks that may be away by the scheduler's doing.
    pub may_miss: Option<u32>,
}

/// A job as its caller knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Its identity.
    pub id: JobId,
    /// The queue, by number.
    pub queue: usize,
    /// Its steps.
    pub steps: Vec<StepTruth>,
    /// The message that submits it.
    pub body: Vec<u8>,
}

impl Job {
    /// Tells whether the job can be completed.
    #[must_use]
    pub fn is_doable(&self) -> bool {
        self.steps.iter().all(|step| !step.task.fails)
    }

    /// Tells whether the job runs until it is cancelled.
    #[must_use]
    pub fn lasts(&self) -> bool {
        self.steps.iter().any(|step| step.task.lasting)
    }
}

/// What is true of all jobs.
#[derive(Clone, Debug, Default)]
pub struct Truth {
    /// What callers ask for.
    pub workload: Workload,
    /// Jobs by identity.
    pub jobs: FxHashMap<JobId, Job>,
}

impl Truth {
    /// Finds what is true of a task, by its name.
    #[must_use]
    pub fn of(&self, task: &str) -> Option<TaskTruth> {
        let name: TaskName = task.parse().ok()?;
        let step = self.jobs.get(&name.step.job)?.steps.get(usize::from(name.step.step))?;
        (name.index < step.tasks).then_some(step.task)
    }
}

/// What callers ask for, and what operators write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Workload {
    /// One pool of equal hosts; steps ask for room only.
    #[default]
    Plain,
    /// Two pools of two kinds of hosts; steps ask for labels, limits and budgets, and versions of the configuration
    /// move a queue from pool to pool and have a queue of their own each.
    Varied,
}

impl Workload {
    /// Gives the pool to which a version sends a queue.
    #[must_use]
    pub fn pool(self, queue: usize, version: u64) -> &'static str {
        match self {
            Self::Varied if queue == BATCHES && version.is_multiple_of(2) => OTHER_POOL,
            Self::Plain | Self::Varied => POOL,
        }
    }

    /// Gives the pool of a host, by its number.
    #[must_use]
    pub fn host_pool(self, number: usize) -> &'static str {
        if self == Self::Varied && number % 2 == 1 { OTHER_POOL } else { POOL }
    }

    /// Gives the label of a host's kind, by its number.
    #[must_use]
    pub fn host_label(self, number: usize) -> &'static str {
        if self == Self::Varied && number % 4 < 2 { OTHER_LABEL } else { LABEL }
    }
}

/// Labels of the kinds of hosts.
const LABEL: &str = "a";
const OTHER_LABEL: &str = "b";

/// Host name that callers use.
pub const QUEUE_HOST: &str = "desk.example";

/// Pool that runs all queues of the plain workload.
pub const POOL: &str = "desk";

/// Second pool of the varied workload.
const OTHER_POOL: &str = "press";

/// Runs that may fail before a job fails.
pub const MAX_ATTEMPTS: u32 = 3;

/// Paths of the queues: counter work, long batches, and what lasts.
pub const QUEUE_PATHS: [&str; 3] = ["/checks/", "/batches/", "/watches/"];

/// Number of the queue of long batches.
const BATCHES: usize = 1;

/// Gives the path of the queue that stands in one version only.
#[must_use]
pub fn version_path(version: u64) -> String {
    format!("/only-{version}/")
}

/// Gives the configuration of a version.
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
        route("batches", QUEUE_PATHS[1], workload.pool(BATCHES, version), 2, false),
        route("watches", QUEUE_PATHS[2], workload.pool(2, version), 1, false),
    ];
    let service = |name: &str| json!({ "name": name, "rejectsOverload": false, "standby": false });
    let mut services = vec![service(POOL)];
    if workload == Workload::Varied {
        routes.push(route(&format!("only-{version}"), &version_path(version), POOL, 3, false));
        services.push(service(OTHER_POOL));
    }
    json!({
        "version": version, "routes": routes, "services": services, "limits": { "maxBodyBytes": 262_144 },
    })
}

/// Draws a job.
pub fn draw_job(rng: &mut SmallRng, workload: Workload) -> Job {
    let id = JobId(rng.random());
    let queue = match rng.random_range(0..10) {
        0..=5 => 0,
        6..=8 => 1,
        _ => 2,
    };
    let count = if queue == 2 { 1 } else { rng.random_range(1..=3_u16) };
    let mut steps: Vec<StepTruth> = (0..count).map(|number| draw_step(rng, queue, number)).collect();
    if workload == Workload::Varied {
        for step in &mut steps {
            draw_terms(rng, queue, step);
        }
    }
    let wire: Vec<Value> = steps.iter().map(step_json).collect();
    let body = json!({ "spec": format!("job {id}"), "steps": wire }).to_string().into_bytes();
    Job { id, queue, steps, body }
}

fn draw_step(rng: &mut SmallRng, queue: usize, number: u16) -> StepTruth {
    let gang = queue == 1 && rng.random_bool(0.3);
    let task = TaskTruth {
        work_ms: if queue == 0 { rng.random_range(100..900) } else { rng.random_range(500..4_000) },
        size: Resources::new(rng.random_range(500..5_000), rng.random_range(100..4_000), 0),
        fails: queue != 2 && rng.random_bool(0.02),
        gang,
        checkpoints: queue == 1 && rng.random_bool(0.7),
        lasting: queue == 2,
    };
    let after = if number > 0 && rng.random_bool(0.8) { vec![number - 1] } else { Vec::new() };
    StepTruth {
        tasks: rng.random_range(1..=6),
        after,
        task,
        required_label: None,
        max_per_host: None,
        may_miss: None,
    }
}

/// Draws what a step asks of its hosts beyond room.
fn draw_terms(rng: &mut SmallRng, queue: usize, step: &mut StepTruth) {
    if queue == BATCHES && !step.task.gang && rng.random_bool(0.3) {
        step.required_label = Some(if rng.random_bool(0.5) { LABEL } else { OTHER_LABEL });
    }
    if step.required_label.is_none() && !step.task.gang && rng.random_bool(0.3) {
        step.max_per_host = Some(rng.random_range(2..=3));
    }
    if step.task.lasting && rng.random_bool(0.7) {
        step.may_miss = Some(rng.random_range(1..=2));
    }
}

fn step_json(step: &StepTruth) -> Value {
    let mut wire = json!({
        "count": step.tasks,
        "cpu": step.task.size.cpu_milli,
        "memMb": step.task.size.memory_mib,
        "estimateMs": step.task.work_ms / 2,
    });
    if !step.after.is_empty() {
        wire["after"] = json!(step.after);
    }
    if step.task.gang {
        wire["gang"] = json!(true);
    }
    if step.task.checkpoints {
        wire["savesProgress"] = json!(true);
    }
    if step.task.lasting {
        wire["persistent"] = json!(true);
    }
    if let Some(label) = step.required_label {
        wire["requiredLabel"] = json!(label);
    }
    if let Some(limit) = step.max_per_host {
        wire["maxPerServer"] = json!(limit);
    }
    if let Some(count) = step.may_miss {
        wire["mayMiss"] = json!(count);
    }
    wire
}
