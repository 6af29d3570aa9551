//! HTTP client with connection pools.
//!
//! Distinguishes requests that were certainly not sent from those that may have arrived.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use cassiahoist_world::unsent::UnsentCause;
use http_body_util::{BodyExt, Full};
use hyper::Response;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use nix::errno::Errno;
use rustc_hash::FxHashMap;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout_at};

use crate::protocol::FullRequest;

/// Time for a connection to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest time by which a timer that fired late extends a wait.
const MAX_LATE_EXTENSION: Duration = Duration::from_millis(1_000);

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
    NotSent(UnsentCause),
    /// The request may have arrived, but no complete response was received.
    NoResponse,
}

/// Result of sending a request on one connection.
#[derive(Debug)]
enum SendOutcome {
    /// The exchange is over.
    Completed(Exchange),
    /// The connection closed before any part of the request was written.
    Unwritten(FullRequest),
}

type Connection = SendRequest<Full<Bytes>>;

/// Connections to one address.
#[derive(Debug)]
struct Pool {
    address: Arc<str>,
    /// One permit for each connection that may be in use.
    permits: Arc<Semaphore>,
    /// Keys of its idle connections in [`Pools::idle`], in the order of their last use.
    idle: VecDeque<u64>,
}

/// A connection without a request in progress; the peer may have closed it.
#[derive(Debug)]
struct IdleConnection {
    address: Arc<str>,
    connection: Connection,
}

/// Connection pools by address; unused ones are removed as their number grows.
#[derive(Debug)]
struct Pools {
    by_address: FxHashMap<Arc<str>, Pool>,
    /// Idle connections to all addresses, in the order of their last use.
    idle: BTreeMap<u64, IdleConnection>,
    /// Key of the latest idle connection.
    last_idle_key: u64,
    /// Number of requests that wait until another connection closes.
    waiting: usize,
    /// Number of pools at which unused ones are next removed.
    prune_at: usize,
}

