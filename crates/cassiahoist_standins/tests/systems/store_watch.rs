//! Lists and watches of key ranges in the store.

use cassiahoist_world::event::Event;
use cassiahoist_world::store::{KeySpace, StoreCompletion, StoreFailure, StoreOp, StorePurpose, StoreReply};

use crate::support::{TestDaemon, entry_change, host_entry};

/// Time without disruption after which the store counts as stable again, in milliseconds.
const STABLE_WINDOW_MS: u64 = 3_000;

/// The reply to a watch is lost.
///
/// The next watch must not wait until the store is stable again.
#[test]
fn lost_watch_is_repeated_before_the_store_counts_as_stable() {
    let mut daemon = TestDaemon::standby();
    let purpose = StorePurpose::FollowRange(KeySpace::Operators);
    let issued_at_ms = daemon.now_ms;
    daemon.tick(1);
    let listing_reply = Ok(StoreReply::Items { items: Vec::new(), revision: 5 });
    daemon.receive_event(Event::StoreCompleted(Box::new(StoreCompletion {
        purpose: purpose.clone(),
        issued_at_ms,
        outcome: listing_reply,
    })));
    let watch_deadline_ms = |daemon: &TestDaemon| {
        let calls_of_range = daemon.store_calls().filter(|call| call.purpose == purpose);
        calls_of_range
            .filter(|call| matches!(call.op, StoreOp::Watch { .. }))
            .map(|call| call.deadline_ms)
            .next()
    };
    let (sent_ms, deadline_ms) = (daemon.now_ms, watch_deadline_ms(&daemon).unwrap());
    daemon.tick(deadline_ms - sent_ms);
    let lost_watch = StoreCompletion {
        purpose: purpose.clone(),
        issued_at_ms: sent_ms,
        outcome: Err(StoreFailure::Unknown),
    };
    daemon.receive_event(Event::StoreCompleted(Box::new(lost_watch)));
    while watch_deadline_ms(&daemon).is_none() {
        daemon.tick(10);
        assert!(daemon.now_ms < sent_ms + STABLE_WINDOW_MS, "the range is no longer watched");
    }
}

/// Returns the delay of the watch after a reply with host changes.
///
/// The delay is in milliseconds, `changes` the number of hosts in the reply.
fn watch_delay_after(changes: u64) -> u64 {
    let mut holder = TestDaemon::with_hosts(0);
    holder.tick(1);
    let entries = (0..changes).map(|number| entry_change(host_entry(number))).collect();
    holder.receive_changes(KeySpace::Hosts, entries, 70);
    let answered_ms = holder.now_ms;
    let watch_sent = |holder: &TestDaemon| {
        holder.store_calls().any(|call| call.purpose == StorePurpose::FollowRange(KeySpace::Hosts))
    };
    while !watch_sent(&holder) {
        holder.tick(10);
        assert!(holder.now_ms < answered_ms + STABLE_WINDOW_MS, "the range of hosts is no longer watched");
    }
    holder.now_ms - answered_ms
}

/// Watches of hosts pause for 400 ms, but not after 500 changes.
///
/// A reply with 500 changes may be truncated.
#[test]
fn host_changes_are_batched_unless_a_reply_is_full() {
    assert!(watch_delay_after(3) >= 400);
    assert_eq!(watch_delay_after(500), 0);
}

/// A page has 1.5 s plus the transfer time of three concurrent pages.
///
/// Each page is a megabyte.
#[test]
fn listing_timeout_grows_on_slow_links() {
    let timeout_ms = |link_mbps: u32| {
        let mut daemon = TestDaemon::standby();
        daemon.app.world_mut().local.limits.link_mbps = link_mbps;
        daemon.tick(1);
        let listing = daemon.store_calls().find(|call| matches!(call.op, StoreOp::List(_)));
        listing.unwrap().deadline_ms - daemon.now_ms
    };
    assert_eq!(timeout_ms(1_000), 1_524);
    // Three pages of a megabyte take 2.4 s on such a link.
    assert_eq!(timeout_ms(10), 3_900);
}
