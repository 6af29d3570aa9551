//! Serves callers over HTTP.

use std::convert::Infallible;

use bytes::Bytes;
use cassiahoist_core::prelude::*;
use cassiahoist_wire::callers::{
    DEADLINE_HEADER, ErrorBody, IDEMPOTENT_HEADER, IDENTITY_HEADER, JobSubmission, OUTCOME_HEADER,
    TEAM_HEADER, outcome_word,
};
use cassiahoist_wire::forward::{Forwarded, ForwardedWork};
use cassiahoist_world::event::IdentityQuestion;
use cassiahoist_world::requests::Hop;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::operators::{OperatorContext, serve_operator};
use crate::work::{WorkContext, serve_work};

/// Deadline of work whose caller states none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 5_000;

/// Longest deadline that a caller may state, in milliseconds.
const MAX_DEADLINE_MS: u64 = 600_000;

/// What the door needs.
#[derive(Clone, Debug)]
pub struct Door {
    /// For work.
    pub work: WorkContext,
    /// For operators and the balancer.
    pub operators: OperatorContext,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
}

type Reply = Response<Full<Bytes>>;

/// A request that is answered with an error at the door.
#[derive(Debug)]
struct Refusal {
    kind: ErrorKind,
    detail: String,
}

impl Refusal {
    fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self { kind, detail: detail.into() }
    }
}

impl Door {
    /// Serves callers until `stop` turns true, then finishes what is open.
    pub async fn serve(self, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        let graceful = GracefulShutdown::new();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stop.wait_for(|&stop| stop) => break,
            };
            let Ok((stream, _)) = accepted else { continue };
            // Nagle's algorithm only delays small answers.
            let _unsupported = stream.set_nodelay(true);
            let door = self.clone();
            let service = service_fn(move |request| {
                let door = door.clone();
                async move { Ok::<_, Infallible>(door.answer(request).await) }
            });
            let connection =
                hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            let connection = graceful.watch(connection);
            drop(tokio::spawn(connection));
        }
        graceful.shutdown().await;
    }

    async fn answer(&self, request: Request<Incoming>) -> Reply {
        if let Some(reply) = serve_operator(&self.operators, request.method(), request.uri().path()).await {
            return reply;
        }
        let answer = match self.read(request).await {
            Ok(work) => {
                // A task of its own, so that a caller that breaks off can't cut a run short.
                let serving = tokio::spawn(serve_work(self.work.clone(), work));
                serving.await.unwrap_or_else(|_panicked| Answer::error(ErrorKind::AnswerLost))
            }
            Err(refusal) => Answer::Error { kind: refusal.kind, detail: refusal.detail },
        };
        encode(answer)
    }

    async fn read(&self, request: Request<Incoming>) -> Result<Forwarded, Refusal> {
        let (parts, body) = request.into_parts();
        let route = route(&parts.method, parts.uri.path())?;
        let body = Limited::new(body, self.max_body_bytes).collect().await.map_err(|error| {
            let kind = if error.is::<http_body_util::LengthLimitError>() {
                ErrorKind::BodyTooLarge
            } else {
                ErrorKind::BadRequest
            };
            Refusal::new(kind, error.to_string())
        })?;
        work_of(route, &parts.headers, &body.to_bytes())
    }
}

/// What a path asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Route {
    Request { fleet: Fleet, kind: WorkKind },
    Job { fleet: Fleet },
    Question { identity: RequestIdentity, question: IdentityQuestion },
}