impl Pools {
    /// Takes the idle connection to an address that was used last. Drops closed ones found before it.
    fn pop_idle(&mut self, address: &str) -> Option<Connection> {
        let pool = self.by_address.get_mut(address)?;
        while let Some(key) = pool.idle.pop_back() {
            if let Some(idle) = self.idle.remove(&key)
                && idle.connection.is_ready()
            {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Keeps a connection for later requests, unless a request waits for the close of one.
    fn push_idle(&mut self, address: &str, connection: Connection) {
        if self.waiting > 0 {
            return;
        }
        let Some(pool) = self.by_address.get_mut(address) else { return };
        self.last_idle_key += 1;
        pool.idle.push_back(self.last_idle_key);
        let idle = IdleConnection { address: Arc::clone(&pool.address), connection };
        self.idle.insert(self.last_idle_key, idle);
    }

    /// Closes all idle connections to an address.
    fn close_idle(&mut self, address: &str) {
        let Some(pool) = self.by_address.get_mut(address) else { return };
        for key in pool.idle.drain(..) {
            self.idle.remove(&key);
        }
    }

    /// Closes the open connection, to any address, that has been idle for the longest time.
    fn close_least_recently_used(&mut self) {
        while let Some((_, idle)) = self.idle.pop_first() {
            // The keys of a pool are in the same order, so this one is its first.
            if let Some(pool) = self.by_address.get_mut(&idle.address) {
                pool.idle.pop_front();
            }
            if !idle.connection.is_closed() {
                return;
            }
        }
    }

    /// Returns the permits of an address. Before it adds a pool, it may remove unused ones.
    fn get_or_create_permits(&mut self, address: &str, max_connections: usize) -> Arc<Semaphore> {
        if let Some(pool) = self.by_address.get(address) {
            return Arc::clone(&pool.permits);
        }
        if self.by_address.len() >= self.prune_at {
            self.remove_unused(max_connections);
            self.prune_at = MIN_PRUNE_LEN.max(self.by_address.len() * 2);
        }
        let permits = Arc::new(Semaphore::new(max_connections));
        let address: Arc<str> = address.into();
        let pool =
            Pool { address: Arc::clone(&address), permits: Arc::clone(&permits), idle: VecDeque::new() };
        self.by_address.insert(address, pool);
        permits
    }

    /// Removes pools without a request in progress and without an open connection.
    fn remove_unused(&mut self, max_connections: usize) {
        self.idle.retain(|_, idle| !idle.connection.is_closed());
        let idle = &self.idle;
        self.by_address.retain(|_, pool| {
            pool.idle.retain(|key| idle.contains_key(key));
            !pool.idle.is_empty() || pool.permits.available_permits() < max_connections
        });
    }
}

/// HTTP/1 client with a bounded connection pool for each address; clones share the pools.
///
/// A limit over all addresses can be set too. Connections that are being opened or closed count towards it.
#[derive(Clone, Debug)]
pub struct HttpClient {
    pools: Arc<Mutex<Pools>>,
    max_connections: usize,
    /// One permit for each connection that may be open, over all addresses.
    open_permits: Arc<Semaphore>,
    max_open_connections: usize,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

/// A request that waits until another connection closes; dropping it ends the wait.
#[derive(Debug)]
struct WaitingRequest<'c> {
    client: &'c HttpClient,
}

impl<'c> WaitingRequest<'c> {
    /// Registers a waiting request and closes an idle connection for it.
    fn new(client: &'c HttpClient) -> Self {
        let mut pools = client.lock_pools();
        pools.waiting += 1;
        pools.close_least_recently_used();
        Self { client }
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        self.client.lock_pools().waiting -= 1;
    }
}

impl HttpClient {
    /// Creates a client without connections, with the default limit for each address and none over all of them.
    #[must_use]
    pub fn new() -> Self {
        let pools = Pools {
            by_address: FxHashMap::default(),
            idle: BTreeMap::new(),
            last_idle_key: 0,
            waiting: 0,
            prune_at: MIN_PRUNE_LEN,
        };
        Self {
            pools: Arc::new(Mutex::new(pools)),
            max_connections: DEFAULT_MAX_CONNECTIONS,
            open_permits: Arc::new(Semaphore::new(Semaphore::MAX_PERMITS)),
            max_open_connections: Semaphore::MAX_PERMITS,
        }
    }

    /// Sets the limit of open connections to one address.
    ///
    /// Requests beyond it wait for a connection, each for its own timeout at most.
    #[must_use]
    pub fn with_max_connections(self, max_connections: usize) -> Self {
        Self { max_connections, ..self }
    }

    /// Sets the limit of open connections to all addresses together.
    ///
    /// At the limit the least recently used idle connection is closed for a new one. If none is idle, requests wait
    /// for their own timeouts at most.
    #[must_use]
    pub fn with_max_open_connections(self, max_open_connections: usize) -> Self {
        let max_open_connections = max_open_connections.min(Semaphore::MAX_PERMITS);
        let open_permits = Arc::new(Semaphore::new(max_open_connections));
        Self { open_permits, max_open_connections, ..self }
    }

    /// Returns the limit of open connections to all addresses together.
    #[must_use]
    pub fn max_open_connections(&self) -> usize {
        self.max_open_connections
    }

    /// Returns the number of open connections, those that are being opened or closed included.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.max_open_connections - self.open_permits.available_permits()
    }

    fn lock_pools(&self) -> MutexGuard<'_, Pools> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a request and waits for the complete response.
    ///
    /// The request waits for `timeout` at most until a connection may be used or opened, then for `timeout` at most until
    /// the response is complete. So the remote side has the same time however long the request waited here.
    ///
    /// If an idle connection closes before the request is written to it, the request is sent on a new one.
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
        let wait_deadline = Instant::now() + timeout;
        let permits = self.lock_pools().get_or_create_permits(address, self.max_connections);
        let Ok(Ok(_permit)) = timeout_at(wait_deadline, permits.acquire()).await else {
            return Exchange::NotSent(UnsentCause::NoFreeConnection);
        };
        let idle = self.lock_pools().pop_idle(address);
        let request = match idle {
            None => request,
            Some(connection) => {
                let deadline = Instant::now() + timeout;
                match self.send(address, connection, request, deadline, &may_send).await {
                    SendOutcome::Completed(exchange) => return exchange,
                    SendOutcome::Unwritten(request) => request,
                }
            }
        };
        let open_permit = match self.acquire_open_permit(wait_deadline).await {
            Ok(open_permit) => open_permit,
            Err(cause) => return Exchange::NotSent(cause),
        };
        let deadline = Instant::now() + timeout;
        let connection = match connect_in_time(address, open_permit, deadline).await {
            Ok(connection) => connection,
            Err(cause) => return Exchange::NotSent(cause),
        };
        match self.send(address, connection, request, deadline, &may_send).await {
            SendOutcome::Completed(exchange) => exchange,
            SendOutcome::Unwritten(_) => Exchange::NotSent(UnsentCause::ConnectionClosed),
        }
    }

    /// Sends a request on a connection, and keeps the connection for later requests after a response.
    async fn send(
        &self,
        address: &str,
        mut connection: Connection,
        request: FullRequest,
        deadline: Instant,
        may_send: &impl Fn() -> bool,
    ) -> SendOutcome {
        match timeout_at(deadline, connection.ready()).await {
            Ok(Ok(())) => {}
            Ok(Err(_closed)) => return SendOutcome::Unwritten(request),
            Err(_elapsed) => {
                return SendOutcome::Completed(Exchange::NotSent(UnsentCause::ConnectTimeout));
            }
        }
        if !may_send() {
            self.lock_pools().push_idle(address, connection);
            return SendOutcome::Completed(Exchange::NotSent(UnsentCause::Expired));
        }
        let Some(outcome) = finish_by(deadline, exchange_on(&mut connection, request)).await else {
            // Other idle connections to this address may be dead as well.
            self.lock_pools().close_idle(address);
            return SendOutcome::Completed(Exchange::NoResponse);
        };
        if let SendOutcome::Completed(Exchange::Response(_)) = outcome {
            self.lock_pools().push_idle(address, connection);
        }
        outcome
    }

    /// Returns the permit to open a connection within the limit over all addresses, waiting for it if necessary.
    async fn acquire_open_permit(&self, wait_deadline: Instant) -> Result<OwnedSemaphorePermit, UnsentCause> {
        match Arc::clone(&self.open_permits).try_acquire_owned() {
            Ok(open_permit) => Ok(open_permit),
            Err(_none_left) => self.wait_for_open_permit(wait_deadline).await,
        }
    }

    /// Waits until a connection to any address closes, after closing an idle one.
    async fn wait_for_open_permit(
        &self,
        wait_deadline: Instant,
    ) -> Result<OwnedSemaphorePermit, UnsentCause> {
        let _waiting = WaitingRequest::new(self);
        match timeout_at(wait_deadline, Arc::clone(&self.open_permits).acquire_owned()).await {
            Ok(Ok(open_permit)) => Ok(open_permit),
            Ok(Err(_)) | Err(_) => Err(UnsentCause::NoFreeConnection),
        }
    }
}

/// Waits for a future until a deadline; `None` if it is not finished by then.
///
/// If the timer fires late, this process lacked processor time, and what arrived before the deadline may not have been
/// read yet. The wait then goes on for as long as the timer was late, up to [`MAX_LATE_EXTENSION`].
async fn finish_by<F: Future>(deadline: Instant, future: F) -> Option<F::Output> {
    let mut future = pin!(future);
    if let Ok(output) = timeout_at(deadline, &mut future).await {
        return Some(output);
    }
    let now = Instant::now();
    let late_by = now.saturating_duration_since(deadline).min(MAX_LATE_EXTENSION);
    timeout_at(now + late_by, future).await.ok()
}

async fn exchange_on(connection: &mut Connection, request: FullRequest) -> SendOutcome {
    let response = match connection.try_send_request(request).await {
        Ok(response) => response,
        // The request is handed back only if no part of it was written.
        Err(mut error) => {
            return match error.take_message() {
                Some(request) => SendOutcome::Unwritten(request),
                None => SendOutcome::Completed(Exchange::NoResponse),
            };
        }
    };
    let (parts, body) = response.into_parts();
    SendOutcome::Completed(match body.collect().await {
        Ok(body) => Exchange::Response(Response::from_parts(parts, body.to_bytes())),
        Err(_broken) => Exchange::NoResponse,
    })
}

/// Opens a connection until the deadline, and for [`CONNECT_TIMEOUT`] at most.
async fn connect_in_time(
    address: &str,
    open_permit: OwnedSemaphorePermit,
    deadline: Instant,
) -> Result<Connection, UnsentCause> {
    let connect_deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let connected = finish_by(connect_deadline, connect(address, open_permit)).await;
    connected.unwrap_or(Err(UnsentCause::ConnectTimeout))
}

/// Opens a connection, which keeps the permit until its socket is closed.
async fn connect(address: &str, open_permit: OwnedSemaphorePermit) -> Result<Connection, UnsentCause> {
    let stream = TcpStream::connect(address).await.map_err(|error| connect_failure(&error))?;
    // Nagle's algorithm would delay small requests; a connection without the option still works.
    let _unsupported = stream.set_nodelay(true);
    let mut builder = Builder::new();
    builder.read_buf_exact_size(Some(READ_BUFFER_BYTES));
    let (sender, connection) =
        builder.handshake(TokioIo::new(stream)).await.map_err(|_closed| UnsentCause::ConnectionClosed)?;
    drop(tokio::spawn(async move {
        // An error reaches the request in progress.
        let _closed = connection.await;
        drop(open_permit);
    }));
    Ok(sender)
}

fn connect_failure(error: &io::Error) -> UnsentCause {
    match error.raw_os_error().map(Errno::from_raw) {
        Some(Errno::EMFILE | Errno::ENFILE | Errno::ENOBUFS | Errno::ENOMEM | Errno::EADDRNOTAVAIL) => {
            UnsentCause::LocalResources
        }
        Some(Errno::ETIMEDOUT) => UnsentCause::ConnectTimeout,
        _ => UnsentCause::ConnectFailed,
    }
}
