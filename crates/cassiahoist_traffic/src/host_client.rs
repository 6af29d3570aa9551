//! Client that sends orders to hosts.

use std::time::Duration;

use cassiahoist_world::event::Event;
use cassiahoist_world::orders::{HostOrder, Order, OrderCompletion, OrderOutcome};
use cassiahoist_world::traffic::TrafficKind;
use cassiahoist_world::unsent::UnsentCause;

use crate::clock::MonotonicClock;
use crate::control_link::ControlLink;
use crate::http_client::{Exchange, HttpClient};
use crate::protocol::{HostProtocol, HostReply};
use crate::traffic_meter::{TrafficMeter, request_bytes};

/// Most open connections to one host.
///
/// A host accepts 64 from all daemons together. Connections of daemons that lost power count until the host notices,
/// so that several successive holders have to share them.
const MAX_CONNECTIONS: usize = 16;

/// Sends orders to hosts and reports their outcomes to control.
#[derive(Clone, Debug)]
pub struct HostClient<P> {
    protocol: P,
    http: HttpClient,
    clock: MonotonicClock,
    control: ControlLink,
    meter: TrafficMeter,
}

impl<P: HostProtocol> HostClient<P> {
    /// Creates a client without connections; `clock` timestamps the replies.
    #[must_use]
    pub fn new(protocol: P, clock: MonotonicClock, control: ControlLink) -> Self {
        let http = HttpClient::new().with_max_connections(MAX_CONNECTIONS);
        Self { protocol, http, clock, control, meter: TrafficMeter::new() }
    }

    /// Sets the meter that counts the orders.
    #[must_use]
    pub fn with_meter(self, meter: TrafficMeter) -> Self {
        Self { meter, ..self }
    }

    /// Sets the limit of open connections to all hosts together.
    #[must_use]
    pub fn with_max_open_connections(self, max_open_connections: usize) -> Self {
        Self { http: self.http.with_max_open_connections(max_open_connections), ..self }
    }

    /// Returns the limit of open connections to all hosts together.
    #[must_use]
    pub fn max_open_connections(&self) -> usize {
        self.http.max_open_connections()
    }

    /// Returns the number of open connections to hosts, those that are being opened or closed included.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.http.open_connections()
    }

    /// Sends an order without waiting for its reply.
    ///
    /// The outcome is sent to control as [`Event::OrderCompleted`].
    pub fn send(&self, order: HostOrder, issued_at_ms: u64) {
        let client = self.clone();
        drop(tokio::spawn(async move {
            let reply = client.exchange(&order, issued_at_ms).await;
            let completion = OrderCompletion {
                order,
                issued_at_ms,
                host_clock_ms: reply.clock_ms,
                completed_at_ms: client.clock.now_ms(),
                outcome: reply.outcome,
            };
            client.control.send(Event::OrderCompleted(Box::new(completion)));
        }));
    }

    /// Sends an order unless its time has passed.
    ///
    /// After a suspension of the process another daemon may hold the slice, and a restarted host would not know its fence.
    async fn exchange(&self, order: &HostOrder, issued_at_ms: u64) -> HostReply {
        let without_reply = |outcome| HostReply { clock_ms: None, outcome };
        let Ok(request) = self.protocol.encode_order(order) else {
            return without_reply(OrderOutcome::NotSent(UnsentCause::Unencodable));
        };
        let timeout = Duration::from_millis(order.timeout_ms);
        let is_timely = || self.clock.now_ms() <= issued_at_ms + order.timeout_ms;
        let sent_bytes = request_bytes(&request);
        let exchange = self.http.exchange_if(&order.address, request, timeout, is_timely);
        match self.meter.measure(traffic_kind(&order.order), sent_bytes, exchange).await {
            Exchange::Response(response) => {
                self.protocol.decode_reply(order, response.status().as_u16(), response.body())
            }
            Exchange::NotSent(cause) => without_reply(OrderOutcome::NotSent(cause)),
            Exchange::NoResponse => without_reply(OrderOutcome::Unknown),
        }
    }
}

fn traffic_kind(order: &Order) -> TrafficKind {
    match order {
        Order::Start { .. } => TrafficKind::Starts,
        Order::Poll { .. } => TrafficKind::Polls,
        Order::Stop { .. } | Order::SetPace { .. } => TrafficKind::OtherOrders,
    }
}
