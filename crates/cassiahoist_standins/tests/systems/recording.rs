//! Progress and ends: what is recorded when.

use cassiahoist_core::prelude::*;
use cassiahoist_world::orders::RunEnding;
use cassiahoist_world::record::JobState;
use cassiahoist_world::store::{
    StoreFailure, StoreItem, StoreKey, StoreOp, StorePurpose, StoreReply, StoreValue,
};

use crate::support::{FENCE, Holder, end, ends, task_name};

#[test]
fn an_end_may_be_forgotten_only_once_progress_is_recorded() {
    let mut holder = Holder::with_running(1, 1);
    holder.tick(50);
    holder.list(0, ends(vec![end(1, &task_name(1, 0, 0), 1, RunEnding::Done)]));
    let commit = holder.commits(|call| matches!(call.purpose, StorePurpose::Progress(_)));
    let host = holder.host(0);
    assert_eq!(holder.app.world().hosts.get(host).unwrap().ends_recorded, 0);
    let job = holder.app.world().jobs.find(&JobId(1)).unwrap();
    assert_eq!(holder.app.world().jobs.get(job).unwrap().recorded_state, JobState::Queued);
    holder.answer_store(commit[0].clone(), Ok(StoreReply::Committed { revision: 60 }));
    assert_eq!(holder.app.world().hosts.get(host).unwrap().ends_recorded, 1);
    assert_eq!(holder.app.world().jobs.get(job).unwrap().recorded_state, JobState::Completed);
}

#[test]
fn a_flush_that_was_lost_is_written_again() {
    let mut holder = Holder::with_running(1, 1);
    holder.tick(50);
    holder.list(0, ends(vec![end(1, &task_name(1, 0, 0), 1, RunEnding::Done)]));
    let commit = holder.commits(|call| matches!(call.purpose, StorePurpose::Progress(_)));
    holder.answer_store(commit[0].clone(), Err(StoreFailure::Unknown));
    holder.tick(300);
    let again = holder.commits(|call| matches!(call.purpose, StorePurpose::Progress(_)));
    assert_eq!(again.len(), 1);
    // The first write took effect after all: its revision is taken over.
    let claim = StoreItem { key: StoreKey::Claim(SliceId(0)), value: StoreValue::Cancel, revision: FENCE.0 };
    let progress = StoreItem { key: StoreKey::Progress(JobId(1)), value: StoreValue::Cancel, revision: 61 };
    holder.answer_store(again[0].clone(), Ok(StoreReply::Conflict { items: vec![claim, progress] }));
    holder.tick(300);
    let third = holder.commits(|call| matches!(call.purpose, StorePurpose::Progress(_)));
    let StoreOp::Commit(transaction) = &third[0].op else { unreachable!() };
    assert!(transaction.expect.contains(&(StoreKey::Progress(JobId(1)), 61)));
}

#[test]
fn a_claim_that_is_gone_stops_the_recording() {
    let mut holder = Holder::with_running(1, 1);
    holder.tick(50);
    holder.list(0, ends(vec![end(1, &task_name(1, 0, 0), 1, RunEnding::Done)]));
    let commit = holder.commits(|call| matches!(call.purpose, StorePurpose::Progress(_)));
    let claim =
        StoreItem { key: StoreKey::Claim(SliceId(0)), value: StoreValue::Cancel, revision: FENCE.0 + 9 };
    holder.answer_store(commit[0].clone(), Ok(StoreReply::Conflict { items: vec![claim] }));
    assert!(holder.app.world().holding.fence().is_none());
    assert!(holder.app.world().jobs.is_empty());
}

#[test]
fn an_end_that_makes_no_job_final_waits_for_others_before_it_is_recorded() {
    let recorded_after_ms = |tasks: u32| {
        let mut holder = Holder::with_running(1, tasks);
        holder.tick(300);
        // What came before is recorded, just now.
        let now_ms = holder.now_ms;
        let world = holder.app.world_mut();
        world.jobs.dirty.clear();
        world.commits.flush = None;
        world.commits.next_ms = now_ms + 40;
        let from_ms = holder.now_ms;
        holder.list(0, ends(vec![end(1, &task_name(1, 0, 0), 1, RunEnding::Done)]));
        while holder.commits(|call| matches!(call.purpose, StorePurpose::Progress(_))).is_empty() {
            holder.tick(1);
            assert!(holder.now_ms < from_ms + 1_000, "nothing is recorded");
        }
        holder.now_ms - from_ms
    };
    assert!(recorded_after_ms(1) <= 40, "its caller waits for the record");
    assert!(recorded_after_ms(2) > 40);
}
