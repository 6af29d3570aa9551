//! Start orders that this daemon sends to hosts for the holder.
//!
//! It sends what it is given, unchanged, and returns the answers. It sends nothing whose time has passed, and nothing
//! under another claim than the one that it knows as in force.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_world::keys::{HostKey, RunKey};
use cassiahoist_world::orders::{HostOrder, Order, OrderCompletion, OrderOutcome};
use cassiahoist_world::peer::{PeerMessage, PeerSender};
use cassiahoist_world::prelude::*;
use cassiahoist_world::start_relay::{
    BatchedStart, HandledStart, RelayedAnswer, RelayedAnswers, RelayedOutcome, StartBatch,
};

/// Interval between returns of answers, in milliseconds.
const RETURN_INTERVAL_MS: u64 = 12;

/// Time for which an order is remembered after its last possible deadline, in milliseconds.
///
/// By then a copy of its batch is out of date, and its host has answered or never will.
const REMEMBERED_MS: u64 = 5_000;

/// Most time that a batch may leave for its orders, in milliseconds; a later deadline counts as this one.
const MAX_TIMEOUT_MS: u64 = 5_000;

/// Interval between removals of old rows, in milliseconds.
const REMOVAL_INTERVAL_MS: u64 = 1_000;

/// Takes the answers to orders that this daemon sent for the holder.
pub fn take_handled_answers(world: &mut World, _now_ms: u64) {
    if world.handled_starts.rows.is_empty() {
        return;
    }
    let rows = &world.handled_starts.rows;
    let is_handled = |completion: &mut OrderCompletion| {
        start_run(&completion.order).is_some_and(|run| rows.contains_key(&(completion.order.fence, run)))
    };
    let completions: Vec<OrderCompletion> = world.inbox.order_results.extract_if(.., is_handled).collect();
    for completion in completions {
        let (fence, Some(run)) = (completion.order.fence, start_run(&completion.order)) else { continue };
        let outcome = match completion.outcome {
            OrderOutcome::Done { .. } => RelayedOutcome::Started,
            OrderOutcome::Refused(reason) => RelayedOutcome::Refused(reason),
            OrderOutcome::NotSent(_) => RelayedOutcome::NotSent,
            OrderOutcome::Unknown => RelayedOutcome::Unknown,
        };
        let answer = RelayedAnswer { run, outcome, host_clock_ms: completion.host_clock_ms };
        let Some(row) = world.handled_starts.rows.get(&(fence, run)) else { continue };
        let returned_to = (row.claim, row.reply_to.clone());
        world.handled_starts.unreturned.entry(returned_to).or_default().push(answer);
    }
}

/// Returns the run of a start order; `None` for another order.
fn start_run(order: &HostOrder) -> Option<RunKey> {
    match order.order {
        Order::Start { run, .. } => Some(run),
        Order::Stop { .. } | Order::Poll { .. } | Order::SetPace { .. } => None,
    }
}

/// Sends the start orders that the holder hands over.
pub fn relay_starts(world: &mut World, now_ms: u64) {
    let is_for_relay = |message: &PeerMessage| {
        matches!(message, PeerMessage::StartRelayRequest { .. } | PeerMessage::StartBatch(_))
    };
    for (sender, message) in world.inbox.take_peer_messages(is_for_relay) {
        match message {
            PeerMessage::StartRelayRequest { fence } if may_relay(world, &sender, fence) => {
                world.handled_starts.unreturned.entry((fence, sender.address)).or_default();
            }
            PeerMessage::StartBatch(batch) => relay_batch(world, &sender, &batch, now_ms),
            _ => {}
        }
    }
}

/// Returns whether a daemon is the holder under a claim that this one knows as in force.
fn may_relay(world: &World, sender: &PeerSender, claim_fence: Fence) -> bool {
    let claim = world.holding.claim.as_ref();
    claim.is_some_and(|(claim, revision)| *revision == claim_fence.0 && claim.holder == sender.incarnation)
        && claim_fence >= world.holding.greatest_fence
        && !world.local.is_stopping()
}

