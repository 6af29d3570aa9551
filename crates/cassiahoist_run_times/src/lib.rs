//! Learned run times: speeds of hosts, and the summary for the next holder.
//!
//! [`RunTimeTable`](cassiahoist_world::run_times::RunTimeTable) holds what finished runs have taught.

mod host_speeds;
mod learned_log;
mod summary;

use cassiahoist_world::prelude::*;

/// Registers the systems for learned run times.
#[derive(Debug)]
pub struct RunTimesPlugin;

impl Plugin for RunTimesPlugin {
    fn build(&self, app: &mut App) {
        app.add_system(TickSet::Membership, summary::load_summary)
            .add_system(TickSet::HostAnswers, host_speeds::update_host_speeds)
            .add_system(TickSet::StoreWrites, summary::write_summary)
            .add_system(TickSet::Outgoing, learned_log::log_learned);
    }
}
