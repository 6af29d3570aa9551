//! What a caller submits: a job of steps of tasks.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Most tasks that one step may have.
pub const MAX_STEP_TASKS: u32 = 4_096;

/// Longest argument of a job, in bytes.
pub const MAX_ARGUMENT_BYTES: usize = 4_000;

/// One step of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u32,
    /// Size of each task.
    pub size: Resources,
    /// Declared run time of a task, in milliseconds; often far off.
    pub declared_run_ms: u64,
    /// Steps that have to be done first.
    pub after: Vec<u16>,
    /// Whether tasks checkpoint their progress.
    pub checkpoints: bool,
    /// Whether the tasks work only together.
    pub gang: bool,
    /// Whether tasks are slower when they run on several racks.
    pub same_rack: bool,
    /// A label that the host must have.
    pub required_label: Option<Arc<str>>,
    /// The rack on which the data is.
    pub data_rack: Option<Arc<str>>,
    /// Most tasks of the step on one host.
    pub max_per_host: Option<u32>,
    /// Whether copies of a task may run in parallel.
    pub copies: bool,
    /// Whether tasks run until the job is cancelled.
    pub lasting: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<Arc<str>>,
    /// Bound on the tail of the task's own response times, in milliseconds.
    pub tail_target_ms: Option<u64>,
    /// Whether the task lives on processor time that others leave.
    pub filler: bool,
    /// Tasks that may be away at the same time by the scheduler's doing.
    pub disruption_budget: Option<u32>,
}

impl StepSpec {
    /// Gives what a task books on its host: fillers book memory and accelerators only.
    #[must_use]
    pub fn booked(&self) -> Resources {
        if self.filler { Resources { cpu_milli: 0, ..self.size } } else { self.size }
    }
}

/// When a repeated job runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Repeat {
    /// Due time of the first occurrence, in milliseconds since the epoch.
    pub first_run_unix_ms: u64,
    /// Time between occurrences, in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences.
    pub count: u32,
}

impl Repeat {
    /// Gives an occurrence's due time, in milliseconds since the epoch.
    #[must_use]
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        self.first_run_unix_ms + u64::from(occurrence) * self.interval_ms
    }
}

/// A job as submitted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JobSpec {
    /// What is passed to each task.
    pub argument: String,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// When it runs, if not at once.
    pub repeat: Option<Repeat>,
}

impl JobSpec {
    /// Checks that the job can be carried out as it is written.
    ///
    /// # Errors
    /// [`HoistError::BadMessage`] with the reason.
    pub fn check(&self) -> Result<(), HoistError> {
        let bad = |reason: String| Err(HoistError::BadMessage(reason));
        if self.argument.len() > MAX_ARGUMENT_BYTES {
            return bad(format!("the argument is longer than {MAX_ARGUMENT_BYTES} bytes"));
        }
        if self.steps.is_empty() {
            return bad("a job needs a step".into());
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.tasks == 0 || step.tasks > MAX_STEP_TASKS {
                return bad(format!("step {number}: 1 to {MAX_STEP_TASKS} tasks, not {}", step.tasks));
            }
            if let Some(later) = step.after.iter().find(|after| usize::from(**after) >= number) {
                return bad(format!("step {number} comes after step {later}, which is not an earlier one"));
            }
        }
        Ok(())
    }
}
