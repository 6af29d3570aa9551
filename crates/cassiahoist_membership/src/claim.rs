//! Claims on a vacant slice and the start of its adoption.

use cassiahoist_core::prelude::*;
use cassiahoist_world::holding::{HoldingEvent, RecordLoading};
use cassiahoist_world::hosts::Adoption;
use cassiahoist_world::prelude::*;
use cassiahoist_world::record::{ClaimRecord, TermRecord};
use cassiahoist_world::store::{
    KeySpace, StoreCompletion, StoreFailure, StoreKey, StoreOp, StorePurpose, StoreReply, StoreValue,
    Transaction,
};

use crate::lease::forget_lease;
use crate::step_down::clear_slice_tables;

/// The only slice of a cell, for as long as cells are not divided.
pub const SLICE: SliceId = SliceId(0);

/// Timeout of the transaction that writes a claim, in milliseconds.
const CLAIM_TIMEOUT_MS: u64 = 800;

/// Delay of a claim for each stronger daemon, in milliseconds. It makes colliding claims rare.
const RANK_DELAY_MS: u64 = 60;

/// Greatest difference between the starts of daemons that start together, in milliseconds.
const START_SPREAD_MS: u64 = 300;

/// Time from the start of a daemon until its registration is known to the others, in milliseconds.
///
/// It allows for a slow start and one retry of a call to the store.
const REGISTRATION_MS: u64 = 200;

/// Time after a registration during which stronger daemons may still be about to register, in milliseconds.
const SETTLING_MS: u64 = START_SPREAD_MS + REGISTRATION_MS;

/// Longest time for which a claim waits for registrations to settle, in milliseconds.
///
/// The first daemon waits for the last of those that start together, but not for one that restarts again and again.
const MAX_SETTLING_MS: u64 = 2 * SETTLING_MS;

/// Extra delay of claims by a daemon that transferred the slice to others, in milliseconds.
const YIELD_DELAY_MS: u64 = 2_000;

/// Delay of claims while the last holder is alive, in milliseconds.
///
/// An outage of the store ends the leases of all daemons. The last holder still has its tables, and goes on at once if it
/// is the first to claim.
const LAST_HOLDER_LEAD_MS: u64 = 400;

/// Age of the last holder's heartbeat up to which it counts as alive when its claim ends, in milliseconds.
///
/// The claim of a daemon that was killed ends later than this after its last heartbeat.
const MAX_HEARTBEAT_AGE_MS: u64 = 1_000;

/// Delay before a failed claim is retried, in milliseconds from when it was sent.
const RETRY_DELAY_MS: u64 = 250;

/// Decision of this daemon about claiming the slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClaimDecision {
    /// No claim: the slice is held, or this daemon can't claim.
    Skip,
    /// Claim at this time, in monotonic milliseconds.
    WaitUntil(u64),
    /// Claim now, in place of the claim record of this revision. 0 means that there is none.
    Claim(u64),
}

fn decide_claim(world: &World, now_ms: u64) -> ClaimDecision {
    let holding = &world.holding;
    let cell_listed = world
        .store_connection
        .followed_ranges
        .get(&KeySpace::Cell)
        .is_some_and(|range| range.revision.is_some());
    let can_claim = cell_listed && world.store_connection.lease.is_some() && !world.local.is_stopping();
    if !can_claim || holding.fence().is_some() || holding.is_claiming() {
        return ClaimDecision::Skip;
    }
    let own = &world.local.incarnation;
    let retry_at_ms =
        if holding.claim_sent_at_ms == 0 { 0 } else { holding.claim_sent_at_ms + RETRY_DELAY_MS };
    let due_at_ms = match (&holding.claim, holding.vacant_since_ms) {
        // An earlier incarnation of this daemon held the slice and has ended. Its claim ends with its lease if a much
        // stronger daemon can take over.
        (Some((claim, _)), _) if claim.holder.member == own.member && claim.holder != *own => {
            if world.members.has_much_stronger(world.local.limits) {
                return ClaimDecision::Skip;
            }
            Some(retry_at_ms)
        }
        (None, Some(vacant_since_ms)) => {
            claim_due_at_ms(world, vacant_since_ms, now_ms).map(|due_at_ms| due_at_ms.max(retry_at_ms))
        }
        _ => None,
    };
    let Some(due_at_ms) = due_at_ms else { return ClaimDecision::Skip };
    if now_ms < due_at_ms {
        return ClaimDecision::WaitUntil(due_at_ms);
    }
    ClaimDecision::Claim(holding.claim.as_ref().map_or(0, |(_, revision)| *revision))
}

