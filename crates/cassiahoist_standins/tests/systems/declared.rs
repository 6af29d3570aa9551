//! What operators declare rules placement, limits and hosts.

use std::sync::Arc;

use crate::support::{Holder, step};
use cassiahoist_core::prelude::*;
use cassiahoist_declarations::{Declarations, parse_files};
use cassiahoist_world::declared::{DeclareCall, DeclareOutcome};
use cassiahoist_world::effect::Effect;
use cassiahoist_world::event::Event;
use cassiahoist_world::store::{
    KeySpace, StoreChange, StoreFailure, StoreItem, StoreKey, StoreOp, StorePurpose, StoreReply, StoreValue,
};

fn declared(text: &str) -> Arc<Declarations> {
    Arc::new(parse_files(&[("fleet.yaml", text)]).unwrap())
}

fn put_in_force(holder: &mut Holder, text: &str, revision: u64) {
    let value = StoreValue::Declared(declared(text));
    holder.watch(
        KeySpace::Cell,
        vec![StoreChange::Written(StoreItem { key: StoreKey::Declared, value, revision })],
        revision,
    );
}

fn exception(select: &str, set: &str) -> String {
    format!("exceptions: [{{select: {select}, set: {set}, reason: Its fan is replaced on Friday.}}]")
}

/// Counts the starts on each host of a job of five small tasks.
fn starts_by_host(holder: &mut Holder, hosts: u64) -> Vec<usize> {
    holder.add_job(1, vec![step(5)]);
    holder.tick(10);
    let starts = holder.starts();
    (0..hosts).map(|host| starts.iter().filter(|(name, ..)| *name == format!("i-{host}")).count()).collect()
}

#[test]
fn tasks_are_packed_unless_spreading_is_declared() {
    let mut holder = Holder::new(3);
    let mut counts = starts_by_host(&mut holder, 3);
    counts.sort_unstable();
    assert_eq!(counts, [0, 0, 5]);
    let mut holder = Holder::new(3);
    put_in_force(&mut holder, "defaults: {packing: spread}", 70);
    let mut counts = starts_by_host(&mut holder, 3);
    counts.sort_unstable();
    assert_eq!(counts, [1, 2, 2]);
}

#[test]
fn a_declared_limit_per_host_holds_beside_the_submitted_one() {
    let mut holder = Holder::new(3);
    put_in_force(&mut holder, &exception("{queue: checks}", "{max_tasks_per_host: 1}"), 70);
    assert_eq!(starts_by_host(&mut holder, 3), [1, 1, 1]);
}

#[test]
fn a_declared_limit_of_a_queue_holds() {
    let mut holder = Holder::new(3);
    put_in_force(&mut holder, &exception("{queue: checks}", "{max_running_tasks: 2}"), 70);
    assert_eq!(starts_by_host(&mut holder, 3).iter().sum::<usize>(), 2);
    let mut holder = Holder::new(3);
    put_in_force(&mut holder, &exception("{queue: other}", "{max_running_tasks: 2}"), 70);
    assert_eq!(starts_by_host(&mut holder, 3).iter().sum::<usize>(), 5);
}

#[test]
fn a_cordoned_host_gets_no_work_until_it_is_released() {
    let mut holder = Holder::new(2);
    put_in_force(&mut holder, &exception("{host: i-1}", "{cordoned: true}"), 70);
    holder.add_job(1, vec![step(10)]);
    holder.tick(10);
    assert!(holder.starts().iter().all(|(host, ..)| host == "i-0"));
    assert_eq!(holder.starts().len(), 8);
    holder.watch(KeySpace::Cell, vec![StoreChange::Removed { key: StoreKey::Declared, revision: 71 }], 71);
    holder.tick(300);
    assert_eq!(holder.starts().iter().filter(|(host, ..)| host == "i-1").count(), 2);
}

#[test]
fn a_share_of_a_host_is_left_free() {
    let mut holder = Holder::new(1);
    put_in_force(&mut holder, &exception("{failure_domain: obihiro}", "{room_percent: 50}"), 70);
    assert_eq!(starts_by_host(&mut holder, 1), [4]);
}

#[test]
fn an_older_revision_and_unusable_declarations_change_nothing() {
    let mut holder = Holder::new(1);
    put_in_force(&mut holder, "defaults: {room_percent: 50}", 70);
    put_in_force(&mut holder, "defaults: {room_percent: 25}", 69);
    let value = StoreValue::Unreadable { reason: "bytes".into() };
    holder.watch(
        KeySpace::Cell,
        vec![StoreChange::Written(StoreItem { key: StoreKey::Declared, value, revision: 71 })],
        71,
    );
    let logged = holder
        .effects
        .iter()
        .any(|effect| matches!(effect, Effect::Log(note) if note.event == EventId::DeclarationsRejected));
    assert!(logged);
    assert_eq!(starts_by_host(&mut holder, 1), [4]);
}

/// Lets an operator declare something and the store answer; gives what the operator is told.
fn declare(outcome: Result<StoreReply, StoreFailure>) -> DeclareOutcome {
    let mut daemon = Holder::standby();
    let declarations = declared("defaults: {room_percent: 50}");
    daemon.hear(Event::Declare(DeclareCall { number: 3, base_revision: 70, declarations }));
    let call = daemon.commits(|call| matches!(call.purpose, StorePurpose::Declare(3))).remove(0);
    let StoreOp::Commit(transaction) = &call.op else { unreachable!() };
    assert_eq!(transaction.expect, [(StoreKey::Declared, 70)], "nobody else's change is overwritten");
    daemon.answer_store(call, outcome);
    let told = daemon.effects.iter().find_map(|effect| match effect {
        Effect::Declared { call: 3, outcome } => Some(*outcome),
        _ => None,
    });
    told.unwrap()
}

#[test]
fn operators_hear_what_became_of_their_declarations() {
    assert_eq!(declare(Ok(StoreReply::Committed { revision: 75 })), DeclareOutcome::Stored { revision: 75 });
    let present =
        StoreItem { key: StoreKey::Declared, value: StoreValue::Declared(declared("{}")), revision: 72 };
    let conflict = Ok(StoreReply::Conflict { items: vec![present] });
    assert_eq!(declare(conflict), DeclareOutcome::Changed { revision: 72 });
    assert_eq!(declare(Err(StoreFailure::NotDone)), DeclareOutcome::Failed(ErrorKind::StoreAway));
    assert_eq!(declare(Err(StoreFailure::Unknown)), DeclareOutcome::Failed(ErrorKind::RecordUncertain));
}
