//! The judge itself: each promise broken once, and kept once at its bound.

use cassiahoist_core::prelude::*;
use cassiahoist_standins::trace::{Fact, HostView, Trace};
use cassiahoist_standins::verdict::{Promise, judge};
use cassiahoist_standins::workload::{Job, StepTruth, TaskTruth, Truth, Workload};

const JOB: JobId = JobId(7);
const VIEW: HostView = HostView { pool: "desk", label: "a", leaving: false, sound: true };

fn host(number: u64) -> HostName {
    HostName::new(&format!("i-{number}")).unwrap()
}

fn task(index: u32) -> String {
    format!("{JOB}.0.0.{index}")
}

/// A step of lasting tasks in the queue of long batches.
fn step(tasks: u32) -> StepTruth {
    StepTruth {
        tasks,
        after: Vec::new(),
        task: TaskTruth {
            work_ms: 1_000,
            size: Resources::new(1_000, 100, 0),
            fails: false,
            gang: false,
            checkpoints: false,
            lasting: true,
        },
        required_label: None,
        max_per_host: None,
        may_miss: None,
    }
}

fn started(index: u32, on: u64) -> Fact {
    Fact::Started {
        task: task(index),
        run: 1,
        host: host(on),
        born: 1,
        taken: Resources::default(),
        capacity: Resources::new(8_000, 8_000, 0),
    }
}

fn ended(index: u32, on: u64, how: &'static str) -> Fact {
    Fact::Ended { task: task(index), run: 1, host: host(on), how }
}

fn registered(on: u64, view: HostView) -> Fact {
    Fact::Registered { host: host(on), view }
}

fn ordered(on: u64, daemon: usize, fence: u64) -> Fact {
    Fact::Ordered { host: host(on), daemon, life: 1, fence }
}

fn probed(version: u64, sent_ms: u64, status: u16) -> Fact {
    Fact::Probed { daemon: 0, life: 1, version, sent_ms, status }
}

/// Lists the promises that a trace breaks, under the varied workload.
fn broken(step: StepTruth, facts: Vec<(u64, Fact)>) -> Vec<Promise> {
    let mut truth = Truth { workload: Workload::Varied, ..Truth::default() };
    truth.jobs.insert(JOB, Job { id: JOB, queue: 1, steps: vec![step], body: Vec::new() });
    let mut all = vec![(0, Fact::Configured { version: 1 })];
    all.extend(facts);
    judge(&Trace { facts: all }, &truth, 100_000).into_iter().map(|violation| violation.promise).collect()
}

#[test]
fn a_start_in_another_pool_breaks_route_until_a_version_sends_the_queue_there() {
    let other = HostView { pool: "press", ..VIEW };
    let facts = vec![(10, registered(0, other)), (20, started(0, 0))];
    assert_eq!(broken(step(1), facts.clone()), [Promise::Route]);
    let mut facts = facts;
    facts.insert(0, (5, Fact::Configured { version: 2 }));
    assert_eq!(broken(step(1), facts), []);
}

#[test]
fn a_start_without_the_label_breaks_route() {
    let labelled = StepTruth { required_label: Some("b"), ..step(1) };
    let facts = vec![(10, registered(0, VIEW)), (20, started(0, 0))];
    assert_eq!(broken(labelled.clone(), facts), [Promise::Route]);
    let facts = vec![(10, registered(0, HostView { label: "b", ..VIEW })), (20, started(0, 0))];
    assert_eq!(broken(labelled, facts), []);
}

#[test]
fn a_start_beyond_the_limit_per_host_breaks_route() {
    let limited = StepTruth { max_per_host: Some(1), ..step(2) };
    let facts = vec![(10, registered(0, VIEW)), (20, started(0, 0)), (30, started(1, 0))];
    assert_eq!(broken(limited.clone(), facts), [Promise::Route]);
    let facts = vec![
        (10, registered(0, VIEW)),
        (20, started(0, 0)),
        (25, ended(0, 0, "failed")),
        (30, started(1, 0)),
    ];
    assert_eq!(broken(limited, facts), []);
}

#[test]
fn a_start_on_a_host_that_left_long_ago_breaks_drain() {
    let leaving = HostView { leaving: true, ..VIEW };
    let facts = |start_ms| {
        vec![(10, registered(0, VIEW)), (1_000, registered(0, leaving.clone())), (start_ms, started(0, 0))]
    };
    assert_eq!(broken(step(1), facts(3_001)), [Promise::Drain]);
    assert_eq!(broken(step(1), facts(3_000)), []);
}

