//! What callers send and read over HTTP.

use cassiahoist_core::prelude::*;
use cassiahoist_world::jobs::JobSpec;
use serde::{Deserialize, Serialize};

/// Header with the identity of a request or job.
pub const IDENTITY_HEADER: &str = "idempotency-key";
/// Header with the team that asks.
pub const TEAM_HEADER: &str = "x-team";
/// Header with the deadline, in milliseconds from now.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header that marks a request idempotent or not: `true` or `false`.
pub const IDEMPOTENT_HEADER: &str = "x-idempotent";
/// Header of answers that tells what became of the work.
pub const OUTCOME_HEADER: &str = "x-outcome";
/// Header of runner requests with the kind of work.
pub const KIND_HEADER: &str = "x-kind";
/// Header of runner requests with the attempt number.
pub const ATTEMPT_HEADER: &str = "x-attempt";
/// Header of runner answers: the work was refused and not run.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// The body of a job submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSubmission {
    /// The team within the fleet.
    pub team: String,
    /// The kind of the job.
    pub kind: WorkKind,
    /// The policy under which it is placed.
    #[serde(default)]
    pub class: WorkClass,
    /// Number of tasks.
    pub tasks: u32,
    /// Declared size of each task.
    pub size: Resources,
    /// Declared run time of each task, in milliseconds.
    #[serde(default)]
    pub declared_run_ms: u64,
    /// Whether a task may be started again after it may have run.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether tasks are to be spread over failure domains.
    #[serde(default)]
    pub spread: bool,
    /// Arguments passed on to the workers.
    #[serde(default)]
    pub argument: String,
}

impl JobSubmission {
    /// Turns a submission into a job of a fleet.
    ///
    /// # Errors
    /// [`HoistError::BadName`] for a bad team name.
    pub fn into_spec(self, identity: RequestIdentity) -> Result<JobSpec, HoistError> {
        let team = TeamName::new(&identity.fleet, &self.team)?;
        Ok(JobSpec {
            identity,
            team,
            kind: self.kind,
            class: self.class,
            tasks: self.tasks,
            size: self.size,
            declared_run_ms: self.declared_run_ms,
            idempotent: self.idempotent,
            spread: self.spread,
            argument: self.argument,
        })
    }
}

/// The body of an answer that is an error.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The kind.
    pub error: ErrorKind,
    /// What became of the work.
    pub outcome: Outcome,
    /// Whether the same request may succeed later.
    pub retryable: bool,
    /// One sentence for a person.
    pub message: String,
}

impl ErrorBody {
    /// Fills the body from the table.
    #[must_use]
    pub fn new(kind: ErrorKind, detail: &str) -> Self {
        let row = kind.answer_row();
        let message = if detail.is_empty() { row.text.into() } else { format!("{}: {detail}", row.text) };
        Self { error: kind, outcome: row.outcome, retryable: row.retryable, message }
    }
}

/// Gives the word for an outcome in the outcome header.
#[must_use]
pub fn outcome_word(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::Pending => "pending",
        Outcome::Failed => "failed",
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
    }
}

/// Reads the word of the outcome header.
#[must_use]
pub fn parse_outcome(word: &str) -> Option<Outcome> {
    [Outcome::Answered, Outcome::Pending, Outcome::Failed, Outcome::NotRun, Outcome::Unknown]
        .into_iter()
        .find(|&outcome| outcome_word(outcome) == word)
}
