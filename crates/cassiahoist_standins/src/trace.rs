//! Trace of everything that callers and hosts observe, in order of time.

use cassiahoist_core::prelude::*;

/// One event that a caller or a host observed.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A caller submitted a job and got an answer or none.
    ///
    /// Recorded once for each attempt, after the answer or the timeout.
    JobSubmitted {
        /// Job with the identity that the caller chose.
        job: JobId,
        /// HTTP status; 0 if no answer arrived.
        status: u16,
    },
    /// A caller asked to cancel a job.
    CancelRequested {
        /// Job to cancel.
        job: JobId,
    },
    /// A request to cancel was answered.
    CancelAnswered {
        /// Job to cancel.
        job: JobId,
        /// HTTP status of the answer.
        status: u16,
    },
    /// A query for a job's state was answered.
    StateAnswered {
        /// Job whose state was queried.
        job: JobId,
        /// HTTP status of the answer.
        status: u16,
        /// Name of the state, empty if the answer has none.
        state: String,
    },
    /// Hosts were cut off together with daemons, which reach neither the store nor the daemons that do, or all were, since
    /// the store was away.
    HostsCutOff {
        /// The hosts.
        hosts: Vec<HostName>,
        /// Time at which the cut heals, in milliseconds.
        until_ms: u64,
    },
    /// A host started a run.
    RunStarted {
        /// Name of the task.
        task: String,
        /// Number of the run.
        run: u64,
        /// Host that runs it.
        host: HostName,
        /// Start of the host's incarnation, in milliseconds since the epoch.
        host_started_unix_ms: u64,
        /// Resources reserved by all runs on the host, this one included.
        total_reserved: Resources,
        /// Resources that the host has.
        capacity: Resources,
    },
    /// A run ended on a host.
    RunEnded {
        /// Name of the task.
        task: String,
        /// Number of the run.
        run: u64,
        /// Host that ran it.
        host: HostName,
        /// Ending as the host lists it, or `crash` if the host restarted.
        ending: &'static str,
    },
    /// A host was notified which of its ended runs are recorded.
    ///
    /// It may drop those from its list.
    EndsRecorded {
        /// Host that was notified.
        host: HostName,
        /// Start of the host's incarnation, in milliseconds since the epoch.
        host_started_unix_ms: u64,
        /// Number of the last recorded end.
        recorded_up_to: u64,
    },
    /// The operators wrote a configuration.
    ConfigWritten {
        /// Version written; may be older than the one before.
        version: u64,
    },
    /// A host's registration or health changed.
    HostRegistered {
        /// Host that changed.
        host: HostName,
        /// State after the change.
        state: HostState,
    },
    /// An order reached a host that accepted its fencing token.
    OrderAccepted {
        /// Host that accepted it.
        host: HostName,
        /// Number of the daemon that gave the order.
        daemon: usize,
        /// Start of the daemon's incarnation, in milliseconds since the epoch.
        daemon_started_unix_ms: u64,
        /// Fencing token of the order.
        fence: u64,
        /// Task and number of the run, for a start order.
        start: Option<(TaskName, u64)>,
    },
    /// A holder gave a start order to another daemon to send.
    StartRelayed {
        /// Host that the order is for.
        host: HostName,
        /// Number of the holder.
        daemon: usize,
        /// Start of the holder's incarnation, in milliseconds since the epoch.
        daemon_started_unix_ms: u64,
        /// Name of the daemon that sends the order.
        relay: MemberName,
        /// Fencing token of the order.
        fence: u64,
        /// Name of the task.
        task: TaskName,
        /// Number of the run.
        run: u64,
    },
    /// An order reached its host without an answer in time, or did not reach it.
    OrderUnanswered {
        /// Host that the order was for.
        host: HostName,
    },
    /// A daemon logged that it takes a host for unresponsive.
    HostUnresponsive {
        /// Host that seems unresponsive.
        host: HostName,
        /// Number of the daemon.
        daemon: usize,
    },
    /// A query for a queue of a single configuration version was answered.
    QueueProbed {
        /// Number of the daemon.
        daemon: usize,
        /// Start of the daemon's incarnation, in milliseconds since the epoch.
        daemon_started_unix_ms: u64,
        /// Only version that has the queue.
        version: u64,
        /// Time at which the query was sent, in milliseconds.
        sent_ms: u64,
        /// HTTP status: 200 if the queue was found, 404 if not.
        status: u16,
    },
}

/// State of a host as the checks need it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostState {
    /// Pool that the host serves.
    pub pool: &'static str,
    /// Label of the host's kind.
    pub label: &'static str,
    /// Whether its entry reports that it is draining.
    pub draining: bool,
    /// Whether it runs tasks as specified, without an injected fault.
    pub healthy: bool,
}

/// Observations of a whole run.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// Observations with their times in milliseconds, oldest first.
    pub observations: Vec<(u64, Observation)>,
}

impl Trace {
    /// Appends an observation made at `now_ms`, in milliseconds of simulated time.
    pub fn record(&mut self, now_ms: u64, observation: Observation) {
        self.observations.push((now_ms, observation));
    }
}
