//! Jobs and their tasks at the owner of their identity.
//!
//! The owner records a job before anything is dispatched, orders its tasks from holders of hosts and keeps what
//! became of each. Placement itself is the holders' business, see `cassiahoist_placement`.

mod admit;
mod news;
mod order;
mod report;

use cassiahoist_world::prelude::*;

/// Registers jobs and tasks.
#[derive(Clone, Copy, Debug, Default)]
pub struct JobsPlugin;

impl Plugin for JobsPlugin {
    fn build(&self, app: &mut App) {
        app.add_system(TickSet::Receive, news::read_task_news)
            .add_system(TickSet::Queue, admit::admit_jobs)
            .add_system(TickSet::Queue, admit::activate_recorded_jobs)
            .add_system(TickSet::Queue, report::answer_job_questions)
            .add_system(TickSet::Place, order::order_tasks)
            .add_system(TickSet::Recover, order::repeat_orders);
    }
}
