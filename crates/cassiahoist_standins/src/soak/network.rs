//! Loopback network between daemons, store and hosts; it knows the sender of each message and applies cuts.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use cassiahoist_traffic::caller_server::text_response;
use cassiahoist_traffic::protocol::FullResponse;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::cuts::{Cuts, Node};
use super::{DAEMONS, FAILURE_DOMAINS, HOSTS};
use crate::daemon_process::ListenAddresses;
use crate::loopback::{Endpoint, PlatformAddresses, START_MS, SharedPlatform};
use crate::platform::{StandInPlatform, TIME_ZERO_UNIX_MS};
use crate::trace::Observation;
use crate::workload::Workload;

/// Size of the buffer through which messages between daemons pass, in bytes.
const BUFFER_BYTES: usize = 64 * 1_024;

/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Interval at which a crash of a host that has not answered yet is looked for.
const HOST_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Last part of the address that stands for the first daemon, of two digits like those of the others.
const FIRST_DAEMON_PART: u8 = 10;

/// Last part of the address under which the store keeps hosts and peers.
const STORED_PART: u8 = 99;

/// Greatest number of ports that are tried until one is free at the addresses of all daemons.
const MAX_PORT_ATTEMPTS: usize = 100;

/// Prefix of the keys of claims.
const CLAIMS: &str = "hoist/cell/claim/";

/// Path of start orders.
const START_PATH: &str = "/-/run-start";

/// Header with the name of the host that an order is meant for.
const EXPECTED_HOST_HEADER: &str = "x-expect-instance";

/// Status by which a host refuses an order that is meant for another one.
const OTHER_HOST_STATUS: u16 = 421;

/// Path of polls.
const POLL_PATH: &str = "/-/hold";

/// Addresses of one daemon and of its own view of the platform.
#[derive(Clone, Copy, Debug)]
pub struct DaemonAddresses {
    /// Addresses on which the daemon listens.
    pub listen: ListenAddresses,
    /// Addresses at which it reaches the platform.
    pub platform: PlatformAddresses,
}

#[derive(Debug)]
struct Shared {
    prefix: [u8; 3],
    platform: SharedPlatform,
    cuts: watch::Sender<Cuts>,
    /// Start of each daemon's process, in milliseconds since the epoch.
    started_unix_ms: [AtomicU64; DAEMONS],
    /// Delays of the orders to a host in force: number of the disruption, host, milliseconds.
    order_delays: Mutex<Vec<(usize, usize, u64)>>,
}

/// Network of a cell; clones share it.
///
/// Each daemon reaches hosts and peers at an IP address of its own, at the same ports as the others, so that the
/// address at which a message arrives tells its sender. Addresses in records and messages are rewritten on the way.
#[derive(Clone, Debug)]
pub struct Network {
    shared: Arc<Shared>,
}

/// Returns the IP address at which a daemon listens and reaches all others.
fn daemon_ip(prefix: [u8; 3], daemon: usize) -> Ipv4Addr {
    Ipv4Addr::new(prefix[0], prefix[1], prefix[2], daemon_part(daemon))
}

/// Binds one port at the addresses of all daemons.
async fn bind_everywhere(prefix: [u8; 3]) -> io::Result<Vec<TcpListener>> {
    let mut result = Err(io::Error::other("no port is free at the addresses of all daemons"));
    for _ in 0..MAX_PORT_ATTEMPTS {
        let first = TcpListener::bind((daemon_ip(prefix, 0), 0)).await?;
        let port = first.local_addr()?.port();
        let mut listeners = vec![first];
        for daemon in 1..DAEMONS {
            match TcpListener::bind((daemon_ip(prefix, daemon), port)).await {
                Ok(listener) => listeners.push(listener),
                Err(error) => result = Err(error),
            }
        }
        if listeners.len() == DAEMONS {
            return Ok(listeners);
        }
    }
    result
}

