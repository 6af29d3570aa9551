//! Runs of tasks: settling, stopping, counting and adoption.

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::Adoption;
use cassiahoist_world::orders::{Order, OrderOutcome, RefusalReason, RunEnding, RunReport};
use cassiahoist_world::record::JobState;
use cassiahoist_world::spec::StepSpec;
use cassiahoist_world::store::{StoreCall, StoreFailure, StorePurpose, StoreReply};

use crate::support::{TestDaemon, end, ended_lists, host_entry, running, running_lists, step, task_name};

#[test]
fn failed_run_counts_once_after_adopting_a_later_run() {
    let mut holder = TestDaemon::with_hosts(2);
    let job = holder.add_job(1, vec![step(1)]);
    let name = task_name(1, 0, 0);
    // The later run is listed before the failed end of the earlier one.
    holder.report_lists(0, running_lists(vec![running(&name, 2)]));
    holder.report_lists(1, ended_lists(vec![end(1, &name, 1, RunEnding::Failed)]));
    holder.report_lists(1, ended_lists(vec![end(1, &name, 1, RunEnding::Failed)]));
    let task = holder.task(&name);
    assert_eq!(holder.app.world().jobs.tasks[task].failed_runs, [1]);
    holder.report_lists(0, ended_lists(vec![end(1, &name, 2, RunEnding::Failed)]));
    assert_eq!(holder.app.world().jobs.get(job).unwrap().state, JobState::Failed);
}

#[test]
fn unanswered_start_is_settled_before_a_new_run() {
    let mut holder = TestDaemon::with_hosts(2);
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    let start = holder.orders().find(|order| matches!(order.order, Order::Start { .. })).cloned().unwrap();
    let host = u64::from(start.host_name != host_entry(0).name);
    holder.answer(start.clone(), OrderOutcome::Unknown, None);
    let stop = holder.orders().find(|order| matches!(order.order, Order::Stop { .. })).cloned().unwrap();
    assert_eq!(stop.host_name, start.host_name);
    holder.tick(500);
    assert!(holder.starts().is_empty(), "no new run before the host accepts the stop");
    let clock_ms = holder.now_ms;
    holder.answer(stop, OrderOutcome::Done { lists: None }, Some(clock_ms));
    holder.tick(10);
    assert!(holder.starts().is_empty(), "only a poll after the stop shows that the run never started");
    holder.report_lists(host, running_lists(Vec::new()));
    holder.tick(30);
    let task = holder.task(&task_name(1, 0, 0));
    assert_eq!(holder.app.world().jobs.tasks[task].last_run_number, 2);
}

#[test]
fn refused_fencing_token_ends_the_holding() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    let start = holder.orders().next().cloned().unwrap();
    holder.answer(start, OrderOutcome::Refused(RefusalReason::Fence), Some(2_000));
    assert!(holder.app.world().holding.fence().is_none());
    assert_eq!(holder.orders().count(), 0);
    holder.tick(1_000);
    assert_eq!(holder.orders().count(), 0);
}

/// A pause longer than the lease may have let another daemon claim the slice.
#[test]
fn no_start_after_a_pause_until_the_lease_is_renewed() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.tick(100);
    let renewal = holder.lease_renewal();
    holder.answer_store(renewal, Ok(StoreReply::LeaseGranted { lease: 7, ttl_ms: 2_000 }));
    holder.add_job(1, vec![step(1)]);
    holder.tick(3_000);
    assert!(holder.starts().is_empty());
    let renewal = holder.lease_renewal();
    holder.answer_store(renewal, Ok(StoreReply::LeaseGranted { lease: 7, ttl_ms: 2_000 }));
    holder.tick(10);
    assert_eq!(holder.app.world().counters.starts, 1);
}

/// After a pause the store stays silent, so another daemon may hold the slice.
///
/// Starts went on 1.5 s after the pause without a confirmed lease. A host that had restarted, and so knew no token, ran them
/// beside those of a new holder.
#[test]
fn no_start_after_a_pause_while_the_store_is_silent() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.tick(100);
    let renewal = holder.lease_renewal();
    holder.answer_store(renewal, Ok(StoreReply::LeaseGranted { lease: 7, ttl_ms: 2_000 }));
    holder.add_job(1, vec![step(1)]);
    holder.tick(3_000);
    for _ in 0..100 {
        let calls: Vec<StoreCall> =
            holder.store_calls().filter(|call| call.purpose == StorePurpose::RenewLease).cloned().collect();
        for call in calls {
            holder.answer_store(call, Err(StoreFailure::Unknown));
        }
        holder.tick(100);
        assert!(holder.starts().is_empty(), "at {} ms", holder.now_ms);
    }
    let renewal = loop {
        if let Some(call) = holder.store_calls().find(|call| call.purpose == StorePurpose::RenewLease) {
            break call.clone();
        }
        holder.tick(10);
    };
    holder.answer_store(renewal, Ok(StoreReply::LeaseGranted { lease: 7, ttl_ms: 2_000 }));
    holder.tick(10);
    assert_eq!(holder.app.world().counters.starts, 1);
}

