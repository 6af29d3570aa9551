//! Hosts and times at which tasks start.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_world::advice::{AdviceAnswer, Ticket};
use cassiahoist_world::config::AdviceCost;
use cassiahoist_world::effect::Effect;
use cassiahoist_world::event::Event;
use cassiahoist_world::jobs::TaskState;
use cassiahoist_world::orders::{HostLists, Order, RunEnding};
use cassiahoist_world::record::JobState;
use cassiahoist_world::spec::StepSpec;
use cassiahoist_world::store::{StorePurpose, StoreReply};

use crate::support::{
    TestDaemon, end, ended_lists, host_entry, job_record, running, running_lists, step, task_name,
};

#[test]
fn tasks_never_exceed_host_capacity() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.add_job(1, vec![step(20)]);
    holder.tick(10);
    assert_eq!(holder.starts().len(), 8, "a host with 8 CPUs fits 8 tasks of one CPU");
}

#[test]
fn dependent_step_starts_after_its_predecessor() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.add_job(1, vec![step(1), StepSpec { depends_on: vec![0], ..step(1) }]);
    holder.tick(10);
    assert_eq!(holder.starts(), [("i-0".to_owned(), task_name(1, 0, 0), 1)]);
    holder.confirm_starts();
    holder.tick(10);
    assert!(holder.starts().is_empty());
    holder.report_lists(0, ended_lists(vec![end(1, &task_name(1, 0, 0), 1, RunEnding::Done)]));
    holder.tick(10);
    let _ = holder.starts();
    let second = holder.task(&task_name(1, 1, 0));
    assert!(matches!(holder.app.world().jobs.tasks[second].state, TaskState::Placed(_)));
}

/// The job is cancelled, but its runs use their host until they have stopped.
#[test]
fn orphaned_runs_occupy_resources_until_they_end() {
    let mut holder = TestDaemon::with_hosts(1);
    let job = holder.add_job(1, vec![step(6)]);
    holder.app.world_mut().jobs.get_mut(job).unwrap().state = JobState::Cancelled;
    let listed: Vec<_> = (0..6).map(|index| running(&task_name(1, 0, index), 1)).collect();
    holder.report_lists(0, running_lists(listed));
    let stops = holder.orders().filter(|order| matches!(order.order, Order::Stop { .. })).count();
    assert_eq!(stops, 6);
    let host = holder.host(0);
    assert_eq!(holder.app.world().hosts.get(host).unwrap().free_resources().cpu_milli, 2_000);
    holder.report_lists(0, running_lists(Vec::new()));
    assert_eq!(holder.app.world().hosts.get(host).unwrap().free_resources().cpu_milli, 8_000);
}

#[test]
fn run_of_unknown_size_blocks_its_host() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.report_lists(0, running_lists(vec![running(&task_name(99, 0, 0), 1)]));
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    assert!(holder.starts().is_empty());
}

/// A gang of nine needs two hosts, as one host fits eight tasks.
#[test]
fn gang_starts_entirely_or_not_at_all() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.add_job(1, vec![StepSpec { gang: true, ..step(9) }]);
    holder.tick(10);
    assert!(holder.starts().is_empty());
    let mut holder = TestDaemon::with_hosts(2);
    holder.add_job(1, vec![StepSpec { gang: true, ..step(9) }]);
    holder.tick(10);
    let starts = holder.starts();
    assert_eq!(starts.len(), 9);
    assert!(
        starts.iter().all(|(_, _, run_number)| *run_number == starts[0].2),
        "all members share one run number"
    );
}

#[test]
fn gang_completes_with_its_first_completed_member() {
    let mut holder = TestDaemon::with_hosts(1);
    let job = holder.add_job(1, vec![StepSpec { gang: true, ..step(3) }]);
    holder.tick(10);
    holder.confirm_starts();
    holder.report_lists(0, ended_lists(vec![end(1, &task_name(1, 0, 1), 1, RunEnding::Done)]));
    assert_eq!(holder.app.world().jobs.get(job).unwrap().state, JobState::Completed);
}

