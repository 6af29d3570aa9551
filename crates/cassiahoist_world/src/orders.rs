//! Orders to hosts and the hosts' answers.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::keys::{HostKey, RunKey};
use crate::unsent::UnsentCause;

/// What a host is ordered to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Starts a run and extends the host's run lease.
    Start {
        /// Row of the run.
        run: RunKey,
        /// Name of the task.
        task: TaskName,
        /// Number of the run.
        run_number: u64,
        /// Argument of the job, passed to the task.
        argument: Arc<str>,
        /// Checkpoint to resume from; empty if none.
        checkpoint: Arc<str>,
        /// Ticket of the advice service; `None` if the queue needs no advice.
        ticket: Option<Arc<str>>,
        /// New end of the host's run lease, on the host's clock, in milliseconds.
        lease_until_ms: u64,
    },
    /// Ends a run, or prevents a late start order from starting it.
    Stop {
        /// Row of the run; `None` for an orphan.
        run: Option<RunKey>,
        /// Name of the task.
        task: TaskName,
        /// Number of the run.
        run_number: u64,
    },
    /// Extends the host's run lease and asks for runs and ends.
    Poll {
        /// New end of the host's run lease, on the host's clock, in milliseconds. `None` leaves it as it is.
        lease_until_ms: Option<u64>,
        /// Greatest end number that the host may drop.
        last_end_recorded: u64,
        /// How long the host may wait for an end before it answers, in milliseconds. 0 for an immediate
        /// answer.
        wait_ms: u64,
    },
    /// Changes the processor share of a run.
    SetPace {
        /// Row of the run.
        run: RunKey,
        /// Name of the task.
        task: TaskName,
        /// Number of the run.
        run_number: u64,
        /// New share, in percent; 0 gives it no processor time.
        percent: u8,
    },
}

/// Bytes that an order takes on the link beside its texts: headers, names and numbers.
const ORDER_OVERHEAD_BYTES: usize = 400;

impl Order {
    /// Returns about how many bytes a start order takes on the link, without checkpoint and ticket.
    #[must_use]
    pub fn start_size_bytes(argument: &str) -> u64 {
        (argument.len() + ORDER_OVERHEAD_BYTES) as u64
    }

    /// Returns the name of the kind of order, which log lines carry.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Start { .. } => "Start",
            Self::Stop { .. } => "Stop",
            Self::Poll { .. } => "Poll",
            Self::SetPace { .. } => "SetPace",
        }
    }

    /// Returns about how many bytes the order takes on the link.
    #[must_use]
    pub fn size_bytes(&self) -> u64 {
        let text_bytes = match self {
            Self::Start { argument, checkpoint, ticket, .. } => {
                argument.len() + checkpoint.len() + ticket.as_ref().map_or(0, |ticket| ticket.len())
            }
            Self::Stop { .. } | Self::Poll { .. } | Self::SetPace { .. } => 0,
        };
        (text_bytes + ORDER_OVERHEAD_BYTES) as u64
    }
}

/// An order with its destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostOrder {
    /// Row of the host.
    pub host: HostKey,
    /// Name of the host, by which a receiver refuses orders meant for another host.
    pub host_name: HostName,
    /// Address of the host, as `ip:port`.
    pub address: String,
    /// Fencing token of the holder.
    pub fence: Fence,
    /// What the host is ordered to do.
    pub order: Order,
    /// Timeout of the call, in milliseconds.
    pub timeout_ms: u64,
}

/// A run that a host lists.
#[derive(Clone, Debug, PartialEq)]
pub struct RunReport {
    /// Name of the task.
    pub task: TaskName,
    /// Number of the run.
    pub run_number: u64,
    /// Latest checkpoint; empty if none.
    pub checkpoint: Arc<str>,
    /// Progress in percent; 100 for a task that serves.
    pub progress_percent: u32,
    /// Tail latency of a serving task in milliseconds; processor use of any other task.
    pub load: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnding {
    /// It completed.
    Done,
    /// It failed, whether the task or the host caused it.
    Failed,
    /// It was ordered to stop.
    Stopped,
    /// Its run lease expired, or its host lost it without a report.
    Lapsed,
    /// Another member of its gang ended first.
    Broken,
    /// It timed out waiting for the other members of its gang.
    Alone,
}

/// An end that a host lists until the holder has recorded it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndReport {
    /// Number of the end, counted from the start of the host's incarnation.
    pub end_number: u64,
    /// Name of the task.
    pub task: TaskName,
    /// Number of the run.
    pub run_number: u64,
    /// How the run ended.
    pub ending: RunEnding,
    /// Last checkpoint; empty if none.
    pub checkpoint: Arc<str>,
}

/// Answer of a host to a poll.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostLists {
    /// Start of the host's incarnation, in Unix milliseconds. `None` if the host does not report it.
    pub started_unix_ms: Option<u64>,
    /// Runs in progress.
    ///
    /// The holder counts a confirmed run that is in neither list as lapsed, unless the host may have further ends.
    pub running: Vec<RunReport>,
    /// Ends that the host was not yet allowed to drop, the earliest ones first.
    pub ended: Vec<EndReport>,
    /// Whether the host may have further ends, for which this answer had no room.
    pub may_have_more_ends: bool,
}

/// Why a host refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RefusalReason {
    /// The host has seen a greater fencing token.
    Fence,
    /// A run with this or a greater number has ended or was stopped there.
    Old,
    /// The requested lease end has passed on the host's clock.
    Late,
    /// The host has too few free resources.
    Room,
    /// The ticket is invalid.
    Ticket,
    /// Another host or another incarnation answers at this address.
    OtherLife,
    /// The host is overloaded or faulty and did nothing.
    Unwell,
    /// The host cannot parse the order.
    Malformed,
}

/// Result of an order.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderOutcome {
    /// The host executed it.
    Done {
        /// Answer to a poll; `None` for other orders.
        lists: Option<HostLists>,
    },
    /// The host refused it and did nothing.
    Refused(RefusalReason),
    /// The order was never sent.
    NotSent(UnsentCause),
    /// The order was sent without an answer; it may take effect now or later.
    Unknown,
}

impl OrderOutcome {
    /// Returns whether the cause lies with this daemon and says nothing about the host.
    #[must_use]
    pub fn is_local_failure(&self) -> bool {
        matches!(self, Self::NotSent(cause) if cause.is_local())
    }
}

/// An order with its result.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderCompletion {
    /// Order that was sent.
    pub order: HostOrder,
    /// When the control thread issued it, in monotonic milliseconds.
    pub issued_at_ms: u64,
    /// Clock of the host at its answer, in milliseconds; `None` without an answer.
    pub host_clock_ms: Option<u64>,
    /// When the answer arrived, in monotonic milliseconds.
    pub completed_at_ms: u64,
    /// Result of the order.
    pub outcome: OrderOutcome,
}
