//! Answers of hosts to orders: starts, stops and polls.

use cassiahoist_core::prelude::*;
use cassiahoist_membership::{StepDownCause, step_down};
use cassiahoist_world::earlier_clock::EarlierClockOrders;
use cassiahoist_world::holding::ClaimRelease;
use cassiahoist_world::hosts::HostKey;
use cassiahoist_world::orders::{Order, OrderCompletion, OrderOutcome, RefusalReason};
use cassiahoist_world::prelude::*;
use cassiahoist_world::runs::{RunKey, RunState, StopReason};
use cassiahoist_world::unsent::UnsentCause;

use crate::crashes::{record_loss, suspect_new_runs, withdraw_crash, withdraw_crashes};
use crate::health::record_failure;
use crate::host_lists::apply_host_lists;
use crate::lease_expiry::{remove_replaced_host, reset_restarted_host};
use crate::lifecycle::{drop_run, mark_task_begun, requeue_placed_task, stop_run};
use crate::outcome::break_gang;
use crate::pace::apply_pace_answer;
use crate::poll::{has_short_pauses, schedule_poll};
use crate::start_relays::{take_relayed_answers, take_unreturned_starts};
use crate::unsent_starts::{UnsentStartDecision, decide_unsent_start, keep_unsent_start};

/// Timeout of a poll outside the regular schedule, in milliseconds.
const IMMEDIATE_POLL_TIMEOUT_MS: u64 = 350;

/// Delay before a stop order that failed is sent again, in milliseconds.
const STOP_RETRY_MS: u64 = 50;

/// Largest step back of a host's clock without a restart, in milliseconds.
const CLOCK_TOLERANCE_MS: u64 = 1_000;

/// Delay before a task is placed again after its start was refused, in milliseconds.
const REFUSED_RETRY_MS: u64 = 20;

/// Delay before an order is issued again that this daemon could not send, in milliseconds.
const UNSENT_RETRY_MS: u64 = 100;

/// Daemon that sent an order to its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderSender {
    /// This daemon.
    Holder,
    /// A peer that relays start orders.
    Relay,
}

/// Whether further answers are applied after one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextAnswer {
    /// They are.
    Apply,
    /// They are not, since this daemon no longer holds the slice.
    Drop,
}

/// Applies the answers of hosts to orders.
pub fn apply_order_answers(world: &mut World, now_ms: u64) {
    for completion in std::mem::take(&mut world.inbox.order_results) {
        // Row keys in orders issued before the current tables were loaded are meaningless.
        if completion.order.fence < world.holding.tables_fence || !world.holding.loading.jobs_loaded {
            continue;
        }
        if apply_completion(world, completion, OrderSender::Holder, now_ms) == NextAnswer::Drop {
            return;
        }
    }
    let mut relayed = take_relayed_answers(world, now_ms);
    relayed.append(&mut take_unreturned_starts(world, now_ms));
    for completion in relayed {
        if apply_completion(world, completion, OrderSender::Relay, now_ms) == NextAnswer::Drop {
            return;
        }
    }
}

fn apply_completion(
    world: &mut World,
    completion: OrderCompletion,
    sender: OrderSender,
    now_ms: u64,
) -> NextAnswer {
    if let Order::Start { .. } = completion.order.order {
        world.runs.start_window.count_answered();
    }
    if completion.outcome == OrderOutcome::Refused(RefusalReason::OtherLife) {
        apply_refusal_of_other_host(world, completion, now_ms);
        return NextAnswer::Apply;
    }
    if is_from_earlier_incarnation(world, &completion) {
        apply_answer_of_earlier_incarnation(world, completion, now_ms);
        return NextAnswer::Apply;
    }
    if completion.outcome == OrderOutcome::Unknown {
        world.shut_out_earlier_orders(completion.order.host);
    }
    detect_host_restart(world, &completion, now_ms);
    match sender {
        OrderSender::Holder => update_reachability(world, &completion, now_ms),
        OrderSender::Relay => record_relayed_answer(world, &completion),
    }
    if matches!(completion.outcome, OrderOutcome::Done { .. }) {
        note_executed_order(world, completion.order.host, completion.order.fence, now_ms);
    }
    // A host also refuses an order from before an earlier claim of this daemon, or from before its own restart.
    let present_fence = world.order_fence(completion.order.host);
    let order_outdated = present_fence.is_some_and(|fence| completion.order.fence < fence);
    if completion.outcome == OrderOutcome::Refused(RefusalReason::Fence) && !order_outdated {
        let superseding_fence = Fence(completion.order.fence.0 + 1);
        let claim_fence = world.holding.fence();
        step_down(world, StepDownCause::Succeeded { by: superseding_fence }, now_ms);
        // If the store still has this claim, it would keep all daemons from claiming.
        if let Some(fence) = claim_fence {
            world.holding.claim_release = ClaimRelease::Retry { fence, at_ms: now_ms };
        }
        return NextAnswer::Drop;
    }
    apply_answer(world, completion, now_ms);
    NextAnswer::Apply
}

