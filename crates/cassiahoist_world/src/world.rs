//! All control state of one daemon.

use cassiahoist_core::prelude::*;

use crate::account_usage::AccountUsageTable;
use crate::advice::AdviceTable;
use crate::calls::{CallAnswer, CallNumber, CallOrigin, CallTable, first_call_number};
use crate::config::ConfigTable;
use crate::counters::Counters;
use crate::declarations::DeclarationTable;
use crate::delays::DelayTable;
use crate::effect::{Effect, LogRecord};
use crate::holding::Holding;
use crate::hosts::{HostKey, HostTable};
use crate::inbox::Inbox;
use crate::jobs::{JobTable, Step, TaskKey};
use crate::load::LoadTable;
use crate::local::LocalDaemon;
use crate::members::MemberTable;
use crate::notices::HolderNotice;
use crate::orders::{HostOrder, Order};
use crate::peer::PeerMessage;
use crate::run_times::{RunTimeEstimate, RunTimeTable, TaskShape};
use crate::runs::RunTable;
use crate::start_relay::HandledStartTable;
use crate::store::{StoreCall, StoreOp, StorePurpose};
use crate::store_connection::StoreConnection;
use crate::store_writes::StoreWriteTable;

/// Holds all tables of one daemon; only its control thread accesses them.
#[derive(Debug)]
pub struct World {
    /// Identity, settings and stop state of this daemon.
    pub local: LocalDaemon,
    /// State of the connection to the platform's store.
    pub store_connection: StoreConnection,
    /// Daemons that are registered in the store.
    pub members: MemberTable,
    /// Holder of the slice, and this daemon's own claim.
    pub holding: Holding,
    /// Operators' configuration in force.
    pub config: ConfigTable,
    /// Operators' declarations in force.
    pub declarations: DeclarationTable,
    /// Backend servers; filled only at the holder.
    pub hosts: HostTable,
    /// Jobs, steps and tasks; filled only at the holder.
    pub jobs: JobTable,
    /// Runs of tasks on hosts; filled only at the holder.
    pub runs: RunTable,
    /// What client accounts have in use, and may use; filled only at the holder.
    pub account_usage: AccountUsageTable,
    /// Expected run times of tasks.
    pub run_times: RunTimeTable,
    /// Start orders that this daemon sends for the holder.
    pub handled_starts: HandledStartTable,
    /// Open calls for advice; filled only at the holder.
    pub advice: AdviceTable,
    /// Progress of the holder's writes to the store.
    pub store_writes: StoreWriteTable,
    /// Open calls of callers at this daemon.
    pub calls: CallTable,
    /// Messages about jobs that the present holder and its successors must receive.
    pub holder_notices: Vec<HolderNotice>,
    /// Messages that no system has read yet.
    pub inbox: Inbox,
    /// Effects that the traffic threads have not received yet.
    pub outbox: Vec<Effect>,
    /// Counters and latencies for the metrics page.
    pub counters: Counters,
    /// Parts of the time of late jobs, for the metrics page.
    pub delays: DelayTable,
    /// Load of this daemon, measured once a second.
    pub load: LoadTable,
    /// When the next tick is due, in monotonic milliseconds. Reset to `u64::MAX` by each tick.
    pub wake_at_ms: u64,
    /// When the present tick was due, in monotonic milliseconds; `u64::MAX` if no system requested it.
    pub due_at_ms: u64,
}

impl World {
    /// Creates empty tables, with no tick due.
    #[must_use]
    pub fn new(local: LocalDaemon) -> Self {
        let relayed_call_count = first_call_number(&local.incarnation);
        Self {
            local,
            store_connection: StoreConnection::default(),
            members: MemberTable::default(),
            holding: Holding::default(),
            config: ConfigTable::default(),
            declarations: DeclarationTable::default(),
            hosts: HostTable::default(),
            jobs: JobTable::default(),
            runs: RunTable::default(),
            account_usage: AccountUsageTable::default(),
            run_times: RunTimeTable::default(),
            handled_starts: HandledStartTable::default(),
            advice: AdviceTable::default(),
            store_writes: StoreWriteTable::default(),
            calls: CallTable { relayed_call_count, ..CallTable::default() },
            holder_notices: Vec::new(),
            inbox: Inbox::default(),
            outbox: Vec::new(),
            counters: Counters::default(),
            delays: DelayTable::default(),
            load: LoadTable::default(),
            wake_at_ms: u64::MAX,
            due_at_ms: u64::MAX,
        }
    }

    /// Requests a tick no later than `at_ms`, in monotonic milliseconds.
    pub fn wake_by(&mut self, at_ms: u64) {
        self.wake_at_ms = self.wake_at_ms.min(at_ms);
    }

    /// Queues an effect for the traffic threads.
    pub fn emit(&mut self, effect: Effect) {
        self.outbox.push(effect);
    }

    /// Queues a log event.
    pub fn log(&mut self, log_record: LogRecord) {
        self.outbox.push(Effect::WriteLog(log_record));
    }

