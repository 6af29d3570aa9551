//! Membership of daemons and the claim on the slice.
//!
//! Each daemon keeps one lease in the store. Its member entry and, at the holder, the claim end with the lease.
//! The claim's revision is the fencing token of every order to hosts.

mod claim;
mod doubt;
mod fitness;
mod follow;
mod lease;
mod load;
mod members;
mod step_down;
mod stop;

pub use claim::SLICE;
pub use members::learn_claim;
pub use step_down::{Cause, step_down};

use cassiahoist_world::prelude::*;

/// Systems of membership, claims and graceful stop.
#[derive(Debug)]
pub struct MembershipPlugin;

impl Plugin for MembershipPlugin {
    fn build(&self, app: &mut App) {
        app.add_system(TickSet::Receive, follow::sort_store_answers)
            .add_system(TickSet::Membership, doubt::doubt_after_pause)
            .add_system(TickSet::Membership, fitness::judge_fitness)
            .add_system(TickSet::Membership, stop::begin_stop)
            .add_system(TickSet::Membership, lease::read_lease_answers)
            .add_system(TickSet::Membership, lease::keep_lease)
            .add_system(TickSet::Membership, members::read_cell)
            .add_system(TickSet::Membership, members::register_member)
            .add_system(TickSet::Membership, members::read_heartbeats)
            .add_system(TickSet::Membership, claim::read_claim_answers)
            .add_system(TickSet::Membership, claim::claim_vacant_slice)
            .add_system(TickSet::Membership, load::load_records)
            .add_system(TickSet::Membership, load::finish_adoption)
            .add_system(TickSet::Report, follow::follow_ranges)
            .add_system(TickSet::Report, stop::confirm_release)
            .add_system(TickSet::Report, stop::release_claim)
            .add_system(TickSet::Report, stop::finish_stop);
    }
}
