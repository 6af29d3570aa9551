//! Start orders that a peer sends to hosts for the holder, while the holder's own link is full of them.
//!
//! The holder decides everything. A batch carries the argument of its step once, where each order would repeat it. The
//! peer, the relay, sends the orders unchanged and returns the hosts' answers.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::keys::RunKey;
use crate::orders::{HostOrder, RefusalReason};
use crate::start_budget::StartBudget;

/// Bytes that a batch takes on the link beside its argument and its rows.
const BATCH_OVERHEAD_BYTES: usize = 250;

/// Bytes that a row of a batch takes on the link beside its texts.
const ROW_OVERHEAD_BYTES: usize = 60;

/// Greatest age of a measurement of a relay's clock with which deadlines are set, in milliseconds.
const MAX_CLOCK_AGE_MS: u64 = 5_000;

/// Time for which a relay may leave orders without any message before it gets no more, in milliseconds.
const MAX_SILENCE_MS: u64 = 400;

/// A start order within a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchedStart {
    /// Row of the run at the holder, by which the answer is returned.
    pub run: RunKey,
    /// Name of the host.
    pub host_name: HostName,
    /// Address of the host, as `ip:port`.
    pub address: Arc<str>,
    /// Fencing token of the order; that of the claim, or a later one before any other claim.
    pub fence: Fence,
    /// Index of the task within the step.
    pub task_index: u32,
    /// Number of the run.
    pub run_number: u64,
    /// New end of the host's run lease, on the host's clock, in milliseconds.
    pub lease_until_ms: u64,
    /// Checkpoint to resume from; empty if none.
    pub checkpoint: Arc<str>,
    /// Ticket of the advice service; `None` if the queue needs no advice.
    pub ticket: Option<Arc<str>>,
}

impl BatchedStart {
    /// Returns about how many bytes the row takes on the link.
    #[must_use]
    pub fn size_bytes(&self) -> u64 {
        let text_bytes = self.host_name.as_str().len()
            + self.address.len()
            + self.checkpoint.len()
            + self.ticket.as_ref().map_or(0, |ticket| ticket.len());
        (text_bytes + ROW_OVERHEAD_BYTES) as u64
    }
}

/// Start orders for tasks of one step, for a relay to send.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StartBatch {
    /// Daemon that is to send the orders. Another incarnation has another clock and sends none.
    pub relay: Incarnation,
    /// Claim of the holder.
    pub claim: Fence,
    /// When the orders may no longer be sent, on the relay's monotonic clock, in milliseconds.
    pub deadline_ms: u64,
    /// Name of the step.
    pub step: StepName,
    /// Argument of the job, passed to each task.
    pub argument: Arc<str>,
    /// Orders to send.
    pub starts: Vec<BatchedStart>,
}

/// Returns about how many bytes a batch without rows takes on the link.
#[must_use]
pub fn batch_head_bytes(argument: &str) -> u64 {
    (argument.len() + BATCH_OVERHEAD_BYTES) as u64
}

/// What became of a relayed start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RelayedOutcome {
    /// The host started the run.
    #[serde(rename = "d")]
    Started,
    /// The host refused it and did nothing.
    #[serde(rename = "r")]
    Refused(RefusalReason),
    /// The relay could not send it. That says nothing about the host.
    #[serde(rename = "n")]
    NotSent,
    /// The relay did not send it, since it is stopping, knows another claim, or got the batch too late.
    #[serde(rename = "x")]
    Declined,
    /// The host did not answer; the order may take effect now or later.
    #[serde(rename = "u")]
    Unknown,
}

/// Answer to one order of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayedAnswer {
    /// Row of the run at the holder.
    pub run: RunKey,
    /// What became of the order.
    pub outcome: RelayedOutcome,
    /// Clock of the host at its answer, in milliseconds; `None` without an answer.
    pub host_clock_ms: Option<u64>,
}

/// Answers to relayed orders, as far as the relay has them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RelayedAnswers {
    /// Claim under which the orders were issued.
    pub claim: Fence,
    /// The relay's monotonic clock when it sent this message, in milliseconds.
    pub clock_ms: u64,
    /// Answers; empty in the reply to a request to relay.
    pub answers: Vec<RelayedAnswer>,
}

/// Lower bound of a peer's monotonic clock.
///
/// A message shows the peer's clock at its sending, which was no later than its receipt. So a deadline that is set with it
/// passes early rather than late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PeerClock {
    /// Peer's clock minus this daemon's, at most, in milliseconds.
    offset_ms: i64,
    /// When it was measured, in monotonic milliseconds.
    measured_at_ms: u64,
}

