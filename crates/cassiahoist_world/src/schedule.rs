//! Ordered sets of systems.

use crate::world::World;

/// A function over the tables, called with the monotonic time in milliseconds.
pub type System = fn(&mut World, u64);

/// Sets of a tick, in the order in which they run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TickSet {
    /// Updates the state of the store's connection and sorts its results by range.
    Receive,
    /// Applies a newer configuration and stores operators' declarations.
    Configuration,
    /// Maintains the lease and the registration; claims, adopts and loses the slice.
    Membership,
    /// Updates hosts from their store entries and engages those that may get work.
    Hosts,
    /// Processes callers' calls, new jobs and cancellations, and applies declarations to hosts.
    Calls,
    /// Processes hosts' answers, ends runs whose host's lease expired, and stops partial gangs.
    HostAnswers,
    /// Obtains advice for ready tasks and assigns hosts to them.
    Placement,
    /// Stops stalled runs, repeats stop orders, adjusts fillers' share and polls hosts.
    Runs,
    /// Writes progress and the roster to the store and removes expired jobs.
    StoreWrites,
    /// Sends heartbeats, follows the store's ranges and completes a stop.
    Outgoing,
}

/// Number of sets; [`TickSet::Outgoing`] must stay the last one.
const SET_COUNT: usize = TickSet::Outgoing as usize + 1;

/// Systems by set, in the order in which they run.
#[derive(Debug, Default)]
pub struct Schedule {
    sets: [Vec<System>; SET_COUNT],
}

impl Schedule {
    /// Appends a system to a set.
    pub fn add(&mut self, set: TickSet, system: System) {
        self.sets[set as usize].push(system);
    }

    /// Runs every system once, set by set, at the given monotonic time in milliseconds.
    pub fn run(&self, world: &mut World, now_ms: u64) {
        for system in self.sets.iter().flatten() {
            system(world, now_ms);
        }
    }
}
