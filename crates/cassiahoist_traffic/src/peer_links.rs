//! Links to peers.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cassiahoist_core::prelude::*;
use cassiahoist_wire::forward::{Forwarded, decode_answer, encode_forwarded};
use cassiahoist_wire::generated::DeliverRequest;
use cassiahoist_wire::generated::peer_client::PeerClient;
use cassiahoist_wire::peer_messages::{encode_incarnation, encode_message};
use cassiahoist_world::peer::PeerMessage;
use cassiahoist_world::requests::ForwardEnd;
use rustc_hash::FxHashMap;
use tokio::sync::mpsc;
use tonic::transport::{Channel, Endpoint};

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long a delivery may take.
const DELIVER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Interval of keep-alive pings, and how long a pong may take.
const KEEP_ALIVE: Duration = Duration::from_millis(1_000);

/// Messages that may wait for one peer; later ones are dropped, since all are repeated until answered.
const MAX_WAITING_MESSAGES: usize = 1_024;

/// Connections to peers by address.
#[derive(Clone, Debug)]
pub struct PeerLinks {
    own: Incarnation,
    links: Arc<Mutex<FxHashMap<String, Link>>>,
}

#[derive(Clone, Debug)]
struct Link {
    client: PeerClient<Channel>,
    outgoing: mpsc::Sender<PeerMessage>,
}

impl PeerLinks {
    /// Creates links that send as `own`.
    #[must_use]
    pub fn new(own: Incarnation) -> Self {
        Self { own, links: Arc::default() }
    }

    /// Sends a one-way message; it may be dropped.
    pub fn deliver(&self, address: &str, message: PeerMessage) {
        if let Some(link) = self.link(address) {
            // A full queue drops the message; the sender repeats what matters.
            let _dropped = link.outgoing.try_send(message);
        }
    }

    /// Forwards work and waits for its answer.
    ///
    /// # Errors
    /// Whether the work is proved not sent, or lost.
    pub async fn forward(&self, address: &str, forwarded: Forwarded) -> Result<Answer, ForwardEnd> {
        let limit = Duration::from_millis(forwarded.left_ms) + DELIVER_TIMEOUT;
        let mut link = self.link(address).ok_or(ForwardEnd::NotSent)?;
        let request = encode_forwarded(forwarded).map_err(|_unencodable| ForwardEnd::NotSent)?;
        match tokio::time::timeout(limit, link.client.forward(request)).await {
            Ok(Ok(reply)) => decode_answer(reply.into_inner()).map_err(|_malformed| ForwardEnd::Lost),
            Ok(Err(status)) if never_connected(&status) => Err(ForwardEnd::NotSent),
            Ok(Err(_)) | Err(_) => Err(ForwardEnd::Lost),
        }
    }

    fn link(&self, address: &str) -> Option<Link> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(link) = links.get(address) {
            return Some(link.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .ok()?
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(KEEP_ALIVE)
            .keep_alive_timeout(KEEP_ALIVE)
            .keep_alive_while_idle(true);
        let client = PeerClient::new(endpoint.connect_lazy());
        let (outgoing, messages) = mpsc::channel(MAX_WAITING_MESSAGES);
        drop(tokio::spawn(deliver_messages(client.clone(), self.own.clone(), messages)));
        let link = Link { client, outgoing };
        links.insert(address.into(), link.clone());
        Some(link)
    }
}

/// Tells whether a failed call is proved never to have left, since no connection could be opened.
fn never_connected(status: &tonic::Status) -> bool {
    let mut source = std::error::Error::source(status);
    while let Some(error) = source {
        if let Some(io) = error.downcast_ref::<std::io::Error>() {
            return io.kind() == std::io::ErrorKind::ConnectionRefused;
        }
        source = error.source();
    }
    false
}

/// Sends messages in order, as many at once as are waiting.
async fn deliver_messages(
    mut client: PeerClient<Channel>,
    own: Incarnation,
    mut messages: mpsc::Receiver<PeerMessage>,
) {
    let mut batch = Vec::new();
    while messages.recv_many(&mut batch, MAX_WAITING_MESSAGES).await > 0 {
        let request = DeliverRequest {
            from: Some(encode_incarnation(&own)),
            messages: batch.drain(..).map(|message| encode_message(&message)).collect(),
        };
        // A failed delivery is not repeated here; the sender repeats what matters.
        let _outcome = tokio::time::timeout(DELIVER_TIMEOUT, client.deliver(request)).await;
    }
}
