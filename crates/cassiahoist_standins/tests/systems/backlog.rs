//! Work of the holder's ticks while many steps wait.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_jobs::insert_job;
use cassiahoist_world::advice::AdviceAnswer;
use cassiahoist_world::config::AdviceCost;
use cassiahoist_world::event::Event;
use cassiahoist_world::record::MemberRecord;
use cassiahoist_world::world::World;

use crate::support::{TestDaemon, job_record, step};

/// Number of jobs that wait, one step each.
const BACKLOG: u64 = 600;

/// Creates a holder whose hosts are full, with a backlog of steps that need advice.
fn holder_with_backlog() -> TestDaemon {
    holder_with_waiting_jobs(BACKLOG)
}

fn holder_with_waiting_jobs(job_count: u64) -> TestDaemon {
    let mut holder = TestDaemon::with_hosts(4);
    for key in holder.app.world().hosts.engaged_keys() {
        let host = holder.app.world_mut().hosts.get_mut(key).unwrap();
        host.reserved = host.entry.capacity;
    }
    holder.app.world_mut().members.insert(MemberRecord {
        incarnation: "edge-0#1".parse().unwrap(),
        peer_address: "10.1.0.0:7720".into(),
        domain: FailureDomain::new("obihiro").unwrap(),
        limits: MachineLimits::default(),
    });
    let now_ms = holder.now_ms;
    for id in 1..=job_count {
        let mut advised_job = job_record(id, vec![step(3)]);
        let policy = Arc::make_mut(&mut Arc::make_mut(&mut advised_job).policy);
        policy.advice = Some(AdviceCost { call_ms: 5.0, per_host_ms: 0.1, ticket_ms: 2_500 });
        insert_job(holder.app.world_mut(), &advised_job, None, now_ms);
    }
    holder
}

/// Counts the steps that were looked at and then put off.
fn looked_at(world: &World) -> usize {
    world.jobs.steps.values().filter(|step| step.advice.next_call_at_ms > 0).count()
}

/// Guards against a holder that can't leave overload: its ticks went over all hosts for each waiting step, so that a
/// backlog made them longer, fewer tasks started, and the backlog grew.
#[test]
fn rounds_of_advice_stay_short_however_many_steps_wait() {
    let mut holder = holder_with_backlog();
    holder.tick(1);
    let in_first_round = looked_at(holder.app.world());
    assert!((1..=32).contains(&in_first_round), "{in_first_round} of {BACKLOG} steps in one round");
}

/// A bound on each round must not leave out the steps behind those that wait for room.
#[test]
fn all_waiting_steps_get_their_turn_for_advice() {
    let mut holder = holder_with_backlog();
    for _ in 0..150 {
        holder.tick(5);
    }
    assert_eq!(looked_at(holder.app.world()), BACKLOG as usize);
}

/// Returns how many steps the rounds of `time_ms` visited, with a tick each millisecond.
fn visited_in(holder: &mut TestDaemon, time_ms: u64) -> u64 {
    let visited_before = holder.app.world().counters.steps_visited;
    for _ in 0..time_ms {
        holder.tick(1);
    }
    holder.app.world().counters.steps_visited - visited_before
}

/// Guards against rounds that go over all waiting steps to find that none of them is due: a backlog of 4,000 steps cost
/// the holder 1.5 ms in each tick.
#[test]
fn steps_that_are_put_off_are_not_visited() {
    let mut holder = holder_with_backlog();
    for _ in 0..150 {
        holder.tick(5);
    }
    holder.app.world_mut().advice.next_request_at_ms = 0;
    let least_delay_ms = 40;
    let visited = visited_in(&mut holder, least_delay_ms);
    assert!(visited <= BACKLOG, "{visited} visits of {BACKLOG} steps, each of them put off for {BACKLOG} ms");
}

/// An index of due steps must not lose one whose call failed.
#[test]
fn step_whose_call_failed_gets_another_turn_for_advice() {
    let mut holder = holder_with_waiting_jobs(1);
    let host = holder.host(0);
    holder.app.world_mut().hosts.get_mut(host).unwrap().reserved = Resources::default();
    holder.tick(1);
    let open_call = |holder: &TestDaemon| {
        let steps = &holder.app.world().jobs.steps;
        steps.values().next().and_then(|step| step.advice.open_call)
    };
    for _ in 0..3 {
        let call = open_call(&holder).expect("a call for the step");
        holder.receive_event(Event::AdviceReceived(AdviceAnswer { call, approved: None, ticket_ms: 0 }));
        assert_eq!(open_call(&holder), None);
        holder.tick(100);
    }
}
