//! Expiry of host leases.
//!
//! A host ends its runs when its lease expires, so the runs of an unresponsive host have ended by then.

use cassiahoist_core::prelude::*;
use cassiahoist_world::earlier_clock::EarlierClockOrders;
use cassiahoist_world::hosts::{Adoption, Host, HostKey, HostSpeed, OrphanRuns, Poll, Restart};
use cassiahoist_world::prelude::*;
use cassiahoist_world::runs::{MAX_ORDER_DELAY_MS, Run, RunKey, RunState};
use cassiahoist_world::unrecorded_ends::UnrecordedEnds;

use crate::crashes::{HostLoss, awaits_fate_of_host, end_lost_runs, record_crash, record_loss};
use crate::late_starts::{remember_late_start, restore_late_starts, restore_run};
use crate::lifecycle::detach_run;
use crate::orphans::{release_orphans, replace_orphans};
use crate::permission::{
    inherited_lease_end_at_ms, inherited_lease_end_of_host_at_ms, inherited_leases_end_at_ms, is_unadopted,
    may_hold_inherited_longest_lease,
};

/// How long a host's row is kept after its store entry disappeared, in milliseconds.
const MISSING_HOST_RETENTION_MS: u64 = 15_000;

/// Longest time for which a task that runs until cancelled waits for a start order that may take effect late, in
/// milliseconds.
///
/// Its callers miss it meanwhile. Hosts that crash are usually back sooner.
const MAX_VACANCY_MS: u64 = 6_000;

/// Ends the runs of unresponsive hosts whose lease expired, and removes missing hosts.
pub fn expire_host_leases(world: &mut World, now_ms: u64) {
    if !world.holding.is_holding() {
        return;
    }
    let needs_check = |host: &Host| {
        host.unresponsive_since_ms.is_some()
            || host.missing_since_ms.is_some()
            || host.draining_since_ms.is_some()
    };
    let checked_hosts = world.hosts.iter_engaged().filter(|(_, host)| needs_check(host));
    let checked_hosts: Vec<HostKey> = checked_hosts.map(|(key, _)| key).collect();
    for key in checked_hosts {
        let Some(host) = world.hosts.get(key) else { continue };
        let (unresponsive_since_ms, may_run) =
            (host.unresponsive_since_ms, !host.runs.is_empty() || host.in_roster);
        let has_ended = has_lease_ended(world, key, now_ms);
        match unresponsive_since_ms {
            Some(_) if !has_ended => requeue_copies(world, key, now_ms),
            Some(since_ms) if may_run => expire_host_lease(world, key, now_ms - since_ms, now_ms),
            Some(_) | None => {}
        }
        if has_ended {
            remove_idle_host(world, key, now_ms);
        }
    }
}

/// Returns whether everything that a host ran has ended, whoever extended its run lease.
///
/// Wakes the daemon when that may change. An earlier holder may still extend the lease of a host that has not answered this
/// one, and so may a successor that reaches a host which is silent here. So the lease has ended only if the store
/// has shown since that there is no successor.
fn has_lease_ended(world: &mut World, key: HostKey, now_ms: u64) -> bool {
    let Some(host) = world.hosts.get(key) else { return true };
    let inherited_end_ms =
        if is_unadopted(host) { inherited_lease_end_of_host_at_ms(world, host) } else { Some(0) };
    let Some(end_ms) = inherited_end_ms.map(|at_ms| at_ms.max(host.lease_end_ms)) else { return false };
    if now_ms < end_ms {
        world.wake_by(end_ms);
        return false;
    }
    confirm_claim_since(world, end_ms, now_ms)
}

/// Returns whether the store has confirmed the claim since a time in monotonic milliseconds, and asks it otherwise.
fn confirm_claim_since(world: &mut World, since_ms: u64, now_ms: u64) -> bool {
    let is_confirmed = world.holding.claim_confirmed_at_ms >= since_ms;
    let connection = &world.store_connection;
    if !is_confirmed && !connection.is_failing() && !connection.lease_in_flight {
        world.store_connection.next_lease_call_at_ms =
            world.store_connection.next_lease_call_at_ms.min(now_ms);
        world.wake_by(now_ms);
    }
    is_confirmed
}

