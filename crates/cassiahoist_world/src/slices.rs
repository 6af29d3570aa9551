//! Slices of hosts and identities, and who holds them.

use std::collections::BTreeMap;

use cassiahoist_core::prelude::*;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

use crate::effect::Permit;

new_key_type! {
    /// A row of the slice table.
    pub struct SliceId;
}

/// The store's record of one slice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceRecord {
    /// Grows by one with each change of holder.
    pub term: u64,
    /// Who holds the slice; nobody after a written release.
    pub holder: Option<Incarnation>,
    /// Who may take over from a holder whose membership lapsed.
    pub successors: Vec<Incarnation>,
    /// Whether the holder has acted under this term.
    pub settled: bool,
    /// Grows by one with each change of the record.
    pub version: u64,
}

/// The store's value for one failure domain: the records of all its slices.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainRecord {
    /// Records by slice.
    pub slices: BTreeMap<SliceName, SliceRecord>,
}

/// What this daemon has to do with a slice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub enum SliceRole {
    /// It belongs to another daemon or to nobody.
    #[default]
    Other,
    /// It is held here.
    Holder(Tenure),
}

/// How a slice is held here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Tenure {
    /// The term under which it is held.
    pub term: u64,
    /// The waiting time after a takeover ends here, in monotonic milliseconds.
    pub act_from_ms: u64,
    /// Permission to act ends here, in monotonic milliseconds.
    pub permitted_until_ms: u64,
    /// Start of the last confirmation through the store, own or relayed, in monotonic milliseconds.
    pub confirmed_ms: u64,
}

impl Tenure {
    /// Tells whether the holder may act now.
    #[must_use]
    pub fn may_act(&self, now_ms: u64) -> bool {
        now_ms >= self.act_from_ms && now_ms < self.permitted_until_ms
    }
}

/// One slice as seen from here.
#[derive(Clone, Debug, Serialize)]
pub struct Slice {
    /// The slice's name.
    pub name: SliceName,
    /// The store's record by the last reading.
    pub record: SliceRecord,
    /// What this daemon has to do with it.
    pub role: SliceRole,
}

impl Slice {
    /// Borrows the tenure if the slice is held here.
    #[must_use]
    pub fn tenure(&self) -> Option<&Tenure> {
        match &self.role {
            SliceRole::Holder(tenure) => Some(tenure),
            SliceRole::Other => None,
        }
    }

    /// Gives permission to act on the slice, if there is any now.
    #[must_use]
    pub fn permit(&self, id: SliceId, now_ms: u64) -> Option<Permit> {
        let tenure = self.tenure().filter(|tenure| tenure.may_act(now_ms))?;
        Some(Permit { slice: id, term: tenure.term, until_ms: tenure.permitted_until_ms })
    }
}

/// The last reading of one failure domain's value.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DomainReading {
    /// Version of the value in the store; 0 if it is absent.
    pub version: u64,
    /// Start of the last reading, in monotonic milliseconds.
    pub read_ms: Option<u64>,
    /// Whether a call is under way.
    pub in_flight: bool,
    /// When to read next, in monotonic milliseconds.
    pub next_read_ms: u64,
}

/// Slices by row, with an index by name.
#[derive(Debug, Default)]
pub struct SliceTable {
    rows: SlotMap<SliceId, Slice>,
    by_name: FxHashMap<SliceName, SliceId>,
    /// Readings by failure domain.
    pub domains: BTreeMap<FailureDomain, DomainReading>,
}

impl SliceTable {
    /// Finds or adds a slice.
    pub fn ensure(&mut self, name: &SliceName) -> SliceId {
        if let Some(&id) = self.by_name.get(name) {
            return id;
        }
        let slice = Slice { name: name.clone(), record: SliceRecord::default(), role: SliceRole::Other };
        let id = self.rows.insert(slice);
        self.by_name.insert(name.clone(), id);
        id
    }

    /// Finds a slice by name.
    #[must_use]
    pub fn find(&self, name: &SliceName) -> Option<SliceId> {
        self.by_name.get(name).copied()
    }

    /// Borrows a slice.
    #[must_use]
    pub fn get(&self, id: SliceId) -> Option<&Slice> {
        self.rows.get(id)
    }

    /// Borrows a slice to change it.
    pub fn get_mut(&mut self, id: SliceId) -> Option<&mut Slice> {
        self.rows.get_mut(id)
    }

    /// Iterates over all slices.
    pub fn iter(&self) -> impl Iterator<Item = (SliceId, &Slice)> {
        self.rows.iter()
    }

    /// Iterates over all slices to change them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (SliceId, &mut Slice)> {
        self.rows.iter_mut()
    }

    /// Gives permission to act on a slice, if there is any now.
    #[must_use]
    pub fn permit(&self, id: SliceId, now_ms: u64) -> Option<Permit> {
        self.rows.get(id)?.permit(id, now_ms)
    }

    /// Tells whether a permit still holds.
    #[must_use]
    pub fn permit_holds(&self, permit: &Permit, now_ms: u64) -> bool {
        self.permit(permit.slice, now_ms).is_some_and(|fresh| fresh.term == permit.term)
    }

    /// Borrows the holder of a slice by the last reading.
    #[must_use]
    pub fn holder_of(&self, name: &SliceName) -> Option<&Incarnation> {
        self.rows.get(self.find(name)?)?.record.holder.as_ref()
    }
}
