//! Outgoing connections to peers.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

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
    queues: Arc<Mutex<FxHashMap<String, mpsc::Sender<PeerMessage>>>>,
    meter: TrafficMeter,
}

impl PeerLinks {
    /// Creates links that name `local` as the sender of messages.
    #[must_use]
    pub fn new(local: PeerSender) -> Self {
        Self { local, idle_timeout: DEFAULT_IDLE_TIMEOUT, queues: Arc::default(), meter: TrafficMeter::new() }
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
    /// It may be dropped without notice, and may arrive twice.
    pub fn send(&self, address: &str, message: PeerMessage) {
        if let Some(queue) = self.get_or_open_queue(address) {
            // If the queue is full, the message is dropped; the peer reads the same from the store later.
            let _dropped = queue.try_send(message);
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
        let (local, meter) = (self.local.clone(), self.meter.clone());
        drop(tokio::spawn(deliver_messages(endpoint, local, self.idle_timeout, meter, messages)));
        queues.insert(address.into(), queue.clone());
        Some(queue)
    }
}

/// Delivers messages in order, all that are queued in one request, until none came for `idle_timeout`.
async fn deliver_messages(
    endpoint: Endpoint,
    local: PeerSender,
    idle_timeout: Duration,
    meter: TrafficMeter,
    mut messages: mpsc::Receiver<PeerMessage>,
) {
    let mut client = PeerClient::new(endpoint.connect_lazy());
    let mut batch = Vec::new();
    loop {
        match tokio::time::timeout(idle_timeout, messages.recv_many(&mut batch, MAX_QUEUED_MESSAGES)).await {
            Ok(0) => return,
            Ok(_) => {}
            Err(_idle) => {
                // Messages that were queued meanwhile are still delivered.
                messages.close();
                continue;
            }
        }
        let Ok(request) = encode_delivery(&local.incarnation, &local.address, &batch) else {
            batch.clear();
            continue;
        };
        meter.count_sent(TrafficKind::Peers, request.encoded_len() as u64);
        let delivered = tokio::time::timeout(DELIVER_TIMEOUT, client.deliver(request.clone())).await;
        if !matches!(delivered, Ok(Ok(_))) {
            // The connection may be dead, so retry once on a new one. Messages may arrive twice; receivers handle that.
            client = connect_client(&endpoint);
            let _outcome = tokio::time::timeout(DELIVER_TIMEOUT, client.deliver(request)).await;
        }
        batch.clear();
    }
}

fn connect_client(endpoint: &Endpoint) -> PeerClient<Channel> {
    PeerClient::new(endpoint.connect_lazy())
}
