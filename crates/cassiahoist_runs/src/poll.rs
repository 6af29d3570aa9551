//! Polls of hosts: at most one regular poll is open per host.
//!
//! A host is polled while it has runs or unrecorded ends, and until it is adopted.

use cassiahoist_world::hosts::{Adoption, Host};
use cassiahoist_world::orders::Order;
use cassiahoist_world::prelude::*;

/// How long a host may hold a poll until a run ends, in milliseconds. It bounds the age of progress reports.
pub(crate) const POLL_WAIT_MS: u64 = 800;

/// Shorter wait while answers of hosts are being lost, in milliseconds. A lost answer then costs less time.
const LOSSY_POLL_WAIT_MS: u64 = 350;

/// Longer wait while the holder's own link or processor is congested, in milliseconds. Polls are fewer then.
const CONGESTED_POLL_WAIT_MS: u64 = 1_200;

/// How long polls stay short after an unanswered order, in milliseconds.
const LOSSY_PERIOD_MS: u64 = 6_000;

/// Time that a poll's timeout adds to its wait, in milliseconds.
const POLL_SLACK_MS: u64 = 300;

/// Pause between polls while ends are not recorded yet, in milliseconds.
///
/// The host answers such polls at once, since it still lists these ends. The record of the ends usually comes sooner
/// and ends the pause.
const UNRECORDED_PAUSE_MS: u64 = 250;

/// Shorter pause while the record of the ends is expected and other runs of the host may end, in milliseconds.
///
/// Their ends would be noticed only after the record, and their jobs wait for them.
const SHORT_UNRECORDED_PAUSE_MS: u64 = 40;

/// Number of hosts up to which pauses are shortened. With more, the holder's time goes to the polls.
const MAX_HOSTS_WITH_SHORT_PAUSES: usize = 500;

/// Returns whether the holder has the time for short pauses between polls.
pub(crate) fn has_short_pauses(world: &World) -> bool {
    let is_congested = world.holding.answer_times.is_congested() || world.runs.start_budget.is_heavily_used();
    !is_congested && world.hosts.len() <= MAX_HOSTS_WITH_SHORT_PAUSES
}

/// Pause between polls while runs without a row are being stopped, in milliseconds.
const ORPHANS_PAUSE_MS: u64 = 150;

/// Pause before the first retries after a poll that was not answered, in milliseconds.
const FIRST_RETRY_PAUSE_MS: u64 = 30;

/// Pause between polls of an unresponsive host, in milliseconds.
const UNRESPONSIVE_PAUSE_MS: u64 = 300;

/// Unresponsive time after which polls no longer renew a host's lease, in milliseconds.
///
/// Its runs then end soon. It does not apply while the silence is the holder's own fault.
const RENEWAL_CUTOFF_MS: u64 = 1_200;

/// As [`RENEWAL_CUTOFF_MS`], while no host answers at all.
///
/// Another daemon that reaches the hosts may claim the slice meanwhile, and adopt their runs.
const COMMON_RENEWAL_CUTOFF_MS: u64 = 3_000;

/// Share of the hosts with runs from which their silence is taken for the holder's own slowness, in percent.
///
/// Their runs would all be given up otherwise, although only the holder's link or processor is at fault.
const OWN_FAULT_PERCENT: usize = 25;

/// Decision about the next poll of one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PollDecision {
    /// No poll is needed, or one is open.
    Skip,
    /// A poll is due at this time, in monotonic milliseconds.
    WaitUntil(u64),
    /// Poll now; the host may hold the poll this long, in milliseconds.
    Send(u64),
}

fn decide_poll(host: &Host, wait_ms: u64, now_ms: u64) -> PollDecision {
    let unrecorded = host.last_end_applied > host.last_end_recorded;
    let occupied = !host.runs.is_empty() || host.orphans.count > 0;
    let poll_needed = host.adoption == Adoption::Unknown || occupied || unrecorded;
    if host.poll.sent_ms.is_some() || !poll_needed {
        return PollDecision::Skip;
    }
    if now_ms < host.poll.next_ms {
        return PollDecision::WaitUntil(host.poll.next_ms);
    }
    if host.adoption == Adoption::Unknown || unrecorded || host.orphans.count > 0 {
        return PollDecision::Send(0);
    }
    PollDecision::Send(wait_ms)
}

