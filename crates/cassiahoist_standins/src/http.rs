//! A small HTTP server and client for stand-ins.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::handshake;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

/// A whole request.
pub type WholeRequest = Request<Bytes>;

/// A whole answer.
pub type WholeResponse = Response<Full<Bytes>>;

/// Answers requests of one listening address.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request; nothing leaves the connection silent for good.
    fn handle(&self, request: WholeRequest) -> impl Future<Output = Option<WholeResponse>> + Send;

    /// Tells whether another connection is accepted, given how many are open.
    fn accepts(&self, _open: u32) -> bool {
        true
    }
}

/// Serves a handler at an address for as long as the process runs.
///
/// # Errors
/// The address can't be listened at.
pub async fn serve<H: Handler>(address: SocketAddr, handler: Arc<H>) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let open = Arc::strong_count(&handler) as u32 - 1;
        if !handler.accepts(open) {
            continue;
        }
        let handler = Arc::clone(&handler);
        drop(tokio::spawn(serve_connection(stream, handler)));
    }
}

async fn serve_connection<H: Handler>(stream: TcpStream, handler: Arc<H>) {
    let service = service_fn(|request: Request<Incoming>| {
        let handler = &handler;
        async move {
            let (parts, body) = request.into_parts();
            let bytes = body.collect().await.map(http_body_util::Collected::to_bytes).unwrap_or_default();
            match handler.handle(Request::from_parts(parts, bytes)).await {
                Some(response) => Ok::<_, Infallible>(response),
                None => std::future::pending().await,
            }
        }
    });
    // A caller that breaks off ends its connection; there is nothing to report.
    let _ended =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

/// Gives an answer with a status and a body.
#[must_use]
pub fn reply(status: u16, body: impl Into<Bytes>) -> WholeResponse {
    Response::builder().status(status).body(Full::new(body.into())).unwrap_or_default()
}

/// Finds a parameter in a query.
#[must_use]
pub fn query<'q>(request: &'q WholeRequest, name: &str) -> Option<&'q str> {
    let query = request.uri().query()?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// Sends one request over a connection of its own; nothing if no whole answer comes in time.
pub async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Option<Response<Bytes>> {
    let exchange = async {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (mut sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        drop(tokio::spawn(connection));
        let response = sender.send_request(request).await.ok()?;
        let (parts, body) = response.into_parts();
        Some(Response::from_parts(parts, body.collect().await.ok()?.to_bytes()))
    };
    tokio::time::timeout(limit, exchange).await.ok()?
}

/// Gets a page.
pub async fn get(address: SocketAddr, path: &str) -> Option<Response<Bytes>> {
    let request =
        Request::get(path).header("host", address.to_string()).body(Full::new(Bytes::new())).ok()?;
    call(address, request, Duration::from_secs(2)).await
}

/// Posts JSON.
pub async fn post(address: SocketAddr, path: &str, json: String) -> Option<Response<Bytes>> {
    let request =
        Request::post(path).header("host", address.to_string()).body(Full::new(json.into())).ok()?;
    call(address, request, Duration::from_secs(2)).await
}
