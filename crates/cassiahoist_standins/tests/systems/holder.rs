//! Systems of the holder, one finding or rule each.

use std::sync::Arc;

use crate::support::{FENCE, Holder, end, entry, record, report, running, step, task_name};
use cassiahoist_core::prelude::*;
use cassiahoist_standins::workload::{Workload, config_json};
use cassiahoist_world::advice::Ticket;
use cassiahoist_world::effect::Effect;
use cassiahoist_world::event::Event;
use cassiahoist_world::front::{CallAction, FrontAnswer, FrontCall};
use cassiahoist_world::hosts::{Adoption, HostReport};
use cassiahoist_world::jobs::TaskState;
use cassiahoist_world::orders::{
    HostLists, HostOrder, Order, OrderOutcome, RefusalReason, RunEnding, RunningReport,
};
use cassiahoist_world::peer::{PeerMessage, Sender};
use cassiahoist_world::record::{JobState, MemberRecord};
use cassiahoist_world::spec::StepSpec;
use cassiahoist_world::store::{
    KeySpace, StoreFailure, StoreItem, StoreKey, StoreOp, StorePurpose, StoreReply, StoreValue,
};

fn lists(running: Vec<cassiahoist_world::orders::RunningReport>) -> HostLists {
    HostLists { born_unix_ms: None, running, ended: Vec::new() }
}

fn ends(ended: Vec<cassiahoist_world::orders::EndReport>) -> HostLists {
    HostLists { born_unix_ms: None, running: Vec::new(), ended }
}

/// Answers the starts of the last tick.
fn confirm_starts(holder: &mut Holder) {
    let starts: Vec<_> =
        holder.orders().filter(|order| matches!(order.order, Order::Start { .. })).cloned().collect();
    for order in starts {
        holder.answer(order, OrderOutcome::Done { lists: None }, Some(2_000));
    }
}

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
    confirm_starts(&mut holder);
    holder.tick(10);
    assert!(holder.starts().is_empty());
    holder.list(0, ends(vec![end(1, &task_name(1, 0, 0), 1, RunEnding::Done)]));
    holder.tick(10);
    let _ = holder.starts();
    let second = holder.task(&task_name(1, 1, 0));
    assert!(matches!(holder.app.world().jobs.tasks[second].state, TaskState::Placed(_)));
}

#[test]
fn an_end_may_be_forgotten_only_once_progress_is_recorded() {
    let mut holder = Holder::new(1);
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    confirm_starts(&mut holder);
    holder.tick(50);
    holder.list(0, ends(vec![end(1, &task_name(1, 0, 0), 1, RunEnding::Done)]));
    let commit = holder.commits(|call| matches!(call.purpose, StorePurpose::Progress(_)));
    let host = holder.host(0);
    assert_eq!(holder.app.world().hosts.get(host).unwrap().ends_recorded, 0);
    let job = holder.app.world().jobs.find(&JobId(1)).unwrap();
    assert_eq!(holder.app.world().jobs.get(job).unwrap().recorded_state, JobState::Queued);
    holder.answer_store(commit[0].clone(), Ok(StoreReply::Committed { revision: 60 }));
    assert_eq!(holder.app.world().hosts.get(host).unwrap().ends_recorded, 1);
    assert_eq!(holder.app.world().jobs.get(job).unwrap().recorded_state, JobState::Completed);
}

#[test]
fn a_flush_that_was_lost_is_written_again() {
    let mut holder = Holder::new(1);
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    confirm_starts(&mut holder);
    holder.tick(50);
    holder.list(0, ends(vec![end(1, &task_name(1, 0, 0), 1, RunEnding::Done)]));
    let commit = holder.commits(|call| matches!(call.purpose, StorePurpose::Progress(_)));
    holder.answer_store(commit[0].clone(), Err(StoreFailure::Unknown));
    holder.tick(300);
    let again = holder.commits(|call| matches!(call.purpose, StorePurpose::Progress(_)));
    assert_eq!(again.len(), 1);
    // The first write took effect after all: its revision is taken over.
    let claim = StoreItem { key: StoreKey::Claim(SliceId(0)), value: StoreValue::Cancel, revision: FENCE.0 };
    let progress = StoreItem { key: StoreKey::Progress(JobId(1)), value: StoreValue::Cancel, revision: 61 };
    holder.answer_store(again[0].clone(), Ok(StoreReply::Conflict { items: vec![claim, progress] }));
    holder.tick(300);
    let third = holder.commits(|call| matches!(call.purpose, StorePurpose::Progress(_)));
    let StoreOp::Commit(transaction) = &third[0].op else { unreachable!() };
    assert!(transaction.expect.contains(&(StoreKey::Progress(JobId(1)), 61)));
}

