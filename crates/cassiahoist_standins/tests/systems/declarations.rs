//! Effects of operators' declarations on placement, limits and hosts.

use std::sync::Arc;

use crate::support::{TestDaemon, step};
use cassiahoist_core::prelude::*;
use cassiahoist_declarations::{Declarations, parse_declarations};
use cassiahoist_world::declarations::{DeclareCall, DeclareOutcome};
use cassiahoist_world::effect::Effect;
use cassiahoist_world::event::Event;
use cassiahoist_world::store::{
    KeySpace, StoreChange, StoreFailure, StoreItem, StoreKey, StoreOp, StorePurpose, StoreReply, StoreValue,
};

fn parse(text: &str) -> Arc<Declarations> {
    Arc::new(parse_declarations(&[("fleet.yaml", text)]).unwrap())
}

/// Delivers declarations to a daemon as a change of the store.
fn put_in_force(holder: &mut TestDaemon, text: &str, revision: u64) {
    let value = StoreValue::Declared(parse(text));
    holder.receive_changes(
        KeySpace::Cell,
        vec![StoreChange::Written(StoreItem { key: StoreKey::Declared, value, revision })],
        revision,
    );
}

/// Returns the text of declarations with one exception.
fn exception(select: &str, set: &str) -> String {
    format!("exceptions: [{{select: {select}, set: {set}, reason: Its fan is replaced on Friday.}}]")
}

/// Counts the starts on each host for a job of five small tasks.
fn starts_by_host(holder: &mut TestDaemon, hosts: u64) -> Vec<usize> {
    holder.add_job(1, vec![step(5)]);
    holder.tick(10);
    let starts = holder.starts();
    (0..hosts).map(|host| starts.iter().filter(|(name, ..)| *name == format!("i-{host}")).count()).collect()
}

#[test]
fn tasks_are_packed_unless_spreading_is_declared() {
    let mut holder = TestDaemon::with_hosts(3);
    let mut counts = starts_by_host(&mut holder, 3);
    counts.sort_unstable();
    assert_eq!(counts, [0, 0, 5]);
    let mut holder = TestDaemon::with_hosts(3);
    put_in_force(&mut holder, "defaults: {packing: spread}", 70);
    let mut counts = starts_by_host(&mut holder, 3);
    counts.sort_unstable();
    assert_eq!(counts, [1, 2, 2]);
}

#[test]
fn declared_limit_per_host_is_enforced() {
    let mut holder = TestDaemon::with_hosts(3);
    put_in_force(&mut holder, &exception("{queue: checks}", "{max_tasks_per_host: 1}"), 70);
    assert_eq!(starts_by_host(&mut holder, 3), [1, 1, 1]);
}

/// The job is in the queue `checks`.
#[test]
fn declared_limit_of_running_tasks_applies_to_its_queue_only() {
    let mut holder = TestDaemon::with_hosts(3);
    put_in_force(&mut holder, &exception("{queue: checks}", "{max_running_tasks: 2}"), 70);
    assert_eq!(starts_by_host(&mut holder, 3).iter().sum::<usize>(), 2);
    let mut holder = TestDaemon::with_hosts(3);
    put_in_force(&mut holder, &exception("{queue: other}", "{max_running_tasks: 2}"), 70);
    assert_eq!(starts_by_host(&mut holder, 3).iter().sum::<usize>(), 5);
}

/// Eight of ten tasks fit on the other host.
///
/// Removed declarations uncordon the host for the rest.
#[test]
fn cordoned_host_gets_no_tasks_until_uncordoned() {
    let mut holder = TestDaemon::with_hosts(2);
    put_in_force(&mut holder, &exception("{host: i-1}", "{cordoned: true}"), 70);
    holder.add_job(1, vec![step(10)]);
    holder.tick(10);
    assert!(holder.starts().iter().all(|(host, ..)| host == "i-0"));
    assert_eq!(holder.starts().len(), 8);
    holder.receive_changes(
        KeySpace::Cell,
        vec![StoreChange::Removed { key: StoreKey::Declared, revision: 71 }],
        71,
    );
    holder.tick(300);
    assert_eq!(holder.starts().iter().filter(|(host, ..)| host == "i-1").count(), 2);
}

/// Half of 8 CPUs fits four of the five tasks.
#[test]
fn room_percent_leaves_part_of_a_host_free() {
    let mut holder = TestDaemon::with_hosts(1);
    put_in_force(&mut holder, &exception("{failure_domain: obihiro}", "{room_percent: 50}"), 70);
    assert_eq!(starts_by_host(&mut holder, 1), [4]);
}

/// Revision 70 stays in force.
///
/// Its half of 8 CPUs fits four of the five tasks.
#[test]
fn older_or_unreadable_declarations_are_rejected() {
    let mut holder = TestDaemon::with_hosts(1);
    put_in_force(&mut holder, "defaults: {room_percent: 50}", 70);
    put_in_force(&mut holder, "defaults: {room_percent: 25}", 69);
    let value = StoreValue::Unreadable { reason: "bytes".into() };
    holder.receive_changes(
        KeySpace::Cell,
        vec![StoreChange::Written(StoreItem { key: StoreKey::Declared, value, revision: 71 })],
        71,
    );
    let logged = holder
        .effects
        .iter()
        .any(|effect| matches!(effect, Effect::WriteLog(log) if log.event == EventId::DeclarationsRejected));
    assert!(logged);
    assert_eq!(starts_by_host(&mut holder, 1), [4]);
}

/// Submits declarations, lets the store reply and returns what the operator receives.
fn declare(store_outcome: Result<StoreReply, StoreFailure>) -> DeclareOutcome {
    let mut daemon = TestDaemon::standby();
    let declarations = parse("defaults: {room_percent: 50}");
    daemon.receive_event(Event::DeclareCallReceived(DeclareCall {
        number: 3,
        base_revision: 70,
        declarations,
    }));
    let call = daemon.commits(|call| matches!(call.purpose, StorePurpose::StoreDeclarations(3))).remove(0);
    let StoreOp::Commit(transaction) = &call.op else { unreachable!() };
    assert_eq!(
        transaction.expect,
        [(StoreKey::Declared, 70)],
        "declarations stored since revision 70 must not be overwritten"
    );
    daemon.answer_store(call, store_outcome);
    let reported_outcome = daemon.effects.iter().find_map(|effect| match effect {
        Effect::AnswerDeclareCall { call: 3, outcome } => Some(*outcome),
        _ => None,
    });
    reported_outcome.unwrap()
}

#[test]
fn declaration_outcome_is_reported_to_the_operator() {
    assert_eq!(declare(Ok(StoreReply::Committed { revision: 75 })), DeclareOutcome::Stored { revision: 75 });
    let newer_declarations =
        StoreItem { key: StoreKey::Declared, value: StoreValue::Declared(parse("{}")), revision: 72 };
    let conflict = Ok(StoreReply::Conflict { items: vec![newer_declarations] });
    assert_eq!(declare(conflict), DeclareOutcome::Changed { revision: 72 });
    assert_eq!(declare(Err(StoreFailure::NotApplied)), DeclareOutcome::Failed(ErrorKind::StoreAway));
    assert_eq!(declare(Err(StoreFailure::Unknown)), DeclareOutcome::Failed(ErrorKind::RecordUncertain));
}