/// Asks the store to confirm the claim once the run leases that earlier holders extended on silent hosts have ended.
pub fn confirm_end_of_inherited_leases(world: &mut World, now_ms: u64) {
    let has_silent_hosts = || world.hosts.iter_engaged().any(|(_, host)| is_unadopted(host));
    if !world.holding.is_holding() || !has_silent_hosts() {
        return;
    }
    match inherited_leases_end_at_ms(world) {
        Some(end_ms) if now_ms >= end_ms => {
            confirm_claim_since(world, end_ms, now_ms);
        }
        Some(end_ms) => world.wake_by(end_ms),
        None => {}
    }
}

/// Requeues tasks whose copies may run in parallel, before an unresponsive host's lease expires.
///
/// Those that may have crashed the host wait for its fate.
fn requeue_copies(world: &mut World, key: HostKey, now_ms: u64) {
    let Some(host) = world.hosts.get(key) else { return };
    let allows_copies = |run: &&RunKey| {
        let context = world.runs.rows.get(**run).and_then(|run| world.jobs.task_context(run.task));
        context.is_some_and(|(_, _, spec)| spec.allows_copies && !spec.gang)
    };
    let runs: Vec<RunKey> = host.runs.iter().filter(allows_copies).copied().collect();
    for run in runs {
        if awaits_fate_of_host(world, run, now_ms) {
            continue;
        }
        detach_run(world, run, now_ms);
    }
}

/// Removes a departing host without runs, whose lease has ended, from the roster, and a missing one later from the tables.
///
/// The next holder then doesn't wait for it.
fn remove_idle_host(world: &mut World, key: HostKey, now_ms: u64) {
    let Some(host) = world.hosts.get_mut(key).filter(|host| host.runs.is_empty()) else { return };
    let departing = host.missing_since_ms.is_some() || host.draining_since_ms.is_some();
    if host.in_roster && departing {
        host.in_roster = false;
        world.store_writes.roster_stale = true;
    }
    if host.missing_since_ms.is_some_and(|since_ms| now_ms >= since_ms + MISSING_HOST_RETENTION_MS) {
        release_orphans(world, key);
        world.hosts.remove(key);
    }
}

/// When a run on a silent host has ended for certain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunExpiry {
    /// With the lease of the host.
    WithLease,
    /// When its start order can no longer take effect at a later incarnation of the host, in monotonic milliseconds.
    At(u64),
}

fn decide_run_expiry(world: &World, run: &Run) -> RunExpiry {
    let Some(since_ms) = run.late_start_since_ms() else { return RunExpiry::WithLease };
    match world.jobs.task_context(run.task) {
        Some((_, _, spec)) if spec.allows_copies && !spec.gang => RunExpiry::WithLease,
        Some((_, _, spec)) if spec.runs_until_cancelled => RunExpiry::At(since_ms + MAX_VACANCY_MS),
        _ => RunExpiry::At(since_ms + MAX_ORDER_DELAY_MS),
    }
}

/// Returns the runs of a silent host that have ended, once its lease has expired.
///
/// The others keep their rows. If the host answers again, they are stopped there first.
fn collect_ended_runs(world: &mut World, key: HostKey, now_ms: u64) -> Vec<RunKey> {
    let Some(host) = world.hosts.get(key) else { return Vec::new() };
    let mut ended_runs = Vec::new();
    let mut next_end_at_ms = u64::MAX;
    for key in host.runs.iter().copied() {
        let Some(run) = world.runs.rows.get(key) else { continue };
        match decide_run_expiry(world, run) {
            RunExpiry::At(at_ms) if now_ms < at_ms => next_end_at_ms = next_end_at_ms.min(at_ms),
            RunExpiry::At(_) | RunExpiry::WithLease => ended_runs.push(key),
        }
    }
    world.wake_by(next_end_at_ms);
    ended_runs
}

/// Ends the runs of a host whose lease expired, but for those that may start late.
fn expire_host_lease(world: &mut World, key: HostKey, unresponsive_ms: u64, now_ms: u64) {
    let runs = collect_ended_runs(world, key, now_ms);
    release_orphans(world, key);
    let Some(host) = world.hosts.get_mut(key) else { return };
    if runs.is_empty() && !host.in_roster {
        return;
    }
    let kept_runs = host.runs.len() - runs.len();
    host.in_roster = false;
    host.adoption = Adoption::Unknown;
    host.has_unread_ends = false;
    world.store_writes.roster_stale = true;
    let log_record =
        LogRecord::new(EventId::HostRunsEnded).with("host", &host.entry.name).with("runs", runs.len());
    let log_record = log_record
        .with("cause", "its lease expired")
        .with("silent_ms", unresponsive_ms)
        .with("answered_ms_ago", now_ms.saturating_sub(host.last_answer_at_ms))
        .with("lease_ended_ms_ago", now_ms.saturating_sub(host.lease_end_ms))
        .with("kept_runs", kept_runs);
    world.log(log_record);
    for run in &runs {
        remember_late_start(world, *run, now_ms);
    }
    end_lost_runs(world, &runs, HostLoss::Silent, "its lease expired", now_ms);
    restore_awaited_starts(world, key, now_ms);
}

