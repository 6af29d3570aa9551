//! HTTP server for callers' requests.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cassiahoist_core::prelude::*;
use cassiahoist_telemetry::LogWriter;
use cassiahoist_world::calls::{CallAction, CallAnswer, CallRequest};
use cassiahoist_world::config::ConfigRecord;
use cassiahoist_world::event::Event;
use cassiahoist_world::traffic::TrafficKind;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, watch};
use tokio::time::Instant;

use crate::body_rules::{BodyBytes, BodyDecision, connection_limits, decide_body, max_head_bytes};
use crate::clock::MonotonicClock;
use crate::connections::{Admission, Connections, ServedConnection};
use crate::control_link::ControlLink;
use crate::http1_server::{Respond, close_slow_connections, discard, serve_connection, serve_refusal};
use crate::metered_stream::MeteredStream;
use crate::pace::Phase;
use crate::protocol::{CallerProtocol, FullResponse};
use crate::request_budget::{Grant, HeldBytes, RequestBudget};
use crate::traffic_meter::{TrafficMeter, response_bytes};

/// Pause after a connection could not be accepted, as when no descriptor is free.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Timeout of calls that state none, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 3_000;

/// Longest timeout of a call, in milliseconds; greater values are reduced to it.
const MAX_TIMEOUT_MS: u64 = 60_000;

/// Time for a caller to send the body of a request after its headers.
const BODY_TIMEOUT: Duration = Duration::from_secs(15);

/// Delay after which a refused caller should retry, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Serves callers in one protocol.
#[derive(Clone, Debug)]
pub struct CallerServer<P> {
    /// Format of requests and answers.
    pub protocol: P,
    /// Clock that deadlines refer to.
    pub clock: MonotonicClock,
    /// Link to the control thread, which answers the calls.
    pub control: ControlLink,
    /// Counts connections and answers.
    pub meter: TrafficMeter,
    /// Open connections and their limit.
    pub connections: Connections,
    /// Budget of the bytes that callers have sent and not been answered for.
    pub budget: RequestBudget,
    /// Configuration in force; `None` before the first.
    pub config: watch::Receiver<Option<Arc<ConfigRecord>>>,
    /// Log of requests that are refused without the control thread.
    pub log: LogWriter,
}

