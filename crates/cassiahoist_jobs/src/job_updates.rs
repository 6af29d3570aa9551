//! Adds jobs and applies cancellations at the holder.
//!
//! Both come from the store and, sooner, as notices from other daemons.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_runs::stop_job_runs;
use cassiahoist_world::inbox::RangeUpdate;
use cassiahoist_world::peer::PeerMessage;
use cassiahoist_world::prelude::*;
use cassiahoist_world::record::{JobRecord, JobState};
use cassiahoist_world::store::{KeySpace, StoreChange, StoreItem, StoreKey, StoreValue};
use rustc_hash::FxHashSet;

use crate::cancellation_removal::note_unstored_cancellation;
use crate::job_rows::{InheritedState, insert_job};

/// Maximum number of cancellations that are kept for jobs not yet in the tables.
const MAX_EARLY_CANCELLATIONS: usize = 4_096;

/// Time after which a job whose cancellation was kept is no longer expected, in milliseconds.
///
/// A stored job reaches the tables by the watch of the store if the notice of its server was lost.
const EARLY_CANCELLATION_LIFETIME_MS: u64 = 20_000;

/// Applies stored jobs and cancellations: all of them at a new holder, changes afterwards.
pub fn load_jobs(world: &mut World, now_ms: u64) {
    if world.holding.fence().is_none() {
        world.inbox.take_range_updates(KeySpace::Jobs);
        return;
    }
    if world.holding.loading.progress.is_none() && !world.holding.loading.jobs_loaded {
        // Jobs stay in the inbox until their progress has been read.
        return;
    }
    for update in world.inbox.take_range_updates(KeySpace::Jobs) {
        match update {
            RangeUpdate::Listing(items) => {
                let inherited = !world.holding.loading.jobs_loaded;
                apply_job_items(world, items, inherited, now_ms);
                world.holding.loading.jobs_loaded = true;
                world.holding.loading.progress.get_or_insert_default().clear();
            }
            RangeUpdate::Changes(changes) => {
                let items = changes.into_iter().filter_map(StoreChange::written).collect();
                apply_job_items(world, items, false, now_ms);
            }
        }
    }
}

fn apply_job_items(world: &mut World, items: Vec<StoreItem>, inherited: bool, now_ms: u64) {
    let mut cancelled_jobs = FxHashSet::default();
    for item in &items {
        if let StoreKey::Cancel(job) = item.key {
            cancelled_jobs.insert(job);
        }
    }
    for item in items {
        match item.value {
            StoreValue::Job(record) => {
                if inherited {
                    restore_job(world, &record, now_ms);
                } else {
                    add_new_job(world, &record, now_ms);
                }
            }
            StoreValue::Unreadable { reason } => {
                let log_record =
                    LogRecord::new(EventId::StoreItemSkipped).with("key", format!("{:?}", item.key));
                world.log(log_record.with("reason", reason));
            }
            _ => {}
        }
    }
    for job in cancelled_jobs {
        apply_cancellation(world, job, now_ms);
        if world.jobs.find(&job).is_none() {
            note_unstored_cancellation(world, job, now_ms);
        }
    }
}

/// Adds a job that was stored before the tables were loaded, with its recorded progress.
fn restore_job(world: &mut World, record: &Arc<JobRecord>, now_ms: u64) {
    if !may_add_job(world, record) {
        return;
    }
    let progress = world.holding.loading.progress.as_mut().and_then(|by_job| by_job.remove(&record.id));
    let is_new = progress.is_none() && world.holding.is_first_holder_of_job(record.claim);
    let inherited = (!is_new).then_some(InheritedState { progress, term: world.holding.term });
    insert_job(world, record, inherited, now_ms);
    apply_early_cancellation(world, record.id, now_ms);
}

/// Returns whether a job is for this holder to start and not in the tables yet.
///
/// A job accepted under a later claim is for the holder of that claim.
fn may_add_job(world: &World, record: &JobRecord) -> bool {
    world.holding.covers_job(record.claim)
        && world.jobs.find(&record.id).is_none()
        && !has_unreadable_progress(world, record.id)
}

/// Returns whether it is unknown which tasks of the job are done.
fn has_unreadable_progress(world: &World, job: JobId) -> bool {
    world.holding.loading.unreadable_progress.contains(&job)
}

/// Adds a job that was accepted under this holder's claim or an earlier one.
pub(crate) fn add_new_job(world: &mut World, record: &Arc<JobRecord>, now_ms: u64) {
    if !may_add_job(world, record) {
        return;
    }
    insert_job(world, record, None, now_ms);
    apply_early_cancellation(world, record.id, now_ms);
}

/// Cancels a job whose cancellation was received before the job itself.
fn apply_early_cancellation(world: &mut World, id: JobId, now_ms: u64) {
    if world.jobs.early_cancellations.remove(&id).is_some() {
        apply_cancellation(world, id, now_ms);
    }
}

/// Keeps the cancellation of a job that is not in the tables.
///
/// At most [`MAX_EARLY_CANCELLATIONS`] are kept. Beyond that, those whose jobs have not come in time are dropped.
fn keep_early_cancellation(world: &mut World, id: JobId, now_ms: u64) {
    let cancellations = &mut world.jobs.early_cancellations;
    if cancellations.len() >= MAX_EARLY_CANCELLATIONS {
        cancellations.retain(|_, at_ms| now_ms < *at_ms + EARLY_CANCELLATION_LIFETIME_MS);
    }
    if cancellations.len() < MAX_EARLY_CANCELLATIONS {
        cancellations.insert(id, now_ms);
    }
}

/// Cancels a job and stops its runs.
///
/// The cancellation of a job that is not in the tables is kept until the job is added.
pub(crate) fn apply_cancellation(world: &mut World, id: JobId, now_ms: u64) {
    let Some(key) = world.jobs.find(&id) else {
        return keep_early_cancellation(world, id, now_ms);
    };
    let unix_ms = world.local.unix_ms;
    let Some(job) = world.jobs.get_mut(key) else { return };
    if job.state.is_final() {
        return;
    }
    job.state = JobState::Cancelled;
    job.ended_unix_ms = unix_ms;
    world.jobs.withdraw(key);
    world.jobs.unrecorded_jobs.insert(key);
    world.counters.jobs_ended += 1;
    world.log(LogRecord::new(EventId::JobEnded).with("job", id).with("state", "Cancelled"));
    stop_job_runs(world, key, now_ms);
}

/// Applies notices of stored and cancelled jobs that daemons sent to the holder.
pub fn apply_notices(world: &mut World, now_ms: u64) {
    let is_notice =
        |message: &PeerMessage| matches!(message, PeerMessage::JobStored(_) | PeerMessage::JobCancelled(_));
    let is_loading_jobs = world.holding.fence().is_some() && !world.holding.loading.jobs_loaded;
    if is_loading_jobs {
        // Notices stay in the inbox until the jobs that they may refer to have been read.
        return;
    }
    let notices = world.inbox.take_peer_messages(is_notice);
    if world.holding.fence().is_none() {
        return;
    }
    for (_, message) in notices {
        match message {
            PeerMessage::JobStored(record) => add_new_job(world, &record, now_ms),
            PeerMessage::JobCancelled(job) => apply_cancellation(world, job, now_ms),
            _ => {}
        }
    }
}