#[test]
fn a_claim_that_is_gone_stops_the_recording() {
    let mut holder = Holder::new(1);
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    confirm_starts(&mut holder);
    holder.tick(50);
    holder.list(0, ends(vec![end(1, &task_name(1, 0, 0), 1, RunEnding::Done)]));
    let commit = holder.commits(|call| matches!(call.purpose, StorePurpose::Progress(_)));
    let claim =
        StoreItem { key: StoreKey::Claim(SliceId(0)), value: StoreValue::Cancel, revision: FENCE.0 + 9 };
    holder.answer_store(commit[0].clone(), Ok(StoreReply::Conflict { items: vec![claim] }));
    assert!(holder.app.world().holding.fence().is_none());
    assert!(holder.app.world().jobs.is_empty());
}

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
fn a_host_whose_clock_went_back_is_asked_anew() {
    let mut holder = Holder::new(1);
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    confirm_starts(&mut holder);
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
    assert!(holder.app.world().runs.is_empty());
    holder.tick(100);
    assert_eq!(holder.orders().count(), 0, "nothing is sent to its address any more");
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
    confirm_starts(&mut holder);
    holder.list(0, ends(vec![end(1, &task_name(1, 0, 1), 1, RunEnding::Done)]));
    assert_eq!(holder.app.world().jobs.get(job).unwrap().state, JobState::Completed);
}

