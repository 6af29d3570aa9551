//! Writes the host roster: the hosts that may run work, for the next holder.

use cassiahoist_core::prelude::*;
use cassiahoist_membership::SLICE;
use cassiahoist_world::prelude::*;
use cassiahoist_world::record::{HostRoster, RosterHost};
use cassiahoist_world::store::{StoreKey, StoreOp, StorePurpose, StoreReply, StoreValue, Transaction};

/// Timeout of one write of the roster, in milliseconds.
const WRITE_TIMEOUT_MS: u64 = 800;

/// Delay before the next write after a failed one, in milliseconds.
const WRITE_RETRY_MS: u64 = 250;

/// Writes the host roster if it is stale or lacks hosts that accept work.
///
/// A host gets its first start order only once it is in the roster, so that no later holder overlooks it.
pub fn write_host_roster(world: &mut World, now_ms: u64) {
    apply_write_answers(world, now_ms);
    let Some(fence) = world.holding.fence() else { return };
    if !world.holding.is_holding() || world.store_writes.roster_in_flight {
        return;
    }
    let is_incomplete =
        world.hosts.iter_engaged().any(|(_, host)| !host.in_roster && host.accepts_new_runs(now_ms));
    if !is_incomplete && !world.store_writes.roster_stale {
        return;
    }
    if now_ms < world.store_writes.next_roster_write_at_ms {
        return world.wake_by(world.store_writes.next_roster_write_at_ms);
    }
    world.store_writes.roster_stale = false;
    let hosts = world
        .hosts
        .iter_engaged()
        .filter(|(_, host)| host.in_roster || host.accepts_new_runs(now_ms))
        .map(|(_, host)| RosterHost {
            name: host.entry.name.clone(),
            address: host.entry.address.clone(),
            started_unix_ms: host.entry.started_unix_ms,
        })
        .collect();
    world.store_writes.roster_in_flight = true;
    let transaction = Transaction::default()
        .with_expect(StoreKey::Claim(SLICE), fence.0)
        .with_expect(StoreKey::HostRoster(SLICE), world.store_writes.roster_revision)
        .with_put(StoreKey::HostRoster(SLICE), StoreValue::HostRoster(HostRoster { hosts }));
    let accepting_hosts = world.hosts.iter_engaged().filter(|(_, host)| host.accepts_new_runs(now_ms));
    world.store_writes.roster_hosts_in_flight =
        accepting_hosts.map(|(key, host)| (key, host.entry.started_unix_ms)).collect();
    world.call_store(StorePurpose::WriteRoster, StoreOp::Commit(transaction), now_ms, WRITE_TIMEOUT_MS);
}

fn apply_write_answers(world: &mut World, now_ms: u64) {
    for completion in world.inbox.take_store_results(|purpose| *purpose == StorePurpose::WriteRoster) {
        world.store_writes.roster_in_flight = false;
        let written_hosts = std::mem::take(&mut world.store_writes.roster_hosts_in_flight);
        if !world.holding.is_since_claim(completion.issued_at_ms) {
            world.store_writes.roster_stale = true;
            continue;
        }
        match completion.outcome {
            Ok(StoreReply::Committed { revision }) => {
                world.store_writes.roster_revision = revision;
                for (key, started_unix_ms) in written_hosts {
                    if let Some(host) = world.hosts.get_mut(key)
                        && host.entry.started_unix_ms == started_unix_ms
                        && !host.in_roster
                    {
                        host.in_roster = true;
                        host.min_fence = Fence(revision);
                    }
                }
            }
            Ok(StoreReply::Conflict { items }) => {
                let roster = items.iter().find(|item| item.key == StoreKey::HostRoster(SLICE));
                world.store_writes.roster_revision = roster.map_or(0, |item| item.revision);
                world.store_writes.roster_stale = true;
            }
            Ok(_) | Err(_) => {
                world.store_writes.roster_stale = true;
                world.store_writes.next_roster_write_at_ms = now_ms + WRITE_RETRY_MS;
            }
        }
    }
}
