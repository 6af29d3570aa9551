//! Tests deliveries between peers whose acknowledgements are lost, over loopback.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, sync_channel};
use std::time::Duration;

use cassiahoist_core::prelude::*;
use cassiahoist_traffic::control_link::{ControlInput, ControlLink};
use cassiahoist_traffic::peer_links::PeerLinks;
use cassiahoist_traffic::peer_server::PeerEndpoint;
use cassiahoist_wire::peer_server::{Peer, PeerServer};
use cassiahoist_wire::{DeliverReply, DeliverRequest};
use cassiahoist_world::event::Event;
use cassiahoist_world::peer::{PeerMessage, PeerSender};
use tokio::net::TcpListener;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};

/// Receives deliveries like a daemon, and loses the first acknowledgement.
#[derive(Clone, Debug)]
struct LossyEndpoint {
    endpoint: PeerEndpoint,
    has_lost_one: Arc<AtomicBool>,
}

#[tonic::async_trait]
impl Peer for LossyEndpoint {
    async fn deliver(&self, request: Request<DeliverRequest>) -> Result<Response<DeliverReply>, Status> {
        let reply = self.endpoint.deliver(request).await;
        if !self.has_lost_one.swap(true, Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        reply
    }
}

async fn receive_job(inputs: Receiver<ControlInput>) -> (Receiver<ControlInput>, JobId) {
    let received = tokio::task::spawn_blocking(move || {
        let input = inputs.recv_timeout(Duration::from_secs(10));
        (inputs, input)
    });
    match received.await.unwrap() {
        (
            inputs,
            Ok(ControlInput::Event(Event::PeerMessageReceived {
                message: PeerMessage::JobCancelled(job),
                ..
            })),
        ) => (inputs, job),
        (_, other) => panic!("{other:?}"),
    }
}

/// A peer receives a delivery, and its acknowledgement is lost, so that the delivery is sent again.
///
/// The peer refused a relayed job and stored it when it came again, after the caller had been told that it never runs.
#[tokio::test]
async fn repeated_delivery_takes_effect_once() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (sender, inputs) = sync_channel(8);
    let endpoint = PeerEndpoint::new(ControlLink::new(sender));
    let lossy = LossyEndpoint { endpoint, has_lost_one: Arc::default() };
    let server = tonic::transport::Server::builder().add_service(PeerServer::new(lossy));
    drop(tokio::spawn(server.serve_with_incoming(TcpIncoming::from(listener))));
    let local = PeerSender { incarnation: "edge-0#1".parse().unwrap(), address: "127.0.0.1:1".into() };
    let links = PeerLinks::new(local);
    links.send(&address, PeerMessage::JobCancelled(JobId(1)));
    let (inputs, first) = receive_job(inputs).await;
    links.send(&address, PeerMessage::JobCancelled(JobId(2)));
    let (_, second) = receive_job(inputs).await;
    assert_eq!((first, second), (JobId(1), JobId(2)), "the first message arrived twice");
}