impl Network {
    /// Starts a platform and the listeners through which the daemons reach it and each other.
    ///
    /// All listeners have addresses that begin as `prefix`. Soaks at the same time need unlike ones.
    ///
    /// # Errors
    /// A listener can't be bound.
    pub async fn start(prefix: [u8; 3]) -> io::Result<(Self, Vec<DaemonAddresses>)> {
        let stored_ip = Ipv4Addr::new(prefix[0], prefix[1], prefix[2], STORED_PART);
        let mut platform_listeners = Vec::new();
        let mut host_addresses = Vec::new();
        for host in 0..HOSTS {
            let listeners = bind_everywhere(prefix).await?;
            host_addresses.push(format!("{stored_ip}:{}", listeners[0].local_addr()?.port()));
            let listeners = listeners.into_iter().enumerate();
            platform_listeners
                .extend(listeners.map(|(daemon, listener)| (listener, Endpoint::Host(host), daemon)));
        }
        let mut peer_listeners = Vec::new();
        let mut own_listeners = Vec::new();
        for daemon in 0..DAEMONS {
            let mut listeners = bind_everywhere(prefix).await?;
            // The daemon itself listens at its own address, its peers reach it at theirs.
            let own = listeners.remove(daemon);
            let listens_at = own.local_addr()?;
            own_listeners.push(own);
            let senders = (0..DAEMONS).filter(|sender| *sender != daemon);
            peer_listeners
                .extend(senders.zip(listeners).map(|(sender, listener)| (listener, sender, listens_at)));
        }
        // The ports of the daemons' other listeners are drawn last, so that nothing else takes them.
        let mut addresses = Vec::new();
        for (daemon, own) in own_listeners.iter().enumerate() {
            let own_ip = daemon_ip(prefix, daemon);
            let store = TcpListener::bind((own_ip, 0)).await?;
            let advice = TcpListener::bind((own_ip, 0)).await?;
            let platform = PlatformAddresses { store: store.local_addr()?, advice: advice.local_addr()? };
            platform_listeners.push((store, Endpoint::Store, daemon));
            platform_listeners.push((advice, Endpoint::Advice, daemon));
            let listen = ListenAddresses { peers: own.local_addr()?, ..ListenAddresses::unused(own_ip)? };
            addresses.push(DaemonAddresses { listen, platform });
        }
        let mut platform = StandInPlatform::new(&host_addresses, Workload::Plain, START_MS);
        platform.assign_failure_domains(&FAILURE_DOMAINS, START_MS);
        let network = Self {
            shared: Arc::new(Shared {
                prefix,
                platform: SharedPlatform::new(platform),
                cuts: watch::Sender::default(),
                started_unix_ms: Default::default(),
                order_delays: Mutex::default(),
            }),
        };
        for (listener, endpoint, daemon) in platform_listeners {
            drop(tokio::spawn(network.clone().serve_platform(listener, endpoint, daemon)));
        }
        for (listener, sender, listens_at) in peer_listeners {
            drop(tokio::spawn(network.clone().serve_peers(listener, sender, listens_at)));
        }
        Ok((network, addresses))
    }

    /// Returns the platform behind the network.
    #[must_use]
    pub fn platform(&self) -> &SharedPlatform {
        &self.shared.platform
    }

    /// Changes the cuts in force.
    pub fn change_cuts(&self, change: impl FnOnce(&mut Cuts)) {
        self.shared.cuts.send_modify(change);
    }

    /// Returns whether a caller beside one daemon reaches another one.
    #[must_use]
    pub fn are_together(&self, first: usize, second: usize) -> bool {
        self.shared.cuts.borrow().are_together(first, second)
    }

    /// Notes that the process of a daemon starts now.
    pub fn note_start(&self, daemon: usize) {
        let started_unix_ms = TIME_ZERO_UNIX_MS + self.platform().now_ms();
        self.shared.started_unix_ms[daemon].store(started_unix_ms, Ordering::SeqCst);
    }

    /// Delays the orders to a host until the disruption of this number ends.
    pub fn delay_orders(&self, disruption: usize, host: usize, delay_ms: u64) {
        self.lock_order_delays().push((disruption, host, delay_ms));
    }

    /// Ends the delays of a disruption.
    pub fn end_delays(&self, disruption: usize) {
        self.lock_order_delays().retain(|(number, ..)| *number != disruption);
    }

    /// Returns the number of the daemon that has the claim, as the store knows it.
    #[must_use]
    pub fn holder(&self) -> Option<usize> {
        self.platform().with_platform(|platform, _| {
            let key = platform.store.keys(CLAIMS).next()?.to_owned();
            let claim = STANDARD.decode(platform.store.get(&key)?).ok()?;
            let claim = String::from_utf8(claim).ok()?;
            (0..DAEMONS).find(|number| claim.contains(&format!("edge-{number}")))
        })
    }

    fn lock_order_delays(&self) -> MutexGuard<'_, Vec<(usize, usize, u64)>> {
        self.shared.order_delays.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn passes(&self, from: Node, to: Node) -> bool {
        self.shared.cuts.borrow().passes(from, to)
    }

    async fn wait_until_passes(&self, from: Node, to: Node) {
        let mut cuts = self.shared.cuts.subscribe();
        // The sender lives as long as the network, so the wait can't fail.
        let _passes = cuts.wait_for(|cuts| cuts.passes(from, to)).await;
    }

