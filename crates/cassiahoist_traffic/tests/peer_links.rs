//! Tests the connections to peers over loopback.

use std::time::Duration;

use cassiahoist_core::prelude::*;
use cassiahoist_traffic::peer_links::PeerLinks;
use cassiahoist_world::peer::{PeerMessage, PeerSender};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

/// Time within which each step of a test happens.
const STEP_TIMEOUT: Duration = Duration::from_secs(10);

/// Accepts a connection and reads from it until the other side closes it.
async fn accept_until_closed(listener: &TcpListener) {
    let (mut stream, _): (TcpStream, _) =
        tokio::time::timeout(STEP_TIMEOUT, listener.accept()).await.unwrap().unwrap();
    let read_all = async {
        let mut bytes = [0; 1_024];
        while stream.read(&mut bytes).await.is_ok_and(|length| length > 0) {}
    };
    tokio::time::timeout(STEP_TIMEOUT, read_all).await.expect("the connection stays open");
}

/// Daemons come and go at new addresses for months, and each kept a connection, a queue and a task here for ever.
#[tokio::test]
async fn connection_to_an_idle_peer_is_closed_and_opened_again() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let local = PeerSender { incarnation: "edge-0#1".parse().unwrap(), address: "127.0.0.1:1".into() };
    let links = PeerLinks::new(local).with_idle_timeout(Duration::from_millis(50));
    for number in 1..=2 {
        links.send(&address, PeerMessage::JobCancelled(JobId(number)));
        // This peer never answers, so the link closes the first connection for the retry and the second one as idle.
        accept_until_closed(&listener).await;
        accept_until_closed(&listener).await;
    }
}
