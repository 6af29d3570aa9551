//! Detection of a slow holder, which then transfers the slice to another daemon.
//!
//! With too little processor time or link bandwidth on the holder's machine, even the quickest host seems slow. Without a
//! path to the hosts, all of them seem silent.

use cassiahoist_core::prelude::*;
use cassiahoist_world::holding::AnswerTimeWindow;
use cassiahoist_world::orders::{Order, OrderCompletion, OrderOutcome};
use cassiahoist_world::prelude::*;
use cassiahoist_world::start_window::StartWindow;
use cassiahoist_world::unsent::UnsentCause;

/// Length of a measuring window, in milliseconds.
///
/// Only the quickest answer in a window counts, since some hosts are always slow.
const WINDOW_MS: u64 = 200;

/// Greatest length of a measuring window, in milliseconds.
///
/// A window with too few answers goes on until it has enough, since a very slow holder gets few.
const MAX_WINDOW_MS: u64 = 1_000;

/// Fewest answers in a window for it to be judged. A window with fewer ends the series of slow ones.
const MIN_WINDOW_ANSWERS: u32 = 5;

/// Time from which an answer counts as slow, in milliseconds. Within a cell a few milliseconds are normal.
const SLOW_ANSWER_MS: u64 = 100;

/// Time of consecutive slow windows after which the holder transfers the slice, in milliseconds.
const MAX_SLOW_MS: u64 = 2 * WINDOW_MS;

/// As [`MAX_SLOW_MS`], if all other daemons have much weaker machines, in milliseconds.
///
/// They would serve better only in place of a machine that is slow for long.
const MAX_SLOW_BESIDE_WEAKER_MS: u64 = 5_000;

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

/// Detects from the hosts' answers that this daemon is too slow a holder, or can't reach the hosts.
///
/// A daemon without live peers keeps the slice, however slow it is.
pub fn detect_slow_holder(world: &mut World, now_ms: u64) {
    if !world.holding.is_holding() {
        world.holding.answer_times = AnswerTimeWindow::default();
        return;
    }
    count_answers(world, now_ms);
    let WindowEnd::Close { is_judged } = decide_window_end(&world.holding.answer_times, now_ms) else {
        return;
    };
    let cause = find_slowness_cause(world, now_ms);
    close_window(&mut world.holding.answer_times, &mut world.runs.start_window, is_judged, cause, now_ms);
    let slow_since_ms = world.holding.answer_times.slow_since_ms;
    let is_slow = slow_since_ms.is_some_and(|since_ms| now_ms >= since_ms + max_slow_ms(world));
    let is_cut_off = !is_judged && cause == SlownessCause::Machine && world.hosts.are_all_silent(now_ms);
    if (is_slow || is_cut_off) && can_release(world, now_ms) {
        let log_record = LogRecord::new(EventId::HolderSlow)
            .with("quickest_answer_ms", world.holding.answer_times.min_latency_ms)
            .with("cause", if is_cut_off { "no host answers" } else { "slow answers" })
            .with("tenure_ms", tenure_ms(world, now_ms))
            .with("start_limit", world.runs.start_window.limit());
        world.log(log_record);
        world.holding.releasing_since_ms = Some(now_ms);
        world.holding.yield_until_ms = now_ms + CLAIM_DELAY_PERIOD_MS;
    }
}

/// Returns whether another daemon may take over, and the slice did not go round a short time ago.
fn can_release(world: &World, now_ms: u64) -> bool {
    let tenure_ms = tenure_ms(world, now_ms);
    let was_taken_over_recently = tenure_ms < SHORT_TENURE_MS
        && world.holding.predecessor_tenure_ms.is_some_and(|tenure_ms| tenure_ms < SHORT_TENURE_MS);
    let alone = world.members.peer_addresses(&world.local.incarnation.member).next().is_none();
    !alone && !was_taken_over_recently && world.holding.releasing_since_ms.is_none()
}

/// Returns how long this daemon has held the slice, in milliseconds.
fn tenure_ms(world: &World, now_ms: u64) -> u64 {
    world.holding.claim_won_at_ms().map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
}

/// Returns for how long answers must be slow before this daemon releases the slice, in milliseconds.
fn max_slow_ms(world: &World) -> u64 {
    let own = &world.local;
    let mut others =
        world.members.iter().filter(|member| member.incarnation.member != own.incarnation.member);
    if others.all(|other| own.limits.is_much_stronger_than(other.limits)) {
        MAX_SLOW_BESIDE_WEAKER_MS
    } else {
        MAX_SLOW_MS
    }
}