/// Sends the polls that are due and renews the hosts' leases with them.
///
/// A holder without the permission to act renews no lease, since a successor may count on its end.
pub fn poll_hosts(world: &mut World, now_ms: u64) {
    if !world.holding.is_holding() {
        return;
    }
    let lease_ms = world.local.bounds.run_lease_ms;
    let lossy = world.runs.last_unanswered_at_ms.is_some_and(|at_ms| now_ms < at_ms + LOSSY_PERIOD_MS);
    let wait_ms = match (world.holding.answer_times.is_congested(), lossy) {
        (true, _) => CONGESTED_POLL_WAIT_MS,
        (false, true) => LOSSY_POLL_WAIT_MS,
        (false, false) => POLL_WAIT_MS,
    };
    let slack_ms = POLL_SLACK_MS + world.holding.answer_times.latency_allowance_ms();
    let max_adoption_polls = world.runs.start_window.limit() as usize;
    let mut adoption_polls = count_open_adoption_polls(world);
    let has_permission = world.holding.has_permission(now_ms);
    let renews_silent_hosts = is_silence_own_fault(world);
    let renewal_cutoff_ms =
        if world.hosts.are_all_silent(now_ms) { COMMON_RENEWAL_CUTOFF_MS } else { RENEWAL_CUTOFF_MS };
    for key in world.hosts.engaged_keys() {
        let Some(host) = world.hosts.get_mut(key) else { continue };
        let is_adoption_poll = awaits_first_adoption_poll(host);
        if is_adoption_poll && adoption_polls >= max_adoption_polls {
            // The answer to one of the open polls begins another round.
            continue;
        }
        let wait_ms = match decide_poll(host, wait_ms, now_ms) {
            PollDecision::Skip => continue,
            PollDecision::WaitUntil(at_ms) => {
                world.wake_by(at_ms);
                continue;
            }
            PollDecision::Send(wait_ms) => wait_ms,
        };
        host.poll.sent_ms = Some(now_ms);
        adoption_polls += usize::from(is_adoption_poll);
        let unresponsive_ms = host.unresponsive_since_ms.map_or(0, |since_ms| now_ms - since_ms);
        let renews_lease = has_permission
            && host.clock_known
            && (unresponsive_ms < renewal_cutoff_ms || renews_silent_hosts);
        let lease_until_ms = renews_lease.then(|| host.clock_ms(now_ms) + lease_ms);
        if renews_lease && (!host.runs.is_empty() || host.has_unread_ends) {
            let lease_end_ms = now_ms + world.local.bounds.max_run_lease_ms();
            host.lease_end_ms = host.lease_end_ms.max(lease_end_ms);
        }
        let last_end_recorded = host.droppable_end();
        world.counters.polls += 1;
        let order = Order::Poll { lease_until_ms, last_end_recorded, wait_ms };
        world.send_order(key, order, wait_ms + slack_ms, now_ms);
    }
}

/// Returns whether many hosts are unresponsive and even the quickest answers are slow.
///
/// The holder itself must be too slow then. Quick answers of other hosts show that the silent ones are lost, as with a
/// failure domain.
fn is_silence_own_fault(world: &World) -> bool {
    if !world.holding.answer_times.is_congested() {
        return false;
    }
    let occupied = world.hosts.iter_engaged().filter(|(_, host)| !host.runs.is_empty());
    let (mut occupied_count, mut silent_count) = (0, 0);
    for (_, host) in occupied {
        occupied_count += 1;
        silent_count += usize::from(host.unresponsive_since_ms.is_some());
    }
    silent_count > 1 && silent_count * 100 >= occupied_count * OWN_FAULT_PERCENT
}

/// Counts the open polls of hosts that have not reported their runs to this holder yet.
///
/// A new holder polls the whole roster, and more answers at a time than it can read would all be late.
fn count_open_adoption_polls(world: &World) -> usize {
    let hosts = world.hosts.iter_engaged().map(|(_, host)| host);
    hosts.filter(|host| awaits_first_adoption_poll(host) && host.poll.sent_ms.is_some()).count()
}

/// Returns whether a host was not adopted yet and left no poll unanswered.
///
/// Hosts that are lost don't count, since they would keep others from being polled.
fn awaits_first_adoption_poll(host: &Host) -> bool {
    host.adoption == Adoption::Unknown && host.unresponsive_since_ms.is_none()
}

/// Schedules the next poll after one was answered or failed.
///
/// `has_short_pauses` says whether the holder has the time to poll a host soon again whose ends are not recorded yet.
pub(crate) fn schedule_poll(host: &mut Host, answered: bool, has_short_pauses: bool, now_ms: u64) {
    host.poll.sent_ms = None;
    let unrecorded = host.last_end_applied > host.last_end_recorded;
    let unrecorded_ms = if unrecorded {
        now_ms - *host.poll.unrecorded_since_ms.get_or_insert(now_ms)
    } else {
        host.poll.unrecorded_since_ms = None;
        0
    };
    let may_end_soon = !host.runs.is_empty() && has_short_pauses && unrecorded_ms < UNRECORDED_PAUSE_MS;
    host.poll.next_ms = match (answered, unrecorded) {
        (false, _)
            if host
                .unresponsive_since_ms
                .is_none_or(|since_ms| now_ms < since_ms + UNRESPONSIVE_PAUSE_MS) =>
        {
            now_ms + FIRST_RETRY_PAUSE_MS
        }
        (false, _) => now_ms + UNRESPONSIVE_PAUSE_MS,
        (true, true) if may_end_soon => now_ms + SHORT_UNRECORDED_PAUSE_MS,
        (true, true) => now_ms + UNRECORDED_PAUSE_MS,
        (true, false) if host.orphans.count > 0 => now_ms + ORPHANS_PAUSE_MS,
        (true, false) => now_ms,
    };
}