/// Returns whether an answer comes from an incarnation of the host that has ended.
///
/// It may arrive after the holder has learned of the restart. Its clock goes on from that of the earlier incarnation.
fn is_from_earlier_incarnation(world: &World, completion: &OrderCompletion) -> bool {
    let Some(clock_ms) = completion.host_clock_ms else { return false };
    let restart = world.hosts.get(completion.order.host).and_then(|host| host.last_restart);
    restart.is_some_and(|restart| {
        let earlier_clock_ms = restart
            .earlier_clock_offset_ms
            .map(|offset_ms| completion.completed_at_ms.saturating_add_signed(offset_ms));
        completion.issued_at_ms < restart.noticed_at_ms
            && earlier_clock_ms.is_some_and(|earlier_ms| clock_ms.abs_diff(earlier_ms) <= CLOCK_TOLERANCE_MS)
    })
}

/// Applies an answer that says nothing about the present incarnation of the host.
///
/// The order may still take effect there, as an unanswered one.
fn apply_answer_of_earlier_incarnation(world: &mut World, completion: OrderCompletion, now_ms: u64) {
    if !matches!(completion.order.order, Order::Poll { .. }) {
        let outcome = OrderOutcome::Unknown;
        apply_answer(world, OrderCompletion { host_clock_ms: None, outcome, ..completion }, now_ms);
    }
}

/// Removes a host whose address now belongs to the one that refused the order.
///
/// If the host has moved to another address since the order was issued, only the order is void.
fn apply_refusal_of_other_host(world: &mut World, completion: OrderCompletion, now_ms: u64) {
    let key = completion.order.host;
    let has_moved = world.hosts.get(key).is_some_and(|host| host.entry.address != completion.order.address);
    if has_moved {
        apply_answer(world, completion, now_ms);
    } else {
        remove_replaced_host(world, key, "another host answers at its address", now_ms);
    }
}

fn apply_answer(world: &mut World, completion: OrderCompletion, now_ms: u64) {
    match completion.order.order {
        Order::Start { run, .. } => apply_start_answer(world, run, &completion, now_ms),
        Order::Stop { run: Some(run), .. } => apply_stop_answer(world, run, &completion.outcome, now_ms),
        Order::SetPace { run, percent, .. } => {
            apply_pace_answer(world, run, percent, &completion, now_ms);
        }
        Order::Stop { run: None, .. } => {}
        Order::Poll { lease_until_ms, wait_ms, .. } => {
            let host = completion.order.host;
            let may_be_extra = lease_until_ms.is_none() && wait_ms == 0;
            let unsent_locally = completion.outcome.is_local_failure();
            if let OrderOutcome::Done { lists: Some(lists) } = completion.outcome
                && accept_lists_in_order(world, host, completion.host_clock_ms)
            {
                if let Some(host) = world.hosts.get_mut(host) {
                    host.lists_received_at_ms = completion.completed_at_ms;
                }
                apply_host_lists(world, host, &lists, completion.issued_at_ms, now_ms);
            }
            let has_short_pauses = has_short_pauses(world);
            let Some(host) = world.hosts.get_mut(host) else { return };
            if may_be_extra && host.open_extra_polls > 0 {
                host.open_extra_polls -= 1;
            } else {
                schedule_poll(host, completion.host_clock_ms.is_some(), has_short_pauses, now_ms);
                if unsent_locally {
                    host.poll.next_ms = now_ms + UNSENT_RETRY_MS;
                }
            }
        }
    }
}

