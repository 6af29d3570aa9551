//! Tests the connection limit of the HTTP client over loopback, and requests whose time has passed.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use cassiahoist_traffic::caller_server::text_response;
use cassiahoist_traffic::http_client::{Exchange, HttpClient};
use cassiahoist_traffic::protocol::FullRequest;
use hyper::Request;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// Time that the server takes for each request.
const RESPONSE_TIME: Duration = Duration::from_millis(20);

/// Answers each request after [`RESPONSE_TIME`]; counts the connections opened.
async fn serve(listener: TcpListener, opened: Arc<AtomicUsize>) {
    while let Ok((stream, _)) = listener.accept().await {
        opened.fetch_add(1, Ordering::Relaxed);
        let service = service_fn(|_request| async {
            tokio::time::sleep(RESPONSE_TIME).await;
            Ok::<_, Infallible>(text_response(200, "text/plain", String::new()))
        });
        let connection =
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        drop(tokio::spawn(connection));
    }
}

fn request() -> FullRequest {
    Request::builder().uri("/").header("host", "host").body(http_body_util::Full::default()).unwrap()
}

#[tokio::test]
async fn connections_to_one_address_stay_within_the_limit() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let opened = Arc::new(AtomicUsize::new(0));
    drop(tokio::spawn(serve(listener, Arc::clone(&opened))));
    let client = HttpClient::new().with_max_connections(3);
    let exchanges: Vec<_> = (0..12)
        .map(|_| {
            let (client, address) = (client.clone(), address.clone());
            tokio::spawn(async move { client.exchange(&address, request(), Duration::from_secs(10)).await })
        })
        .collect();
    for exchange in exchanges {
        assert!(matches!(exchange.await.unwrap(), Exchange::Response(_)));
    }
    assert_eq!(opened.load(Ordering::Relaxed), 3);
}

#[tokio::test]
async fn a_request_without_a_connection_in_time_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(tokio::spawn(serve(listener, Arc::default())));
    let client = HttpClient::new().with_max_connections(1);
    let (first_client, first_address) = (client.clone(), address.clone());
    let first = tokio::spawn(async move {
        first_client.exchange(&first_address, request(), Duration::from_secs(10)).await
    });
    tokio::time::sleep(RESPONSE_TIME / 4).await;
    let second = client.exchange(&address, request(), RESPONSE_TIME / 10).await;
    assert!(matches!(second, Exchange::NotSent));
    assert!(matches!(first.await.unwrap(), Exchange::Response(_)));
}

/// The process was suspended after an order was issued, and its timers did not advance meanwhile.
///
/// Another daemon may hold the slice now, so the order must not leave.
#[tokio::test]
async fn request_whose_time_has_passed_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let answered = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&answered);
    drop(tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let count = Arc::clone(&count);
            let service = service_fn(move |_request| {
                count.fetch_add(1, Ordering::Relaxed);
                async { Ok::<_, Infallible>(text_response(200, "text/plain", String::new())) }
            });
            let connection =
                hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            drop(tokio::spawn(connection));
        }
    }));
    let client = HttpClient::new();
    let late = client.exchange_if(&address, request(), Duration::from_secs(10), || false).await;
    assert!(matches!(late, Exchange::NotSent));
    let timely = client.exchange_if(&address, request(), Duration::from_secs(10), || true).await;
    assert!(matches!(timely, Exchange::Response(_)));
    assert_eq!(answered.load(Ordering::Relaxed), 1);
}
