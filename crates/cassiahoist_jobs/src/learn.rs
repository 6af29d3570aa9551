//! How the holder learns of jobs and cancellations.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_runs::{advance_job, stop_job_runs};
use cassiahoist_world::inbox::RangeNews;
use cassiahoist_world::jobs::JobKey;
use cassiahoist_world::peer::PeerMessage;
use cassiahoist_world::prelude::*;
use cassiahoist_world::record::{JobRecord, JobState};
use cassiahoist_world::store::{KeySpace, StoreChange, StoreItem, StoreKey, StoreValue};
use rustc_hash::FxHashSet;

use crate::plan::{Inheritance, plan_job};

/// Takes in jobs and cancellations from the store: all of them for a new holder, then what is new.
pub fn load_jobs(world: &mut World, now_ms: u64) {
    if world.holding.fence().is_none() {
        world.inbox.take_range(KeySpace::Jobs);
        return;
    }
    if world.holding.loading.progress.is_none() && !world.holding.loading.jobs {
        // Jobs wait in the inbox until their progress is read.
        return;
    }
    for news in world.inbox.take_range(KeySpace::Jobs) {
        match news {
            RangeNews::Whole(items) => {
                let inherited = !world.holding.loading.jobs;
                load_items(world, items, inherited, now_ms);
                world.holding.loading.jobs = true;
                world.holding.loading.progress.get_or_insert_default().clear();
            }
            RangeNews::Changes(changes) => {
                let items = changes.into_iter().filter_map(StoreChange::written).collect();
                load_items(world, items, false, now_ms);
            }
        }
    }
}

fn load_items(world: &mut World, items: Vec<StoreItem>, inherited: bool, now_ms: u64) {
    let mut cancelled = FxHashSet::default();
    for item in &items {
        if let StoreKey::Cancel(job) = item.key {
            cancelled.insert(job);
        }
    }
    for item in items {
        match item.value {
            StoreValue::Job(record) => {
                if inherited {
                    inherit_job(world, &record, now_ms);
                } else {
                    learn_job(world, &record, now_ms);
                }
            }
            StoreValue::Unreadable { reason } => {
                let note = LogNote::new(EventId::StoreItemSkipped).with("key", format!("{:?}", item.key));
                world.log(note.with("reason", reason));
            }
            _ => {}
        }
    }
    for job in cancelled {
        cancel_known(world, job, now_ms);
    }
}

fn inherit_job(world: &mut World, record: &Arc<JobRecord>, now_ms: u64) {
    if world.jobs.find(&record.id).is_some() {
        return;
    }
    let progress = world.holding.loading.progress.as_mut().and_then(|rows| rows.remove(&record.id));
    let inheritance = Inheritance { progress, term: world.holding.term };
    plan_job(world, record, Some(inheritance), now_ms);
    cancel_if_asked(world, record.id, now_ms);
}

/// Adds a job that was stored under this holder.
pub(crate) fn learn_job(world: &mut World, record: &Arc<JobRecord>, now_ms: u64) {
    // A job of a later claim is for a later holder to start.
    let ours = world.holding.fence().is_some_and(|fence| record.claim <= fence);
    if !ours || world.jobs.find(&record.id).is_some() {
        return;
    }
    plan_job(world, record, None, now_ms);
    cancel_if_asked(world, record.id, now_ms);
}

/// Ends a job whose cancelling became known before the job itself.
fn cancel_if_asked(world: &mut World, id: JobId, now_ms: u64) {
    if world.jobs.cancelled_unknown.remove(&id) {
        cancel_known(world, id, now_ms);
    }
}

/// Ends a job that its caller cancelled.
pub(crate) fn cancel_known(world: &mut World, id: JobId, now_ms: u64) {
    let Some(key) = world.jobs.find(&id) else {
        world.jobs.cancelled_unknown.insert(id);
        return;
    };
    let unix_ms = world.local.unix_ms;
    let Some(job) = world.jobs.get_mut(key) else { return };
    if job.state.is_final() {
        return;
    }
    job.state = JobState::Cancelled;
    job.ended_unix_ms = unix_ms;
    let steps = job.steps.clone();
    for step in steps {
        world.jobs.ready.remove(&step);
        world.jobs.blocked.remove(&step);
    }
    world.jobs.dirty.insert(key);
    world.counters.jobs_ended += 1;
    world.log(LogNote::new(EventId::JobEnded).with("job", id).with("state", "Cancelled"));
    stop_job_runs(world, key, now_ms);
}

/// Takes in what front servers tell the holder.
pub fn read_notices(world: &mut World, now_ms: u64) {
    let wanted =
        |message: &PeerMessage| matches!(message, PeerMessage::JobStored(_) | PeerMessage::JobCancelled(_));
    let adopting = world.holding.fence().is_some() && !world.holding.loading.jobs;
    if adopting {
        // Notices wait until the jobs that they may be about are read.
        return;
    }
    let notices = world.inbox.take_peers(wanted);
    if world.holding.fence().is_none() {
        return;
    }
    for (_, message) in notices {
        match message {
            PeerMessage::JobStored(record) => learn_job(world, &record, now_ms),
            PeerMessage::JobCancelled(job) => cancel_known(world, job, now_ms),
            _ => {}
        }
    }
}

/// Lets steps begin whose due time has come.
pub fn begin_due_steps(world: &mut World, now_ms: u64) {
    let unix_ms = world.local.unix_ms;
    let mut due: Vec<JobKey> = Vec::new();
    let mut next_unix_ms = u64::MAX;
    for key in &world.jobs.blocked {
        let Some(step) = world.jobs.steps.get(*key) else { continue };
        if step.due_unix_ms == 0 {
            continue;
        }
        if unix_ms >= step.due_unix_ms {
            due.push(step.job);
        } else {
            next_unix_ms = next_unix_ms.min(step.due_unix_ms);
        }
    }
    due.dedup();
    for job in due {
        advance_job(world, job, now_ms);
    }
    if next_unix_ms < u64::MAX {
        world.wake_by(now_ms + (next_unix_ms - unix_ms));
    }
}
