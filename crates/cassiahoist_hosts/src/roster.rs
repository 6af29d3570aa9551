//! Writes the host roster: the hosts that may run work, for the next holder.

use std::collections::BTreeSet;

use cassiahoist_core::prelude::*;
use cassiahoist_membership::SLICE;
use cassiahoist_runs::{are_predecessors_shut_out, inherited_leases_end_at_ms};
use cassiahoist_world::hosts::{Adoption, Host, HostKey};
use cassiahoist_world::prelude::*;
use cassiahoist_world::record::{HostRoster, RosterHost};
use cassiahoist_world::store::{StoreKey, StoreOp, StorePurpose, StoreReply, StoreValue, Transaction};

/// Timeout of one write of the roster, in milliseconds.
const WRITE_TIMEOUT_MS: u64 = 800;

/// Delay before the next write after a failed one, in milliseconds.
const WRITE_RETRY_MS: u64 = 250;

/// Shortest time between two writes that only remove hosts, in milliseconds.
///
/// Each write holds the whole roster. A host that stays in it a little longer delays only the start of the next holder.
const REMOVAL_INTERVAL_MS: u64 = 1_000;

/// Shortest time between two writes that list silent hosts, in milliseconds.
const MIN_SILENCE_INTERVAL_MS: u64 = 100;

/// The same for each engaged host, since each write holds the whole roster, in milliseconds.
const SILENCE_INTERVAL_MS_PER_HOST: u64 = 1;

/// Writes the host roster if it is stale or lacks hosts that accept work.
///
/// A host gets its first start order only once it is in the roster, so that no later holder overlooks it.
pub fn write_host_roster(world: &mut World, now_ms: u64) {
    apply_write_answers(world, now_ms);
    let Some(fence) = world.holding.fence() else { return };
    if !world.holding.is_holding() || world.store_writes.roster_in_flight {
        return;
    }
    if world.holding.loading.is_roster_unreadable {
        // The next holder, too, has to wait for hosts that only the unreadable roster lists.
        match inherited_leases_end_at_ms(world) {
            Some(end_ms) if now_ms >= end_ms => {}
            Some(end_ms) => return world.wake_by(end_ms),
            None => return,
        }
    }
    let is_incomplete =
        world.hosts.iter_engaged().any(|(_, host)| !host.in_roster && host.accepts_new_runs(now_ms));
    let has_silent_hosts = world.hosts.iter_engaged().any(|(_, host)| is_newly_silent(host));
    if !is_incomplete && !has_silent_hosts && !world.store_writes.roster_stale {
        return;
    }
    let removal_at_ms = match (is_incomplete, has_silent_hosts) {
        (true, _) => 0,
        (false, true) => world.store_writes.next_roster_silence_at_ms,
        (false, false) => world.store_writes.next_roster_removal_at_ms,
    };
    let due_at_ms = world.store_writes.next_roster_write_at_ms.max(removal_at_ms);
    if now_ms < due_at_ms {
        return world.wake_by(due_at_ms);
    }
    world.store_writes.next_roster_removal_at_ms = now_ms + REMOVAL_INTERVAL_MS;
    world.store_writes.next_roster_silence_at_ms = now_ms + silence_interval_ms(world);
    world.store_writes.roster_stale = false;
    list_silent_hosts(world);
    assign_generations(world);
    let lease_ms = world.local.bounds.max_run_lease_ms();
    let hosts: Vec<RosterHost> = world
        .hosts
        .iter_engaged()
        .filter(|(_, host)| host.in_roster || host.accepts_new_runs(now_ms) || has_known_runs(host))
        .map(|(_, host)| RosterHost {
            name: host.entry.name.clone(),
            address: host.entry.address.clone(),
            started_unix_ms: host.entry.started_unix_ms,
            silent_jobs: host.silent_jobs.clone(),
            joined_generation: host.joined_generation,
            may_hold_longest_lease: host.may_hold_longer_lease(lease_ms, now_ms),
        })
        .collect();
    log_write(world, &hosts);
    // Without an answer the write may have taken effect or not.
    world.store_writes.roster_size = world.store_writes.roster_size.max(hosts.len());
    world.store_writes.roster_size_in_flight = hosts.len();
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

/// Sets which hosts say nothing about the permission of earlier holders: those that join before these are shut out.
///
/// Hosts of earlier generations leave the roster only after they were shut out.
fn assign_generations(world: &mut World) {
    let joining_generation =
        if are_predecessors_shut_out(world) { None } else { Some(world.holding.loading.next_generation()) };
    for key in world.hosts.engaged_keys() {
        let Some(host) = world.hosts.get_mut(key) else { continue };
        match joining_generation {
            None => host.joined_generation = 0,
            Some(generation) if !host.in_roster => host.joined_generation = generation,
            Some(_) => {}
        }
    }
}

/// Returns whether a host runs something under this holder although it may not accept more.
fn has_known_runs(host: &Host) -> bool {
    host.adoption == Adoption::Adopted && (!host.runs.is_empty() || host.orphans.count > 0)
}

/// Logs how a write changes the roster.
fn log_write(world: &mut World, hosts: &[RosterHost]) {
    let is_listed = |entry: &&RosterHost| {
        let host = world.hosts.find(&entry.name).and_then(|key| world.hosts.get(key));
        host.is_some_and(|host| host.in_roster)
    };
    let kept_count = hosts.iter().filter(is_listed).count();
    let roster_size = world.store_writes.roster_size;
    let log_record = LogRecord::new(EventId::RosterWritten).with("hosts", hosts.len());
    let log_record = log_record.with("added", hosts.len() - kept_count);
    let log_record = log_record.with("removed", roster_size.saturating_sub(kept_count));
    world.log(log_record.with("roster_hosts", roster_size));
}

/// Returns the shortest time between two writes that list silent hosts, in milliseconds.
fn silence_interval_ms(world: &World) -> u64 {
    (world.hosts.iter_engaged().count() as u64 * SILENCE_INTERVAL_MS_PER_HOST).max(MIN_SILENCE_INTERVAL_MS)
}

/// Returns whether a host refuses connections and the roster does not list it as silent.
fn is_newly_silent(host: &Host) -> bool {
    host.refuses_connections
        && host.in_roster
        && host.adoption == Adoption::Adopted
        && host.silent_jobs.is_none()
}

/// Notes which jobs may have runs on the hosts that refuse connections.
///
/// They get no orders until the roster was written again, so that no other jobs can.
fn list_silent_hosts(world: &mut World) {
    let silent = world.hosts.iter_engaged().filter(|(_, host)| is_newly_silent(host));
    let silent: Vec<HostKey> = silent.map(|(key, _)| key).collect();
    for key in silent {
        let Some(host) = world.hosts.get_mut(key) else { continue };
        let runs = host.runs.iter().filter_map(|run| world.runs.rows.get(*run)).map(|run| run.name.step.job);
        let jobs: BTreeSet<JobId> = runs.chain(host.orphans.steps.iter().map(|step| step.job)).collect();
        host.silent_jobs = Some(jobs.into_iter().collect());
    }
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
                world.store_writes.roster_size = world.store_writes.roster_size_in_flight;
                world.store_writes.latest_revision = world.store_writes.latest_revision.max(revision);
                for (key, started_unix_ms) in written_hosts {
                    if let Some(host) = world.hosts.get_mut(key)
                        && host.entry.started_unix_ms == started_unix_ms
                        && !host.start_unknown
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
