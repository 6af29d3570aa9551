//! Messages between daemons.

use cassiahoist_core::prelude::*;
use rustc_hash::FxHashMap;

use crate::members::LoadDigest;
use crate::runs::TaskOrder;
use crate::worker::TaskExit;

/// A message from one daemon to another.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Load and configuration generation, sent to every peer.
    Gossip(Gossip),
    /// Asks for a confirmation of slices held by the sender.
    AskConfirmation(AskConfirmation),
    /// Answers a confirmation.
    Confirmation(Confirmation),
    /// Orders to place tasks.
    PlaceTasks(Vec<TaskOrder>),
    /// Tells the owner what became of tasks.
    TaskNews(Vec<TaskNews>),
    /// Asks to stop tasks, or never to start them.
    CancelTasks(Vec<TaskName>),
}

/// What daemons tell each other all the time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Gossip {
    /// Generation of the configuration in force.
    pub generation: u64,
    /// Room by fleet.
    pub loads: FxHashMap<Fleet, LoadDigest>,
    /// Whether the sender is stopping.
    pub stopping: bool,
}

/// Asks a peer to relay a reading of the store or to promise not to act.
#[derive(Clone, Debug, PartialEq)]
pub struct AskConfirmation {
    /// When the sender asked, by its own monotonic clock, in milliseconds; echoed in the answer.
    pub asked_ms: u64,
    /// Slices and the terms under which the sender holds them.
    pub slices: Vec<(SliceName, u64)>,
}

/// A peer's answer on one slice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SliceConfirmation {
    /// The store's record at a reading this long before the question came, in milliseconds.
    Relayed {
        /// Age of the reading.
        age_ms: u64,
        /// Term in the record.
        term: u64,
        /// Holder in the record.
        holder: Option<Incarnation>,
    },
    /// The peer will not act on the slice for the permission time from now.
    Promised,
    /// The peer gives no promise.
    Declined,
}

/// Answers a confirmation.
#[derive(Clone, Debug, PartialEq)]
pub struct Confirmation {
    /// The asker's time of the question.
    pub asked_ms: u64,
    /// Answers by slice and the term asked for.
    pub slices: Vec<(SliceName, u64, SliceConfirmation)>,
}

/// What became of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskNews {
    /// The task and attempt.
    pub task: TaskName,
    /// What became of it.
    pub state: TaskNewsState,
}

/// What became of a task, as its holder knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskNewsState {
    /// It runs on a worker.
    Running(HostName),
    /// It ended on a worker.
    Ended {
        /// The worker.
        host: HostName,
        /// How it ended.
        exit: TaskExit,
    },
    /// It is proved never to have started here.
    NotStarted(ErrorKind),
}
