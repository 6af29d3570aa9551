//! Work of the holder's ticks while many steps wait.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_jobs::insert_job;
use cassiahoist_world::config::AdviceCost;
use cassiahoist_world::record::MemberRecord;
use cassiahoist_world::world::World;

use crate::support::{TestDaemon, job_record, step};

/// Number of jobs that wait, one step each.
const BACKLOG: u64 = 600;

/// Creates a holder whose hosts are full, with a backlog of steps that need advice.
fn holder_with_backlog() -> TestDaemon {
    let mut holder = TestDaemon::with_hosts(4);
    for key in holder.app.world().hosts.engaged_keys() {
        let host = holder.app.world_mut().hosts.get_mut(key).unwrap();
        host.reserved = host.entry.capacity;
    }
    holder.app.world_mut().members.insert(
        MemberRecord {
            incarnation: "edge-0#1".parse().unwrap(),
            peer_address: "10.1.0.0:7720".into(),
            domain: FailureDomain::new("obihiro").unwrap(),
            limits: MachineLimits::default(),
        },
        0,
    );
    let now_ms = holder.now_ms;
    for id in 1..=BACKLOG {
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
