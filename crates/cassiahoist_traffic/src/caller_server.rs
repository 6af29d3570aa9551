//! HTTP server for callers' requests.

use std::time::Duration;

use std::convert::Infallible;

use bytes::Bytes;
use cassiahoist_core::prelude::*;
use cassiahoist_world::calls::{CallAction, CallAnswer, CallRequest};
use cassiahoist_world::event::Event;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::clock::MonotonicClock;
use crate::control_link::ControlLink;
use crate::protocol::{CallerProtocol, FullResponse};

/// Pause after a connection could not be accepted, as when no descriptor is free.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Timeout of calls that state none, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 3_000;

/// Longest timeout of a call, in milliseconds; greater values are reduced to it.
const MAX_TIMEOUT_MS: u64 = 60_000;

/// Largest body that the server reads, in bytes. The configuration may set a lower limit.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Time for a client to send a request's headers, after which its connection is closed.
pub(crate) const HEADER_TIMEOUT: Duration = Duration::from_secs(15);

/// Serves callers in one protocol.
#[derive(Clone, Debug)]
pub struct CallerServer<P> {
    /// Format of requests and answers.
    pub protocol: P,
    /// Clock that deadlines refer to.
    pub clock: MonotonicClock,
    /// Link to the control thread, which answers the calls.
    pub control: ControlLink,
}

impl<P: CallerProtocol> CallerServer<P> {
    /// Serves callers until `stop` becomes true, then waits for open connections to finish.
    pub async fn serve(self, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        let graceful = GracefulShutdown::new();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stop.wait_for(|&stop| stop) => break,
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            // Nagle's algorithm would delay small answers.
            let _unsupported = stream.set_nodelay(true);
            let server = self.clone();
            let service = service_fn(move |request| {
                let server = server.clone();
                async move { Ok::<_, Infallible>(server.respond(request).await) }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            let connection = graceful.watch(connection);
            drop(tokio::spawn(connection));
        }
        graceful.shutdown().await;
    }

    async fn respond(&self, request: Request<Incoming>) -> FullResponse {
        let answer = match self.decode(request).await {
            Ok(call) => self.forward(call).await,
            Err(kind) => CallAnswer::Error { kind, retry_after_ms: None },
        };
        self.protocol.encode_answer(answer)
    }

    async fn decode(&self, request: Request<Incoming>) -> Result<CallRequest, ErrorKind> {
        let (head, body) = request.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(|error| {
            if error.is::<LengthLimitError>() { ErrorKind::BodyTooLarge } else { ErrorKind::BadRequest }
        })?;
        let body: Bytes = body.to_bytes();
        let call = self.protocol.decode_call(&head, &body).ok_or(ErrorKind::BadRequest)?;
        let timeout_ms = call.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS).min(MAX_TIMEOUT_MS);
        Ok(CallRequest {
            // Assigned when the call is registered.
            number: 0,
            host_name: call.host_name,
            path: call.path,
            action: call.action,
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
            return CallAnswer::Error { kind: ErrorKind::Overloaded, retry_after_ms: Some(1_000) };
        }
        // Without an answer, a job or a cancellation may have been stored.
        let unanswered = if writes { ErrorKind::RecordUncertain } else { ErrorKind::StateAway };
        pending.answer().await.unwrap_or(CallAnswer::Error { kind: unanswered, retry_after_ms: None })
    }
}

/// Builds a response with a text body.
///
/// Returns an empty `200 OK` if `status` or `content_type` is invalid.
#[must_use]
pub fn text_response(status: u16, content_type: &str, text: String) -> Response<Full<Bytes>> {
    let builder = Response::builder().status(status).header("content-type", content_type);
    builder.body(Full::new(text.into())).unwrap_or_default()
}
