//! Pace orders for fillers beside serving tasks.

use cassiahoist_core::prelude::*;
use cassiahoist_world::orders::{HostOrder, Order, OrderOutcome, RefusalReason, RunReport};
use cassiahoist_world::spec::StepSpec;
use cassiahoist_world::unsent::UnsentCause;

use crate::support::{FENCE, TestDaemon, field, log_records, running, running_lists, step, task_name};

fn filler() -> StepSpec {
    StepSpec { filler: true, task_size: Resources::new(8_000, 100, 0), ..step(1) }
}

/// Returns the pace order of the last tick, and its percentage.
fn pace_order(holder: &TestDaemon) -> Option<(HostOrder, u8)> {
    holder.orders().find_map(|order| match order.order {
        Order::SetPace { percent, .. } => Some((order.clone(), percent)),
        _ => None,
    })
}

/// Lets the host list a filler and a serving task whose tail latency is over its target. Returns the first pace order in
/// this tick or the next ones.
fn report_slow_tail(holder: &mut TestDaemon) -> Option<(HostOrder, u8)> {
    let mut serving = running(&task_name(2, 0, 0), 1);
    serving.load = 150;
    holder.report_lists(0, running_lists(vec![running(&task_name(1, 0, 0), 1), serving]));
    pace_order(holder).or_else(|| {
        (0..5).find_map(|_| {
            holder.tick(60);
            pace_order(holder)
        })
    })
}

/// An order to pause a filler was lost or never left the holder, which took the filler for paused.
///
/// In the other direction a filler stayed paused for ever.
#[test]
fn pace_order_that_failed_is_sent_again() {
    for outcome in [
        OrderOutcome::NotSent(UnsentCause::LocalResources),
        OrderOutcome::NotSent(UnsentCause::ConnectFailed),
        OrderOutcome::Refused(RefusalReason::Unwell),
        OrderOutcome::Unknown,
    ] {
        let mut holder = TestDaemon::with_hosts(1);
        let serving = StepSpec { runs_until_cancelled: true, tail_target_ms: Some(100), ..step(1) };
        holder.add_job(1, vec![filler()]);
        holder.add_job(2, vec![serving]);
        holder.tick(10);
        holder.confirm_starts();
        holder.tick(800);
        let (order, percent) = report_slow_tail(&mut holder).expect("the filler is paused");
        assert_eq!(percent, 0);
        holder.answer(order, outcome.clone(), None);
        let again = report_slow_tail(&mut holder);
        let (order, percent) = again.unwrap_or_else(|| panic!("{outcome:?}: not sent again"));
        assert_eq!(percent, 0, "{outcome:?}");
        let now_ms = holder.now_ms;
        holder.answer(order, OrderOutcome::Done { lists: None }, Some(now_ms));
        assert_eq!(report_slow_tail(&mut holder), None, "{outcome:?}: it took effect");
    }
}

/// The holder before had paused the filler. The new one took it for running at full pace and never resumed it.
#[test]
fn adopted_filler_gets_the_pace_of_its_host() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.add_job(1, vec![filler()]);
    holder.report_lists(0, running_lists(vec![running(&task_name(1, 0, 0), 1)]));
    let sent = pace_order(&holder).or_else(|| {
        holder.tick(60);
        pace_order(&holder)
    });
    assert_eq!(sent.map(|(_, percent)| percent), Some(100));
}

/// Creates a holder of a filler and a serving task on one host, whose tail latency is over its target.
///
/// Returns the order that pauses the filler, too.
fn paused_filler() -> (TestDaemon, HostOrder) {
    let mut holder = TestDaemon::with_hosts(1);
    let serving = StepSpec { runs_until_cancelled: true, tail_target_ms: Some(100), ..step(1) };
    holder.add_job(1, vec![filler()]);
    holder.add_job(2, vec![serving]);
    holder.tick(10);
    holder.confirm_starts();
    holder.tick(800);
    let (order, percent) = report_tail(&mut holder, 150).expect("the filler is paused");
    assert_eq!(percent, 0);
    (holder, order)
}

/// Creates the same holder after the tail has fallen. Returns the order that gives the filler a quarter of the time.
fn sped_up_filler() -> (TestDaemon, HostOrder) {
    let (mut holder, pause) = paused_filler();
    confirm(&mut holder, pause);
    holder.tick(1_500);
    let (speed_up, percent) = report_tail(&mut holder, 20).expect("the filler gets faster");
    assert_eq!(percent, 25);
    (holder, speed_up)
}

