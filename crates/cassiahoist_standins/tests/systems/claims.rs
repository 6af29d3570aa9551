//! Claims of a slice without a holder.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_membership::{StepDownCause, step_down};
use cassiahoist_world::calls::HolderStatus;
use cassiahoist_world::event::Event;
use cassiahoist_world::holding::HoldingEvent;
use cassiahoist_world::members::MemberTable;
use cassiahoist_world::record::{ClaimRecord, MemberRecord, TermRecord};
use cassiahoist_world::store::{
    KeySpace, StoreChange, StoreCompletion, StoreFailure, StoreItem, StoreKey, StorePurpose, StoreReply,
    StoreValue,
};

use crate::support::{TestDaemon, job_record, step};

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
        table.insert(member.clone(), 0);
    }
    let rank = |name: &str, left_out: Option<&str>| {
        let member = members.iter().find(|member| member.incarnation.member.to_string() == name).unwrap();
        let left_out: Option<Incarnation> = left_out.map(|incarnation| incarnation.parse().unwrap());
        table.claim_rank(&member.incarnation.member, member.limits, left_out.as_ref())
    };
    assert_eq!(["a", "b", "c", "d"].map(|name| rank(name, None)), [3, 0, 1, 2]);
    assert_eq!(rank("c", Some("b#1")), 0, "the last holder is left out");
    assert_eq!(rank("c", Some("b#0")), 1, "its next incarnation is not");
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

/// Creates the store item of a registered daemon.
fn member_item(record: MemberRecord) -> StoreItem {
    let key = StoreKey::Member(record.incarnation.member.clone());
    StoreItem { key, value: StoreValue::Member(record), revision: 70 }
}

/// Creates a standby that follows a holder, with a lease of its own, and has been registered for two seconds.
///
/// The holder's heartbeat arrived `heartbeat_age_ms` ago.
fn follower_of_a_holder(heartbeat_age_ms: u64) -> TestDaemon {
    let mut daemon = TestDaemon::standby();
    let own = member("edge-0", 500, 200);
    daemon.app.world_mut().local.limits = own.limits;
    daemon.app.world_mut().members.insert(own.clone(), daemon.now_ms);
    daemon.tick(2_000);
    let now_ms = daemon.now_ms;
    let world = daemon.app.world_mut();
    world.store_connection.lease = Some(7);
    world.store_connection.next_lease_call_at_ms = u64::MAX;
    world.holding.last_holder = Some("edge-9#1".parse().unwrap());
    world.holding.term = 1;
    world.calls.holder_status =
        Some(HolderStatus { received_at_ms: now_ms - heartbeat_age_ms, ..HolderStatus::default() });
    let claim =
        ClaimRecord { holder: "edge-9#1".parse().unwrap(), peer_address: "10.1.0.9:7720".into(), term: 1 };
    let item = StoreItem { key: StoreKey::Claim(SliceId(0)), value: StoreValue::Claim(claim), revision: 80 };
    let listing = StoreReply::Items { items: vec![member_item(own), item], revision: 80 };
    daemon.receive_event(Event::StoreCompleted(Box::new(StoreCompletion {
        purpose: StorePurpose::FollowRange(KeySpace::Cell),
        issued_at_ms: now_ms,
        outcome: Ok(listing),
    })));
    daemon
}

/// Removes the holder's claim and returns how long the daemon waits before its own, in milliseconds.
fn claim_delay_ms(daemon: &mut TestDaemon, changes: Vec<StoreChange>) -> u64 {
    daemon.receive_changes(KeySpace::Cell, changes, 90);
    let vacant_ms = daemon.now_ms;
    while !daemon.store_calls().any(|call| call.purpose == StorePurpose::ClaimSlice) {
        daemon.tick(10);
        assert!(daemon.now_ms < vacant_ms + 2_000);
    }
    daemon.now_ms - vacant_ms
}

fn claim_removed() -> StoreChange {
    StoreChange::Removed { key: StoreKey::Claim(SliceId(0)), revision: 90 }
}

/// An outage of the store ended all leases, but the last holder still runs.
///
/// It keeps its tables if it claims first, so the others leave it the time to do so.
#[test]
fn lapsed_claim_is_left_to_a_live_holder_first() {
    let delay_ms = claim_delay_ms(&mut follower_of_a_holder(200), vec![claim_removed()]);
    assert!(delay_ms >= 400, "{delay_ms} ms");
}

#[test]
fn claim_of_a_dead_holder_is_taken_at_once() {
    let delay_ms = claim_delay_ms(&mut follower_of_a_holder(1_200), vec![claim_removed()]);
    assert!(delay_ms <= 20, "{delay_ms} ms");
}

