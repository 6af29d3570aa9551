//! Tests the store client with a slow store over loopback.

use std::convert::Infallible;
use std::sync::mpsc::sync_channel;
use std::time::Duration;

use cassiahoist_core::prelude::*;
use cassiahoist_traffic::caller_server::text_response;
use cassiahoist_traffic::clock::MonotonicClock;
use cassiahoist_traffic::control_link::{ControlInput, ControlLink};
use cassiahoist_traffic::protocol::{FullRequest, StorePage, StoreProtocol};
use cassiahoist_traffic::store_client::StoreClient;
use cassiahoist_world::event::Event;
use cassiahoist_world::store::{
    KeySpace, StoreCall, StoreCompletion, StoreFailure, StoreKey, StoreOp, StorePurpose, StoreReply,
    Transaction,
};
use hyper::Request;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// Pages of the listing.
const PAGES: u64 = 4;

/// Time that the store takes for each page.
const PAGE_TIME: Duration = Duration::from_millis(60);

/// Timeout of the call, in milliseconds. It suffices for each page, but not for all of them together.
const TIMEOUT_MS: u64 = 150;

/// A store protocol whose listings come in numbered pages.
#[derive(Clone, Copy, Debug)]
struct NumberedPages;

impl StoreProtocol for NumberedPages {
    fn encode_op(&self, _op: &StoreOp, page: Option<&str>) -> Result<FullRequest, HoistError> {
        let request = Request::builder().uri(format!("/{}", page.unwrap_or("1"))).header("host", "store");
        request
            .body(http_body_util::Full::default())
            .map_err(|error| HoistError::InvalidMessage(error.to_string()))
    }

    fn decode_reply(&self, _op: &StoreOp, _status: u16, body: &[u8]) -> Result<StorePage, StoreFailure> {
        let text = std::str::from_utf8(body).map_err(|_unreadable| StoreFailure::Unknown)?;
        let page: u64 = text.trim_start_matches('/').parse().map_err(|_unreadable| StoreFailure::Unknown)?;
        let reply = StoreReply::Items { items: Vec::new(), revision: page };
        Ok(StorePage { reply, next_after: (page < PAGES).then(|| (page + 1).to_string()) })
    }
}

/// Answers each request with its path after [`PAGE_TIME`].
async fn serve(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let service = service_fn(|request: Request<hyper::body::Incoming>| async move {
            tokio::time::sleep(PAGE_TIME).await;
            Ok::<_, Infallible>(text_response(200, "text/plain", request.uri().path().to_owned()))
        });
        let connection =
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        drop(tokio::spawn(connection));
    }
}

#[tokio::test]
async fn each_page_of_a_listing_gets_the_full_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(tokio::spawn(serve(listener)));
    let clock = MonotonicClock::new();
    let (sender, inputs) = sync_channel(8);
    let client = StoreClient::new(NumberedPages, address, clock, ControlLink::new(sender));
    let issued_at_ms = clock.now_ms();
    let purpose = StorePurpose::LoadProgress;
    let op = StoreOp::List(KeySpace::Progress);
    client.execute(StoreCall { purpose, op, deadline_ms: issued_at_ms + TIMEOUT_MS }, issued_at_ms);
    let input = tokio::task::spawn_blocking(move || inputs.recv_timeout(Duration::from_secs(10)));
    let Ok(ControlInput::Event(Event::StoreCompleted(completion))) = input.await.unwrap() else {
        panic!("the store client reported no completion")
    };
    assert_eq!(completion.outcome, Ok(StoreReply::Items { items: Vec::new(), revision: 1 }));
}

/// A store protocol whose path says whether the operation is a renewal or a removal, which the store answers.
#[derive(Clone, Copy, Debug)]
struct NamedOperations;

impl StoreProtocol for NamedOperations {
    fn encode_op(&self, op: &StoreOp, _page: Option<&str>) -> Result<FullRequest, HoistError> {
        let is_answered = match op {
            StoreOp::RenewLease(_) => true,
            StoreOp::Commit(transaction) => !transaction.deletes.is_empty(),
            _ => false,
        };
        let path = if is_answered { "/answered" } else { "/other" };
        let request = Request::builder().uri(path).header("host", "store");
        request
            .body(http_body_util::Full::default())
            .map_err(|error| HoistError::InvalidMessage(error.to_string()))
    }

    fn decode_reply(&self, _op: &StoreOp, _status: u16, _body: &[u8]) -> Result<StorePage, StoreFailure> {
        Ok(StorePage { reply: StoreReply::LeaseGranted { lease: 7, ttl_ms: 1_500 }, next_after: None })
    }
}

/// Answers renewals and removals at once, and nothing else.
async fn serve_some_operations(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let service = service_fn(|request: Request<hyper::body::Incoming>| async move {
            if request.uri().path() != "/answered" {
                std::future::pending::<()>().await;
            }
            Ok::<_, Infallible>(text_response(200, "text/plain", String::new()))
        });
        let connection =
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        drop(tokio::spawn(connection));
    }
}

/// Lets callers submit more jobs than there are connections, then makes another call. Returns the first outcome.
async fn first_outcome_beside_submissions(purpose: StorePurpose, op: StoreOp) -> StoreCompletion {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(tokio::spawn(serve_some_operations(listener)));
    let clock = MonotonicClock::new();
    let (sender, inputs) = sync_channel(128);
    let client = StoreClient::new(NamedOperations, address, clock, ControlLink::new(sender));
    let issued_at_ms = clock.now_ms();
    let execute = |purpose, op| {
        client.execute(StoreCall { purpose, op, deadline_ms: issued_at_ms + 1_000 }, issued_at_ms);
    };
    for number in 1..=100 {
        execute(StorePurpose::StoreJob(number), StoreOp::Commit(Transaction::default()));
    }
    execute(purpose, op);
    let input = tokio::task::spawn_blocking(move || inputs.recv_timeout(Duration::from_secs(10)));
    let Ok(ControlInput::Event(Event::StoreCompleted(first))) = input.await.unwrap() else {
        panic!("the store client reported no completion")
    };
    *first
}

/// Callers submit more jobs than the store writes at the moment.
///
/// Their calls took all connections to the store, so that the lease was not renewed and the daemon lost its claim.
#[tokio::test]
async fn renewal_of_the_lease_does_not_wait_for_other_calls() {
    let (purpose, op) = (StorePurpose::RenewLease, StoreOp::RenewLease(7));
    let first = first_outcome_beside_submissions(purpose.clone(), op).await;
    assert_eq!(first.purpose, purpose);
    assert_eq!(first.outcome, Ok(StoreReply::LeaseGranted { lease: 7, ttl_ms: 1_500 }));
}

/// Callers submit more jobs at the holder than the store writes at the moment.
///
/// Its own writes waited behind them: progress was not recorded, and a claim or its release came too late.
#[tokio::test]
async fn writes_of_the_holder_do_not_wait_for_callers() {
    let removal = Transaction::default().with_delete(StoreKey::Claim(SliceId(0)));
    let first = first_outcome_beside_submissions(StorePurpose::ReleaseClaim, StoreOp::Commit(removal)).await;
    assert_eq!(first.purpose, StorePurpose::ReleaseClaim);
    assert!(first.outcome.is_ok(), "{:?}", first.outcome);
}
