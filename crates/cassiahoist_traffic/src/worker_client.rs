//! Commands to workers and questions to runners.

use std::time::Duration;

use bytes::Bytes;
use cassiahoist_world::event::Event;
use cassiahoist_world::worker::{
    RunnerProbe, RunnerProbed, RunnerState, WorkerAnswered, WorkerCommand, WorkerReport,
};
use http_body_util::Full;
use hyper::{Method, Request};
use serde::de::DeserializeOwned;

use crate::clock::MonotonicClock;
use crate::control_link::ControlLink;
use crate::http_client::{Exchange, HttpClient};

/// How long a worker or runner may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Talks to workers and runners about state, not about work.
#[derive(Clone, Debug)]
pub struct WorkerClient {
    clock: MonotonicClock,
    client: HttpClient,
    control: ControlLink,
}

impl WorkerClient {
    /// Creates a client.
    #[must_use]
    pub fn new(clock: MonotonicClock, control: ControlLink) -> Self {
        Self { clock, client: HttpClient::new(), control }
    }

    /// Sends a command in a task of its own and reports the answer to control.
    pub fn command(&self, command: WorkerCommand) {
        let this = self.clone();
        drop(tokio::spawn(async move {
            let started_ms = this.clock.now_ms();
            let report = this.send_command(&command).await;
            let term = command.permit.term;
            this.control.send(Event::Worker(WorkerAnswered { host: command.host, term, started_ms, report }));
        }));
    }

    async fn send_command(&self, command: &WorkerCommand) -> Option<WorkerReport> {
        let body = serde_json::to_vec(&command.body).ok()?;
        let may_send = || command.permit.is_fresh(self.clock.now_ms());
        self.exchange(&command.address, Method::POST, "/sync", body, may_send).await
    }

    /// Asks a runner in a task of its own and reports the answer to control.
    pub fn probe(&self, probe: RunnerProbe) {
        let this = self.clone();
        drop(tokio::spawn(async move {
            let started_ms = this.clock.now_ms();
            let state: Option<RunnerState> =
                this.exchange(&probe.address, Method::GET, "/state", Vec::new(), || true).await;
            this.control.send(Event::Runner(RunnerProbed {
                host: probe.host,
                term: probe.term,
                started_ms,
                state,
            }));
        }));
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        address: &str,
        method: Method,
        path: &str,
        body: Vec<u8>,
        may_send: impl Fn() -> bool,
    ) -> Option<T> {
        let request = Request::builder().method(method).uri(path).header("host", address);
        let request = request.body(Full::new(Bytes::from(body))).ok()?;
        match self.client.exchange(address, request, ANSWER_TIMEOUT, may_send).await {
            Exchange::Answered(response) if response.status().is_success() => {
                serde_json::from_slice(response.body()).ok()
            }
            _ => None,
        }
    }
}