/// Lets the host list both tasks, and waits for the pace order that follows from the tail latency, in milliseconds.
fn report_tail(holder: &mut TestDaemon, tail_ms: u64) -> Option<(HostOrder, u8)> {
    let mut serving = running(&task_name(2, 0, 0), 1);
    serving.load = tail_ms;
    serving.progress_percent = 100;
    let progress_percent = (holder.now_ms / 100 % 100) as u32;
    let filler = RunReport { progress_percent, ..running(&task_name(1, 0, 0), 1) };
    holder.report_lists(0, running_lists(vec![filler, serving]));
    await_pace_order(holder)
}

/// Returns the pace order of the last tick, or of one within 100 ms.
fn await_pace_order(holder: &mut TestDaemon) -> Option<(HostOrder, u8)> {
    pace_order(holder).or_else(|| {
        (0..2).find_map(|_| {
            holder.tick(50);
            pace_order(holder)
        })
    })
}

fn confirm(holder: &mut TestDaemon, order: HostOrder) {
    let clock_ms = holder.now_ms;
    holder.answer(order, OrderOutcome::Done { lists: None }, Some(clock_ms));
}

/// Lets time pass while the host reports a tail latency and confirms pace orders.
///
/// Returns when each was confirmed, and its share in percent.
fn paces_within(holder: &mut TestDaemon, duration_ms: u64, tail_ms: u64) -> Vec<(u64, u8)> {
    let end_at_ms = holder.now_ms + duration_ms;
    let mut paces = Vec::new();
    while holder.now_ms < end_at_ms {
        if let Some((order, percent)) = report_tail(holder, tail_ms) {
            confirm(holder, order);
            paces.push((holder.now_ms, percent));
        }
    }
    paces
}

/// Largest time for which the filler may have another pace than that of its host, in milliseconds. The platform's pages allow
/// harm for 4 s.
const MAX_WRONG_PACE_MS: u64 = 2_000;

/// Time for which a host may carry out an order that was given up without an answer, in milliseconds.
const MAX_ORDER_DELAY_MS: u64 = 12_000;

/// An order to speed the filler up got no answer, and a later one paused it again. The host carried the first one out after that.
///
/// The holder took the filler for paused, and sent nothing while the serving task stayed over its target (HARM).
#[test]
fn pace_is_repeated_while_an_unanswered_order_may_take_effect() {
    let (mut holder, speed_up) = sped_up_filler();
    holder.tick(800);
    holder.answer(speed_up, OrderOutcome::Unknown, None);
    let lines = log_records(&holder.effects, EventId::PaceUnanswered);
    assert_eq!(lines.iter().map(|line| field(line, "percent")).collect::<Vec<_>>(), ["25"]);
    let unanswered_at_ms = holder.now_ms;
    let paces = paces_within(&mut holder, MAX_ORDER_DELAY_MS + 2 * MAX_WRONG_PACE_MS, 150);
    assert!(paces.iter().all(|(_, percent)| *percent == 0), "{paces:?}");
    let times_ms: Vec<u64> =
        [unanswered_at_ms].into_iter().chain(paces.iter().map(|(at_ms, _)| *at_ms)).collect();
    assert!(times_ms.windows(2).all(|pair| pair[1] - pair[0] <= MAX_WRONG_PACE_MS), "{paces:?}");
    let last_at_ms = *times_ms.last().unwrap();
    assert!(last_at_ms > unanswered_at_ms + MAX_ORDER_DELAY_MS, "the last one follows any late order");
    assert!(last_at_ms < unanswered_at_ms + MAX_ORDER_DELAY_MS + MAX_WRONG_PACE_MS, "{paces:?}");
}

/// The other direction: an order to pause the filler is carried out after one that gave it the whole share.
///
/// The filler stood still for as long as the holder held the slice.
#[test]
fn full_pace_is_repeated_while_an_unanswered_pause_may_take_effect() {
    let (mut holder, pause) = paused_filler();
    holder.answer(pause, OrderOutcome::Unknown, None);
    let unanswered_at_ms = holder.now_ms;
    let (again, percent) = report_tail(&mut holder, 150).or_else(|| report_tail(&mut holder, 150)).unwrap();
    assert_eq!(percent, 0);
    confirm(&mut holder, again);
    let paces = paces_within(&mut holder, MAX_ORDER_DELAY_MS + 2 * MAX_WRONG_PACE_MS, 10);
    assert_eq!(paces.last().map(|(_, percent)| *percent), Some(100), "{paces:?}");
    let at_full_pace = paces.iter().filter(|(_, percent)| *percent == 100);
    let times_ms: Vec<u64> = at_full_pace.map(|(at_ms, _)| *at_ms).collect();
    assert!(times_ms.windows(2).all(|pair| pair[1] - pair[0] <= MAX_WRONG_PACE_MS), "{paces:?}");
    assert!(*times_ms.last().unwrap() > unanswered_at_ms + MAX_ORDER_DELAY_MS, "{paces:?}");
}

