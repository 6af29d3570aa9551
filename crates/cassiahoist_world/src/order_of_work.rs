//! Ranks of ready steps: by priority, then by what the callers of their jobs still gain.

use crate::record::JobRecord;
use crate::spec::StepSpec;

/// Longest time for which a waiting step may be passed over by others of its priority, in milliseconds.
///
/// No step of a job that is added later is placed before it.
pub const MAX_PASSED_OVER_MS: u64 = 20_000;

/// Multiple of its target up to which a late job still counts.
const COUNTED_TARGETS: u64 = 3;

/// Part of the slack before its latest start that a step waits at most behind steps with less: one in so many.
///
/// The rest is for what no estimate shows: room for all tasks of a wide step, advice, failed runs.
const DUE_SLACK_DIVISOR: u64 = 2;

/// Share of its tasks that are the last ones of an occurrence: one in so many.
const LAST_TASKS_DIVISOR: u64 = 8;

/// What the caller of a job still gains by one of its steps, the most first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GainClass {
    /// The step was passed over for too long, or has the last tasks of a job that still counts.
    Pressing,
    /// The job can be in time, or counts and the step has begun.
    InTime,
    /// The job can't be in time but still counts.
    Late,
    /// The job no longer counts.
    Over,
}

/// Sort key of a step; the lowest is placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Priority of the queue; 0 is the most urgent.
    pub priority: u32,
    /// What the caller still gains.
    pub class: GainClass,
    /// Sort key among steps of one class, in monotonic milliseconds; 0 if arrival alone decides.
    pub start_by_ms: u64,
    /// When the job was added to the tables, or a later occurrence of it opened, in monotonic milliseconds.
    pub queued_at_ms: u64,
}

impl Rank {
    /// Returns the rank in the order of arrival.
    #[must_use]
    pub fn by_arrival(priority: u32, queued_at_ms: u64) -> Self {
        Self { priority, class: GainClass::InTime, start_by_ms: 0, queued_at_ms }
    }
}

/// Target of a job, and the expected run times that remain from each of its steps on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobTarget {
    /// Target completion time, in milliseconds from the acceptance.
    target_ms: u64,
    /// Longest chain of expected run times from each step on, its own included, in milliseconds.
    remaining_paths_ms: Vec<u64>,
    /// Whether tasks run until the job is cancelled.
    lasts: bool,
}

impl JobTarget {
    /// Computes the target from a job's record and the expected run time of each step's tasks, in milliseconds.
    #[must_use]
    pub fn of_job(record: &JobRecord, expected_run_ms: impl Fn(&StepSpec) -> u64) -> Self {
        let steps = &record.spec.steps;
        let mut followers_ms = vec![0_u64; steps.len()];
        let mut remaining_paths_ms = vec![0_u64; steps.len()];
        for (index, step) in steps.iter().enumerate().rev() {
            let path_ms = expected_run_ms(step).saturating_add(followers_ms[index]);
            remaining_paths_ms[index] = path_ms;
            for predecessor in &step.depends_on {
                if let Some(follower_ms) = followers_ms.get_mut(usize::from(*predecessor)) {
                    *follower_ms = (*follower_ms).max(path_ms);
                }
            }
        }
        let longest_path_ms = remaining_paths_ms.iter().copied().max().unwrap_or_default();
        // With a stretch below 1 no job could be in time, and the bound of waiting rests on it.
        let stretched_ms = (longest_path_ms as f64 * record.policy.stretch.max(1.0)) as u64;
        Self {
            target_ms: stretched_ms.saturating_add(record.policy.target_latency_ms),
            remaining_paths_ms,
            lasts: steps.iter().any(|step| step.runs_until_cancelled),
        }
    }

    /// Returns the target completion time, in milliseconds from the acceptance; `None` for a job that lasts.
    #[must_use]
    pub fn completion_ms(&self) -> Option<u64> {
        (!self.lasts).then_some(self.target_ms)
    }

