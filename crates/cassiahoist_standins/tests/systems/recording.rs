//! Records of progress and ended runs in the store.

use std::collections::VecDeque;
use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_jobs::insert_job;
use cassiahoist_world::event::Event;
use cassiahoist_world::orders::{HostLists, HostOrder, Order, OrderCompletion, OrderOutcome, RunEnding};
use cassiahoist_world::record::JobState;
use cassiahoist_world::spec::StepSpec;
use cassiahoist_world::store::{
    KeySpace, StoreCall, StoreCompletion, StoreFailure, StoreItem, StoreKey, StoreOp, StorePurpose,
    StoreReply, StoreValue,
};

use crate::support::{
    FENCE, TestDaemon, end, ended_lists, entry_change, host_entry, job_record, step, task_name,
};

#[test]
fn host_may_drop_an_end_only_after_it_is_recorded() {
    let mut holder = TestDaemon::with_running_tasks(1, 1);
    holder.tick(50);
    holder.report_lists(0, ended_lists(vec![end(1, &task_name(1, 0, 0), 1, RunEnding::Done)]));
    let commit = holder.commits(|call| matches!(call.purpose, StorePurpose::RecordProgress(_)));
    let host = holder.host(0);
    assert_eq!(holder.app.world().hosts.get(host).unwrap().last_end_recorded, 0);
    let job = holder.app.world().jobs.find(&JobId(1)).unwrap();
    assert_eq!(holder.app.world().jobs.get(job).unwrap().recorded_state, JobState::Queued);
    holder.answer_store(commit[0].clone(), Ok(StoreReply::Committed { revision: 60 }));
    assert_eq!(holder.app.world().hosts.get(host).unwrap().last_end_recorded, 1);
    assert_eq!(holder.app.world().jobs.get(job).unwrap().recorded_state, JobState::Completed);
}

#[test]
fn lost_progress_write_is_repeated() {
    let mut holder = TestDaemon::with_running_tasks(1, 1);
    holder.tick(50);
    holder.report_lists(0, ended_lists(vec![end(1, &task_name(1, 0, 0), 1, RunEnding::Done)]));
    let commit = holder.commits(|call| matches!(call.purpose, StorePurpose::RecordProgress(_)));
    holder.answer_store(commit[0].clone(), Err(StoreFailure::Unknown));
    holder.tick(300);
    let again = holder.commits(|call| matches!(call.purpose, StorePurpose::RecordProgress(_)));
    assert_eq!(again.len(), 1);
    // The first write took effect after all, so the next attempt has to expect its revision.
    let claim = StoreItem { key: StoreKey::Claim(SliceId(0)), value: StoreValue::Cancel, revision: FENCE.0 };
    let progress = StoreItem { key: StoreKey::Progress(JobId(1)), value: StoreValue::Cancel, revision: 61 };
    holder.answer_store(again[0].clone(), Ok(StoreReply::Conflict { items: vec![claim, progress] }));
    holder.tick(300);
    let third = holder.commits(|call| matches!(call.purpose, StorePurpose::RecordProgress(_)));
    let StoreOp::Commit(transaction) = &third[0].op else { unreachable!() };
    assert!(transaction.expect.contains(&(StoreKey::Progress(JobId(1)), 61)));
}

#[test]
fn progress_write_against_a_newer_claim_ends_the_holding() {
    let mut holder = TestDaemon::with_running_tasks(1, 1);
    holder.tick(50);
    holder.report_lists(0, ended_lists(vec![end(1, &task_name(1, 0, 0), 1, RunEnding::Done)]));
    let commit = holder.commits(|call| matches!(call.purpose, StorePurpose::RecordProgress(_)));
    let claim =
        StoreItem { key: StoreKey::Claim(SliceId(0)), value: StoreValue::Cancel, revision: FENCE.0 + 9 };
    holder.answer_store(commit[0].clone(), Ok(StoreReply::Conflict { items: vec![claim] }));
    assert!(holder.app.world().holding.fence().is_none());
    assert!(holder.app.world().jobs.is_empty());
}

