//! All tables of one daemon.

use cassiahoist_core::prelude::*;

use crate::advice::AdviceTable;
use crate::commits::CommitTable;
use crate::config::ConfigTable;
use crate::counters::Counters;
use crate::declared::DeclaredTable;
use crate::effect::{Effect, LogNote};
use crate::front::{CallNumber, FrontAnswer, FrontTable, Origin};
use crate::holding::Holding;
use crate::hosts::{HostKey, HostTable};
use crate::inbox::Inbox;
use crate::jobs::{JobTable, Step, TaskKey};
use crate::local::Local;
use crate::members::MemberTable;
use crate::notices::Notice;
use crate::orders::{HostOrder, Order};
use crate::peer::PeerMessage;
use crate::runs::RunTable;
use crate::store::{StoreCall, StoreOp, StorePurpose};
use crate::store_link::StoreLink;

/// All tables of one daemon, owned by its control thread.
#[derive(Debug)]
pub struct World {
    /// Who this daemon is.
    pub local: Local,
    /// The link to the platform's store.
    pub store: StoreLink,
    /// Live daemons.
    pub members: MemberTable,
    /// Who holds the slice.
    pub holding: Holding,
    /// The configuration in force.
    pub config: ConfigTable,
    /// What operators declared.
    pub declared: DeclaredTable,
    /// Backend servers.
    pub hosts: HostTable,
    /// Jobs, steps and tasks; filled at the holder only.
    pub jobs: JobTable,
    /// Runs of tasks on hosts; filled at the holder only.
    pub runs: RunTable,
    /// Calls for advice.
    pub advice: AdviceTable,
    /// Recording of progress.
    pub commits: CommitTable,
    /// Calls of callers.
    pub front: FrontTable,
    /// What the holder has to hear.
    pub notices: Vec<Notice>,
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
            holding: Holding::default(),
            config: ConfigTable::default(),
            declared: DeclaredTable::default(),
            hosts: HostTable::default(),
            jobs: JobTable::default(),
            runs: RunTable::default(),
            advice: AdviceTable::default(),
            commits: CommitTable::default(),
            front: FrontTable::default(),
            notices: Vec::new(),
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
    pub fn log(&mut self, note: LogNote) {
        self.outbox.push(Effect::Log(note));
    }

    /// Calls the store and stops waiting `patience_ms` later.
    pub fn call_store(&mut self, purpose: StorePurpose, op: StoreOp, now_ms: u64, patience_ms: u64) {
        self.counters.store_calls += 1;
        if !matches!(op, StoreOp::Watch { .. }) {
            self.store.unanswered_since_ms.get_or_insert(now_ms);
        }
        let call = StoreCall { purpose, op, deadline_ms: now_ms + patience_ms };
        self.emit(Effect::Store { call, started_ms: now_ms });
    }

    /// Sends an order to a host under the present fencing token; does nothing without one.
    pub fn send_order(&mut self, host: HostKey, order: Order, patience_ms: u64, now_ms: u64) {
        let (Some(fence), Some(row)) = (self.holding.fence(), self.hosts.get(host)) else { return };
        let order = HostOrder {
            host,
            name: row.report.name.clone(),
            address: row.report.address.clone(),
            fence,
            order,
            patience_ms,
        };
        self.emit(Effect::Order { order: Box::new(order), started_ms: now_ms });
    }

    /// Gives how long runs of a task's queue usually take, in milliseconds, once one was done.
    #[must_use]
    pub fn usual_run_ms(&self, task: TaskKey) -> Option<u64> {
        let (_, step, _) = self.jobs.task_parts(task)?;
        let queue = &self.jobs.get(step.job)?.record.policy.queue;
        self.runs.usual_ms.get(queue).map(|usual_ms| *usual_ms as u64)
    }

    /// Gives the pool to which the configuration in force sends a step's queue, or that of the job's acceptance.
    #[must_use]
    pub fn pool_of(&self, step: &Step) -> Option<&PoolName> {
        let accepted = &self.jobs.get(step.job)?.record.policy;
        let current = self.config.in_force.as_ref().and_then(|config| config.queue(&accepted.queue));
        Some(current.map_or(&accepted.pool, |queue| &queue.policy.pool))
    }

    /// Sends a message to the holder, if one is known and it is another daemon.
    pub fn tell_holder(&mut self, message: PeerMessage) {
        if let Some((claim, _)) = &self.holding.claim
            && claim.holder.member != self.local.incarnation.member
        {
            let address = claim.peer_address.clone();
            self.emit(Effect::Peer { address, message });
        }
    }

    /// Answers a caller and forgets the call.
    pub fn answer(&mut self, call: CallNumber, answer: FrontAnswer) {
        if matches!(answer, FrontAnswer::Error { .. }) {
            self.counters.refused += 1;
        }
        match self.front.calls.remove(&call).map(|open| open.origin) {
            Some(Origin::Peer { address, call }) => {
                self.emit(Effect::Peer { address, message: PeerMessage::Relayed { call, answer } });
            }
            Some(Origin::Caller) | None => self.emit(Effect::Answer { call, answer }),
        }
    }
}
