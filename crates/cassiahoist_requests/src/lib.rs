//! Admission, routing and limits of requests to runners.
//!
//! A request is granted a slot of a runner whose slice is held here, forwarded once to a peer with room, queued
//! until a slot is free, or refused early. Non-idempotent requests go to the owner of their identity first,
//! which records them before they are granted.

mod admit;
mod ends;
mod grant;
mod load;
mod lookup;
mod retire;
mod runners;

use cassiahoist_world::prelude::*;

/// Registers requests and runners.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestsPlugin;

impl Plugin for RequestsPlugin {
    fn build(&self, app: &mut App) {
        app.add_system(TickSet::Receive, ends::read_run_ends)
            .add_system(TickSet::Receive, ends::read_forward_ends)
            .add_system(TickSet::Hosts, runners::read_runner_states)
            .add_system(TickSet::Hosts, runners::probe_runners)
            .add_system(TickSet::Queue, admit::settle_recordings)
            .add_system(TickSet::Queue, admit::admit_requests)
            .add_system(TickSet::Queue, lookup::answer_lookups)
            .add_system(TickSet::Place, grant::grant_slots)
            .add_system(TickSet::Recover, retire::expire_requests)
            .add_system(TickSet::Report, load::summarise_slots);
    }
}