#[test]
fn only_ends_that_complete_a_job_are_recorded_at_once() {
    let recorded_after_ms = |tasks: u32| {
        let mut holder = TestDaemon::with_running_tasks(1, tasks);
        holder.tick(300);
        // Earlier progress has just been recorded.
        let now_ms = holder.now_ms;
        let world = holder.app.world_mut();
        world.jobs.unrecorded_jobs.clear();
        world.store_writes.flush = None;
        world.store_writes.next_flush_at_ms = now_ms + 40;
        let from_ms = holder.now_ms;
        holder.report_lists(0, ended_lists(vec![end(1, &task_name(1, 0, 0), 1, RunEnding::Done)]));
        while holder.commits(|call| matches!(call.purpose, StorePurpose::RecordProgress(_))).is_empty() {
            holder.tick(1);
            assert!(holder.now_ms < from_ms + 1_000, "no progress was recorded");
        }
        holder.now_ms - from_ms
    };
    assert!(recorded_after_ms(1) <= 40, "the caller is answered only after the record");
    assert!(recorded_after_ms(2) > 40);
}

/// The answer to a progress write arrives after this daemon lost the slice and claimed it again.
///
/// It must not count for a write of the new holding, whose progress is not stored yet.
#[test]
fn late_answer_of_an_earlier_holding_records_nothing() {
    let mut holder = TestDaemon::with_running_tasks(1, 1);
    holder.tick(50);
    holder.report_lists(0, ended_lists(vec![end(1, &task_name(1, 0, 0), 1, RunEnding::Done)]));
    let early = holder.commits(|call| matches!(call.purpose, StorePurpose::RecordProgress(_)));
    let world = holder.app.world_mut();
    world.store_writes.clear();
    let job = world.jobs.find(&JobId(1)).unwrap();
    world.jobs.unrecorded_jobs.insert(job);
    holder.tick(200);
    let present = holder.commits(|call| matches!(call.purpose, StorePurpose::RecordProgress(_)));
    assert_ne!(early[0].purpose, present[0].purpose);
    holder.answer_store(early[0].clone(), Ok(StoreReply::Committed { revision: 60 }));
    assert_eq!(holder.app.world().jobs.get(job).unwrap().recorded_state, JobState::Queued);
    holder.answer_store(present[0].clone(), Ok(StoreReply::Committed { revision: 61 }));
    assert_eq!(holder.app.world().jobs.get(job).unwrap().recorded_state, JobState::Completed);
}

/// Delivers a host's answer with the next tick.
fn push_answer(holder: &mut TestDaemon, order: HostOrder, outcome: OrderOutcome) {
    let completion = OrderCompletion {
        order,
        issued_at_ms: holder.now_ms,
        host_clock_ms: Some(holder.now_ms + 9_000),
        completed_at_ms: holder.now_ms,
        outcome,
    };
    holder.app.push_event(Event::OrderCompleted(Box::new(completion)));
}