fn route(method: &Method, path: &str) -> Result<Route, Refusal> {
    let bad = |error: HoistError| Refusal::new(ErrorKind::BadRequest, error.to_string());
    let unknown = || Refusal::new(ErrorKind::UnknownPath, path);
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let [version, fleet, rest @ ..] = parts.as_slice() else {
        return Err(unknown());
    };
    if *version != "v1" {
        return Err(unknown());
    }
    let fleet = Fleet::new(fleet).map_err(bad)?;
    let question = |question, key: &str| {
        let identity = RequestIdentity::new(&fleet, key).map_err(bad)?;
        Ok(Route::Question { identity, question })
    };
    match (method, rest) {
        (&Method::POST, ["requests", kind]) => {
            Ok(Route::Request { kind: WorkKind::new(kind).map_err(bad)?, fleet: fleet.clone() })
        }
        (&Method::POST, ["jobs"]) => Ok(Route::Job { fleet: fleet.clone() }),
        (&Method::GET, ["work", key]) => question(IdentityQuestion::Lookup, key),
        (&Method::DELETE, ["work", key]) => question(IdentityQuestion::Cancel, key),
        (&Method::GET, ["work", key, "explain"]) => question(IdentityQuestion::Explain, key),
        _ => Err(unknown()),
    }
}

fn header<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
    headers.get(name)?.to_str().ok()
}

fn work_of(route: Route, headers: &HeaderMap, body: &[u8]) -> Result<Forwarded, Refusal> {
    let left_ms = deadline(headers)?;
    let (identity, work) = match route {
        Route::Question { identity, question } => (identity, ForwardedWork::Question(question)),
        Route::Job { fleet } => {
            let identity = identity_of(&fleet, headers)?;
            let submission: JobSubmission = serde_json::from_slice(body)
                .map_err(|error| Refusal::new(ErrorKind::BadRequest, error.to_string()))?;
            let spec = submission
                .into_spec(identity.clone())
                .map_err(|error| Refusal::new(ErrorKind::BadRequest, error.to_string()))?;
            (identity, ForwardedWork::Job(Box::new(spec)))
        }
        Route::Request { fleet, kind } => {
            let identity = identity_of(&fleet, headers)?;
            let team = TeamName::new(&fleet, header(headers, TEAM_HEADER).unwrap_or("default"))
                .map_err(|error| Refusal::new(ErrorKind::BadRequest, error.to_string()))?;
            let idempotent = match header(headers, IDEMPOTENT_HEADER) {
                None | Some("false") => false,
                Some("true") => true,
                Some(other) => {
                    return Err(Refusal::new(ErrorKind::BadRequest, format!("{IDEMPOTENT_HEADER}: {other}")));
                }
            };
            (identity, ForwardedWork::Request { team, kind, idempotent, body: body.to_vec() })
        }
    };
    Ok(Forwarded { identity, hop: Hop::Door, left_ms, work })
}

fn identity_of(fleet: &Fleet, headers: &HeaderMap) -> Result<RequestIdentity, Refusal> {
    let key = header(headers, IDENTITY_HEADER).ok_or_else(|| Refusal::new(ErrorKind::MissingIdentity, ""))?;
    RequestIdentity::new(fleet, key).map_err(|error| Refusal::new(ErrorKind::BadRequest, error.to_string()))
}

fn deadline(headers: &HeaderMap) -> Result<u64, Refusal> {
    let Some(text) = header(headers, DEADLINE_HEADER) else {
        return Ok(DEFAULT_DEADLINE_MS);
    };
    let left_ms: u64 = text
        .parse()
        .map_err(|_error| Refusal::new(ErrorKind::BadRequest, format!("{DEADLINE_HEADER}: {text}")))?;
    Ok(left_ms.min(MAX_DEADLINE_MS))
}

fn encode(answer: Answer) -> Reply {
    let outcome = outcome_word(answer.outcome());
    let (status, content_type, bytes) = match answer {
        Answer::Whole(body) => (200, body.content_type, body.bytes),
        Answer::Report { json, .. } => (200, "application/json".into(), json.into_bytes()),
        Answer::Error { kind, detail } => {
            let body = serde_json::to_vec(&ErrorBody::new(kind, &detail)).unwrap_or_default();
            (kind.answer_row().status, "application/json".into(), body)
        }
    };
    let reply = Response::builder().status(status).header("content-type", content_type);
    reply.header(OUTCOME_HEADER, outcome).body(Full::new(bytes.into())).unwrap_or_default()
}
