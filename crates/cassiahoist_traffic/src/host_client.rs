//! Carries orders to hosts.

use std::time::Duration;

use cassiahoist_world::event::Event;
use cassiahoist_world::orders::{HostOrder, OrderAnswered, OrderOutcome};

use crate::clock::MonotonicClock;
use crate::control_link::ControlLink;
use crate::http_client::{Exchange, HttpClient};
use crate::protocol::{HostProtocol, HostReply};

/// Connections to one host. Hosts take 64 from all daemons together, and those of daemons that lost power count until
/// the host notices, so that several holders in a row have to share them.
const MAX_CONNECTIONS: usize = 16;

/// Carries orders to hosts and tells control what came of them.
#[derive(Clone, Debug)]
pub struct HostClient<P> {
    protocol: P,
    http: HttpClient,
    clock: MonotonicClock,
    control: ControlLink,
}

impl<P: HostProtocol> HostClient<P> {
    /// Creates a client.
    #[must_use]
    pub fn new(protocol: P, clock: MonotonicClock, control: ControlLink) -> Self {
        Self { protocol, http: HttpClient::new().with_max_connections(MAX_CONNECTIONS), clock, control }
    }

    /// Begins to carry an order; its outcome goes to control.
    pub fn order(&self, order: HostOrder, started_ms: u64) {
        let client = self.clone();
        drop(tokio::spawn(async move {
            let reply = client.perform(&order).await;
            let answered = OrderAnswered {
                order,
                started_ms,
                clock_ms: reply.clock_ms,
                answered_ms: client.clock.now_ms(),
                outcome: reply.outcome,
            };
            client.control.send(Event::Order(Box::new(answered)));
        }));
    }

    async fn perform(&self, order: &HostOrder) -> HostReply {
        let unanswered = |outcome| HostReply { clock_ms: None, outcome };
        let Ok(request) = self.protocol.write_order(order) else {
            return unanswered(OrderOutcome::NotSent);
        };
        let limit = Duration::from_millis(order.patience_ms);
        match self.http.exchange(&order.address, request, limit).await {
            Exchange::Answered(response) => {
                self.protocol.read_reply(order, response.status().as_u16(), response.body())
            }
            Exchange::NotSent => unanswered(OrderOutcome::NotSent),
            Exchange::Lost => unanswered(OrderOutcome::Unknown),
        }
    }
}
