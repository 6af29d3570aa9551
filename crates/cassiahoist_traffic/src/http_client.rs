//! HTTP client with connection pools.
//!
//! Distinguishes requests that were certainly not sent from those that may have arrived.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Response;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use rustc_hash::FxHashMap;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::{Instant, timeout_at};

use crate::protocol::FullRequest;

/// Time for a connection to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Default limit of open connections to one address, idle ones included.
const DEFAULT_MAX_CONNECTIONS: usize = 32;

/// Size of a connection's read buffer, in bytes.
///
/// A holder keeps thousands of connections, and most responses are smaller. Larger ones take several reads.
const READ_BUFFER_BYTES: usize = 2_048;

/// Smallest number of addresses at which unused pools are removed.
const MIN_PRUNE_LEN: usize = 256;

/// Result of a request.
#[derive(Debug)]
pub enum Exchange {
    /// The complete response, whatever its status.
    Response(Response<Bytes>),
    /// The request was certainly not sent; it can be retried safely.
    NotSent,
    /// The request may have arrived, but no complete response was received.
    NoResponse,
}

type Connection = SendRequest<Full<Bytes>>;

/// Connections to one address.
#[derive(Debug)]
struct Pool {
    /// One permit for each connection that may be in use.
    permits: Semaphore,
    /// Connections without a request in progress; the peer may have closed them.
    idle: Mutex<Vec<Connection>>,
}

impl Pool {
    fn lock_idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an idle connection that is still usable. Drops unusable ones found before it.
    fn pop_idle(&self) -> Option<Connection> {
        let mut idle = self.lock_idle();
        while let Some(connection) = idle.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns whether no request is in progress and no idle connection is open.
    fn is_unused(&self, max_connections: usize) -> bool {
        self.permits.available_permits() == max_connections
            && self.lock_idle().iter().all(Connection::is_closed)
    }
}

/// Connection pools by address; unused ones are removed as their number grows.
#[derive(Debug)]
struct Pools {
    by_address: FxHashMap<String, Arc<Pool>>,
    /// Number of pools at which unused ones are next removed.
    prune_at: usize,
}

/// HTTP/1 client with a bounded connection pool for each address; clones share the pools.
#[derive(Clone, Debug)]
pub struct HttpClient {
    pools: Arc<Mutex<Pools>>,
    max_connections: usize,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// Creates a client without connections and with the default limit for each address.
    #[must_use]
    pub fn new() -> Self {
        let pools = Pools { by_address: FxHashMap::default(), prune_at: MIN_PRUNE_LEN };
        Self { pools: Arc::new(Mutex::new(pools)), max_connections: DEFAULT_MAX_CONNECTIONS }
    }

    /// Sets the limit of open connections to one address.
    ///
    /// Requests beyond it wait for a connection, within their own timeouts.
    #[must_use]
    pub fn with_max_connections(self, max_connections: usize) -> Self {
        Self { max_connections, ..self }
    }

    /// Sends a request and waits for the complete response.
    ///
    /// `timeout` covers the wait for a connection, its opening and the response.
    pub async fn exchange(&self, address: &str, request: FullRequest, timeout: Duration) -> Exchange {
        self.exchange_if(address, request, timeout, || true).await
    }

    /// Like [`Self::exchange`], but sends the request only if `may_send` returns true just before.
    ///
    /// Timers do not advance while the process is suspended, so `timeout` alone lets a request leave late.
    pub async fn exchange_if(
        &self,
        address: &str,
        request: FullRequest,
        timeout: Duration,
        may_send: impl Fn() -> bool,
    ) -> Exchange {
        let deadline = Instant::now() + timeout;
        let pool = self.get_or_create_pool(address);
        let Ok(Ok(_permit)) = timeout_at(deadline, pool.permits.acquire()).await else {
            return Exchange::NotSent;
        };
        let connected = match pool.pop_idle() {
            Some(connection) => Some(connection),
            None => connect(address, deadline).await,
        };
        let Some(mut connection) = connected else { return Exchange::NotSent };
        let is_ready = timeout_at(deadline, connection.ready()).await;
        if !matches!(is_ready, Ok(Ok(()))) {
            return Exchange::NotSent;
        }
        if !may_send() {
            pool.lock_idle().push(connection);
            return Exchange::NotSent;
        }
        match timeout_at(deadline, exchange_on(&mut connection, request)).await {
            Ok(Ok(response)) => {
                pool.lock_idle().push(connection);
                Exchange::Response(response)
            }
            // The connection closed before the request was written to it.
            Ok(Err(error)) if error.is_canceled() => Exchange::NotSent,
            Ok(Err(_)) => Exchange::NoResponse,
            Err(_elapsed) => {
                // Other idle connections to this address may be dead as well.
                pool.lock_idle().clear();
                Exchange::NoResponse
            }
        }
    }

    /// Returns the pool of an address. Before it adds one, it may remove unused ones.
    fn get_or_create_pool(&self, address: &str) -> Arc<Pool> {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(pool) = pools.by_address.get(address) {
            return Arc::clone(pool);
        }
        if pools.by_address.len() >= pools.prune_at {
            pools.by_address.retain(|_, pool| !pool.is_unused(self.max_connections));
            pools.prune_at = MIN_PRUNE_LEN.max(pools.by_address.len() * 2);
        }
        let pool = Arc::new(Pool { permits: Semaphore::new(self.max_connections), idle: Mutex::default() });
        pools.by_address.insert(address.into(), Arc::clone(&pool));
        pool
    }
}

async fn exchange_on(connection: &mut Connection, request: FullRequest) -> hyper::Result<Response<Bytes>> {
    let (parts, body) = connection.send_request(request).await?.into_parts();
    let bytes = body.collect().await?.to_bytes();
    Ok(Response::from_parts(parts, bytes))
}

async fn connect(address: &str, deadline: Instant) -> Option<Connection> {
    let connect_deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let stream = timeout_at(connect_deadline, TcpStream::connect(address)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let mut builder = Builder::new();
    builder.read_buf_exact_size(Some(READ_BUFFER_BYTES));
    let (sender, connection) = builder.handshake(TokioIo::new(stream)).await.ok()?;
    drop(tokio::spawn(connection));
    Some(sender)
}
