//! Runs: settled, stopped, counted and adopted.

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::Adoption;
use cassiahoist_world::orders::{Order, OrderOutcome, RefusalReason, RunEnding, RunningReport};
use cassiahoist_world::record::JobState;
use cassiahoist_world::spec::StepSpec;
use cassiahoist_world::store::{StorePurpose, StoreReply};

use crate::support::{Holder, end, ends, lists, report, running, step, task_name};

#[test]
fn a_failed_run_counts_once_also_if_a_later_run_was_adopted_first() {
    let mut holder = Holder::new(2);
    let job = holder.add_job(1, vec![step(1)]);
    let name = task_name(1, 0, 0);
    // The later run is listed before the failed end of the earlier one.
    holder.list(0, lists(vec![running(&name, 2)]));
    holder.list(1, ends(vec![end(1, &name, 1, RunEnding::Failed)]));
    holder.list(1, ends(vec![end(1, &name, 1, RunEnding::Failed)]));
    let task = holder.task(&name);
    assert_eq!(holder.app.world().jobs.tasks[task].failed_runs, [1]);
    holder.list(0, ends(vec![end(1, &name, 2, RunEnding::Failed)]));
    assert_eq!(holder.app.world().jobs.get(job).unwrap().state, JobState::Failed);
}

#[test]
fn an_unanswered_start_is_settled_before_the_task_runs_elsewhere() {
    let mut holder = Holder::new(2);
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    let start = holder.orders().find(|order| matches!(order.order, Order::Start { .. })).cloned().unwrap();
    let host = u64::from(start.name != report(0).name);
    holder.answer(start.clone(), OrderOutcome::Unknown, None);
    let stop = holder.orders().find(|order| matches!(order.order, Order::Stop { .. })).cloned().unwrap();
    assert_eq!(stop.name, start.name);
    holder.tick(500);
    assert!(holder.starts().is_empty(), "nothing runs elsewhere before the stop is taken");
    holder.answer(stop, OrderOutcome::Done { lists: None }, Some(3_000));
    holder.tick(10);
    assert!(holder.starts().is_empty(), "only a poll after the stop shows that the run never began");
    holder.list(host, lists(Vec::new()));
    holder.tick(30);
    let task = holder.task(&task_name(1, 0, 0));
    assert_eq!(holder.app.world().jobs.tasks[task].last_number, 2);
}

#[test]
fn a_refused_fence_ends_the_holding_at_once() {
    let mut holder = Holder::new(1);
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    let start = holder.orders().next().cloned().unwrap();
    holder.answer(start, OrderOutcome::Refused(RefusalReason::Fence), Some(2_000));
    assert!(holder.app.world().holding.fence().is_none());
    assert_eq!(holder.orders().count(), 0);
    holder.tick(1_000);
    assert_eq!(holder.orders().count(), 0);
}

#[test]
fn nothing_starts_after_a_pause_before_the_store_confirms_the_lease() {
    let mut holder = Holder::new(1);
    holder.tick(100);
    let keep = holder.store_calls().find(|call| call.purpose == StorePurpose::Keep).cloned().unwrap();
    holder.answer_store(keep, Ok(StoreReply::Leased { lease: 7, ttl_ms: 2_000 }));
    holder.add_job(1, vec![step(1)]);
    holder.tick(3_000);
    assert!(holder.starts().is_empty());
    let keep = holder.store_calls().find(|call| call.purpose == StorePurpose::Keep).cloned().unwrap();
    holder.answer_store(keep, Ok(StoreReply::Leased { lease: 7, ttl_ms: 2_000 }));
    holder.tick(10);
    assert_eq!(holder.app.world().counters.starts, 1);
}

#[test]
fn lasting_tasks_start_again_however_they_end() {
    let mut holder = Holder::new(2);
    holder.add_job(1, vec![StepSpec { lasting: true, ..step(1) }]);
    for number in 1..=4 {
        holder.tick(200);
        let starts = holder.starts();
        assert_eq!(starts.len(), 1, "start {number}");
        holder.confirm_starts();
        let host = u64::from(starts[0].0 != "i-0");
        let ended = holder.app.world().hosts.get(holder.host(host)).unwrap().ends_read + 1;
        holder.list(host, ends(vec![end(ended, &starts[0].1, starts[0].2, RunEnding::Failed)]));
    }
}

