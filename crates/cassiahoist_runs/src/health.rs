//! Quarantine of faulty hosts.
//!
//! It distinguishes a host that fails every task from a task that fails on every host.

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::HostKey;
use cassiahoist_world::jobs::TaskKey;
use cassiahoist_world::prelude::*;

/// Quarantine after a single failure, in milliseconds.
///
/// It is long enough for the task's next run to show whether the host or the task is at fault.
const SUSPECT_QUARANTINE_MS: u64 = 1_500;

/// First quarantine after consecutive failures of different jobs, in milliseconds.
///
/// Each further one is twice as long, up to [`MAX_QUARANTINE_MS`].
const FIRST_QUARANTINE_MS: u64 = 3_000;

/// Longest quarantine, in milliseconds.
const MAX_QUARANTINE_MS: u64 = 12_000;

/// Attribution of a failure to the host or the task; written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    /// The task is at fault. It failed on another host before, or it runs until cancelled.
    Task,
    /// The host may be at fault.
    Suspect,
    /// The host is at fault, since tasks of different jobs fail on it.
    Quarantine,
}

/// Resets a host's failures and ends its quarantine after it completed a task.
pub(crate) fn record_success(world: &mut World, host: HostKey, now_ms: u64) {
    if let Some(host) = world.hosts.get_mut(host) {
        host.standing.failures = 0;
        host.standing.failed_job = None;
        host.standing.quarantines = 0;
        host.standing.quarantined_until_ms = 0;
        host.standing.last_done_at_ms = now_ms;
    }
}

/// Counts a failure on a host, quarantining it unless the task is at fault.
///
/// A failure is a failed or stalled run, or a start that the host refused since it is unwell.
pub(crate) fn record_failure(world: &mut World, host_key: HostKey, task_key: TaskKey, now_ms: u64) {
    let Some((task, step, spec)) = world.jobs.task_context(task_key) else { return };
    let failed_elsewhere = task.failed_hosts.iter().any(|other| *other != host_key);
    let (job, runs_until_cancelled) = (step.job, spec.runs_until_cancelled);
    let Some(host) = world.hosts.get_mut(host_key) else { return };
    let standing = &mut host.standing;
    let different_job = standing.failed_job.is_some_and(|failed| failed != job);
    standing.failures += 1;
    standing.failed_job = Some(job);
    let verdict = if standing.failures >= 2 && different_job {
        Verdict::Quarantine
    } else if failed_elsewhere || runs_until_cancelled {
        Verdict::Task
    } else {
        Verdict::Suspect
    };
    let quarantine_ms = match verdict {
        Verdict::Task => return,
        Verdict::Suspect => SUSPECT_QUARANTINE_MS,
        Verdict::Quarantine => {
            standing.quarantines += 1;
            (FIRST_QUARANTINE_MS << (standing.quarantines - 1).min(4)).min(MAX_QUARANTINE_MS)
        }
    };
    standing.quarantined_until_ms = standing.quarantined_until_ms.max(now_ms + quarantine_ms);
    let (name, failures) = (host.entry.name.clone(), host.standing.failures);
    let log_record = LogRecord::new(EventId::HostQuarantined).with("host", name).with("failures", failures);
    world.log(log_record.with("verdict", format!("{verdict:?}")).with("for_ms", quarantine_ms));
    world.wake_by(now_ms + quarantine_ms);
}