/// Reports an end every 40 ms for two seconds, and returns how many flushes recorded them.
///
/// The holder has more tasks to start than its link carries if `link_mbps` is low.
fn count_flushes(link_mbps: u32) -> usize {
    let mut holder = TestDaemon::with_hosts(60);
    holder.app.world_mut().local.limits.link_mbps = link_mbps;
    let mut job = job_record(1, vec![StepSpec { max_per_host: Some(1), ..step(400) }]);
    Arc::make_mut(&mut job).spec.argument = "x".repeat(3_500);
    let now_ms = holder.now_ms;
    insert_job(holder.app.world_mut(), &job, None, now_ms);
    let (mut flush_count, mut started, mut last_end_numbers) = (0, VecDeque::new(), [0; 60]);
    for round in 0..250 {
        holder.tick(10);
        let commits = holder.commits(|call| matches!(call.purpose, StorePurpose::RecordProgress(_)));
        flush_count += if round < 50 { 0 } else { commits.len() };
        for call in commits {
            let (purpose, outcome) = (call.purpose, Ok(StoreReply::Committed { revision: 60 + round }));
            let completion = StoreCompletion { purpose, issued_at_ms: holder.now_ms, outcome };
            holder.app.push_event(Event::StoreCompleted(Box::new(completion)));
        }
        let starts: Vec<HostOrder> =
            holder.orders().filter(|order| matches!(order.order, Order::Start { .. })).cloned().collect();
        for order in starts {
            let Order::Start { task, run_number, .. } = order.order else { continue };
            started.push_back((order.host, task, run_number));
            push_answer(&mut holder, order, OrderOutcome::Done { lists: None });
        }
        if round % 4 == 0
            && let Some((host, task, run_number)) = started.pop_front()
        {
            let row = &holder.app.world().hosts.get(host).unwrap().entry;
            let (host_name, address) = (row.name.clone(), row.address.clone());
            let number: usize = host_name.as_str().trim_start_matches("i-").parse().unwrap();
            last_end_numbers[number] += 1;
            let ended = end(last_end_numbers[number], &task.to_string(), run_number, RunEnding::Done);
            let order = Order::Poll { lease_until_ms: None, last_end_recorded: 0, wait_ms: 0 };
            let poll = HostOrder { host, host_name, address, fence: FENCE, order, timeout_ms: 100 };
            push_answer(&mut holder, poll, OrderOutcome::Done { lists: Some(ended_lists(vec![ended])) });
        }
    }
    flush_count
}

/// Each flush writes the whole record of every job that changed. On a link full of start orders these records took a
/// tenth of the bytes, and tasks waited for the link.
#[test]
fn flushes_are_fewer_while_start_orders_fill_the_link() {
    let (on_full_link, on_fast_link) = (count_flushes(2), count_flushes(1_000));
    assert!(on_fast_link >= 10, "{on_fast_link} flushes without need");
    assert!(on_full_link * 3 <= on_fast_link * 2, "{on_full_link} flushes against {on_fast_link}");
}

/// Returns the jobs whose progress a commit writes.
fn jobs_in(commit: &StoreCall) -> Vec<JobId> {
    let StoreOp::Commit(transaction) = &commit.op else { unreachable!() };
    let keys = transaction.puts.iter().map(|put| &put.key);
    keys.filter_map(|key| if let StoreKey::Progress(job) = key { Some(*job) } else { None }).collect()
}

/// One of the transactions of a flush fails. No end of any host was recorded then, so that hosts listed all of them again
/// and again.
#[test]
fn failed_commit_leaves_only_ends_of_its_jobs_unrecorded() {
    let mut holder = TestDaemon::with_hosts(4);
    for id in 1..=20 {
        holder.add_job(id, vec![StepSpec { max_per_host: Some(5), ..step(1) }]);
    }
    holder.tick(10);
    let starts = holder.starts();
    assert_eq!(starts.len(), 20);
    holder.confirm_starts();
    holder.tick(300);
    holder.app.world_mut().store_writes.flush = None;
    holder.app.world_mut().store_writes.next_flush_at_ms = holder.now_ms + 100;
    let mut ended_jobs: [Vec<JobId>; 4] = Default::default();
    for (number, jobs) in (0..).zip(&mut ended_jobs) {
        let on_host = starts.iter().filter(|(host, ..)| *host == format!("i-{number}"));
        let ends = (1..).zip(on_host).map(|(end_number, (_, task, run_number))| {
            jobs.push(task.parse::<TaskName>().unwrap().step.job);
            end(end_number, task, *run_number, RunEnding::Done)
        });
        let ends: Vec<_> = ends.collect();
        holder.report_lists(number, ended_lists(ends));
    }
    holder.tick(100);
    let commits = holder.commits(|call| matches!(call.purpose, StorePurpose::RecordProgress(_)));
    assert_eq!(commits.len(), 2);
    let failed_jobs = jobs_in(&commits[1]);
    holder.answer_store(commits[0].clone(), Ok(StoreReply::Committed { revision: 60 }));
    holder.answer_store(commits[1].clone(), Err(StoreFailure::NotApplied));
    let mut recorded_count = 0;
    for (number, jobs) in (0..).zip(&ended_jobs) {
        let expected = jobs.iter().take_while(|job| !failed_jobs.contains(job)).count() as u64;
        let host = holder.app.world().hosts.get(holder.host(number)).unwrap();
        assert_eq!(host.last_end_recorded, expected, "host {number}");
        recorded_count += expected;
    }
    assert!(recorded_count > 0, "every host lists an end of a failed job first");
    holder.tick(300);
    for commit in holder.commits(|call| matches!(call.purpose, StorePurpose::RecordProgress(_))) {
        holder.answer_store(commit, Ok(StoreReply::Committed { revision: 61 }));
    }
    for (number, jobs) in (0..).zip(&ended_jobs) {
        let host = holder.app.world().hosts.get(holder.host(number)).unwrap();
        assert_eq!(host.last_end_recorded, jobs.len() as u64, "host {number}");
    }
}

