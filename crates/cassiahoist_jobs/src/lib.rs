//! Accepts, queries, cancels, records and removes the jobs of callers.
//!
//! Any daemon accepts a job by creating its record in the store and then notifies the holder. The holder keeps the jobs
//! in its tables and writes their progress to the store; [`insert_job`] turns a record into rows.

mod accept;
mod calls;
mod cancel;
mod cancellation_removal;
mod heartbeat;
mod job_removal;
mod job_rows;
mod job_updates;
mod notify;
mod progress;
mod query;
mod relay;

pub use job_rows::{InheritedState, insert_job};

use cassiahoist_world::prelude::*;

/// Registers the systems for callers' calls, job records and heartbeats.
#[derive(Debug)]
pub struct JobsPlugin;

impl Plugin for JobsPlugin {
    fn build(&self, app: &mut App) {
        app.add_system(TickSet::Calls, job_updates::load_jobs)
            .add_system(TickSet::Calls, job_updates::apply_notices)
            .add_system(TickSet::Calls, calls::drop_disconnected_callers)
            .add_system(TickSet::Calls, heartbeat::detect_silent_holder)
            .add_system(TickSet::Calls, calls::admit_calls)
            .add_system(TickSet::Calls, relay::process_relay_messages)
            .add_system(TickSet::Calls, accept::apply_accept_answers)
            .add_system(TickSet::Calls, query::process_state_messages)
            .add_system(TickSet::Calls, query::apply_read_answers)
            .add_system(TickSet::Calls, cancel::apply_cancel_answers)
            .add_system(TickSet::Calls, calls::retry_calls)
            .add_system(TickSet::Calls, notify::send_notices)
            .add_system(TickSet::Calls, job_updates::apply_notices)
            .add_system(TickSet::Calls, cassiahoist_runs::open_waiting_occurrences)
            .add_system(TickSet::StoreWrites, progress::apply_progress_answers)
            .add_system(TickSet::StoreWrites, progress::record_progress)
            .add_system(TickSet::StoreWrites, job_removal::remove_old_jobs)
            .add_system(TickSet::StoreWrites, cancellation_removal::remove_unstored_cancellations)
            .add_system(TickSet::Outgoing, heartbeat::send_heartbeat);
    }
}
