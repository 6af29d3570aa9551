//! Where and when tasks start.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_world::advice::Ticket;
use cassiahoist_world::effect::Effect;
use cassiahoist_world::event::Event;
use cassiahoist_world::jobs::TaskState;
use cassiahoist_world::orders::{HostLists, Order, RunEnding};
use cassiahoist_world::record::{JobState, MemberRecord};
use cassiahoist_world::spec::StepSpec;
use cassiahoist_world::store::{StorePurpose, StoreReply};

use crate::support::{Holder, end, ends, lists, record, report, running, step, task_name};

#[test]
fn tasks_start_within_the_room_of_hosts() {
    let mut holder = Holder::new(1);
    holder.add_job(1, vec![step(20)]);
    holder.tick(10);
    assert_eq!(holder.starts().len(), 8, "a host of 8 processors takes 8 tasks of one");
}

#[test]
fn later_steps_wait_for_earlier_ones_and_start_at_their_end() {
    let mut holder = Holder::new(1);
    holder.add_job(1, vec![step(1), StepSpec { after: vec![0], ..step(1) }]);
    holder.tick(10);
    assert_eq!(holder.starts(), [("i-0".to_owned(), task_name(1, 0, 0), 1)]);
    holder.confirm_starts();
    holder.tick(10);
    assert!(holder.starts().is_empty());
    holder.list(0, ends(vec![end(1, &task_name(1, 0, 0), 1, RunEnding::Done)]));
    holder.tick(10);
    let _ = holder.starts();
    let second = holder.task(&task_name(1, 1, 0));
    assert!(matches!(holder.app.world().jobs.tasks[second].state, TaskState::Placed(_)));
}

#[test]
fn runs_without_a_row_take_room_until_they_are_gone() {
    let mut holder = Holder::new(1);
    let job = holder.add_job(1, vec![step(6)]);
    holder.app.world_mut().jobs.get_mut(job).unwrap().state = JobState::Cancelled;
    let listed: Vec<_> = (0..6).map(|index| running(&task_name(1, 0, index), 1)).collect();
    holder.list(0, lists(listed));
    let stops = holder.orders().filter(|order| matches!(order.order, Order::Stop { .. })).count();
    assert_eq!(stops, 6);
    let host = holder.host(0);
    assert_eq!(holder.app.world().hosts.get(host).unwrap().room().cpu_milli, 2_000);
    holder.list(0, lists(Vec::new()));
    assert_eq!(holder.app.world().hosts.get(host).unwrap().room().cpu_milli, 8_000);
}

#[test]
fn a_run_of_unknown_size_keeps_work_away() {
    let mut holder = Holder::new(1);
    holder.list(0, lists(vec![running(&task_name(99, 0, 0), 1)]));
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    assert!(holder.starts().is_empty());
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut holder = Holder::new(1);
    holder.add_job(1, vec![StepSpec { gang: true, ..step(9) }]);
    holder.tick(10);
    assert!(holder.starts().is_empty());
    let mut holder = Holder::new(2);
    holder.add_job(1, vec![StepSpec { gang: true, ..step(9) }]);
    holder.tick(10);
    let starts = holder.starts();
    assert_eq!(starts.len(), 9);
    assert!(starts.iter().all(|(_, _, number)| *number == starts[0].2), "one number for all");
}

#[test]
fn one_end_of_a_gang_counts_for_all() {
    let mut holder = Holder::new(1);
    let job = holder.add_job(1, vec![StepSpec { gang: true, ..step(3) }]);
    holder.tick(10);
    holder.confirm_starts();
    holder.list(0, ends(vec![end(1, &task_name(1, 0, 1), 1, RunEnding::Done)]));
    assert_eq!(holder.app.world().jobs.get(job).unwrap().state, JobState::Completed);
}

#[test]
fn a_gang_that_breaks_is_stopped_everywhere_and_starts_again_whole() {
    let mut holder = Holder::new(1);
    holder.add_job(1, vec![StepSpec { gang: true, ..step(3) }]);
    holder.tick(10);
    holder.confirm_starts();
    holder.list(
        0,
        HostLists {
            born_unix_ms: None,
            running: vec![running(&task_name(1, 0, 0), 1), running(&task_name(1, 0, 2), 1)],
            ended: vec![end(1, &task_name(1, 0, 1), 1, RunEnding::Failed)],
        },
    );
    let stops = holder.orders().filter(|order| matches!(order.order, Order::Stop { .. })).count();
    assert_eq!(stops, 2);
    let step = holder.app.world().jobs.tasks[holder.task(&task_name(1, 0, 0))].step;
    assert_eq!(holder.app.world().jobs.steps[step].gang_failed_runs, [1]);
    holder.list(
        0,
        ends(vec![
            end(2, &task_name(1, 0, 0), 1, RunEnding::Broken),
            end(3, &task_name(1, 0, 2), 1, RunEnding::Failed),
        ]),
    );
    assert_eq!(holder.app.world().jobs.steps[step].gang_failed_runs, [1], "one run counts once");
    for _ in 0..10 {
        holder.tick(500);
    }
    assert_eq!(holder.app.world().counters.starts, 6);
}

#[test]
fn hosts_that_leave_get_no_new_work() {
    let mut holder = Holder::new(1);
    let host = holder.host(0);
    holder.app.world_mut().hosts.get_mut(host).unwrap().leaving_since_ms = Some(1_000);
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    assert!(holder.starts().is_empty());
}

