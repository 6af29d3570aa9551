//! Tests deliveries between peers whose acknowledgements are lost, over loopback.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::time::Duration;

use cassiahoist_core::prelude::*;
use cassiahoist_traffic::control_link::{ControlInput, ControlLink};
use cassiahoist_traffic::peer_links::PeerLinks;
use cassiahoist_traffic::peer_server::PeerEndpoint;
use cassiahoist_wire::peer_server::{Peer, PeerServer};
use cassiahoist_wire::{DeliverReply, DeliverRequest};
use cassiahoist_world::advice::{AdviceAnswer, ApprovedHost};
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

/// Waits for what a receiver gets next, without blocking the runtime. Returns the receiver as well.
async fn receive<T: Send + 'static>(inputs: Receiver<T>) -> (Receiver<T>, Result<T, RecvTimeoutError>) {
    let received = tokio::task::spawn_blocking(move || {
        let input = inputs.recv_timeout(Duration::from_secs(10));
        (inputs, input)
    });
    received.await.unwrap()
}

async fn receive_job(inputs: Receiver<ControlInput>) -> (Receiver<ControlInput>, JobId) {
    match receive(inputs).await {
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

/// Largest delivery that a slow link carries well within its timeout, in bytes.
const MAX_DELIVERY_BYTES: usize = 64 * 1_024;

/// Receives deliveries after a while, and reports the size of each with its number of messages.
#[derive(Clone, Debug)]
struct MeasuringEndpoint {
    sizes: SyncSender<(usize, usize)>,
}

#[tonic::async_trait]
impl Peer for MeasuringEndpoint {
    async fn deliver(&self, request: Request<DeliverRequest>) -> Result<Response<DeliverReply>, Status> {
        let messages = request.into_inner().messages;
        self.sizes.send((messages.iter().map(Vec::len).sum(), messages.len())).unwrap();
        tokio::time::sleep(Duration::from_millis(20)).await;
        Ok(Response::new(DeliverReply {}))
    }
}

/// Messages gather for a peer while a delivery is under way. All of them went out as one.
///
/// The larger it was the longer it took; beyond the timeout it was sent once more, in vain, and all of them were lost.
#[tokio::test]
async fn deliveries_stay_small_however_many_messages_wait() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (sizes, mut deliveries) = sync_channel(1_024);
    let server =
        tonic::transport::Server::builder().add_service(PeerServer::new(MeasuringEndpoint { sizes }));
    drop(tokio::spawn(server.serve_with_incoming(TcpIncoming::from(listener))));
    let local = PeerSender { incarnation: "edge-0#1".parse().unwrap(), address: "127.0.0.1:1".into() };
    let links = PeerLinks::new(local);
    let approved = ApprovedHost { host: HostName::new("i-1").unwrap(), ticket: "t".repeat(3_000).into() };
    for call in 0..200 {
        let approved = Some(vec![approved.clone()]);
        links.send(
            &address,
            PeerMessage::AdviceReply(AdviceAnswer { call, approved, ticket_ms: 0, took_ms: 0 }),
        );
    }
    let mut received = 0;
    while received < 200 {
        let (inputs, delivery) = receive(deliveries).await;
        deliveries = inputs;
        let (bytes, messages) = delivery.expect("messages were lost");
        assert!(bytes <= MAX_DELIVERY_BYTES, "{bytes} bytes with {messages} messages");
        received += messages;
    }
}