#[test]
fn released_claim_is_taken_at_once() {
    let term = TermRecord { term: 1, holder: "edge-9#1".parse().unwrap(), released: true };
    let item = StoreItem { key: StoreKey::Term(SliceId(0)), value: StoreValue::Term(term), revision: 90 };
    let changes = vec![claim_removed(), StoreChange::Written(item)];
    let delay_ms = claim_delay_ms(&mut follower_of_a_holder(200), changes);
    assert!(delay_ms <= 20, "{delay_ms} ms");
}

/// Starts a daemon in a cell without a claim, and lets it register.
///
/// `others` had registered when it listed the cell.
fn registered_daemon(own: MemberRecord, others: Vec<MemberRecord>) -> TestDaemon {
    let mut daemon = TestDaemon::standby();
    let world = daemon.app.world_mut();
    world.local.incarnation = own.incarnation.clone();
    world.local.limits = own.limits;
    world.store_connection.lease = Some(7);
    world.store_connection.next_lease_call_at_ms = u64::MAX;
    daemon.tick(1);
    let list = daemon.store_calls().find(|call| call.purpose == StorePurpose::FollowRange(KeySpace::Cell));
    let items = others.into_iter().map(member_item).collect();
    daemon.answer_store(list.cloned().unwrap(), Ok(StoreReply::Items { items, revision: 80 }));
    register(&mut daemon, own);
    daemon
}

fn register(daemon: &mut TestDaemon, record: MemberRecord) {
    daemon.receive_changes(KeySpace::Cell, vec![StoreChange::Written(member_item(record))], 85);
}

fn sends_claim(daemon: &TestDaemon) -> bool {
    daemon.store_calls().any(|call| call.purpose == StorePurpose::ClaimSlice)
}

/// Returns how long the daemon waits from now until it claims, in milliseconds.
fn wait_for_claim_ms(daemon: &mut TestDaemon) -> u64 {
    let from_ms = daemon.now_ms;
    while !sends_claim(daemon) {
        daemon.tick(10);
        assert!(daemon.now_ms < from_ms + 5_000, "no claim");
    }
    daemon.now_ms - from_ms
}

/// A weak daemon lists the cell before stronger ones have registered, and knows no other than itself.
///
/// If it claimed at once, it would hold the slice for good.
#[test]
fn claim_waits_for_daemons_that_start_at_the_same_time() {
    let mut weak = registered_daemon(member("edge-0", 120, 20), Vec::new());
    let alone_ms = wait_for_claim_ms(&mut weak);
    assert!((300..=600).contains(&alone_ms), "{alone_ms} ms for starts within 300 ms");

    let mut weak = registered_daemon(member("edge-0", 120, 20), Vec::new());
    weak.tick(300);
    assert!(!sends_claim(&weak));
    register(&mut weak, member("edge-1", 500, 200));
    let mut strong = registered_daemon(member("edge-0", 500, 200), vec![member("edge-1", 120, 20)]);
    let (weak_ms, strong_ms) = (wait_for_claim_ms(&mut weak), wait_for_claim_ms(&mut strong));
    assert!(strong_ms < weak_ms, "{strong_ms} ms after the registration, {weak_ms} ms at the weak daemon");
}

/// Between daemons of the same limits only their names decide, and for that none waits.
#[test]
fn claim_does_not_wait_for_an_equal_daemon() {
    let mut daemon = registered_daemon(member("edge-0", 500, 200), Vec::new());
    daemon.tick(300);
    register(&mut daemon, member("edge-1", 500, 200));
    let delay_ms = wait_for_claim_ms(&mut daemon);
    assert!(delay_ms <= 250, "{delay_ms} ms");
}

/// A strong machine ends and starts again and again, each time before its turn to claim comes.
#[test]
fn claim_does_not_wait_for_a_daemon_that_keeps_restarting() {
    let mut daemon = registered_daemon(member("edge-0", 120, 20), Vec::new());
    let from_ms = daemon.now_ms;
    for incarnation in 1.. {
        let incarnation = format!("edge-1#{incarnation}").parse().unwrap();
        register(&mut daemon, MemberRecord { incarnation, ..member("edge-1", 500, 200) });
        for _ in 0..20 {
            daemon.tick(10);
            if sends_claim(&daemon) {
                let waited_ms = daemon.now_ms - from_ms;
                assert!((900..=1_200).contains(&waited_ms), "{waited_ms} ms");
                return;
            }
        }
        assert!(daemon.now_ms < from_ms + 5_000, "no claim");
    }
}

