//! A holder that is too slow releases the slice to another daemon.

use std::collections::VecDeque;
use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_jobs::insert_job;
use cassiahoist_world::event::Event;
use cassiahoist_world::orders::{HostOrder, Order, OrderCompletion, OrderOutcome};
use cassiahoist_world::record::{ClaimRecord, MemberRecord, TermRecord};
use cassiahoist_world::store::{
    KeySpace, StoreChange, StoreCompletion, StoreFailure, StoreItem, StoreKey, StorePurpose, StoreReply,
    StoreValue,
};
use cassiahoist_world::unsent::UnsentCause;

use crate::support::{FENCE, TestDaemon, host_entry, job_record};

/// Time between answers, in milliseconds.
const TICK_MS: u64 = 100;

/// Creates a holder past its settling time, with one other member.
fn settled_holder() -> TestDaemon {
    let mut holder = TestDaemon::with_hosts(6);
    for number in 0..2 {
        let record = MemberRecord {
            incarnation: format!("edge-{number}#1").parse().unwrap(),
            peer_address: format!("10.1.0.{number}:7720"),
            domain: FailureDomain::new("obihiro").unwrap(),
            limits: MachineLimits::default(),
        };
        holder.app.world_mut().members.insert(record, 0);
    }
    holder.tick(3_000);
    holder
}

/// Creates the completion of an order to a host.
fn completion(
    holder: &TestDaemon,
    number: u64,
    issued_at_ms: u64,
    outcome: OrderOutcome,
) -> Box<OrderCompletion> {
    let order = HostOrder {
        host: holder.host(number),
        host_name: host_entry(number).name,
        address: host_entry(number).address,
        fence: FENCE,
        order: Order::SetPace {
            run: cassiahoist_world::runs::RunKey::default(),
            task: "0000000000000001.0.0.0".parse().unwrap(),
            run_number: 1,
            percent: 100,
        },
        timeout_ms: 800,
    };
    let is_answer = matches!(outcome, OrderOutcome::Done { .. });
    Box::new(OrderCompletion {
        order,
        issued_at_ms,
        host_clock_ms: is_answer.then_some(holder.now_ms + 9_000),
        completed_at_ms: holder.now_ms,
        outcome,
    })
}

/// Lets one host answer every 100 ms for some time, after `latency_ms`. Returns whether the claim was released.
fn answer_single_orders_for(holder: &mut TestDaemon, time_ms: u64, latency_ms: u64) -> bool {
    let until_ms = holder.now_ms + time_ms;
    while holder.now_ms < until_ms {
        let issued_at_ms = (holder.now_ms + TICK_MS).saturating_sub(latency_ms);
        let completion = completion(holder, 0, issued_at_ms, OrderOutcome::Done { lists: None });
        holder.app.push_event(Event::OrderCompleted(completion));
        holder.tick(TICK_MS);
        if holder.store_calls().any(|call| call.purpose == StorePurpose::ReleaseClaim) {
            return true;
        }
    }
    false
}

/// Lets all hosts answer every 100 ms for some time.
///
/// The first host answers after `min_latency_ms`, the others after 400 ms. Returns whether the claim was
/// released.
fn answer_orders_for(holder: &mut TestDaemon, time_ms: u64, min_latency_ms: u64) -> bool {
    let until_ms = holder.now_ms + time_ms;
    let mut released = false;
    while holder.now_ms < until_ms {
        for number in 0..6 {
            let latency_ms = if number == 0 { min_latency_ms } else { 400 };
            let issued_at_ms = holder.now_ms + TICK_MS - latency_ms;
            let completion = completion(holder, number, issued_at_ms, OrderOutcome::Done { lists: None });
            holder.app.push_event(Event::OrderCompleted(completion));
        }
        holder.tick(TICK_MS);
        released |= holder.store_calls().any(|call| call.purpose == StorePurpose::ReleaseClaim);
        if released {
            return true;
        }
    }
    released
}

#[test]
fn holder_slow_to_all_hosts_releases_the_slice() {
    let mut holder = settled_holder();
    assert!(answer_orders_for(&mut holder, 2_000, 150));
    assert!(!holder.app.world().holding.is_holding());
}

/// Some hosts are always slow, so only the quickest answer counts.
#[test]
fn holder_with_one_fast_host_keeps_the_slice() {
    assert!(!answer_orders_for(&mut settled_holder(), 3_000, 20));
}