/// Records the time of a host's lists, and returns whether no later ones were applied before.
///
/// Answers on different connections overtake each other, and older lists miss runs that started since.
fn accept_lists_in_order(world: &mut World, host: HostKey, host_clock_ms: Option<u64>) -> bool {
    let Some(host) = world.hosts.get_mut(host) else { return false };
    let Some(clock_ms) = host_clock_ms else { return true };
    let is_latest = clock_ms >= host.lists_clock_ms;
    host.lists_clock_ms = host.lists_clock_ms.max(clock_ms);
    is_latest
}

/// Detects a restart of the host, seen as its clock going back.
fn detect_host_restart(world: &mut World, completion: &OrderCompletion, now_ms: u64) {
    let Some(host_clock_ms) = completion.host_clock_ms else { return };
    let key = completion.order.host;
    let Some(host) = world.hosts.get(key) else { return };
    if !host.clock_known || host_clock_ms + CLOCK_TOLERANCE_MS >= host.clock_ms(completion.issued_at_ms) {
        return;
    }
    let log_record = LogRecord::new(EventId::HostRestarted).with("host", &host.entry.name);
    world.log(log_record.with("clock_ms", host_clock_ms));
    reset_restarted_host(world, key, "its clock went back", now_ms);
    if let Some(host) = world.hosts.get_mut(key) {
        host.start_unknown = true;
    }
}

fn update_reachability(world: &mut World, completion: &OrderCompletion, now_ms: u64) {
    let is_unanswered = matches!(completion.outcome, OrderOutcome::NotSent(_) | OrderOutcome::Unknown);
    if is_unanswered && completion.issued_at_ms < world.holding.resumed_at_ms {
        // Its time passed while this process was suspended.
        return;
    }
    if completion.outcome == OrderOutcome::Unknown {
        world.runs.last_unanswered_at_ms = Some(now_ms);
    }
    if completion.outcome.is_local_failure() {
        world.counters.orders_unsent += 1;
        return;
    }
    let Some(host) = world.hosts.get_mut(completion.order.host) else { return };
    let name = host.entry.name.clone();
    if let Some(host_clock_ms) = completion.host_clock_ms {
        host.clock_offset_ms = host_clock_ms.cast_signed() - completion.completed_at_ms.cast_signed();
        host.clock_known = true;
        host.last_answer_at_ms = now_ms;
    }
    if matches!(completion.outcome, OrderOutcome::Done { .. }) {
        host.fence_confirmed_at_ms = host.fence_confirmed_at_ms.max(completion.issued_at_ms);
    }
    match completion.outcome {
        OrderOutcome::Done { .. } | OrderOutcome::Refused(_) => {
            if let Some(since_ms) = host.unresponsive_since_ms.take() {
                let log_record = LogRecord::new(EventId::HostResponsive).with("host", name);
                let log_record = log_record.with("silent_ms", now_ms - since_ms);
                world.log(log_record.with("order", completion.order.order.name()));
                withdraw_crashes(world, completion.order.host);
            }
        }
        OrderOutcome::NotSent(_) | OrderOutcome::Unknown => {
            // An answer received after this order was sent shows that the host is reachable.
            if host.unresponsive_since_ms.is_none() && host.last_answer_at_ms < completion.issued_at_ms {
                host.unresponsive_since_ms = Some(now_ms);
                let log_record = LogRecord::new(EventId::HostUnresponsive)
                    .with("host", name)
                    .with("order", completion.order.order.name())
                    .with("waited_ms", completion.completed_at_ms.saturating_sub(completion.issued_at_ms))
                    .with("queued_ms", now_ms.saturating_sub(completion.completed_at_ms))
                    .with("answered_ms_ago", now_ms.saturating_sub(host.last_answer_at_ms))
                    .with("lease_left_ms", host.lease_end_ms.saturating_sub(now_ms))
                    .with("runs", host.runs.len());
                world.log(match completion.outcome {
                    OrderOutcome::NotSent(cause) => {
                        log_record.with("outcome", "NotSent").with("cause", format!("{cause:?}"))
                    }
                    _ => log_record.with("outcome", "Unknown"),
                });
                record_loss(world, completion.order.host, now_ms);
            }
            note_refused_connection(world, completion, now_ms);
        }
    }
}

