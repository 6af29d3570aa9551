//! Writes the progress of jobs to the store in batches, called flushes.
//!
//! The end of a run counts as recorded once its job is written, and the jobs of all earlier ends of its host. Only then may
//! the host drop the end from its list.

use cassiahoist_core::prelude::*;
use cassiahoist_membership::{SLICE, StepDownCause, step_down};
use cassiahoist_world::delays::DelayPart;
use cassiahoist_world::hosts::HostKey;
use cassiahoist_world::jobs::JobKey;
use cassiahoist_world::prelude::*;
use cassiahoist_world::store::{
    MAX_TRANSACTION_ENTRIES, StoreCompletion, StoreItem, StoreKey, StoreOp, StorePurpose, StoreReply,
    StoreValue, Transaction,
};
use cassiahoist_world::store_writes::{CommittedJob, Flush, OpenCommit};

use crate::job_rows::build_progress_record;

/// Interval between flushes in which ends of runs are collected, in milliseconds.
const FLUSH_INTERVAL_MS: u64 = 40;

/// Additional collection time while no job has become final, in milliseconds.
///
/// No caller waits for the record of a job that is not final.
const EXTRA_BATCH_DELAY_MS: u64 = 80;

/// The same while start orders fill the holder's link, in milliseconds.
///
/// Each flush writes the whole record of every job that changed, and each record in fewer writes leaves bytes for starts.
const FULL_LINK_BATCH_DELAY_MS: u64 = 210;

/// Delay before the next flush after a failed one, in milliseconds.
const FLUSH_RETRY_MS: u64 = 200;

/// Maximum number of jobs in one transaction.
///
/// Each job takes one condition and one write; one more condition is on the claim.
const JOBS_PER_COMMIT: usize = (MAX_TRANSACTION_ENTRIES - 1) / 2;

/// Starts a flush of changed jobs and unrecorded ends of runs.
///
/// Only one flush is in flight at a time.
pub fn record_progress(world: &mut World, now_ms: u64) {
    let Some(fence) = world.holding.fence() else { return };
    let has_unrecorded_changes = world.store_writes.ends_unrecorded || !world.jobs.unrecorded_jobs.is_empty();
    if !world.holding.is_holding() || world.store_writes.flush.is_some() || !has_unrecorded_changes {
        return;
    }
    let due_ms = world.store_writes.next_flush_at_ms + extra_batch_delay_ms(world);
    if now_ms < due_ms {
        return world.wake_by(due_ms);
    }
    world.store_writes.next_flush_at_ms = now_ms + FLUSH_INTERVAL_MS;
    world.store_writes.ends_unrecorded = false;
    world.store_writes.crashes_unrecorded = false;
    let unrecorded = world.hosts.iter_engaged().filter(|(_, host)| !host.unrecorded_ends.is_empty());
    let hosts: Vec<HostKey> = unrecorded.map(|(key, _)| key).collect();
    for key in &hosts {
        if let Some(host) = world.hosts.get_mut(*key) {
            host.unrecorded_ends.begin_flush();
        }
    }
    let mut flush = Flush { hosts, ..Flush::default() };
    let mut unrecorded_jobs: Vec<JobKey> = world.jobs.unrecorded_jobs.drain().collect();
    unrecorded_jobs.retain(|key| world.jobs.get(*key).is_some());
    for group in unrecorded_jobs.chunks(JOBS_PER_COMMIT) {
        flush.open_commits.push(send_commit(world, group, fence, now_ms));
    }
    if flush.open_commits.is_empty() {
        return finish_flush(world, flush, now_ms);
    }
    world.store_writes.flush = Some(flush);
}

fn extra_batch_delay_ms(world: &World) -> u64 {
    let is_urgent = world.store_writes.crashes_unrecorded || has_unrecorded_final_state(world);
    match (is_urgent, world.runs.start_budget.is_heavily_used()) {
        (true, _) => 0,
        (false, true) => FULL_LINK_BATCH_DELAY_MS,
        (false, false) => EXTRA_BATCH_DELAY_MS,
    }
}

/// Returns whether a changed job has a final state that is not recorded.
fn has_unrecorded_final_state(world: &World) -> bool {
    let jobs = world.jobs.unrecorded_jobs.iter().filter_map(|key| world.jobs.get(*key));
    jobs.into_iter().any(|job| job.state.is_final() && job.recorded_state != job.state)
}

fn send_commit(world: &mut World, group: &[JobKey], fence: Fence, now_ms: u64) -> OpenCommit {
    world.store_writes.last_commit_number += 1;
    let number = world.store_writes.last_commit_number;
    let mut commit = OpenCommit { number, jobs: Vec::with_capacity(group.len()) };
    let mut transaction = Transaction::default().with_expect(StoreKey::Claim(SLICE), fence.0);
    for key in group {
        let Some(job) = world.jobs.get(*key) else { continue };
        let store_key = StoreKey::Progress(job.record.id);
        let value = StoreValue::Progress(Box::new(build_progress_record(world, job)));
        transaction =
            transaction.with_expect(store_key.clone(), job.progress_revision).with_put(store_key, value);
        commit.jobs.push(CommittedJob { job: *key, state: job.state, crash_changes: job.crash_changes });
    }
    let timeout_ms = world.store_connection.call_timeout_ms();
    world.call_store(StorePurpose::RecordProgress(number), StoreOp::Commit(transaction), now_ms, timeout_ms);
    commit
}

