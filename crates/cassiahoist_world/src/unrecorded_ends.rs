//! Ends of a host's runs that the holder has applied and not recorded in the store.

use std::collections::VecDeque;

use rustc_hash::FxHashSet;

use crate::keys::JobKey;

/// An end that is not durable yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct UnrecordedEnd {
    number: u64,
    /// Job whose progress record will hold the end; `None` if the job is not in the tables.
    job: Option<JobKey>,
    /// Whether the flush in progress covers it.
    is_in_flush: bool,
}

/// Ends of one incarnation of a host that are not durable yet, in the order of their numbers.
///
/// A host drops its ends up to a number, so they are recorded in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnrecordedEnds {
    ends: VecDeque<UnrecordedEnd>,
}

impl UnrecordedEnds {
    /// Adds an end, whose number is greater than that of any other.
    pub fn push(&mut self, number: u64, job: Option<JobKey>) {
        self.ends.push_back(UnrecordedEnd { number, job, is_in_flush: false });
    }

    /// Returns whether all ends are recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Marks all present ends as covered by the flush that begins.
    pub fn begin_flush(&mut self) {
        for end in &mut self.ends {
            end.is_in_flush = true;
        }
    }

    /// Removes the ends that the flush has made durable, and returns the number of the last one, if any.
    ///
    /// They are those that it covers, up to the first one of a job in `failed_jobs`.
    pub fn finish_flush(&mut self, failed_jobs: &FxHashSet<JobKey>) -> Option<u64> {
        let mut last_number = None;
        while let Some(end) = self.ends.front().copied()
            && end.is_in_flush
            && end.job.is_none_or(|job| !failed_jobs.contains(&job))
        {
            self.ends.pop_front();
            last_number = Some(end.number);
        }
        for end in &mut self.ends {
            end.is_in_flush = false;
        }
        last_number
    }
}
