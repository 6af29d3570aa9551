//! Tests the host client with orders whose time has passed.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, sync_channel};
use std::time::Duration;

use cassiahoist_core::prelude::*;
use cassiahoist_traffic::clock::MonotonicClock;
use cassiahoist_traffic::control_link::{ControlInput, ControlLink};
use cassiahoist_traffic::host_client::HostClient;
use cassiahoist_traffic::protocol::{FullRequest, HostProtocol, HostReply};
use cassiahoist_world::event::Event;
use cassiahoist_world::hosts::HostKey;
use cassiahoist_world::orders::{HostOrder, Order, OrderOutcome};
use cassiahoist_world::unsent::UnsentCause;
use hyper::Request;
use tokio::net::TcpListener;

/// A protocol of empty requests, which keeps the wait of the last poll.
#[derive(Clone, Debug, Default)]
struct EmptyRequests {
    wait_ms: Arc<AtomicU64>,
}

impl HostProtocol for EmptyRequests {
    fn encode_order(&self, order: &HostOrder) -> Result<FullRequest, HoistError> {
        if let Order::Poll { wait_ms, .. } = order.order {
            self.wait_ms.store(wait_ms, Ordering::Relaxed);
        }
        let request = Request::builder().uri("/").header("host", "host");
        request
            .body(http_body_util::Full::default())
            .map_err(|error| HoistError::InvalidMessage(error.to_string()))
    }

    fn decode_reply(&self, _order: &HostOrder, _status: u16, _body: &[u8]) -> HostReply {
        HostReply { clock_ms: None, outcome: OrderOutcome::Done { lists: None } }
    }
}

/// Creates a poll that its host may hold for a time.
fn poll(address: String, wait_ms: u64, timeout_ms: u64) -> HostOrder {
    HostOrder {
        host: HostKey::default(),
        host_name: HostName::new("i-1").unwrap(),
        address,
        fence: Fence(1),
        order: Order::Poll { lease_until_ms: None, last_end_recorded: 0, wait_ms },
        timeout_ms,
    }
}

/// Waits for the completion of an order and returns its outcome.
async fn receive_outcome(inputs: Receiver<ControlInput>) -> OrderOutcome {
    let input = tokio::task::spawn_blocking(move || inputs.recv_timeout(Duration::from_secs(10)));
    let Ok(ControlInput::Event(Event::OrderCompleted(completion))) = input.await.unwrap() else {
        panic!("the host client reported no completion")
    };
    completion.outcome
}

/// The control thread issued an order, and the process was paused for seconds before it could be sent.
#[tokio::test]
async fn order_issued_before_a_pause_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let clock = MonotonicClock::new();
    let (sender, inputs) = sync_channel(8);
    let client = HostClient::new(EmptyRequests::default(), clock, ControlLink::new(sender));
    tokio::time::sleep(Duration::from_millis(50)).await;
    client.send(poll(address, 0, 20), clock.now_ms() - 40);
    assert_eq!(receive_outcome(inputs).await, OrderOutcome::NotSent(UnsentCause::Expired));
}

/// A poll that left late kept its whole wait, so that its timeout ended before the host answered.
///
/// The holder took hosts for unresponsive whose polls had waited for a connection.
#[tokio::test]
async fn late_poll_leaves_its_host_less_time_to_wait() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let clock = MonotonicClock::new();
    let (sender, inputs) = sync_channel(8);
    let protocol = EmptyRequests::default();
    let client = HostClient::new(protocol.clone(), clock, ControlLink::new(sender));
    tokio::time::sleep(Duration::from_millis(250)).await;
    client.send(poll(address, 800, 1_100), clock.now_ms() - 200);
    // Nothing answers.
    assert_eq!(receive_outcome(inputs).await, OrderOutcome::Unknown);
    assert!((1..=600).contains(&protocol.wait_ms.load(Ordering::Relaxed)), "{protocol:?}");
}
