//! The operators' configuration: queues and the pools that run their work.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use serde::{Deserialize, Serialize};

/// What advice on a queue's steps costs.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AdviceTerms {
    /// Time of each call, in milliseconds.
    pub call_ms: f64,
    /// Time for each host named, in milliseconds.
    pub per_host_ms: f64,
    /// How long a ticket is good, in milliseconds.
    pub ticket_ms: u64,
}

/// The policy of a queue, stored with each of its jobs.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct QueuePolicy {
    /// The queue.
    pub queue: QueueName,
    /// The pool that runs its tasks.
    pub pool: PoolName,
    /// Urgency; 0 comes first.
    pub priority: u32,
    /// Runs of a task that may fail before the job fails.
    pub max_attempts: u32,
    /// Factor on the longest chain of work that gives the objective.
    pub stretch: f64,
    /// Time added to the objective, in milliseconds.
    pub target_latency_ms: u64,
    /// Whether steps need advice on hosts.
    pub advice: Option<AdviceTerms>,
}

/// A queue and the calls that reach it.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// The host name that callers use.
    pub host: String,
    /// What paths begin with.
    pub path_prefix: String,
    /// The policy.
    pub policy: Arc<QueuePolicy>,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigRecord {
    /// Rises with each change.
    pub version: u64,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Largest body of a call, in bytes.
    pub max_body_bytes: usize,
}

impl ConfigRecord {
    /// Finds the queue for a host name and a path, and the rest of the path.
    ///
    /// The longest matching prefix wins.
    #[must_use]
    pub fn route<'p>(&self, host: &str, path: &'p str) -> Option<(&Queue, &'p str)> {
        self.queues
            .iter()
            .filter(|queue| queue.host == host)
            .filter_map(|queue| Some((queue, path.strip_prefix(queue.path_prefix.as_str())?)))
            .max_by_key(|(queue, _)| queue.path_prefix.len())
    }

    /// Finds a queue by name.
    #[must_use]
    pub fn queue(&self, name: &QueueName) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.policy.queue == *name)
    }
}

/// The configuration in force in this daemon.
#[derive(Clone, Debug, Default)]
pub struct ConfigTable {
    /// The version in force; nothing before the first was read.
    pub in_force: Option<Arc<ConfigRecord>>,
}
