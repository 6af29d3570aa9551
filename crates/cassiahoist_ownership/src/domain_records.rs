//! Readings of the slice records and the permission that they give.

use cassiahoist_core::prelude::*;
use cassiahoist_world::prelude::*;
use cassiahoist_world::slices::{DomainRecord, SliceRecord, SliceRole, Tenure};
use cassiahoist_world::store::{StoreAnswered, StoreCall, StoreKey, StoreReply, StoreValue};

/// Takes in answers to readings and swaps of slice records.
pub fn read_domain_replies(world: &mut World, now_ms: u64) {
    let is_slice_call = |answered: &mut StoreAnswered| {
        matches!(
            answered.call,
            StoreCall::Read { key: StoreKey::Slices(_), .. }
                | StoreCall::Swap { key: StoreKey::Slices(_), .. }
        )
    };
    let answers: Vec<_> = world.inbox.store.extract_if(.., is_slice_call).collect();
    for answered in answers {
        read_reply(world, answered, now_ms);
    }
}

fn read_reply(world: &mut World, answered: StoreAnswered, now_ms: u64) {
    let (domain, written) = match answered.call {
        StoreCall::Swap { key: StoreKey::Slices(domain), value: StoreValue::Slices(record), .. } => {
            (domain, Some(record))
        }
        StoreCall::Read { key: StoreKey::Slices(domain), .. } => (domain, None),
        _ => return,
    };
    let reading = world.slices.domains.entry(domain.clone()).or_default();
    reading.in_flight = false;
    match (answered.reply, written) {
        (StoreReply::Value { version, value: StoreValue::Slices(record) }, _)
        | (StoreReply::Swapped { version }, Some(record)) => {
            apply_record(world, &domain, version, &record, answered.started_ms, now_ms);
        }
        (StoreReply::Unchanged, _) => confirm_unchanged(world, &domain, answered.started_ms),
        (StoreReply::Absent, _) => {
            reading.version = 0;
            reading.read_ms = reading.read_ms.max(Some(answered.started_ms));
        }
        // A conflict or a lost answer is settled by the next reading.
        _ => reading.next_read_ms = now_ms,
    }
}

fn apply_record(
    world: &mut World,
    domain: &FailureDomain,
    version: u64,
    record: &DomainRecord,
    started_ms: u64,
    now_ms: u64,
) {
    let reading = world.slices.domains.entry(domain.clone()).or_default();
    if version < reading.version {
        return;
    }
    reading.version = version;
    reading.read_ms = reading.read_ms.max(Some(started_ms));
    for (name, slice_record) in &record.slices {
        apply_slice(world, name, slice_record, started_ms, now_ms);
    }
}

fn apply_slice(world: &mut World, name: &SliceName, record: &SliceRecord, started_ms: u64, now_ms: u64) {
    let own = world.local.incarnation.clone();
    let permission_ms = world.local.timing.permission_ms;
    let id = world.slices.ensure(name);
    let Some(slice) = world.slices.get_mut(id) else {
        return;
    };
    if record.version < slice.record.version {
        return;
    }
    let inherited = slice.record.holder.is_some();
    slice.record = record.clone();
    let held_here = record.holder.as_ref() == Some(&own);
    match (&mut slice.role, held_here) {
        (SliceRole::Holder(tenure), true) if tenure.term == record.term => {
            extend(tenure, started_ms, permission_ms);
        }
        (_, true) => {
            let wait_ms = if inherited { permission_ms } else { 0 };
            slice.role = SliceRole::Holder(Tenure {
                term: record.term,
                act_from_ms: now_ms + wait_ms,
                permitted_until_ms: started_ms + permission_ms,
                confirmed_ms: started_ms,
            });
            world.log(EventId::SliceTaken, format!("{name} term {}", record.term));
        }
        (SliceRole::Holder(_), false) => {
            slice.role = SliceRole::Other;
            world.log(EventId::SliceLost, format!("{name} term {}", record.term));
        }
        (SliceRole::Other, false) => {}
    }
}

fn extend(tenure: &mut Tenure, started_ms: u64, permission_ms: u64) {
    tenure.confirmed_ms = tenure.confirmed_ms.max(started_ms);
    tenure.permitted_until_ms = tenure.permitted_until_ms.max(started_ms + permission_ms);
}

fn confirm_unchanged(world: &mut World, domain: &FailureDomain, started_ms: u64) {
    let permission_ms = world.local.timing.permission_ms;
    if let Some(reading) = world.slices.domains.get_mut(domain) {
        reading.read_ms = reading.read_ms.max(Some(started_ms));
    }
    for (_, slice) in world.slices.iter_mut().filter(|(_, slice)| slice.name.domain == *domain) {
        if let SliceRole::Holder(tenure) = &mut slice.role {
            extend(tenure, started_ms, permission_ms);
        }
    }
}

/// Notes permissions that ran out.
pub fn expire_permissions(world: &mut World, now_ms: u64) {
    let mut lapsed = Vec::new();
    for (_, slice) in world.slices.iter() {
        if let Some(tenure) = slice.tenure()
            && tenure.permitted_until_ms <= now_ms
            && tenure.permitted_until_ms + world.local.timing.confirm_interval_ms > now_ms
        {
            lapsed.push(slice.name.to_string());
        }
    }
    for name in lapsed {
        world.log(EventId::PermissionLapsed, name);
    }
}

/// Asks the store for each failure domain's records when a reading is due.
pub fn confirm_domains(world: &mut World, now_ms: u64) {
    let interval_ms = world.local.timing.confirm_interval_ms;
    for domain in world.local.domains.clone() {
        let reading = world.slices.domains.entry(domain.clone()).or_default();
        if !reading.in_flight && now_ms >= reading.next_read_ms {
            reading.in_flight = true;
            reading.next_read_ms = now_ms + interval_ms;
            let call = StoreCall::Read { key: StoreKey::Slices(domain), newer_than: reading.version };
            world.emit(Effect::Store { call, started_ms: now_ms });
        }
    }
    world.wake_by(now_ms + interval_ms);
}