/// Returns until when this daemon leaves a vacant slice to others, in monotonic milliseconds.
///
/// `None` if it is not registered.
fn claim_due_at_ms(world: &World, vacant_since_ms: u64, now_ms: u64) -> Option<u64> {
    let holding = &world.holding;
    let own = &world.local.incarnation;
    let yields = now_ms < holding.yield_until_ms;
    if holding.last_holder.as_ref() == Some(own) && !yields {
        return Some(vacant_since_ms);
    }
    let left_out = holding.last_holder.as_ref().filter(|holder| **holder != *own);
    // The last holder was the strongest when it claimed. After a loss of power everywhere its next incarnation need not
    // wait for all the others.
    let held_last = left_out.is_some_and(|holder| holder.member == own.member);
    let settled_at_ms = settled_at_ms(world, left_out, vacant_since_ms)?;
    let settled_at_ms = if held_last { vacant_since_ms } else { settled_at_ms };
    let claim_rank = world.members.claim_rank(&own.member, world.local.limits, left_out);
    let rank_delay_ms = claim_rank as u64 * RANK_DELAY_MS;
    let yield_delay_ms = if yields { YIELD_DELAY_MS } else { 0 };
    let lead_ms = if is_last_holder_alive(world, vacant_since_ms) { LAST_HOLDER_LEAD_MS } else { 0 };
    Some((vacant_since_ms + lead_ms).max(settled_at_ms) + rank_delay_ms + yield_delay_ms)
}

/// Returns when this daemon may rely on the registrations that it knows, in monotonic milliseconds.
///
/// Until then, stronger daemons that started together with it may not have registered. Each of them waits as long after
/// its own registration. `None` if this daemon is not registered.
fn settled_at_ms(world: &World, left_out: Option<&Incarnation>, vacant_since_ms: u64) -> Option<u64> {
    let registered_at_ms = world.members.registered_at_ms(&world.local.incarnation)?;
    let stronger_at_ms = world.members.stronger_registered_at_ms(world.local.limits, left_out);
    let latest_at_ms = registered_at_ms.max(stronger_at_ms.unwrap_or_default());
    let latest_end_ms = registered_at_ms.max(vacant_since_ms) + MAX_SETTLING_MS;
    Some((latest_at_ms + SETTLING_MS).min(latest_end_ms))
}

/// Returns whether the last holder's claim ended with its lease although its process runs.
fn is_last_holder_alive(world: &World, vacant_since_ms: u64) -> bool {
    let heartbeat_at_ms = world.calls.holder_status.as_ref().map(|status| status.received_at_ms);
    !world.holding.was_released
        && heartbeat_at_ms.is_some_and(|at_ms| vacant_since_ms <= at_ms + MAX_HEARTBEAT_AGE_MS)
}

