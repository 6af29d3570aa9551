//! Stand-in host, which runs tasks under a lease.
//!
//! It refuses lower fencing tokens and lists its present and ended runs.

use std::collections::BTreeMap;

use cassiahoist_core::prelude::*;
use rustc_hash::FxHashMap;
use serde_json::{Value, json};

use crate::store::CallOutcome;
use crate::trace::{Observation, Trace};
use crate::workload::{ActualTask, GroundTruth};

/// Longest lease that a host accepts, in milliseconds.
pub const MAX_LEASE_MS: u64 = 6_000;

/// Delay between an order to stop a run and its end, in milliseconds.
const STOP_DELAY_MS: u64 = 100;

/// Longest time that a gang member waits for the others to start, in milliseconds.
const GANG_START_TIMEOUT_MS: u64 = 3_000;

/// Greatest number of ended runs in one reply.
const MAX_ENDS_LISTED: usize = 500;

/// Time from the start of a task that crashes its hosts to the end of the host's process, in milliseconds.
const CRASH_DELAY_MS: u64 = 10;

/// Time after which a host that shrank gets no starts beyond its capacity, in milliseconds.
///
/// It is the time in which the platform counts as settled, and a heartbeat.
const RESIZE_GRACE_MS: u64 = 4_500;

/// How a host misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HostHealth {
    /// The host works as specified.
    #[default]
    Healthy,
    /// Every run fails shortly after its start.
    FailsRuns,
    /// Runs make no progress.
    StallsRuns,
    /// Orders to start a run are refused with status 503.
    RefusesStarts,
}

#[derive(Clone, Debug)]
struct Run {
    number: u64,
    started_ms: u64,
    /// Work restored from the checkpoint of an earlier run, in milliseconds.
    resumed_work_ms: u64,
    worked_ms: u64,
    actual: ActualTask,
    stop_at_ms: Option<u64>,
    reserved: Resources,
}

/// A host in its current incarnation.
#[derive(Clone, Debug)]
pub struct StandInHost {
    /// Name under which the host is registered.
    pub name: HostName,
    /// Resources available to runs.
    pub capacity: Resources,
    /// Rack, listed among the host's labels.
    pub rack: String,
    /// Start of this incarnation, in milliseconds since the epoch.
    pub started_unix_ms: u64,
    /// Injected misbehaviour; ends when set anew or when the host restarts.
    pub health: HostHealth,
    incarnation_started_ms: u64,
    fence: u64,
    lease_until_ms: u64,
    runs: BTreeMap<String, Run>,
    /// Ends that no poll has confirmed as recorded: number, task, run number, ending, checkpoint.
    ends: Vec<(u64, String, u64, &'static str, String)>,
    last_end: u64,
    /// Greatest run number that has ended or was ordered to stop here, by task.
    ///
    /// A start with that number or a lower one is refused.
    greatest_ended_runs: FxHashMap<String, u64>,
    last_advance_ms: u64,
    /// Capacity before the latest change, and the time of that change in milliseconds.
    earlier_capacity: (Resources, u64),
}

impl StandInHost {
    /// Creates a host whose incarnation starts now, without runs, lease or fencing token.
    #[must_use]
    pub fn new(name: HostName, capacity: Resources, rack: &str, unix_ms: u64, now_ms: u64) -> Self {
        Self {
            name,
            capacity,
            rack: rack.into(),
            started_unix_ms: unix_ms,
            health: HostHealth::Healthy,
            incarnation_started_ms: now_ms,
            fence: 0,
            lease_until_ms: 0,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            greatest_ended_runs: FxHashMap::default(),
            last_advance_ms: now_ms,
            earlier_capacity: (capacity, 0),
        }
    }

    /// Returns whether a run ends the host's process now.
    #[must_use]
    pub fn is_crashing(&self, now_ms: u64) -> bool {
        self.runs.values().any(|run| run.actual.crashes_hosts && now_ms >= run.started_ms + CRASH_DELAY_MS)
    }

