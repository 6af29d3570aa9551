//! Permission of the holder to give orders, and the exclusion of earlier holders.
//!
//! A claim can end without its holder's knowledge, while the holder still reaches some hosts. So it gives orders only for a
//! short time after its claim was certain. That is shown by the store, which renewed the lease, or by most hosts of the roster,
//! which took its orders: a successor gives its fence to most hosts first. With the store away from everybody,
//! the hosts let the holder go on.

use std::collections::BTreeMap;

use cassiahoist_core::prelude::*;
use cassiahoist_world::holding::{ListedHost, PERMISSION_MS};
use cassiahoist_world::hosts::{Adoption, Host, HostKey};
use cassiahoist_world::prelude::*;

use crate::order_answers::poll_immediately;

/// Age of the lease's renewal from which hosts are asked to confirm the claim, in milliseconds.
///
/// A renewal is overdue then.
const OVERDUE_RENEWAL_MS: u64 = 600;

/// Age of a host's confirmation from which it is asked again, in milliseconds.
const STALE_CONFIRMATION_MS: u64 = 500;

/// Interval between looks at the hosts' confirmations while the store renews no lease, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 100;

/// Time without the store after which all hosts of the roster have to confirm the claim, in milliseconds.
///
/// A successor that can't reach most hosts of the roster relies on it.
pub(crate) const MAX_ISOLATION_MS: u64 = 15_000;

/// Extends the permission to give orders by what the store and the hosts last confirmed.
pub fn extend_permission(world: &mut World, now_ms: u64) {
    if !world.holding.is_holding() {
        return;
    }
    let had_permission = world.holding.has_permission_since_ms.is_some();
    if world.store_connection.lease.is_some() {
        // The claim ends with the lease.
        world.holding.confirm_claim(world.store_connection.lease_renewed_at_ms);
    }
    let overdue_at_ms = world.holding.claim_confirmed_at_ms.saturating_add(OVERDUE_RENEWAL_MS);
    if now_ms >= overdue_at_ms {
        confirm_with_hosts(world, now_ms);
        world.wake_by(now_ms + CHECK_INTERVAL_MS);
    } else {
        world.wake_by(overdue_at_ms);
    }
    let has_permission = world.holding.has_permission(now_ms);
    if had_permission != has_permission {
        world.holding.has_permission_since_ms = has_permission.then_some(now_ms);
        let event = if has_permission { EventId::PermissionRegained } else { EventId::PermissionEnded };
        let confirming_hosts =
            confirmation_times(world).filter(|at_ms| now_ms < at_ms + PERMISSION_MS).count();
        let log_record = LogRecord::new(event)
            .with("claim_confirmed_ms_ago", now_ms.saturating_sub(world.holding.claim_confirmed_at_ms))
            .with("confirming_hosts", confirming_hosts)
            .with("roster_hosts", world.store_writes.roster_size);
        world.log(log_record);
    }
}

/// Iterates over the times at which hosts of the roster last confirmed this daemon's fence, in monotonic milliseconds.
fn confirmation_times(world: &World) -> impl Iterator<Item = u64> {
    let listed_hosts = world.hosts.iter_engaged().filter(|(_, host)| host.in_roster);
    listed_hosts.map(|(_, host)| host.fence_confirmed_at_ms)
}

/// Extends the permission if enough hosts have confirmed the claim, and asks those whose confirmation is old.
fn confirm_with_hosts(world: &mut World, now_ms: u64) {
    let Some(required_count) = required_confirmations(world, now_ms) else { return };
    let mut times_ms: Vec<u64> = confirmation_times(world).collect();
    if times_ms.len() < required_count {
        return;
    }
    times_ms.sort_unstable_by(|one, other| other.cmp(one));
    world.holding.extend_permission(times_ms[required_count - 1] + PERMISSION_MS);
    // Some answers are lost.
    let asked_count = required_count + required_count / 4;
    let is_recent = |at_ms: &&u64| now_ms < **at_ms + STALE_CONFIRMATION_MS;
    let missing_count = asked_count.saturating_sub(times_ms.iter().filter(is_recent).count());
    for key in hosts_to_ask(world, missing_count, now_ms) {
        poll_immediately(world, key, now_ms);
    }
}

