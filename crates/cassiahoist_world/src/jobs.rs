//! Jobs and their tasks, at the daemon that owns the job's identity.

use cassiahoist_core::prelude::*;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

use crate::requests::Ticket;

new_key_type! {
    /// A row of the job table.
    pub struct JobId;
    /// A row of the task table.
    pub struct TaskId;
}

/// What a caller submits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Identity within the fleet.
    pub identity: RequestIdentity,
    /// The team that asks.
    pub team: TeamName,
    /// The kind of the job.
    pub kind: WorkKind,
    /// The policy under which it is placed.
    pub class: WorkClass,
    /// Number of tasks.
    pub tasks: u32,
    /// Declared size of each task.
    pub size: Resources,
    /// Declared run time of each task, in milliseconds; 0 if unknown.
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

/// How far a job has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum JobPhase {
    /// The journal's record is being written.
    Recording,
    /// Its tasks are waiting or running.
    Active,
    /// Every task succeeded.
    Succeeded,
    /// It ended with an error.
    Ended(ErrorKind),
}

/// One job.
#[derive(Clone, Debug, Serialize)]
pub struct Job {
    /// What was submitted.
    pub spec: JobSpec,
    /// How far it has come.
    pub phase: JobPhase,
    /// Its tasks in order.
    pub tasks: Vec<TaskId>,
    /// Tasks that succeeded.
    pub succeeded: u32,
    /// When it was accepted, in monotonic milliseconds.
    pub accepted_ms: u64,
    /// The traffic tasks that wait for the record.
    pub waiting: Vec<Ticket>,
    /// Whether a cancel was asked for.
    pub cancelled: bool,
}

/// How far a task has come, as its owner knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum TaskPhase {
    /// It waits to be sent to a holder of hosts.
    Waiting,
    /// A holder of hosts was asked to place it.
    Ordered {
        /// The holder.
        holder: Incarnation,
        /// When it was last asked, in monotonic milliseconds.
        at_ms: u64,
    },
    /// It runs.
    Running {
        /// The worker.
        host: HostName,
        /// The holder that told so.
        holder: Incarnation,
    },
    /// It succeeded.
    Succeeded,
    /// It failed for good.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// One task.
#[derive(Clone, Debug, Serialize)]
pub struct Task {
    /// The job that it belongs to.
    pub job: JobId,
    /// Job identity, position and attempt.
    pub name: TaskName,
    /// How far it has come.
    pub phase: TaskPhase,
    /// Workers on which it failed.
    pub failed_on: Vec<HostName>,
}

/// Jobs by row, with an index by identity.
#[derive(Debug, Default)]
pub struct JobTable {
    rows: SlotMap<JobId, Job>,
    by_identity: FxHashMap<RequestIdentity, JobId>,
}

impl JobTable {
    /// Adds a job.
    pub fn insert(&mut self, job: Job) -> JobId {
        let identity = job.spec.identity.clone();
        let id = self.rows.insert(job);
        self.by_identity.insert(identity, id);
        id
    }

    /// Removes a job.
    pub fn remove(&mut self, id: JobId) -> Option<Job> {
        let job = self.rows.remove(id)?;
        self.by_identity.remove(&job.spec.identity);
        Some(job)
    }

    /// Finds a job by identity.
    #[must_use]
    pub fn find(&self, identity: &RequestIdentity) -> Option<JobId> {
        self.by_identity.get(identity).copied()
    }

    /// Borrows a job.
    #[must_use]
    pub fn get(&self, id: JobId) -> Option<&Job> {
        self.rows.get(id)
    }

    /// Borrows a job to change it.
    pub fn get_mut(&mut self, id: JobId) -> Option<&mut Job> {
        self.rows.get_mut(id)
    }

    /// Iterates over all jobs.
    pub fn iter(&self) -> impl Iterator<Item = (JobId, &Job)> {
        self.rows.iter()
    }

    /// Counts all jobs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Tells whether there are no jobs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

/// Tasks by row, with an index by job identity and position.
#[derive(Debug, Default)]
pub struct TaskTable {
    rows: SlotMap<TaskId, Task>,
    by_position: FxHashMap<(RequestIdentity, u32), TaskId>,
    /// Tasks that wait to be sent to a holder, in order of arrival.
    pub waiting: std::collections::VecDeque<TaskId>,
}

impl TaskTable {
    /// Adds a task.
    pub fn insert(&mut self, task: Task) -> TaskId {
        let position = (task.name.job.clone(), task.name.index);
        let id = self.rows.insert(task);
        self.by_position.insert(position, id);
        id
    }

    /// Removes a task.
    pub fn remove(&mut self, id: TaskId) -> Option<Task> {
        let task = self.rows.remove(id)?;
        self.by_position.remove(&(task.name.job.clone(), task.name.index));
        Some(task)
    }

    /// Finds a task by job identity and position, whatever the attempt.
    #[must_use]
    pub fn find(&self, name: &TaskName) -> Option<TaskId> {
        self.by_position.get(&(name.job.clone(), name.index)).copied()
    }

    /// Borrows a task.
    #[must_use]
    pub fn get(&self, id: TaskId) -> Option<&Task> {
        self.rows.get(id)
    }

    /// Borrows a task to change it.
    pub fn get_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        self.rows.get_mut(id)
    }

    /// Iterates over all tasks.
    pub fn iter(&self) -> impl Iterator<Item = (TaskId, &Task)> {
        self.rows.iter()
    }

    /// Counts all tasks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Tells whether there are no tasks.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
