//! Ways on which start orders reach their hosts: directly, or through a peer while they fill the holder's link.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::HostKey;
use cassiahoist_world::jobs::StepKey;
use cassiahoist_world::keys::RunKey;
use cassiahoist_world::orders::{HostOrder, Order};
use cassiahoist_world::peer::PeerMessage;
use cassiahoist_world::prelude::*;
use cassiahoist_world::start_relay::{
    BatchedStart, OpenRelayedStart, StartBatch, StartRelay, batch_head_bytes,
};

/// Timeout of an order to start a run, in milliseconds.
const START_TIMEOUT_MS: u64 = 300;

/// Time that the answers of a relay have for their way back, in milliseconds.
const RETURN_TIMEOUT_MS: u64 = 300;

/// Bytes of a row of a batch that are expected before its host is known.
const EXPECTED_ROW_BYTES: u64 = 140;

/// Most orders of one batch.
const MAX_BATCH_ORDERS: usize = 32;

/// Time that the orders of a batch may take on the link of their relay beyond its budget, in milliseconds.
const MAX_RELAY_QUEUEING_MS: u64 = 100;

/// Least number of times that direct orders have to take more bytes of the link than a batch.
const MIN_SAVING_FACTOR: u64 = 2;

/// Way on which the start orders of a step reach their hosts.
#[derive(Debug, Default)]
pub(crate) enum StartRoute {
    /// This daemon sends them.
    #[default]
    Direct,
    /// A peer gets them in one batch.
    Relayed(RelayedOrders),
}

/// Start orders of a step for one relay.
#[derive(Debug)]
pub(crate) struct RelayedOrders {
    claim: Fence,
    relay: Incarnation,
    address: String,
    /// The relay's clock at this tick, at most, in milliseconds.
    relay_clock_ms: u64,
    step: StepName,
    argument: Arc<str>,
    orders: Vec<(RunKey, HostOrder)>,
}

impl StartRoute {
    /// Chooses the route for up to `task_count` tasks of a step.
    ///
    /// A relay is used only if direct orders exceed what the holder's link carries now.
    pub(crate) fn choose(world: &mut World, key: StepKey, task_count: usize, now_ms: u64) -> Self {
        let Some(step) = world.jobs.steps.get(key) else { return Self::Direct };
        let Some(job) = world.jobs.get(step.job) else { return Self::Direct };
        let (step, argument) = (step.name, &*job.record.spec.argument);
        let direct_bytes = Order::start_size_bytes(argument) * task_count as u64;
        let batch_bytes = batch_head_bytes(argument) + EXPECTED_ROW_BYTES * task_count as u64;
        if world.runs.start_budget.covers(direct_bytes) || direct_bytes < batch_bytes * MIN_SAVING_FACTOR {
            return Self::Direct;
        }
        let Some(claim) = world.holding.fence() else { return Self::Direct };
        let Some((relay, relay_clock_ms)) = world.runs.start_relays.find_ready(now_ms) else {
            return Self::Direct;
        };
        let (relay, address) = (relay.incarnation.clone(), relay.address.clone());
        let argument = Arc::from(argument);
        Self::Relayed(RelayedOrders {
            claim,
            relay,
            address,
            relay_clock_ms,
            step,
            argument,
            orders: Vec::new(),
        })
    }

    /// Returns the peer that gets the orders; `None` if this daemon sends them.
    pub(crate) fn relay(&self) -> Option<&MemberName> {
        match self {
            Self::Direct => None,
            Self::Relayed(relayed) => Some(&relayed.relay.member),
        }
    }

    /// Returns whether no further order may go this way now.
    ///
    /// A batch may exceed the holder's budget, since its argument would otherwise be sent again for the rest of the step.
    pub(crate) fn is_full(&self, world: &World) -> bool {
        match self {
            Self::Direct => world.runs.start_budget.is_exhausted(),
            Self::Relayed(relayed) => relayed.is_full(world),
        }
    }

    /// Sends an order, or adds it to the batch.
    pub(crate) fn add(&mut self, world: &mut World, host: HostKey, order: Order, now_ms: u64) {
        match self {
            Self::Direct => send_directly(world, host, order, now_ms),
            Self::Relayed(relayed) => relayed.add(world, host, order),
        }
    }

