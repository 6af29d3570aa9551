//! Membership and ownership of slices.
//!
//! Capacity is book-kept by one daemon at a time: the holder of a slice by the store's record, and only while
//! its permission is fresh by the monotonic clock. See `docs/DESIGN.md`, "Who may give work to a host".

mod claim;
mod domain_records;
mod gossip;
mod host_list;
mod membership;
mod send_gate;
mod stop;
mod store_link;

use cassiahoist_world::prelude::*;

/// Registers membership, ownership, the host list and gossip.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnershipPlugin;

impl Plugin for OwnershipPlugin {
    fn build(&self, app: &mut App) {
        app.add_system(TickSet::Receive, store_link::watch_store_link)
            .add_system(TickSet::Receive, gossip::read_gossip)
            .add_system(TickSet::Permission, domain_records::read_domain_replies)
            .add_system(TickSet::Permission, domain_records::expire_permissions)
            .add_system(TickSet::Membership, membership::read_member_replies)
            .add_system(TickSet::Membership, membership::renew_membership)
            .add_system(TickSet::Membership, host_list::read_host_list)
            .add_system(TickSet::Membership, stop::begin_stop)
            .add_system(TickSet::Membership, claim::change_records)
            .add_system(TickSet::Membership, domain_records::confirm_domains)
            .add_system(TickSet::Report, gossip::send_gossip)
            .add_system(TickSet::Send, send_gate::drop_lapsed_effects)
            .add_system(TickSet::Send, stop::finish_stop);
    }
}