/// The polls that were open during a pause of the holder all time out at its end.
///
/// Their hosts counted as unresponsive, and copies of their runs started elsewhere.
#[test]
fn polls_that_a_pause_left_unanswered_start_no_copies() {
    let mut holder = TestDaemon::with_hosts(2);
    holder.add_job(1, vec![StepSpec { allows_copies: true, ..step(1) }]);
    holder.tick(10);
    let is_poll = |order: &Order| matches!(order, Order::Poll { .. });
    let poll = holder.orders().find(|order| is_poll(&order.order)).cloned().unwrap();
    let renewal = holder.lease_renewal();
    holder.confirm_starts();
    let renewed = || Ok(StoreReply::LeaseGranted { lease: 7, ttl_ms: 1_500 });
    holder.answer_store(renewal, renewed());
    holder.tick(20);
    let (host, issued_at_ms) = (poll.host, holder.now_ms);
    holder.now_ms += 3_000;
    holder.answer_issued_at(poll, OrderOutcome::Unknown, None, issued_at_ms);
    assert_eq!(holder.app.world().hosts.get(host).unwrap().unresponsive_since_ms, None);
    let renewal = holder.lease_renewal();
    holder.tick(30);
    assert!(holder.orders().any(|order| is_poll(&order.order)), "the host is polled again soon");
    holder.answer_store(renewal, renewed());
    holder.tick(20);
    assert_eq!(holder.app.world().counters.starts, 1);
}

/// The lease ends 1.5 s after its last renewal, which may be 400 ms old when a pause begins.
///
/// A pause of 1.2 s passed for none, although the claim could be another daemon's by its end.
#[test]
fn no_start_after_a_pause_in_which_the_lease_may_have_ended() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.tick(100);
    let renewal = holder.lease_renewal();
    holder.answer_store(renewal, Ok(StoreReply::LeaseGranted { lease: 7, ttl_ms: 1_500 }));
    holder.tick(390);
    holder.add_job(1, vec![step(1)]);
    holder.tick(1_150);
    assert!(holder.starts().is_empty());
}

#[test]
fn failed_tasks_that_run_until_cancelled_always_restart() {
    let mut holder = TestDaemon::with_hosts(2);
    holder.add_job(1, vec![StepSpec { runs_until_cancelled: true, ..step(1) }]);
    for number in 1..=4 {
        holder.tick(200);
        let starts = holder.starts();
        assert_eq!(starts.len(), 1, "start {number}");
        holder.confirm_starts();
        let host = u64::from(starts[0].0 != "i-0");
        let end_number = holder.app.world().hosts.get(holder.host(host)).unwrap().last_end_applied + 1;
        holder.report_lists(
            host,
            ended_lists(vec![end(end_number, &starts[0].1, starts[0].2, RunEnding::Failed)]),
        );
    }
}

#[test]
fn host_failing_several_jobs_is_quarantined() {
    let mut holder = TestDaemon::with_hosts(2);
    holder.add_job(1, vec![step(1)]);
    holder.add_job(2, vec![step(1)]);
    holder.tick(10);
    let starts = holder.starts();
    holder.confirm_starts();
    let host = u64::from(starts[0].0 != "i-0");
    holder.report_lists(
        host,
        ended_lists(vec![
            end(1, &starts[0].1, 1, RunEnding::Failed),
            end(2, &starts[1].1, 1, RunEnding::Failed),
        ]),
    );
    let host_row = holder.app.world().hosts.get(holder.host(host)).unwrap();
    assert!(host_row.standing.quarantined_until_ms >= holder.now_ms + 2_900);
    holder.tick(30);
    assert!(holder.starts().iter().all(|(name, ..)| *name != starts[0].0));
}

