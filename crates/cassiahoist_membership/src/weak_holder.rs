//! Transfer of the slice from a weak machine to a much stronger one.
//!
//! A weak machine becomes the holder while the stronger ones are down or can't reach the store. It transfers the slice once
//! a stronger one has been back for a while, in the same way as a stopping holder.

use cassiahoist_core::prelude::*;
use cassiahoist_world::prelude::*;
use cassiahoist_world::record::MemberRecord;

/// Shortest tenure before a transfer, in milliseconds. Each change of the holder interrupts placement.
const MIN_TENURE_MS: u64 = 15_000;

/// Shortest tenure before a transfer to the daemon that released the slice, in milliseconds.
///
/// Its machine, though stronger by its limits, may have been too slow.
const MIN_TENURE_AFTER_RELEASE_MS: u64 = 60_000;

/// Time for which the stronger daemon must have been registered, in milliseconds.
const MIN_REGISTERED_MS: u64 = 5_000;

/// How long this daemon delays its later claims, in milliseconds. The stronger one claims first then.
const CLAIM_DELAY_PERIOD_MS: u64 = 15_000;

/// Releases the claim if a much stronger daemon is registered.
pub fn transfer_to_stronger(world: &mut World, now_ms: u64) {
    let Some(successor) = find_successor(world, now_ms) else { return };
    let (own, other) = (world.local.limits, successor.limits);
    let tenure_ms = world.holding.claim_won_at_ms().map_or(0, |won_at_ms| now_ms - won_at_ms);
    let log_record = LogRecord::new(EventId::HolderWeak)
        .with("stronger", &successor.incarnation)
        .with("cpu_milli", own.cpu_milli)
        .with("link_mbps", own.link_mbps)
        .with("stronger_cpu_milli", other.cpu_milli)
        .with("stronger_link_mbps", other.link_mbps)
        .with("tenure_ms", tenure_ms);
    world.log(log_record);
    world.holding.releasing_since_ms = Some(now_ms);
    world.holding.yield_until_ms = now_ms + CLAIM_DELAY_PERIOD_MS;
}

/// Returns a daemon that should hold the slice in place of this one; `None` if this one keeps it.
fn find_successor(world: &World, now_ms: u64) -> Option<&MemberRecord> {
    let holding = &world.holding;
    let can_release = holding.is_confirmed_holder(now_ms)
        && !world.store_connection.is_failing()
        && !world.local.is_stopping();
    let tenure_ms = now_ms.saturating_sub(holding.claim_won_at_ms()?);
    if !can_release || tenure_ms < MIN_TENURE_MS || holding.releasing_since_ms.is_some() {
        return None;
    }
    let own = world.local.limits;
    world.members.registered_for(MIN_REGISTERED_MS, now_ms).find(|other| {
        let has_released = holding.released_by.as_ref() == Some(&other.incarnation);
        other.limits.is_much_stronger_than(own) && (!has_released || tenure_ms >= MIN_TENURE_AFTER_RELEASE_MS)
    })
}
