//! Polls of hosts: one open poll each while it runs something.

use cassiahoist_world::hosts::{Adoption, Host};
use cassiahoist_world::orders::Order;
use cassiahoist_world::prelude::*;

/// How long a host may wait for an end before it answers, in milliseconds; bounds the age of progress reports.
const WAIT_MS: u64 = 800;

/// The same while answers of hosts are being lost, in milliseconds, so that a lost one delays little.
const CAREFUL_WAIT_MS: u64 = 350;

/// For how long after an unanswered order polls are short, in milliseconds.
const CAREFUL_MS: u64 = 6_000;

/// How much longer than its wait a poll may take, in milliseconds.
const SLACK_MS: u64 = 300;

/// Pause between polls while ends wait to be recorded, in milliseconds; the host would answer at once.
const UNRECORDED_PAUSE_MS: u64 = 120;

/// Pause between polls while runs without a row are being stopped, in milliseconds.
const ORPHANS_PAUSE_MS: u64 = 150;

/// Pause before a host is polled again after a poll that was not answered, in milliseconds.
const FIRST_REPEAT_MS: u64 = 30;

/// Pause between polls of a host that does not answer, in milliseconds.
const SILENT_PAUSE_MS: u64 = 300;

/// A host that has not answered for this long gets no more lease, in milliseconds, so that its runs end soon.
const LEASE_SILENCE_MS: u64 = 1_200;

/// What to do about one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PollStep {
    /// Nothing.
    Leave,
    /// A poll is due at this time, in monotonic milliseconds.
    WaitUntil(u64),
    /// Poll now, and let the host wait this long, in milliseconds.
    Poll(u64),
}

fn decide_poll(host: &Host, wait_ms: u64, now_ms: u64) -> PollStep {
    let unrecorded = host.ends_read > host.ends_recorded;
    let occupied = !host.runs.is_empty() || host.orphans.count > 0;
    let wanted = host.adoption == Adoption::Unknown || occupied || unrecorded;
    if host.poll.sent_ms.is_some() || !wanted {
        return PollStep::Leave;
    }
    if now_ms < host.poll.next_ms {
        return PollStep::WaitUntil(host.poll.next_ms);
    }
    if host.adoption == Adoption::Unknown || unrecorded || host.orphans.count > 0 {
        return PollStep::Poll(0);
    }
    PollStep::Poll(wait_ms)
}

/// Sends the polls that are due.
pub fn poll_hosts(world: &mut World, now_ms: u64) {
    if !world.holding.is_holding() {
        return;
    }
    let lease_ms = world.local.bounds.run_lease_ms;
    let careful = world.runs.unanswered_ms.is_some_and(|at_ms| now_ms < at_ms + CAREFUL_MS);
    let wait_ms = if careful { CAREFUL_WAIT_MS } else { WAIT_MS };
    for key in world.hosts.engaged_keys() {
        let Some(host) = world.hosts.get_mut(key) else { continue };
        let wait_ms = match decide_poll(host, wait_ms, now_ms) {
            PollStep::Leave => continue,
            PollStep::WaitUntil(at_ms) => {
                world.wake_by(at_ms);
                continue;
            }
            PollStep::Poll(wait_ms) => wait_ms,
        };
        host.poll.sent_ms = Some(now_ms);
        let silent_ms = host.silent_since_ms.map_or(0, |since_ms| now_ms - since_ms);
        let renew = host.clock_known && silent_ms < LEASE_SILENCE_MS;
        let lease_until_ms = renew.then(|| host.clock_ms(now_ms) + lease_ms);
        if renew && !host.runs.is_empty() {
            let end_ms = now_ms + world.local.bounds.longest_lease_ms();
            host.lease_end_ms = host.lease_end_ms.max(end_ms);
        }
        let ends_recorded = host.ends_recorded;
        world.counters.polls += 1;
        let order = Order::Poll { lease_until_ms, ends_recorded, wait_ms };
        world.send_order(key, order, wait_ms + SLACK_MS, now_ms);
    }
}

/// Sets the time of the next poll after an answer.
pub(crate) fn schedule_poll(host: &mut Host, answered: bool, now_ms: u64) {
    host.poll.sent_ms = None;
    let unrecorded = host.ends_read > host.ends_recorded;
    host.poll.next_ms = match (answered, unrecorded) {
        (false, _) if host.silent_since_ms.is_none_or(|since_ms| now_ms < since_ms + SILENT_PAUSE_MS) => {
            now_ms + FIRST_REPEAT_MS
        }
        (false, _) => now_ms + SILENT_PAUSE_MS,
        (true, true) => now_ms + UNRECORDED_PAUSE_MS,
        (true, false) if host.orphans.count > 0 => now_ms + ORPHANS_PAUSE_MS,
        (true, false) => now_ms,
    };
}
