//! Daemons of the cell.

use cassiahoist_core::prelude::*;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// A row of the member table.
    pub struct MemberId;
}

/// What a daemon writes of itself to the store under a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name and start number.
    pub incarnation: Incarnation,
    /// The failure domain that it stands in.
    pub domain: FailureDomain,
    /// Address for peers, as `ip:port`.
    pub peer_address: String,
    /// Whether it is stopping and takes no new slices.
    pub leaving: bool,
}

/// What a daemon tells of its room for work of one fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadDigest {
    /// Free slots of the runners that it holds.
    pub free_slots: u32,
    /// All slots of the runners that it holds.
    pub total_slots: u32,
    /// Requests in its queue.
    pub queued: u32,
    /// Free resources of the workers that it holds, added up.
    pub free: Resources,
    /// Largest free amount of each resource on one worker.
    pub largest_free: Resources,
    /// All resources of the workers that it holds, added up.
    pub capacity: Resources,
}

/// One daemon as seen from here.
#[derive(Clone, Debug, Serialize)]
pub struct Member {
    /// What it wrote to the store.
    pub record: MemberRecord,
    /// Whether the store listed it in the last reading.
    pub listed: bool,
    /// When it was last heard of by gossip, in monotonic milliseconds; 0 for never.
    pub heard_ms: u64,
    /// Its room by fleet, from gossip.
    pub loads: FxHashMap<Fleet, LoadDigest>,
    /// Generation of the configuration that it has in force.
    pub generation: u64,
}

/// Daemons by row, with an index by name.
#[derive(Debug, Default)]
pub struct MemberTable {
    rows: SlotMap<MemberId, Member>,
    by_name: FxHashMap<MemberName, MemberId>,
    /// This daemon's own room by fleet.
    pub own_loads: FxHashMap<Fleet, LoadDigest>,
    /// When gossip is sent next, in monotonic milliseconds.
    pub next_gossip_ms: u64,
    /// Version of the last reading of the store.
    pub version: u64,
    /// Start of the last reading of the store, in monotonic milliseconds.
    pub read_ms: Option<u64>,
}

impl MemberTable {
    /// Adds a member or replaces its record.
    pub fn upsert(&mut self, record: &MemberRecord) -> MemberId {
        if let Some(&id) = self.by_name.get(&record.incarnation.member) {
            self.rows[id].record = record.clone();
            return id;
        }
        let id = self.rows.insert(Member {
            record: record.clone(),
            listed: false,
            heard_ms: 0,
            loads: FxHashMap::default(),
            generation: 0,
        });
        self.by_name.insert(record.incarnation.member.clone(), id);
        id
    }

    /// Removes a member.
    pub fn remove(&mut self, id: MemberId) -> Option<Member> {
        let member = self.rows.remove(id)?;
        self.by_name.remove(&member.record.incarnation.member);
        Some(member)
    }

    /// Finds a member by name.
    #[must_use]
    pub fn find(&self, name: &MemberName) -> Option<MemberId> {
        self.by_name.get(name).copied()
    }

    /// Borrows a member by name.
    #[must_use]
    pub fn get_named(&self, name: &MemberName) -> Option<&Member> {
        self.rows.get(self.find(name)?)
    }

    /// Borrows a member.
    #[must_use]
    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.rows.get(id)
    }

    /// Borrows a member to change it.
    pub fn get_mut(&mut self, id: MemberId) -> Option<&mut Member> {
        self.rows.get_mut(id)
    }

    /// Iterates over all members.
    pub fn iter(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.rows.iter()
    }

    /// Iterates over members that the store listed last.
    pub fn listed(&self) -> impl Iterator<Item = &Member> {
        self.rows.values().filter(|member| member.listed)
    }

    /// Tells whether exactly this run of a daemon was listed last.
    #[must_use]
    pub fn is_listed(&self, incarnation: &Incarnation) -> bool {
        self.get_named(&incarnation.member)
            .is_some_and(|member| member.listed && member.record.incarnation == *incarnation)
    }
}
