//! Hosts that can't be reached: their runs are over once their lease is.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::{Adoption, HostKey, Orphans, Poll};
use cassiahoist_world::orders::RunEnding;
use cassiahoist_world::prelude::*;
use cassiahoist_world::runs::RunKey;

use crate::outcome::end_run;

/// How long a host whose entry is gone keeps its row after it last answered, in milliseconds.
const MISSING_ROW_MS: u64 = 15_000;

/// Ends the runs of hosts whose lease is over, and forgets hosts that are gone.
pub fn lapse_silent_hosts(world: &mut World, now_ms: u64) {
    if !world.holding.is_holding() {
        return;
    }
    for key in world.hosts.engaged_keys() {
        let Some(host) = world.hosts.get(key) else { continue };
        if let Some(silent_ms) = host.silent_since_ms {
            let over = now_ms >= host.lease_end_ms;
            if !over {
                let lease_end_ms = host.lease_end_ms;
                world.wake_by(lease_end_ms);
                abandon_copies(world, key, now_ms);
            } else if !host.runs.is_empty() || host.in_roster {
                let silent = now_ms - silent_ms;
                end_host_lease(world, key, silent, now_ms);
            }
        }
        drop_empty_host_from_roster(world, key, now_ms);
        let Some(host) = world.hosts.get(key) else { continue };
        let missing = host.missing_since_ms.is_some_and(|since_ms| now_ms >= since_ms + MISSING_ROW_MS);
        if missing && host.runs.is_empty() && now_ms >= host.lease_end_ms {
            world.hosts.remove(key);
        }
    }
}

/// Lets tasks of which copies may run in parallel run elsewhere before a silent host's lease is over.
fn abandon_copies(world: &mut World, key: HostKey, now_ms: u64) {
    let Some(host) = world.hosts.get(key) else { return };
    let copies = |run: &&RunKey| {
        let parts = world.runs.rows.get(**run).and_then(|run| world.jobs.task_parts(run.task));
        parts.is_some_and(|(_, _, spec)| spec.copies && !spec.gang)
    };
    let runs: Vec<RunKey> = host.runs.iter().filter(copies).copied().collect();
    if let Some(host) = world.hosts.get_mut(key)
        && !runs.is_empty()
    {
        // What it runs takes its room, so it gets no work before it has listed that.
        host.adoption = Adoption::Unknown;
    }
    end_runs(world, runs, now_ms);
}

/// Takes a host out of the roster that is going and runs nothing, so that the next holder need not wait for it.
fn drop_empty_host_from_roster(world: &mut World, key: HostKey, now_ms: u64) {
    let Some(host) = world.hosts.get_mut(key) else { return };
    let going = host.missing_since_ms.is_some() || host.leaving_since_ms.is_some();
    if host.in_roster && going && host.runs.is_empty() && now_ms >= host.lease_end_ms {
        host.in_roster = false;
        world.commits.roster_stale = true;
    }
}

/// Ends all runs of a host whose lease is over.
fn end_host_lease(world: &mut World, key: HostKey, silent_ms: u64, now_ms: u64) {
    let Some(host) = world.hosts.get_mut(key) else { return };
    let runs: Vec<RunKey> = host.runs.iter().copied().collect();
    host.in_roster = false;
    host.adoption = Adoption::Unknown;
    world.commits.roster_stale = true;
    let note = LogNote::new(EventId::HostGone).with("host", &host.report.name).with("runs", runs.len());
    world.log(note.with("cause", "its lease is over").with("silent_ms", silent_ms));
    end_runs(world, runs, now_ms);
}

/// Takes note that a host has begun a new life: what it ran before is over, and it knows nothing.
///
/// Runs that no poll has listed stay until one does or does not, since the new life may have begun them.
pub fn begin_host_life(world: &mut World, key: HostKey, cause: &str, now_ms: u64) {
    let Some(host) = world.hosts.get_mut(key) else { return };
    host.in_roster = false;
    host.adoption = Adoption::Unknown;
    host.ends_read = 0;
    host.ends_recorded = 0;
    host.clock_known = false;
    host.orphans = Orphans::default();
    host.poll = Poll { sent_ms: None, next_ms: now_ms };
    let over = |run: &&RunKey| world.runs.rows.get(**run).is_some_and(|run| run.listed);
    let runs: Vec<RunKey> = host.runs.iter().filter(over).copied().collect();
    let note = LogNote::new(EventId::HostGone).with("host", &host.report.name).with("runs", runs.len());
    world.log(note.with("cause", cause));
    end_runs(world, runs, now_ms);
}

/// Removes a host in whose place another one answers, which refuses all orders meant for it.
pub(crate) fn remove_host(world: &mut World, key: HostKey, cause: &str, now_ms: u64) {
    let Some(host) = world.hosts.get(key) else { return };
    let runs: Vec<RunKey> = host.runs.iter().copied().collect();
    let note = LogNote::new(EventId::HostGone).with("host", &host.report.name).with("runs", runs.len());
    world.log(note.with("cause", cause));
    world.commits.roster_stale |= host_in_roster(world, key);
    end_runs(world, runs, now_ms);
    world.hosts.remove(key);
}

fn host_in_roster(world: &World, key: HostKey) -> bool {
    world.hosts.get(key).is_some_and(|host| host.in_roster)
}

fn end_runs(world: &mut World, runs: Vec<RunKey>, now_ms: u64) {
    for run in runs {
        end_run(world, run, RunEnding::Lapsed, &Arc::from(""), now_ms);
    }
}

/// Tells whether tasks of jobs that an earlier holder knew may start: nothing of them runs unseen.
#[must_use]
pub fn inherited_may_start(world: &World, now_ms: u64) -> bool {
    if !world.holding.is_holding() {
        return false;
    }
    now_ms >= world.holding.polled_from_ms + world.local.bounds.longest_lease_ms()
        || world.hosts.iter_engaged().all(|(_, host)| host.adoption == Adoption::Adopted || !host.in_roster)
}