/// What to do with a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BatchDecision {
    /// It is for another incarnation, whose clock its deadline refers to.
    Ignore,
    /// Its orders are returned as declined.
    Return,
    /// Its orders are sent.
    Send {
        /// Time that each order has, in milliseconds.
        timeout_ms: u64,
    },
}

fn decide_batch(world: &World, sender: &PeerSender, batch: &StartBatch, now_ms: u64) -> BatchDecision {
    if batch.relay != world.local.incarnation {
        return BatchDecision::Ignore;
    }
    match batch.deadline_ms.checked_sub(now_ms) {
        Some(timeout_ms) if timeout_ms > 0 && may_relay(world, sender, batch.claim) => {
            BatchDecision::Send { timeout_ms: timeout_ms.min(MAX_TIMEOUT_MS) }
        }
        _ => BatchDecision::Return,
    }
}

fn relay_batch(world: &mut World, sender: &PeerSender, batch: &StartBatch, now_ms: u64) {
    let decision = decide_batch(world, sender, batch, now_ms);
    if decision == BatchDecision::Ignore {
        return;
    }
    for start in &batch.starts {
        let row_key = (start.fence, start.run);
        // A delivery that was not acknowledged is sent again.
        if world.handled_starts.rows.contains_key(&row_key) {
            continue;
        }
        let remove_at_ms = now_ms + MAX_TIMEOUT_MS + REMEMBERED_MS;
        let row = HandledStart { claim: batch.claim, reply_to: sender.address.clone(), remove_at_ms };
        world.handled_starts.rows.insert(row_key, row);
        match decision {
            BatchDecision::Send { timeout_ms } => {
                let order = Box::new(host_order(batch, start, timeout_ms));
                world.emit(Effect::SendOrder { order, issued_at_ms: now_ms });
            }
            BatchDecision::Return | BatchDecision::Ignore => {
                let (run, outcome) = (start.run, RelayedOutcome::Declined);
                let answer = RelayedAnswer { run, outcome, host_clock_ms: None };
                let unreturned = &mut world.handled_starts.unreturned;
                unreturned.entry((batch.claim, sender.address.clone())).or_default().push(answer);
            }
        }
    }
}

/// Returns an order as the holder itself would send it.
fn host_order(batch: &StartBatch, start: &BatchedStart, timeout_ms: u64) -> HostOrder {
    HostOrder {
        // The host's row is at the holder only.
        host: HostKey::default(),
        host_name: start.host_name.clone(),
        address: start.address.to_string(),
        fence: start.fence,
        order: Order::Start {
            run: start.run,
            task: TaskName { step: batch.step, index: start.task_index },
            run_number: start.run_number,
            argument: Arc::clone(&batch.argument),
            checkpoint: Arc::clone(&start.checkpoint),
            ticket: start.ticket.clone(),
            lease_until_ms: start.lease_until_ms,
        },
        timeout_ms,
    }
}

/// Returns answers to the holder, several at a time.
pub fn return_handled_answers(world: &mut World, now_ms: u64) {
    remove_old_rows(world, now_ms);
    if world.handled_starts.unreturned.is_empty() {
        return;
    }
    if now_ms < world.handled_starts.next_return_at_ms {
        return world.wake_by(world.handled_starts.next_return_at_ms);
    }
    world.handled_starts.next_return_at_ms = now_ms + RETURN_INTERVAL_MS;
    for ((claim, address), answers) in std::mem::take(&mut world.handled_starts.unreturned) {
        let message = PeerMessage::RelayedAnswers(RelayedAnswers { claim, clock_ms: now_ms, answers });
        world.emit(Effect::SendPeerMessage { address, message });
    }
}

fn remove_old_rows(world: &mut World, now_ms: u64) {
    let handled = &mut world.handled_starts;
    if !handled.rows.is_empty() && now_ms >= handled.next_removal_at_ms {
        handled.next_removal_at_ms = now_ms + REMOVAL_INTERVAL_MS;
        handled.rows.retain(|_, row| now_ms < row.remove_at_ms);
    }
}
