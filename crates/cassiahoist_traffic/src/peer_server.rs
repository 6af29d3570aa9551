//! gRPC server for messages of peers.

use cassiahoist_core::prelude::*;
use cassiahoist_wire::peer::decode_delivery;
use cassiahoist_wire::peer_server::{Peer, PeerServer};
use cassiahoist_wire::{DeliverReply, DeliverRequest};
use cassiahoist_world::event::Event;
use tokio::net::TcpListener;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};

use crate::control_link::ControlLink;

/// Largest delivery of a peer, in bytes.
const MAX_DELIVERY_BYTES: usize = 4 << 20;

/// Receives messages of peers and forwards them to control.
#[derive(Clone, Debug)]
pub struct PeerEndpoint {
    control: ControlLink,
}

impl PeerEndpoint {
    /// Creates an endpoint that forwards messages to `control`.
    #[must_use]
    pub fn new(control: ControlLink) -> Self {
        Self { control }
    }

    /// Serves peers until the process ends.
    ///
    /// # Errors
    /// Returns [`HoistError::Unreachable`] if the server fails.
    pub async fn serve(self, listener: TcpListener) -> Result<(), HoistError> {
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        let server = PeerServer::new(self).max_decoding_message_size(MAX_DELIVERY_BYTES);
        let served =
            tonic::transport::Server::builder().add_service(server).serve_with_incoming(incoming).await;
        served.map_err(|error| HoistError::Unreachable(error.to_string()))
    }
}

#[tonic::async_trait]
impl Peer for PeerEndpoint {
    async fn deliver(&self, request: Request<DeliverRequest>) -> Result<Response<DeliverReply>, Status> {
        let delivery = decode_delivery(&request.into_inner())
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let from = delivery.sender;
        for error in delivery.unreadable {
            let (from, reason) = (from.clone(), error.to_string());
            self.control.send(Event::UnreadablePeerMessage { from, reason });
        }
        for message in delivery.messages {
            self.control.send(Event::PeerMessageReceived { from: from.clone(), message });
        }
        Ok(Response::new(DeliverReply {}))
    }
}