/// Sends a claim if the slice is vacant and this daemon's turn has come.
pub fn claim_vacant_slice(world: &mut World, now_ms: u64) {
    let revision = match decide_claim(world, now_ms) {
        ClaimDecision::Skip => return,
        ClaimDecision::WaitUntil(at_ms) => {
            log_deferral(world, at_ms, now_ms);
            return world.wake_by(at_ms);
        }
        ClaimDecision::Claim(revision) => revision,
    };
    let Some(lease) = world.store_connection.lease else { return };
    let term = world.holding.term + 1;
    let holder = world.local.incarnation.clone();
    let claim = ClaimRecord { holder: holder.clone(), peer_address: world.local.peer_address.clone(), term };
    let log_record =
        LogRecord::new(EventId::ClaimSent).with("term", term).with("replaced_revision", revision);
    world.log(add_claim_inputs(world, log_record, now_ms));
    let transaction = Transaction::default()
        .with_expect(StoreKey::Claim(SLICE), revision)
        .with_expect(StoreKey::Term(SLICE), world.holding.term_revision)
        .with_leased_put(StoreKey::Claim(SLICE), StoreValue::Claim(claim), lease)
        .with_put(StoreKey::Term(SLICE), StoreValue::Term(TermRecord { term, holder, released: false }));
    world.holding.replaced_term_revision = world.holding.term_revision;
    world.holding.claim_sent_at_ms = now_ms;
    world.holding.apply_event(HoldingEvent::ClaimSent);
    world.call_store(StorePurpose::ClaimSlice, StoreOp::Commit(transaction), now_ms, CLAIM_TIMEOUT_MS);
}

/// Logs once for each vacancy that this daemon waits before it claims.
fn log_deferral(world: &mut World, due_at_ms: u64, now_ms: u64) {
    let vacant_since_ms = world.holding.vacant_since_ms;
    if world.holding.deferral_logged_for_ms == vacant_since_ms {
        return;
    }
    world.holding.deferral_logged_for_ms = vacant_since_ms;
    let log_record = LogRecord::new(EventId::ClaimDeferred).with("due_in_ms", due_at_ms - now_ms);
    world.log(add_claim_inputs(world, log_record, now_ms));
}

/// Formats the time since an event in milliseconds, or `never`.
fn format_ms_ago(at_ms: Option<u64>, now_ms: u64) -> String {
    at_ms.map_or("never".into(), |at_ms| now_ms.saturating_sub(at_ms).to_string())
}

/// Adds what this daemon knows of the slice and the other daemons, and how old that is.
fn add_claim_inputs(world: &World, log_record: LogRecord, now_ms: u64) -> LogRecord {
    let (holding, own) = (&world.holding, &world.local.incarnation);
    let left_out = holding.last_holder.as_ref().filter(|holder| **holder != *own);
    let stronger_members = world.members.claim_rank(&own.member, world.local.limits, left_out);
    let heartbeat_at_ms = world.calls.holder_status.as_ref().map(|status| status.received_at_ms);
    let last_holder = holding.last_holder.as_ref().map_or("none".into(), Incarnation::to_string);
    log_record
        .with("vacant_ms", format_ms_ago(holding.vacant_since_ms, now_ms))
        .with("members", world.members.iter().count())
        .with("members_before", stronger_members)
        .with("registered_ms_ago", format_ms_ago(world.members.registered_at_ms(own), now_ms))
        .with("range_age_ms", world.store_connection.range_age_ms(KeySpace::Cell, now_ms))
        .with("last_holder", last_holder)
        .with("heartbeat_ms_ago", format_ms_ago(heartbeat_at_ms, now_ms))
        .with("cpu_milli", world.local.limits.cpu_milli)
        .with("link_mbps", world.local.limits.link_mbps)
}

/// Applies the store's answers to claims.
pub fn apply_claim_answers(world: &mut World, now_ms: u64) {
    for completion in world.inbox.take_store_results(|purpose| *purpose == StorePurpose::ClaimSlice) {
        apply_claim_answer(world, completion, now_ms);
    }
}

