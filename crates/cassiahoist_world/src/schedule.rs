//! Ordered sets of systems.

use crate::world::World;

/// A system: one job over the tables, given the present monotonic time in milliseconds.
pub type System = fn(&mut World, u64);

/// The sets of a tick, in the order in which they run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TickSet {
    /// Answers of the store are read into tables.
    Receive,
    /// Permission to act on slices is renewed.
    Permission,
    /// Members and slices change hands.
    Membership,
    /// A newer generation of the configuration comes in force.
    Configuration,
    /// Hosts appear, leave and are adopted.
    Hosts,
    /// Requests and jobs are admitted and queued.
    Queue,
    /// Requests are granted slots and tasks are placed.
    Place,
    /// Leases of tasks are renewed and expired.
    Lease,
    /// Work whose host or holder is gone is recovered.
    Recover,
    /// Peers and callers are told.
    Report,
    /// Effects without fresh permission are dropped.
    Send,
}

/// Number of sets.
const SET_COUNT: usize = TickSet::Send as usize + 1;

/// Systems in ordered sets.
#[derive(Debug, Default)]
pub struct Schedule {
    sets: [Vec<System>; SET_COUNT],
}

impl Schedule {
    /// Adds a system to the end of a set.
    pub fn add(&mut self, set: TickSet, system: System) {
        self.sets[set as usize].push(system);
    }

    /// Runs every system once, set by set.
    pub fn run(&self, world: &mut World, now_ms: u64) {
        for system in self.sets.iter().flatten() {
            system(world, now_ms);
        }
    }
}
