//! A stand-in for a runner.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use cassiahoist_wire::callers::{ATTEMPT_HEADER, IDENTITY_HEADER, NOT_RUN_HEADER};
use cassiahoist_world::hosts::{HostReport, HostRole};
use cassiahoist_world::worker::RunnerState;
use hyper::Method;
use serde::{Deserialize, Serialize};

use crate::backend_log::{BackendEvent, BackendLog};
use crate::fault::{Fault, FaultSwitch, Play};
use crate::http::{Handler, WholeRequest, WholeResponse, reply};

/// The body of a request: how long it runs, and padding.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RunnerTask {
    /// How long it runs, in milliseconds.
    pub run_ms: u64,
    /// Whether it fails.
    pub fail: bool,
    /// Anything, echoed.
    pub note: String,
}

/// The answer to a request: proof of whose it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerAnswer {
    /// Identity with fleet.
    pub identity: String,
    /// The body's note.
    pub note: String,
    /// The runner.
    pub runner: String,
}

/// A runner with a number of slots.
#[derive(Debug)]
pub struct RunnerStandIn {
    report: HostReport,
    slots: u32,
    connections: u32,
    running: AtomicU32,
    /// Work under way, for the state page.
    open: Mutex<BTreeMap<String, u32>>,
    log: BackendLog,
    faults: FaultSwitch,
}

impl RunnerStandIn {
    /// Creates a runner; nothing if the report is of another role.
    #[must_use]
    pub fn new(report: HostReport, log: BackendLog) -> Option<Self> {
        let HostRole::Runner { slots, connections } = report.role else {
            return None;
        };
        Some(Self {
            report,
            slots,
            connections,
            running: AtomicU32::new(0),
            open: Mutex::default(),
            log,
            faults: FaultSwitch::default(),
        })
    }

    fn state(&self, fault: &Fault) -> WholeResponse {
        let state = RunnerState { running: self.running.load(Ordering::SeqCst), leaving: fault.leaving };
        reply(200, serde_json::to_vec(&state).unwrap_or_default())
    }

    async fn run(&self, request: &WholeRequest, fault: &Fault) -> WholeResponse {
        let header =
            |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or("");
        let identity = header(IDENTITY_HEADER).to_owned();
        let attempt = header(ATTEMPT_HEADER).to_owned();
        let name = &self.report.name;
        if self.running.fetch_add(1, Ordering::SeqCst) >= self.slots {
            self.running.fetch_sub(1, Ordering::SeqCst);
            self.log.write(name, BackendEvent::Overfull, &identity, &attempt);
            let mut response = reply(503, "");
            response.headers_mut().insert(NOT_RUN_HEADER, hyper::header::HeaderValue::from_static("true"));
            return response;
        }
        self.log.write(name, BackendEvent::Started, &identity, &attempt);
        *self.open.lock().unwrap_or_else(PoisonError::into_inner).entry(identity.clone()).or_default() += 1;
        let task: RunnerTask = serde_json::from_slice(request.body()).unwrap_or_default();
        tokio::time::sleep(Duration::from_millis(task.run_ms)).await;
        self.open.lock().unwrap_or_else(PoisonError::into_inner).remove(&identity);
        self.log.write(name, BackendEvent::Ended, &identity, &attempt);
        self.running.fetch_sub(1, Ordering::SeqCst);
        if task.fail || fault.fail_all {
            return reply(500, "failed");
        }
        let answer = RunnerAnswer { identity, note: task.note, runner: name.to_string() };
        let mut response = reply(200, serde_json::to_vec(&answer).unwrap_or_default());
        response
            .headers_mut()
            .insert("content-type", hyper::header::HeaderValue::from_static("application/json"));
        response
    }
}

impl Handler for std::sync::Arc<RunnerStandIn> {
    async fn handle(&self, request: WholeRequest) -> Option<WholeResponse> {
        if *request.method() == Method::POST && request.uri().path() == "/fault" {
            self.faults.set(serde_json::from_slice(request.body()).ok()?);
            return Some(reply(200, ""));
        }
        let fault = self.faults.get();
        let play = self.faults.play().await;
        if play == Play::Refuse {
            return None;
        }
        let response = match (request.method(), request.uri().path()) {
            (&Method::GET, "/state") => self.state(&fault),
            (&Method::POST, "/run") => {
                // A task of its own: the runner goes on when the connection breaks.
                let this = Self::clone(self);
                let running = tokio::spawn(async move { this.run(&request, &fault).await });
                running.await.ok()?
            }
            _ => reply(404, ""),
        };
        if play == Play::LoseAnswer { None } else { Some(response) }
    }

    fn accepts(&self, open: u32) -> bool {
        let accepted = open < self.connections;
        if !accepted {
            self.log.write(&self.report.name, BackendEvent::TooManyConnections, "", "");
        }
        accepted
    }
}
