//! Hosts that begin new lives.

use cassiahoist_world::hosts::HostReport;
use cassiahoist_world::jobs::TaskState;
use cassiahoist_world::orders::{HostOrder, Order, OrderOutcome, RefusalReason};
use cassiahoist_world::store::KeySpace;

use crate::support::{FENCE, Holder, entry, lists, report, running, step, task_name};

#[test]
fn a_host_whose_clock_went_back_is_asked_anew() {
    let mut holder = Holder::with_running(1, 1);
    let host = holder.host(0);
    let look = Order::Poll { lease_until_ms: None, ends_recorded: 57, wait_ms: 0 };
    let look = HostOrder {
        host,
        name: report(0).name,
        address: report(0).address,
        fence: FENCE,
        order: look,
        patience_ms: 100,
    };
    let listed = lists(vec![running(&task_name(1, 0, 0), 1)]);
    holder.answer(look.clone(), OrderOutcome::Done { lists: Some(listed) }, Some(2_050));
    holder.app.world_mut().hosts.get_mut(host).unwrap().ends_recorded = 57;
    holder.answer(look, OrderOutcome::Done { lists: Some(lists(Vec::new())) }, Some(20));
    let row = holder.app.world().hosts.get(host).unwrap();
    assert_eq!(row.ends_recorded, 0, "ends of the new life are not forgotten");
    let task = holder.task(&task_name(1, 0, 0));
    assert_eq!(holder.app.world().jobs.tasks[task].state, TaskState::Pending);
}

#[test]
fn a_host_in_whose_place_another_answers_is_removed() {
    let mut holder = Holder::new(1);
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    let start = holder.orders().find(|order| matches!(order.order, Order::Start { .. })).cloned().unwrap();
    holder.answer(start, OrderOutcome::Refused(RefusalReason::OtherLife), Some(2_000));
    assert!(holder.app.world().hosts.is_empty());
    assert!(holder.app.world().runs.rows.is_empty());
    holder.tick(100);
    assert_eq!(holder.orders().count(), 0, "nothing is sent to its address any more");
}

#[test]
fn an_entry_that_names_a_life_already_noticed_ends_nothing() {
    let mut holder = Holder::new(1);
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    let start = holder.orders().find(|order| matches!(order.order, Order::Start { .. })).cloned().unwrap();
    // The host's clock went back: it confirms the start in a new life, which its entry names later.
    holder.now_ms = 9_000;
    holder.tick(1);
    holder.answer(start, OrderOutcome::Done { lists: None }, Some(96));
    let reborn = HostReport { born_unix_ms: report(0).born_unix_ms + 50_000, ..report(0) };
    holder.watch(KeySpace::Hosts, vec![entry(reborn)], 90);
    let task = holder.task(&task_name(1, 0, 0));
    assert!(matches!(holder.app.world().jobs.tasks[task].state, TaskState::Placed(_)));
    assert_eq!(holder.app.world().jobs.tasks[task].last_number, 1);
}

/// A holder whose host begins a new life just after it has confirmed a start.
fn reborn_after_a_start() -> Holder {
    let mut holder = Holder::with_running(1, 1);
    let reborn = HostReport { born_unix_ms: report(0).born_unix_ms + 60, ..report(0) };
    holder.watch(KeySpace::Hosts, vec![entry(reborn)], 90);
    holder
}

#[test]
fn a_start_that_either_of_two_lives_may_have_confirmed_is_not_taken_as_over() {
    let mut holder = reborn_after_a_start();
    holder.tick(50);
    let task = holder.task(&task_name(1, 0, 0));
    assert!(matches!(holder.app.world().jobs.tasks[task].state, TaskState::Placed(_)));
    holder.list(0, lists(vec![running(&task_name(1, 0, 0), 1)]));
    holder.tick(50);
    assert_eq!(holder.app.world().jobs.tasks[task].last_number, 1);
}

#[test]
fn a_start_that_the_new_life_does_not_list_is_made_again() {
    let mut holder = reborn_after_a_start();
    holder.tick(50);
    holder.list(0, lists(Vec::new()));
    holder.app.world_mut().hosts.iter_mut().for_each(|(_, host)| host.in_roster = true);
    holder.tick(50);
    let task = holder.task(&task_name(1, 0, 0));
    assert_eq!(holder.app.world().jobs.tasks[task].last_number, 2);
}