/// A peer that may relay start orders for this holder.
#[derive(Clone, Debug)]
pub struct StartRelay {
    /// Name and incarnation of the peer.
    pub incarnation: Incarnation,
    /// Address at which it listens for peers, as `ip:port`.
    pub address: String,
    /// Bandwidth of its link, in megabits per second.
    pub link_mbps: u32,
    /// Bytes of start orders that its link carries.
    pub budget: StartBudget,
    /// When this holder asked it to relay, in monotonic milliseconds; `None` since its last message.
    pub asked_at_ms: Option<u64>,
    /// Since when it has orders without any message from it, in monotonic milliseconds; `None` since its last message.
    pub awaited_since_ms: Option<u64>,
    clock: Option<PeerClock>,
}

impl StartRelay {
    /// Creates a relay that was not heard of yet.
    #[must_use]
    pub fn new(incarnation: Incarnation, address: String, link_mbps: u32) -> Self {
        Self {
            incarnation,
            address,
            link_mbps,
            budget: StartBudget::default(),
            asked_at_ms: None,
            awaited_since_ms: None,
            clock: None,
        }
    }

    /// Records the clock that a message of the relay shows.
    pub fn record_clock(&mut self, clock_ms: u64, now_ms: u64) {
        self.asked_at_ms = None;
        self.awaited_since_ms = None;
        let offset_ms = clock_ms.cast_signed().saturating_sub(now_ms.cast_signed());
        let is_better = self.clock.is_none_or(|clock| {
            offset_ms >= clock.offset_ms || now_ms > clock.measured_at_ms + MAX_CLOCK_AGE_MS / 2
        });
        if is_better {
            self.clock = Some(PeerClock { offset_ms, measured_at_ms: now_ms });
        }
    }

    /// Returns the age of the measurement of its clock, in milliseconds; `None` before the first.
    #[must_use]
    pub fn clock_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.clock.map(|clock| now_ms.saturating_sub(clock.measured_at_ms))
    }

    /// Returns the least that the relay's clock may show now, in milliseconds.
    ///
    /// `None` if the clock was not measured lately.
    #[must_use]
    pub fn clock_at_ms(&self, now_ms: u64) -> Option<u64> {
        let clock = self.clock.filter(|clock| now_ms <= clock.measured_at_ms + MAX_CLOCK_AGE_MS)?;
        Some(now_ms.saturating_add_signed(clock.offset_ms))
    }
}

/// A start order that a relay was given and that was not answered.
#[derive(Clone, Debug)]
pub struct OpenRelayedStart {
    /// Order as the host gets it.
    pub order: HostOrder,
    /// Claim under which it was issued.
    pub claim: Fence,
    /// Daemon that relays it.
    pub relay: Incarnation,
    /// When it was issued, in monotonic milliseconds.
    pub issued_at_ms: u64,
    /// When it counts as unanswered, in monotonic milliseconds.
    pub expires_at_ms: u64,
}

/// Relays of this holder, and the orders that they were given.
#[derive(Debug, Default)]
pub struct StartRelayTable {
    /// Relays in use, in the order in which they get orders.
    pub relays: Vec<StartRelay>,
    /// Peers that left orders or requests without a reply, and until when they get no more, in monotonic milliseconds.
    pub excluded_until_ms: FxHashMap<Incarnation, u64>,
    /// Orders without an answer, by run.
    pub open: FxHashMap<RunKey, OpenRelayedStart>,
    /// Until when relays are kept ready, in monotonic milliseconds; 0 if they never were needed.
    pub needed_until_ms: u64,
    /// When the relays are next chosen and asked, in monotonic milliseconds.
    pub next_check_at_ms: u64,
}

impl StartRelayTable {
    /// Removes all relays and orders.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the first relay that may get further orders now, and its clock, at most, in milliseconds.
    pub fn find_ready(&mut self, now_ms: u64) -> Option<(&mut StartRelay, u64)> {
        self.relays.iter_mut().find_map(|relay| {
            relay.budget.refill(relay.link_mbps, now_ms);
            let is_silent = relay.awaited_since_ms.is_some_and(|since_ms| now_ms > since_ms + MAX_SILENCE_MS);
            let clock_ms = relay.clock_at_ms(now_ms)?;
            (!is_silent && !relay.budget.is_exhausted()).then_some((relay, clock_ms))
        })
    }
}

/// An order that this daemon sends for the holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandledStart {
    /// Claim under which the holder issued it.
    pub claim: Fence,
    /// Address of the holder, to which the answer is returned, as `ip:port`.
    pub reply_to: String,
    /// When the row may be removed, in monotonic milliseconds. A copy of the batch is out of date by then.
    pub remove_at_ms: u64,
}

/// Orders that this daemon relays for the holder.
#[derive(Debug, Default)]
pub struct HandledStartTable {
    /// Orders that it got, by fencing token and run; kept for a while, since a batch may arrive twice.
    pub rows: FxHashMap<(Fence, RunKey), HandledStart>,
    /// Answers to return, by claim and address of the holder.
    pub unreturned: FxHashMap<(Fence, String), Vec<RelayedAnswer>>,
    /// When answers are next returned, in monotonic milliseconds.
    pub next_return_at_ms: u64,
    /// When rows are next removed, in monotonic milliseconds.
    pub next_removal_at_ms: u64,
}
