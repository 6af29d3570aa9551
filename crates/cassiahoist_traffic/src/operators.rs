//! Serves operators and the balancer: health, readiness, metrics, status and the state dump.

use bytes::Bytes;
use cassiahoist_telemetry::Metrics;
use http_body_util::Full;
use hyper::{Method, Response};

use crate::control_link::{ControlLink, View};

/// What operators' pages need.
#[derive(Clone, Debug)]
pub struct OperatorContext {
    /// The way to control.
    pub control: ControlLink,
    /// Metrics.
    pub metrics: Metrics,
}

/// Answers a page for operators; nothing if the path is none of them.
pub async fn serve_operator(
    context: &OperatorContext,
    method: &Method,
    path: &str,
) -> Option<Response<Full<Bytes>>> {
    if method != Method::GET {
        return None;
    }
    let view = match path {
        "/healthz" => return Some(page(200, "text/plain", "ok\n".into())),
        "/metrics" => return Some(page(200, "text/plain; version=0.0.4", context.metrics.scrape())),
        "/readyz" => View::Ready,
        "/status" => View::Status,
        "/dump" => View::Dump,
        _ => return None,
    };
    match context.control.view(view).await {
        Some(text) if view == View::Ready => {
            Some(page(if text == "ready" { 200 } else { 503 }, "text/plain", text))
        }
        Some(json) => Some(page(200, "application/json", json)),
        None => Some(page(503, "text/plain", "control does not answer\n".into())),
    }
}

fn page(status: u16, content_type: &str, text: String) -> Response<Full<Bytes>> {
    let reply = Response::builder().status(status).header("content-type", content_type);
    reply.body(Full::new(text.into())).unwrap_or_default()
}
