//! What a daemon knows of itself.

use cassiahoist_core::hash::stable_hash;
use cassiahoist_core::prelude::*;

use serde::Serialize;

/// Who this daemon is and in which cell it stands.
#[derive(Clone, Debug)]
pub struct Local {
    /// Name and start number.
    pub incarnation: Incarnation,
    /// The failure domain that the daemon stands in.
    pub domain: FailureDomain,
    /// Address for peers, as `ip:port`.
    pub peer_address: String,
    /// Fleets of the cell.
    pub fleets: Vec<Fleet>,
    /// Failure domains of the cell, in the order that every daemon's settings give.
    pub domains: Vec<FailureDomain>,
    /// Number of identity slices in the cell.
    pub identity_slices: u16,
    /// Timing of ownership and leases.
    pub timing: Timing,
    /// Bounds on queues.
    pub limits: Limits,
    /// Set once a graceful stop began.
    pub stop: StopState,
    /// Wall-clock time at monotonic time 0, in milliseconds since the epoch.
    pub unix_at_zero_ms: u64,
}

/// How far a graceful stop has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub enum StopState {
    /// Not stopping.
    #[default]
    Running,
    /// Stopping since this time, in monotonic milliseconds.
    Stopping {
        /// When the stop began.
        since_ms: u64,
    },
    /// Everything is handed over.
    Drained,
}

impl StopState {
    /// Tells whether a stop began.
    #[must_use]
    pub fn is_stopping(self) -> bool {
        !matches!(self, Self::Running)
    }
}

/// Timing of ownership and leases, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval between confirmations of ownership.
    pub confirm_interval_ms: u64,
    /// How long a confirmation permits to act, from its start.
    pub permission_ms: u64,
    /// How long a chain of promises may last without a reading of the store.
    pub promise_chain_ms: u64,
    /// Time to live of a membership lease.
    pub member_ttl_ms: u64,
    /// Interval between gossip messages.
    pub gossip_interval_ms: u64,
    /// Interval between renewals of a worker's leases.
    pub worker_sync_interval_ms: u64,
    /// Lease of a task at its worker.
    pub task_lease_ms: u64,
    /// How long the whole graceful stop may take.
    pub stop_limit_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            confirm_interval_ms: 500,
            permission_ms: 2_000,
            promise_chain_ms: 3_600_000,
            member_ttl_ms: 2_000,
            gossip_interval_ms: 500,
            worker_sync_interval_ms: 1_000,
            task_lease_ms: 10_000,
            stop_limit_ms: 20_000,
        }
    }
}

/// Bounds on queues and memory.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Requests waiting or running at this daemon.
    pub max_requests: usize,
    /// Jobs owned by this daemon that have not finished.
    pub max_jobs: usize,
    /// Tasks of one job.
    pub max_job_tasks: u32,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { max_requests: 4_096, max_jobs: 50_000, max_job_tasks: 10_000, max_body_bytes: 1 << 20 }
    }
}

/// Counts since the daemon's start, read by metrics.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counters {
    /// Requests that arrived from callers.
    pub requests_arrived: u64,
    /// Requests granted a slot here.
    pub requests_granted: u64,
    /// Requests forwarded to a peer.
    pub requests_forwarded: u64,
    /// Requests refused, proved not run.
    pub requests_refused: u64,
    /// Requests that may have run.
    pub requests_uncertain: u64,
    /// Jobs recorded.
    pub jobs_accepted: u64,
    /// Tasks started on a host held here.
    pub tasks_started: u64,
    /// Calls to the store.
    pub store_calls: u64,
    /// Ticks run.
    pub ticks: u64,
}

impl Local {
    /// Gives the wall-clock time in seconds since the epoch.
    #[must_use]
    pub fn unix_s(&self, now_ms: u64) -> u64 {
        (self.unix_at_zero_ms + now_ms) / 1_000
    }

    /// Finds the identity slice of a request or job.
    #[must_use]
    pub fn identity_slice(&self, identity: &RequestIdentity) -> SliceName {
        let index = (stable_hash(identity) % u64::from(self.identity_slices)) as u16;
        self.identity_slice_at(index)
    }

    /// Names the identity slice of an index.
    #[must_use]
    pub fn identity_slice_at(&self, index: u16) -> SliceName {
        let home = usize::from(index) % self.domains.len();
        SliceName::identities(&self.domains[home], index)
    }

    /// Tells whether the cell has this fleet.
    #[must_use]
    pub fn has_fleet(&self, fleet: &Fleet) -> bool {
        self.fleets.contains(fleet)
    }
}
