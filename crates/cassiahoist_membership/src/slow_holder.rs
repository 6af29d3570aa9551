//! Detection of a slow holder, which then transfers the slice to another daemon.
//!
//! With too little processor time or link bandwidth on the holder's machine, even the quickest host seems slow.

use cassiahoist_core::prelude::*;
use cassiahoist_world::holding::AnswerTimeWindow;
use cassiahoist_world::orders::{Order, OrderCompletion, OrderOutcome};
use cassiahoist_world::prelude::*;
use cassiahoist_world::start_window::StartWindow;

/// Length of a measuring window, in milliseconds.
///
/// Only the quickest answer in a window counts, since some hosts are always slow.
const WINDOW_MS: u64 = 200;

/// Fewest answers in a window for it to be judged. A window with fewer ends the series of slow ones.
const MIN_WINDOW_ANSWERS: u32 = 5;

/// Time from which an answer counts as slow, in milliseconds. Within a cell a few milliseconds are normal.
const SLOW_ANSWER_MS: u64 = 100;

/// Consecutive slow windows after which the holder transfers the slice.
const MAX_SLOW_WINDOWS: u32 = 2;

/// Time after a claim during which no window counts as slow, in milliseconds.
///
/// The adoption explains slow answers then. Timeouts and the limit of open starts follow them all the same.
const ADOPTION_GRACE_MS: u64 = 3_000;

/// Tenure of the predecessor up to which a slow holder keeps the slice longer, in milliseconds.
///
/// If the slice went round a short time ago, the work makes holders slow, and another change would only add to it.
const SHORT_TENURE_MS: u64 = 15_000;

/// How long a slow holder delays its later claims, in milliseconds. Other daemons claim first then.
const CLAIM_DELAY_PERIOD_MS: u64 = 15_000;

/// Detects from the hosts' answer times that this daemon is too slow a holder.
///
/// A daemon without live peers keeps the slice, however slow it is.
pub fn detect_slow_holder(world: &mut World, now_ms: u64) {
    let tenure_ms = world.holding.claim_won_at_ms().map_or(0, |since_ms| now_ms.saturating_sub(since_ms));
    if !world.holding.is_holding() {
        world.holding.answer_times = AnswerTimeWindow::default();
        return;
    }
    let window = &mut world.holding.answer_times;
    for answer_time_ms in
        world.inbox.order_results.iter().filter_map(|completion| answer_time_ms(completion, now_ms))
    {
        window.min_latency_ms =
            if window.answer_count == 0 { answer_time_ms } else { window.min_latency_ms.min(answer_time_ms) };
        window.answer_count += 1;
    }
    if now_ms >= window.window_end_ms {
        let link_mbps = world.local.limits.link_mbps;
        let has_best_link = world.members.iter().all(|member| member.limits.link_mbps <= link_mbps);
        world.runs.start_budget.measure_use(link_mbps, now_ms);
        let starts_fill_link = world.runs.start_budget.is_heavily_used();
        let cause = if tenure_ms < ADOPTION_GRACE_MS {
            SlownessCause::Adoption
        } else if has_best_link && starts_fill_link {
            SlownessCause::Work
        } else {
            SlownessCause::Machine
        };
        close_window(window, &mut world.runs.start_window, cause, now_ms);
    }
    let was_taken_over_recently = tenure_ms < SHORT_TENURE_MS
        && world.holding.predecessor_tenure_ms.is_some_and(|tenure_ms| tenure_ms < SHORT_TENURE_MS);
    let alone = world.members.peer_addresses(&world.local.incarnation.member).next().is_none();
    if world.holding.answer_times.slow_windows >= MAX_SLOW_WINDOWS
        && !alone
        && !was_taken_over_recently
        && world.holding.releasing_since_ms.is_none()
    {
        let min_latency_ms = world.holding.answer_times.min_latency_ms;
        let log_record = LogRecord::new(EventId::HolderSlow).with("quickest_answer_ms", min_latency_ms);
        let log_record = log_record.with("tenure_ms", tenure_ms);
        world.log(log_record.with("start_limit", world.runs.start_window.limit()));
        world.holding.releasing_since_ms = Some(now_ms);
        world.holding.yield_until_ms = now_ms + CLAIM_DELAY_PERIOD_MS;
    }
}

/// Returns an order's answer time, in milliseconds. It is `None` without an answer and for a long poll.
fn answer_time_ms(completion: &OrderCompletion, now_ms: u64) -> Option<u64> {
    let long_poll = matches!(completion.order.order, Order::Poll { wait_ms, .. } if wait_ms > 0);
    let answered_by_host = matches!(completion.outcome, OrderOutcome::Done { .. } | OrderOutcome::Refused(_));
    (answered_by_host && !long_poll).then(|| now_ms.saturating_sub(completion.issued_at_ms))
}

/// What makes answers slow, if they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlownessCause {
    /// The holder reads records and lists of hosts.
    Adoption,
    /// Start orders take up the link, and no other daemon has a better one.
    Work,
    /// The machine gives this daemon less than its settings say.
    Machine,
}

/// Judges a window: adapts the number of open start orders, and counts consecutive slow windows.
///
/// A window is slow only once fewer open starts can't help and the work is not the cause, since another daemon would do
/// no better with the same work.
fn close_window(
    window: &mut AnswerTimeWindow,
    start_window: &mut StartWindow,
    cause: SlownessCause,
    now_ms: u64,
) {
    let is_judged = window.answer_count >= MIN_WINDOW_ANSWERS;
    let slow = is_judged
        && window.min_latency_ms >= SLOW_ANSWER_MS
        && start_window.is_at_minimum()
        && cause == SlownessCause::Machine;
    if is_judged && window.is_congested() {
        start_window.shrink();
    } else if is_judged {
        start_window.grow();
    }
    let slow_windows = if slow { window.slow_windows + 1 } else { 0 };
    let min_latency_ms = window.min_latency_ms;
    *window =
        AnswerTimeWindow { window_end_ms: now_ms + WINDOW_MS, answer_count: 0, min_latency_ms, slow_windows };
}
