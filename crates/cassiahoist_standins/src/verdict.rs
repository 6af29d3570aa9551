//! The judge: callers' records against backend logs.

use std::collections::HashMap;

use cassiahoist_core::prelude::*;

use crate::backend_log::{BackendEvent, BackendLine};
use crate::caller::CallerRecord;

/// Counts of one run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Pieces of work that callers sent.
    pub sent: u64,
    /// Answers that were whole and the caller's own.
    pub answered: u64,
    /// Answers "not run".
    pub refused: u64,
    /// Answers "may have run", and failures that were told.
    pub other: u64,
    /// Pieces of work whose caller was told nothing, or something untrue.
    pub lost: u64,
    /// Non-idempotent work that ran more than once, or any task that ran in two places at once.
    pub doubled: u64,
    /// Hosts given more than they can hold.
    pub overfull: u64,
}

/// Counts what callers were told and checks it against what backend servers ran.
#[must_use]
pub fn judge_requests(records: &[CallerRecord], lines: &[BackendLine]) -> Tally {
    let starts = count_starts(lines);
    let mut tally = Tally { overfull: count_overfull(lines), ..Tally::default() };
    for record in records {
        tally.sent += 1;
        let runs = starts.get(record.identity.as_str()).copied().unwrap_or_default();
        match record.outcome {
            Some(Outcome::Answered) if record.own_answer && runs > 0 => tally.answered += 1,
            Some(Outcome::NotRun) if runs == 0 => tally.refused += 1,
            Some(Outcome::Unknown | Outcome::Failed | Outcome::Pending) => tally.other += 1,
            _ => tally.lost += 1,
        }
        if !record.idempotent && runs > 1 {
            tally.doubled += 1;
        }
    }
    tally
}

fn count_starts(lines: &[BackendLine]) -> HashMap<&str, u64> {
    let mut starts = HashMap::new();
    for line in lines.iter().filter(|line| line.event == BackendEvent::Started) {
        *starts.entry(line.work.as_str()).or_default() += 1;
    }
    starts
}

fn count_overfull(lines: &[BackendLine]) -> u64 {
    let overfull =
        |line: &&BackendLine| matches!(line.event, BackendEvent::Overfull | BackendEvent::TooManyConnections);
    lines.iter().filter(overfull).count() as u64
}

/// Counts tasks that ran in two places at once, whatever the attempt.
#[must_use]
pub fn count_overlapping_tasks(lines: &[BackendLine]) -> u64 {
    let mut running: HashMap<&str, i64> = HashMap::new();
    let mut doubled = 0;
    for line in lines {
        let Some((task, _attempt)) = line.work.rsplit_once('/') else {
            continue;
        };
        if !task.contains('/') || task.split('/').count() < 3 {
            continue;
        }
        let count = running.entry(task).or_default();
        match line.event {
            BackendEvent::Started => {
                *count += 1;
                if *count > 1 {
                    doubled += 1;
                }
            }
            BackendEvent::Ended => *count -= 1,
            _ => {}
        }
    }
    doubled
}