/// A host restarts while its ends are being recorded, and numbers its ends from 1 again.
///
/// Its new end 1 counted as recorded, so that it could be dropped, and a later holder would have run the task again.
#[test]
fn flush_from_before_a_restart_records_no_end_of_the_new_incarnation() {
    let mut holder = TestDaemon::with_running_tasks(1, 2);
    holder.tick(50);
    holder.report_lists(0, ended_lists(vec![end(1, &task_name(1, 0, 0), 1, RunEnding::Done)]));
    let commits = holder.commits(|call| matches!(call.purpose, StorePurpose::RecordProgress(_)));
    let mut entry = host_entry(0);
    entry.started_unix_ms += 60_000;
    let started_unix_ms = Some(entry.started_unix_ms);
    holder.receive_changes(KeySpace::Hosts, vec![entry_change(entry)], 70);
    let ended = vec![end(1, &task_name(1, 0, 1), 2, RunEnding::Done)];
    holder.report_lists(0, HostLists { started_unix_ms, ended, ..HostLists::default() });
    let host = holder.host(0);
    assert_eq!(holder.app.world().hosts.get(host).unwrap().last_end_applied, 1);
    holder.answer_store(commits[0].clone(), Ok(StoreReply::Committed { revision: 60 }));
    assert_eq!(holder.app.world().hosts.get(host).unwrap().last_end_recorded, 0);
}

/// Jobs end faster than ten in five seconds. Their records and rows stayed for longer and longer, and each new holder had to
/// read all of them.
#[test]
fn old_jobs_are_removed_as_fast_as_they_expire() {
    let mut holder = TestDaemon::with_hosts(0);
    for id in 1..=60 {
        let key = holder.add_job(id, vec![step(1)]);
        let job = holder.app.world_mut().jobs.get_mut(key).unwrap();
        job.state = JobState::Completed;
        job.recorded_state = JobState::Completed;
        job.ended_unix_ms = 1;
    }
    let from_ms = holder.now_ms;
    while !holder.app.world().jobs.is_empty() {
        holder.tick(50);
        assert!(holder.now_ms < from_ms + 5_000, "{} jobs are left", holder.app.world().jobs.len());
        for call in holder.commits(|call| call.purpose == StorePurpose::RemoveJobs) {
            holder.answer_store(call, Ok(StoreReply::Committed { revision: 60 }));
        }
    }
}

/// Many hosts leave within a short time. The whole roster was written for each, on a link that tasks wait for.
#[test]
fn removals_from_the_roster_are_collected() {
    let mut holder = TestDaemon::with_hosts(4);
    holder.tick(2_000);
    let mut writes = 0;
    for _ in 0..50 {
        holder.app.world_mut().store_writes.roster_stale = true;
        holder.tick(20);
        for call in holder.commits(|call| call.purpose == StorePurpose::WriteRoster) {
            writes += 1;
            holder.answer_store(call, Ok(StoreReply::Committed { revision: 60 + writes }));
        }
    }
    assert!((1..=2).contains(&writes), "{writes} writes in a second");
    // A host can get no work before the roster lists it, so that is not put off.
    let host = holder.host(0);
    holder.app.world_mut().hosts.get_mut(host).unwrap().in_roster = false;
    holder.tick(20);
    assert_eq!(holder.commits(|call| call.purpose == StorePurpose::WriteRoster).len(), 1);
}