/// A host that hasn't been adopted may still run the task.
#[test]
fn inherited_task_waits_until_all_hosts_are_adopted() {
    let mut holder = TestDaemon::with_hosts(2);
    let host = holder.host(1);
    holder.app.world_mut().hosts.get_mut(host).unwrap().adoption = Adoption::Unknown;
    let job = holder.add_job(1, vec![step(1)]);
    holder.app.world_mut().jobs.get_mut(job).unwrap().inherited = true;
    holder.tick(100);
    assert!(holder.starts().is_empty());
    holder.report_lists(1, running_lists(Vec::new()));
    holder.tick(30);
    assert_eq!(holder.app.world().counters.starts, 1);
}

#[test]
fn unanswered_poll_is_repeated_with_a_short_wait() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    let poll = holder.orders().find(|order| matches!(order.order, Order::Poll { .. })).cloned().unwrap();
    holder.confirm_starts();
    holder.tick(800);
    holder.answer(poll, OrderOutcome::Unknown, None);
    holder.tick(40);
    let wait_ms = holder.orders().find_map(|order| match order.order {
        Order::Poll { wait_ms, .. } => Some(wait_ms),
        _ => None,
    });
    assert!(wait_ms.is_some_and(|wait_ms| wait_ms <= 350), "{wait_ms:?}");
}

#[test]
fn task_that_runs_until_cancelled_is_never_stopped() {
    let mut holder = TestDaemon::with_hosts(3);
    holder.add_job(1, vec![StepSpec { runs_until_cancelled: true, disruption_budget: Some(1), ..step(2) }]);
    holder.tick(10);
    holder.confirm_starts();
    // Other hosts have free resources, and the tasks always report 100 percent.
    for round in 0..60 {
        let running_tasks: Vec<(u64, String)> = (0..3)
            .flat_map(|host| {
                let key = holder.host(host);
                let world = holder.app.world();
                let runs = world.hosts.get(key).unwrap().runs.clone();
                runs.into_iter().map(move |run| (host, run)).collect::<Vec<_>>()
            })
            .map(|(host, run)| (host, holder.app.world().runs.rows[run].name.to_string()))
            .filter(|(_, name)| name.starts_with(&format!("{}.", JobId(1))))
            .collect();
        assert_eq!(running_tasks.len(), 2, "round {round}");
        for host in 0..3 {
            let listed = running_tasks.iter().filter(|(on, _)| *on == host);
            let reports =
                listed.map(|(_, name)| RunReport { progress_percent: 100, ..running(name, 1) }).collect();
            holder.report_lists(host, running_lists(reports));
            assert!(!holder.orders().any(|order| matches!(order.order, Order::Stop { .. })), "round {round}");
        }
        holder.tick(1_000);
        assert!(!holder.orders().any(|order| matches!(order.order, Order::Stop { .. })), "round {round}");
    }
}

#[test]
fn inherited_task_waits_one_lease_after_the_first_poll() {
    let mut holder = TestDaemon::with_hosts(2);
    let host = holder.host(1);
    let world = holder.app.world_mut();
    world.hosts.get_mut(host).unwrap().adoption = Adoption::Unknown;
    // Reading the records took long, and the earlier holder renewed leases meanwhile.
    let claim_won_at_ms = world.holding.claim_won_at_ms().unwrap();
    world.holding.polling_since_ms = claim_won_at_ms + 6_000;
    let job = holder.add_job(1, vec![step(1)]);
    holder.app.world_mut().jobs.get_mut(job).unwrap().inherited = true;
    holder.tick(6_010);
    assert!(holder.starts().is_empty(), "a host that hasn't been polled may still run it");
}

/// Starts of a step that allows copies are not answered, so their tasks run elsewhere at once.
///
/// The host answers a poll before the delayed orders reach it. Their room stays reserved, and no other task of the step
/// takes their place.
#[test]
fn unanswered_starts_keep_their_room_while_copies_run_elsewhere() {
    let mut holder = TestDaemon::with_hosts(2);
    let copied = StepSpec { allows_copies: true, max_per_host: Some(4), ..step(4) };
    holder.add_job(1, vec![copied]);
    holder.tick(10);
    let starts: Vec<_> = holder.orders().cloned().collect();
    let starts: Vec<_> =
        starts.into_iter().filter(|order| matches!(order.order, Order::Start { .. })).collect();
    assert_eq!(starts.len(), 4);
    let host = u64::from(starts[0].host_name != host_entry(0).name);
    for start in &starts {
        holder.answer(start.clone(), OrderOutcome::Unknown, None);
    }
    holder.tick(30);
    let elsewhere = host_entry(1 - host).name.to_string();
    let copies = holder.app.world().counters.starts - 4;
    assert_eq!(copies, 4, "each task runs on {elsewhere}");
    holder.report_lists(host, running_lists(Vec::new()));
    assert_eq!(holder.app.world().hosts.get(holder.host(host)).unwrap().free_resources().cpu_milli, 4_000);
    holder.add_job(2, vec![step(8)]);
    holder.tick(30);
    assert_eq!(holder.starts().len(), 8, "four more tasks fit on each host");
}

