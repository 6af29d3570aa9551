//! Tasks that run until cancelled, and ends of their earlier runs that come late.

use cassiahoist_core::prelude::*;
use cassiahoist_world::event::Event;
use cassiahoist_world::jobs::TaskState;
use cassiahoist_world::orders::{HostLists, Order, RunEnding};
use cassiahoist_world::peer::{PeerMessage, PeerSender};
use cassiahoist_world::spec::StepSpec;

use crate::support::{TestDaemon, end, ended_lists, running, running_lists, step, task_name};

const ALL_ENDINGS: [RunEnding; 6] = [
    RunEnding::Done,
    RunEnding::Failed,
    RunEnding::Stopped,
    RunEnding::Lapsed,
    RunEnding::Broken,
    RunEnding::Alone,
];

fn lasting_step() -> StepSpec {
    StepSpec { runs_until_cancelled: true, ..step(1) }
}

/// Creates a holder that knows a job with one lasting task, and none of its runs.
fn holder_of_lasting_task(hosts: u64, spec: StepSpec) -> TestDaemon {
    let mut holder = TestDaemon::with_hosts(hosts);
    holder.add_job(1, vec![spec]);
    holder
}

/// Returns the number and host of the run for which the task is placed.
fn placed_run(holder: &TestDaemon) -> Option<(u64, u64)> {
    let world = holder.app.world();
    let TaskState::Placed(run) = world.jobs.tasks[holder.task(&task_name(1, 0, 0))].state else {
        return None;
    };
    let row = &world.runs.rows[run];
    Some((row.run_number, (0..4).find(|number| holder.host(*number) == row.host)?))
}

fn cancel(holder: &mut TestDaemon) {
    let from = PeerSender { incarnation: "edge-1#1".parse().unwrap(), address: "10.1.0.1:7720".into() };
    holder.receive_event(Event::PeerMessageReceived { from, message: PeerMessage::JobCancelled(JobId(1)) });
}

/// Lists the runs that the orders of the last tick stop.
fn stopped_runs(holder: &TestDaemon) -> Vec<u64> {
    let stops = holder.orders().filter_map(|order| match order.order {
        Order::Stop { run_number, .. } => Some(run_number),
        _ => None,
    });
    stops.collect()
}

/// A new holder adopts the present run of a lasting task and then reads the end done of an earlier run on another host.
///
/// The task was started once more. The adopted run lost its tie to the task, so that its cancellation did not stop it.
#[test]
fn late_end_of_an_earlier_run_starts_no_second_one() {
    for ending in ALL_ENDINGS {
        let mut holder = holder_of_lasting_task(4, lasting_step());
        let name = task_name(1, 0, 0);
        holder.report_lists(0, running_lists(vec![running(&name, 2)]));
        holder.report_lists(1, ended_lists(vec![end(1, &name, 1, ending)]));
        assert_eq!(placed_run(&holder), Some((2, 0)), "{ending:?}");
        assert!(holder.starts().is_empty(), "{ending:?}");
        holder.tick(500);
        assert!(holder.starts().is_empty(), "{ending:?}");
        cancel(&mut holder);
        assert_eq!(stopped_runs(&holder), [2], "{ending:?}");
    }
}

/// Ends of earlier runs and the list with the present one come in any order, and some more than once.
#[test]
fn ends_of_earlier_runs_in_any_order_leave_one_run() {
    let orders = [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];
    for ending in ALL_ENDINGS {
        for order in orders {
            let mut holder = holder_of_lasting_task(4, lasting_step());
            // Nothing starts before the hosts were read.
            let job = holder.app.world().jobs.find(&JobId(1)).unwrap();
            holder.app.world_mut().jobs.get_mut(job).unwrap().inherited = true;
            let unread = holder.host(3);
            let row = holder.app.world_mut().hosts.get_mut(unread).unwrap();
            row.adoption = cassiahoist_world::hosts::Adoption::Unknown;
            let name = task_name(1, 0, 0);
            let lists = |number: u64| match number {
                0 => ended_lists(vec![end(1, &name, 5, ending), end(2, &name, 7, ending)]),
                1 => ended_lists(vec![end(4, &name, 6, RunEnding::Done)]),
                _ => running_lists(vec![running(&name, 8)]),
            };
            for number in order.into_iter().chain(order) {
                holder.report_lists(number, lists(number));
                assert!(holder.starts().is_empty(), "{ending:?} {order:?}");
            }
            holder.report_lists(3, HostLists::default());
            assert!(holder.starts().is_empty(), "{ending:?} {order:?}");
            assert_eq!(placed_run(&holder), Some((8, 2)), "{ending:?} {order:?}");
            cancel(&mut holder);
            assert_eq!(stopped_runs(&holder), [8], "{ending:?} {order:?}");
        }
    }
}

/// The present run ends and is started again under a number above that of any earlier run.
#[test]
fn lasting_task_is_restarted_after_each_end_of_its_present_run() {
    for ending in ALL_ENDINGS {
        let mut holder = holder_of_lasting_task(4, lasting_step());
        let name = task_name(1, 0, 0);
        holder.report_lists(0, running_lists(vec![running(&name, 2)]));
        holder.report_lists(1, ended_lists(vec![end(1, &name, 9, ending)]));
        holder.report_lists(0, ended_lists(vec![end(1, &name, 2, ending)]));
        holder.tick(50);
        let (run_number, _) = placed_run(&holder).expect("the task is started again");
        assert_eq!(run_number, 10, "{ending:?}");
    }
}

/// A copy of a lasting task ends done after its host had been silent, and another run was placed meanwhile.
#[test]
fn end_of_a_detached_copy_keeps_the_present_run() {
    let spec = StepSpec { allows_copies: true, ..lasting_step() };
    let mut holder = holder_of_lasting_task(4, spec);
    holder.tick(10);
    holder.confirm_starts();
    let (first, host) = placed_run(&holder).unwrap();
    let TaskState::Placed(run) = holder.app.world().jobs.tasks[holder.task(&task_name(1, 0, 0))].state else {
        panic!("not placed")
    };
    holder.tick(100);
    let key = holder.host(host);
    let row = holder.app.world_mut().hosts.get_mut(key).unwrap();
    row.unresponsive_since_ms = Some(1_100);
    row.lease_end_ms = 60_000;
    holder.tick(100);
    holder.tick(400);
    let (second, _) = placed_run(&holder).expect("a copy is started");
    assert!(second > first);
    assert!(holder.app.world().runs.rows.contains_key(run));
    holder.report_lists(host, ended_lists(vec![end(1, &task_name(1, 0, 0), first, RunEnding::Done)]));
    assert_eq!(placed_run(&holder).map(|(number, _)| number), Some(second));
    holder.tick(100);
    assert!(holder.starts().is_empty());
}
