//! Advice on which hosts may run a step, and the calls for it.
//!
//! The service answers the calls of one daemon one after the other. So the holder spreads its calls over all
//! daemons.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};

use crate::keys::{HostKey, StepKey};

/// Permission of the advice service to run a step's tasks on a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Opaque text that the host verifies.
    pub text: Arc<str>,
    /// Expiry, in monotonic milliseconds; 0 after the host refused it.
    pub expires_at_ms: u64,
    /// Start of the incarnation for which it is valid, in Unix milliseconds.
    pub host_started_unix_ms: u64,
}

/// Advice that the holder has on the hosts of a step.
#[derive(Clone, Debug, Default)]
pub struct StepAdvice {
    /// Hosts that the service approved, with the latest ticket each. A ticket may have expired.
    pub approved_hosts: FxHashMap<HostKey, Ticket>,
    /// Hosts that the service rejected.
    pub rejected_hosts: FxHashSet<HostKey>,
    /// Number of the open call; `None` if none is open.
    pub open_call: Option<u64>,
    /// When to make the next call, in monotonic milliseconds.
    pub next_call_at_ms: u64,
}

/// A call for advice.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AdviceCall {
    /// Number of the call, assigned by the holder.
    pub call: u64,
    /// Name of the step.
    pub step: StepName,
    /// Hosts on which advice is wanted.
    pub hosts: Vec<HostName>,
    /// Timeout, in milliseconds from the sending; a later answer is ignored.
    #[serde(rename = "patience_ms")]
    pub timeout_ms: u64,
}

/// A host that the service approved for the step.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ApprovedHost {
    /// Name of the host.
    pub host: HostName,
    /// Text of its ticket, valid for [`AdviceAnswer::ticket_ms`].
    pub ticket: Arc<str>,
}

/// Answer to a call for advice.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AdviceAnswer {
    /// Number of the call.
    pub call: u64,
    /// Hosts that the service approved; `None` if the call failed.
    #[serde(rename = "good")]
    pub approved: Option<Vec<ApprovedHost>>,
    /// Lifetime of the tickets from the service's answer on, in milliseconds.
    pub ticket_ms: u64,
    /// Time from the receipt of the call by the daemon that made it to the service's answer, in milliseconds.
    #[serde(default)]
    pub took_ms: u64,
}

/// A call for advice whose result is open.
#[derive(Clone, Debug)]
pub struct OpenAdviceCall {
    /// Row of the step.
    pub step: StepKey,
    /// Hosts in the call.
    pub hosts: Vec<HostKey>,
    /// Daemon that makes the call on the holder's behalf.
    pub member: MemberName,
    /// When it was sent, in monotonic milliseconds.
    pub sent_at_ms: u64,
    /// When its answer is expected by the service's cost and the holder's own delays, in monotonic milliseconds.
    pub expected_at_ms: u64,
    /// When the holder makes another call for the step instead, in monotonic milliseconds.
    pub abandon_at_ms: u64,
    /// Whether the step no longer waits for the call. A late answer is still used.
    pub abandoned: bool,
}

/// Open calls for advice, and what the holder measured about the service.
#[derive(Debug, Default)]
pub struct AdviceTable {
    /// Open calls by number.
    pub open_calls: FxHashMap<u64, OpenAdviceCall>,
    /// Number of the latest call; 0 before the first.
    pub last_call_number: u64,
    /// When the service is expected to finish a daemon's calls, in monotonic milliseconds.
    pub busy_until_ms: FxHashMap<MemberName, u64>,
    /// When the next round of placement may begin, in monotonic milliseconds.
    pub next_round_at_ms: u64,
    /// When the next round of requests may begin, in monotonic milliseconds.
    pub next_request_at_ms: u64,
    /// Exponentially weighted mean share of named hosts that the service approves, by queue.
    pub approved_share: FxHashMap<QueueName, f64>,
}
