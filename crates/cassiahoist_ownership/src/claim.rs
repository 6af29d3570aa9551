//! Changes of slice records: claims, takeovers and releases.

use std::collections::BTreeMap;

use cassiahoist_core::hash::rendezvous_weight;
use cassiahoist_core::prelude::*;
use cassiahoist_world::prelude::*;
use cassiahoist_world::slices::{DomainRecord, Slice, SliceRecord};
use cassiahoist_world::store::{StoreCall, StoreKey, StoreValue};

/// What this daemon wants to change in a slice's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecordChange {
    /// Nothing.
    Keep,
    /// It takes the slice, which nobody holds or whose holder is gone.
    Take,
    /// It gives the slice up.
    Release,
}

/// Swaps the records of each failure domain in which something is to change.
pub fn change_records(world: &mut World, now_ms: u64) {
    ensure_identity_slices(world);
    let fresh_ms = world.local.timing.member_ttl_ms;
    let is_fresh = |read_ms: Option<u64>| read_ms.is_some_and(|read_ms| read_ms + fresh_ms > now_ms);
    if !is_fresh(world.members.read_ms) {
        return;
    }
    for domain in world.local.domains.clone() {
        let reading = world.slices.domains.entry(domain.clone()).or_default();
        if reading.in_flight || !is_fresh(reading.read_ms) {
            continue;
        }
        let expected_version = reading.version;
        if let Some(record) = changed_record(world, &domain) {
            if let Some(reading) = world.slices.domains.get_mut(&domain) {
                reading.in_flight = true;
            }
            let call = StoreCall::Swap {
                key: StoreKey::Slices(domain),
                expected_version,
                value: StoreValue::Slices(record),
            };
            world.emit(Effect::Store { call, started_ms: now_ms });
        }
    }
}

fn ensure_identity_slices(world: &mut World) {
    for index in 0..world.local.identity_slices {
        let name = world.local.identity_slice_at(index);
        world.slices.ensure(&name);
    }
}

fn changed_record(world: &World, domain: &FailureDomain) -> Option<DomainRecord> {
    let mut changed = false;
    let mut slices = BTreeMap::new();
    for (_, slice) in world.slices.iter().filter(|(_, slice)| slice.name.domain == *domain) {
        let record = match wanted_change(world, slice) {
            RecordChange::Keep => slice.record.clone(),
            RecordChange::Take => {
                changed = true;
                taken(world, &slice.record)
            }
            RecordChange::Release => {
                changed = true;
                released(&slice.record)
            }
        };
        if record.term > 0 {
            slices.insert(slice.name.clone(), record);
        }
    }
    changed.then_some(DomainRecord { slices })
}

fn taken(world: &World, record: &SliceRecord) -> SliceRecord {
    SliceRecord {
        term: record.term + 1,
        holder: Some(world.local.incarnation.clone()),
        successors: Vec::new(),
        settled: false,
        version: record.version + 1,
    }
}

fn released(record: &SliceRecord) -> SliceRecord {
    SliceRecord { holder: None, successors: Vec::new(), version: record.version + 1, ..record.clone() }
}

fn wanted_change(world: &World, slice: &Slice) -> RecordChange {
    let stopping = world.local.stop.is_stopping();
    if slice.tenure().is_some() {
        return if stopping && is_idle(world, slice) { RecordChange::Release } else { RecordChange::Keep };
    }
    let held = slice.record.holder.as_ref().is_some_and(|holder| world.members.is_listed(holder));
    if !stopping && !held && is_preferred(world, slice) { RecordChange::Take } else { RecordChange::Keep }
}

/// Tells whether nothing of this daemon's own work depends on the slice any more.
fn is_idle(world: &World, _slice: &Slice) -> bool {
    world.requests.is_empty()
}

/// Tells whether this daemon is the first choice for a slice among the listed members.
fn is_preferred(world: &World, slice: &Slice) -> bool {
    let rank = |domain: &FailureDomain, name: &MemberName| {
        (*domain == slice.name.domain, rendezvous_weight(&slice.name, name))
    };
    let best = world
        .members
        .listed()
        .filter(|member| !member.record.leaving)
        .max_by_key(|member| rank(&member.record.domain, &member.record.incarnation.member));
    best.is_some_and(|member| member.record.incarnation == world.local.incarnation)
}
