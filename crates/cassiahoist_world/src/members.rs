//! Daemons that are registered in the store.

use cassiahoist_core::prelude::*;
use rustc_hash::FxHashMap;

use crate::record::MemberRecord;

/// Registered daemons, this one included; updated from the followed range.
#[derive(Debug, Default)]
pub struct MemberTable {
    rows: FxHashMap<MemberName, MemberRecord>,
    /// Whether this daemon's own entry is in the store.
    pub registered: bool,
    /// Whether a call to register is in flight.
    pub register_in_flight: bool,
}

impl MemberTable {
    /// Adds a daemon or replaces its earlier record.
    pub fn insert(&mut self, record: MemberRecord) {
        self.rows.insert(record.incarnation.member.clone(), record);
    }

    /// Removes a daemon; returns whether it was there.
    pub fn remove(&mut self, name: &MemberName) -> bool {
        self.rows.remove(name).is_some()
    }

    /// Returns a daemon's record.
    #[must_use]
    pub fn get(&self, name: &MemberName) -> Option<&MemberRecord> {
        self.rows.get(name)
    }

    /// Iterates over all daemons, in no defined order.
    pub fn iter(&self) -> impl Iterator<Item = &MemberRecord> {
        self.rows.values()
    }

    /// Iterates over the peer addresses of all daemons except `left_out`.
    pub fn peer_addresses(&self, left_out: &MemberName) -> impl Iterator<Item = &str> {
        let others = self.rows.iter().filter(move |(name, _)| *name != left_out);
        others.map(|(_, member)| member.peer_address.as_str())
    }

    /// Removes the daemons that the filter rejects.
    pub fn retain(&mut self, keep: impl Fn(&MemberName) -> bool) {
        self.rows.retain(|name, _| keep(name));
    }

    /// Counts the daemons that come before the named one.
    ///
    /// Daemons with greater `limits` come first, then those with the smaller name; `left_out` is not counted.
    #[must_use]
    pub fn claim_rank(
        &self,
        name: &MemberName,
        limits: MachineLimits,
        left_out: Option<&MemberName>,
    ) -> usize {
        let ranks_before = |other: &MemberRecord| {
            let other_name = &other.incarnation.member;
            (other.limits, name) > (limits, other_name) && other_name != name && Some(other_name) != left_out
        };
        self.rows.values().filter(|other| ranks_before(other)).count()
    }
}
