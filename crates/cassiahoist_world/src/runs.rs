//! Runs of tasks on hosts.

use cassiahoist_core::prelude::*;
use rustc_hash::FxHashMap;
use slotmap::SlotMap;

pub use crate::keys::RunKey;
use crate::keys::{HostKey, TaskKey};

/// How a run stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// The order to start it was sent.
    Starting,
    /// The host confirmed it.
    Running,
    /// Whether it runs is not known; an order to stop it settles that.
    Unsettled,
    /// It is to end; its room stays booked until the host lists the end.
    Stopping,
    /// The host took the order to stop it and never started it, or has ended it.
    Settled,
}

/// Why a run is made to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// Its start was not answered.
    Unanswered,
    /// Its job is cancelled or has failed.
    JobOver,
    /// Its task makes no progress.
    Stalled,
    /// Its gang can't be whole.
    GangBroken,
}

/// One run of a task on a host.
#[derive(Clone, Debug)]
pub struct Run {
    /// The task.
    pub task: TaskKey,
    /// Its name.
    pub name: TaskName,
    /// The host.
    pub host: HostKey,
    /// Number of the run, which rises with each start of the task.
    pub number: u64,
    /// What it books on its host.
    pub booked: Resources,
    /// How it stands.
    pub state: RunState,
    /// Why it is made to end.
    pub stop: Option<StopReason>,
    /// When the order to start it was sent, in monotonic milliseconds.
    pub ordered_ms: u64,
    /// When the host confirmed it, in monotonic milliseconds.
    pub confirmed_ms: u64,
    /// Whether a poll has listed it, so that it belongs to the life of its host that is known.
    pub listed: bool,
    /// Whether an order about it is under way.
    pub order_in_flight: bool,
    /// When to repeat the order, in monotonic milliseconds.
    pub order_next_ms: u64,
    /// Progress that the host last reported, in percent.
    pub percent: u32,
    /// When the progress last changed, in monotonic milliseconds.
    pub progressed_ms: u64,
    /// Share of time it is given, in percent.
    pub pace_percent: u8,
}

/// All runs that hold room.
#[derive(Debug, Default)]
pub struct RunTable {
    /// Rows.
    pub rows: SlotMap<RunKey, Run>,
    /// When an order to a host was last not answered, in monotonic milliseconds.
    pub unanswered_ms: Option<u64>,
    /// How long runs that were done took, by queue, in milliseconds; declared times are far off.
    pub usual_ms: FxHashMap<QueueName, f64>,
}

/// Weight of a new run in the usual run time.
const LEARNING_RATE: f64 = 0.05;

impl RunTable {
    /// Learns from a run that was done.
    pub fn learn(&mut self, queue: &QueueName, took_ms: u64) {
        let usual_ms = self.usual_ms.entry(queue.clone()).or_insert(took_ms as f64);
        *usual_ms += LEARNING_RATE * (took_ms as f64 - *usual_ms);
    }
}