/// The only host that answers runs a copy of the task, and the task's first run is listed again.
#[test]
fn detached_run_returns_to_its_task_if_no_copy_was_placed() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.add_job(1, vec![StepSpec { allows_copies: true, ..step(1) }]);
    holder.tick(10);
    let poll = holder.orders().find(|order| matches!(order.order, Order::Poll { .. })).cloned().unwrap();
    holder.confirm_starts();
    holder.tick(2_000);
    let name = task_name(1, 0, 0);
    holder.answer(poll, OrderOutcome::Unknown, None);
    let task = holder.task(&name);
    assert_eq!(holder.app.world().jobs.tasks[task].detached_runs.len(), 1);
    holder.report_lists(0, running_lists(vec![running(&name, 1)]));
    assert!(holder.app.world().jobs.tasks[task].detached_runs.is_empty());
    holder.tick(30);
    assert_eq!(holder.app.world().counters.starts, 1);
}

/// The lists of an earlier moment arrive last, since they came on another connection.
#[test]
fn overtaken_lists_do_not_end_the_listing_of_an_orphan() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.add_job(1, vec![StepSpec { max_per_host: Some(1), ..step(2) }]);
    holder.report_lists(0, running_lists(vec![running(&task_name(9, 0, 0), 1)]));
    let host = holder.host(0);
    assert_eq!(holder.app.world().hosts.get(host).unwrap().orphans.count, 1);
    let earlier_clock_ms = holder.now_ms - 100;
    holder.report_lists_at(0, running_lists(Vec::new()), earlier_clock_ms);
    assert_eq!(holder.app.world().hosts.get(host).unwrap().orphans.count, 1);
}

/// Returns whether the next polls of silent hosts renew their leases, with so many of eight hosts silent for 1.5 s.
///
/// The quickest of the others answers after `quickest_answer_ms`.
fn silent_hosts_keep_their_leases(silent_hosts: u64, quickest_answer_ms: u64) -> bool {
    let mut holder = TestDaemon::with_running_tasks(8, 64);
    // Answer times are judged only some seconds after the claim.
    holder.now_ms += 5_000;
    let now_ms = holder.now_ms;
    let silent: Vec<_> = (0..silent_hosts).map(|number| holder.host(number)).collect();
    let world = holder.app.world_mut();
    world.holding.last_tick_at_ms = now_ms;
    world.holding.answer_times.window_end_ms = now_ms + 1_000;
    world.holding.answer_times.min_latency_ms = quickest_answer_ms;
    for key in world.hosts.engaged_keys() {
        let host = world.hosts.get_mut(key).unwrap();
        host.poll = cassiahoist_world::hosts::Poll { next_ms: now_ms, ..Default::default() };
        host.lease_end_ms = now_ms + 1_000;
        host.unresponsive_since_ms = silent.contains(&key).then_some(now_ms - 1_500);
    }
    holder.tick(1);
    let name = host_entry(0).name;
    let poll = holder.orders().find(|order| order.host_name == name).unwrap();
    matches!(poll.order, Order::Poll { lease_until_ms: Some(_), .. })
}

/// Half of the hosts seem silent at a time, and the others answer slowly: the holder's link is full.
///
/// Their runs go on, so their leases are renewed as long as orders reach them.
#[test]
fn many_silent_hosts_keep_their_leases_while_all_answers_are_slow() {
    assert!(silent_hosts_keep_their_leases(4, 90));
    assert!(!silent_hosts_keep_their_leases(1, 90), "a single silent host is left to its lease");
}

/// A failure domain is lost: half of the hosts are silent, and the others answer quickly.
///
/// The tasks of the lost hosts have to run elsewhere.
#[test]
fn hosts_of_a_lost_failure_domain_are_left_to_their_leases() {
    assert!(!silent_hosts_keep_their_leases(4, 5));
}

/// No host answers at all, so that the latency stays that of the last answers, which were quick.
///
/// The silence counted against the hosts, although one path was lost and not six hosts, and their runs were given up.
#[test]
fn silence_of_all_hosts_does_not_end_their_leases_at_once() {
    assert!(silent_hosts_keep_their_leases(8, 5));
    assert!(!silent_hosts_keep_their_leases(7, 5), "one host still answers quickly");
}
