//! HTTP server for operators and the load balancer.
//!
//! Serves readiness, metrics, the status, the state dump, explanations of jobs and the declarations.

use std::convert::Infallible;

use cassiahoist_declarations::validate_declarations;
use cassiahoist_telemetry::Metrics;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use crate::caller_server::{HEADER_TIMEOUT, text_response};
use crate::control_link::{ControlLink, View};
use crate::declarations::{DECLARATIONS_PATH, VersionedDeclarations, put_response};
use crate::protocol::FullResponse;

/// Largest declarations that are accepted, in bytes; 50 exceptions with long reasons fit.
const MAX_DECLARATIONS_BYTES: usize = 128 * 1_024;

/// Serves pages to operators and the load balancer.
#[derive(Clone, Debug)]
pub struct OperatorServer {
    /// Link to the control thread, which renders the views.
    pub control: ControlLink,
    /// Metrics that `/metrics` exposes.
    pub metrics: Metrics,
    /// Path that the load balancer polls for readiness: 200 if ready, 503 otherwise.
    pub ready_path: &'static str,
}

impl OperatorServer {
    /// Serves pages until the process ends.
    pub async fn serve(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(crate::caller_server::ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let server = self.clone();
            let service = service_fn(move |request| {
                let server = server.clone();
                async move { Ok::<_, Infallible>(server.respond(request).await) }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            drop(tokio::spawn(connection));
        }
    }

    async fn respond(&self, request: Request<Incoming>) -> FullResponse {
        if request.method() == Method::PUT && request.uri().path() == DECLARATIONS_PATH {
            return self.put_declarations(request).await;
        }
        let path = request.uri().path();
        let view = match path {
            _ if request.method() != Method::GET => return text_response(405, "text/plain", String::new()),
            "/metrics" => return text_response(200, "text/plain; version=0.0.4", self.metrics.render_text()),
            "/status" => View::Status,
            "/dump" => View::Dump,
            DECLARATIONS_PATH => View::Declarations,
            _ if path == self.ready_path => View::Ready,
            _ => match path.strip_prefix("/explain/").and_then(|id| id.parse().ok()) {
                Some(job) => View::Explain(job),
                None => return text_response(404, "text/plain", "no such page\n".into()),
            },
        };
        match self.control.view(view).await {
            Some(text) if view == View::Ready => {
                text_response(if text == "ready" { 200 } else { 503 }, "text/plain", text)
            }
            Some(json) => text_response(200, "application/json", json),
            None => text_response(503, "text/plain", "the control thread does not answer\n".into()),
        }
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
