//! Removes cancellations of jobs that were never stored.
//!
//! They keep open attempts from storing the jobs, and are of no use once all of these have ended.

use cassiahoist_core::prelude::*;
use cassiahoist_membership::SLICE;
use cassiahoist_world::prelude::*;
use cassiahoist_world::store::{
    MAX_TRANSACTION_ENTRIES, StoreKey, StoreOp, StorePurpose, StoreReply, Transaction,
};

use crate::job_removal::{
    JOB_REMOVAL_INTERVAL_MS, REMAINING_JOBS_INTERVAL_MS, REMOVAL_TIMEOUT_MS, RETENTION_MARGIN_MS,
};

/// Maximum number of cancellations that wait for their removal. Those beyond it are left to the next holder.
const MAX_UNSTORED_CANCELLATIONS: usize = 65_536;

/// Entries of a removal for each cancellation: the condition that its job is not stored, and the removal itself.
const ENTRIES_PER_CANCELLATION: usize = 2;

/// Maximum number of cancellations in one removal. One more entry of the transaction is the condition on the claim.
const CANCELLATIONS_PER_REMOVAL: usize = (MAX_TRANSACTION_ENTRIES - 1) / ENTRIES_PER_CANCELLATION;

/// Notes a cancellation in the store whose job is not in the tables, so that it is removed later.
pub(crate) fn note_unstored_cancellation(world: &mut World, id: JobId, now_ms: u64) {
    if world.jobs.unstored_cancellations.len() < MAX_UNSTORED_CANCELLATIONS {
        world.jobs.unstored_cancellations.entry(id).or_insert(now_ms);
    }
}

/// Removes cancellations whose jobs have not been stored for as long as the state of a job is kept.
///
/// The cancellation of a stored job is removed together with the job.
pub fn remove_unstored_cancellations(world: &mut World, now_ms: u64) {
    apply_removal_answers(world);
    let Some(fence) = world.holding.fence() else { return };
    if !world.holding.is_holding() || !world.store_writes.cancellations_in_removal.is_empty() {
        return;
    }
    if now_ms < world.store_writes.next_cancellation_removal_at_ms {
        return;
    }
    world.store_writes.next_cancellation_removal_at_ms = now_ms + JOB_REMOVAL_INTERVAL_MS;
    let World { jobs, local, .. } = world;
    let mut noted = std::mem::take(&mut jobs.unstored_cancellations);
    noted.retain(|id, _| jobs.find(id).is_none());
    let retention_ms = local.bounds.status_ms + RETENTION_MARGIN_MS;
    let is_due = |(id, at_ms): (&JobId, &u64)| (now_ms >= at_ms + retention_ms).then_some(*id);
    let due: Vec<JobId> = noted.iter().filter_map(is_due).take(CANCELLATIONS_PER_REMOVAL).collect();
    jobs.unstored_cancellations = noted;
    if due.len() == CANCELLATIONS_PER_REMOVAL {
        world.store_writes.next_cancellation_removal_at_ms = now_ms + REMAINING_JOBS_INTERVAL_MS;
    }
    if due.is_empty() {
        return;
    }
    let mut transaction = Transaction::default().with_expect(StoreKey::Claim(SLICE), fence.0);
    for id in &due {
        transaction = transaction.with_expect(StoreKey::Job(*id), 0).with_delete(StoreKey::Cancel(*id));
    }
    world.store_writes.cancellations_in_removal = due;
    let op = StoreOp::Commit(transaction);
    world.call_store(StorePurpose::RemoveCancellations, op, now_ms, REMOVAL_TIMEOUT_MS);
}

fn apply_removal_answers(world: &mut World) {
    for completion in world.inbox.take_store_results(|purpose| *purpose == StorePurpose::RemoveCancellations)
    {
        let in_removal = std::mem::take(&mut world.store_writes.cancellations_in_removal);
        if !world.holding.is_since_claim(completion.issued_at_ms) {
            continue;
        }
        let forgotten = match completion.outcome {
            Ok(StoreReply::Committed { .. }) => in_removal,
            // These jobs were stored before they were cancelled.
            Ok(StoreReply::Conflict { items }) => {
                let is_stored = |id: &JobId| items.iter().any(|item| item.key == StoreKey::Job(*id));
                in_removal.into_iter().filter(is_stored).collect()
            }
            Ok(_) | Err(_) => Vec::new(),
        };
        for id in forgotten {
            world.jobs.unstored_cancellations.remove(&id);
        }
    }
}
