//! Specification of a job as a caller submits it.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Maximum number of tasks in one step.
pub const MAX_STEP_TASKS: u32 = 4_096;

/// Maximum number of steps of a job.
pub const MAX_JOB_STEPS: usize = 1_024;

/// Maximum number of tasks in all steps of a job, each time it runs.
pub const MAX_JOB_TASKS: u64 = 16_384;

/// Maximum number of times that a job may run: more than once a second for three years.
pub const MAX_OCCURRENCES: u32 = 100_000_000;

/// Maximum number of tasks that last of a repeated job, in all the times that it runs, since none of them ends.
pub const MAX_REPEATED_LASTING_TASKS: u64 = 4_096;

/// Maximum length of a job's argument, in bytes.
pub const MAX_ARGUMENT_BYTES: usize = 4_000;

/// Specification of one step: a number of equal tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks, from 1 to [`MAX_STEP_TASKS`].
    #[serde(rename = "tasks")]
    pub task_count: u32,
    /// Resources that each task needs.
    #[serde(rename = "size")]
    pub task_size: Resources,
    /// Run time of a task as the caller estimates it, in milliseconds; often inaccurate.
    pub declared_run_ms: u64,
    /// Indexes of earlier steps that must be done first.
    #[serde(rename = "after")]
    pub depends_on: Vec<u16>,
    /// Whether tasks write checkpoints, from which a later run resumes.
    #[serde(rename = "checkpoints")]
    pub writes_checkpoints: bool,
    /// Whether the tasks form a gang: they work only while all of them run.
    pub gang: bool,
    /// Whether tasks are slower when they run on several racks.
    pub same_rack: bool,
    /// Label that a host must have; `None` if any host is eligible.
    pub required_label: Option<Arc<str>>,
    /// Rack that has the input data; tasks are slower elsewhere.
    pub data_rack: Option<Arc<str>>,
    /// Maximum number of the step's tasks on one host; `None` if unbounded.
    pub max_per_host: Option<u32>,
    /// Whether several runs of one task may execute at the same time.
    #[serde(rename = "copies")]
    pub allows_copies: bool,
    /// Whether tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub runs_until_cancelled: bool,
    /// Program that the tasks run; tasks of one image behave alike.
    pub image: Option<Arc<str>>,
    /// Target for the tail latency of a serving task, in milliseconds. `None` for other tasks.
    pub tail_target_ms: Option<u64>,
    /// Whether tasks use only the processor time that other tasks leave.
    pub filler: bool,
    /// Number of tasks that the scheduler may keep stopped at the same time. `None` if unbounded.
    pub disruption_budget: Option<u32>,
}

impl StepSpec {
    /// Returns the resources to reserve for a task on its host.
    ///
    /// Fillers reserve no processor time.
    #[must_use]
    pub fn reserved_resources(&self) -> Resources {
        if self.filler { Resources { cpu_milli: 0, ..self.task_size } } else { self.task_size }
    }
}

/// Schedule of a repeated job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Repeat {
    /// Due time of the first occurrence, in Unix milliseconds.
    pub first_run_unix_ms: u64,
    /// Time between occurrences, in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences; 0 counts as 1.
    pub count: u32,
}

impl Repeat {
    /// Returns the due time of an occurrence, counted from 0, in Unix milliseconds.
    ///
    /// A time beyond the range of the type becomes its end.
    #[must_use]
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        self.first_run_unix_ms.saturating_add(u64::from(occurrence).saturating_mul(self.interval_ms))
    }
}

/// Specification of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JobSpec {
    /// Argument that each task gets.
    pub argument: String,
    /// Steps; each is referred to by its index.
    pub steps: Vec<StepSpec>,
    /// Schedule of a repeated job; `None` for a job that runs once, at once.
    pub repeat: Option<Repeat>,
}

impl JobSpec {
    /// Returns the number of times that the job runs.
    #[must_use]
    pub fn occurrence_count(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.count.max(1))
    }

    /// Returns the number of tasks each time that the job runs.
    #[must_use]
    pub fn tasks_per_occurrence(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.task_count)).sum()
    }

    /// Checks the numbers of steps, tasks and occurrences against the bounds that keep a holder's tables small.
    ///
    /// # Errors
    /// Returns the bound that the job exceeds, in words.
    pub fn check_bounds(&self) -> Result<(), String> {
        if self.steps.len() > MAX_JOB_STEPS {
            return Err(format!("{} steps, at most {MAX_JOB_STEPS} are accepted", self.steps.len()));
        }
        let (tasks, occurrences) = (self.tasks_per_occurrence(), self.occurrence_count());
        if tasks == 0 {
            return Err("no tasks".into());
        }
        if tasks > MAX_JOB_TASKS {
            return Err(format!("{tasks} tasks at a time, at most {MAX_JOB_TASKS} are accepted"));
        }
        if occurrences > MAX_OCCURRENCES {
            return Err(format!("{occurrences} occurrences, at most {MAX_OCCURRENCES} are accepted"));
        }
        let lasts = self.steps.iter().any(|step| step.runs_until_cancelled);
        if occurrences > 1 && lasts && tasks * u64::from(occurrences) > MAX_REPEATED_LASTING_TASKS {
            return Err(format!(
                "{occurrences} occurrences of {tasks} tasks that last, at most {MAX_REPEATED_LASTING_TASKS} such tasks are accepted"
            ));
        }
        Ok(())
    }

    /// Validates the length of the argument, the numbers of tasks and the dependencies.
    ///
    /// # Errors
    /// Returns [`HoistError::InvalidMessage`] if the argument is too long, there are no steps, a step has too few
    /// or too many tasks, or a step depends on itself or a later one.
    pub fn validate(&self) -> Result<(), HoistError> {
        let invalid = |reason: String| Err(HoistError::InvalidMessage(reason));
        if self.argument.len() > MAX_ARGUMENT_BYTES {
            return invalid(format!("the argument is longer than {MAX_ARGUMENT_BYTES} bytes"));
        }
        if self.steps.is_empty() {
            return invalid("a job needs at least one step".into());
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.task_count == 0 || step.task_count > MAX_STEP_TASKS {
                return invalid(format!(
                    "step {number} must have 1 to {MAX_STEP_TASKS} tasks, not {}",
                    step.task_count
                ));
            }
            if let Some(dependency) = step.depends_on.iter().find(|index| usize::from(**index) >= number) {
                return invalid(format!(
                    "step {number} depends on step {dependency}, which is not an earlier step"
                ));
            }
        }
        Ok(())
    }
}