#[test]
fn briefly_slow_holder_keeps_the_slice() {
    let mut holder = settled_holder();
    assert!(!answer_orders_for(&mut holder, 200, 150));
    assert!(!answer_orders_for(&mut holder, 2_000, 5));
}

#[test]
fn slow_holder_without_peers_keeps_the_slice() {
    let mut holder = settled_holder();
    holder.app.world_mut().members.remove(&MemberName::new("edge-1").unwrap());
    assert!(!answer_orders_for(&mut holder, 3_000, 150));
}

/// The delay lets other daemons claim the slice first.
#[test]
fn slow_former_holder_delays_its_next_claim() {
    let mut holder = settled_holder();
    assert!(answer_orders_for(&mut holder, 2_000, 150));
    holder.receive_changes(
        KeySpace::Cell,
        vec![StoreChange::Removed { key: StoreKey::Claim(SliceId(0)), revision: 90 }],
        90,
    );
    let vacant_ms = holder.now_ms;
    let claims =
        |holder: &TestDaemon| holder.store_calls().any(|call| call.purpose == StorePurpose::ClaimSlice);
    while !claims(&holder) {
        holder.tick(50);
        assert!(holder.now_ms < vacant_ms + 5_000, "the claim is only delayed");
    }
    assert!(holder.now_ms >= vacant_ms + 1_900);
}

#[test]
fn failed_release_of_a_claim_is_retried() {
    let mut holder = settled_holder();
    assert!(answer_orders_for(&mut holder, 2_000, 150));
    let release_call = |holder: &TestDaemon| {
        holder.store_calls().find(|call| call.purpose == StorePurpose::ReleaseClaim).cloned()
    };
    let first = release_call(&holder).unwrap();
    holder.answer_store(first.clone(), Err(StoreFailure::Unknown));
    holder.tick(250);
    let second = release_call(&holder).unwrap();
    assert_eq!(second.op, first.op);
    holder.answer_store(second, Ok(StoreReply::Conflict { items: Vec::new() }));
    for _ in 0..20 {
        holder.tick(100);
        assert!(release_call(&holder).is_none());
    }
}

/// The work makes every holder slow, and the slice has gone round.
///
/// Each change interrupts the leases of running tasks, so the holder keeps the slice for a while.
#[test]
fn slow_holder_after_a_short_predecessor_keeps_the_slice() {
    let mut holder = settled_holder();
    holder.app.world_mut().holding.predecessor_tenure_ms = Some(5_000);
    assert!(!answer_orders_for(&mut holder, 10_000, 150));
    assert!(answer_orders_for(&mut holder, 6_000, 150), "released after its own long tenure");
}

/// The holder's link is full: every answer takes longer than the timeout of an idle holder.
///
/// An order that times out is settled and repeated, which fills the link further.
#[test]
fn timeouts_grow_with_the_quickest_answer_on_a_full_link() {
    let mut holder = settled_holder();
    let start_timeout_ms = |holder: &mut TestDaemon, id: u64| {
        holder.add_job(id, vec![crate::support::step(1)]);
        holder.tick(10);
        let starts = holder.orders().filter(|order| matches!(order.order, Order::Start { .. }));
        starts.map(|order| order.timeout_ms).max().unwrap()
    };
    let idle_ms = start_timeout_ms(&mut holder, 1);
    answer_orders_for(&mut holder, 400, 90);
    let congested_ms = start_timeout_ms(&mut holder, 2);
    assert!(congested_ms >= idle_ms + 2 * 90, "{idle_ms} ms, then {congested_ms} ms");
}

/// The holder's link is full, and many tasks wait.
///
/// Few start orders are open at a time, so that the others don't time out in the holder's own queues.
#[test]
fn few_starts_are_open_on_a_full_link() {
    let mut holder = settled_holder();
    answer_orders_for(&mut holder, 1_200, 90);
    holder.add_job(1, vec![crate::support::step(40)]);
    holder.tick(10);
    assert_eq!(holder.starts().len(), 8);
    assert_eq!(holder.app.world().runs.start_window.available(), 0);
    holder.confirm_starts();
    assert!(holder.app.world().counters.starts > 8, "answers let further tasks start");
}

