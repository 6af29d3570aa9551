//! Runs of tasks on hosts: polls, ends, stop orders, leases and filler pace. Also the load that they cause.
//!
//! A host's own lists are authoritative for what runs there, and poll answers update the run rows. A run keeps its
//! resources reserved until the host lists its end or the host's lease expires.

mod adopt;
mod crashes;
mod handled_starts;
mod health;
mod host_lists;
mod late_starts;
mod lease_expiry;
mod lifecycle;
mod load;
mod occurrences;
mod order_answers;
mod orphans;
mod outcome;
mod pace;
mod permission;
mod poll;
mod run_times;
mod stalls;
mod start_relays;
mod stop_orders;
mod unsent_starts;

pub use crashes::settle_crashes;
pub use lease_expiry::{
    InheritedStarts, decide_inherited_starts, may_start_inherited_jobs, reset_restarted_host,
};
pub use lifecycle::{reserve_run, stop_job_runs, stop_run};
pub use occurrences::{open_begun_occurrences, open_due_occurrences, open_waiting_occurrences};
pub use outcome::{JobEnd, end_job};
pub use permission::{are_predecessors_shut_out, inherited_leases_end_at_ms};

use cassiahoist_world::prelude::*;

/// Registers the systems that track runs on hosts.
#[derive(Debug)]
pub struct RunsPlugin;

impl Plugin for RunsPlugin {
    fn build(&self, app: &mut App) {
        app.add_system(TickSet::Receive, load::measure_tick)
            .add_system(TickSet::Receive, handled_starts::take_handled_answers)
            .add_system(TickSet::HostAnswers, order_answers::apply_order_answers)
            .add_system(TickSet::HostAnswers, permission::extend_permission)
            .add_system(TickSet::HostAnswers, permission::record_shut_out)
            .add_system(TickSet::HostAnswers, lease_expiry::confirm_end_of_inherited_leases)
            .add_system(TickSet::HostAnswers, lease_expiry::expire_host_leases)
            .add_system(TickSet::HostAnswers, adopt::stop_partial_gangs)
            .add_system(TickSet::HostAnswers, start_relays::choose_start_relays)
            .add_system(TickSet::Runs, handled_starts::relay_starts)
            .add_system(TickSet::Runs, stalls::stop_stalled_runs)
            .add_system(TickSet::Runs, crashes::end_probations)
            .add_system(TickSet::Runs, stop_orders::send_stop_orders)
            .add_system(TickSet::Runs, unsent_starts::issue_unsent_starts)
            .add_system(TickSet::Runs, pace::send_filler_pace)
            .add_system(TickSet::Runs, poll::poll_hosts)
            .add_system(TickSet::Outgoing, handled_starts::return_handled_answers)
            .add_system(TickSet::Outgoing, load::log_load);
    }
}
