//! Requests advice on hosts, chooses a host for each task and starts the tasks.

mod advice;
mod choose;
mod gang;
mod isolation;
mod place;
mod requirements;
mod rerank;
mod room_bounds;
mod selectable;
mod start_route;

pub use choose::{Candidate, choose_candidate};

use cassiahoist_world::prelude::*;

/// Registers the systems for advice and for placing tasks.
#[derive(Debug)]
pub struct PlacementPlugin;

impl Plugin for PlacementPlugin {
    fn build(&self, app: &mut App) {
        app.add_system(TickSet::Placement, advice::forward_advice_calls)
            .add_system(TickSet::Placement, advice::apply_advice)
            .add_system(TickSet::Placement, rerank::rerank_ready_steps)
            .add_system(TickSet::Placement, place::place_tasks)
            .add_system(TickSet::Placement, advice::request_advice);
    }
}
