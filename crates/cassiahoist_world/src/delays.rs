//! Parts of the time that jobs take, and what they were of late jobs.

use std::collections::BTreeMap;

use cassiahoist_core::prelude::*;

use crate::counters::Histogram;

/// Maximum number of queues that are told apart. Later ones share a row.
pub const MAX_QUEUES: usize = 32;

/// Part of the time from a job's acceptance to its recorded end.
///
/// Of each step counts the task that ended last, since the job waited for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DelayPart {
    /// From the acceptance to the holder's tables, by the daemons' wall clocks.
    HandIn,
    /// From the readiness of a step to the first advice for it.
    Advice,
    /// From then to the first start order of the task.
    Room,
    /// From there to the order of the run that was done: failed, lost and refused runs, and the waits between them.
    Retries,
    /// From that order to the knowledge that the run exists.
    Start,
    /// From then to the knowledge of the run's end.
    Run,
    /// From the job's last end to its record in the store.
    Record,
}

impl DelayPart {
    /// All parts, in the order of a job's way.
    pub const ALL: [Self; 7] =
        [Self::HandIn, Self::Advice, Self::Room, Self::Retries, Self::Start, Self::Run, Self::Record];

    /// Returns the part's name in log lines and metrics, with its unit.
    #[must_use]
    pub fn log_field(self) -> &'static str {
        match self {
            Self::HandIn => "hand_in_ms",
            Self::Advice => "advice_ms",
            Self::Room => "room_ms",
            Self::Retries => "retries_ms",
            Self::Start => "start_ms",
            Self::Run => "run_ms",
            Self::Record => "record_ms",
        }
    }
}

/// Time that a job spent in each part, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobDelays {
    parts_ms: [u64; DelayPart::ALL.len()],
}

impl JobDelays {
    /// Adds time to a part, in milliseconds.
    pub fn add(&mut self, part: DelayPart, time_ms: u64) {
        self.parts_ms[part as usize] += time_ms;
    }

    /// Returns the time spent in a part, in milliseconds.
    #[must_use]
    pub fn part_ms(&self, part: DelayPart) -> u64 {
        self.parts_ms[part as usize]
    }
}

/// How the task of a step that ended last came to its end. Times are monotonic, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastEnd {
    /// When the first run of the task was ordered.
    pub first_ordered_at_ms: u64,
    /// When the run that was done was ordered.
    pub ordered_at_ms: u64,
    /// When the run was known to exist.
    pub confirmed_at_ms: u64,
}

/// Parts of the time of late jobs, by queue.
#[derive(Clone, Debug, Default)]
pub struct DelayTable {
    by_queue: BTreeMap<QueueName, [Histogram; DelayPart::ALL.len()]>,
    others: [Histogram; DelayPart::ALL.len()],
    /// Number of late jobs recorded.
    pub late_count: u64,
}

impl DelayTable {
    /// Adds a late job.
    pub fn record(&mut self, queue: &QueueName, delays: &JobDelays) {
        self.late_count += 1;
        let is_known = self.by_queue.contains_key(queue);
        let histograms = if is_known || self.by_queue.len() < MAX_QUEUES {
            self.by_queue.entry(queue.clone()).or_default()
        } else {
            &mut self.others
        };
        for part in DelayPart::ALL {
            histograms[part as usize].record(delays.part_ms(part));
        }
    }

    /// Iterates over the queues with their histograms, in the order of [`DelayPart::ALL`].
    ///
    /// `None` stands for the queues that are not told apart.
    pub fn iter(&self) -> impl Iterator<Item = (Option<&QueueName>, &[Histogram; DelayPart::ALL.len()])> {
        self.by_queue.iter().map(|(queue, rows)| (Some(queue), rows)).chain([(None, &self.others)])
    }
}
