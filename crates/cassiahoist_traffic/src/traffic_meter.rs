//! Counts connections, bytes and requests that were not sent.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use cassiahoist_core::descriptors::max_caller_connections;
use cassiahoist_world::traffic::{OpenConnections, TrafficKind, TrafficTotals};
use cassiahoist_world::unsent::UnsentCause;
use hyper::body::Body;
use hyper::http::HeaderMap;

use crate::http_client::Exchange;
use crate::protocol::{FullRequest, FullResponse};

/// Bytes that a header takes beside its name and value.
const HEADER_OVERHEAD_BYTES: usize = 4;

/// Totals that all traffic threads add to.
#[derive(Debug, Default)]
struct Totals {
    sent_bytes: [AtomicU64; TrafficKind::ALL.len()],
    received_bytes: AtomicU64,
    open_bytes: AtomicU64,
    unsent: [AtomicU64; UnsentCause::ALL.len()],
    caller_connections: AtomicU64,
    accepted_peer_connections: AtomicU64,
    accepts_failed: AtomicU64,
    calls_unqueued: AtomicU64,
    peer_messages_lost: AtomicU64,
    slow_connections: AtomicU64,
    requests_unheld: AtomicU64,
}

/// Counts the traffic of this daemon; clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct TrafficMeter {
    totals: Arc<Totals>,
    descriptors_limit: usize,
}

/// Amount that is counted as long as this value lives.
#[derive(Debug)]
pub struct OpenAmount {
    totals: Arc<Totals>,
    cell: fn(&Totals) -> &AtomicU64,
    amount: u64,
}

impl Drop for OpenAmount {
    fn drop(&mut self) {
        (self.cell)(&self.totals).fetch_sub(self.amount, Ordering::Relaxed);
    }
}

impl TrafficMeter {
    /// Creates a meter without counts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the number of descriptors that the process may open, which is shown beside the connections.
    #[must_use]
    pub fn with_descriptors_limit(self, descriptors_limit: usize) -> Self {
        Self { descriptors_limit, ..self }
    }

    /// Runs an exchange, and counts its request while it is open and its result.
    pub async fn measure(
        &self,
        kind: TrafficKind,
        request_bytes: u64,
        exchange: impl Future<Output = Exchange>,
    ) -> Exchange {
        let open = self.count_open(|totals| &totals.open_bytes, request_bytes);
        let result = exchange.await;
        drop(open);
        match &result {
            Exchange::Response(response) => {
                self.count_sent(kind, request_bytes);
                let received_bytes = header_bytes(response.headers()) + response.body().len();
                self.totals.received_bytes.fetch_add(received_bytes as u64, Ordering::Relaxed);
            }
            Exchange::NoResponse => self.count_sent(kind, request_bytes),
            Exchange::NotSent(cause) => {
                self.totals.unsent[*cause as usize].fetch_add(1, Ordering::Relaxed);
            }
        }
        result
    }

    /// Counts the bytes of a message that was sent.
    pub fn count_sent(&self, kind: TrafficKind, bytes: u64) {
        self.totals.sent_bytes[kind as usize].fetch_add(bytes, Ordering::Relaxed);
    }

    /// Counts a connection that could not be accepted.
    pub fn count_failed_accept(&self) {
        self.totals.accepts_failed.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a call that the control thread's queue had no room for.
    pub fn count_unqueued_call(&self) {
        self.totals.calls_unqueued.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts connections that were closed since their clients sent or read too slowly.
    pub fn count_slow_connections(&self, connections: u64) {
        self.totals.slow_connections.fetch_add(connections, Ordering::Relaxed);
    }

    /// Counts a request that was refused since the budget had no room for its bytes.
    pub fn count_unheld_request(&self) {
        self.totals.requests_unheld.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts messages to a peer that were dropped or not delivered.
    pub fn count_lost_messages(&self, messages: u64) {
        self.totals.peer_messages_lost.fetch_add(messages, Ordering::Relaxed);
    }

    /// Counts a connection of a caller until the returned value is dropped.
    #[must_use]
    pub fn open_caller_connection(&self) -> OpenAmount {
        self.count_open(|totals| &totals.caller_connections, 1)
    }

    /// Counts a connection that a peer opened until the returned value is dropped.
    #[must_use]
    pub fn open_peer_connection(&self) -> OpenAmount {
        self.count_open(|totals| &totals.accepted_peer_connections, 1)
    }

    fn count_open(&self, cell: fn(&Totals) -> &AtomicU64, amount: u64) -> OpenAmount {
        cell(&self.totals).fetch_add(amount, Ordering::Relaxed);
        OpenAmount { totals: Arc::clone(&self.totals), cell, amount }
    }

    /// Returns the counts so far. Of the connections it has only those that callers and peers opened.
    #[must_use]
    pub fn totals(&self) -> TrafficTotals {
        let totals = &self.totals;
        let read = |cell: &AtomicU64| cell.load(Ordering::Relaxed);
        TrafficTotals {
            sent_bytes: std::array::from_fn(|kind| read(&totals.sent_bytes[kind])),
            received_bytes: read(&totals.received_bytes),
            open_bytes: read(&totals.open_bytes),
            unsent: std::array::from_fn(|cause| read(&totals.unsent[cause])),
            accepts_failed: read(&totals.accepts_failed),
            calls_unqueued: read(&totals.calls_unqueued),
            peer_messages_lost: read(&totals.peer_messages_lost),
            slow_connections: read(&totals.slow_connections),
            requests_unheld: read(&totals.requests_unheld),
            connections: OpenConnections {
                callers: read(&totals.caller_connections),
                peers: read(&totals.accepted_peer_connections),
                callers_limit: max_caller_connections(self.descriptors_limit) as u64,
                descriptors_limit: self.descriptors_limit as u64,
                ..OpenConnections::default()
            },
        }
    }
}

fn header_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len() + HEADER_OVERHEAD_BYTES).sum()
}

/// Returns about how many bytes a request takes on the link.
#[must_use]
pub fn request_bytes(request: &FullRequest) -> u64 {
    let path_bytes = request.uri().path_and_query().map_or(0, |path| path.as_str().len());
    let head_bytes = path_bytes + header_bytes(request.headers());
    head_bytes as u64 + request.body().size_hint().lower()
}

/// Returns about how many bytes a response takes on the link.
#[must_use]
pub fn response_bytes(response: &FullResponse) -> u64 {
    header_bytes(response.headers()) as u64 + response.body().size_hint().lower()
}
