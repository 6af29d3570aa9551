//! Outgoing connections to peers.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cassiahoist_wire::DeliverRequest;
use cassiahoist_wire::peer::encode_delivery;
use cassiahoist_wire::peer_client::PeerClient;
use cassiahoist_world::peer::{PeerMessage, PeerSender};
use cassiahoist_world::traffic::TrafficKind;
use prost::Message;
use rustc_hash::FxHashMap;
use tokio::sync::mpsc;
use tonic::transport::{Channel, Endpoint};

use crate::traffic_meter::TrafficMeter;

/// Time for a connection to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for one delivery to be acknowledged.
const DELIVER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Most messages queued for one peer.
///
/// Later ones are dropped, since the store provides a fallback for each.
const MAX_QUEUED_MESSAGES: usize = 1_024;

/// Default time without messages after which the connection to a peer is closed.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends messages to peers, over one queue and connection for each address in use.
#[derive(Clone, Debug)]
pub struct PeerLinks {
    local: PeerSender,
    idle_timeout: Duration,
    /// Number of the latest delivery to any peer.
    last_number: Arc<AtomicU64>,
    queues: Arc<Mutex<FxHashMap<String, mpsc::Sender<PeerMessage>>>>,
    meter: TrafficMeter,
}

impl PeerLinks {
    /// Creates links that name `local` as the sender of messages.
    #[must_use]
    pub fn new(local: PeerSender) -> Self {
        Self {
            local,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            last_number: Arc::default(),
            queues: Arc::default(),
            meter: TrafficMeter::new(),
        }
    }

    /// Sets the meter that counts the messages.
    #[must_use]
    pub fn with_meter(self, meter: TrafficMeter) -> Self {
        Self { meter, ..self }
    }

    /// Returns the number of connections to peers in use.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        let queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        queues.values().filter(|queue| !queue.is_closed()).count()
    }

    /// Sets the time without messages after which the connection to a peer is closed.
    #[must_use]
    pub fn with_idle_timeout(self, idle_timeout: Duration) -> Self {
        Self { idle_timeout, ..self }
    }

    /// Queues a message for the peer at `address`, `ip:port`.
    ///
    /// It may be dropped without notice.
    pub fn send(&self, address: &str, message: PeerMessage) {
        if let Some(queue) = self.get_or_open_queue(address) {
            // If the queue is full, the message is dropped; the peer reads the same from the store later.
            if queue.try_send(message).is_err() {
                self.meter.count_lost_messages(1);
            }
        }
    }

    /// Returns the queue of an address, opened if it is not in use. `None` if the address is malformed.
    fn get_or_open_queue(&self, address: &str) -> Option<mpsc::Sender<PeerMessage>> {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(queue) = queues.get(address).filter(|queue| !queue.is_closed()) {
            return Some(queue.clone());
        }
        queues.retain(|_, queue| !queue.is_closed());
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .ok()?
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true);
        let (queue, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        drop(tokio::spawn(self.clone().deliver_messages(endpoint, messages)));
        queues.insert(address.into(), queue.clone());
        Some(queue)
    }

    /// Delivers messages in order, all that are queued in one request, until none came for the idle timeout.
    async fn deliver_messages(self, endpoint: Endpoint, mut messages: mpsc::Receiver<PeerMessage>) {
        let mut client = PeerClient::new(endpoint.connect_lazy());
        let mut batch = Vec::new();
        loop {
            let received = messages.recv_many(&mut batch, MAX_QUEUED_MESSAGES);
            match tokio::time::timeout(self.idle_timeout, received).await {
                Ok(0) => return,
                Ok(_) => {}
                Err(_idle) => {
                    // Messages that were queued meanwhile are still delivered.
                    messages.close();
                    continue;
                }
            }
            let Ok(delivery) = encode_delivery(&self.local.incarnation, &self.local.address, &batch) else {
                batch.clear();
                continue;
            };
            let number = self.last_number.fetch_add(1, Ordering::Relaxed) + 1;
            let request = DeliverRequest { number, ..delivery };
            self.meter.count_sent(TrafficKind::Peers, request.encoded_len() as u64);
            let delivered = tokio::time::timeout(DELIVER_TIMEOUT, client.deliver(request.clone())).await;
            if !matches!(delivered, Ok(Ok(_))) {
                // The connection may be dead, so retry once on a new one. The peer recognizes the number if it has
                // received the delivery, so that no message takes effect twice.
                client = connect_client(&endpoint);
                let delivered = tokio::time::timeout(DELIVER_TIMEOUT, client.deliver(request)).await;
                if !matches!(delivered, Ok(Ok(_))) {
                    self.meter.count_lost_messages(batch.len() as u64);
                }
            }
            batch.clear();
        }
    }
}

fn connect_client(endpoint: &Endpoint) -> PeerClient<Channel> {
    PeerClient::new(endpoint.connect_lazy())
}
