//! Removes jobs whose state no longer has to be kept for callers.

use cassiahoist_core::prelude::*;
use cassiahoist_membership::SLICE;
use cassiahoist_world::jobs::JobKey;
use cassiahoist_world::prelude::*;
use cassiahoist_world::store::{
    MAX_TRANSACTION_ENTRIES, StoreKey, StoreOp, StorePurpose, StoreReply, Transaction,
};

/// Interval between searches for expired jobs, in milliseconds. Each goes over all jobs.
pub(crate) const JOB_REMOVAL_INTERVAL_MS: u64 = 5_000;

/// Interval between removals while one transaction does not hold all expired jobs, in milliseconds.
pub(crate) const REMAINING_JOBS_INTERVAL_MS: u64 = 500;

/// Time beyond `bounds.status_ms` for which a job's state is kept, in milliseconds.
///
/// `bounds.status_ms` is the time promised to callers.
pub(crate) const RETENTION_MARGIN_MS: u64 = 30_000;

/// Timeout of a removal, in milliseconds.
pub(crate) const REMOVAL_TIMEOUT_MS: u64 = 1_000;

/// Store keys of each job: record, cancellation and progress.
const KEYS_PER_JOB: usize = 3;

/// Maximum number of jobs in one removal. One more entry of the transaction is the condition on the claim.
const JOBS_PER_REMOVAL: usize = (MAX_TRANSACTION_ENTRIES - 1) / KEYS_PER_JOB;

/// Removes expired jobs from the store, and then from the tables.
///
/// A job has expired if its final state is recorded and it ended longer ago than `bounds.status_ms` and
/// [`RETENTION_MARGIN_MS`] together.
pub fn remove_old_jobs(world: &mut World, now_ms: u64) {
    for completion in world.inbox.take_store_results(|purpose| *purpose == StorePurpose::RemoveJobs) {
        let jobs_in_removal = std::mem::take(&mut world.store_writes.jobs_in_removal);
        let is_present = world.holding.is_since_claim(completion.issued_at_ms);
        if is_present && matches!(completion.outcome, Ok(StoreReply::Committed { .. })) {
            for key in jobs_in_removal {
                world.jobs.remove(key);
            }
        }
    }
    let Some(fence) = world.holding.fence() else { return };
    if !world.holding.is_holding() || !world.store_writes.jobs_in_removal.is_empty() {
        return;
    }
    if now_ms < world.store_writes.next_job_removal_at_ms {
        return;
    }
    world.store_writes.next_job_removal_at_ms = now_ms + JOB_REMOVAL_INTERVAL_MS;
    let expired_before_unix_ms =
        world.local.unix_ms.saturating_sub(world.local.bounds.status_ms + RETENTION_MARGIN_MS);
    let expired: Vec<JobKey> = world
        .jobs
        .iter()
        .filter(|(_, job)| job.state.is_final() && job.recorded_state == job.state)
        .filter(|(_, job)| job.ended_unix_ms < expired_before_unix_ms)
        .map(|(key, _)| key)
        .take(JOBS_PER_REMOVAL)
        .collect();
    if expired.len() == JOBS_PER_REMOVAL {
        world.store_writes.next_job_removal_at_ms = now_ms + REMAINING_JOBS_INTERVAL_MS;
    }
    if expired.is_empty() {
        return;
    }
    let mut transaction = Transaction::default().with_expect(StoreKey::Claim(SLICE), fence.0);
    for key in &expired {
        let Some(job) = world.jobs.get(*key) else { continue };
        let id: JobId = job.record.id;
        transaction = transaction
            .with_delete(StoreKey::Job(id))
            .with_delete(StoreKey::Cancel(id))
            .with_delete(StoreKey::Progress(id));
    }
    world.store_writes.jobs_in_removal = expired;
    world.call_store(StorePurpose::RemoveJobs, StoreOp::Commit(transaction), now_ms, REMOVAL_TIMEOUT_MS);
}
