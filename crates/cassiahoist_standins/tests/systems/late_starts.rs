//! Start orders without an answer that a stop has settled, and restarts of their hosts, which forget the stop.

use std::collections::VecDeque;

use cassiahoist_world::hosts::HostEntry;
use cassiahoist_world::jobs::TaskState;
use cassiahoist_world::orders::{HostLists, HostOrder, Order, OrderOutcome, RunEnding, RunReport};
use cassiahoist_world::spec::StepSpec;
use cassiahoist_world::store::{KeySpace, StoreCall, StorePurpose, StoreReply};

use crate::support::{
    FENCE, TestDaemon, end, entry_change, host_entry, running, running_lists, step, task_name,
};

/// Time for which a host may carry out an order that was given up without an answer, in milliseconds.
const MAX_ORDER_DELAY_MS: u64 = 12_000;

/// Age from which a run is not suspected of crashing its host, in milliseconds.
const PROVEN_AFTER_MS: u64 = 2_000;

/// Clock of the hosts' first incarnation minus the daemon's, in milliseconds, so that a later one's is behind it.
const FIRST_CLOCK_OFFSET_MS: u64 = 30_000;

/// How the holder learns of a restart.
#[derive(Clone, Copy, Debug)]
enum Notice {
    /// The host's entry names a later start.
    Entry,
    /// The host's lists name a later start.
    Lists,
    /// The host's clock goes back.
    Clock,
}

fn is_start(order: &HostOrder) -> bool {
    matches!(order.order, Order::Start { .. })
}

/// Returns the order of the last tick that stops a run of the first task at the first host.
fn stop_of(holder: &TestDaemon, run_number: u64) -> Option<HostOrder> {
    let host = holder.host(0);
    let task = task_name(1, 0, 0).parse().unwrap();
    let is_wanted = |order: &&HostOrder| {
        order.host == host
            && matches!(order.order, Order::Stop { task: stopped, run_number: number, .. }
                if stopped == task && number == run_number)
    };
    holder.orders().find(is_wanted).cloned()
}

/// Returns the stop of a run of the first task at the first host, from the last tick or one within 100 ms.
fn await_stop_of(holder: &mut TestDaemon, run_number: u64) -> Option<HostOrder> {
    stop_of(holder, run_number).or_else(|| {
        (0..10).find_map(|_| {
            holder.tick(10);
            stop_of(holder, run_number)
        })
    })
}

/// Creates a holder of a job of one task, whose first run the first host left unanswered.
fn unanswered(spec: StepSpec) -> TestDaemon {
    let mut holder = TestDaemon::with_hosts(1);
    holder.app.world_mut().local.bounds.run_lease_ms = 3_200;
    holder.add_job(1, vec![spec]);
    holder.tick(10);
    let start = holder.orders().find(|order| is_start(order)).cloned().unwrap();
    holder.answer(start, OrderOutcome::Unknown, None);
    holder
}

/// Lets the first host confirm a stop of its run 1.
fn confirm_stop(holder: &mut TestDaemon) {
    let stop = await_stop_of(holder, 1).expect("run 1 is stopped");
    let clock_ms = FIRST_CLOCK_OFFSET_MS + holder.now_ms;
    holder.answer(stop, OrderOutcome::Done { lists: None }, Some(clock_ms));
}

/// Lets the first host list nothing, on the clock of its first incarnation.
fn list_nothing(holder: &mut TestDaemon) {
    let clock_ms = FIRST_CLOCK_OFFSET_MS + holder.now_ms;
    holder.report_lists_at(0, HostLists::default(), clock_ms);
}

/// Lets the first host list the second run, which makes progress.
fn list_second_run(holder: &mut TestDaemon) {
    let progress_percent = (holder.now_ms / 100 % 100) as u32;
    let report = RunReport { progress_percent, ..running(&task_name(1, 0, 0), 2) };
    holder.report_lists_at(0, running_lists(vec![report]), FIRST_CLOCK_OFFSET_MS + holder.now_ms);
}

/// Lets the host confirm the second run and list it, until that one can't have crashed it.
fn begin_second_run(holder: &mut TestDaemon) {
    while !holder.orders().any(is_start) {
        holder.tick(20);
    }
    assert_eq!(holder.starts()[0].2, 2);
    let start = holder.orders().find(|order| is_start(order)).cloned().unwrap();
    let clock_ms = FIRST_CLOCK_OFFSET_MS + holder.now_ms;
    holder.answer(start, OrderOutcome::Done { lists: None }, Some(clock_ms));
    for _ in 0..PROVEN_AFTER_MS / 100 {
        holder.tick(100);
        list_second_run(holder);
    }
}

