//! A small pool of HTTP connections that tells sent from not sent.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Response;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rustc_hash::FxHashMap;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::{Instant, timeout_at};

use crate::protocol::WholeRequest;

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Connections to one address at a time, idle ones included, unless another number is asked for.
const MAX_CONNECTIONS: usize = 32;

/// Addresses that are known before those without connections are looked for and forgotten.
const FIRST_SWEEP: usize = 256;

/// How an exchange ended.
#[derive(Debug)]
pub enum Exchange {
    /// The whole answer.
    Answered(Response<Bytes>),
    /// Proved never to have been sent.
    NotSent,
    /// Sent, and no whole answer came in time.
    Lost,
}

type Connection = SendRequest<Full<Bytes>>;

/// Connections to one address.
#[derive(Debug)]
struct Pool {
    /// One permit for each connection that may be open.
    permits: Semaphore,
    idle: Mutex<Vec<Connection>>,
}

impl Pool {
    fn idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pop_idle(&self) -> Option<Connection> {
        let mut idle = self.idle();
        while let Some(connection) = idle.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Tells whether nothing is open or under way.
    fn is_unused(&self, max_connections: usize) -> bool {
        self.permits.available_permits() == max_connections && self.idle().iter().all(Connection::is_closed)
    }
}

/// Pools by address.
#[derive(Debug)]
struct Pools {
    by_address: FxHashMap<String, Arc<Pool>>,
    /// Number of addresses at which unused ones are forgotten.
    sweep_at: usize,
}

/// Connections to many addresses.
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
    /// Creates a client without connections.
    #[must_use]
    pub fn new() -> Self {
        let pools = Pools { by_address: FxHashMap::default(), sweep_at: FIRST_SWEEP };
        Self { pools: Arc::new(Mutex::new(pools)), max_connections: MAX_CONNECTIONS }
    }

    /// Sets how many connections to one address may be open at a time; later requests wait for one.
    #[must_use]
    pub fn with_max_connections(self, max_connections: usize) -> Self {
        Self { max_connections, ..self }
    }

    /// Sends a request and waits for its whole answer, no longer than `limit`.
    pub async fn exchange(&self, address: &str, request: WholeRequest, limit: Duration) -> Exchange {
        let end = Instant::now() + limit;
        let pool = self.pool(address);
        let Ok(Ok(_permit)) = timeout_at(end, pool.permits.acquire()).await else { return Exchange::NotSent };
        let connected = match pool.pop_idle() {
            Some(connection) => Some(connection),
            None => connect(address, end).await,
        };
        let Some(mut connection) = connected else { return Exchange::NotSent };
        match timeout_at(end, exchange_on(&mut connection, request)).await {
            Ok(Ok(response)) => {
                pool.idle().push(connection);
                Exchange::Answered(response)
            }
            // The connection was closed before the request was written to it.
            Ok(Err(error)) if error.is_canceled() => Exchange::NotSent,
            Ok(Err(_)) => Exchange::Lost,
            Err(_elapsed) => {
                // Others on this address may have gone silent as well.
                pool.idle().clear();
                Exchange::Lost
            }
        }
    }

    fn pool(&self, address: &str) -> Arc<Pool> {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(pool) = pools.by_address.get(address) {
            return Arc::clone(pool);
        }
        if pools.by_address.len() >= pools.sweep_at {
            pools.by_address.retain(|_, pool| !pool.is_unused(self.max_connections));
            pools.sweep_at = FIRST_SWEEP.max(pools.by_address.len() * 2);
        }
        let pool = Arc::new(Pool { permits: Semaphore::new(self.max_connections), idle: Mutex::default() });
        pools.by_address.insert(address.into(), Arc::clone(&pool));
        pool
    }
}

async fn exchange_on(connection: &mut Connection, request: WholeRequest) -> hyper::Result<Response<Bytes>> {
    connection.ready().await?;
    let (parts, body) = connection.send_request(request).await?.into_parts();
    let bytes = body.collect().await?.to_bytes();
    Ok(Response::from_parts(parts, bytes))
}

async fn connect(address: &str, end: Instant) -> Option<Connection> {
    let limit = end.min(Instant::now() + CONNECT_TIMEOUT);
    let stream = timeout_at(limit, TcpStream::connect(address)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    drop(tokio::spawn(connection));
    Some(sender)
}
