//! Outgoing connections to peers.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cassiahoist_wire::peer::encode_delivery;
use cassiahoist_wire::peer_client::PeerClient;
use cassiahoist_world::peer::{PeerMessage, PeerSender};
use rustc_hash::FxHashMap;
use tokio::sync::mpsc;
use tonic::transport::{Channel, Endpoint};

/// Time for a connection to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for one delivery to be acknowledged.
const DELIVER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Most messages queued for one peer.
///
/// Later ones are dropped, since the store provides a fallback for each.
const MAX_QUEUED_MESSAGES: usize = 1_024;

/// Sends messages to peers, over one queue and connection for each address.
#[derive(Clone, Debug)]
pub struct PeerLinks {
    local: PeerSender,
    queues: Arc<Mutex<FxHashMap<String, mpsc::Sender<PeerMessage>>>>,
}

impl PeerLinks {
    /// Creates links that name `local` as the sender of messages.
    #[must_use]
    pub fn new(local: PeerSender) -> Self {
        Self { local, queues: Arc::default() }
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

    /// Returns the queue of an address, opened at first use. `None` if the address is malformed.
    fn get_or_open_queue(&self, address: &str) -> Option<mpsc::Sender<PeerMessage>> {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(queue) = queues.get(address) {
            return Some(queue.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .ok()?
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true);
        let (queue, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        drop(tokio::spawn(deliver_messages(endpoint, self.local.clone(), messages)));
        queues.insert(address.into(), queue.clone());
        Some(queue)
    }
}

/// Delivers messages in order, all that are queued in one request.
async fn deliver_messages(endpoint: Endpoint, local: PeerSender, mut messages: mpsc::Receiver<PeerMessage>) {
    let mut client = PeerClient::new(endpoint.connect_lazy());
    let mut batch = Vec::new();
    while messages.recv_many(&mut batch, MAX_QUEUED_MESSAGES).await > 0 {
        let Ok(request) = encode_delivery(&local.incarnation, &local.address, &batch) else {
            batch.clear();
            continue;
        };
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
