//! All tables of one daemon.

use crate::declarations::ConfigTable;
use crate::effect::{Effect, LogNote};
use crate::hosts::HostTable;
use crate::inbox::Inbox;
use crate::jobs::{JobTable, TaskTable};
use crate::journal::JournalTable;
use crate::local::{Counters, Local};
use crate::members::MemberTable;
use crate::requests::RequestTable;
use crate::runs::RunTable;
use crate::slices::SliceTable;
use crate::store::StoreLink;
use crate::teams::TeamTable;
use cassiahoist_core::prelude::EventId;

/// All tables of one daemon, owned by its control thread.
#[derive(Debug)]
pub struct World {
    /// Who this daemon is.
    pub local: Local,
    /// The link to the platform's store.
    pub store: StoreLink,
    /// Daemons of the cell.
    pub members: MemberTable,
    /// Slices of hosts and identities.
    pub slices: SliceTable,
    /// Backend servers.
    pub hosts: HostTable,
    /// Requests under way.
    pub requests: RequestTable,
    /// Records of identities held here.
    pub journal: JournalTable,
    /// Jobs owned here.
    pub jobs: JobTable,
    /// Tasks of jobs owned here.
    pub tasks: TaskTable,
    /// Runs of tasks on hosts held here.
    pub runs: RunTable,
    /// Teams and what they use.
    pub teams: TeamTable,
    /// The configuration in force.
    pub config: ConfigTable,
    /// Messages not yet read by their system.
    pub inbox: Inbox,
    /// Effects not yet carried out.
    pub outbox: Vec<Effect>,
    /// Counters for metrics.
    pub counters: Counters,
    /// When the next tick is due, in monotonic milliseconds.
    pub wake_at_ms: u64,
}

impl World {
    /// Creates empty tables.
    #[must_use]
    pub fn new(local: Local) -> Self {
        Self {
            local,
            store: StoreLink::default(),
            members: MemberTable::default(),
            slices: SliceTable::default(),
            hosts: HostTable::default(),
            requests: RequestTable::default(),
            journal: JournalTable::default(),
            jobs: JobTable::default(),
            tasks: TaskTable::default(),
            runs: RunTable::default(),
            teams: TeamTable::default(),
            config: ConfigTable::default(),
            inbox: Inbox::default(),
            outbox: Vec::new(),
            counters: Counters::default(),
            wake_at_ms: u64::MAX,
        }
    }

    /// Asks for a tick no later than `at_ms`.
    pub fn wake_by(&mut self, at_ms: u64) {
        self.wake_at_ms = self.wake_at_ms.min(at_ms);
    }

    /// Queues an effect.
    pub fn emit(&mut self, effect: Effect) {
        self.outbox.push(effect);
    }

    /// Queues a log event.
    pub fn log(&mut self, event: EventId, detail: impl Into<String>) {
        self.outbox.push(Effect::Log(LogNote { event, detail: detail.into() }));
    }
}
