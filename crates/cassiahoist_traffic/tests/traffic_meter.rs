//! Counts of connections, bytes and requests that were not sent.

use bytes::Bytes;
use cassiahoist_traffic::http_client::Exchange;
use cassiahoist_traffic::traffic_meter::{TrafficMeter, request_bytes};
use cassiahoist_world::traffic::TrafficKind;
use cassiahoist_world::unsent::UnsentCause;
use http_body_util::Full;
use hyper::{Request, Response};
use tokio::sync::oneshot;

fn response(body: &'static str) -> Exchange {
    Exchange::Response(Response::new(Bytes::from_static(body.as_bytes())))
}

#[tokio::test]
async fn answered_request_counts_as_sent_and_its_answer_as_received() {
    let meter = TrafficMeter::new();
    meter.measure(TrafficKind::Polls, 700, async { response("12345") }).await;
    meter.measure(TrafficKind::Starts, 9_000, async { Exchange::NoResponse }).await;
    let totals = meter.totals();
    assert_eq!(totals.sent_bytes[TrafficKind::Polls as usize], 700);
    assert_eq!(totals.sent_bytes[TrafficKind::Starts as usize], 9_000, "it may have arrived");
    assert_eq!(totals.sent_bytes.iter().sum::<u64>(), 9_700);
    assert_eq!(totals.received_bytes, 5);
    assert_eq!(totals.unsent.iter().sum::<u64>(), 0);
}

#[tokio::test]
async fn request_that_was_not_sent_is_counted_by_its_cause() {
    let meter = TrafficMeter::new();
    for cause in UnsentCause::ALL {
        meter.measure(TrafficKind::Store, 100, async move { Exchange::NotSent(cause) }).await;
        assert_eq!(meter.totals().unsent[cause as usize], 1, "{cause:?}");
    }
    assert_eq!(meter.totals().sent_bytes.iter().sum::<u64>(), 0);
}

/// A full link shows as bytes of requests that are not over.
#[tokio::test]
async fn bytes_of_a_request_are_open_until_it_is_over() {
    let meter = TrafficMeter::new();
    let (sender, answer) = oneshot::channel::<()>();
    let measured = meter.clone();
    let request = tokio::spawn(async move {
        let exchange = async {
            answer.await.unwrap();
            response("")
        };
        measured.measure(TrafficKind::Starts, 4_000, exchange).await;
    });
    while meter.totals().open_bytes == 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(meter.totals().open_bytes, 4_000);
    sender.send(()).unwrap();
    request.await.unwrap();
    assert_eq!(meter.totals().open_bytes, 0);
}

#[tokio::test]
async fn aborted_request_is_not_open() {
    let meter = TrafficMeter::new();
    let measured = meter.clone();
    let request = tokio::spawn(async move {
        measured.measure(TrafficKind::Advice, 300, std::future::pending()).await;
    });
    while meter.totals().open_bytes == 0 {
        tokio::task::yield_now().await;
    }
    request.abort();
    assert!(request.await.unwrap_err().is_cancelled());
    assert_eq!(meter.totals().open_bytes, 0);
}

#[test]
fn connections_of_callers_count_while_they_are_open() {
    let meter = TrafficMeter::new();
    let first = meter.open_caller_connection();
    let second = meter.clone().open_caller_connection();
    assert_eq!(meter.totals().connections.callers, 2);
    drop((first, second));
    assert_eq!(meter.totals().connections.callers, 0);
}

#[test]
fn request_takes_its_path_headers_and_body() {
    let request =
        Request::post("/v1/start").header("name", "value").body(Full::new(Bytes::from_static(b"body")));
    assert_eq!(request_bytes(&request.unwrap()), (9 + 4 + 5 + 4 + 4) as u64);
}
