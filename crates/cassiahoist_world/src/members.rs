//! Daemons that are registered in the store.

use cassiahoist_core::prelude::*;
use rustc_hash::FxHashMap;

use crate::record::MemberRecord;

/// A registered daemon.
#[derive(Clone, Debug)]
struct Member {
    record: MemberRecord,
    /// When this daemon first saw the registration of that incarnation, in monotonic milliseconds.
    registered_at_ms: u64,
}

/// Registered daemons, this one included; updated from the followed range.
#[derive(Debug, Default)]
pub struct MemberTable {
    rows: FxHashMap<MemberName, Member>,
    /// Whether this daemon's own entry is in the store.
    pub registered: bool,
    /// Whether a call to register is in flight.
    pub register_in_flight: bool,
    /// When to register next after a failed call, in monotonic milliseconds.
    pub next_register_at_ms: u64,
}

impl MemberTable {
    /// Adds a daemon or replaces its earlier record.
    pub fn insert(&mut self, record: MemberRecord, now_ms: u64) {
        let known = self.rows.get(&record.incarnation.member);
        let known = known.filter(|member| member.record.incarnation == record.incarnation);
        let registered_at_ms = known.map_or(now_ms, |member| member.registered_at_ms);
        self.rows.insert(record.incarnation.member.clone(), Member { record, registered_at_ms });
    }

    /// Removes a daemon; returns whether it was there.
    pub fn remove(&mut self, name: &MemberName) -> bool {
        self.rows.remove(name).is_some()
    }

    /// Returns a daemon's record.
    #[must_use]
    pub fn get(&self, name: &MemberName) -> Option<&MemberRecord> {
        self.rows.get(name).map(|member| &member.record)
    }

    /// Returns when the registration of an incarnation was first seen, in monotonic milliseconds.
    ///
    /// `None` if that incarnation is not registered.
    #[must_use]
    pub fn registered_at_ms(&self, incarnation: &Incarnation) -> Option<u64> {
        let member = self.rows.get(&incarnation.member)?;
        (member.record.incarnation == *incarnation).then_some(member.registered_at_ms)
    }

    /// Iterates over all daemons, in no defined order.
    pub fn iter(&self) -> impl Iterator<Item = &MemberRecord> {
        self.rows.values().map(|member| &member.record)
    }

    /// Iterates over the peer addresses of all daemons except `left_out`.
    pub fn peer_addresses(&self, left_out: &MemberName) -> impl Iterator<Item = &str> {
        let others = self.rows.iter().filter(move |(name, _)| *name != left_out);
        others.map(|(_, member)| member.record.peer_address.as_str())
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
        left_out: Option<&Incarnation>,
    ) -> usize {
        let ranks_before = |other: &MemberRecord| {
            let other_name = &other.incarnation.member;
            (other.limits, name) > (limits, other_name)
                && other_name != name
                && Some(&other.incarnation) != left_out
        };
        self.iter().filter(|other| ranks_before(other)).count()
    }

    /// Iterates over the daemons that have been registered without a break for at least `min_ms`, in no defined order.
    pub fn registered_for(&self, min_ms: u64, now_ms: u64) -> impl Iterator<Item = &MemberRecord> {
        let stable = self.rows.values().filter(move |member| now_ms >= member.registered_at_ms + min_ms);
        stable.map(|member| &member.record)
    }

    /// Returns whether a daemon on a much stronger machine is registered.
    #[must_use]
    pub fn has_much_stronger(&self, limits: MachineLimits) -> bool {
        self.iter().any(|other| other.limits.is_much_stronger_than(limits))
    }

    /// Returns when the latest registration of a daemon with greater limits was first seen, in monotonic milliseconds.
    ///
    /// `None` if there is no such daemon other than `left_out`.
    #[must_use]
    pub fn stronger_registered_at_ms(
        &self,
        limits: MachineLimits,
        left_out: Option<&Incarnation>,
    ) -> Option<u64> {
        let stronger = self
            .rows
            .values()
            .filter(|other| other.record.limits > limits && Some(&other.record.incarnation) != left_out);
        stronger.map(|other| other.registered_at_ms).max()
    }
}
