//! Declarations: storing those of operators, taking in what is stored, and ruling hosts by it.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_declarations::{Declarations, check};
use cassiahoist_world::declared::{DeclareCall, DeclareOutcome};
use cassiahoist_world::hosts::HostKey;
use cassiahoist_world::prelude::*;
use cassiahoist_world::store::{
    StoreAnswered, StoreFailure, StoreItem, StoreKey, StoreOp, StorePurpose, StoreReply, StoreValue,
    Transaction,
};

/// How long storing declarations may take, in milliseconds.
const PATIENCE_MS: u64 = 1_500;

/// Stores what operators want in force, on condition that nobody changed it meanwhile.
pub fn store_declarations(world: &mut World, now_ms: u64) {
    for DeclareCall { number, base_revision, declarations } in std::mem::take(&mut world.inbox.declares) {
        let transaction = Transaction::default()
            .with_expect(StoreKey::Declared, base_revision)
            .with_put(StoreKey::Declared, StoreValue::Declared(declarations));
        world.call_store(StorePurpose::Declare(number), StoreOp::Commit(transaction), now_ms, PATIENCE_MS);
    }
}

/// Tells operators what became of their declarations.
pub fn read_declare_answers(world: &mut World, _now_ms: u64) {
    for answered in world.inbox.take_store(|purpose| matches!(purpose, StorePurpose::Declare(_))) {
        let StorePurpose::Declare(call) = answered.purpose else { continue };
        let outcome = read_outcome(answered);
        let note = LogNote::new(EventId::DeclarationsStored).with("outcome", format!("{outcome:?}"));
        world.log(note);
        world.emit(Effect::Declared { call, outcome });
    }
}

fn read_outcome(answered: StoreAnswered) -> DeclareOutcome {
    match answered.outcome {
        Ok(StoreReply::Committed { revision }) => DeclareOutcome::Stored { revision },
        Ok(StoreReply::Conflict { items }) => {
            let present = items.iter().find(|item| item.key == StoreKey::Declared);
            DeclareOutcome::Changed { revision: present.map_or(0, |item| item.revision) }
        }
        Err(StoreFailure::NotDone) => DeclareOutcome::Failed(ErrorKind::StoreAway),
        Ok(_) | Err(StoreFailure::Unknown) => DeclareOutcome::Failed(ErrorKind::RecordUncertain),
    }
}

/// Takes in the declarations that the store holds.
pub fn apply_declarations(world: &mut World, _now_ms: u64) {
    for item in std::mem::take(&mut world.inbox.declared) {
        let revision = world.declared.revision;
        match item {
            Some(item) if item.revision > revision => apply(world, item),
            None if revision > 0 => put_in_force(world, Arc::default(), 0),
            Some(_) | None => {}
        }
    }
}

fn apply(world: &mut World, item: StoreItem) {
    let rejected = match item.value {
        StoreValue::Declared(declarations) => match check(&declarations) {
            Ok(()) => return put_in_force(world, declarations, item.revision),
            Err(error) => error.to_string(),
        },
        StoreValue::Unreadable { reason } => reason,
        _ => "another kind of value".into(),
    };
    // What was in force stays so.
    let note = LogNote::new(EventId::DeclarationsRejected).with("revision", item.revision);
    world.log(note.with("reason", rejected));
}

fn put_in_force(world: &mut World, declarations: Arc<Declarations>, revision: u64) {
    let note = LogNote::new(EventId::DeclarationsInForce).with("revision", revision);
    let note = note.with("before", world.declared.revision);
    world.log(note.with("exceptions", declarations.exceptions.len()));
    world.declared.in_force = declarations;
    world.declared.revision = revision;
    world.declared.hosts_stale = true;
}

/// Looks up the rules of hosts that are new, changed, or under new declarations.
pub fn rule_hosts(world: &mut World, _now_ms: u64) {
    let stale: Vec<HostKey> = if std::mem::take(&mut world.declared.hosts_stale) {
        world.hosts.unruled.clear();
        world.hosts.keys()
    } else {
        std::mem::take(&mut world.hosts.unruled)
    };
    let declared = Arc::clone(&world.declared.in_force);
    for key in stale {
        let Some(host) = world.hosts.get_mut(key) else { continue };
        let report = &host.report;
        host.rules = declared.host_rules(&report.name, &report.pool, &report.domain);
    }
}
