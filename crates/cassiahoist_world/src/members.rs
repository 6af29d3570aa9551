//! Live daemons.

use cassiahoist_core::prelude::*;
use rustc_hash::FxHashMap;

use crate::record::MemberRecord;

/// Daemons that are registered in the store.
#[derive(Debug, Default)]
pub struct MemberTable {
    rows: FxHashMap<MemberName, MemberRecord>,
    /// Whether this daemon's own entry is there.
    pub registered: bool,
    /// Whether a call to register is under way.
    pub registering: bool,
}

impl MemberTable {
    /// Adds or replaces a daemon.
    pub fn insert(&mut self, record: MemberRecord) {
        self.rows.insert(record.incarnation.member.clone(), record);
    }

    /// Removes a daemon.
    pub fn remove(&mut self, name: &MemberName) -> bool {
        self.rows.remove(name).is_some()
    }

    /// Finds a daemon.
    #[must_use]
    pub fn get(&self, name: &MemberName) -> Option<&MemberRecord> {
        self.rows.get(name)
    }

    /// Goes through all daemons.
    pub fn iter(&self) -> impl Iterator<Item = &MemberRecord> {
        self.rows.values()
    }

    /// Goes through the addresses at which all daemons but one hear their peers.
    pub fn peer_addresses(&self, left_out: &MemberName) -> impl Iterator<Item = &str> {
        let others = self.rows.iter().filter(move |(name, _)| *name != left_out);
        others.map(|(_, member)| member.peer_address.as_str())
    }

    /// Keeps only some daemons.
    pub fn retain(&mut self, keep: impl Fn(&MemberName) -> bool) {
        self.rows.retain(|name, _| keep(name));
    }

    /// Gives the rank of a daemon among the others: the strongest first, then by name.
    #[must_use]
    pub fn rank(&self, name: &MemberName, limits: Limits, left_out: Option<&MemberName>) -> usize {
        let before = |other: &MemberRecord| {
            let other_name = &other.incarnation.member;
            (other.limits, name) > (limits, other_name) && other_name != name && Some(other_name) != left_out
        };
        self.rows.values().filter(|other| before(other)).count()
    }
}
