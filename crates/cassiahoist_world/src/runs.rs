//! Runs of tasks on workers, at the daemon that holds the workers' slice.

use std::collections::VecDeque;

use cassiahoist_core::prelude::*;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

use crate::hosts::HostId;

new_key_type! {
    /// A row of the run table.
    pub struct RunId;
}

/// An owner's order to place a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskOrder {
    /// Job identity, position and attempt.
    pub task: TaskName,
    /// The team that pays.
    pub team: TeamName,
    /// The kind of the job.
    pub kind: WorkKind,
    /// The policy under which it is placed.
    pub class: WorkClass,
    /// Declared size.
    pub size: Resources,
    /// Declared run time in milliseconds; 0 if unknown.
    pub declared_run_ms: u64,
    /// Tasks of the whole gang; 1 for other classes.
    pub gang_size: u32,
    /// Whether tasks are to be spread over failure domains.
    pub spread: bool,
    /// Whether it may be started again after it may have run.
    pub idempotent: bool,
    /// Arguments passed on to the worker.
    pub argument: String,
    /// Workers on which it failed.
    pub avoid: Vec<HostName>,
}

/// How far a run has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum RunPhase {
    /// It waits for room.
    Waiting,
    /// The worker was asked to start it.
    Starting {
        /// The worker.
        host: HostId,
        /// When it was last asked, in monotonic milliseconds.
        at_ms: u64,
    },
    /// The worker reported that it runs.
    Running {
        /// The worker.
        host: HostId,
        /// Since when, in monotonic milliseconds.
        since_ms: u64,
    },
    /// The worker was asked to stop it.
    Stopping {
        /// The worker.
        host: HostId,
    },
}

impl RunPhase {
    /// Gives the worker that the run is booked on.
    #[must_use]
    pub fn host(&self) -> Option<HostId> {
        match *self {
            Self::Waiting => None,
            Self::Starting { host, .. } | Self::Running { host, .. } | Self::Stopping { host } => Some(host),
        }
    }
}

/// One run.
#[derive(Clone, Debug, Serialize)]
pub struct Run {
    /// What the owner ordered.
    pub order: TaskOrder,
    /// The owner that gets news; after adoption the identity's holder.
    pub owner: MemberName,
    /// What is booked for it.
    pub booked: Resources,
    /// How far it has come.
    pub phase: RunPhase,
    /// When the order came, in monotonic milliseconds.
    pub ordered_ms: u64,
}

/// Runs by row, with indexes by task and host and the queue of those that wait for room.
#[derive(Debug, Default)]
pub struct RunTable {
    rows: SlotMap<RunId, Run>,
    by_task: FxHashMap<TaskName, RunId>,
    by_host: FxHashMap<HostId, Vec<RunId>>,
    /// Runs that wait for room, in order of arrival.
    pub waiting: VecDeque<RunId>,
}

impl RunTable {
    /// Adds a run and books it on its host.
    pub fn insert(&mut self, run: Run) -> RunId {
        let (task, host) = (run.order.task.clone(), run.phase.host());
        let id = self.rows.insert(run);
        self.by_task.insert(task, id);
        if let Some(host) = host {
            self.by_host.entry(host).or_default().push(id);
        }
        id
    }

    /// Removes a run.
    pub fn remove(&mut self, id: RunId) -> Option<Run> {
        let run = self.rows.remove(id)?;
        self.by_task.remove(&run.order.task);
        if let Some(host) = run.phase.host() {
            self.unlink(host, id);
        }
        Some(run)
    }

    /// Changes the phase of a run and keeps the index by host.
    pub fn set_phase(&mut self, id: RunId, phase: RunPhase) {
        let Some(run) = self.rows.get_mut(id) else { return };
        let (was, is) = (run.phase.host(), phase.host());
        run.phase = phase;
        if was == is {
            return;
        }
        if let Some(host) = was {
            self.unlink(host, id);
        }
        if let Some(host) = is {
            self.by_host.entry(host).or_default().push(id);
        }
    }

    fn unlink(&mut self, host: HostId, id: RunId) {
        if let Some(ids) = self.by_host.get_mut(&host)
            && let Some(position) = ids.iter().position(|&other| other == id)
        {
            ids.swap_remove(position);
        }
    }

    /// Finds a run by task and attempt.
    #[must_use]
    pub fn find(&self, task: &TaskName) -> Option<RunId> {
        self.by_task.get(task).copied()
    }

    /// Borrows a run.
    #[must_use]
    pub fn get(&self, id: RunId) -> Option<&Run> {
        self.rows.get(id)
    }

    /// Borrows a run to change it; use [`Self::set_phase`] to change its phase.
    pub fn get_mut(&mut self, id: RunId) -> Option<&mut Run> {
        self.rows.get_mut(id)
    }

    /// Lists the runs booked on a host.
    #[must_use]
    pub fn on_host(&self, host: HostId) -> &[RunId] {
        self.by_host.get(&host).map_or(&[], Vec::as_slice)
    }

    /// Iterates over all runs.
    pub fn iter(&self) -> impl Iterator<Item = (RunId, &Run)> {
        self.rows.iter()
    }

    /// Counts all runs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Tells whether there are no runs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
