//! Accepts, queries, cancels, records and removes the jobs of callers.
//!
//! Any daemon accepts a job by creating its record in the store and then notifies the holder. The holder keeps the jobs
//! in its tables and writes their progress to the store; [`plan_job`] turns a record into rows.

mod accept;
mod calls;
mod cancel;
mod heartbeat;
mod learn;
mod notify;
mod plan;
mod progress;
mod query;
mod relay;
mod retire;

pub use plan::plan_job;

use cassiahoist_world::prelude::*;

/// Registers the systems for callers' calls, job records and heartbeats.
#[derive(Debug)]
pub struct JobsPlugin;

impl Plugin for JobsPlugin {
    fn build(&self, app: &mut App) {
        app.add_system(TickSet::Queue, learn::load_jobs)
            .add_system(TickSet::Queue, learn::apply_notices)
            .add_system(TickSet::Queue, calls::drop_disconnected_callers)
            .add_system(TickSet::Queue, calls::admit_calls)
            .add_system(TickSet::Queue, relay::serve_relayed_calls)
            .add_system(TickSet::Queue, accept::apply_accept_answers)
            .add_system(TickSet::Queue, query::process_state_messages)
            .add_system(TickSet::Queue, query::apply_lookup_answers)
            .add_system(TickSet::Queue, cancel::apply_cancel_answers)
            .add_system(TickSet::Queue, calls::retry_calls)
            .add_system(TickSet::Queue, notify::send_notices)
            .add_system(TickSet::Queue, learn::apply_notices)
            .add_system(TickSet::Queue, learn::advance_due_jobs)
            .add_system(TickSet::Record, progress::apply_progress_answers)
            .add_system(TickSet::Record, progress::record_progress)
            .add_system(TickSet::Record, retire::retire_jobs)
            .add_system(TickSet::Report, heartbeat::send_heartbeat);
    }
}
