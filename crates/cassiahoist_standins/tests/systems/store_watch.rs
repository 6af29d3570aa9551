//! Lists and watches of key ranges in the store.

use cassiahoist_core::prelude::*;
use cassiahoist_world::effect::{Effect, LogRecord};
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

/// Lists the log events of the last tick.
fn logged(daemon: &TestDaemon, event: EventId) -> Vec<LogRecord> {
    let log_records = daemon.effects.iter().filter_map(|effect| match effect {
        Effect::WriteLog(log_record) => Some(log_record.clone()),
        _ => None,
    });
    log_records.filter(|log_record| log_record.event == event).collect()
}

fn field<'a>(log_record: &'a LogRecord, name: &str) -> &'a str {
    &log_record.fields.iter().find(|(field, _)| *field == name).unwrap().1
}

fn complete_store_call(
    daemon: &mut TestDaemon,
    purpose: StorePurpose,
    issued_at_ms: u64,
    outcome: Result<StoreReply, StoreFailure>,
) {
    daemon.receive_event(Event::StoreCompleted(Box::new(StoreCompletion { purpose, issued_at_ms, outcome })));
}

/// Lets every watch and listing of some ranges fail 100 ms after it was sent, and returns the stale ranges logged.
fn fail_follow_calls_for(daemon: &mut TestDaemon, time_ms: u64) -> Vec<LogRecord> {
    let until_ms = daemon.now_ms + time_ms;
    let mut stale = Vec::new();
    while daemon.now_ms < until_ms {
        let is_follow = |purpose: &StorePurpose| matches!(purpose, StorePurpose::FollowRange(_));
        let calls = daemon.store_calls().filter(|call| is_follow(&call.purpose));
        let purposes: Vec<StorePurpose> = calls.map(|call| call.purpose.clone()).collect();
        let issued_at_ms = daemon.now_ms;
        daemon.tick(100);
        stale.extend(logged(daemon, EventId::RangeStale));
        for purpose in purposes {
            let completion = StoreCompletion { purpose, issued_at_ms, outcome: Err(StoreFailure::Unknown) };
            daemon.app.push_event(Event::StoreCompleted(Box::new(completion)));
        }
    }
    stale
}

/// The holder's watches fail again and again. One line per range says so, and one that it is answered again.
#[test]
fn unanswered_ranges_are_logged_once() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.tick(1);
    let stale = fail_follow_calls_for(&mut holder, 10_000);
    let mut ranges: Vec<&str> = stale.iter().map(|log_record| field(log_record, "range")).collect();
    ranges.sort_unstable();
    assert_eq!(ranges, ["Cell", "Hosts", "Jobs", "Operators"]);
    holder.receive_changes(KeySpace::Hosts, vec![entry_change(host_entry(0))], 70);
    let fresh = logged(&holder, EventId::RangeFresh);
    assert_eq!(fresh.len(), 1);
    assert_eq!(field(&fresh[0], "range"), "Hosts");
    assert!(field(&fresh[0], "age_ms").parse::<u64>().unwrap() > 10_000);
    holder.receive_changes(KeySpace::Hosts, vec![entry_change(host_entry(0))], 71);
    assert!(logged(&holder, EventId::RangeFresh).is_empty());
}

/// A watch without changes waits 2.2 s, and the next watch of jobs begins a second later.
#[test]
fn quiet_ranges_are_not_stale() {
    let mut holder = TestDaemon::with_hosts(1);
    for revision in 0..5 {
        for space in [KeySpace::Operators, KeySpace::Cell, KeySpace::Hosts, KeySpace::Jobs] {
            holder.receive_changes(space, Vec::new(), 70 + revision);
        }
        for _ in 0..32 {
            holder.tick(100);
            assert!(logged(&holder, EventId::RangeStale).is_empty());
        }
    }
}

/// A daemon without the slice does not follow the ranges of hosts and jobs.
#[test]
fn standby_has_no_stale_holder_ranges() {
    let mut daemon = TestDaemon::standby();
    let stale = fail_follow_calls_for(&mut daemon, 10_000);
    let mut ranges: Vec<&str> = stale.iter().map(|log_record| field(log_record, "range")).collect();
    ranges.sort_unstable();
    assert_eq!(ranges, ["Cell", "Operators"]);
}

/// Calls fail at different times, and some of the failures arrive after a later call's answer.
#[test]
fn every_unreachable_store_is_logged_as_reachable_again() {
    let mut daemon = TestDaemon::standby();
    let (mut unreachable, mut reachable) = (Vec::new(), Vec::new());
    let answer = || Ok(StoreReply::Changes { changes: Vec::new(), revision: 5 });
    let watch = || StorePurpose::FollowRange(KeySpace::Cell);
    for round in 0..20 {
        let issued_at_ms = daemon.now_ms;
        daemon.tick(40);
        complete_store_call(
            &mut daemon,
            StorePurpose::RenewLease,
            issued_at_ms,
            Err(StoreFailure::NotApplied),
        );
        unreachable.extend(logged(&daemon, EventId::StoreUnreachable));
        complete_store_call(&mut daemon, watch(), issued_at_ms, Err(StoreFailure::Unknown));
        unreachable.extend(logged(&daemon, EventId::StoreUnreachable));
        daemon.tick(50);
        if round % 3 == 2 {
            complete_store_call(&mut daemon, watch(), issued_at_ms, answer());
            reachable.extend(logged(&daemon, EventId::StoreReachable));
            complete_store_call(&mut daemon, watch(), issued_at_ms, Err(StoreFailure::Unknown));
            assert!(logged(&daemon, EventId::StoreUnreachable).is_empty(), "an older call failed");
        }
    }
    let issued_at_ms = daemon.now_ms;
    complete_store_call(&mut daemon, watch(), issued_at_ms, answer());
    reachable.extend(logged(&daemon, EventId::StoreReachable));
    assert_eq!(unreachable.len(), 7);
    assert_eq!(reachable.len(), unreachable.len());
    assert_eq!(field(&unreachable[0], "purpose"), "RenewLease");
    assert_eq!(field(&unreachable[0], "failure"), "NotApplied");
    assert_eq!(field(&unreachable[0], "took_ms"), "41");
    assert!(reachable.iter().all(|log_record| field(log_record, "for_ms").parse::<u64>().unwrap() >= 50));
}
