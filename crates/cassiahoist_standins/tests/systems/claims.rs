//! Claims of a slice without a holder.

use cassiahoist_core::prelude::*;
use cassiahoist_membership::{StepDownCause, step_down};
use cassiahoist_world::event::Event;
use cassiahoist_world::holding::HoldingEvent;
use cassiahoist_world::members::MemberTable;
use cassiahoist_world::record::{ClaimRecord, MemberRecord};
use cassiahoist_world::store::{
    KeySpace, StoreChange, StoreCompletion, StoreItem, StoreKey, StorePurpose, StoreReply, StoreValue,
};

use crate::support::TestDaemon;

fn member(name: &str, cpu_milli: u32, link_mbps: u32) -> MemberRecord {
    MemberRecord {
        incarnation: format!("{name}#1").parse().unwrap(),
        peer_address: "10.1.0.1:7720".into(),
        domain: FailureDomain::new("obihiro").unwrap(),
        limits: MachineLimits { cpu_milli, link_mbps },
    }
}

#[test]
fn claim_rank_prefers_strong_members_then_names() {
    let members = [member("a", 120, 10), member("b", 500, 200), member("c", 500, 200), member("d", 500, 10)];
    let mut table = MemberTable::default();
    for member in &members {
        table.insert(member.clone());
    }
    let rank = |name: &str, left_out: Option<&str>| {
        let member = members.iter().find(|member| member.incarnation.member.to_string() == name).unwrap();
        let left_out = left_out.map(|name| MemberName::new(name).unwrap());
        table.claim_rank(&member.incarnation.member, member.limits, left_out.as_ref())
    };
    assert_eq!(["a", "b", "c", "d"].map(|name| rank(name, None)), [3, 0, 1, 2]);
    assert_eq!(rank("c", Some("b")), 0, "the last holder is left out");
}

/// Records read in part under one claim must not count for the next.
#[test]
fn reclaimed_slice_reloads_partly_read_records() {
    let mut holder = TestDaemon::with_hosts(1);
    let world = holder.app.world_mut();
    world.holding.last_holder = Some(world.local.incarnation.clone());
    world.holding.term = 1;
    world.holding.loading.roster_loaded = false;
    // The lease expires while the roster is being read, and the same daemon claims the slice again before any
    // other.
    step_down(world, StepDownCause::Lapsed, 1_000);
    let claim = ClaimRecord {
        holder: world.local.incarnation.clone(),
        peer_address: world.local.peer_address.clone(),
        term: 2,
    };
    world.holding.claim_sent_at_ms = 1_000;
    let item = StoreItem { key: StoreKey::Claim(SliceId(0)), value: StoreValue::Claim(claim), revision: 90 };
    holder.receive_changes(KeySpace::Cell, vec![StoreChange::Written(item)], 90);
    let holding = &holder.app.world().holding;
    assert_eq!(holding.fence(), Some(Fence(90)));
    assert!(!holding.is_holding(), "hosts of the roster may still have runs");
}

/// A read sent before the claim must not count for it.
#[test]
fn roster_read_before_the_claim_is_ignored() {
    let mut daemon = TestDaemon::standby();
    let now_ms = daemon.now_ms;
    let world = daemon.app.world_mut();
    world.holding.apply_event(HoldingEvent::ClaimWon { fence: Fence(90), at_ms: now_ms });
    world.holding.loading.hosts_loaded = true;
    daemon.tick(1);
    let call = daemon.store_calls().find(|call| call.purpose == StorePurpose::LoadRoster).cloned().unwrap();
    let completion = |issued_at_ms| StoreCompletion {
        purpose: call.purpose.clone(),
        issued_at_ms,
        outcome: Ok(StoreReply::Item(None)),
    };
    daemon.receive_event(Event::StoreCompleted(Box::new(completion(now_ms - 1))));
    assert!(!daemon.app.world().holding.loading.roster_loaded);
    daemon.receive_event(Event::StoreCompleted(Box::new(completion(now_ms + 1))));
    assert!(daemon.app.world().holding.loading.roster_loaded);
}