/// Creates a settled holder on a link of 2 Mbit/s with many tasks of long arguments, and a peer with this link.
fn busy_holder(peer_link_mbps: u32) -> TestDaemon {
    let mut holder = TestDaemon::with_hosts(60);
    let world = holder.app.world_mut();
    world.local.limits.link_mbps = 2;
    world.members.insert(
        MemberRecord {
            incarnation: "edge-1#1".parse().unwrap(),
            peer_address: "10.1.0.1:7720".into(),
            domain: FailureDomain::new("obihiro").unwrap(),
            limits: MachineLimits { link_mbps: peer_link_mbps, ..MachineLimits::default() },
        },
        0,
    );
    holder.tick(3_000);
    let mut job = job_record(1, vec![crate::support::step(400)]);
    Arc::make_mut(&mut job).spec.argument = "x".repeat(3_500);
    let now_ms = holder.now_ms;
    insert_job(holder.app.world_mut(), &job, None, now_ms);
    holder
}

/// Plays two seconds in which each start order is answered after 120 ms. Returns whether the claim was released.
fn play_busy_seconds(holder: &mut TestDaemon) -> bool {
    let mut open_orders: VecDeque<(u64, HostOrder)> = VecDeque::new();
    for _ in 0..200 {
        while open_orders.front().is_some_and(|(issued_at_ms, _)| issued_at_ms + 120 <= holder.now_ms) {
            let (issued_at_ms, order) = open_orders.pop_front().unwrap();
            holder.app.push_event(Event::OrderCompleted(Box::new(OrderCompletion {
                order,
                issued_at_ms,
                host_clock_ms: Some(holder.now_ms + 9_000),
                completed_at_ms: holder.now_ms,
                outcome: OrderOutcome::Done { lists: None },
            })));
        }
        holder.tick(10);
        if holder.store_calls().any(|call| call.purpose == StorePurpose::ReleaseClaim) {
            return true;
        }
        let now_ms = holder.now_ms;
        let starts = holder.orders().filter(|order| matches!(order.order, Order::Start { .. }));
        let starts: Vec<(u64, HostOrder)> = starts.map(|order| (now_ms, order.clone())).collect();
        open_orders.extend(starts);
    }
    false
}

/// The holder's own start orders fill its link. Each change of the holder stops starts for seconds and leaves the next
/// one a longer backlog on a link that is no better.
#[test]
fn holder_whose_link_is_full_of_starts_keeps_the_slice() {
    assert!(!play_busy_seconds(&mut busy_holder(2)));
}

#[test]
fn holder_whose_link_is_full_of_starts_leaves_the_slice_to_a_better_link() {
    assert!(play_busy_seconds(&mut busy_holder(20)));
}

/// A new holder's link is full of records and lists of hosts. Timeouts that did not allow for that settled half of its
/// first start orders as unanswered, and each was sent again.
#[test]
fn start_timeouts_allow_for_slow_answers_during_adoption() {
    let mut holder = TestDaemon::with_hosts(6);
    assert!(!answer_orders_for(&mut holder, 1_000, 200));
    holder.add_job(1, vec![crate::support::step(4)]);
    holder.tick(10);
    let mut starts = holder.orders().filter(|order| matches!(order.order, Order::Start { .. }));
    assert!(starts.next().expect("a task starts").timeout_ms >= 800);
}

/// Lets orders to all hosts expire in this daemon's own queues every 100 ms for some time.
///
/// Returns whether the claim was released.
fn expire_orders_for(holder: &mut TestDaemon, time_ms: u64) -> bool {
    let until_ms = holder.now_ms + time_ms;
    while holder.now_ms < until_ms {
        for number in 0..6 {
            let issued_at_ms = holder.now_ms + TICK_MS - 350;
            let outcome = OrderOutcome::NotSent(UnsentCause::Expired);
            let completion = completion(holder, number, issued_at_ms, outcome);
            holder.app.push_event(Event::OrderCompleted(completion));
        }
        holder.tick(TICK_MS);
        if holder.store_calls().any(|call| call.purpose == StorePurpose::ReleaseClaim) {
            return true;
        }
    }
    false
}