/// One of three members fails, so the other two are stopped.
///
/// Then all three start again.
#[test]
fn broken_gang_is_stopped_and_restarted_entirely() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.add_job(1, vec![StepSpec { gang: true, ..step(3) }]);
    holder.tick(10);
    holder.confirm_starts();
    holder.report_lists(
        0,
        HostLists {
            started_unix_ms: None,
            may_have_more_ends: false,
            running: vec![running(&task_name(1, 0, 0), 1), running(&task_name(1, 0, 2), 1)],
            ended: vec![end(1, &task_name(1, 0, 1), 1, RunEnding::Failed)],
        },
    );
    let stops = holder.orders().filter(|order| matches!(order.order, Order::Stop { .. })).count();
    assert_eq!(stops, 2);
    let gang_step = holder.app.world().jobs.tasks[holder.task(&task_name(1, 0, 0))].step;
    assert_eq!(holder.app.world().jobs.steps[gang_step].gang_failed_runs, [1]);
    holder.report_lists(
        0,
        ended_lists(vec![
            end(2, &task_name(1, 0, 0), 1, RunEnding::Broken),
            end(3, &task_name(1, 0, 2), 1, RunEnding::Failed),
        ]),
    );
    assert_eq!(
        holder.app.world().jobs.steps[gang_step].gang_failed_runs,
        [1],
        "a failed gang run counts once"
    );
    for _ in 0..10 {
        holder.tick(500);
    }
    assert_eq!(holder.app.world().counters.starts, 6);
}

#[test]
fn draining_hosts_get_no_tasks() {
    let mut holder = TestDaemon::with_hosts(1);
    let host = holder.host(0);
    holder.app.world_mut().hosts.get_mut(host).unwrap().draining_since_ms = Some(1_000);
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    assert!(holder.starts().is_empty());
}

/// A later holder would miss runs on hosts outside the roster.
#[test]
fn host_outside_the_roster_gets_no_tasks() {
    let mut holder = TestDaemon::with_hosts(1);
    let host = holder.host(0);
    holder.app.world_mut().hosts.get_mut(host).unwrap().in_roster = false;
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    assert!(holder.starts().is_empty());
    let roster = holder.commits(|call| call.purpose == StorePurpose::WriteRoster);
    holder.answer_store(roster[0].clone(), Ok(StoreReply::Committed { revision: 70 }));
    holder.tick(10);
    assert_eq!(holder.app.world().counters.starts, 1);
}

#[test]
fn fillers_reserve_no_cpu_and_yield_to_serving_tasks() {
    let mut holder = TestDaemon::with_hosts(1);
    let filler = StepSpec { filler: true, task_size: Resources::new(8_000, 100, 0), ..step(1) };
    let serving = StepSpec { runs_until_cancelled: true, tail_target_ms: Some(100), ..step(1) };
    holder.add_job(1, vec![filler]);
    holder.add_job(2, vec![serving]);
    holder.tick(10);
    assert_eq!(holder.starts().len(), 2, "a filler reserves no CPU");
    holder.confirm_starts();
    let mut tail = running(&task_name(2, 0, 0), 1);
    tail.load = 150;
    holder.tick(800);
    holder.report_lists(0, running_lists(vec![running(&task_name(1, 0, 0), 1), tail]));
    let pace = holder.orders().find_map(|order| match order.order {
        Order::SetPace { percent, .. } => Some(percent),
        _ => None,
    });
    assert_eq!(pace, Some(0));
}

/// The ticket was issued before the host last restarted.
///
/// A new one allows the start.
#[test]
fn ticket_of_an_earlier_host_incarnation_is_ignored() {
    let mut holder = TestDaemon::with_hosts(1);
    let now_ms = holder.now_ms;
    let job = holder.add_advised_job(1, 2_500);
    let host = holder.host(0);
    let step_key = holder.app.world().jobs.get(job).unwrap().steps().next().unwrap();
    let mut ticket = Ticket { text: Arc::from("t"), expires_at_ms: now_ms + 2_000, host_started_unix_ms: 1 };
    holder.app.world_mut().jobs.approve_host(step_key, host, ticket.clone());
    holder.tick(10);
    assert!(holder.starts().is_empty());
    ticket.host_started_unix_ms = host_entry(0).started_unix_ms;
    holder.app.world_mut().jobs.approve_host(step_key, host, ticket);
    holder.tick(10);
    assert_eq!(holder.starts().len(), 1);
}

