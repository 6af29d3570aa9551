//! Pace orders for fillers beside serving tasks.

use cassiahoist_core::prelude::*;
use cassiahoist_world::orders::{HostOrder, Order, OrderOutcome, RefusalReason};
use cassiahoist_world::spec::StepSpec;
use cassiahoist_world::unsent::UnsentCause;

use crate::support::{TestDaemon, running, running_lists, step, task_name};

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