/// The holder is so slow that all start orders expire before they leave, so that no answer shows it.
///
/// The limit of open starts stayed at its first value, and each order expired in turn.
#[test]
fn start_limit_shrinks_while_orders_expire_unsent() {
    let mut holder = settled_holder();
    expire_orders_for(&mut holder, 1_000);
    holder.add_job(1, vec![crate::support::step(40)]);
    holder.tick(10);
    assert_eq!(holder.starts().len(), 8);
}

/// All orders expire in the holder's own queues, even with the fewest open starts.
#[test]
fn holder_whose_orders_expire_unsent_releases_the_slice() {
    assert!(expire_orders_for(&mut settled_holder(), 2_000));
}

/// Some orders expire while others are answered at once, so the holder is not too slow for them.
#[test]
fn holder_with_quick_answers_keeps_the_slice_while_orders_expire() {
    let mut holder = settled_holder();
    for _ in 0..20 {
        let now_ms = holder.now_ms;
        let quick = completion(&holder, 0, now_ms + TICK_MS - 5, OrderOutcome::Done { lists: None });
        holder.app.push_event(Event::OrderCompleted(quick));
        assert!(!expire_orders_for(&mut holder, TICK_MS));
    }
}

/// With few open starts and answers of half a second, fewer than five arrive in 200 ms.
///
/// The holder was never judged.
#[test]
fn holder_with_few_slow_answers_releases_the_slice() {
    assert!(answer_single_orders_for(&mut settled_holder(), 8_000, 500));
}

/// The slowness of a few orders a second may lie with their hosts.
#[test]
fn holder_with_hardly_any_orders_keeps_the_slice() {
    let mut holder = settled_holder();
    for _ in 0..10 {
        assert!(!answer_single_orders_for(&mut holder, TICK_MS, 500));
        for _ in 0..9 {
            holder.tick(TICK_MS);
        }
    }
}

/// Delivers what a daemon that starts, or watches, learns of the claim of another one.
fn claim_of_other(revision: u64) -> Vec<StoreItem> {
    let holder: Incarnation = "edge-1#1".parse().unwrap();
    let claim = ClaimRecord { holder: holder.clone(), peer_address: "10.1.0.1:7720".into(), term: 1 };
    let term = TermRecord { term: 1, holder, released: false };
    vec![
        StoreItem { key: StoreKey::Claim(SliceId(0)), value: StoreValue::Claim(claim), revision },
        StoreItem { key: StoreKey::Term(SliceId(0)), value: StoreValue::Term(term), revision },
    ]
}

/// Lets the claim of the other daemon end and this one win the next. Returns the tenure that it takes for the other's.
fn predecessor_tenure_ms(daemon: &mut TestDaemon) -> Option<u64> {
    daemon.tick(2_000);
    daemon.receive_changes(
        KeySpace::Cell,
        vec![StoreChange::Removed { key: StoreKey::Claim(SliceId(0)), revision: 60 }],
        60,
    );
    let now_ms = daemon.now_ms;
    let world = daemon.app.world_mut();
    world.holding.claim_sent_at_ms = now_ms;
    let claim = ClaimRecord {
        holder: world.local.incarnation.clone(),
        peer_address: world.local.peer_address.clone(),
        term: 2,
    };
    let item = StoreItem { key: StoreKey::Claim(SliceId(0)), value: StoreValue::Claim(claim), revision: 70 };
    daemon.receive_changes(KeySpace::Cell, vec![StoreChange::Written(item)], 70);
    assert!(daemon.app.world().holding.fence().is_some());
    daemon.app.world().holding.predecessor_tenure_ms
}

/// After a loss of power everywhere, the next holder first lists the claim of one that held for long.
///
/// It took the time since that listing for a short tenure, and kept the slice for 15 s however slow it was.
#[test]
fn claim_listed_at_the_start_has_no_known_tenure() {
    let mut daemon = TestDaemon::standby();
    daemon.receive_event(Event::StoreCompleted(Box::new(StoreCompletion {
        purpose: StorePurpose::FollowRange(KeySpace::Cell),
        issued_at_ms: daemon.now_ms,
        outcome: Ok(StoreReply::Items { items: claim_of_other(50), revision: 50 }),
    })));
    assert_eq!(predecessor_tenure_ms(&mut daemon), None);
}