    /// Ends all runs, since the process has ended. Each is recorded as ended by `crash`.
    pub fn crash(&mut self, now_ms: u64, trace: &mut Trace) {
        for (task, run) in std::mem::take(&mut self.runs) {
            trace.record(
                now_ms,
                Observation::RunEnded { task, run: run.number, host: self.name.clone(), ending: "crash" },
            );
        }
    }

    /// Changes the host's capacity while it runs.
    pub fn resize(&mut self, capacity: Resources, now_ms: u64) {
        self.earlier_capacity = (self.capacity, now_ms);
        self.capacity = capacity;
    }

    /// Returns the capacity that the runs must not exceed at a time.
    ///
    /// A scheduler learns of less capacity some time after it shrank.
    fn allowed_capacity(&self, now_ms: u64) -> Resources {
        let (earlier, changed_ms) = self.earlier_capacity;
        if now_ms < changed_ms + RESIZE_GRACE_MS {
            self.capacity.component_max(&earlier)
        } else {
            self.capacity
        }
    }

    /// Restarts the host with a new incarnation.
    ///
    /// It loses all runs, the lease, the fencing token and any misbehaviour. Each lost run is recorded as
    /// ended by `crash`.
    pub fn restart(&mut self, unix_ms: u64, now_ms: u64, trace: &mut Trace) {
        self.crash(now_ms, trace);
        *self = Self::new(self.name.clone(), self.capacity, &self.rack, unix_ms, now_ms);
    }

    fn clock_ms(&self, now_ms: u64) -> u64 {
        now_ms - self.incarnation_started_ms
    }

    /// Sums the resources reserved by the present runs.
    #[must_use]
    pub fn total_reserved(&self) -> Resources {
        self.runs.values().fold(Resources::default(), |sum, run| sum.saturating_add(&run.reserved))
    }

