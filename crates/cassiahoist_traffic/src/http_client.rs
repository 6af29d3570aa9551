//! A small pool of HTTP connections that tells sent from not sent.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use rustc_hash::FxHashMap;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Idle connections kept to one address.
const MAX_IDLE_PER_ADDRESS: usize = 16;

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

/// Connections to many addresses.
#[derive(Clone, Debug, Default)]
pub struct HttpClient {
    idle: Arc<Mutex<FxHashMap<String, Vec<Connection>>>>,
}

impl HttpClient {
    /// Creates a client without connections.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and waits for its whole answer, no longer than `limit`.
    ///
    /// `may_send` is asked after the connection stands, just before bytes leave.
    pub async fn exchange(
        &self,
        address: &str,
        request: Request<Full<Bytes>>,
        limit: Duration,
        may_send: impl Fn() -> bool,
    ) -> Exchange {
        let Some(mut connection) = self.take(address).await else {
            return Exchange::NotSent;
        };
        if !may_send() {
            self.put_back(address, connection);
            return Exchange::NotSent;
        }
        let exchange = async {
            let response = connection.send_request(request).await.ok()?;
            let (parts, body) = response.into_parts();
            let bytes = body.collect().await.ok()?.to_bytes();
            Some(Response::from_parts(parts, bytes))
        };
        match timeout(limit, exchange).await {
            Ok(Some(response)) => {
                self.put_back(address, connection);
                Exchange::Answered(response)
            }
            Ok(None) | Err(_) => Exchange::Lost,
        }
    }

    async fn take(&self, address: &str) -> Option<Connection> {
        loop {
            let idle = self.pop_idle(address);
            match idle {
                Some(connection) if connection.is_ready() => return Some(connection),
                Some(_) => {}
                None => return connect(address).await,
            }
        }
    }

    fn pop_idle(&self, address: &str) -> Option<Connection> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).get_mut(address)?.pop()
    }

    fn put_back(&self, address: &str, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address.into()).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(connection);
        }
    }
}

async fn connect(address: &str) -> Option<Connection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    drop(tokio::spawn(connection));
    Some(sender)
}