/// Without a serving task on the host a filler has the whole share. An earlier order must not take it away.
#[test]
fn full_pace_is_repeated_when_no_serving_task_is_left() {
    let (mut holder, pause) = paused_filler();
    holder.answer(pause, OrderOutcome::Unknown, None);
    let unanswered_at_ms = holder.now_ms;
    let mut last_pace = None;
    while holder.now_ms < unanswered_at_ms + MAX_ORDER_DELAY_MS + MAX_WRONG_PACE_MS {
        let progress_percent = (holder.now_ms / 100 % 100) as u32;
        let filler = RunReport { progress_percent, ..running(&task_name(1, 0, 0), 1) };
        holder.report_lists(0, running_lists(vec![filler]));
        if let Some((order, percent)) = await_pace_order(&mut holder) {
            confirm(&mut holder, order);
            last_pace = Some((holder.now_ms, percent));
        }
    }
    let (at_ms, percent) = last_pace.expect("the filler gets its share back");
    assert_eq!(percent, 100);
    assert!(at_ms > unanswered_at_ms + MAX_ORDER_DELAY_MS, "the last one follows any late order");
}

/// Two orders are under way at a time, and the host may carry them out in either order.
#[test]
fn pace_is_repeated_after_an_earlier_order_was_answered_last() {
    let (mut holder, speed_up) = sped_up_filler();
    holder.tick(700);
    let (pause, percent) = report_tail(&mut holder, 150).expect("the filler is paused");
    assert_eq!(percent, 0);
    confirm(&mut holder, pause);
    confirm(&mut holder, speed_up);
    let paces = paces_within(&mut holder, MAX_WRONG_PACE_MS, 150);
    assert_eq!(paces.iter().map(|(_, percent)| *percent).collect::<Vec<_>>(), [0]);
}

/// An order under a greater token overtakes the pace order, which the host then refuses. The holder is still the only one.
///
/// The holder took the filler for paused.
#[test]
fn pace_order_that_was_overtaken_by_a_greater_token_is_sent_again() {
    let (mut holder, pause) = paused_filler();
    let host = pause.host;
    holder.app.world_mut().hosts.get_mut(host).unwrap().min_fence = Fence(pause.fence.0 + 1);
    let clock_ms = holder.now_ms;
    holder.answer(pause, OrderOutcome::Refused(RefusalReason::Fence), Some(clock_ms));
    assert!(holder.app.world().holding.is_holding());
    let paces = paces_within(&mut holder, MAX_WRONG_PACE_MS, 150);
    assert_eq!(paces.iter().map(|(_, percent)| *percent).collect::<Vec<_>>(), [0]);
}

/// The holder has written to the store since its claim, so that the next order has a greater token than the unanswered one.
///
/// One repetition is enough, also if a later order had been sent meanwhile.
#[test]
fn pace_is_repeated_once_under_a_greater_token() {
    let (mut holder, speed_up) = sped_up_filler();
    holder.tick(700);
    let (pause, _) = report_tail(&mut holder, 150).expect("the filler is paused");
    confirm(&mut holder, pause);
    holder.app.world_mut().store_writes.latest_revision = FENCE.0 + 20;
    holder.answer(speed_up, OrderOutcome::Unknown, None);
    let (again, percent) = report_tail(&mut holder, 150).or_else(|| report_tail(&mut holder, 150)).unwrap();
    assert_eq!((again.fence, percent), (Fence(FENCE.0 + 20), 0));
    confirm(&mut holder, again);
    assert_eq!(paces_within(&mut holder, 5_000, 150), []);
}

/// Where every order is answered, nothing is sent twice.
#[test]
fn answered_pace_orders_are_not_repeated() {
    let (mut holder, pause) = paused_filler();
    confirm(&mut holder, pause);
    assert_eq!(paces_within(&mut holder, 5_000, 150), []);
}
