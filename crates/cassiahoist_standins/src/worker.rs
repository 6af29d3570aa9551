//! A stand-in for a worker.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::{HostReport, HostRole};
use cassiahoist_world::runs::TaskOrder;
use cassiahoist_world::worker::{FinishedTask, RunningTask, TaskExit, WorkerCommandBody, WorkerReport};
use hyper::Method;

use crate::backend_log::{BackendEvent, BackendLog, unix_us};
use crate::fault::{FaultSwitch, Play};
use crate::http::{Handler, WholeRequest, WholeResponse, reply};

/// Run time of a task whose argument names none, in milliseconds.
const DEFAULT_RUN_MS: u64 = 500;

#[derive(Debug)]
struct RunningRow {
    order: TaskOrder,
    since: Instant,
    ends: Instant,
}

#[derive(Debug, Default)]
struct WorkerState {
    term: u64,
    running: BTreeMap<TaskName, RunningRow>,
    finished: BTreeMap<TaskName, FinishedTask>,
    lease_ends: Option<Instant>,
}

/// A worker with processors, memory and accelerators.
#[derive(Debug)]
pub struct WorkerStandIn {
    report: HostReport,
    capacity: Resources,
    boot: u64,
    state: Mutex<WorkerState>,
    log: BackendLog,
    faults: FaultSwitch,
}

impl WorkerStandIn {
    /// Creates a worker; nothing if the report is of another role.
    #[must_use]
    pub fn new(report: HostReport, log: BackendLog) -> Option<Self> {
        let HostRole::Worker { capacity } = report.role else {
            return None;
        };
        Some(Self {
            report,
            capacity,
            boot: unix_us(),
            state: Mutex::default(),
            log,
            faults: FaultSwitch::default(),
        })
    }

    /// Ends tasks that are done and all tasks once the lease lapsed; to be called often.
    pub fn advance(&self, now: Instant) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let lapsed = state.lease_ends.is_some_and(|ends| now >= ends);
        let over: Vec<(TaskName, TaskExit)> = state
            .running
            .iter()
            .filter_map(|(name, row)| {
                if row.ends <= now {
                    Some((name.clone(), self.exit_of(&row.order)))
                } else {
                    lapsed.then(|| (name.clone(), TaskExit::Lapsed))
                }
            })
            .collect();
        for (name, exit) in over {
            self.end(&mut state, &name, exit, now);
        }
    }

    fn exit_of(&self, order: &TaskOrder) -> TaskExit {
        if self.faults.get().fail_all || argument(order, "exit") == Some("failed") {
            TaskExit::Failed
        } else {
            TaskExit::Succeeded
        }
    }

    fn end(&self, state: &mut WorkerState, name: &TaskName, exit: TaskExit, now: Instant) {
        let Some(row) = state.running.remove(name) else {
            return;
        };
        let ran_ms = now.duration_since(row.since).as_millis() as u64;
        self.log.write(&self.report.name, BackendEvent::Ended, &name.to_string(), &format!("{exit:?}"));
        state.finished.insert(name.clone(), FinishedTask { task: name.clone(), exit, ran_ms });
    }

    fn sync(&self, command: WorkerCommandBody, now: Instant) -> WorkerReport {
        self.advance(now);
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if command.term < state.term {
            self.log.write(&self.report.name, BackendEvent::LowTerm, "", &command.term.to_string());
            return self.report_of(&state, now);
        }
        state.term = command.term;
        state.lease_ends = Some(now + Duration::from_millis(command.lease_ms));
        for name in &command.forget {
            state.finished.remove(name);
        }
        for name in &command.stop {
            self.end(&mut state, name, TaskExit::Stopped, now);
        }
        for order in command.start {
            self.start(&mut state, order, now);
        }
        self.report_of(&state, now)
    }

    fn start(&self, state: &mut WorkerState, order: TaskOrder, now: Instant) {
        if state.running.contains_key(&order.task) || state.finished.contains_key(&order.task) {
            return;
        }
        let name = order.task.to_string();
        let used = state.running.values().fold(Resources::default(), |sum, row| sum.plus(&row.order.size));
        if !order.size.fits_within(&self.capacity.minus(&used)) {
            self.log.write(&self.report.name, BackendEvent::Overfull, &name, "");
        }
        self.log.write(&self.report.name, BackendEvent::Started, &name, "");
        let run_ms = argument(&order, "run_ms").and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_RUN_MS);
        let ends = now + Duration::from_millis(run_ms);
        state.running.insert(order.task.clone(), RunningRow { order, since: now, ends });
    }

    fn report_of(&self, state: &WorkerState, now: Instant) -> WorkerReport {
        let running = state.running.values().map(|row| RunningTask {
            order: row.order.clone(),
            ran_ms: now.duration_since(row.since).as_millis() as u64,
            used: row.order.size,
        });
        WorkerReport {
            term: state.term,
            boot: self.boot,
            leaving: self.faults.get().leaving,
            running: running.collect(),
            finished: state.finished.values().cloned().collect(),
        }
    }
}

/// Finds `name=value` in a task's argument.
fn argument<'o>(order: &'o TaskOrder, name: &str) -> Option<&'o str> {
    order.argument.split(',').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

impl Handler for std::sync::Arc<WorkerStandIn> {
    async fn handle(&self, request: WholeRequest) -> Option<WholeResponse> {
        if *request.method() == Method::POST && request.uri().path() == "/fault" {
            self.faults.set(serde_json::from_slice(request.body()).ok()?);
            return Some(reply(200, ""));
        }
        let play = self.faults.play().await;
        if play == Play::Refuse {
            return None;
        }
        let command: WorkerCommandBody = serde_json::from_slice(request.body()).ok()?;
        let report = self.sync(command, Instant::now());
        if play == Play::LoseAnswer {
            return None;
        }
        Some(reply(200, serde_json::to_vec(&report).unwrap_or_default()))
    }
}
