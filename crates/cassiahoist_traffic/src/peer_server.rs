//! gRPC server for messages of peers.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use cassiahoist_core::prelude::*;
use cassiahoist_wire::peer::decode_delivery;
use cassiahoist_wire::peer_server::{Peer, PeerServer};
use cassiahoist_wire::{DeliverReply, DeliverRequest};
use cassiahoist_world::event::Event;
use hyper::http;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, Sleep};
use tonic::body::Body;
use tonic::codegen::Service;
use tonic::codegen::tokio_stream::Stream;
use tonic::server::NamedService;
use tonic::transport::server::{Connected, TcpIncoming};
use tonic::{Request, Response, Status};

use crate::caller_server::ACCEPT_RETRY_DELAY;
use crate::connections::{Admission, Connections, ServedConnection};
use crate::control_link::ControlLink;
use crate::metered_stream::MeteredStream;
use crate::pace::Phase;
use crate::recent_deliveries::{DeliveryStatus, RecentDeliveries};
use crate::request_budget::{HeldBody, RequestBudget};
use crate::traffic_meter::{OpenAmount, TrafficMeter};

/// Largest delivery of a peer, in bytes.
const MAX_DELIVERY_BYTES: usize = 4 << 20;

/// Default budget of bytes of deliveries that have not arrived completely.
const DEFAULT_BUDGET_BYTES: usize = 16 << 20;

/// Default limit of connections of peers.
const DEFAULT_MAX_CONNECTIONS: usize = 1_024;

/// Time for a delivery to arrive and to be passed on.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(15);

/// Deliveries that may arrive at a time on one connection.
const MAX_STREAMS: u32 = 64;

/// Largest header of a delivery, in bytes.
const MAX_HEADER_BYTES: u32 = 16 * 1_024;

/// Receives messages of peers and forwards them to control.
#[derive(Clone, Debug)]
pub struct PeerEndpoint {
    control: ControlLink,
    recent: Arc<Mutex<RecentDeliveries>>,
    meter: TrafficMeter,
    connections: Connections,
    budget: RequestBudget,
}

impl PeerEndpoint {
    /// Creates an endpoint that forwards messages to `control`.
    #[must_use]
    pub fn new(control: ControlLink) -> Self {
        Self {
            control,
            recent: Arc::default(),
            meter: TrafficMeter::new(),
            connections: Connections::new(DEFAULT_MAX_CONNECTIONS),
            budget: RequestBudget::new(DEFAULT_BUDGET_BYTES),
        }
    }

    /// Sets the meter that counts the connections.
    #[must_use]
    pub fn with_meter(self, meter: TrafficMeter) -> Self {
        Self { meter, ..self }
    }

    /// Sets the limit of connections.
    #[must_use]
    pub fn with_max_connections(self, max_connections: usize) -> Self {
        Self { connections: Connections::new(max_connections), ..self }
    }

    /// Sets the budget of bytes of deliveries that have not arrived completely.
    #[must_use]
    pub fn with_budget(self, budget: RequestBudget) -> Self {
        Self { budget, ..self }
    }

    /// Serves peers until the process ends.
    ///
    /// # Errors
    /// Returns [`HoistError::Unreachable`] if the server fails.
    pub async fn serve(self, listener: TcpListener) -> Result<(), HoistError> {
        let incoming = PeerConnections::new(listener, self.meter.clone(), self.connections.clone());
        let budget = self.budget.clone();
        let server = PeerServer::new(self).max_decoding_message_size(MAX_DELIVERY_BYTES);
        let served = tonic::transport::Server::builder()
            .max_concurrent_streams(MAX_STREAMS)
            .http2_max_header_list_size(MAX_HEADER_BYTES)
            .timeout(DELIVERY_TIMEOUT)
            .add_service(BudgetedService { inner: server, budget })
            .serve_with_incoming(incoming)
            .await;
        served.map_err(|error| HoistError::Unreachable(error.to_string()))
    }
}