#[test]
fn a_host_outside_the_roster_gets_no_work() {
    let mut holder = Holder::new(1);
    let host = holder.host(0);
    holder.app.world_mut().hosts.get_mut(host).unwrap().in_roster = false;
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    assert!(holder.starts().is_empty());
    let roster = holder.commits(|call| call.purpose == StorePurpose::RecordRoster);
    holder.answer_store(roster[0].clone(), Ok(StoreReply::Committed { revision: 70 }));
    holder.tick(10);
    assert_eq!(holder.app.world().counters.starts, 1);
}

#[test]
fn fillers_book_no_processor_and_slow_down_before_harm() {
    let mut holder = Holder::new(1);
    let filler = StepSpec { filler: true, size: Resources::new(8_000, 100, 0), ..step(1) };
    let serving = StepSpec { lasting: true, tail_target_ms: Some(100), ..step(1) };
    holder.add_job(1, vec![filler]);
    holder.add_job(2, vec![serving]);
    holder.tick(10);
    assert_eq!(holder.starts().len(), 2, "a filler leaves the room to others");
    holder.confirm_starts();
    let mut tail = running(&task_name(2, 0, 0), 1);
    tail.load = 150;
    holder.tick(800);
    holder.list(0, lists(vec![running(&task_name(1, 0, 0), 1), tail]));
    let pace = holder.orders().find_map(|order| match order.order {
        Order::Pace { percent, .. } => Some(percent),
        _ => None,
    });
    assert_eq!(pace, Some(0));
}

#[test]
fn a_ticket_is_good_for_one_life_of_its_host() {
    let mut holder = Holder::new(1);
    let mut advised = record(1, vec![step(1)]);
    let policy = Arc::make_mut(&mut Arc::make_mut(&mut advised).policy);
    policy.advice =
        Some(cassiahoist_world::config::AdviceTerms { call_ms: 20.0, per_host_ms: 0.3, ticket_ms: 2_500 });
    let now_ms = holder.now_ms;
    let job = cassiahoist_jobs::plan_job(holder.app.world_mut(), &advised, None, now_ms);
    let host = holder.host(0);
    let step = holder.app.world().jobs.get(job).unwrap().steps[0];
    let mut ticket = Ticket { text: Arc::from("t"), until_ms: now_ms + 2_000, born_unix_ms: 1 };
    holder.app.world_mut().jobs.steps[step].advice.good.insert(host, ticket.clone());
    holder.tick(10);
    assert!(holder.starts().is_empty());
    ticket.born_unix_ms = report(0).born_unix_ms;
    holder.app.world_mut().jobs.steps[step].advice.good.insert(host, ticket);
    holder.tick(10);
    assert_eq!(holder.starts().len(), 1);
}

/// Counts the calls for advice of the last tick.
fn advice_calls(holder: &Holder) -> usize {
    holder.effects.iter().filter(|effect| matches!(effect, Effect::Advise { .. })).count()
}

#[test]
fn a_daemon_whose_advice_is_late_gets_no_further_call() {
    let mut holder = Holder::new(20);
    let own = holder.app.world().local.incarnation.clone();
    holder.app.world_mut().members.insert(MemberRecord {
        incarnation: own,
        peer_address: "10.1.0.0:7720".into(),
        domain: FailureDomain::new("obihiro").unwrap(),
        limits: Limits::default(),
    });
    for id in 1..=6 {
        let mut advised = record(id, vec![step(1)]);
        let policy = Arc::make_mut(&mut Arc::make_mut(&mut advised).policy);
        policy.advice = Some(cassiahoist_world::config::AdviceTerms {
            call_ms: 20.0,
            per_host_ms: 0.3,
            ticket_ms: 2_500,
        });
        let now_ms = holder.now_ms;
        cassiahoist_jobs::plan_job(holder.app.world_mut(), &advised, None, now_ms);
    }
    let mut calls = 0;
    for _ in 0..100 {
        holder.tick(20);
        calls += advice_calls(&holder);
    }
    assert!(calls <= 2, "{calls} calls though none was answered");
    // The late answer still counts, and the next call goes out.
    let call = *holder.app.world().advice.calls.keys().min().unwrap();
    let answer = cassiahoist_world::advice::AdviceAnswer {
        call,
        good: Some(vec![cassiahoist_world::advice::GoodHost {
            host: report(0).name,
            ticket: Arc::from("t"),
        }]),
        ticket_ms: 2_500,
    };
    holder.hear(Event::Advice(answer));
    assert_eq!(holder.starts().len(), 1);
}

#[test]
fn tasks_start_only_on_hosts_of_their_pool_with_their_label_and_within_their_limit() {
    let mut holder = Holder::new(3);
    let labelled = holder.host(1);
    let other_pool = holder.host(2);
    let world = holder.app.world_mut();
    world.hosts.get_mut(labelled).unwrap().report.labels = vec!["b".into(), "r1-0".into()];
    let other = world.hosts.get_mut(other_pool).unwrap();
    other.report.labels = vec!["b".into(), "r1-0".into()];
    other.report.pool = PoolName::new("elsewhere").unwrap();
    let wanted = StepSpec { required_label: Some("b".into()), max_per_host: Some(2), ..step(5) };
    holder.add_job(1, vec![wanted]);
    holder.tick(10);
    let starts = holder.starts();
    assert_eq!(starts.len(), 2, "{starts:?}");
    assert!(starts.iter().all(|(host, ..)| host == "i-1"), "{starts:?}");
}
