//! Membership of daemons in the cell and the claim on the slice.
//!
//! A slice is a group of hosts of the cell whose work one daemon, its holder, schedules. The holder's record in the
//! store is the claim. Each daemon keeps one lease in the store. Its member entry and, at the holder, the claim are
//! removed when the lease ends. The claim's store revision is the fencing token of every order to hosts.

mod adoption;
mod claim;
mod follow;
mod lease;
mod members;
mod slow_holder;
mod step_down;
mod stop;
mod suspension;
mod weak_holder;

pub use claim::SLICE;
pub use members::apply_claim_conflict;
pub use step_down::{StepDownCause, step_down};

use cassiahoist_world::prelude::*;

/// Registers the systems of membership, claims and graceful stop.
#[derive(Debug)]
pub struct MembershipPlugin;

impl Plugin for MembershipPlugin {
    fn build(&self, app: &mut App) {
        app.add_system(TickSet::Receive, follow::route_store_answers)
            .add_system(TickSet::Membership, suspension::check_claim_after_suspension)
            .add_system(TickSet::Membership, slow_holder::detect_slow_holder)
            .add_system(TickSet::Membership, weak_holder::transfer_to_stronger)
            .add_system(TickSet::Membership, stop::begin_stop)
            .add_system(TickSet::Membership, lease::apply_lease_answers)
            .add_system(TickSet::Membership, lease::maintain_lease)
            .add_system(TickSet::Membership, members::apply_cell_changes)
            .add_system(TickSet::Membership, members::register_member)
            .add_system(TickSet::Membership, members::log_unreadable_messages)
            .add_system(TickSet::Membership, members::apply_heartbeats)
            .add_system(TickSet::Membership, claim::apply_claim_answers)
            .add_system(TickSet::Membership, claim::claim_vacant_slice)
            .add_system(TickSet::Membership, adoption::load_records)
            .add_system(TickSet::Membership, adoption::finish_adoption)
            .add_system(TickSet::Outgoing, follow::follow_ranges)
            .add_system(TickSet::Outgoing, follow::detect_stale_ranges)
            .add_system(TickSet::Outgoing, stop::retry_release)
            .add_system(TickSet::Outgoing, stop::release_claim)
            .add_system(TickSet::Outgoing, stop::finish_stop);
    }
}