/// Restores those remembered runs of a silent host for whose starts their tasks have to wait.
fn restore_awaited_starts(world: &mut World, key: HostKey, now_ms: u64) {
    let Some(host) = world.hosts.get_mut(key) else { return };
    for run in host.take_late_starts(now_ms) {
        match decide_run_expiry(world, &run) {
            RunExpiry::At(at_ms) if now_ms < at_ms => {
                world.wake_by(at_ms);
                restore_run(world, run, now_ms);
            }
            RunExpiry::At(_) | RunExpiry::WithLease => {
                if let Some(host) = world.hosts.get_mut(key) {
                    host.remember_late_start(&run, now_ms);
                }
            }
        }
    }
}

/// Records the loss of a host that was not silent before its restart showed.
fn record_unnoticed_loss(world: &mut World, key: HostKey, now_ms: u64) {
    if world.hosts.get(key).is_some_and(|host| host.unresponsive_since_ms.is_none()) {
        record_loss(world, key, now_ms);
    }
}

/// Resets the row of a restarted host and ends its earlier runs.
///
/// The restarted host has lost its fence and its lists.
///
/// Runs that no poll has listed yet are kept until the next poll, since the new incarnation may have started them. Stops that
/// the earlier incarnation confirmed are ordered again.
pub fn reset_restarted_host(world: &mut World, key: HostKey, cause: &str, now_ms: u64) {
    let latest_fence = world.order_fence(key).unwrap_or_default();
    world.shut_out_earlier_orders(key);
    record_unnoticed_loss(world, key, now_ms);
    replace_orphans(world, key, OrphanRuns::default());
    let Some(host) = world.hosts.get_mut(key) else { return };
    host.in_roster = false;
    host.earlier_clock_orders = EarlierClockOrders::FromBeforeRestart(latest_fence);
    host.fence_confirmed_at_ms = 0;
    host.adoption = Adoption::Unknown;
    host.last_end_applied = 0;
    host.last_end_recorded = 0;
    host.lists_ends = false;
    host.has_unread_ends = false;
    let earlier_clock_offset_ms = host.clock_known.then_some(host.clock_offset_ms);
    host.last_restart = Some(Restart { noticed_at_ms: now_ms, earlier_clock_offset_ms });
    host.unrecorded_ends = UnrecordedEnds::default();
    host.clock_known = false;
    host.lists_clock_ms = 0;
    host.lists_received_at_ms = 0;
    let open_poll_ms = host.poll.sent_ms.map_or("none".into(), |at_ms| (now_ms - at_ms).to_string());
    host.poll = Poll { next_ms: now_ms, ..Poll::default() };
    host.open_extra_polls = 0;
    let address = host.entry.address.clone();
    host.refuses_connections = false;
    host.last_start_at_ms = 0;
    host.silent_jobs = None;
    host.uncertain_crashes.clear();
    host.speed = HostSpeed::default();
    let was_listed = |run: &&RunKey| world.runs.rows.get(**run).is_some_and(|run| run.listed_by_host);
    let runs: Vec<RunKey> = host.runs.iter().filter(was_listed).copied().collect();
    if runs.len() < host.runs.len() {
        // The new incarnation reads the lease of a late start on its own clock, which is far behind the earlier one.
        host.lease_end_ms = host.lease_end_ms.max(now_ms + world.local.longest_run_lease_ms());
    }
    let kept_runs: Vec<RunKey> = host.runs.iter().filter(|run| !was_listed(run)).copied().collect();
    let log_record =
        LogRecord::new(EventId::HostRunsEnded).with("host", &host.entry.name).with("runs", runs.len());
    let log_record = log_record.with("cause", cause).with("kept_runs", kept_runs.len());
    world.log(log_record.with("open_poll_ms", open_poll_ms));
    world.hosts.record_crash(&address, now_ms);
    for run in kept_runs {
        record_crash(world, run, HostLoss::Restarted, now_ms);
        if let Some(run) = world.runs.rows.get_mut(run) {
            run.maybe_lost = true;
            if run.state == RunState::Settled {
                run.unsettle(now_ms);
            }
        }
    }
    end_lost_runs(world, &runs, HostLoss::Restarted, cause, now_ms);
    restore_late_starts(world, key, now_ms);
}