    /// Sends a call to the store that times out after `timeout_ms`.
    pub fn call_store(&mut self, purpose: StorePurpose, op: StoreOp, now_ms: u64, timeout_ms: u64) {
        self.counters.store_calls += 1;
        if !matches!(op, StoreOp::Watch { .. }) {
            self.store_connection.unanswered_since_ms.get_or_insert(now_ms);
        }
        let call = StoreCall { purpose, op, deadline_ms: now_ms + timeout_ms };
        self.emit(Effect::CallStore { call, issued_at_ms: now_ms });
    }

    /// Raises the token of further orders to a host, so that they shut out earlier ones.
    ///
    /// An order without an answer may take effect later, even at another incarnation. Without a write since the last call
    /// nothing changes.
    pub fn shut_out_earlier_orders(&mut self, host: HostKey) {
        let latest_fence = Fence(self.store_writes.latest_revision);
        if let Some(row) = self.hosts.get_mut(host) {
            row.min_fence = row.min_fence.max(latest_fence);
        }
    }

    /// Returns the fencing token of orders to a host; `None` without a claim.
    #[must_use]
    pub fn order_fence(&self, host: HostKey) -> Option<Fence> {
        let min_fence = self.hosts.get(host).map_or(Fence(0), |row| row.min_fence);
        self.holding.fence().map(|fence| fence.max(min_fence))
    }

    /// Sends an order to a host under this daemon's fencing token.
    ///
    /// Does nothing if this daemon has no claim or the host has no row.
    pub fn send_order(&mut self, host: HostKey, order: Order, timeout_ms: u64, now_ms: u64) {
        let Some(order) = self.address_order(host, order, timeout_ms) else { return };
        self.emit(Effect::SendOrder { order: Box::new(order), issued_at_ms: now_ms });
    }

    /// Returns an order to a host under this daemon's fencing token.
    ///
    /// `None` if this daemon has no claim or the host has no row.
    #[must_use]
    pub fn address_order(&self, host: HostKey, order: Order, timeout_ms: u64) -> Option<HostOrder> {
        let (fence, row) = (self.order_fence(host)?, self.hosts.get(host)?);
        Some(HostOrder {
            host,
            host_name: row.entry.name.clone(),
            address: row.entry.address.clone(),
            fence,
            order,
            timeout_ms,
        })
    }

    /// Returns the mean run time of a task's queue, in milliseconds.
    ///
    /// `None` until a run of that queue has completed at this daemon.
    #[must_use]
    pub fn mean_run_ms(&self, task: TaskKey) -> Option<u64> {
        let (_, step, _) = self.jobs.task_context(task)?;
        let queue = &self.jobs.get(step.job)?.record.policy.queue;
        self.runs.mean_run_ms.get(queue).map(|mean_ms| *mean_ms as u64)
    }

    /// Returns the shape by which run times of a step's tasks are learned.
    #[must_use]
    pub fn task_shape(&self, step: &Step) -> Option<TaskShape<'_>> {
        let record = &self.jobs.get(step.job)?.record;
        let spec = record.spec.steps.get(usize::from(step.name.index))?;
        Some(TaskShape { queue: &record.policy.queue, account: record.account.as_ref(), spec })
    }

    /// Returns how long a task of a step is expected to run on a host of any kind.
    ///
    /// The ends of other tasks of the step count most.
    #[must_use]
    pub fn step_run_time(&self, step: &Step) -> Option<RunTimeEstimate> {
        Some(self.run_times.estimate_in_step(&self.task_shape(step)?, &step.run_ratios, None))
    }

    /// Returns the pool that runs a step's queue under the configuration in force.
    ///
    /// Falls back to the pool recorded at the job's acceptance if the queue is no longer configured.
    #[must_use]
    pub fn pool_of(&self, step: &Step) -> Option<&PoolName> {
        let accepted = &self.jobs.get(step.job)?.record.policy;
        let current = self.config.current.as_ref().and_then(|config| config.queue(&accepted.queue));
        Some(current.map_or(&accepted.pool, |queue| &queue.policy.pool))
    }

    /// Sends a message to the holder. Does nothing if none is known or this daemon is the holder.
    pub fn send_to_holder(&mut self, message: PeerMessage) {
        if let Some((claim, _)) = &self.holding.claim
            && claim.holder.member != self.local.incarnation.member
        {
            let address = claim.peer_address.clone();
            self.emit(Effect::SendPeerMessage { address, message });
        }
    }

    /// Answers a call and removes it from the open calls.
    ///
    /// The answer goes to the caller, or to the peer that relayed the call.
    pub fn answer_call(&mut self, call: CallNumber, answer: CallAnswer) {
        if matches!(answer, CallAnswer::Error { .. }) {
            self.counters.refused += 1;
        }
        match self.calls.open.remove(&call).map(|open| open.origin) {
            Some(CallOrigin::Peer { address, call }) => {
                self.emit(Effect::SendPeerMessage {
                    address,
                    message: PeerMessage::RelayReply { call, answer },
                });
            }
            Some(CallOrigin::Caller) | None => self.emit(Effect::AnswerCall { call, answer }),
        }
    }
}