/// Creates a holder whose first host has settled run 1 of the task and works on run 2.
fn settled(spec: StepSpec) -> TestDaemon {
    let mut holder = unanswered(spec);
    confirm_stop(&mut holder);
    list_nothing(&mut holder);
    begin_second_run(&mut holder);
    holder
}

/// Lets the holder learn that the first host has restarted `restarts` times so far.
fn restart(holder: &mut TestDaemon, restarts: u64, notice: Notice) {
    let started_unix_ms = host_entry(0).started_unix_ms + restarts * 50_000;
    match notice {
        Notice::Entry => {
            let entry = HostEntry { started_unix_ms, ..host_entry(0) };
            holder.receive_changes(KeySpace::Hosts, vec![entry_change(entry)], 90);
        }
        Notice::Lists => {
            let lists = HostLists { started_unix_ms: Some(started_unix_ms), ..HostLists::default() };
            holder.report_lists_at(0, lists, 500);
        }
        Notice::Clock => {
            holder.report_lists_at(0, HostLists::default(), 500);
        }
    }
}

/// Lets time pass while the store accepts all writes and `answer` answers the orders to the first host.
///
/// Returns the number of the first run that was started, and when, in monotonic milliseconds; `None` if none was.
fn play_until_start(
    holder: &mut TestDaemon,
    duration_ms: u64,
    answer: impl Fn(&HostOrder) -> Option<OrderOutcome>,
) -> Option<(u64, u64)> {
    let end_at_ms = holder.now_ms + duration_ms;
    let host = holder.host(0);
    let mut orders: VecDeque<HostOrder> = VecDeque::new();
    let mut writes: VecDeque<StoreCall> = VecDeque::new();
    loop {
        if let Some((_, _, run_number)) = holder.starts().first() {
            return Some((*run_number, holder.now_ms));
        }
        if holder.now_ms >= end_at_ms {
            return None;
        }
        orders.extend(holder.orders().filter(|order| order.host == host).cloned());
        writes.extend(holder.commits(|call| {
            matches!(call.purpose, StorePurpose::WriteRoster | StorePurpose::RecordProgress(_))
        }));
        // Each effect counts once, also if the next turn of the loop runs no tick.
        holder.effects.clear();
        if let Some(write) = writes.pop_front() {
            holder.answer_store(write, Ok(StoreReply::Committed { revision: 95 }));
        } else if let Some(order) = orders.pop_front() {
            if let Some(outcome) = answer(&order) {
                let is_answered = outcome != OrderOutcome::Unknown;
                let clock_ms = is_answered.then_some(holder.now_ms);
                holder.answer(order, outcome, clock_ms);
            }
        } else {
            holder.tick(10);
        }
    }
}

/// Returns the empty lists of the first host in its second incarnation.
fn lists_after_restart() -> HostLists {
    let started_unix_ms = Some(host_entry(0).started_unix_ms + 50_000);
    HostLists { started_unix_ms, ..HostLists::default() }
}

/// Lists nothing in the second incarnation of the first host, and leaves other orders unanswered.
fn list_nothing_after_restart(order: &HostOrder) -> Option<OrderOutcome> {
    let outcome = OrderOutcome::Done { lists: Some(lists_after_restart()) };
    matches!(order.order, Order::Poll { .. }).then_some(outcome)
}

/// A start was never answered, and a stop settled it. The host restarted and lost its second run.
///
/// The third one began elsewhere, although the start of the first could still take effect at the new incarnation (TWICE).
#[test]
fn stop_of_an_unanswered_start_is_repeated_after_a_restart() {
    for notice in [Notice::Entry, Notice::Lists, Notice::Clock] {
        let mut holder = settled(step(1));
        restart(&mut holder, 1, notice);
        let stop = await_stop_of(&mut holder, 1);
        let stop = stop.unwrap_or_else(|| panic!("{notice:?}: the new incarnation may start run 1"));
        let roster_writes = holder.commits(|call| call.purpose == StorePurpose::WriteRoster);
        let clock_ms = holder.now_ms;
        holder.report_lists_at(0, lists_after_restart(), clock_ms);
        for write in roster_writes {
            holder.answer_store(write, Ok(StoreReply::Committed { revision: 93 }));
        }
        let start = play_until_start(&mut holder, 2_000, list_nothing_after_restart);
        assert_eq!(start, None, "{notice:?}: run 1 may start");
        let clock_ms = holder.now_ms;
        holder.answer(stop, OrderOutcome::Done { lists: None }, Some(clock_ms));
        let start = play_until_start(&mut holder, 2_000, list_nothing_after_restart);
        assert_eq!(start.map(|(run_number, _)| run_number), Some(3), "{notice:?}");
    }
}