/// Removes a host whose address now belongs to another host.
///
/// The other host refuses all orders meant for the removed one.
pub(crate) fn remove_replaced_host(world: &mut World, key: HostKey, cause: &str, now_ms: u64) {
    record_unnoticed_loss(world, key, now_ms);
    let Some(host) = world.hosts.get(key) else { return };
    let runs: Vec<RunKey> = host.runs.iter().copied().collect();
    let log_record =
        LogRecord::new(EventId::HostRunsEnded).with("host", &host.entry.name).with("runs", runs.len());
    let address = host.entry.address.clone();
    world.log(log_record.with("cause", cause));
    world.hosts.record_crash(&address, now_ms);
    world.store_writes.roster_stale |= host_in_roster(world, key);
    end_lost_runs(world, &runs, HostLoss::Restarted, cause, now_ms);
    release_orphans(world, key);
    world.hosts.remove(key);
}

fn host_in_roster(world: &World, key: HostKey) -> bool {
    world.hosts.get(key).is_some_and(|host| host.in_roster)
}

/// Which inherited jobs, those accepted before this daemon's claim, may start tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InheritedStarts {
    /// None may, since runs of any of them may be unknown.
    No,
    /// All may but those that have runs on silent hosts.
    ExceptOnSilentHosts,
    /// All may.
    All,
}

/// Decides which inherited jobs may start tasks.
#[must_use]
pub fn decide_inherited_starts(world: &World, now_ms: u64) -> InheritedStarts {
    let unadopted = UnadoptedHosts::collect(world, now_ms);
    if may_start_beside(world, unadopted, now_ms) {
        return InheritedStarts::All;
    }
    if unadopted.may_hide_ends {
        return InheritedStarts::No;
    }
    let is_known =
        |host: &Host| host.adoption == Adoption::Adopted || !host.in_roster || host.silent_jobs.is_some();
    let runs_known = world.holding.is_holding()
        && !world.holding.loading.is_roster_unreadable
        && world.hosts.iter_engaged().all(|(_, host)| is_known(host));
    if runs_known { InheritedStarts::ExceptOnSilentHosts } else { InheritedStarts::No }
}

/// What the hosts that have not reported all their runs may keep from this holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct UnadoptedHosts {
    /// Whether one of them is in the roster, so that earlier holders may have runs there.
    has_listed: bool,
    /// Whether such a one may hold the longest run lease.
    may_hold_longest_lease: bool,
    /// Whether one keeps ends back that no holder has read. Any inherited task may be done among them.
    may_hide_ends: bool,
}

impl UnadoptedHosts {
    /// Goes over the engaged hosts once, since each round of placement asks.
    fn collect(world: &World, now_ms: u64) -> Self {
        let mut unadopted = Self::default();
        let hosts = world.hosts.iter_engaged().map(|(_, host)| host);
        for host in hosts.filter(|host| host.adoption == Adoption::Unknown) {
            unadopted.has_listed |= is_unadopted(host);
            unadopted.may_hold_longest_lease |= may_hold_inherited_longest_lease(host);
            unadopted.may_hide_ends |= host.may_hide_ends(now_ms);
        }
        unadopted
    }
}

/// Returns whether tasks of inherited jobs, those accepted before this daemon's claim, may start.
///
/// They may once no run of them can be unknown. That is when every polled host of the roster was adopted, or when the
/// run leases that an earlier holder extended have expired: see [`inherited_leases_end_at_ms`]. A successor may have adopted
/// the hosts that are silent here and extend their leases, so the store has to confirm the claim after that. Hosts that keep
/// ends back have to list them first.
#[must_use]
pub fn may_start_inherited_jobs(world: &World, now_ms: u64) -> bool {
    may_start_beside(world, UnadoptedHosts::collect(world, now_ms), now_ms)
}

fn may_start_beside(world: &World, unadopted: UnadoptedHosts, now_ms: u64) -> bool {
    if !world.holding.is_holding() || unadopted.may_hide_ends {
        return false;
    }
    let has_ended = |end_ms: u64| now_ms >= end_ms && world.holding.claim_confirmed_at_ms >= end_ms;
    inherited_lease_end_at_ms(world, unadopted.may_hold_longest_lease).is_some_and(has_ended)
        || (!world.holding.loading.is_roster_unreadable && !unadopted.has_listed)
}