#[test]
fn a_stop_beyond_the_budget_breaks_avail() {
    let budgeted = StepTruth { may_miss: Some(1), ..step(3) };
    let start = vec![
        (10, registered(0, VIEW)),
        (20, started(0, 0)),
        (20, started(1, 0)),
        (20, started(2, 0)),
        (5_000, ended(0, 0, "stopped")),
    ];
    let with = |facts: Vec<(u64, Fact)>| broken(budgeted.clone(), [start.clone(), facts].concat());
    assert_eq!(with(Vec::new()), [], "one may be away");
    assert_eq!(with(vec![(6_000, ended(1, 0, "stopped"))]), [Promise::Avail]);
    assert_eq!(with(vec![(6_000, ended(1, 0, "lapsed"))]), [Promise::Avail]);
    assert_eq!(with(vec![(6_000, ended(1, 0, "failed"))]), [], "nothing ordered this end");
    assert_eq!(with(vec![(6_000, started(0, 0)), (7_000, ended(1, 0, "stopped"))]), []);
    let leaving = registered(0, HostView { leaving: true, ..VIEW });
    assert_eq!(with(vec![(5_500, leaving), (6_000, ended(1, 0, "stopped"))]), []);
    let cancelled = Fact::CancelSent { job: JOB };
    assert_eq!(with(vec![(5_500, cancelled), (6_000, ended(1, 0, "stopped"))]), []);
}

#[test]
fn a_task_away_for_long_uses_the_budget_up_whatever_ended_it() {
    let budgeted = StepTruth { may_miss: Some(1), ..step(2) };
    let facts = |stop_ms| {
        vec![
            (10, registered(0, VIEW)),
            (20, started(0, 0)),
            (20, started(1, 0)),
            (1_000, ended(0, 0, "failed")),
            (stop_ms, ended(1, 0, "stopped")),
        ]
    };
    assert_eq!(broken(budgeted.clone(), facts(5_499)), []);
    assert_eq!(broken(budgeted, facts(5_500)), [Promise::Avail]);
}

#[test]
fn a_dropped_queue_that_is_served_breaks_config() {
    let facts =
        |sent_ms| vec![(1_000, Fact::Configured { version: 2 }), (sent_ms + 5, probed(1, sent_ms, 200))];
    assert_eq!(broken(step(1), facts(3_000)), []);
    assert_eq!(broken(step(1), facts(3_001)), [Promise::Config]);
}

#[test]
fn a_new_queue_that_is_not_known_breaks_config() {
    let facts =
        |sent_ms| vec![(1_000, Fact::Configured { version: 2 }), (sent_ms + 5, probed(2, sent_ms, 404))];
    assert_eq!(broken(step(1), facts(3_000)), []);
    assert_eq!(broken(step(1), facts(3_001)), [Promise::Config]);
    assert_eq!(broken(step(1), vec![(9_000, probed(2, 8_990, 200))]), [Promise::Config], "it never was");
}

#[test]
fn a_version_that_goes_back_in_one_life_breaks_config() {
    let facts = |sent_ms| {
        vec![
            (1_000, Fact::Configured { version: 2 }),
            (1_100, probed(2, 1_090, 200)),
            (sent_ms + 5, probed(1, sent_ms, 200)),
        ]
    };
    assert_eq!(broken(step(1), facts(1_350)), []);
    assert_eq!(broken(step(1), facts(1_351)), [Promise::Config]);
}

#[test]
fn one_token_in_two_hands_breaks_one() {
    assert_eq!(broken(step(1), vec![(10, ordered(0, 0, 5)), (20, ordered(1, 1, 5))]), [Promise::One]);
    assert_eq!(broken(step(1), vec![(10, ordered(0, 0, 5)), (20, ordered(0, 1, 6))]), []);
}

#[test]
fn two_holders_that_take_turns_break_one() {
    let facts =
        |back_ms| vec![(1_000, ordered(0, 0, 5)), (1_500, ordered(0, 1, 6)), (back_ms, ordered(0, 0, 7))];
    assert_eq!(broken(step(1), facts(3_999)), [Promise::One]);
    assert_eq!(broken(step(1), facts(4_000)), []);
}