#[test]
fn a_gang_that_breaks_is_stopped_everywhere_and_starts_again_whole() {
    let mut holder = Holder::new(1);
    holder.add_job(1, vec![StepSpec { gang: true, ..step(3) }]);
    holder.tick(10);
    confirm_starts(&mut holder);
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
fn lasting_tasks_start_again_however_they_end() {
    let mut holder = Holder::new(2);
    holder.add_job(1, vec![StepSpec { lasting: true, ..step(1) }]);
    for number in 1..=4 {
        holder.tick(200);
        let starts = holder.starts();
        assert_eq!(starts.len(), 1, "start {number}");
        confirm_starts(&mut holder);
        let host = u64::from(starts[0].0 != "i-0");
        let ended = holder.app.world().hosts.get(holder.host(host)).unwrap().ends_read + 1;
        holder.list(host, ends(vec![end(ended, &starts[0].1, starts[0].2, RunEnding::Failed)]));
    }
}

#[test]
fn cancelled_jobs_are_stopped_and_never_start_again() {
    let mut holder = Holder::new(1);
    holder.add_job(1, vec![step(2)]);
    holder.tick(10);
    confirm_starts(&mut holder);
    let from = Sender { incarnation: "edge-1#1".parse().unwrap(), address: "10.1.0.1:7720".into() };
    holder.hear(Event::Peer { from, message: PeerMessage::JobCancelled(JobId(1)) });
    let stops = holder.orders().filter(|order| matches!(order.order, Order::Stop { .. })).count();
    assert_eq!(stops, 2);
    holder.list(
        0,
        ends(vec![
            end(1, &task_name(1, 0, 0), 1, RunEnding::Stopped),
            end(2, &task_name(1, 0, 1), 1, RunEnding::Stopped),
        ]),
    );
    holder.tick(500);
    assert!(holder.starts().is_empty());
}

#[test]
fn a_cancellation_is_kept_until_its_job_is_known() {
    let mut holder = Holder::new(1);
    let from = Sender { incarnation: "edge-1#1".parse().unwrap(), address: "10.1.0.1:7720".into() };
    holder.hear(Event::Peer { from: from.clone(), message: PeerMessage::JobCancelled(JobId(1)) });
    holder.hear(Event::Peer { from, message: PeerMessage::JobStored(record(1, vec![step(1)])) });
    holder.tick(50);
    assert!(holder.starts().is_empty());
}

#[test]
fn a_job_of_a_later_claim_is_left_to_a_later_holder() {
    let mut holder = Holder::new(1);
    let mut later = record(1, vec![step(1)]);
    Arc::make_mut(&mut later).claim = Fence(FENCE.0 + 1);
    let from = Sender { incarnation: "edge-1#1".parse().unwrap(), address: "10.1.0.1:7720".into() };
    holder.hear(Event::Peer { from, message: PeerMessage::JobStored(later) });
    assert!(holder.app.world().jobs.is_empty());
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
fn a_host_that_fails_several_jobs_is_quarantined() {
    let mut holder = Holder::new(2);
    holder.add_job(1, vec![step(1)]);
    holder.add_job(2, vec![step(1)]);
    holder.tick(10);
    let starts = holder.starts();
    confirm_starts(&mut holder);
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
fn fillers_book_no_processor_and_slow_down_before_harm() {
    let mut holder = Holder::new(1);
    let filler = StepSpec { filler: true, size: Resources::new(8_000, 100, 0), ..step(1) };
    let serving = StepSpec { lasting: true, tail_target_ms: Some(100), ..step(1) };
    holder.add_job(1, vec![filler]);
    holder.add_job(2, vec![serving]);
    holder.tick(10);
    assert_eq!(holder.starts().len(), 2, "a filler leaves the room to others");
    confirm_starts(&mut holder);
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

/// Puts the stand-ins' first configuration in force.
fn configure(holder: &mut Holder) {
    let config = cassiahoist_platform::decode_config(config_json(1, Workload::Plain).to_string().as_bytes());
    holder.app.world_mut().config.in_force = Some(Arc::new(config.unwrap()));
}

/// Submits a job to the queue of counter work.
fn submit(holder: &mut Holder, call: u64, body: &[u8]) {
    let job = cassiahoist_platform::decode_job(body).unwrap();
    holder.hear(Event::Front(FrontCall {
        number: call,
        host: "desk.example".into(),
        path: format!("/checks/{}", JobId(call)),
        action: CallAction::Submit(Ok(Box::new(job))),
        body_bytes: body.len(),
        deadline_ms: holder.now_ms + 3_000,
    }));
}

/// Gives the answer to a call in the last tick.
fn answer_to(holder: &Holder, wanted: u64) -> Option<FrontAnswer> {
    holder.effects.iter().find_map(|effect| match effect {
        Effect::Answer { call, answer } if *call == wanted => Some(*answer),
        _ => None,
    })
}

const TOO_LARGE: FrontAnswer = FrontAnswer::Error { kind: ErrorKind::SizeTooLarge, retry_ms: None };

#[test]
fn a_size_that_no_host_has_is_refused_and_not_stored() {
    let mut holder = Holder::new(1);
    configure(&mut holder);
    submit(&mut holder, 9, br#"{"steps":[{"count":1,"cpu":8000},{"count":1,"cpu":8001}]}"#);
    assert_eq!(answer_to(&holder, 9), Some(TOO_LARGE));
    assert!(holder.commits(|call| matches!(call.purpose, StorePurpose::Accept(_))).is_empty());
    submit(&mut holder, 10, br#"{"steps":[{"count":20,"cpu":8000}]}"#);
    assert_eq!(answer_to(&holder, 10), None);
    assert_eq!(holder.commits(|call| matches!(call.purpose, StorePurpose::Accept(_))).len(), 1);
}

#[test]
fn daemons_learn_the_sizes_of_hosts_from_the_holder() {
    let mut holder = Holder::new(1);
    holder.app.world_mut().members.insert(MemberRecord {
        incarnation: "edge-1#1".parse().unwrap(),
        peer_address: "10.1.0.1:7720".into(),
        domain: FailureDomain::new("obihiro").unwrap(),
    });
    holder.tick(10);
    let heartbeat = holder.effects.iter().find_map(|effect| match effect {
        Effect::Peer { message: message @ PeerMessage::Heartbeat { .. }, .. } => Some(message.clone()),
        _ => None,
    });
    let mut server = Holder::standby();
    configure(&mut server);
    let large = br#"{"steps":[{"count":1,"cpu":9000}]}"#;
    submit(&mut server, 8, large);
    assert_eq!(answer_to(&server, 8), None, "nothing is known of hosts yet");
    let from = Sender { incarnation: "edge-1#1".parse().unwrap(), address: "10.1.0.1:7720".into() };
    server.hear(Event::Peer { from, message: heartbeat.unwrap() });
    submit(&mut server, 9, large);
    assert_eq!(answer_to(&server, 9), Some(TOO_LARGE));
    server.tick(6_000);
    submit(&mut server, 10, large);
    assert_eq!(answer_to(&server, 10), None, "the holder's word is too old");
}

#[test]
fn a_daemon_that_the_store_turns_away_asks_a_peer() {
    let mut holder = Holder::new(0);
    configure(&mut holder);
    let world = holder.app.world_mut();
    world.members.insert(MemberRecord {
        incarnation: "edge-1#1".parse().unwrap(),
        peer_address: "10.1.0.1:7720".into(),
        domain: FailureDomain::new("obihiro").unwrap(),
    });
    world.store.failing_since_ms = Some(500);
    submit(&mut holder, 9, br#"{"steps":[{"count":1}]}"#);
    let relayed = holder.effects.iter().any(|effect| {
        matches!(effect, Effect::Peer { address, message: PeerMessage::Relay { call: 9, .. } }
            if address == "10.1.0.1:7720")
    });
    assert!(relayed, "{:?}", holder.effects);
    assert_eq!(holder.commits(|call| matches!(call.purpose, StorePurpose::Accept(_))).len(), 0);
    // The peer does not answer: what it did is not known, so no refusal may say that the job has not run.
    for _ in 0..60 {
        holder.tick(100);
        let answer = holder.effects.iter().find_map(|effect| match effect {
            Effect::Answer { call: 9, answer } => Some(*answer),
            _ => None,
        });
        if let Some(answer) = answer {
            assert!(matches!(answer, FrontAnswer::Error { kind: ErrorKind::RecordUncertain, .. }));
            return;
        }
    }
    panic!("no answer before the deadline");
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
fn a_poll_that_was_not_answered_is_repeated_soon() {
    let mut holder = Holder::new(1);
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    let look = holder.orders().find(|order| matches!(order.order, Order::Poll { .. })).cloned().unwrap();
    confirm_starts(&mut holder);
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

#[test]
fn a_lasting_task_at_work_is_never_stopped_or_moved() {
    let mut holder = Holder::new(3);
    holder.add_job(1, vec![StepSpec { lasting: true, disruption_budget: Some(1), ..step(2) }]);
    holder.tick(10);
    confirm_starts(&mut holder);
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
fn an_end_that_makes_no_job_final_waits_for_others_before_it_is_recorded() {
    let recorded_after_ms = |tasks: u32| {
        let mut holder = Holder::new(1);
        holder.add_job(1, vec![step(tasks)]);
        holder.tick(10);
        confirm_starts(&mut holder);
        holder.tick(300);
        // What came before is recorded, just now.
        let now_ms = holder.now_ms;
        let world = holder.app.world_mut();
        world.jobs.dirty.clear();
        world.commits.flush = None;
        world.commits.next_ms = now_ms + 40;
        let from_ms = holder.now_ms;
        holder.list(0, ends(vec![end(1, &task_name(1, 0, 0), 1, RunEnding::Done)]));
        while holder.commits(|call| matches!(call.purpose, StorePurpose::Progress(_))).is_empty() {
            holder.tick(1);
            assert!(holder.now_ms < from_ms + 1_000, "nothing is recorded");
        }
        holder.now_ms - from_ms
    };
    assert!(recorded_after_ms(1) <= 40, "its caller waits for the record");
    assert!(recorded_after_ms(2) > 40);
}

/// A holder whose host begins a new life just after it has confirmed a start.
fn reborn_after_a_start() -> Holder {
    let mut holder = Holder::new(1);
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    confirm_starts(&mut holder);
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