/// Returns how many hosts have to confirm the claim; `None` if the roster shows none.
///
/// That is more than half of the stored roster, so that a successor that gave its fence to more than half of it has
/// been to one of them. After a long time without the store it is all of the roster.
fn required_confirmations(world: &World, now_ms: u64) -> Option<usize> {
    let roster_size = world.store_writes.roster_size;
    let is_long = now_ms >= world.holding.claim_confirmed_at_ms.saturating_add(MAX_ISOLATION_MS);
    (roster_size > 0).then_some(if is_long { roster_size } else { roster_size / 2 + 1 })
}

/// Chooses hosts whose confirmation is old, responsive ones first.
fn hosts_to_ask(world: &World, count: usize, now_ms: u64) -> Vec<HostKey> {
    let may_ask = |host: &Host| {
        host.in_roster
            && host.open_extra_polls == 0
            && now_ms >= host.fence_confirmed_at_ms + STALE_CONFIRMATION_MS
    };
    let mut hosts: Vec<(bool, HostKey)> = world
        .hosts
        .iter_engaged()
        .filter(|(_, host)| may_ask(host))
        .map(|(key, host)| (host.unresponsive_since_ms.is_some(), key))
        .collect();
    hosts.sort_unstable();
    hosts.into_iter().take(count).map(|(_, key)| key).collect()
}

/// Records when enough hosts of the roster were shut out from earlier holders for these to lose their permission.
///
/// A host is shut out once it has answered under this daemon's fence, has restarted or is gone.
pub fn record_shut_out(world: &mut World, now_ms: u64) {
    if !world.holding.is_holding() || world.holding.shut_out_at_ms.is_some() {
        return;
    }
    let counts = count_shut_out(world);
    let is_long = now_ms >= world.holding.polling_since_ms + MAX_ISOLATION_MS;
    let is_unreadable = world.holding.loading.is_roster_unreadable;
    if is_unreadable && !is_long && !is_every_host_adopted(world) {
        // Most of the known hosts need not be most of those that an earlier holder knew.
        return world.wake_by(world.holding.polling_since_ms + MAX_ISOLATION_MS);
    }
    let Some(whole_roster) = counts.last().copied() else { return };
    let is_one_enough = is_long && !is_unreadable;
    if counts.iter().all(|count| count.is_majority() || (is_one_enough && count.shut_out > 0)) {
        world.holding.shut_out_at_ms = Some(now_ms);
        // The roster no longer has to tell hosts apart by when they joined.
        world.store_writes.roster_stale |=
            world.hosts.iter_engaged().any(|(_, host)| host.joined_generation > 0);
        let log_record = LogRecord::new(EventId::PredecessorShutOut)
            .with("hosts", whole_roster.shut_out)
            .with("roster_hosts", whole_roster.listed)
            .with("generations", counts.len())
            .with("took_ms", now_ms.saturating_sub(world.holding.polling_since_ms));
        world.log(log_record);
    }
}

/// Hosts to which one or more earlier holders may have given orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ShutOutCount {
    /// Number of them that are shut out from these holders.
    shut_out: usize,
    /// Number of them.
    listed: usize,
}

impl ShutOutCount {
    /// Returns whether these holders can no longer have more than half of their hosts.
    fn is_majority(self) -> bool {
        self.shut_out * 2 > self.listed
    }
}