    /// Returns by when a step has to start, of an occurrence that has waited for `age_ms` milliseconds so far.
    #[must_use]
    pub fn latest_start(&self, step: u16, age_ms: u64, now_ms: u64) -> LatestStart {
        let path_ms = self.remaining_paths_ms.get(usize::from(step)).copied().unwrap_or_default();
        let start_by_ms =
            |target_ms: u64| now_ms.saturating_add(target_ms).saturating_sub(age_ms).saturating_sub(path_ms);
        if self.lasts {
            let in_time_ms = now_ms.saturating_add(self.target_ms).saturating_sub(age_ms);
            return LatestStart { due_ms: in_time_ms, in_time_ms, counted_ms: None };
        }
        let slack_ms = self.target_ms.saturating_sub(path_ms);
        LatestStart {
            due_ms: now_ms.saturating_add(slack_ms / DUE_SLACK_DIVISOR).saturating_sub(age_ms),
            in_time_ms: start_by_ms(self.target_ms),
            counted_ms: Some(start_by_ms(self.target_ms.saturating_mul(COUNTED_TARGETS))),
        }
    }
}

/// By when a step has to start, in monotonic milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatestStart {
    /// Time by which steps that can be in time are ordered, before the latest start.
    pub due_ms: u64,
    /// Latest start for the job to be in time.
    pub in_time_ms: u64,
    /// Latest start for the job to count; `None` if it runs until cancelled and always counts.
    pub counted_ms: Option<u64>,
}

/// What the rank of a ready step depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankInputs {
    /// Priority of the queue.
    pub priority: u32,
    /// When the job was added, or its occurrence was opened, in monotonic milliseconds.
    pub queued_at_ms: u64,
    /// By when it has to start.
    pub latest_start: LatestStart,
    /// When it was passed over for too long, or will have been, in monotonic milliseconds.
    pub pressing_at_ms: u64,
    /// Whether some of its tasks have started.
    pub has_begun: bool,
    /// Whether its pending tasks are among the last of their occurrence.
    pub has_last_tasks: bool,
}

/// A rank, and when it changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankedStep {
    /// Present rank.
    pub rank: Rank,
    /// When the class changes, in monotonic milliseconds; `None` if time alone doesn't change it.
    pub changes_at_ms: Option<u64>,
}

/// Ranks a step by what the caller still gains.
#[must_use]
pub fn rank_by_target(inputs: &RankInputs, now_ms: u64) -> RankedStep {
    let RankInputs { priority, queued_at_ms, latest_start, pressing_at_ms, has_begun, has_last_tasks } =
        *inputs;
    let LatestStart { due_ms, in_time_ms, .. } = latest_start;
    let (gain, gain_start_by_ms, gain_ends_at_ms) = match latest_start.counted_ms {
        None => (GainClass::InTime, due_ms, None),
        Some(_) if now_ms <= in_time_ms => (GainClass::InTime, due_ms, Some(in_time_ms + 1)),
        // The caller would gain less by what has run of it if the rest came later still.
        Some(counted_ms) if has_begun && now_ms <= counted_ms => {
            (GainClass::InTime, due_ms, Some(counted_ms + 1))
        }
        Some(counted_ms) if now_ms <= counted_ms => (GainClass::Late, counted_ms, Some(counted_ms + 1)),
        Some(_) => (GainClass::Over, queued_at_ms, None),
    };
    let has_pressing_end = has_last_tasks && gain != GainClass::Over;
    let (class, start_by_ms) = if has_pressing_end {
        (GainClass::Pressing, due_ms.min(pressing_at_ms))
    } else if now_ms >= pressing_at_ms {
        (GainClass::Pressing, pressing_at_ms)
    } else {
        (gain, gain_start_by_ms)
    };
    let pressing_from_ms = (now_ms < pressing_at_ms).then_some(pressing_at_ms);
    RankedStep {
        rank: Rank { priority, class, start_by_ms, queued_at_ms },
        changes_at_ms: gain_ends_at_ms.into_iter().chain(pressing_from_ms).min(),
    }
}

/// Returns whether so few unfinished tasks are the last ones of an occurrence.
#[must_use]
pub fn are_last_tasks(unfinished_count: u64, task_count: u64) -> bool {
    unfinished_count * LAST_TASKS_DIVISOR <= task_count
}