/// Counts the bytes of requests against a budget until they are complete.
#[derive(Clone, Debug)]
struct BudgetedService<S> {
    inner: S,
    budget: RequestBudget,
}

impl<S: NamedService> NamedService for BudgetedService<S> {
    const NAME: &'static str = S::NAME;
}

impl<S: Service<http::Request<Body>>> Service<http::Request<Body>> for BudgetedService<S> {
    type Response = S::Response;
    type Error = S::Error;
    type Future = S::Future;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, req: http::Request<Body>) -> S::Future {
        let held = self.budget.open();
        self.inner.call(req.map(|body| Body::new(HeldBody::new(body, held))))
    }
}

/// Accepted connections of peers. Pauses after a connection could not be accepted.
///
/// The server itself would try again at once, and keep a processor busy while no descriptor is free.
#[derive(Debug)]
struct PeerConnections {
    incoming: TcpIncoming,
    /// The pause in progress; `None` while connections are accepted.
    pause: Option<Pin<Box<Sleep>>>,
    meter: TrafficMeter,
    connections: Connections,
}

impl PeerConnections {
    fn new(listener: TcpListener, meter: TrafficMeter, connections: Connections) -> Self {
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        Self { incoming, pause: None, meter, connections }
    }

    /// Gives a connection a place, that of one whose peer has been silent if need be. `None` if there is none.
    fn admit(&self, stream: TcpStream) -> Option<CountedConnection> {
        let progress = Arc::default();
        let admission = self.connections.admit(Phase::Receiving, &progress, Instant::now());
        let Admission::Serve(served, signals) = admission else { return None };
        let stream = MeteredStream::new(stream, progress).with_abort(signals.abort);
        Some(CountedConnection { stream, _served: served, _open: self.meter.open_peer_connection() })
    }
}

/// A connection that is counted as long as it is open.
#[derive(Debug)]
struct CountedConnection {
    stream: MeteredStream,
    _served: ServedConnection,
    _open: OpenAmount,
}

impl Connected for CountedConnection {
    type ConnectInfo = <TcpStream as Connected>::ConnectInfo;

    fn connect_info(&self) -> Self::ConnectInfo {
        self.stream.stream().connect_info()
    }
}

impl AsyncRead for CountedConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CountedConnection {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

impl Stream for PeerConnections {
    type Item = io::Result<CountedConnection>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            if let Some(pause) = &mut self.pause {
                ready!(pause.as_mut().poll(cx));
                self.pause = None;
            }
            match ready!(Pin::new(&mut self.incoming).poll_next(cx)) {
                Some(Err(_not_accepted)) => {
                    self.meter.count_failed_accept();
                    self.pause = Some(Box::pin(tokio::time::sleep(ACCEPT_RETRY_DELAY)));
                }
                // A connection without a place is closed at once; its peer opens another one later.
                Some(Ok(stream)) => {
                    if let Some(connection) = self.admit(stream) {
                        return Poll::Ready(Some(Ok(connection)));
                    }
                }
                None => return Poll::Ready(None),
            }
        }
    }
}

#[tonic::async_trait]
impl Peer for PeerEndpoint {
    async fn deliver(&self, request: Request<DeliverRequest>) -> Result<Response<DeliverReply>, Status> {
        let delivery = decode_delivery(&request.into_inner())
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let from = delivery.sender;
        let status = {
            let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
            recent.record(&from.incarnation, delivery.number, Instant::now())
        };
        if status == DeliveryStatus::Repeated {
            return Ok(Response::new(DeliverReply {}));
        }
        for error in delivery.unreadable {
            let (from, reason) = (from.clone(), error.to_string());
            self.control.send(Event::UnreadablePeerMessage { from, reason });
        }
        for message in delivery.messages {
            self.control.send(Event::PeerMessageReceived { from: from.clone(), message });
        }
        Ok(Response::new(DeliverReply {}))
    }
}
