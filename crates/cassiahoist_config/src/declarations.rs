//! Stores and applies the declarations of operators, and updates the rules of hosts.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_declarations::{Declarations, validate_declarations};
use cassiahoist_world::declarations::{DeclareCall, DeclareOutcome};
use cassiahoist_world::hosts::HostKey;
use cassiahoist_world::prelude::*;
use cassiahoist_world::store::{
    StoreCompletion, StoreFailure, StoreItem, StoreKey, StoreOp, StorePurpose, StoreReply, StoreValue,
    Transaction,
};

/// Timeout of the transaction that stores declarations, in milliseconds.
const STORE_TIMEOUT_MS: u64 = 1_500;

/// Writes the declarations of operators to the store.
///
/// The write fails if the stored declarations changed since the revision that the operator's call is based on.
pub fn send_declarations(world: &mut World, now_ms: u64) {
    for DeclareCall { number, base_revision, declarations } in std::mem::take(&mut world.inbox.declare_calls)
    {
        let transaction = Transaction::default()
            .with_expect(StoreKey::Declared, base_revision)
            .with_put(StoreKey::Declared, StoreValue::Declared(declarations));
        world.call_store(
            StorePurpose::StoreDeclarations(number),
            StoreOp::Commit(transaction),
            now_ms,
            STORE_TIMEOUT_MS,
        );
    }
}

/// Reports to operators whether their declarations were stored.
pub fn report_declare_outcomes(world: &mut World, _now_ms: u64) {
    for completion in
        world.inbox.take_store_results(|purpose| matches!(purpose, StorePurpose::StoreDeclarations(_)))
    {
        let StorePurpose::StoreDeclarations(call) = completion.purpose else { continue };
        let outcome = declare_outcome(completion);
        let log_record = LogRecord::new(EventId::DeclarationsStored).with("outcome", format!("{outcome:?}"));
        world.log(log_record);
        world.emit(Effect::AnswerDeclareCall { call, outcome });
    }
}

fn declare_outcome(completion: StoreCompletion) -> DeclareOutcome {
    match completion.outcome {
        Ok(StoreReply::Committed { revision }) => DeclareOutcome::Stored { revision },
        Ok(StoreReply::Conflict { items }) => {
            let stored = items.iter().find(|item| item.key == StoreKey::Declared);
            DeclareOutcome::Changed { revision: stored.map_or(0, |item| item.revision) }
        }
        Err(StoreFailure::NotApplied | StoreFailure::NotSent(_)) => {
            DeclareOutcome::Failed(ErrorKind::StoreAway)
        }
        Ok(_) | Err(StoreFailure::Unknown) => DeclareOutcome::Failed(ErrorKind::RecordUncertain),
    }
}

/// Applies the declarations read from the store if their revision is newer.
pub fn apply_declarations(world: &mut World, _now_ms: u64) {
    for item in std::mem::take(&mut world.inbox.declaration_items) {
        let revision = world.declarations.revision;
        match item {
            Some(item) if item.revision > revision => apply_item(world, item),
            None if revision > 0 => set_current(world, Arc::default(), 0),
            Some(_) | None => {}
        }
    }
}

fn apply_item(world: &mut World, item: StoreItem) {
    let rejection = match item.value {
        StoreValue::Declared(declarations) => match validate_declarations(&declarations) {
            Ok(()) => return set_current(world, declarations, item.revision),
            Err(error) => error.to_string(),
        },
        StoreValue::Unreadable { reason } => reason,
        _ => "the stored value is not a declarations record".into(),
    };
    // The previous declarations stay in force.
    let log_record = LogRecord::new(EventId::DeclarationsRejected).with("revision", item.revision);
    world.log(log_record.with("reason", rejection));
}

fn set_current(world: &mut World, declarations: Arc<Declarations>, revision: u64) {
    let log_record = LogRecord::new(EventId::DeclarationsInForce).with("revision", revision);
    let log_record = log_record.with("before", world.declarations.revision);
    world.log(log_record.with("exceptions", declarations.exceptions.len()));
    world.declarations.current = declarations;
    world.declarations.revision = revision;
    world.declarations.host_rules_stale = true;
}

/// Updates the rules of new and changed hosts.
///
/// After a change of the declarations it updates all hosts.
pub fn update_host_rules(world: &mut World, _now_ms: u64) {
    let stale: Vec<HostKey> = if std::mem::take(&mut world.declarations.host_rules_stale) {
        world.hosts.stale_rules.clear();
        world.hosts.keys()
    } else {
        std::mem::take(&mut world.hosts.stale_rules)
    };
    let declarations = Arc::clone(&world.declarations.current);
    for key in stale {
        let Some(host) = world.hosts.get_mut(key) else { continue };
        let entry = &host.entry;
        host.rules = declarations.host_rules(&entry.name, &entry.pool, &entry.domain);
    }
}