/// Counts the hosts of each earlier holder that may still act, from the first one on.
///
/// Each later one knew the hosts of those before it and the ones that joined under it.
fn count_shut_out(world: &World) -> Vec<ShutOutCount> {
    if world.holding.loading.is_roster_unreadable {
        let adopted = world.hosts.iter_engaged().filter(|(_, host)| host.adoption == Adoption::Adopted);
        let listed = world.hosts.iter_engaged().count();
        return vec![ShutOutCount { shut_out: adopted.count(), listed }];
    }
    let mut counts: BTreeMap<u32, ShutOutCount> = BTreeMap::new();
    for listed_host in &world.holding.loading.roster_hosts {
        let count = counts.entry(listed_host.joined_generation).or_default();
        count.listed += 1;
        count.shut_out += usize::from(is_shut_out(world, listed_host));
    }
    let mut sum = ShutOutCount::default();
    let sums = counts.into_values().map(|count| {
        sum = ShutOutCount { shut_out: sum.shut_out + count.shut_out, listed: sum.listed + count.listed };
        sum
    });
    sums.collect()
}

fn is_every_host_adopted(world: &World) -> bool {
    world.hosts.iter().all(|(_, host)| host.adoption == Adoption::Adopted)
}

fn is_shut_out(world: &World, listed_host: &ListedHost) -> bool {
    let row = world.hosts.find(&listed_host.name).and_then(|key| world.hosts.get(key));
    row.is_none_or(|host| {
        host.adoption == Adoption::Adopted || host.entry.started_unix_ms > listed_host.started_unix_ms
    })
}

/// Returns when earlier holders were known to lose their permission, in monotonic milliseconds; `None` before that.
fn predecessors_shut_out_at_ms(world: &World) -> Option<u64> {
    let loading = &world.holding.loading;
    // A holder without hosts in the roster has given no orders.
    let is_empty = loading.roster_hosts.is_empty() && !loading.is_roster_unreadable;
    if is_empty { Some(world.holding.polling_since_ms) } else { world.holding.shut_out_at_ms }
}

/// Returns whether earlier holders have lost their permission, or lose it within [`PERMISSION_MS`].
#[must_use]
pub fn are_predecessors_shut_out(world: &World) -> bool {
    predecessors_shut_out_at_ms(world).is_some()
}

/// Returns when all run leases that earlier holders extended have ended, in monotonic milliseconds.
///
/// `None` while they may still extend them: until most hosts of each earlier roster are shut out.
#[must_use]
pub fn inherited_leases_end_at_ms(world: &World) -> Option<u64> {
    let is_longest = world.hosts.iter_engaged().any(|(_, host)| may_hold_inherited_longest_lease(host));
    inherited_lease_end_at_ms(world, is_longest)
}

/// Returns when the run lease of one host has ended if an earlier holder extended it, in monotonic milliseconds.
pub(crate) fn inherited_lease_end_of_host_at_ms(world: &World, host: &Host) -> Option<u64> {
    inherited_lease_end_at_ms(world, host.earlier_clock_orders.are_from_before_restart())
}

/// Returns when inherited run leases have ended, of which some may be the longest that the platform allows.
///
/// An unreadable roster doesn't tell which ones are.
pub(crate) fn inherited_lease_end_at_ms(world: &World, is_longest: bool) -> Option<u64> {
    let local = &world.local;
    let is_longest = is_longest || world.holding.loading.is_roster_unreadable;
    let lease_ms = if is_longest { local.longest_run_lease_ms() } else { local.bounds.max_run_lease_ms() };
    predecessors_shut_out_at_ms(world).map(|at_ms| at_ms + PERMISSION_MS + lease_ms)
}

/// Returns whether an unadopted host may hold the longest lease, after a restart under an earlier holder.
pub(crate) fn may_hold_inherited_longest_lease(host: &Host) -> bool {
    is_unadopted(host) && host.earlier_clock_orders.are_from_before_restart()
}

/// Returns whether earlier holders may have runs on a host that has not reported them.
pub(crate) fn is_unadopted(host: &Host) -> bool {
    host.is_unadopted()
}