/// A daemon that has been registered for long takes over at once, and has no reason to wait.
#[test]
fn claim_of_a_settled_daemon_waits_for_its_rank_only() {
    let mut daemon = registered_daemon(member("edge-5", 120, 20), vec![member("edge-1", 500, 200)]);
    let claim =
        ClaimRecord { holder: "edge-9#1".parse().unwrap(), peer_address: "10.1.0.9:7720".into(), term: 1 };
    let item = StoreItem { key: StoreKey::Claim(SliceId(0)), value: StoreValue::Claim(claim), revision: 86 };
    daemon.receive_changes(KeySpace::Cell, vec![StoreChange::Written(item)], 86);
    daemon.tick(3_000);
    let delay_ms = claim_delay_ms(&mut daemon, vec![claim_removed()]);
    assert!(delay_ms <= 80, "{delay_ms} ms");
}

/// An outage of the store ended all leases; the last holder still has its tables.
#[test]
fn last_holder_reclaims_before_it_has_registered_again() {
    let mut holder = TestDaemon::with_hosts(1);
    let own = holder.app.world().local.incarnation.clone();
    holder.app.world_mut().store_connection.followed_ranges.entry(KeySpace::Cell).or_default().revision =
        Some(80);
    holder.app.world_mut().holding.last_holder = Some(own);
    holder.tick(10);
    let delay_ms = claim_delay_ms(&mut holder, vec![claim_removed()]);
    assert!(delay_ms <= 20, "{delay_ms} ms");
}

/// The claim shows first that the lease has ended; a renewal may be due only much later.
///
/// Without a lease the last holder can't claim again, and another daemon takes its work over.
#[test]
fn lease_is_requested_at_once_after_a_claim_without_one() {
    let mut holder = TestDaemon::with_hosts(1);
    let world = holder.app.world_mut();
    world.holding.last_holder = Some(world.local.incarnation.clone());
    world.store_connection.followed_ranges.entry(KeySpace::Cell).or_default().revision = Some(80);
    world.store_connection.next_lease_call_at_ms = world.holding.claim_won_at_ms().unwrap() + 5_000;
    holder.tick(10);
    claim_delay_ms(&mut holder, vec![claim_removed()]);
    let claim = holder.store_calls().find(|call| call.purpose == StorePurpose::ClaimSlice).cloned().unwrap();
    holder.answer_store(claim, Ok(StoreReply::LeaseNotFound));
    holder.tick(1);
    assert!(holder.store_calls().any(|call| call.purpose == StorePurpose::GrantLease));
}

/// The store refuses registrations beyond its rate, and many daemons register at the same time.
///
/// If each repeated its own at once, none would get through.
#[test]
fn refused_registration_is_repeated_after_a_pause() {
    let registration = |daemon: &TestDaemon| {
        daemon.store_calls().find(|call| call.purpose == StorePurpose::RegisterMember).cloned()
    };
    let mut daemon = TestDaemon::standby();
    daemon.app.world_mut().store_connection.lease = Some(7);
    daemon.tick(1);
    let call = registration(&daemon).unwrap();
    daemon.answer_store(call, Err(StoreFailure::NotApplied));
    let refused_ms = daemon.now_ms;
    while registration(&daemon).is_none() {
        daemon.tick(10);
        assert!(daemon.now_ms < refused_ms + 1_000, "no registration");
    }
    let pause_ms = daemon.now_ms - refused_ms;
    assert!((50..=200).contains(&pause_ms), "{pause_ms} ms");
}

/// A weak holder lost power together with all others and starts again while its claim is still in the store.
///
/// Its tables are lost, so that a stronger daemon takes over at no greater cost.
#[test]
fn restarted_holder_leaves_its_claim_to_a_stronger_daemon() {
    for (other_cpu_milli, claims) in [(500, false), (120, true), (160, true)] {
        let own = MemberRecord { incarnation: "edge-5#2".parse().unwrap(), ..member("edge-5", 120, 20) };
        let mut daemon = registered_daemon(own, vec![member("edge-1", other_cpu_milli, 20)]);
        let claim = ClaimRecord {
            holder: "edge-5#1".parse().unwrap(),
            peer_address: "10.1.0.5:7720".into(),
            term: 1,
        };
        let item =
            StoreItem { key: StoreKey::Claim(SliceId(0)), value: StoreValue::Claim(claim), revision: 86 };
        daemon.receive_changes(KeySpace::Cell, vec![StoreChange::Written(item)], 86);
        assert_eq!(
            sends_claim(&daemon),
            claims,
            "beside a machine of {other_cpu_milli} thousandths of a core"
        );
    }
}

