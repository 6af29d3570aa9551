//! Placement of tasks on workers at the holder of the workers' slice.
//!
//! Orders of owners become rows of the run table. A run is placed on an adopted worker with room, started by a
//! command under the slice's term, kept running by lease renewals, and its end is told to the owner.

mod choose;
mod load;
mod orders;
mod place;
mod reports;
mod sync;

use cassiahoist_world::prelude::*;

/// Registers placement on workers.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementPlugin;

impl Plugin for PlacementPlugin {
    fn build(&self, app: &mut App) {
        app.add_system(TickSet::Receive, reports::read_worker_reports)
            .add_system(TickSet::Queue, orders::take_orders)
            .add_system(TickSet::Queue, orders::take_cancels)
            .add_system(TickSet::Place, place::place_runs)
            .add_system(TickSet::Lease, sync::renew_leases)
            .add_system(TickSet::Report, load::summarise_room);
    }
}
