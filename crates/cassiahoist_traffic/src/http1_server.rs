//! Serves HTTP/1 connections of a listener within the limits of its table.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::connections::{ConnectionSignals, Connections, SWEEP_INTERVAL, ServedConnection};
use crate::metered_stream::MeteredStream;
use crate::pace::{ConnectionLimits, Phase};
use crate::traffic_meter::TrafficMeter;

/// Largest head of a request, and most bytes of unread answers of a connection, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1_024;

/// Time for a client to send a request that is refused since all connections are in use, and to read the answer.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Most bytes of a refused body that are read, so that the client can read the answer.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// Size of the receive buffers of callers' and operators' connections, in bytes.
///
/// What they hold counts as memory of the process.
pub const SMALL_RECEIVE_BUFFER_BYTES: u32 = 16 * 1_024;

/// Size of the receive buffers of peers' connections, in bytes. Their deliveries are large, and some peers far away.
pub const LARGE_RECEIVE_BUFFER_BYTES: u32 = 64 * 1_024;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Binds a listener whose connections have receive buffers of a size.
///
/// # Errors
/// The address can't be bound.
pub fn bind_listener(address: SocketAddr, receive_buffer_bytes: u32) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Without it, the buffers are as large as the system makes them.
    let _unsupported = socket.set_recv_buffer_size(receive_buffer_bytes);
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Answers the requests of a listener.
pub(crate) trait Respond {
    /// Body of the answers.
    type Body: Body<Data = Bytes, Error = Infallible> + Send + 'static;

    /// Answers a request that arrives on a connection.
    fn respond(
        &self,
        request: Request<Incoming>,
        served: &ServedConnection,
    ) -> impl Future<Output = Response<Self::Body>> + Send;
}

fn builder(max_head_bytes: usize) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(None);
    // The head's limit bounds the buffers too: hyper reads no further ahead, and stops where answers are not read.
    builder.max_buf_size(max_head_bytes.max(MAX_HEAD_BYTES)).max_header_size(max_head_bytes);
    builder.half_close(false);
    builder
}

/// Serves a connection until the client closes it, its place is needed, it is too slow, or the server stops.
pub(crate) async fn serve_connection<R: Respond>(
    responder: &R,
    stream: MeteredStream,
    served: &ServedConnection,
    signals: ConnectionSignals,
    max_head_bytes: usize,
    mut stop: watch::Receiver<bool>,
) {
    let service = service_fn(move |request: Request<Incoming>| async move {
        let has_body = !request.body().is_end_stream();
        served.set_phase(if has_body { Phase::Receiving } else { Phase::Answering }, Instant::now());
        let response = responder.respond(request, served).await;
        served.set_phase(Phase::Idle, Instant::now());
        Ok::<_, Infallible>(response)
    });
    let builder = builder(max_head_bytes);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let ConnectionSignals { close, mut abort } = signals;
    tokio::select! {
        _closed = connection.as_mut() => return,
        Ok(()) = &mut abort => return,
        Ok(()) = close => {}
        _ = stop.wait_for(|&stop| stop) => {}
    }
    // A request in progress is still answered.
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        _closed = connection => {}
        Ok(()) = abort => {}
    }
}

/// Answers the first request of a connection and closes it, within a second.
pub(crate) async fn serve_refusal<F, A>(stream: MeteredStream, refuse: F)
where
    F: Fn(Request<Incoming>) -> A,
    A: Future<Output = Response<http_body_util::Full<Bytes>>>,
{
    let service = service_fn(|request| {
        let answer = refuse(request);
        async { Ok::<_, Infallible>(answer.await) }
    });
    let mut builder = builder(MAX_HEAD_BYTES);
    let connection = builder.keep_alive(false).serve_connection(TokioIo::new(stream), service);
    let _late = tokio::time::timeout(2 * REFUSAL_TIMEOUT, connection).await;
}

/// Reads a refused body without keeping it, for a second at most.
///
/// A connection that is closed with unread data is reset, and the client may lose the answer.
pub(crate) async fn discard(body: &mut Incoming) {
    let mut discarded_bytes = 0;
    let read_all = async {
        while let Some(Ok(frame)) = http_body_util::BodyExt::frame(&mut *body).await {
            discarded_bytes += frame.data_ref().map_or(0, Bytes::len);
            if discarded_bytes > MAX_DISCARDED_BYTES {
                break;
            }
        }
    };
    let _late = tokio::time::timeout(REFUSAL_TIMEOUT, read_all).await;
}

/// Closes idle and slow connections of a listener, again and again.
pub(crate) async fn close_slow_connections(
    connections: Connections,
    limits: impl Fn() -> ConnectionLimits,
    meter: TrafficMeter,
) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let slow = connections.sweep(&limits(), Instant::now());
        meter.count_slow_connections(slow.len() as u64);
    }
}