/// Counts the advice calls of the last tick.
fn advice_calls(holder: &TestDaemon) -> usize {
    holder.effects.iter().filter(|effect| matches!(effect, Effect::RequestAdvice { .. })).count()
}

/// Six jobs need advice.
///
/// The only daemon that could get it has overdue answers.
#[test]
fn unanswered_advice_stops_further_calls() {
    let mut holder = TestDaemon::with_hosts(20);
    holder.add_member(0);
    for id in 1..=6 {
        holder.add_advised_job(id, 2_500);
    }
    let mut calls = 0;
    for _ in 0..100 {
        holder.tick(20);
        calls += advice_calls(&holder);
    }
    assert!(calls <= 2, "{calls} advice calls although none was answered");
    // A late answer still counts, and the next call follows.
    let call = *holder.app.world().advice.open_calls.keys().min().unwrap();
    let answer = AdviceAnswer {
        call,
        approved: Some(vec![cassiahoist_world::advice::ApprovedHost {
            host: host_entry(0).name,
            ticket: Arc::from("t"),
        }]),
        ticket_ms: 2_500,
        took_ms: 2_000,
    };
    holder.receive_event(Event::AdviceReceived(answer));
    assert_eq!(holder.starts().len(), 1);
}

/// Answers reach the holder late since its own link or processor is slow.
///
/// It took the daemons that made the calls for late ones, and repeated the calls.
#[test]
fn advice_calls_allow_for_slow_answers_at_the_holder() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.add_member(0);
    for id in 1..=2 {
        holder.add_advised_job(id, 2_500);
    }
    holder.app.world_mut().holding.answer_times.min_latency_ms = 200;
    let mut calls = 0;
    for _ in 0..10 {
        holder.tick(100);
        calls += advice_calls(&holder);
    }
    assert_eq!(calls, 2, "one call for each step, and none is repeated within a second");
    assert!(holder.app.world().advice.open_calls.values().all(|call| !call.abandoned));
}

/// A host that was rejected restarts, and its new incarnation may be of another kind. No step asked about it again.
#[test]
fn restarted_host_is_asked_about_again() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.add_member(0);
    holder.add_advised_job(1, 2_500);
    holder.tick(10);
    let call = *holder.app.world().advice.open_calls.keys().min().unwrap();
    let answer = serde_json::json!({"call": call, "good": [], "ticket_ms": 2_500, "took_ms": 0});
    holder.receive_event(Event::AdviceReceived(serde_json::from_value(answer).unwrap()));
    let mut calls = 0;
    for _ in 0..20 {
        holder.tick(20);
        calls += advice_calls(&holder);
    }
    assert_eq!(calls, 0, "the service's answer on a host does not change");
    let host = holder.host(0);
    holder.app.world_mut().hosts.get_mut(host).unwrap().entry.started_unix_ms += 60_000;
    for _ in 0..20 {
        holder.tick(20);
        calls += advice_calls(&holder);
    }
    assert_eq!(calls, 1);
}

/// A holder reads an answer with advice long after the service gave it, as over a full link or between long ticks.
///
/// It took the tickets for valid from then on, and hosts refused the starts.
#[test]
fn lifetime_of_a_ticket_counts_from_the_answer_of_the_service() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.add_member(0);
    holder.add_advised_job(1, 600);
    holder.tick(10);
    let (call, sent_at_ms) = (*holder.app.world().advice.open_calls.keys().min().unwrap(), holder.now_ms);
    holder.now_ms += 400;
    // An answer on the wire, as daemons of any version send it.
    let answer = serde_json::json!({
        "call": call,
        "good": [{"host": host_entry(0).name, "ticket": "t"}],
        "ticket_ms": 600,
        "took_ms": 30,
    });
    holder.receive_event(Event::AdviceReceived(serde_json::from_value(answer).unwrap()));
    let step = holder.app.world().jobs.steps.values().next().unwrap();
    let tickets = step.advice.approved_hosts.values();
    assert_eq!(tickets.map(|ticket| ticket.expires_at_ms).collect::<Vec<_>>(), [sent_at_ms + 30 + 600]);
}