    /// Advances runs to a time and ends those that are over.
    ///
    /// A run is over once it is done, failed, stopped or out of lease. `is_gang_complete` returns whether all
    /// members of a gang's run have started.
    pub fn advance(&mut self, now_ms: u64, is_gang_complete: &dyn Fn(&str, u64) -> bool, trace: &mut Trace) {
        let elapsed_ms = now_ms - self.last_advance_ms;
        self.last_advance_ms = now_ms;
        let lease_expired = !self.runs.is_empty() && self.clock_ms(now_ms) >= self.lease_until_ms;
        let mut ended_runs: Vec<(String, &'static str)> = Vec::new();
        for (task, run) in &mut self.runs {
            let waits_for_gang = run.actual.gang && !is_gang_complete(task, run.number);
            let ending = if lease_expired {
                Some("lapsed")
            } else if run.stop_at_ms.is_some_and(|at_ms| now_ms >= at_ms) {
                Some("stopped")
            } else if waits_for_gang && now_ms >= run.started_ms + GANG_START_TIMEOUT_MS {
                Some("alone")
            } else if waits_for_gang || self.health == HostHealth::StallsRuns {
                None
            } else {
                run.worked_ms += elapsed_ms;
                run.ending_if_over(self.health)
            };
            if let Some(ending) = ending {
                ended_runs.push((task.clone(), ending));
            }
        }
        for (task, ending) in ended_runs {
            self.end(&task, ending, now_ms, trace);
        }
    }

    /// Ends a gang's run here because a member has ended elsewhere.
    pub fn break_gang(&mut self, step: &str, number: u64, now_ms: u64, trace: &mut Trace) {
        let members: Vec<String> = self
            .runs
            .iter()
            .filter(|(task, run)| {
                run.number == number && task.rsplit_once('.').is_some_and(|(task_step, _)| task_step == step)
            })
            .map(|(task, _)| task.clone())
            .collect();
        for task in members {
            self.end(&task, "broken", now_ms, trace);
        }
    }

    /// Lists the running gang members as step name and run number.
    pub fn gang_members(&self) -> impl Iterator<Item = (&str, u64)> {
        self.runs
            .iter()
            .filter(|(_, run)| run.actual.gang)
            .filter_map(|(task, run)| task.rsplit_once('.').map(|(step, _)| (step, run.number)))
    }

    fn end(&mut self, task: &str, ending: &'static str, now_ms: u64, trace: &mut Trace) {
        let Some(run) = self.runs.remove(task) else { return };
        self.record_ended_run(task, run.number);
        self.last_end += 1;
        let checkpoint = run.checkpoint();
        self.ends.push((self.last_end, task.into(), run.number, ending, checkpoint));
        trace.record(
            now_ms,
            Observation::RunEnded { task: task.into(), run: run.number, host: self.name.clone(), ending },
        );
    }

    fn record_ended_run(&mut self, task: &str, number: u64) {
        let greatest = self.greatest_ended_runs.entry(task.into()).or_default();
        *greatest = (*greatest).max(number);
    }

    /// Returns whether orders under a fencing token are accepted.
    ///
    /// They are unless this incarnation has received a greater token.
    #[must_use]
    pub fn accepts_fence(&self, fence: u64) -> bool {
        fence >= self.fence
    }

    /// Answers an order that arrived at `arrived_ms`.
    ///
    /// Returns `Pending` for a poll that waits for the next ended run. The caller repeats it later
    /// with the same `arrived_ms`.
    pub fn call(
        &mut self,
        path: &str,
        body: &[u8],
        arrived_ms: u64,
        now_ms: u64,
        ground_truth: &GroundTruth,
        trace: &mut Trace,
    ) -> CallOutcome {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let clock_ms = self.clock_ms(now_ms);
        let refuse = |reason: &str| CallOutcome::Reply(409, json!({ "clockMs": clock_ms, "reason": reason }));
        let fence = body["fence"].as_u64().unwrap_or_default();
        if !self.accepts_fence(fence) {
            return refuse("fence");
        }
        self.fence = fence;
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let number = body["runId"].as_u64().unwrap_or_default();
        match path {
            "/-/run-start" => {
                if let Some(until_ms) = body["untilMs"].as_u64() {
                    self.extend_lease(until_ms, clock_ms);
                    if until_ms <= clock_ms {
                        return refuse("late");
                    }
                }
                if self.health == HostHealth::RefusesStarts {
                    return CallOutcome::Reply(503, json!({ "clockMs": clock_ms }));
                }
                self.start(&task, number, &body, now_ms, ground_truth, trace)
            }
            "/-/run-stop" => {
                self.record_ended_run(&task, number);
                if let Some(run) = self.runs.get_mut(&task)
                    && run.number <= number
                {
                    run.stop_at_ms.get_or_insert(now_ms + STOP_DELAY_MS);
                }
                CallOutcome::Reply(200, json!({ "clockMs": clock_ms }))
            }
            "/-/hold" => {
                if let Some(until_ms) = body["untilMs"].as_u64() {
                    self.extend_lease(until_ms, clock_ms);
                }
                if now_ms == arrived_ms {
                    let recorded_up_to = body["lastSeen"].as_u64().unwrap_or_default();
                    self.ends.retain(|(end, ..)| *end > recorded_up_to);
                    trace.record(
                        now_ms,
                        Observation::EndsRecorded {
                            host: self.name.clone(),
                            host_started_unix_ms: self.started_unix_ms,
                            recorded_up_to,
                        },
                    );
                }
                let wait_ms = body["waitMs"].as_u64().unwrap_or_default();
                if self.ends.is_empty() && now_ms < arrived_ms + wait_ms {
                    return CallOutcome::Pending;
                }
                CallOutcome::Reply(200, self.poll_reply(clock_ms))
            }
            "/-/pace" => CallOutcome::Reply(200, json!({ "clockMs": clock_ms })),
            _ => CallOutcome::Reply(400, json!({ "clockMs": clock_ms })),
        }
    }

    /// Returns whether a waiting poll under a fencing token would be answered now.
    #[must_use]
    pub fn would_answer_poll(&self, fence: u64) -> bool {
        !self.ends.is_empty() || !self.accepts_fence(fence)
    }

    fn extend_lease(&mut self, until_ms: u64, clock_ms: u64) {
        self.lease_until_ms = self.lease_until_ms.max(until_ms.min(clock_ms + MAX_LEASE_MS));
    }

    fn poll_reply(&self, clock_ms: u64) -> Value {
        let running: Vec<Value> = self
            .runs
            .iter()
            .map(|(task, run)| json!([task, run.number, run.checkpoint(), run.percent(), 10]))
            .collect();
        let ended: Vec<Value> = self
            .ends
            .iter()
            .take(MAX_ENDS_LISTED)
            .map(|(end, task, number, ending, checkpoint)| json!([end, task, number, ending, checkpoint]))
            .collect();
        json!({ "clockMs": clock_ms, "born": self.started_unix_ms, "running": running, "endedRuns": ended })
    }

    fn start(
        &mut self,
        task: &str,
        number: u64,
        body: &Value,
        now_ms: u64,
        ground_truth: &GroundTruth,
        trace: &mut Trace,
    ) -> CallOutcome {
        let clock_ms = self.clock_ms(now_ms);
        let answer = |status: u16, reason: &str| {
            CallOutcome::Reply(status, json!({ "clockMs": clock_ms, "reason": reason }))
        };
        if self.runs.get(task).is_some_and(|run| run.number == number) {
            return answer(200, "");
        }
        let current_number = self.runs.get(task).map_or(0, |run| run.number);
        if number <= self.greatest_ended_runs.get(task).copied().unwrap_or_default().max(current_number) {
            return answer(409, "old");
        }
        let Some(actual_task) = ground_truth.find_task(task) else { return answer(400, "") };
        let checkpointed_ms =
            body["lastCheckpoint"].as_str().and_then(|text| text.parse().ok()).unwrap_or_default();
        self.runs.insert(
            task.into(),
            Run {
                number,
                started_ms: now_ms,
                resumed_work_ms: checkpointed_ms,
                worked_ms: 0,
                reserved: actual_task.size,
                actual: actual_task,
                stop_at_ms: None,
            },
        );
        trace.record(
            now_ms,
            Observation::RunStarted {
                task: task.into(),
                run: number,
                host: self.name.clone(),
                host_started_unix_ms: self.started_unix_ms,
                total_reserved: self.total_reserved(),
                capacity: self.allowed_capacity(now_ms),
            },
        );
        answer(200, "")
    }
}

impl Run {
    fn ending_if_over(&self, health: HostHealth) -> Option<&'static str> {
        /// Time after which runs fail on a host that fails them, in milliseconds.
        const FAILS_AFTER_MS: u64 = 150;
        if health == HostHealth::FailsRuns && self.worked_ms >= FAILS_AFTER_MS {
            return Some("failed");
        }
        if self.actual.fails && self.worked_ms * 2 >= self.actual.work_ms {
            return Some("failed");
        }
        let done =
            !self.actual.runs_until_cancelled && self.resumed_work_ms + self.worked_ms >= self.actual.work_ms;
        done.then_some("done")
    }

    fn percent(&self) -> u64 {
        if self.actual.runs_until_cancelled {
            100
        } else {
            (self.resumed_work_ms + self.worked_ms) * 100 / self.actual.work_ms.max(1)
        }
    }

    fn checkpoint(&self) -> String {
        if self.actual.checkpoints {
            (self.resumed_work_ms + self.worked_ms).to_string()
        } else {
            String::new()
        }
    }
}