    /// Sends the batch, if there is one.
    pub(crate) fn finish(self, world: &mut World, now_ms: u64) {
        if let Self::Relayed(relayed) = self {
            relayed.send(world, now_ms);
        }
    }
}

fn send_directly(world: &mut World, host: HostKey, order: Order, now_ms: u64) {
    world.runs.start_budget.spend(order.size_bytes());
    let timeout_ms = start_timeout_ms(world);
    world.send_order(host, order, timeout_ms, now_ms);
}

/// Returns the timeout of a start order that leaves after all issued before, in milliseconds.
fn start_timeout_ms(world: &World) -> u64 {
    let queueing_ms = world.runs.start_budget.queueing_time_ms(world.local.limits.link_mbps);
    START_TIMEOUT_MS + queueing_ms + world.holding.answer_times.latency_allowance_ms()
}

impl RelayedOrders {
    fn find_relay<'w>(&self, world: &'w World) -> Option<&'w StartRelay> {
        world.runs.start_relays.relays.iter().find(|relay| relay.incarnation == self.relay)
    }

    fn is_full(&self, world: &World) -> bool {
        let queueing_ms = |relay: &StartRelay| relay.budget.queueing_time_ms(relay.link_mbps);
        self.orders.len() >= MAX_BATCH_ORDERS
            || self.find_relay(world).is_none_or(|relay| queueing_ms(relay) >= MAX_RELAY_QUEUEING_MS)
    }

    fn add(&mut self, world: &mut World, host: HostKey, order: Order) {
        let Order::Start { run, .. } = order else { return };
        if self.orders.is_empty() {
            world.runs.start_budget.spend(batch_head_bytes(&self.argument));
        }
        let order_bytes = order.size_bytes();
        // The timeout is known once the batch is complete.
        let Some(order) = world.address_order(host, order, 0) else { return };
        let row_bytes = batched_start(&order).map_or(0, |row| row.size_bytes());
        world.runs.start_budget.spend(row_bytes);
        let relays = &mut world.runs.start_relays.relays;
        if let Some(relay) = relays.iter_mut().find(|relay| relay.incarnation == self.relay) {
            relay.budget.spend(order_bytes);
        }
        self.orders.push((run, order));
    }

    fn send(self, world: &mut World, now_ms: u64) {
        if self.orders.is_empty() {
            return;
        }
        let relays = &mut world.runs.start_relays.relays;
        let relay = relays.iter_mut().find(|relay| relay.incarnation == self.relay);
        let queueing_ms = relay.map_or(0, |relay| {
            relay.awaited_since_ms.get_or_insert(now_ms);
            relay.budget.queueing_time_ms(relay.link_mbps)
        });
        let timeout_ms = start_timeout_ms(world) + queueing_ms;
        let batch = StartBatch {
            relay: self.relay.clone(),
            claim: self.claim,
            deadline_ms: self.relay_clock_ms.saturating_add(timeout_ms),
            step: self.step,
            argument: self.argument,
            starts: self.orders.iter().filter_map(|(_, order)| batched_start(order)).collect(),
        };
        let message = PeerMessage::StartBatch(batch);
        world.emit(Effect::SendPeerMessage { address: self.address, message });
        // The host has as long for its answer as the order had to leave its relay.
        let expires_at_ms = now_ms + 2 * timeout_ms + RETURN_TIMEOUT_MS;
        world.wake_by(expires_at_ms);
        world.counters.starts_relayed += self.orders.len() as u64;
        for (run, order) in self.orders {
            let order = HostOrder { timeout_ms, ..order };
            let open = OpenRelayedStart {
                order,
                claim: self.claim,
                relay: self.relay.clone(),
                issued_at_ms: now_ms,
                expires_at_ms,
            };
            world.runs.start_relays.open.insert(run, open);
        }
    }
}

/// Returns the row of a batch for a start order; `None` for another order.
fn batched_start(order: &HostOrder) -> Option<BatchedStart> {
    let Order::Start { run, task, run_number, checkpoint, ticket, lease_until_ms, .. } = &order.order else {
        return None;
    };
    Some(BatchedStart {
        run: *run,
        host_name: order.host_name.clone(),
        address: order.address.as_str().into(),
        fence: order.fence,
        task_index: task.index,
        run_number: *run_number,
        lease_until_ms: *lease_until_ms,
        checkpoint: Arc::clone(checkpoint),
        ticket: ticket.clone(),
    })
}
