//! The operators' configuration: queues and the pools that run their work.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::accounts::AccountDirectory;

/// Cost of advice on a queue's steps, and lifetime of its tickets.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AdviceCost {
    /// Time that the service takes for each call, in milliseconds.
    pub call_ms: f64,
    /// Additional time for each host in the call, in milliseconds.
    pub per_host_ms: f64,
    /// Lifetime of a ticket, in milliseconds.
    pub ticket_ms: u64,
}

/// Policy of a queue, stored with each of its jobs.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct QueuePolicy {
    /// Name of the queue.
    pub queue: QueueName,
    /// Pool that runs its tasks.
    pub pool: PoolName,
    /// Priority of its jobs; 0 is the most urgent.
    pub priority: u32,
    /// Number of failed runs of one task at which the job fails.
    pub max_attempts: u32,
    /// Target completion time of a job, as a multiple of its critical path.
    pub stretch: f64,
    /// Constant added to the target completion time, in milliseconds.
    pub target_latency_ms: u64,
    /// Cost of advice; `None` if steps of the queue need none.
    pub advice: Option<AdviceCost>,
}

/// A queue with the host name and path prefix that callers use.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Host name in callers' requests.
    pub host_name: String,
    /// Prefix of the path in callers' requests.
    pub path_prefix: String,
    /// Whether calls need no key although accounts are configured.
    pub is_public: bool,
    /// Policy that new jobs get.
    pub policy: Arc<QueuePolicy>,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigRecord {
    /// Version number, which increases with each change.
    pub version: u64,
    /// All queues. A request may match several, see [`ConfigRecord::route`].
    pub queues: Vec<Queue>,
    /// All pools of hosts, those without a queue included.
    pub pools: Vec<PoolName>,
    /// Maximum body size of a call, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of a call's head, in bytes; `None` if the configuration sets none.
    pub max_head_bytes: Option<usize>,
    /// Time for a call's head from its first byte on, in milliseconds; `None` if the configuration sets none.
    pub head_timeout_ms: Option<u64>,
    /// Time that a caller's connection may be idle, in milliseconds; `None` if the configuration sets none.
    pub idle_timeout_ms: Option<u64>,
    /// Client accounts; empty if the deployment has none.
    pub accounts: AccountDirectory,
}

impl ConfigRecord {
    /// Finds the queue for a host name and path. Also returns the rest of the path.
    ///
    /// The longest matching prefix wins. `None` if no queue matches.
    #[must_use]
    pub fn route<'p>(&self, host_name: &str, path: &'p str) -> Option<(&Queue, &'p str)> {
        self.queues
            .iter()
            .filter(|queue| queue.host_name == host_name)
            .filter_map(|queue| Some((queue, path.strip_prefix(queue.path_prefix.as_str())?)))
            .max_by_key(|(queue, _)| queue.path_prefix.len())
    }

    /// Returns whether a pool is configured, by itself or as that of a queue.
    #[must_use]
    pub fn has_pool(&self, pool: &PoolName) -> bool {
        self.pools.contains(pool) || self.queues.iter().any(|queue| queue.policy.pool == *pool)
    }

    /// Finds a queue by name.
    #[must_use]
    pub fn queue(&self, name: &QueueName) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.policy.queue == *name)
    }
}

/// Configuration in force in this daemon.
#[derive(Clone, Debug, Default)]
pub struct ConfigTable {
    /// Present version; `None` until the first was read.
    pub current: Option<Arc<ConfigRecord>>,
    /// Latest time at which it is known to have been the newest version, in monotonic milliseconds. `None` before the
    /// first confirmation.
    ///
    /// The clock counts time in which the process or machine was suspended.
    pub confirmed_at_ms: Option<u64>,
    /// When to ask peers for the age of the configuration next, in monotonic milliseconds.
    pub next_question_at_ms: u64,
    /// Questions sent to peers so far.
    pub question_count: usize,
    /// Whether calls that need a key are refused since the last confirmation is too old.
    pub is_outdated: bool,
    /// Whether an earlier version had accounts, so that a version without any has withdrawn all keys.
    pub had_accounts: bool,
}

impl ConfigTable {
    /// Returns whether calls need a key, on queues that are not public.
    #[must_use]
    pub fn needs_keys(&self) -> bool {
        self.had_accounts || self.current.as_ref().is_some_and(|config| !config.accounts.is_empty())
    }
}

impl ConfigTable {
    /// Records that the present version was the newest one at a time, in monotonic milliseconds.
    pub fn confirm(&mut self, at_ms: u64) {
        self.confirmed_at_ms = self.confirmed_at_ms.max(Some(at_ms));
    }
}
