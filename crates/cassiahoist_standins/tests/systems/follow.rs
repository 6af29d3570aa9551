//! Following ranges of the store.

use cassiahoist_world::event::Event;
use cassiahoist_world::store::{KeySpace, StoreAnswered, StoreFailure, StoreOp, StorePurpose, StoreReply};

use crate::support::{Holder, entry, report};

/// The store counts as stable again after this time without disruption, in milliseconds.
const STABLE_WINDOW_MS: u64 = 3_000;

#[test]
fn a_watch_whose_answer_is_lost_is_made_again_before_the_store_counts_as_stable() {
    let mut daemon = Holder::standby();
    let purpose = StorePurpose::Follow(KeySpace::Operators);
    let started_ms = daemon.now_ms;
    daemon.tick(1);
    let listed = Ok(StoreReply::Items { items: Vec::new(), revision: 5 });
    daemon.hear(Event::Store(Box::new(StoreAnswered {
        purpose: purpose.clone(),
        started_ms,
        outcome: listed,
    })));
    let watches = |daemon: &Holder| {
        let of_range = daemon.store_calls().filter(|call| call.purpose == purpose);
        of_range.filter(|call| matches!(call.op, StoreOp::Watch { .. })).map(|call| call.deadline_ms).next()
    };
    let (sent_ms, deadline_ms) = (daemon.now_ms, watches(&daemon).unwrap());
    daemon.tick(deadline_ms - sent_ms);
    let lost =
        StoreAnswered { purpose: purpose.clone(), started_ms: sent_ms, outcome: Err(StoreFailure::Unknown) };
    daemon.hear(Event::Store(Box::new(lost)));
    while watches(&daemon).is_none() {
        daemon.tick(10);
        assert!(daemon.now_ms < sent_ms + STABLE_WINDOW_MS, "the range is not watched");
    }
}

/// Gives the time between an answer with so many changes of hosts and the next watch of them, in milliseconds.
fn pause_after(changes: u64) -> u64 {
    let mut holder = Holder::new(0);
    holder.tick(1);
    let entries = (0..changes).map(|number| entry(report(number))).collect();
    holder.watch(KeySpace::Hosts, entries, 70);
    let answered_ms = holder.now_ms;
    let watched = |holder: &Holder| {
        holder.store_calls().any(|call| call.purpose == StorePurpose::Follow(KeySpace::Hosts))
    };
    while !watched(&holder) {
        holder.tick(10);
        assert!(holder.now_ms < answered_ms + STABLE_WINDOW_MS, "hosts are not watched");
    }
    holder.now_ms - answered_ms
}

#[test]
fn changes_of_hosts_gather_unless_there_are_more_than_one_answer_holds() {
    assert!(pause_after(3) >= 400);
    assert_eq!(pause_after(500), 0);
}

#[test]
fn a_listing_on_a_narrow_link_is_given_time_for_its_pages() {
    let patience_ms = |link_mbps: u32| {
        let mut daemon = Holder::standby();
        daemon.app.world_mut().local.limits.link_mbps = link_mbps;
        daemon.tick(1);
        let listing = daemon.store_calls().find(|call| matches!(call.op, StoreOp::List(_)));
        listing.unwrap().deadline_ms - daemon.now_ms
    };
    assert_eq!(patience_ms(1_000), 1_524);
    // Three pages of a megabyte take 2.4 s on such a link.
    assert_eq!(patience_ms(10), 3_900);
}