/// Adds the answers of this tick to the present window.
fn count_answers(world: &mut World, now_ms: u64) {
    let window = &mut world.holding.answer_times;
    for completion in &world.inbox.order_results {
        match measure_answer(completion, now_ms) {
            Measure::Latency(latency_ms) => {
                window.min_latency_ms =
                    if window.answer_count == 0 { latency_ms } else { window.min_latency_ms.min(latency_ms) };
                window.answer_count += 1;
            }
            Measure::PollDelay(delay_ms) => {
                let min_delay_ms = window.min_poll_delay_ms.unwrap_or(delay_ms);
                window.min_poll_delay_ms = Some(min_delay_ms.min(delay_ms));
            }
            Measure::Nothing => {}
        }
    }
}

/// What the completion of an order tells about the holder's latency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Measure {
    /// Time from an order to its answer, or to its expiry in this daemon's own queues, in milliseconds.
    Latency(u64),
    /// Time of an answer to a long poll beyond the poll's wait, in milliseconds.
    ///
    /// It may be shorter than the latency, since the host answers earlier if a run ends.
    PollDelay(u64),
    /// The host did not answer.
    Nothing,
}

fn measure_answer(completion: &OrderCompletion, now_ms: u64) -> Measure {
    let elapsed_ms = now_ms.saturating_sub(completion.issued_at_ms);
    let wait_ms = if let Order::Poll { wait_ms, .. } = completion.order.order { wait_ms } else { 0 };
    match completion.outcome {
        OrderOutcome::NotSent(UnsentCause::Expired) => Measure::Latency(elapsed_ms.saturating_sub(wait_ms)),
        OrderOutcome::Done { .. } | OrderOutcome::Refused(_) if wait_ms == 0 => Measure::Latency(elapsed_ms),
        OrderOutcome::Done { .. } | OrderOutcome::Refused(_) => {
            Measure::PollDelay(elapsed_ms.saturating_sub(wait_ms))
        }
        OrderOutcome::NotSent(_) | OrderOutcome::Unknown => Measure::Nothing,
    }
}

/// Whether the present window ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WindowEnd {
    /// It goes on.
    Continue,
    /// It ends; `is_judged` tells whether it has enough answers.
    Close { is_judged: bool },
}

fn decide_window_end(window: &AnswerTimeWindow, now_ms: u64) -> WindowEnd {
    let is_judged = window.answer_count >= MIN_WINDOW_ANSWERS;
    if now_ms < window.window_end_ms {
        WindowEnd::Continue
    } else if is_judged || now_ms >= window.window_end_ms + (MAX_WINDOW_MS - WINDOW_MS) {
        WindowEnd::Close { is_judged }
    } else {
        WindowEnd::Continue
    }
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

fn find_slowness_cause(world: &mut World, now_ms: u64) -> SlownessCause {
    let link_mbps = world.local.limits.link_mbps;
    let has_best_link = world.members.iter().all(|member| member.limits.link_mbps <= link_mbps);
    world.runs.start_budget.measure_use(link_mbps, now_ms);
    let starts_fill_link = world.runs.start_budget.is_heavily_used();
    if tenure_ms(world, now_ms) < ADOPTION_GRACE_MS {
        SlownessCause::Adoption
    } else if has_best_link && starts_fill_link {
        SlownessCause::Work
    } else {
        SlownessCause::Machine
    }
}

/// Closes a window: adapts the number of open start orders, and notes since when windows have been slow.
///
/// A window is slow only once fewer open starts can't help and the work is not the cause, since another daemon would do
/// no better with the same work.
fn close_window(
    window: &mut AnswerTimeWindow,
    start_window: &mut StartWindow,
    is_judged: bool,
    cause: SlownessCause,
    now_ms: u64,
) {
    let slow = is_judged
        && window.min_latency_ms >= SLOW_ANSWER_MS
        && start_window.is_at_minimum()
        && cause == SlownessCause::Machine;
    if is_judged && window.is_congested() {
        start_window.shrink();
    } else if is_judged {
        start_window.grow();
    }
    let started_at_ms = window.window_end_ms.saturating_sub(WINDOW_MS);
    let slow_since_ms = slow.then(|| window.slow_since_ms.unwrap_or(started_at_ms));
    // A high latency would stay for as long as only long polls are answered.
    let min_latency_ms = match window.min_poll_delay_ms {
        Some(delay_ms) if window.answer_count == 0 => delay_ms,
        _ => window.min_latency_ms,
    };
    *window = AnswerTimeWindow {
        window_end_ms: now_ms + WINDOW_MS,
        min_latency_ms,
        slow_since_ms,
        ..AnswerTimeWindow::default()
    };
}
