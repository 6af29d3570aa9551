//! What a tick wants done outside the control thread.

use cassiahoist_core::prelude::*;
use serde::Serialize;

use crate::peer::PeerMessage;
use crate::requests::{Ticket, Verdict};
use crate::slices::SliceId;
use crate::store::StoreCall;
use crate::worker::{RunnerProbe, WorkerCommand};

/// Permission to act on the hosts or identities of a slice, looked at again just before bytes leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Permit {
    /// The slice.
    pub slice: SliceId,
    /// The term under which it is held.
    pub term: u64,
    /// End of the permission, in monotonic milliseconds.
    pub until_ms: u64,
}

impl Permit {
    /// Tells whether the permission is still fresh.
    #[must_use]
    pub fn is_fresh(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }
}

/// A log event to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogNote {
    /// The event.
    pub event: EventId,
    /// What it is about.
    pub detail: String,
}

/// What a tick wants done outside the control thread.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Tells a traffic task what to do next.
    Verdict {
        /// The waiting task.
        ticket: Ticket,
        /// What to do.
        verdict: Verdict,
    },
    /// Calls the store.
    Store {
        /// The call.
        call: StoreCall,
        /// When control issued it, in monotonic milliseconds.
        started_ms: u64,
    },
    /// Sends a message to a peer.
    Peer {
        /// The peer's name.
        to: MemberName,
        /// Its address, as `ip:port`.
        address: String,
        /// The message.
        message: PeerMessage,
    },
    /// Sends a command to a worker.
    Worker(WorkerCommand),
    /// Asks a runner what it runs.
    Probe(RunnerProbe),
    /// Writes a log event.
    Log(LogNote),
    /// Ends the process: everything is handed over.
    Exit,
}
