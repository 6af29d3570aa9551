//! Serves peers.

use cassiahoist_core::prelude::*;
use cassiahoist_wire::forward::{decode_forwarded, encode_answer};
use cassiahoist_wire::generated::peer_server::{Peer, PeerServer};
use cassiahoist_wire::generated::{DeliverReply, DeliverRequest, ForwardReply, ForwardRequest};
use cassiahoist_wire::peer_messages::{decode_incarnation, decode_message, encode_incarnation};
use cassiahoist_world::event::Event;
use tokio::net::TcpListener;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};

use crate::work::{WorkContext, serve_work};

/// Answers peers' calls.
#[derive(Clone, Debug)]
pub struct PeerDoor {
    context: WorkContext,
    own: Incarnation,
}

impl PeerDoor {
    /// Creates a door for peers.
    #[must_use]
    pub fn new(context: WorkContext, own: Incarnation) -> Self {
        Self { context, own }
    }

    /// Serves peers until the process ends.
    ///
    /// # Errors
    /// [`HoistError::Unreachable`] if serving fails.
    pub async fn serve(self, listener: TcpListener) -> Result<(), HoistError> {
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        let server = PeerServer::new(self).max_decoding_message_size(MAX_MESSAGE_BYTES);
        let served =
            tonic::transport::Server::builder().add_service(server).serve_with_incoming(incoming).await;
        served.map_err(|error| HoistError::Unreachable(error.to_string()))
    }
}

/// Largest message of a peer, in bytes.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

fn invalid(error: &HoistError) -> Status {
    Status::invalid_argument(error.to_string())
}

#[tonic::async_trait]
impl Peer for PeerDoor {
    async fn deliver(&self, request: Request<DeliverRequest>) -> Result<Response<DeliverReply>, Status> {
        let request = request.into_inner();
        let from = decode_incarnation(request.from.as_ref()).map_err(|error| invalid(&error))?;
        for message in &request.messages {
            let message = decode_message(message).map_err(|error| invalid(&error))?;
            self.context.control.send(Event::Peer { from: from.clone(), message });
        }
        Ok(Response::new(DeliverReply { receiver: Some(encode_incarnation(&self.own)) }))
    }

    async fn forward(&self, request: Request<ForwardRequest>) -> Result<Response<ForwardReply>, Status> {
        let work = decode_forwarded(request.into_inner()).map_err(|error| invalid(&error))?;
        // A task of its own, so that the work goes on if the forwarding peer breaks off.
        let serving = tokio::spawn(serve_work(self.context.clone(), work));
        let answer = serving.await.map_err(|error| Status::internal(error.to_string()))?;
        encode_answer(answer).map(Response::new).map_err(|error| invalid(&error))
    }
}