#[test]
fn a_host_that_fails_several_jobs_is_quarantined() {
    let mut holder = Holder::new(2);
    holder.add_job(1, vec![step(1)]);
    holder.add_job(2, vec![step(1)]);
    holder.tick(10);
    let starts = holder.starts();
    holder.confirm_starts();
    let host = u64::from(starts[0].0 != "i-0");
    holder.list(
        host,
        ends(vec![end(1, &starts[0].1, 1, RunEnding::Failed), end(2, &starts[1].1, 1, RunEnding::Failed)]),
    );
    let row = holder.app.world().hosts.get(holder.host(host)).unwrap();
    assert!(row.standing.quarantined_until_ms >= holder.now_ms + 2_900);
    holder.tick(30);
    assert!(holder.starts().iter().all(|(name, ..)| *name != starts[0].0));
}

#[test]
fn an_inherited_task_waits_for_hosts_that_were_not_asked() {
    let mut holder = Holder::new(2);
    let host = holder.host(1);
    holder.app.world_mut().hosts.get_mut(host).unwrap().adoption = Adoption::Unknown;
    let job = holder.add_job(1, vec![step(1)]);
    holder.app.world_mut().jobs.get_mut(job).unwrap().inherited = true;
    holder.tick(100);
    assert!(holder.starts().is_empty());
    holder.list(1, lists(Vec::new()));
    holder.tick(30);
    assert_eq!(holder.app.world().counters.starts, 1);
}

#[test]
fn a_poll_that_was_not_answered_is_repeated_soon() {
    let mut holder = Holder::new(1);
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    let look = holder.orders().find(|order| matches!(order.order, Order::Poll { .. })).cloned().unwrap();
    holder.confirm_starts();
    holder.tick(800);
    holder.answer(look, OrderOutcome::Unknown, None);
    holder.tick(40);
    let wait_ms = holder.orders().find_map(|order| match order.order {
        Order::Poll { wait_ms, .. } => Some(wait_ms),
        _ => None,
    });
    assert!(wait_ms.is_some_and(|wait_ms| wait_ms <= 350), "{wait_ms:?}");
}

#[test]
fn a_lasting_task_at_work_is_never_stopped_or_moved() {
    let mut holder = Holder::new(3);
    holder.add_job(1, vec![StepSpec { lasting: true, disruption_budget: Some(1), ..step(2) }]);
    holder.tick(10);
    holder.confirm_starts();
    // Room elsewhere comes and goes, jobs arrive and end; the tasks stand at 100 percent all the while.
    for round in 0..60 {
        let at_work: Vec<(u64, String)> = (0..3)
            .flat_map(|host| {
                let key = holder.host(host);
                let world = holder.app.world();
                let runs = world.hosts.get(key).unwrap().runs.clone();
                runs.into_iter().map(move |run| (host, run)).collect::<Vec<_>>()
            })
            .map(|(host, run)| (host, holder.app.world().runs.rows[run].name.to_string()))
            .filter(|(_, name)| name.starts_with(&format!("{}.", JobId(1))))
            .collect();
        assert_eq!(at_work.len(), 2, "round {round}");
        for host in 0..3 {
            let listed = at_work.iter().filter(|(on, _)| *on == host);
            let rows = listed.map(|(_, name)| RunningReport { percent: 100, ..running(name, 1) }).collect();
            holder.list(host, lists(rows));
            assert!(!holder.orders().any(|order| matches!(order.order, Order::Stop { .. })), "round {round}");
        }
        holder.tick(1_000);
        assert!(!holder.orders().any(|order| matches!(order.order, Order::Stop { .. })), "round {round}");
    }
}

#[test]
fn an_inherited_task_waits_a_lease_from_the_first_polls() {
    let mut holder = Holder::new(2);
    let host = holder.host(1);
    let world = holder.app.world_mut();
    world.hosts.get_mut(host).unwrap().adoption = Adoption::Unknown;
    // The records took long to read, and the earlier holder renewed leases meanwhile.
    let claimed_ms = world.holding.since_ms().unwrap();
    world.holding.polled_from_ms = claimed_ms + 6_000;
    let job = holder.add_job(1, vec![step(1)]);
    holder.app.world_mut().jobs.get_mut(job).unwrap().inherited = true;
    holder.tick(6_010);
    assert!(holder.starts().is_empty(), "a host that was not asked may still run it");
}
