//! Client of the advice service.

use std::time::{Duration, Instant};

use cassiahoist_world::advice::{AdviceAnswer, AdviceCall};
use cassiahoist_world::event::Event;
use cassiahoist_world::peer::PeerMessage;
use cassiahoist_world::traffic::TrafficKind;

use crate::control_link::ControlLink;
use crate::http_client::{Exchange, HttpClient};
use crate::peer_links::PeerLinks;
use crate::protocol::{AdviceProtocol, ServiceAdvice};
use crate::traffic_meter::{TrafficMeter, request_bytes};

/// Calls the advice service and forwards its answers.
#[derive(Clone, Debug)]
pub struct AdviceClient<P> {
    protocol: P,
    address: Option<String>,
    http: HttpClient,
    peers: PeerLinks,
    control: ControlLink,
    meter: TrafficMeter,
}

impl<P: AdviceProtocol> AdviceClient<P> {
    /// Creates a client for the service at `address`, `ip:port`.
    ///
    /// `None` means that the platform has no advice service; every call is then answered as failed.
    #[must_use]
    pub fn new(protocol: P, address: Option<String>, peers: PeerLinks, control: ControlLink) -> Self {
        Self { protocol, address, http: HttpClient::new(), peers, control, meter: TrafficMeter::new() }
    }

    /// Sets the meter that counts the calls.
    #[must_use]
    pub fn with_meter(self, meter: TrafficMeter) -> Self {
        Self { meter, ..self }
    }

    /// Returns the number of open connections, those that are being opened or closed included.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.http.open_connections()
    }

    /// Starts a call without waiting for it.
    ///
    /// The answer is sent to the peer at `reply_to`, or to this daemon's control thread if that is `None`.
    pub fn request(&self, call: AdviceCall, reply_to: Option<String>) {
        let client = self.clone();
        let received_at = Instant::now();
        drop(tokio::spawn(async move {
            let reply = client.exchange(&call).await;
            let answer = AdviceAnswer {
                call: call.call,
                ticket_ms: reply.as_ref().map_or(0, |reply| reply.ticket_ms),
                approved: reply.map(|reply| reply.approved),
                took_ms: received_at.elapsed().as_millis() as u64,
            };
            match reply_to {
                Some(address) => client.peers.send(&address, PeerMessage::AdviceReply(answer)),
                None => client.control.send(Event::AdviceReceived(answer)),
            }
        }));
    }

    async fn exchange(&self, call: &AdviceCall) -> Option<ServiceAdvice> {
        let address = self.address.as_deref()?;
        let request = self.protocol.encode_call(call).ok()?;
        let sent_bytes = request_bytes(&request);
        let exchange = self.http.exchange(address, request, Duration::from_millis(call.timeout_ms));
        match self.meter.measure(TrafficKind::Advice, sent_bytes, exchange).await {
            Exchange::Response(response) => {
                self.protocol.decode_reply(response.status().as_u16(), response.body())
            }
            Exchange::NotSent(_) | Exchange::NoResponse => None,
        }
    }
}
