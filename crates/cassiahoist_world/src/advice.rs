//! Advice on which hosts may run a step, and who asks for it.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};

use crate::keys::{HostKey, StepKey};

/// Leave to run a step's tasks on a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// What the host wants to see.
    pub text: Arc<str>,
    /// Until when it is good, in monotonic milliseconds.
    pub until_ms: u64,
    /// The life of the host for which it is good, by its start in milliseconds since the epoch.
    pub born_unix_ms: u64,
}

/// What is known about the hosts of a step.
#[derive(Clone, Debug, Default)]
pub struct StepAdvice {
    /// Hosts that may run it, with the latest ticket.
    pub good: FxHashMap<HostKey, Ticket>,
    /// Hosts that may not.
    pub bad: FxHashSet<HostKey>,
    /// The call under way.
    pub asked: Option<u64>,
    /// When to ask next, in monotonic milliseconds.
    pub next_ms: u64,
}

/// A call for advice.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AdviceCall {
    /// Number of the call.
    pub call: u64,
    /// The step.
    pub step: StepName,
    /// The hosts to be judged.
    pub hosts: Vec<HostName>,
    /// When the answer is no longer wanted, in milliseconds from the sending.
    pub patience_ms: u64,
}

/// A host that may run the step.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GoodHost {
    /// The host.
    pub host: HostName,
    /// Its ticket.
    pub ticket: Arc<str>,
}

/// An answer to a call for advice.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AdviceAnswer {
    /// Number of the call.
    pub call: u64,
    /// The hosts that may run the step; nothing if the call failed.
    pub good: Option<Vec<GoodHost>>,
    /// How long the tickets are good from the answer on, in milliseconds.
    pub ticket_ms: u64,
}

/// A call under way.
#[derive(Clone, Debug)]
pub struct OpenCall {
    /// The step.
    pub step: StepKey,
    /// Hosts that were named.
    pub hosts: Vec<HostKey>,
    /// The daemon that asks.
    pub member: MemberName,
    /// When it was sent, in monotonic milliseconds.
    pub sent_ms: u64,
    /// When its answer is expected, in monotonic milliseconds.
    pub expected_ms: u64,
    /// When the step is asked for elsewhere, in monotonic milliseconds.
    pub give_up_ms: u64,
    /// Whether the step is no longer held up by it; a late answer still counts.
    pub abandoned: bool,
}

/// Calls for advice under way.
#[derive(Debug, Default)]
pub struct AdviceTable {
    /// Calls by number.
    pub calls: FxHashMap<u64, OpenCall>,
    /// Number of the latest call.
    pub last_call: u64,
    /// Until when a daemon's earlier calls take, in monotonic milliseconds.
    pub busy_until_ms: FxHashMap<MemberName, u64>,
    /// When the next round of placement may begin, in monotonic milliseconds.
    pub round_next_ms: u64,
    /// Share of named hosts that turned out good, by queue.
    pub good_share: FxHashMap<QueueName, f64>,
}
