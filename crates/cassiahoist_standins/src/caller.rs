//! A caller, and its record of what it was told.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cassiahoist_core::prelude::*;
use cassiahoist_wire::callers::{
    DEADLINE_HEADER, IDEMPOTENT_HEADER, IDENTITY_HEADER, JobSubmission, OUTCOME_HEADER, TEAM_HEADER,
    parse_outcome,
};
use http_body_util::Full;
use hyper::{Method, Request, Response};
use serde::{Deserialize, Serialize};

use crate::http::call;
use crate::runner::{RunnerAnswer, RunnerTask};

/// How much longer than its deadline a caller waits, in milliseconds.
const PATIENCE_MS: u64 = 3_000;

/// A request as a caller makes it.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Its identity.
    pub identity: RequestIdentity,
    /// Its kind.
    pub kind: String,
    /// The team that asks.
    pub team: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Deadline from now, in milliseconds.
    pub deadline_ms: u64,
    /// What the runner is to do.
    pub task: RunnerTask,
}

/// What a caller was told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallerRecord {
    /// Identity with fleet.
    pub identity: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// What the caller was told; nothing if no whole answer came.
    pub outcome: Option<Outcome>,
    /// HTTP status; 0 if none came.
    pub status: u16,
    /// Whether an answer was the caller's own and whole.
    pub own_answer: bool,
    /// How long it took, in microseconds.
    pub took_us: u64,
    /// The error kind's word, for errors.
    pub error: String,
}

/// Makes a request and records what came.
pub async fn make_request(door: SocketAddr, wanted: &CallerRequest) -> CallerRecord {
    let began = Instant::now();
    let body = serde_json::to_vec(&wanted.task).unwrap_or_default();
    let request = Request::post(format!("/v1/{}/requests/{}", wanted.identity.fleet, wanted.kind))
        .header("host", door.to_string())
        .header(IDENTITY_HEADER, &*wanted.identity.name)
        .header(TEAM_HEADER, &wanted.team)
        .header(DEADLINE_HEADER, wanted.deadline_ms)
        .header(IDEMPOTENT_HEADER, if wanted.idempotent { "true" } else { "false" })
        .body(Full::new(Bytes::from(body)));
    let limit = Duration::from_millis(wanted.deadline_ms + PATIENCE_MS);
    let response = match request {
        Ok(request) => call(door, request, limit).await,
        Err(_) => None,
    };
    let mut record = record_of(&wanted.identity, response.as_ref(), began);
    record.idempotent = wanted.idempotent;
    record.own_answer = response.as_ref().is_some_and(|response| is_own(response, wanted));
    record
}

fn record_of(identity: &RequestIdentity, response: Option<&Response<Bytes>>, began: Instant) -> CallerRecord {
    let outcome = response
        .and_then(|response| response.headers().get(OUTCOME_HEADER)?.to_str().ok())
        .and_then(parse_outcome);
    let error = response
        .and_then(|response| serde_json::from_slice::<serde_json::Value>(response.body()).ok())
        .and_then(|json| Some(json.get("error")?.as_str()?.to_owned()));
    CallerRecord {
        identity: identity.to_string(),
        idempotent: true,
        outcome,
        status: response.map_or(0, |response| response.status().as_u16()),
        own_answer: false,
        took_us: began.elapsed().as_micros() as u64,
        error: error.unwrap_or_default(),
    }
}

fn is_own(response: &Response<Bytes>, wanted: &CallerRequest) -> bool {
    let answer: Option<RunnerAnswer> = serde_json::from_slice(response.body()).ok();
    answer.is_some_and(|answer| {
        answer.identity == wanted.identity.to_string() && answer.note == wanted.task.note
    })
}

/// Submits a job and records what came.
pub async fn submit_job(door: SocketAddr, identity: &RequestIdentity, job: &JobSubmission) -> CallerRecord {
    let began = Instant::now();
    let body = serde_json::to_vec(job).unwrap_or_default();
    let request = Request::post(format!("/v1/{}/jobs", identity.fleet))
        .header("host", door.to_string())
        .header(IDENTITY_HEADER, &*identity.name)
        .body(Full::new(Bytes::from(body)));
    let response = match request {
        Ok(request) => call(door, request, Duration::from_millis(5_000 + PATIENCE_MS)).await,
        Err(_) => None,
    };
    record_of(identity, response.as_ref(), began)
}

/// Asks what became of an identity; gives the record and the body.
pub async fn look_up(door: SocketAddr, identity: &RequestIdentity) -> (CallerRecord, Bytes) {
    ask(door, identity, Method::GET).await
}

/// Cancels a job; gives the record and the body.
pub async fn cancel(door: SocketAddr, identity: &RequestIdentity) -> (CallerRecord, Bytes) {
    ask(door, identity, Method::DELETE).await
}

async fn ask(door: SocketAddr, identity: &RequestIdentity, method: Method) -> (CallerRecord, Bytes) {
    let began = Instant::now();
    let request = Request::builder()
        .method(method)
        .uri(format!("/v1/{}/work/{}", identity.fleet, identity.name))
        .header("host", door.to_string())
        .body(Full::new(Bytes::new()));
    let response = match request {
        Ok(request) => call(door, request, Duration::from_millis(5_000 + PATIENCE_MS)).await,
        Err(_) => None,
    };
    let record = record_of(identity, response.as_ref(), began);
    (record, response.map(Response::into_body).unwrap_or_default())
}
