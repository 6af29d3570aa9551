//! What callers and hosts saw, in order of time.

use cassiahoist_core::prelude::*;

/// One thing that a caller or a host saw.
#[derive(Clone, Debug, PartialEq)]
pub enum Fact {
    /// A job was handed in and the daemon answered.
    Submitted {
        /// The job.
        job: JobId,
        /// The answer's status.
        status: u16,
    },
    /// A job's cancelling was asked for.
    CancelSent {
        /// The job.
        job: JobId,
    },
    /// A job's cancelling was answered.
    Cancelled {
        /// The job.
        job: JobId,
        /// The answer's status.
        status: u16,
    },
    /// A job's state was answered.
    Shown {
        /// The job.
        job: JobId,
        /// The answer's status.
        status: u16,
        /// The state, if there was one.
        state: String,
    },
    /// A host began a run.
    Started {
        /// The task.
        task: String,
        /// Number of the run.
        run: u64,
        /// The host.
        host: HostName,
        /// Start of the host's life, in milliseconds since the epoch.
        born: u64,
        /// What its runs take, this one included.
        taken: Resources,
        /// What it has.
        capacity: Resources,
    },
    /// A run ended on a host.
    Ended {
        /// The task.
        task: String,
        /// Number of the run.
        run: u64,
        /// The host.
        host: HostName,
        /// How.
        how: &'static str,
    },
    /// A host was told that ends up to a number are recorded.
    Seen {
        /// The host.
        host: HostName,
        /// Start of its life, in milliseconds since the epoch.
        born: u64,
        /// The number.
        seen: u64,
    },
    /// The operators wrote a configuration.
    Configured {
        /// Its version.
        version: u64,
    },
    /// A host registered itself, or changed otherwise.
    Registered {
        /// The host.
        host: HostName,
        /// How it stands.
        view: HostView,
    },
    /// A daemon's order reached a host that took its fencing token.
    Ordered {
        /// The host.
        host: HostName,
        /// The daemon, by number.
        daemon: usize,
        /// Start of the daemon's life, in milliseconds since the epoch.
        life: u64,
        /// The token.
        fence: u64,
    },
    /// A daemon was asked for a queue that stands in one version of the configuration only.
    Probed {
        /// The daemon, by number.
        daemon: usize,
        /// Start of the daemon's life, in milliseconds since the epoch.
        life: u64,
        /// The version.
        version: u64,
        /// When the call was sent, in milliseconds.
        sent_ms: u64,
        /// The answer's status.
        status: u16,
    },
}

/// How a host stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostView {
    /// Its pool.
    pub pool: &'static str,
    /// The label of its kind.
    pub label: &'static str,
    /// Whether it says that it leaves.
    pub leaving: bool,
    /// Whether it runs what it is given.
    pub sound: bool,
}

/// What callers and hosts saw.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// Facts with their times, in milliseconds.
    pub facts: Vec<(u64, Fact)>,
}

impl Trace {
    /// Notes a fact.
    pub fn note(&mut self, now_ms: u64, fact: Fact) {
        self.facts.push((now_ms, fact));
    }
}
