//! Messages between a holder of hosts and a worker or runner.

use cassiahoist_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::effect::Permit;
use crate::hosts::HostId;
use crate::runs::TaskOrder;

/// A command that renews leases and starts and stops tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerCommand {
    /// The worker's row.
    pub host: HostId,
    /// Its address, as `ip:port`.
    pub address: String,
    /// Permission to act on the worker's slice.
    pub permit: Permit,
    /// What is to be done.
    pub body: WorkerCommandBody,
}

/// The content of a command to a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCommandBody {
    /// The worker refuses terms lower than one that it has seen.
    pub term: u64,
    /// Every task at the worker keeps running this long from now, in milliseconds.
    pub lease_ms: u64,
    /// Tasks to start.
    pub start: Vec<TaskOrder>,
    /// Tasks to stop.
    pub stop: Vec<TaskName>,
    /// Finished tasks that the worker may forget.
    pub forget: Vec<TaskName>,
}

/// How a task ended at its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskExit {
    /// It succeeded.
    Succeeded,
    /// It failed.
    Failed,
    /// It was stopped on command.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// The worker never started it.
    Refused,
}

/// A task that a worker runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    /// The order under which it runs.
    pub order: TaskOrder,
    /// For how long it has run, in milliseconds.
    pub ran_ms: u64,
    /// What it was seen to use, which lags.
    pub used: Resources,
}

/// A task that ended at a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishedTask {
    /// The task.
    pub task: TaskName,
    /// How it ended.
    pub exit: TaskExit,
    /// For how long it ran, in milliseconds.
    pub ran_ms: u64,
}

/// A worker's whole report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The highest term that the worker has seen.
    pub term: u64,
    /// Grows with each start of the worker.
    pub boot: u64,
    /// Whether the worker is leaving.
    pub leaving: bool,
    /// Everything that it runs.
    pub running: Vec<RunningTask>,
    /// Everything that ended and was not yet forgotten.
    pub finished: Vec<FinishedTask>,
}

/// A worker's answer, or that none came.
#[derive(Clone, Debug)]
pub struct WorkerAnswered {
    /// The worker's row.
    pub host: HostId,
    /// The term of the command.
    pub term: u64,
    /// When control issued the command, in monotonic milliseconds.
    pub started_ms: u64,
    /// The report; nothing if the worker did not answer.
    pub report: Option<WorkerReport>,
}

/// A question to a runner: what does it run?
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerProbe {
    /// The runner's row.
    pub host: HostId,
    /// Its address, as `ip:port`.
    pub address: String,
    /// The term under which it is asked.
    pub term: u64,
}

/// A runner's answer to a probe.
#[derive(Clone, Debug)]
pub struct RunnerProbed {
    /// The runner's row.
    pub host: HostId,
    /// The term under which it was asked.
    pub term: u64,
    /// When control asked, in monotonic milliseconds.
    pub started_ms: u64,
    /// The state; nothing if the runner did not answer.
    pub state: Option<RunnerState>,
}

/// What a runner tells of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerState {
    /// Requests that it runs now.
    pub running: u32,
    /// Whether it is leaving.
    pub leaving: bool,
}