/// Notes that a host has executed an order under a fencing token.
///
/// Orders on the clock of an earlier incarnation may have extended its run lease before that, and can't do so any more.
fn note_executed_order(world: &mut World, key: HostKey, fence: Fence, now_ms: u64) {
    let longest_lease_ms = world.local.longest_run_lease_ms();
    let Some(host) = world.hosts.get_mut(key) else { return };
    let earlier_orders = host.earlier_clock_orders;
    let are_shut_out = earlier_orders.are_shut_out_by(fence);
    if are_shut_out {
        host.earlier_clock_orders = EarlierClockOrders::ShutOut;
    }
    if are_shut_out || earlier_orders.are_from_before_restart() {
        host.lease_end_ms = host.lease_end_ms.max(now_ms + longest_lease_ms);
    }
}

/// Records that an unresponsive host refuses connections. Its process has probably ended, and its new runs are suspects.
fn note_refused_connection(world: &mut World, completion: &OrderCompletion, now_ms: u64) {
    let key = completion.order.host;
    let Some(host) = world.hosts.get_mut(key).filter(|host| host.unresponsive_since_ms.is_some()) else {
        return;
    };
    if completion.outcome == OrderOutcome::NotSent(UnsentCause::ConnectFailed) && !host.refuses_connections {
        host.refuses_connections = true;
        suspect_new_runs(world, key, now_ms);
    }
}

/// Records that a host answered a relay, or that a relay did not send an order.
///
/// Silence of the host towards its relay says nothing about the path from this daemon, nor does the time of the answer.
fn record_relayed_answer(world: &mut World, completion: &OrderCompletion) {
    if completion.outcome.is_local_failure() {
        world.counters.orders_unsent += 1;
    }
    if completion.host_clock_ms.is_some()
        && let Some(host) = world.hosts.get_mut(completion.order.host)
    {
        host.last_answer_at_ms = host.last_answer_at_ms.max(completion.issued_at_ms);
    }
}

fn apply_start_answer(world: &mut World, key: RunKey, completion: &OrderCompletion, now_ms: u64) {
    let (outcome, host_clock_ms) = (&completion.outcome, completion.host_clock_ms);
    let waited_ms = completion.completed_at_ms.saturating_sub(completion.issued_at_ms);
    let Some(run) = world.runs.rows.get_mut(key) else { return };
    run.order_in_flight = false;
    let (host, task, run_number) = (run.host, run.task, run.run_number);
    match outcome {
        OrderOutcome::Done { .. } => {
            if run.state == RunState::Starting {
                run.confirm_start(now_ms);
            }
            run.confirmed_at_ms = now_ms;
            let clock_ms = host_clock_ms.unwrap_or_default();
            run.progress_clock_ms = run.progress_clock_ms.max(clock_ms);
            if run.start_clock_ms == 0 {
                run.start_clock_ms = clock_ms;
            }
            mark_task_begun(world, task);
        }
        OrderOutcome::Unknown => {
            run.start_unanswered_at_ms = (!run.listed_by_host).then_some(completion.completed_at_ms);
            stop_run(world, key, StopReason::Unanswered, now_ms);
        }
        OrderOutcome::NotSent(cause) => {
            let decision =
                world.runs.rows.get(key).map(|run| decide_unsent_start(world, run, *cause, now_ms));
            if let Some(UnsentStartDecision::IssueAt(issue_at_ms)) = decision {
                return keep_unsent_start(world, &completion.order, *cause, issue_at_ms, now_ms);
            }
            undo_start(world, key, UnstartedCause::NotSent(*cause), waited_ms, now_ms);
        }
        OrderOutcome::Refused(reason) => {
            match reason {
                RefusalReason::Late => {
                    if let Some(host) = world.hosts.get_mut(host) {
                        host.poll.next_ms = now_ms;
                    }
                }
                RefusalReason::Unwell => record_failure(world, host, task, now_ms),
                RefusalReason::Ticket => expire_ticket(world, key),
                _ => {}
            }
            undo_start(world, key, UnstartedCause::Refused(*reason), waited_ms, now_ms);
        }
    }
    if !matches!(outcome, OrderOutcome::Done { .. }) {
        break_gang(world, task, run_number, now_ms);
    }
}