/// All daemons lost power, and the lease of the last holder ended before they were back.
///
/// The last holder was the strongest, so a wait for the registrations of the others would only prolong the outage.
#[test]
fn restarted_last_holder_claims_a_vacant_slice_without_a_wait() {
    for (last_holder, allowed_ms) in [("edge-0#0", 0..=20), ("edge-9#0", 300..=600)] {
        let mut daemon = TestDaemon::standby();
        let own = member("edge-0", 500, 200);
        let world = daemon.app.world_mut();
        world.local.incarnation = own.incarnation.clone();
        world.local.limits = own.limits;
        world.store_connection.lease = Some(7);
        world.store_connection.next_lease_call_at_ms = u64::MAX;
        world.holding.last_holder = Some(last_holder.parse().unwrap());
        daemon.tick(1);
        let list =
            daemon.store_calls().find(|call| call.purpose == StorePurpose::FollowRange(KeySpace::Cell));
        daemon
            .answer_store(list.cloned().unwrap(), Ok(StoreReply::Items { items: Vec::new(), revision: 80 }));
        register(&mut daemon, own);
        let wait_ms = wait_for_claim_ms(&mut daemon);
        assert!(allowed_ms.contains(&wait_ms), "{last_holder}: {wait_ms} ms");
    }
}

/// A daemon of another version wrote the progress of a job.
///
/// Its tasks may be done, so the new holder starts none of them.
#[test]
fn job_with_unreadable_progress_is_not_started_again() {
    let mut daemon = TestDaemon::standby();
    let now_ms = daemon.now_ms;
    let world = daemon.app.world_mut();
    world.holding.apply_event(HoldingEvent::ClaimWon { fence: Fence(90), at_ms: now_ms });
    world.holding.claim_sent_at_ms = now_ms;
    daemon.tick(1);
    let now_ms = daemon.now_ms;
    let record = job_record(1, vec![step(1)]);
    let answer = |purpose, outcome| {
        Event::StoreCompleted(Box::new(StoreCompletion {
            purpose,
            issued_at_ms: now_ms,
            outcome: Ok(outcome),
        }))
    };
    let progress = StoreItem {
        key: StoreKey::Progress(record.id),
        value: StoreValue::Unreadable { reason: "another version".into() },
        revision: 70,
    };
    let job = StoreItem { key: StoreKey::Job(record.id), value: StoreValue::Job(record), revision: 60 };
    daemon.receive_event(answer(
        StorePurpose::LoadProgress,
        StoreReply::Items { items: vec![progress], revision: 95 },
    ));
    daemon.receive_event(answer(
        StorePurpose::FollowRange(KeySpace::Jobs),
        StoreReply::Items { items: vec![job], revision: 95 },
    ));
    assert!(daemon.app.world().holding.loading.jobs_loaded);
    assert_eq!(daemon.app.world().jobs.len(), 0);
}

/// Creates a daemon that has just won the slice with the token 90, in place of a term of revision 70.
///
/// It loads one job, which was accepted as given and has no progress. Returns whether the job is in the tables, and
/// counts as one that an earlier holder may have started.
fn load_accepted_job(accepted: Fence) -> Option<bool> {
    let mut daemon = TestDaemon::standby();
    let now_ms = daemon.now_ms;
    let world = daemon.app.world_mut();
    world.holding.apply_event(HoldingEvent::ClaimWon { fence: Fence(90), at_ms: now_ms });
    world.holding.claim_sent_at_ms = now_ms;
    world.holding.replaced_term_revision = 70;
    daemon.tick(1);
    let now_ms = daemon.now_ms;
    let mut record = job_record(1, vec![step(1)]);
    Arc::make_mut(&mut record).claim = accepted;
    let job = StoreItem { key: StoreKey::Job(record.id), value: StoreValue::Job(record), revision: 95 };
    for (purpose, items) in
        [(StorePurpose::LoadProgress, Vec::new()), (StorePurpose::FollowRange(KeySpace::Jobs), vec![job])]
    {
        daemon.receive_event(Event::StoreCompleted(Box::new(StoreCompletion {
            purpose,
            issued_at_ms: now_ms,
            outcome: Ok(StoreReply::Items { items, revision: 95 }),
        })));
    }
    let world = daemon.app.world();
    assert!(world.holding.loading.jobs_loaded);
    let key = world.jobs.find(&JobId(1))?;
    world.jobs.get(key).map(|job| job.inherited)
}

/// After a loss of power callers come back before a daemon holds the slice, while hosts of the earlier holder are silent.
///
/// Their jobs waited until the leases of these hosts had ended, although no earlier holder can have started them.
#[test]
fn job_accepted_since_the_last_holder_waits_for_no_lease() {
    assert_eq!(load_accepted_job(Fence(71)), Some(false), "accepted while nobody held the slice");
    assert_eq!(load_accepted_job(Fence(90)), Some(false), "accepted before the jobs were listed");
}

#[test]
fn job_accepted_under_an_earlier_holder_is_inherited() {
    assert_eq!(load_accepted_job(Fence(70)), Some(true));
    assert_eq!(load_accepted_job(Fence(0)), Some(true));
}

/// The listing came late, and another holder has claimed the slice meanwhile.
#[test]
fn listed_job_of_a_later_claim_is_ignored() {
    assert_eq!(load_accepted_job(Fence(91)), None);
}