impl<P: CallerProtocol> CallerServer<P> {
    /// Serves callers until `stop` becomes true, then waits for open connections to finish.
    ///
    /// At the limit of connections further ones wait to be accepted.
    pub async fn serve(self, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        let config = self.config.clone();
        let limits = move || connection_limits(config.borrow().as_deref());
        let (connections, meter) = (self.connections.clone(), self.meter.clone());
        let sweeps = tokio::spawn(close_slow_connections(connections, limits, meter));
        loop {
            let accepted = tokio::select! {
                accepted = self.accept(&listener) => accepted,
                _ = stop.wait_for(|&stop| stop) => break,
            };
            let Ok((stream, permit)) = accepted else {
                self.meter.count_failed_accept();
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            // Nagle's algorithm would delay small answers.
            let _unsupported = stream.set_nodelay(true);
            let (server, stop) = (self.clone(), stop.clone());
            let open_connection = self.meter.open_caller_connection();
            drop(tokio::spawn(async move {
                server.serve_connection(stream, stop).await;
                drop((permit, open_connection));
            }));
        }
        self.connections.wait_until_closed().await;
        sweeps.abort();
    }

    async fn accept(&self, listener: &TcpListener) -> io::Result<(TcpStream, Option<OwnedSemaphorePermit>)> {
        let permit = self.connections.acquire_permit().await;
        let (stream, _) = listener.accept().await?;
        Ok((stream, permit))
    }

    async fn serve_connection(&self, stream: TcpStream, stop: watch::Receiver<bool>) {
        let progress = Arc::default();
        let stream = MeteredStream::new(stream, Arc::clone(&progress));
        match self.connections.admit(Phase::Idle, &progress, Instant::now()) {
            Admission::Serve(served, signals) => {
                let max_head_bytes = max_head_bytes(self.config.borrow().as_deref());
                serve_connection(self, stream, &served, signals, max_head_bytes, stop).await;
            }
            Admission::Refuse => serve_refusal(stream, |request| self.refuse(request)).await,
        }
    }

    async fn refuse(&self, request: Request<Incoming>) -> FullResponse {
        let (head, mut body) = request.into_parts();
        discard(&mut body).await;
        let kind = ErrorKind::Overloaded;
        self.log_refusal(kind, "all connections are in use", &head);
        self.protocol.encode_answer(CallAnswer::Error { kind, retry_after_ms: Some(RETRY_AFTER_MS) })
    }

    fn log_refusal(&self, kind: ErrorKind, reason: &str, head: &Parts) {
        let fields = [
            ("kind", format!("{kind:?}")),
            ("reason", reason.to_owned()),
            ("path", head.uri.path().to_owned()),
        ];
        self.log.write(EventId::CallRefused, &fields);
    }

    /// Reads the body of a request as far as its limits allow.
    async fn read_body(
        &self,
        head: &Parts,
        body: &mut Incoming,
        held: &mut HeldBytes,
    ) -> Result<Bytes, ErrorKind> {
        let announced_bytes = body.size_hint().exact().map(|bytes| bytes as usize);
        let config = self.config.borrow().clone();
        let check = |bytes: usize| {
            let host_name = host_name(head);
            match decide_body(config.as_deref(), host_name, head.uri.path(), bytes) {
                BodyDecision::Read => Ok(()),
                BodyDecision::Refuse(kind) => Err(kind),
            }
        };
        check(announced_bytes.unwrap_or_default())?;
        let mut collected = BodyBytes::default();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_broken| ErrorKind::BadRequest)?;
            let Ok(data) = frame.into_data() else { continue };
            check(collected.len() + data.len())?;
            if held.try_grow(data.len()) == Grant::Refused {
                self.meter.count_unheld_request();
                return Err(ErrorKind::Overloaded);
            }
            collected.push(data);
        }
        Ok(collected.into_bytes())
    }

    async fn decode(
        &self,
        request: Request<Incoming>,
        held: &mut HeldBytes,
    ) -> Result<CallRequest, ErrorKind> {
        let (head, mut body) = request.into_parts();
        let read = tokio::time::timeout(BODY_TIMEOUT, self.read_body(&head, &mut body, held)).await;
        let body = match read {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(kind)) => {
                self.log_refusal(kind, "the body was not read", &head);
                discard(&mut body).await;
                return Err(kind);
            }
            Err(_elapsed) => return Err(ErrorKind::BadRequest),
        };
        let call = self.protocol.decode_call(&head, &body).ok_or(ErrorKind::BadRequest)?;
        let timeout_ms = call.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS).min(MAX_TIMEOUT_MS);
        Ok(CallRequest {
            // Assigned when the call is registered.
            number: 0,
            host_name: call.host_name,
            path: call.path,
            action: call.action,
            credential: call.credential,
            body_bytes: body.len(),
            deadline_ms: self.clock.now_ms() + timeout_ms,
        })
    }

    /// Forwards a call to the control thread and waits for its answer.
    async fn forward(&self, mut call: CallRequest) -> CallAnswer {
        let writes = matches!(call.action, CallAction::Submit(Ok(_)) | CallAction::Cancel);
        let pending = self.control.register_call();
        call.number = pending.number;
        if !self.control.try_send(Event::CallReceived(call)) {
            self.meter.count_unqueued_call();
            return CallAnswer::Error { kind: ErrorKind::Overloaded, retry_after_ms: Some(RETRY_AFTER_MS) };
        }
        // Without an answer, a job or a cancellation may have been stored.
        let unanswered = if writes { ErrorKind::RecordUncertain } else { ErrorKind::StateAway };
        let retry_after_ms = unanswered.answer().retryable.then_some(RETRY_AFTER_MS);
        pending.answer().await.unwrap_or(CallAnswer::Error { kind: unanswered, retry_after_ms })
    }
}

impl<P: CallerProtocol> Respond for CallerServer<P> {
    type Body = Full<Bytes>;

    async fn respond(&self, request: Request<Incoming>, served: &ServedConnection) -> FullResponse {
        let mut held = self.budget.open();
        let has_body = !request.body().is_end_stream();
        let (answer, keeps_connection) = match self.decode(request, &mut held).await {
            Ok(call) => {
                // A call on a connection that is being cut would run without an answer.
                if has_body && !served.set_phase(Phase::Answering, Instant::now()) {
                    (
                        CallAnswer::Error {
                            kind: ErrorKind::Overloaded,
                            retry_after_ms: Some(RETRY_AFTER_MS),
                        },
                        false,
                    )
                } else {
                    (self.forward(call).await, true)
                }
            }
            Err(kind) => {
                let retry_after_ms = kind.answer().retryable.then_some(RETRY_AFTER_MS);
                (CallAnswer::Error { kind, retry_after_ms }, !has_body)
            }
        };
        let mut response = self.protocol.encode_answer(answer);
        if !keeps_connection {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        self.meter.count_sent(TrafficKind::Callers, response_bytes(&response));
        response
    }
}

fn host_name(head: &Parts) -> &str {
    let header = || head.headers.get(HOST).and_then(|value| value.to_str().ok());
    let name = head.uri.host().or_else(header).unwrap_or_default();
    name.split(':').next().unwrap_or_default()
}

/// Builds a response with a text body.
///
/// Returns an empty `200 OK` if `status` or `content_type` is invalid.
#[must_use]
pub fn text_response(status: u16, content_type: &str, text: String) -> Response<Full<Bytes>> {
    let builder = Response::builder().status(status).header("content-type", content_type);
    builder.body(Full::new(text.into())).unwrap_or_default()
}