fn apply_claim_answer(world: &mut World, completion: StoreCompletion, now_ms: u64) {
    match completion.outcome {
        Ok(StoreReply::Committed { revision }) => {
            let fence = Fence(revision);
            if fence < world.holding.greatest_fence || world.holding.fence() == Some(fence) {
                return;
            }
            world.holding.greatest_fence = fence;
            world.holding.vacant_since_ms = None;
            let claim = ClaimRecord {
                holder: world.local.incarnation.clone(),
                peer_address: world.local.peer_address.clone(),
                term: world.holding.term + 1,
            };
            world.holding.claim = Some((claim, revision));
            // The lease may be about to end, so it is renewed at once.
            world.store_connection.next_lease_call_at_ms = now_ms;
            world.holding.apply_event(HoldingEvent::ClaimWon { fence, at_ms: now_ms });
            begin_adoption(world, now_ms);
        }
        Ok(reply) => {
            let outcome = if let StoreReply::LeaseNotFound = reply {
                forget_lease(world, now_ms);
                "LeaseNotFound"
            } else {
                "Conflict"
            };
            log_failed_claim(world, outcome, completion.issued_at_ms, now_ms);
            world.holding.apply_event(HoldingEvent::ClaimFailed);
            // The watch may lag behind the claim that caused the conflict.
            world.store_connection.followed_ranges.entry(KeySpace::Cell).or_default().relist(now_ms);
        }
        Err(failure) => {
            log_failed_claim(world, &format!("{failure:?}"), completion.issued_at_ms, now_ms);
            if failure == StoreFailure::Unknown {
                world.store_connection.followed_ranges.entry(KeySpace::Cell).or_default().relist(now_ms);
            }
            world.holding.apply_event(HoldingEvent::ClaimFailed);
        }
    }
    world.wake_by(now_ms + RETRY_DELAY_MS);
}

fn log_failed_claim(world: &mut World, outcome: &str, issued_at_ms: u64, now_ms: u64) {
    let log_record = LogRecord::new(EventId::ClaimFailed).with("outcome", outcome);
    world.log(log_record.with("took_ms", now_ms.saturating_sub(issued_at_ms)));
}

/// Begins the adoption of the slice after a claim succeeded.
///
/// Adoption loads the records and hosts that an earlier holder left. It is skipped, and the tables are kept, if this
/// incarnation made the previous claim too and adopted the slice under it, since no other daemon claimed in between.
/// Holders before that may still act: what the tables say of them stays as it is.
pub fn begin_adoption(world: &mut World, now_ms: u64) {
    let own = world.local.incarnation.clone();
    let (term, fence) = world
        .holding
        .claim
        .as_ref()
        .map_or((world.holding.term + 1, 0), |(claim, revision)| (claim.term, *revision));
    let unbroken = world.holding.last_holder.as_ref() == Some(&own)
        && world.holding.term + 1 == term
        && world.holding.loading.is_complete()
        && world.holding.polling_since_ms > 0;
    let seen_at_ms = world.holding.claim_seen_at_ms.replace(now_ms);
    world.holding.predecessor_tenure_ms = seen_at_ms.map(|seen_at_ms| now_ms - seen_at_ms);
    world.counters.claims += 1;
    let log_record = LogRecord::new(EventId::ClaimWon).with("fence", fence).with("term", term);
    let shut_out_at_ms = world.holding.shut_out_at_ms.filter(|_| unbroken);
    world.log(
        log_record
            .with("unbroken", unbroken)
            .with("predecessor_shut_out_ms_ago", format_ms_ago(shut_out_at_ms, now_ms)),
    );
    world.holding.term = term;
    let was_released = std::mem::take(&mut world.holding.was_released);
    // Every claim writes its term record in the same transaction.
    world.holding.term_revision = fence;
    let last_holder = world.holding.last_holder.replace(own.clone());
    if last_holder.as_ref() != Some(&own) {
        world.holding.released_by = last_holder.filter(|_| was_released);
    }
    if unbroken {
        for (_, host) in world.hosts.iter_mut() {
            host.poll.next_ms = now_ms;
        }
        world.holding.apply_event(HoldingEvent::Adopted);
        return;
    }
    clear_slice_tables(world);
    world.holding.tables_fence = Fence(fence);
    world.holding.loading = RecordLoading { next_call_at_ms: now_ms, ..RecordLoading::default() };
    for space in [KeySpace::Hosts, KeySpace::Jobs] {
        world.store_connection.followed_ranges.entry(space).or_default().relist(now_ms);
    }
    debug_assert!(world.hosts.iter().all(|(_, host)| host.adoption == Adoption::Unknown));
}
