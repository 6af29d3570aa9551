//! HTTP server for operators and the load balancer.
//!
//! Serves readiness, metrics, the status, the state dump, explanations of jobs and the declarations.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use cassiahoist_declarations::validate_declarations;
use cassiahoist_telemetry::Metrics;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::{Method, Request, Response};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::Instant;

use crate::caller_server::{ACCEPT_RETRY_DELAY, text_response};
use crate::connections::{Admission, Connections, ServedConnection};
use crate::control_link::{ControlLink, View};
use crate::declarations::{DECLARATIONS_PATH, VersionedDeclarations, put_response};
use crate::http1_server::{
    MAX_HEAD_BYTES, Respond, close_slow_connections, discard, serve_connection, serve_refusal,
};
use crate::metered_stream::MeteredStream;
use crate::pace::{ConnectionLimits, Pace, Phase};
use crate::protocol::FullResponse;
use crate::traffic_meter::TrafficMeter;

/// Most connections of a listener for operators or the load balancer.
const MAX_CONNECTIONS: usize = 32;

/// Time that a connection may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time for the head of a request and for the first bytes of its body.
///
/// Requests are few and small here, and slow ones take the places of the load balancer's.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Most pages that are rendered or sent at a time, those for the load balancer excepted.
///
/// The dump of a large fleet takes several megabytes.
const MAX_OPEN_PAGES: usize = 2;

/// Largest declarations that are accepted, in bytes; 50 exceptions with long reasons fit.
const MAX_DECLARATIONS_BYTES: usize = 128 * 1_024;

/// Serves pages to operators and the load balancer.
#[derive(Clone, Debug)]
pub struct OperatorServer {
    control: ControlLink,
    metrics: Metrics,
    ready_path: &'static str,
    meter: TrafficMeter,
    /// One permit for each page that may be open, over all listeners.
    page_permits: Arc<Semaphore>,
}

impl OperatorServer {
    /// Creates a server that renders views on the control thread and exposes `metrics` at `/metrics`.
    ///
    /// The load balancer polls `ready_path`: 200 if ready, 503 otherwise.
    #[must_use]
    pub fn new(control: ControlLink, metrics: Metrics, ready_path: &'static str) -> Self {
        let page_permits = Arc::new(Semaphore::new(MAX_OPEN_PAGES));
        Self { control, metrics, ready_path, meter: TrafficMeter::new(), page_permits }
    }

    /// Sets the meter that counts connections that are closed as too slow.
    #[must_use]
    pub fn with_meter(self, meter: TrafficMeter) -> Self {
        Self { meter, ..self }
    }