#[test]
fn claim_that_began_since_the_start_has_a_tenure() {
    let mut daemon = TestDaemon::standby();
    daemon.receive_event(Event::StoreCompleted(Box::new(StoreCompletion {
        purpose: StorePurpose::FollowRange(KeySpace::Cell),
        issued_at_ms: daemon.now_ms,
        outcome: Ok(StoreReply::Items { items: Vec::new(), revision: 40 }),
    })));
    let written = claim_of_other(50).into_iter().map(StoreChange::Written).collect();
    daemon.receive_changes(KeySpace::Cell, written, 50);
    let tenure_ms = predecessor_tenure_ms(&mut daemon).unwrap();
    assert!((2_000..2_100).contains(&tenure_ms), "{tenure_ms} ms");
}

/// A holder that is slow for a moment lost the slice to a machine that is much weaker all the time.
#[test]
fn slow_holder_leaves_the_slice_to_much_weaker_daemons_only_after_long() {
    let mut holder = settled_holder();
    let weak = MachineLimits { cpu_milli: 240, link_mbps: 1_000 };
    let mut record = holder.app.world().members.get(&MemberName::new("edge-1").unwrap()).unwrap().clone();
    record.limits = weak;
    holder.app.world_mut().members.insert(record, 0);
    assert!(!answer_orders_for(&mut holder, 3_000, 150), "a short slowness");
    assert!(answer_orders_for(&mut holder, 5_000, 150), "a machine may lose most of its processor for good");
}

/// Creates a settled holder of six busy hosts, with one other member, of which so many became silent one second ago.
fn holder_with_silent_hosts(silent_hosts: u64) -> TestDaemon {
    let mut holder = settled_holder();
    holder.add_job(1, vec![crate::support::step(48)]);
    holder.tick(10);
    holder.confirm_starts();
    let silent: Vec<_> = (0..silent_hosts).map(|number| holder.host(number)).collect();
    let now_ms = holder.now_ms;
    for key in silent {
        let host = holder.app.world_mut().hosts.get_mut(key).unwrap();
        assert!(!host.runs.is_empty());
        host.unresponsive_since_ms = Some(now_ms);
    }
    holder
}

/// Runs the holder without answers of hosts for some time. Returns whether the claim was released.
fn release_without_answers(holder: &mut TestDaemon, time_ms: u64) -> bool {
    let until_ms = holder.now_ms + time_ms;
    while holder.now_ms < until_ms {
        holder.tick(TICK_MS);
        if holder.store_calls().any(|call| call.purpose == StorePurpose::ReleaseClaim) {
            return true;
        }
    }
    false
}

/// The holder's path to all hosts is cut while the store answers. No answer comes that could show a slow holder, and
/// it kept the slice, with no work done, for as long as the cut lasted.
#[test]
fn holder_that_no_host_answers_releases_the_slice() {
    assert!(release_without_answers(&mut holder_with_silent_hosts(6), 2_500));
}

/// A failure domain is lost, and another daemon could not reach its hosts either.
#[test]
fn holder_that_some_hosts_answer_keeps_the_slice() {
    assert!(!release_without_answers(&mut holder_with_silent_hosts(5), 5_000));
}

/// All hosts are down, and the slice would go round.
#[test]
fn holder_after_a_short_predecessor_keeps_the_slice_while_no_host_answers() {
    let mut holder = holder_with_silent_hosts(6);
    holder.app.world_mut().holding.predecessor_tenure_ms = Some(3_000);
    assert!(!release_without_answers(&mut holder, 6_000));
}

/// Answers were slow in a burst of work, after which only long polls are answered.
///
/// The latency stayed high, and hosts that became silent were taken for the holder's fault for good.
#[test]
fn slow_answers_are_forgotten_while_long_polls_are_answered_in_time() {
    let mut holder = settled_holder();
    answer_orders_for(&mut holder, 400, 90);
    assert!(holder.app.world().holding.answer_times.is_congested());
    for _ in 0..25 {
        let mut poll = completion(&holder, 0, 0, OrderOutcome::Done { lists: None });
        poll.order.order = Order::Poll { lease_until_ms: None, last_end_recorded: 0, wait_ms: 800 };
        poll.issued_at_ms = holder.now_ms + TICK_MS - 810;
        holder.app.push_event(Event::OrderCompleted(poll));
        holder.tick(TICK_MS);
    }
    assert!(!holder.app.world().holding.answer_times.is_congested());
}