/// A host that restarts twice forgets the second stop as it forgot the first.
#[test]
fn stop_of_an_unanswered_start_is_repeated_after_each_restart() {
    let mut holder = settled(step(1));
    for restarts in 1..3 {
        restart(&mut holder, restarts, Notice::Entry);
        let stop = await_stop_of(&mut holder, 1).unwrap_or_else(|| panic!("restart {restarts}: no stop"));
        let clock_ms = holder.now_ms;
        holder.answer(stop, OrderOutcome::Done { lists: None }, Some(clock_ms));
        holder.report_lists_at(0, HostLists::default(), clock_ms + 5);
    }
}

/// The host restarts between its confirmation of the stop and the poll that shows that the run does not exist.
///
/// The poll of the new incarnation ended the run, although that one knew nothing of the stop.
#[test]
fn stop_that_an_earlier_incarnation_confirmed_is_repeated() {
    for notice in [Notice::Entry, Notice::Lists, Notice::Clock] {
        let mut holder = unanswered(step(1));
        confirm_stop(&mut holder);
        restart(&mut holder, 1, notice);
        assert!(await_stop_of(&mut holder, 1).is_some(), "{notice:?}: the new incarnation may start run 1");
    }
}

/// The task was done by its second run. A start after that runs it twice all the same.
#[test]
fn unanswered_start_of_a_finished_task_is_stopped_after_a_restart() {
    let mut holder = settled(step(2));
    let done = HostLists {
        ended: vec![end(1, &task_name(1, 0, 0), 2, RunEnding::Done)],
        ..running_lists(vec![running(&task_name(1, 0, 1), 1)])
    };
    holder.report_lists_at(0, done, FIRST_CLOCK_OFFSET_MS + holder.now_ms);
    let task = holder.task(&task_name(1, 0, 0));
    assert_eq!(holder.app.world().jobs.tasks[task].state, TaskState::Done);
    restart(&mut holder, 1, Notice::Entry);
    assert!(await_stop_of(&mut holder, 1).is_some());
}

/// The job was recorded as completed, so that its tasks have no rows any more.
#[test]
fn unanswered_start_of_a_recorded_job_is_stopped_after_a_restart() {
    let mut holder = settled(step(1));
    let done =
        HostLists { ended: vec![end(1, &task_name(1, 0, 0), 2, RunEnding::Done)], ..HostLists::default() };
    holder.report_lists_at(0, done, FIRST_CLOCK_OFFSET_MS + holder.now_ms);
    for _ in 0..20 {
        for call in holder.commits(|call| matches!(call.purpose, StorePurpose::RecordProgress(_))) {
            holder.answer_store(call, Ok(StoreReply::Committed { revision: 95 }));
        }
        holder.tick(20);
    }
    assert!(holder.app.world().jobs.find_task(&task_name(1, 0, 0).parse().unwrap()).is_none());
    restart(&mut holder, 1, Notice::Entry);
    assert!(await_stop_of(&mut holder, 1).is_some());
}

/// A job is cancelled while its start is under way, and the host confirms the stop before the start is given up.
///
/// After a restart the start could take effect for a job that was cancelled long before (UNASKED).
#[test]
fn start_under_way_of_a_cancelled_job_is_stopped_after_a_restart() {
    let mut holder = TestDaemon::with_hosts(1);
    let job = holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    assert_eq!(holder.starts().len(), 1);
    let now_ms = holder.now_ms;
    cassiahoist_runs::stop_job_runs(holder.app.world_mut(), job, now_ms);
    confirm_stop(&mut holder);
    list_nothing(&mut holder);
    restart(&mut holder, 1, Notice::Entry);
    assert!(await_stop_of(&mut holder, 1).is_some());
}

/// Lets all hosts but the first one accept no work, or accept it again.
fn cordon_others(holder: &mut TestDaemon, cordoned: bool) {
    let first = holder.host(0);
    for (key, host) in holder.app.world_mut().hosts.iter_mut() {
        host.rules.cordoned = cordoned && key != first;
    }
}