/// Applies the store's answers to progress writes.
pub fn apply_progress_answers(world: &mut World, now_ms: u64) {
    for completion in
        world.inbox.take_store_results(|purpose| matches!(purpose, StorePurpose::RecordProgress(_)))
    {
        if let StorePurpose::RecordProgress(number) = completion.purpose {
            apply_progress_answer(world, number, completion, now_ms);
        }
    }
}

fn apply_progress_answer(world: &mut World, number: u64, completion: StoreCompletion, now_ms: u64) {
    let Some(mut flush) = world.store_writes.flush.take() else { return };
    let Some(commit_index) = flush.open_commits.iter().position(|commit| commit.number == number) else {
        world.store_writes.flush = Some(flush);
        return;
    };
    let commit = flush.open_commits.swap_remove(commit_index);
    match completion.outcome {
        Ok(StoreReply::Committed { revision }) => {
            world.store_writes.latest_revision = world.store_writes.latest_revision.max(revision);
            for committed in commit.jobs {
                if let Some(job) = world.jobs.get_mut(committed.job) {
                    job.recorded_state = committed.state;
                    job.recorded_crash_changes = committed.crash_changes;
                    job.progress_revision = revision;
                }
                if committed.state.is_final() {
                    record_late_job(world, committed.job, now_ms);
                    world.jobs.remove_steps(committed.job);
                }
            }
        }
        Ok(StoreReply::Conflict { items }) => {
            flush.failed_jobs.extend(commit.jobs.iter().map(|committed| committed.job));
            resolve_conflict(world, &commit, &items, now_ms);
        }
        Ok(_) | Err(_) => {
            let jobs = commit.jobs.iter().map(|committed| committed.job);
            flush.failed_jobs.extend(jobs.clone());
            world.jobs.unrecorded_jobs.extend(jobs);
        }
    }
    if flush.open_commits.is_empty() {
        finish_flush(world, flush, now_ms);
    } else if world.holding.loading.jobs_loaded {
        // A flush of tables that a step-down has cleared is dropped instead.
        world.store_writes.flush = Some(flush);
    }
}

/// Counts the parts of a late job's time, now that its end is recorded.
fn record_late_job(world: &mut World, key: JobKey, now_ms: u64) {
    let Some(job) = world.jobs.get_mut(key) else { return };
    let Some(completed_at_ms) = job.completed_late_at_ms.take() else { return };
    job.delays.add(DelayPart::Record, now_ms.saturating_sub(completed_at_ms));
    let (id, queue, delays) = (job.record.id, job.record.policy.queue.clone(), job.delays);
    world.delays.record(&queue, &delays);
    let log_record = LogRecord::new(EventId::JobLate).with("job", id).with("queue", queue);
    let with_part =
        |log_record: LogRecord, part: DelayPart| log_record.with(part.log_field(), delays.part_ms(part));
    world.log(DelayPart::ALL.into_iter().fold(log_record, with_part));
}

/// Steps down if the claim has changed; otherwise schedules the jobs to be rewritten.
///
/// With an unchanged claim the conflict comes from an earlier attempt of this write that took effect after all.
fn resolve_conflict(world: &mut World, commit: &OpenCommit, items: &[StoreItem], now_ms: u64) {
    let fence = world.holding.fence().unwrap_or_default();
    match items.iter().find(|item| item.key == StoreKey::Claim(SLICE)) {
        Some(claim) if claim.revision == fence.0 => {}
        Some(claim) => {
            return step_down(world, StepDownCause::Succeeded { by: Fence(claim.revision) }, now_ms);
        }
        None => {
            // The tables are kept after a lapse, and this daemon may hold the slice again.
            world.jobs.unrecorded_jobs.extend(commit.jobs.iter().map(|committed| committed.job));
            return step_down(world, StepDownCause::Lapsed, now_ms);
        }
    }
    for committed in &commit.jobs {
        let key = committed.job;
        let Some(job) = world.jobs.get_mut(key) else { continue };
        let store_key = StoreKey::Progress(job.record.id);
        let stored = items.iter().find(|item| item.key == store_key);
        job.progress_revision = stored.map_or(0, |item| item.revision);
        let log_record = LogRecord::new(EventId::ProgressConflict).with("job", job.record.id);
        let log_record = log_record.with("revision", job.progress_revision);
        world.log(log_record);
        world.jobs.unrecorded_jobs.insert(key);
    }
}

fn finish_flush(world: &mut World, flush: Flush, now_ms: u64) {
    if !flush.failed_jobs.is_empty() {
        world.store_writes.ends_unrecorded = true;
        world.store_writes.next_flush_at_ms = now_ms + FLUSH_RETRY_MS;
    }
    for key in flush.hosts {
        if let Some(host) = world.hosts.get_mut(key)
            && let Some(number) = host.unrecorded_ends.finish_flush(&flush.failed_jobs)
        {
            host.last_end_recorded = number;
            host.poll.next_ms = now_ms;
            host.poll.unrecorded_since_ms = None;
        }
    }
}