fn expire_ticket(world: &mut World, key: RunKey) {
    let Some(run) = world.runs.rows.get(key) else { return };
    let Some(task) = world.jobs.tasks.get(run.task) else { return };
    if let Some(step) = world.jobs.steps.get_mut(task.step)
        && let Some(ticket) = step.advice.approved_hosts.get_mut(&run.host)
    {
        ticket.expires_at_ms = 0;
    }
}

/// Why a run never began.
#[derive(Clone, Copy, Debug)]
enum UnstartedCause {
    /// The host refused the start order.
    Refused(RefusalReason),
    /// The start order was never sent.
    NotSent(UnsentCause),
}

/// Removes a run that never began and requeues its task.
fn undo_start(world: &mut World, key: RunKey, cause: UnstartedCause, waited_ms: u64, now_ms: u64) {
    let Some(run) = drop_run(world, key) else { return };
    let host = world.hosts.get(run.host).map(|host| host.entry.name.to_string()).unwrap_or_default();
    let log_record = LogRecord::new(EventId::StartRefused).with("task", run.name).with("run", run.run_number);
    let log_record = log_record.with("host", host).with("waited_ms", waited_ms);
    let (log_record, retry_ms) = match cause {
        UnstartedCause::Refused(reason) => {
            world.counters.starts_refused += 1;
            (log_record.with("reason", format!("{:?}", Some(reason))), REFUSED_RETRY_MS)
        }
        UnstartedCause::NotSent(cause) => {
            world.counters.starts_unsent += 1;
            let retry_ms = if cause.is_local() { UNSENT_RETRY_MS } else { REFUSED_RETRY_MS };
            (log_record.with("reason", "None").with("cause", format!("{cause:?}")), retry_ms)
        }
    };
    world.log(log_record);
    // A host that was lost meanwhile was lost without it.
    withdraw_crash(world, run.task, run.run_number);
    let delay_ms = if run.stop_reason.is_none() { retry_ms } else { 0 };
    requeue_placed_task(world, key, run.task, delay_ms, now_ms);
}

fn apply_stop_answer(world: &mut World, key: RunKey, outcome: &OrderOutcome, now_ms: u64) {
    let Some(run) = world.runs.rows.get_mut(key) else { return };
    run.order_in_flight = false;
    match outcome {
        // A run that was stopped before is refused as old, and may still be stopping.
        OrderOutcome::Done { .. } | OrderOutcome::Refused(RefusalReason::Old) => {
            // The next poll shows whether the run still exists.
            run.state = RunState::Settled;
            run.confirmed_at_ms = now_ms;
            let host = run.host;
            poll_immediately(world, host, now_ms);
        }
        OrderOutcome::Refused(_) | OrderOutcome::NotSent(_) | OrderOutcome::Unknown => {
            run.next_stop_at_ms = now_ms + STOP_RETRY_MS;
        }
    }
}

/// Polls a host outside the regular schedule. Does nothing if this daemon has no claim.
///
/// The open poll may wait much longer.
pub(crate) fn poll_immediately(world: &mut World, key: HostKey, now_ms: u64) {
    if world.holding.fence().is_none() {
        return;
    }
    let Some(host) = world.hosts.get_mut(key) else { return };
    host.open_extra_polls += 1;
    let last_end_recorded = host.droppable_end();
    let order = Order::Poll { lease_until_ms: None, last_end_recorded, wait_ms: 0 };
    world.counters.polls += 1;
    let timeout_ms = IMMEDIATE_POLL_TIMEOUT_MS + world.holding.answer_times.latency_allowance_ms();
    world.send_order(key, order, timeout_ms, now_ms);
}
