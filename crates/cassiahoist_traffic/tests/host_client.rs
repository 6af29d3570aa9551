//! Tests the host client with orders whose time has passed.

use std::sync::mpsc::sync_channel;
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

/// A protocol of empty requests.
#[derive(Clone, Copy, Debug)]
struct EmptyRequests;

impl HostProtocol for EmptyRequests {
    fn encode_order(&self, _order: &HostOrder) -> Result<FullRequest, HoistError> {
        let request = Request::builder().uri("/").header("host", "host");
        request
            .body(http_body_util::Full::default())
            .map_err(|error| HoistError::InvalidMessage(error.to_string()))
    }

    fn decode_reply(&self, _order: &HostOrder, _status: u16, _body: &[u8]) -> HostReply {
        HostReply { clock_ms: None, outcome: OrderOutcome::Done { lists: None } }
    }
}

/// The control thread issued an order, and the process was paused for seconds before it could be sent.
#[tokio::test]
async fn order_issued_before_a_pause_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let clock = MonotonicClock::new();
    let (sender, inputs) = sync_channel(8);
    let client = HostClient::new(EmptyRequests, clock, ControlLink::new(sender));
    let order = HostOrder {
        host: HostKey::default(),
        host_name: HostName::new("i-1").unwrap(),
        address,
        fence: Fence(1),
        order: Order::Poll { lease_until_ms: None, last_end_recorded: 0, wait_ms: 0 },
        timeout_ms: 300,
    };
    tokio::time::sleep(Duration::from_millis(50)).await;
    client.send(HostOrder { timeout_ms: 20, ..order }, clock.now_ms() - 40);
    let input = tokio::task::spawn_blocking(move || inputs.recv_timeout(Duration::from_secs(10)));
    let Ok(ControlInput::Event(Event::OrderCompleted(completion))) = input.await.unwrap() else {
        panic!("the host client reported no completion")
    };
    assert_eq!(completion.outcome, OrderOutcome::NotSent(UnsentCause::Expired));
}