/// The host stays silent. Its run lease ends what it runs, but a later incarnation may carry out the start.
///
/// The task started elsewhere when the lease had expired, and ran twice.
#[test]
fn task_of_a_silent_host_waits_for_a_start_that_was_settled() {
    let mut holder = TestDaemon::with_hosts(8);
    holder.app.world_mut().local.bounds.run_lease_ms = 3_200;
    // The others accept no work at first, so that both runs go to one host.
    cordon_others(&mut holder, true);
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    let unanswered_at_ms = holder.now_ms;
    let start = holder.orders().find(|order| is_start(order)).cloned().unwrap();
    holder.answer(start.clone(), OrderOutcome::Unknown, None);
    confirm_stop(&mut holder);
    list_nothing(&mut holder);
    begin_second_run(&mut holder);
    cordon_others(&mut holder, false);
    let silence = |_: &HostOrder| Some(OrderOutcome::Unknown);
    let order = Order::Poll { lease_until_ms: Some(1), last_end_recorded: 0, wait_ms: 800 };
    holder.answer(HostOrder { order, ..start }, OrderOutcome::Unknown, None);
    let start = play_until_start(&mut holder, 20_000, silence);
    let (run_number, third_start_at_ms) = start.expect("the host may be lost for good");
    assert_eq!(run_number, 3);
    let waited_ms = third_start_at_ms - unanswered_at_ms;
    let bounds_ms = MAX_ORDER_DELAY_MS - 200..=MAX_ORDER_DELAY_MS + 400;
    assert!(bounds_ms.contains(&waited_ms), "run 3 after {waited_ms} ms");
}

/// A new holder knows nothing of starts that its predecessor gave up. Its first order shuts them out, in each incarnation.
///
/// It must not wait until the host has something to do.
#[test]
fn idle_host_gets_an_order_at_once_after_a_restart() {
    let mut holder = TestDaemon::with_hosts(1);
    list_nothing(&mut holder);
    restart(&mut holder, 1, Notice::Entry);
    assert!(holder.orders().any(|order| order.fence >= FENCE));
}

/// A start takes effect within 12 s or never. After that a restart concerns it no more.
#[test]
fn old_unanswered_start_is_not_stopped_after_a_restart() {
    let mut holder = settled(step(1));
    let end_at_ms = holder.now_ms + MAX_ORDER_DELAY_MS;
    while holder.now_ms < end_at_ms {
        holder.tick(400);
        list_second_run(&mut holder);
    }
    restart(&mut holder, 1, Notice::Entry);
    assert_eq!(await_stop_of(&mut holder, 1).map(|order| order.order), None);
}

/// Another run of the task is at work elsewhere. It goes on while the restarted host is told of the stop.
#[test]
fn restart_stops_no_run_on_another_host() {
    let mut holder = TestDaemon::with_hosts(2);
    holder.add_job(1, vec![step(1)]);
    holder.tick(10);
    let start = holder.orders().find(|order| is_start(order)).cloned().unwrap();
    let (first, second) = if start.host == holder.host(0) { (0, 1) } else { (1, 0) };
    let first_host = start.host;
    holder.answer(start, OrderOutcome::Unknown, None);
    let stop = holder.orders().find(|order| matches!(order.order, Order::Stop { .. })).cloned();
    let clock_ms = FIRST_CLOCK_OFFSET_MS + holder.now_ms;
    holder.app.world_mut().hosts.get_mut(first_host).unwrap().rules.cordoned = true;
    let stop = stop.expect("run 1 is stopped");
    holder.answer(stop, OrderOutcome::Done { lists: None }, Some(clock_ms));
    holder.report_lists_at(first, HostLists::default(), clock_ms + 5);
    while !holder.orders().any(is_start) {
        holder.tick(20);
    }
    let start = holder.orders().find(|order| is_start(order)).cloned().unwrap();
    assert_eq!(start.host, holder.host(second));
    holder.answer(start, OrderOutcome::Done { lists: None }, Some(clock_ms));
    let entry =
        HostEntry { started_unix_ms: host_entry(first).started_unix_ms + 50_000, ..host_entry(first) };
    holder.receive_changes(KeySpace::Hosts, vec![entry_change(entry)], 90);
    let mut stopped = Vec::new();
    for _ in 0..10 {
        let stops = holder.orders().filter_map(|order| match order.order {
            Order::Stop { run_number, .. } => Some((order.host, run_number)),
            _ => None,
        });
        stopped.extend(stops);
        holder.tick(10);
    }
    assert_eq!(stopped, [(first_host, 1)]);
    assert_eq!(holder.app.world().counters.starts, 2);
}