    /// Serves pages until the process ends.
    pub async fn serve(self, listener: TcpListener) {
        let connections = Connections::new(MAX_CONNECTIONS);
        let limits = || ConnectionLimits {
            head_timeout: REQUEST_TIMEOUT,
            idle_timeout: Some(IDLE_TIMEOUT),
            body_silence: REQUEST_TIMEOUT,
            body_pace: Pace { grace: REQUEST_TIMEOUT, bytes_per_s: MAX_DECLARATIONS_BYTES as u64 / 8 },
            ..ConnectionLimits::default()
        };
        let sweeps = close_slow_connections(connections.clone(), limits, self.meter.clone());
        drop(tokio::spawn(sweeps));
        // These connections end with the process.
        let (_never_stops, stop) = watch::channel(false);
        loop {
            let permit = connections.acquire_permit().await;
            let Ok((stream, _)) = listener.accept().await else {
                self.meter.count_failed_accept();
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let (server, connections, stop) = (self.clone(), connections.clone(), stop.clone());
            drop(tokio::spawn(async move {
                server.serve_connection(stream, &connections, stop).await;
                drop(permit);
            }));
        }
    }

    async fn serve_connection(
        &self,
        stream: TcpStream,
        connections: &Connections,
        stop: watch::Receiver<bool>,
    ) {
        let progress = Arc::default();
        let stream = MeteredStream::new(stream, Arc::clone(&progress));
        match connections.admit(Phase::Idle, &progress, Instant::now()) {
            Admission::Serve(served, signals) => {
                serve_connection(self, stream, &served, signals, MAX_HEAD_BYTES, stop).await;
            }
            Admission::Refuse => serve_refusal(stream, |request| self.refuse(request)).await,
        }
    }

    /// Refuses a request since all connections are in use. Readiness is still told.
    async fn refuse(&self, request: Request<Incoming>) -> FullResponse {
        if request.method() == Method::GET && request.uri().path() == self.ready_path {
            return self.show_view(View::Ready).await;
        }
        discard(&mut request.into_body()).await;
        text_response(503, "text/plain", "all connections are in use\n".into())
    }

    async fn show_view(&self, view: View) -> FullResponse {
        match self.control.view(view).await {
            Some(text) if view == View::Ready => {
                text_response(if text == "ready" { 200 } else { 503 }, "text/plain", text)
            }
            Some(json) => text_response(200, "application/json", json),
            None => text_response(503, "text/plain", "the control thread does not answer\n".into()),
        }
    }

    async fn show_page(&self, path: &str) -> FullResponse {
        let view = match path {
            "/metrics" => return text_response(200, "text/plain; version=0.0.4", self.metrics.render_text()),
            "/status" => View::Status,
            "/dump" => View::Dump,
            DECLARATIONS_PATH => View::Declarations,
            _ => match path.strip_prefix("/explain/").and_then(|id| id.parse().ok()) {
                Some(job) => View::Explain(job),
                None => return text_response(404, "text/plain", "no such page\n".into()),
            },
        };
        self.show_view(view).await
    }

    async fn put_declarations(&self, request: Request<Incoming>) -> FullResponse {
        let reject = |status: u16, reason: String| text_response(status, "text/plain", reason + "\n");
        let Ok(body) = Limited::new(request.into_body(), MAX_DECLARATIONS_BYTES).collect().await else {
            return reject(413, format!("the body exceeds {MAX_DECLARATIONS_BYTES} bytes or is incomplete"));
        };
        let versioned: VersionedDeclarations = match serde_json::from_slice(&body.to_bytes()) {
            Ok(versioned) => versioned,
            Err(error) => return reject(400, error.to_string()),
        };
        if let Err(error) = validate_declarations(&versioned.declarations) {
            return reject(400, error.to_string());
        }
        let outcome = self.control.declare(versioned.revision, versioned.declarations).await;
        let (status, text) = put_response(outcome);
        let content_type = if status == 200 { "application/json" } else { "text/plain" };
        text_response(status, content_type, text)
    }
}

impl Respond for OperatorServer {
    type Body = PageBody;

    async fn respond(&self, request: Request<Incoming>, _served: &ServedConnection) -> Response<PageBody> {
        let path = request.uri().path();
        if request.method() == Method::GET && path == self.ready_path {
            return self.show_view(View::Ready).await.map(PageBody::new);
        }
        if request.method() == Method::PUT && path == DECLARATIONS_PATH {
            return self.put_declarations(request).await.map(PageBody::new);
        }
        if request.method() != Method::GET {
            return text_response(405, "text/plain", String::new()).map(PageBody::new);
        }
        let Ok(permit) = Arc::clone(&self.page_permits).try_acquire_owned() else {
            let busy = text_response(503, "text/plain", "other pages are still being read\n".into());
            return busy.map(PageBody::new);
        };
        self.show_page(path).await.map(|body| PageBody::new(body).with_permit(permit))
    }
}

/// Size of the pieces in which a page is sent, in bytes.
const PAGE_PIECE_BYTES: usize = 16 * 1_024;

/// Body of a page, which counts as open until its last piece is taken.
///
/// The connection takes a piece only when it has room for it, so that a page whose reader is slow keeps its permit.
#[derive(Debug)]
pub struct PageBody {
    body: Full<Bytes>,
    untaken: Bytes,
    _permit: Option<OwnedSemaphorePermit>,
}

impl PageBody {
    fn new(body: Full<Bytes>) -> Self {
        Self { body, untaken: Bytes::new(), _permit: None }
    }

    fn with_permit(self, permit: OwnedSemaphorePermit) -> Self {
        Self { _permit: Some(permit), ..self }
    }
}

impl Body for PageBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.untaken.is_empty() {
            match ready!(Pin::new(&mut self.body).poll_frame(cx)).map(|frame| frame.map(Frame::into_data)) {
                Some(Ok(Ok(page))) => self.untaken = page,
                _ => return Poll::Ready(None),
            }
        }
        let piece_bytes = self.untaken.len().min(PAGE_PIECE_BYTES);
        Poll::Ready(Some(Ok(Frame::data(self.untaken.split_to(piece_bytes)))))
    }

    fn is_end_stream(&self) -> bool {
        self.untaken.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let untaken_bytes = self.untaken.len() as u64;
        SizeHint::with_exact(untaken_bytes + self.body.size_hint().exact().unwrap_or_default())
    }
}