#[test]
fn tasks_respect_pool_label_and_limit_per_host() {
    let mut holder = TestDaemon::with_hosts(3);
    let labelled = holder.host(1);
    let other_pool = holder.host(2);
    let world = holder.app.world_mut();
    world.hosts.get_mut(labelled).unwrap().entry.labels = vec!["b".into(), "r1-0".into()];
    let other = world.hosts.get_mut(other_pool).unwrap();
    other.entry.labels = vec!["b".into(), "r1-0".into()];
    other.entry.pool = PoolName::new("elsewhere").unwrap();
    let wanted = StepSpec { required_label: Some("b".into()), max_per_host: Some(2), ..step(5) };
    holder.add_job(1, vec![wanted]);
    holder.tick(10);
    let starts = holder.starts();
    assert_eq!(starts.len(), 2, "{starts:?}");
    assert!(starts.iter().all(|(host, ..)| host == "i-1"), "{starts:?}");
}

/// Many hosts begin to fail at a time, and most of them have failed nothing yet when a failed task runs again.
///
/// Its last attempt goes to the one host on which a task has just completed, although another is packed tighter.
#[test]
fn last_attempt_goes_to_a_host_that_has_just_completed_a_task() {
    let mut holder = TestDaemon::with_hosts(3);
    let proven = holder.host(2);
    let packed = holder.host(1);
    let failed = holder.host(0);
    let job = holder.add_job(1, vec![step(1)]);
    let now_ms = holder.now_ms;
    let world = holder.app.world_mut();
    world.hosts.get_mut(proven).unwrap().standing.last_done_at_ms = now_ms;
    world.hosts.get_mut(packed).unwrap().reserved = Resources::new(6_000, 0, 0);
    let step_key = world.jobs.get(job).unwrap().steps().next().unwrap();
    let task = world.jobs.steps[step_key].tasks[0];
    world.jobs.tasks[task].failed_runs.push(1);
    world.jobs.tasks[task].failed_hosts.push(failed);
    holder.tick(10);
    let starts = holder.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].0, "i-2");
}

/// Adds a job of one task whose call for advice takes `call_ms`.
fn add_job_with_advice_of(holder: &mut TestDaemon, id: u64, call_ms: f64) {
    let mut job = job_record(id, vec![step(1)]);
    let policy = Arc::make_mut(&mut Arc::make_mut(&mut job).policy);
    policy.advice = Some(AdviceCost { call_ms, per_host_ms: 0.0, ticket_ms: 2_500 });
    let now_ms = holder.now_ms;
    cassiahoist_jobs::insert_job(holder.app.world_mut(), &job, None, now_ms);
}

/// A daemon's second call takes a second, and its first one was answered.
///
/// The answer marked the daemon as free, so that short calls of urgent steps waited behind the long one at the service
/// until they were abandoned.
#[test]
fn daemon_with_a_long_call_gets_no_further_one() {
    let mut holder = TestDaemon::with_hosts(4);
    holder.add_member(0);
    add_job_with_advice_of(&mut holder, 1, 20.0);
    holder.tick(10);
    assert_eq!(advice_calls(&holder), 1);
    add_job_with_advice_of(&mut holder, 2, 1_000.0);
    holder.tick(15);
    assert_eq!(advice_calls(&holder), 1, "the next call is sent shortly before the first is answered");
    let call = *holder.app.world().advice.open_calls.keys().min().unwrap();
    let answer = AdviceAnswer { call, approved: Some(Vec::new()), ticket_ms: 2_500, took_ms: 20 };
    holder.receive_event(Event::AdviceReceived(answer));
    add_job_with_advice_of(&mut holder, 3, 20.0);
    let mut waited_ms = 0;
    while advice_calls(&holder) == 0 {
        holder.tick(10);
        waited_ms += 10;
        assert!(waited_ms < 2_000, "the daemon gets a call once the long one ends");
    }
    assert!(waited_ms >= 900, "a call after {waited_ms} ms");
}
