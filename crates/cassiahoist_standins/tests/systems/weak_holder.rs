//! A holder on a weak machine transfers the slice to a much stronger one, once.

use cassiahoist_core::prelude::*;
use cassiahoist_world::record::{ClaimRecord, MemberRecord};
use cassiahoist_world::store::{KeySpace, StoreChange, StoreItem, StoreKey, StorePurpose, StoreValue};

use crate::support::TestDaemon;

const WEAK: MachineLimits = MachineLimits { cpu_milli: 120, link_mbps: 20 };

const STRONG: MachineLimits = MachineLimits { cpu_milli: 500, link_mbps: 200 };

/// Creates a holder on a weak machine, which has just won its claim.
fn weak_holder() -> TestDaemon {
    let mut holder = TestDaemon::with_hosts(1);
    holder.app.world_mut().local.limits = WEAK;
    holder
}

/// Registers another daemon now.
fn register(holder: &mut TestDaemon, limits: MachineLimits) {
    let record = MemberRecord {
        incarnation: "edge-1#1".parse().unwrap(),
        peer_address: "10.1.0.1:7720".into(),
        domain: FailureDomain::new("obihiro").unwrap(),
        limits,
    };
    let now_ms = holder.now_ms;
    holder.app.world_mut().members.insert(record, now_ms);
}

/// Runs the holder and returns after how long it releases its claim, in milliseconds; `None` if it keeps it.
fn release_after_ms(holder: &mut TestDaemon, for_ms: u64) -> Option<u64> {
    let from_ms = holder.now_ms;
    while holder.now_ms < from_ms + for_ms {
        holder.tick(100);
        if holder.store_calls().any(|call| call.purpose == StorePurpose::ReleaseClaim) {
            return Some(holder.now_ms - from_ms);
        }
    }
    None
}

/// The stronger daemons were down when the holder was lost, and a weak one would hold the slice for good.
#[test]
fn weak_holder_transfers_the_slice_to_a_strong_daemon() {
    let mut holder = weak_holder();
    register(&mut holder, STRONG);
    let after_ms = release_after_ms(&mut holder, 30_000).unwrap();
    assert!((15_000..=16_000).contains(&after_ms), "{after_ms} ms");
    assert!(!holder.app.world().holding.is_holding());
}

/// A daemon that comes and goes is no successor.
#[test]
fn slice_is_not_transferred_to_a_newcomer() {
    let mut holder = weak_holder();
    assert_eq!(release_after_ms(&mut holder, 20_000), None);
    register(&mut holder, STRONG);
    let after_ms = release_after_ms(&mut holder, 30_000).unwrap();
    assert!((5_000..=6_000).contains(&after_ms), "{after_ms} ms");
}

/// Each change of the holder interrupts placement, so a small difference is no reason.
#[test]
fn slice_is_not_transferred_between_similar_daemons() {
    for limits in
        [WEAK, MachineLimits { cpu_milli: 180, ..STRONG }, MachineLimits { link_mbps: 10, ..STRONG }]
    {
        let mut holder = weak_holder();
        register(&mut holder, limits);
        assert_eq!(release_after_ms(&mut holder, 60_000), None, "{limits:?}");
    }
}

/// The daemon before released the slice since its machine, though stronger by its limits, was too slow.
///
/// The slice would go back and forth.
#[test]
fn slice_is_not_soon_transferred_to_the_daemon_that_released_it() {
    let mut holder = weak_holder();
    holder.app.world_mut().holding.released_by = Some("edge-1#1".parse().unwrap());
    register(&mut holder, STRONG);
    let after_ms = release_after_ms(&mut holder, 90_000).unwrap();
    assert!((60_000..=61_000).contains(&after_ms), "{after_ms} ms");
}

/// Only a release tells that a machine is too slow, and not the end of a lease.
#[test]
fn only_a_release_names_the_daemon_before() {
    for released in [true, false] {
        let mut daemon = TestDaemon::standby();
        let now_ms = daemon.now_ms;
        let world = daemon.app.world_mut();
        let before: Incarnation = "edge-1#1".parse().unwrap();
        world.holding.last_holder = Some(before.clone());
        world.holding.was_released = released;
        world.holding.claim_sent_at_ms = now_ms;
        let claim = ClaimRecord {
            holder: world.local.incarnation.clone(),
            peer_address: world.local.peer_address.clone(),
            term: 2,
        };
        let item =
            StoreItem { key: StoreKey::Claim(SliceId(0)), value: StoreValue::Claim(claim), revision: 90 };
        daemon.receive_changes(KeySpace::Cell, vec![StoreChange::Written(item)], 90);
        assert_eq!(daemon.app.world().holding.released_by, released.then_some(before));
    }
}

/// While the store does not answer, the members may have changed and nobody could claim the slice.
#[test]
fn slice_is_not_transferred_while_the_store_fails() {
    let mut holder = weak_holder();
    register(&mut holder, STRONG);
    holder.app.world_mut().store_connection.failing_since_ms = Some(2_000);
    assert_eq!(release_after_ms(&mut holder, 30_000), None);
}
