//! Invariants of the scheduler, checked against what callers and hosts observed.

mod accounts;
mod config;
mod disruption;
mod holders;
mod jobs;
mod placement;
mod reachability;

use std::fmt;

use crate::trace::{Observation, Trace};
use crate::workload::GroundTruth;

/// A documented guarantee of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Invariant {
    /// The runs on a host never reserve more than its capacity.
    HostCapacity,
    /// A task never has two runs at a time.
    ///
    /// Nor does it start again after its completion was recorded.
    SingleRun,
    /// A step starts only after the steps that it depends on.
    StepOrder,
    /// Tasks start only on hosts that satisfy their constraints.
    ///
    /// These are the pool of the queue, the required label and the limit per host.
    PlacementConstraints,
    /// A task that has used up its attempts doesn't start again.
    AttemptLimit,
    /// A task that crashes its hosts is hardly started any more after three of them have crashed.
    CrashLimit,
    /// All members of a gang start together.
    GangStart,
    /// No task runs without a submitted job, and none starts long after its cancellation.
    RequestedRuns,
    /// A job whose every submission was refused never runs.
    RefusedJobs,
    /// An accepted job stays known and completes unless it is cancelled or can't.
    JobCompletion,
    /// A job is reported as completed only when all its steps are.
    ReportedState,
    /// The scheduler keeps within the disruption budgets of steps that run until cancelled.
    ///
    /// A budget is the number of tasks that it may interrupt at a time.
    DisruptionBudget,
    /// A draining host gets no new tasks.
    HostDrain,
    /// Calls are answered by the configuration in force.
    ///
    /// No daemon incarnation returns to an older version.
    ConfigInForce,
    /// Only one daemon at a time decides on orders to a host.
    ///
    /// Another one sends only start orders that this one gave it, each once.
    SingleHolder,
    /// An account never has more running than its cap.
    AccountCap,
    /// A daemon takes a host for unresponsive only if an order to it was not answered.
    HostReachability,
}

/// Condition under which a violation counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// A violation always counts.
    Always,
    /// A violation counts only if no fault was active then or shortly before.
    NoRecentFault,
}

/// An observed violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Invariant that the trace violates.
    pub invariant: Invariant,
    /// Condition under which it counts.
    pub scope: Scope,
    /// Time at which it was observed, in milliseconds.
    pub at_ms: u64,
    /// Names and numbers involved, for a reader.
    pub detail: String,
}

impl Violation {
    /// Creates a violation that always counts.
    #[must_use]
    pub fn new(invariant: Invariant, at_ms: u64, detail: String) -> Self {
        Self { invariant, scope: Scope::Always, at_ms, detail }
    }

    /// Makes the violation count only if no fault was active then or shortly before.
    #[must_use]
    pub fn only_without_recent_fault(self) -> Self {
        Self { scope: Scope::NoRecentFault, ..self }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {} ms: {}", self.invariant, self.at_ms, self.detail)
    }
}

/// Checks some of the invariants against observations in order of time.
trait InvariantCheck {
    /// Processes an observation and appends the violations that it shows.
    fn observe(
        &mut self,
        at_ms: u64,
        observation: &Observation,
        ground_truth: &GroundTruth,
        violations: &mut Vec<Violation>,
    );
}

/// Checks a whole trace and returns all violations, whatever their scope.
#[must_use]
pub fn find_violations(trace: &Trace, ground_truth: &GroundTruth, end_ms: u64) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut jobs = jobs::JobCheck::default();
    let mut placement = placement::PlacementCheck::default();
    let mut disruption = disruption::DisruptionCheck::default();
    let mut config = config::ConfigCheck::default();
    let mut holders = holders::HolderCheck::default();
    let mut reachability = reachability::ReachabilityCheck::default();
    let mut accounts = accounts::AccountCheck::default();
    for (at_ms, observation) in &trace.observations {
        jobs.observe(*at_ms, observation, ground_truth, &mut violations);
        placement.observe(*at_ms, observation, ground_truth, &mut violations);
        disruption.observe(*at_ms, observation, ground_truth, &mut violations);
        config.observe(*at_ms, observation, ground_truth, &mut violations);
        holders.observe(*at_ms, observation, ground_truth, &mut violations);
        reachability.observe(*at_ms, observation, ground_truth, &mut violations);
        accounts.observe(*at_ms, observation, ground_truth, &mut violations);
    }
    jobs.finish(end_ms, ground_truth, &mut violations);
    violations
}