    async fn serve_platform(self, listener: TcpListener, endpoint: Endpoint, daemon: usize) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let network = self.clone();
            let service = service_fn(move |request| {
                let network = network.clone();
                async move { network.respond(request, endpoint, daemon).await }
            });
            let connection =
                hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            drop(tokio::spawn(connection));
        }
    }

    /// Answers a request of a daemon; an error closes the connection without an answer.
    async fn respond(
        &self,
        request: Request<Incoming>,
        endpoint: Endpoint,
        daemon: usize,
    ) -> io::Result<FullResponse> {
        let (sender, receiver) = (Node::Daemon(daemon), node(endpoint));
        let method = request.method().to_string();
        let target = request.uri().path_and_query().map(ToString::to_string).unwrap_or_default();
        let expected_host = request.headers().get(EXPECTED_HOST_HEADER).cloned();
        let body = request.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
        if !self.passes(sender, receiver) {
            self.wait_until_passes(sender, receiver).await;
            return Err(io::Error::other("the request was lost in a cut"));
        }
        let body = match endpoint {
            Endpoint::Store => self.rewrite_records(&body, daemon_part(daemon), STORED_PART).unwrap_or(body),
            Endpoint::Advice | Endpoint::Host(_) => body,
        };
        if let Endpoint::Host(host) = endpoint {
            if self.host_incarnation(host).is_none() {
                return Err(io::Error::other("the host is down"));
            }
            if let Some(delay_ms) = self.order_delay_ms(host, &target) {
                let (network, delay) = (self.clone(), Duration::from_millis(delay_ms));
                // The order takes effect even if its sender closes the connection.
                drop(tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    if network.is_for_other_host(host, expected_host.as_ref()) {
                        return false;
                    }
                    network.give_order(host, &target, &body, daemon).await.is_ok()
                }));
                tokio::time::sleep(delay).await;
                return Err(io::Error::other("the answer to a late order was lost"));
            }
        }
        let (status, reply) = match endpoint {
            Endpoint::Host(host) if self.is_for_other_host(host, expected_host.as_ref()) => {
                (OTHER_HOST_STATUS, "{}".into())
            }
            Endpoint::Host(host) => self.give_order(host, &target, &body, daemon).await?,
            Endpoint::Advice => self.platform().answer(endpoint, &method, &target, &body).await,
            Endpoint::Store => {
                let (status, reply) = self.platform().answer(endpoint, &method, &target, &body).await;
                let rewritten = self.rewrite_records(reply.as_bytes(), STORED_PART, daemon_part(daemon));
                (status, rewritten.and_then(|bytes| String::from_utf8(bytes.into()).ok()).unwrap_or(reply))
            }
        };
        if !self.passes(receiver, sender) {
            self.wait_until_passes(receiver, sender).await;
            return Err(io::Error::other("the answer was lost in a cut"));
        }
        Ok(text_response(status, "application/json", reply))
    }

    /// Gives an order to a host, and records which daemon decided on it.
    ///
    /// Returns an error if the host is down, or crashes before it answers.
    async fn give_order(
        &self,
        host: usize,
        target: &str,
        body: &Bytes,
        daemon: usize,
    ) -> io::Result<(u16, String)> {
        let Some(started_unix_ms) = self.host_incarnation(host) else {
            return Err(io::Error::other("the host is down"));
        };
        // A daemon may send the start orders of another one, so that they don't tell the holder.
        if target != START_PATH {
            let fence = serde_json::from_slice::<Value>(body).ok().and_then(|body| body["fence"].as_u64());
            let daemon_started_unix_ms = self.shared.started_unix_ms[daemon].load(Ordering::SeqCst);
            self.platform().with_platform(|platform, now_ms| {
                let host = &platform.registered_hosts[host].host;
                if let Some(fence) = fence.filter(|fence| host.accepts_fence(*fence)) {
                    let host = host.name.clone();
                    let observation = Observation::OrderAccepted {
                        host,
                        daemon,
                        daemon_started_unix_ms,
                        fence,
                        start: None,
                    };
                    platform.trace.record(now_ms, observation);
                }
            });
        }
        tokio::select! {
            answer = self.platform().answer(Endpoint::Host(host), "POST", target, body) => Ok(answer),
            () = self.wait_until_host_ends(host, started_unix_ms) => Err(io::Error::other("the host crashed")),
        }
    }

    /// Returns whether an order is meant for another host than the one that is now at its address.
    fn is_for_other_host(&self, host: usize, expected_host: Option<&HeaderValue>) -> bool {
        self.platform().with_platform(|platform, _| {
            let name = platform.registered_hosts[host].host.name.as_str();
            expected_host.is_some_and(|expected| expected.as_bytes() != name.as_bytes())
        })
    }

    /// Returns the start of a host's incarnation, in milliseconds since the epoch; `None` while it is down.
    fn host_incarnation(&self, host: usize) -> Option<u64> {
        self.platform().with_platform(|platform, _| {
            let registered = &platform.registered_hosts[host];
            registered.starts_at_ms.is_none().then_some(registered.host.started_unix_ms)
        })
    }

    async fn wait_until_host_ends(&self, host: usize, started_unix_ms: u64) {
        while self.host_incarnation(host) == Some(started_unix_ms) {
            tokio::time::sleep(HOST_CHECK_INTERVAL).await;
        }
    }

    /// Returns the delay of an order in milliseconds; polls are never late.
    fn order_delay_ms(&self, host: usize, target: &str) -> Option<u64> {
        if target == POLL_PATH {
            return None;
        }
        self.lock_order_delays().iter().find(|(_, number, _)| *number == host).map(|(.., delay_ms)| *delay_ms)
    }

    /// Rewrites the addresses in the records of a transaction or reply; `None` if it has no records.
    fn rewrite_records(&self, body: &[u8], from_part: u8, to_part: u8) -> Option<Bytes> {
        let mut message: Value = serde_json::from_slice(body).ok()?;
        let mut has_records = self.rewrite_record(&mut message, from_part, to_part);
        for name in ["puts", "items", "events"] {
            for row in message.get_mut(name).and_then(Value::as_array_mut).into_iter().flatten() {
                has_records |= self.rewrite_record(row, from_part, to_part);
            }
        }
        if has_records { serde_json::to_vec(&message).ok().map(Bytes::from) } else { None }
    }

    /// Rewrites the addresses in the record of a row, and returns whether it has one.
    fn rewrite_record(&self, row: &mut Value, from_part: u8, to_part: u8) -> bool {
        let record = row.get("value").and_then(Value::as_str).and_then(|text| STANDARD.decode(text).ok());
        let Some(mut record) = record else { return false };
        self.rewrite_addresses(&mut record, from_part, to_part);
        row["value"] = STANDARD.encode(record).into();
        true
    }

    /// Replaces the last part of all addresses in place; both have two digits.
    fn rewrite_addresses(&self, bytes: &mut [u8], from_part: u8, to_part: u8) {
        let [first, second, third] = self.shared.prefix;
        let old = format!("{first}.{second}.{third}.{from_part}:");
        let new = format!("{first}.{second}.{third}.{to_part}:");
        let mut begin = 0;
        while let Some(offset) = bytes[begin..].windows(old.len()).position(|window| window == old.as_bytes())
        {
            bytes[begin + offset..][..new.len()].copy_from_slice(new.as_bytes());
            begin += offset + new.len();
        }
    }

    /// Forwards the connections of a daemon to one of its peers.
    async fn serve_peers(self, listener: TcpListener, sender: usize, listens_at: SocketAddr) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let network = self.clone();
            drop(tokio::spawn(async move {
                // A connection that breaks is a loss like any other; the peers open a new one.
                let _broken = network.forward(stream, sender, listens_at).await;
            }));
        }
    }

    async fn forward(&self, incoming: TcpStream, sender: usize, listens_at: SocketAddr) -> io::Result<()> {
        let SocketAddr::V4(address) = listens_at else { return Ok(()) };
        let receiver = usize::from(address.ip().octets()[3] - FIRST_DAEMON_PART);
        self.wait_until_passes(Node::Daemon(sender), Node::Daemon(receiver)).await;
        let outgoing = TcpStream::connect(listens_at).await?;
        incoming.set_nodelay(true)?;
        outgoing.set_nodelay(true)?;
        let (from_sender, to_sender) = incoming.into_split();
        let (from_receiver, to_receiver) = outgoing.into_split();
        tokio::select! {
            result = self.copy(from_sender, to_receiver, sender, receiver) => result,
            result = self.copy(from_receiver, to_sender, receiver, sender) => result,
        }
    }

    /// Copies bytes one way; what is sent during a cut arrives when it heals.
    async fn copy(
        &self,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        sender: usize,
        receiver: usize,
    ) -> io::Result<()> {
        let (sender_node, receiver_node) = (Node::Daemon(sender), Node::Daemon(receiver));
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let length = from.read(&mut buffer).await?;
            if length == 0 {
                return Ok(());
            }
            if !self.passes(sender_node, receiver_node) {
                self.wait_until_passes(sender_node, receiver_node).await;
            }
            // An address that two reads split stays as it is: a message then arrives as if another daemon sent it.
            self.rewrite_addresses(&mut buffer[..length], daemon_part(sender), daemon_part(receiver));
            to.write_all(&buffer[..length]).await?;
        }
    }
}

/// Returns the last part of a daemon's IP address.
fn daemon_part(daemon: usize) -> u8 {
    FIRST_DAEMON_PART + daemon as u8
}

fn node(endpoint: Endpoint) -> Node {
    match endpoint {
        Endpoint::Store => Node::Store,
        Endpoint::Advice => Node::Advice,
        Endpoint::Host(number) => Node::Host(number),
    }
}
