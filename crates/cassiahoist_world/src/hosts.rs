//! Backend servers: runners and workers.

use cassiahoist_core::prelude::*;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use slotmap::{SecondaryMap, SlotMap, new_key_type};

use crate::slices::SliceId;

new_key_type! {
    /// A row of the host table.
    pub struct HostId;
}

/// What a backend server is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostRole {
    /// Answers requests.
    Runner {
        /// Requests that it runs at once.
        slots: u32,
        /// Connections that it accepts.
        connections: u32,
    },
    /// Runs tasks under leases.
    Worker {
        /// What it has.
        capacity: Resources,
    },
}

/// One line of the platform's host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReport {
    /// Fleet and name.
    pub name: HostName,
    /// What it is for.
    pub role: HostRole,
    /// Where it stands.
    pub domain: FailureDomain,
    /// The rack that it stands in.
    pub rack: RackName,
    /// Its address, as `ip:port`.
    pub address: String,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Whether a host may be given new work, for reasons that lie with the host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub enum HostHealth {
    /// It works.
    #[default]
    Live,
    /// It does not answer.
    Unreachable,
    /// It fails what it starts and gets no work until the time given, in monotonic milliseconds.
    Quarantined {
        /// End of the quarantine.
        until_ms: u64,
    },
}

/// How far the adoption of a host under the current term has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub enum Adoption {
    /// It was not asked under the current term.
    #[default]
    Unknown,
    /// It was asked what it runs.
    Asked {
        /// The term under which it was asked.
        term: u64,
        /// When it was asked, in monotonic milliseconds.
        at_ms: u64,
    },
    /// It answered; its rows are complete.
    Adopted {
        /// The term under which it answered.
        term: u64,
    },
}

/// One backend server.
#[derive(Clone, Debug, Serialize)]
pub struct Host {
    /// The host list's line.
    pub report: HostReport,
    /// The slice that it belongs to.
    pub slice: SliceId,
    /// Whether it works.
    pub health: HostHealth,
    /// Whether it is leaving, by whichever sign came first.
    pub leaving: bool,
    /// Whether its work is known under the current term.
    pub adoption: Adoption,
    /// Failures in a row.
    pub failures: u32,
}

impl Host {
    /// Tells whether the host may be given new work under a term.
    #[must_use]
    pub fn takes_work(&self, term: u64) -> bool {
        !self.leaving && self.health == HostHealth::Live && self.adoption == Adoption::Adopted { term }
    }
}

/// Commands to a worker under way.
#[derive(Clone, Debug, Default, Serialize)]
pub struct HostSync {
    /// Whether a command is unanswered.
    pub in_flight: bool,
    /// When the last command was issued, in monotonic milliseconds.
    pub last_ms: u64,
    /// Finished tasks that the worker may forget.
    pub forget: Vec<TaskName>,
}

/// Hosts by row, with columns for what changes often and indexes by name and slice.
#[derive(Debug, Default)]
pub struct HostTable {
    rows: SlotMap<HostId, Host>,
    by_name: FxHashMap<HostName, HostId>,
    by_slice: FxHashMap<SliceId, Vec<HostId>>,
    /// Slots in use, for runners.
    pub slots_used: SecondaryMap<HostId, u32>,
    /// Resources booked, for workers.
    pub booked: SecondaryMap<HostId, Resources>,
    /// Commands under way, for workers.
    pub sync: SecondaryMap<HostId, HostSync>,
    /// Revision of the host list read last.
    pub revision: u64,
}

impl HostTable {
    /// Adds a host.
    pub fn insert(&mut self, report: &HostReport, slice: SliceId) -> HostId {
        let id = self.rows.insert(Host {
            report: report.clone(),
            slice,
            health: HostHealth::Live,
            leaving: report.leaving,
            adoption: Adoption::Unknown,
            failures: 0,
        });
        self.by_name.insert(report.name.clone(), id);
        self.by_slice.entry(slice).or_default().push(id);
        self.slots_used.insert(id, 0);
        self.booked.insert(id, Resources::default());
        self.sync.insert(id, HostSync::default());
        id
    }

    /// Removes a host.
    pub fn remove(&mut self, id: HostId) -> Option<Host> {
        let host = self.rows.remove(id)?;
        self.by_name.remove(&host.report.name);
        if let Some(ids) = self.by_slice.get_mut(&host.slice) {
            ids.retain(|&other| other != id);
        }
        self.slots_used.remove(id);
        self.booked.remove(id);
        self.sync.remove(id);
        Some(host)
    }

    /// Finds a host by name.
    #[must_use]
    pub fn find(&self, name: &HostName) -> Option<HostId> {
        self.by_name.get(name).copied()
    }

    /// Borrows a host.
    #[must_use]
    pub fn get(&self, id: HostId) -> Option<&Host> {
        self.rows.get(id)
    }

    /// Borrows a host to change it.
    pub fn get_mut(&mut self, id: HostId) -> Option<&mut Host> {
        self.rows.get_mut(id)
    }

    /// Iterates over all hosts.
    pub fn iter(&self) -> impl Iterator<Item = (HostId, &Host)> {
        self.rows.iter()
    }

    /// Iterates over all hosts to change them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (HostId, &mut Host)> {
        self.rows.iter_mut()
    }

    /// Lists the hosts of a slice.
    #[must_use]
    pub fn in_slice(&self, slice: SliceId) -> &[HostId] {
        self.by_slice.get(&slice).map_or(&[], Vec::as_slice)
    }

    /// Counts all hosts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Tells whether there are no hosts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Gives the free slots of a runner.
    #[must_use]
    pub fn free_slots(&self, id: HostId) -> u32 {
        match self.rows.get(id).map(|host| &host.report.role) {
            Some(HostRole::Runner { slots, .. }) => slots.saturating_sub(self.slots_used[id]),
            _ => 0,
        }
    }

    /// Gives the free resources of a worker.
    #[must_use]
    pub fn free_resources(&self, id: HostId) -> Resources {
        match self.rows.get(id).map(|host| &host.report.role) {
            Some(HostRole::Worker { capacity }) => capacity.minus(&self.booked[id]),
            _ => Resources::default(),
        }
    }
}
