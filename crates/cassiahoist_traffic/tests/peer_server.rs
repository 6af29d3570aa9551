//! Tests the peer server in a process without free descriptors. The limit holds for all threads, so it is the only test.

use std::fs::File;
use std::net::TcpStream;
use std::sync::mpsc::sync_channel;
use std::time::Duration;

use cassiahoist_core::prelude::*;
use cassiahoist_traffic::control_link::{ControlInput, ControlLink};
use cassiahoist_traffic::peer_links::PeerLinks;
use cassiahoist_traffic::peer_server::PeerEndpoint;
use cassiahoist_traffic::traffic_meter::TrafficMeter;
use cassiahoist_world::event::Event;
use cassiahoist_world::peer::{PeerMessage, PeerSender};
use nix::sys::resource::{Resource, UsageWho, getrlimit, getrusage, setrlimit};
use nix::sys::time::TimeValLike;
use tokio::net::TcpListener;

/// Descriptors that the process may open in this test.
const MAX_DESCRIPTORS: u64 = 64;

/// Time without free descriptors.
const EXHAUSTED_TIME: Duration = Duration::from_millis(500);

/// Returns the processor time that the process has used, in milliseconds.
fn processor_ms() -> i64 {
    let usage = getrusage(UsageWho::RUSAGE_SELF).unwrap();
    usage.user_time().num_milliseconds() + usage.system_time().num_milliseconds()
}

/// A peer connects while the process has no free descriptor.
///
/// The server tried again at once and without end, which took all processor time from the other traffic.
#[tokio::test]
async fn server_waits_for_a_free_descriptor_without_spinning() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (sender, inputs) = sync_channel(8);
    let meter = TrafficMeter::new();
    let endpoint = PeerEndpoint::new(ControlLink::new(sender)).with_meter(meter.clone());
    drop(tokio::spawn(endpoint.serve(listener)));
    let (_, hard_limit) = getrlimit(Resource::RLIMIT_NOFILE).unwrap();
    setrlimit(Resource::RLIMIT_NOFILE, MAX_DESCRIPTORS, hard_limit).unwrap();
    let mut files: Vec<File> = std::iter::from_fn(|| File::open("/dev/null").ok()).collect();
    // The connection takes the last descriptor, and none is left to accept it.
    drop(files.pop());
    let waiting_peer = TcpStream::connect(&address).unwrap();
    let used_before_ms = processor_ms();
    tokio::time::sleep(EXHAUSTED_TIME).await;
    let used_ms = processor_ms() - used_before_ms;
    assert!(used_ms < EXHAUSTED_TIME.as_millis() as i64 / 4, "{used_ms} ms of processor time");
    assert!(meter.totals().accepts_failed > 0, "a connection that could not be accepted is counted");
    drop((files, waiting_peer));
    let local = PeerSender { incarnation: "edge-0#1".parse().unwrap(), address: "127.0.0.1:1".into() };
    PeerLinks::new(local).send(&address, PeerMessage::JobCancelled(JobId(1)));
    let input = tokio::task::spawn_blocking(move || inputs.recv_timeout(Duration::from_secs(10)));
    let received = input.await.unwrap();
    assert!(
        matches!(received, Ok(ControlInput::Event(Event::PeerMessageReceived { .. }))),
        "the server no longer accepts peers: {received:?}"
    );
}
