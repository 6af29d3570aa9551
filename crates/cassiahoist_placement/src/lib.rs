//! Placement: advice on hosts, the choice of a host for each task, and starts.

mod advice;
mod choose;
mod gang;
mod order;
mod place;
mod terms;

pub use choose::{Candidate, choose_host};

use cassiahoist_world::prelude::*;

/// Systems of placement.
#[derive(Debug)]
pub struct PlacementPlugin;

impl Plugin for PlacementPlugin {
    fn build(&self, app: &mut App) {
        app.add_system(TickSet::Place, advice::relay_advice_calls)
            .add_system(TickSet::Place, advice::read_advice)
            .add_system(TickSet::Place, place::place_tasks)
            .add_system(TickSet::Place, advice::ask_for_advice);
    }
}
