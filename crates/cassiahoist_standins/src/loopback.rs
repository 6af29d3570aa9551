//! Serves the stand-in platform over loopback to daemons that run as separate processes.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cassiahoist_traffic::caller_server::text_response;
use cassiahoist_traffic::protocol::FullResponse;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::advice::answer_call;
use crate::platform::StandInPlatform;
use crate::store::CallOutcome;
use crate::workload::Workload;

/// Interval at which hosts and store leases advance.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(10);

/// Delay before a call for advice is answered.
const ADVICE_LATENCY: Duration = Duration::from_millis(20);

/// The part of the platform that a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Endpoint {
    /// The store.
    Store,
    /// The advice service.
    Advice,
    /// A host by number.
    Host(usize),
}

/// Stand-in platform shared by all listeners.
#[derive(Clone, Debug)]
pub struct SharedPlatform {
    platform: Arc<Mutex<StandInPlatform>>,
    changed: Arc<Notify>,
    start: Instant,
}

/// Addresses at which the platform listens.
#[derive(Clone, Copy, Debug)]
pub struct PlatformAddresses {
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the advice service.
    pub advice: SocketAddr,
}

/// Platform time at startup, in milliseconds.
pub(crate) const START_MS: u64 = 1_000;

impl SharedPlatform {
    /// Starts a platform with the given number of hosts and spawns its listeners.
    ///
    /// # Errors
    /// A listener can't be bound.
    pub async fn start(hosts: usize) -> std::io::Result<(Self, PlatformAddresses)> {
        let store = TcpListener::bind("127.0.0.1:0").await?;
        let advice = TcpListener::bind("127.0.0.1:0").await?;
        let mut listeners = Vec::with_capacity(hosts);
        for _ in 0..hosts {
            listeners.push(TcpListener::bind("127.0.0.1:0").await?);
        }
        let host_addresses: Vec<String> = listeners
            .iter()
            .map(|listener| listener.local_addr().map(|address| address.to_string()))
            .collect::<Result<_, _>>()?;
        let shared = Self::new(StandInPlatform::new(&host_addresses, Workload::Plain, START_MS));
        let platform_addresses =
            PlatformAddresses { store: store.local_addr()?, advice: advice.local_addr()? };
        drop(tokio::spawn(shared.clone().serve(store, Endpoint::Store)));
        drop(tokio::spawn(shared.clone().serve(advice, Endpoint::Advice)));
        for (number, listener) in listeners.into_iter().enumerate() {
            drop(tokio::spawn(shared.clone().serve(listener, Endpoint::Host(number))));
        }
        Ok((shared, platform_addresses))
    }

    /// Shares a platform that was created at [`START_MS`], and lets its time pass.
    pub(crate) fn new(platform: StandInPlatform) -> Self {
        let shared =
            Self { platform: Arc::new(Mutex::new(platform)), changed: Arc::default(), start: Instant::now() };
        drop(tokio::spawn(shared.clone().advance_periodically()));
        shared
    }

    /// Returns the platform's time, in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        START_MS + self.start.elapsed().as_millis() as u64
    }

    /// Calls a closure with the locked platform and its time, in milliseconds.
    pub fn with_platform<T>(&self, act: impl FnOnce(&mut StandInPlatform, u64) -> T) -> T {
        let now_ms = self.now_ms();
        act(&mut self.platform.lock().unwrap_or_else(PoisonError::into_inner), now_ms)
    }

    async fn advance_periodically(self) {
        loop {
            tokio::time::sleep(ADVANCE_INTERVAL).await;
            self.with_platform(super::platform::StandInPlatform::advance);
            self.changed.notify_waiters();
        }
    }

    async fn serve(self, listener: TcpListener, endpoint: Endpoint) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let shared = self.clone();
            let service = service_fn(move |request| {
                let shared = shared.clone();
                async move { Ok::<_, Infallible>(shared.respond(request, endpoint).await) }
            });
            let connection =
                hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            drop(tokio::spawn(connection));
        }
    }

    async fn respond(&self, request: Request<Incoming>, endpoint: Endpoint) -> FullResponse {
        let method = request.method().to_string();
        let target = request.uri().path_and_query().map(ToString::to_string).unwrap_or_default();
        let Ok(body) = request.into_body().collect().await else {
            return text_response(400, "application/json", "{}".into());
        };
        let (status, reply) = self.answer(endpoint, &method, &target, &body.to_bytes()).await;
        text_response(status, "application/json", reply)
    }

    /// Answers a call that arrives now with a status and a JSON body.
    pub(crate) async fn answer(
        &self,
        endpoint: Endpoint,
        method: &str,
        target: &str,
        body: &Bytes,
    ) -> (u16, String) {
        let arrived_ms = self.now_ms();
        if endpoint == Endpoint::Advice {
            tokio::time::sleep(ADVICE_LATENCY).await;
        }
        let mut first_attempt = true;
        loop {
            let changed = self.changed.notified();
            let outcome = self.call(endpoint, method, target, body, arrived_ms, first_attempt);
            first_attempt = false;
            if let CallOutcome::Reply(status, reply) = outcome {
                self.changed.notify_waiters();
                return (status, reply.to_string());
            }
            changed.await;
        }
    }

    fn call(
        &self,
        endpoint: Endpoint,
        method: &str,
        target: &str,
        body: &Bytes,
        arrived_ms: u64,
        first_attempt: bool,
    ) -> CallOutcome {
        self.with_platform(|platform, now_ms| {
            // A host processes the recorded ends of a poll only in the attempt at its arrival time.
            let now_ms = if first_attempt { arrived_ms } else { now_ms };
            match endpoint {
                Endpoint::Store => platform.store.call(method, target, body, arrived_ms, now_ms),
                Endpoint::Advice => CallOutcome::Reply(200, answer_call(body)),
                Endpoint::Host(number) => {
                    let host = &mut platform.registered_hosts[number].host;
                    host.call(target, body, arrived_ms, now_ms, &platform.ground_truth, &mut platform.trace)
                }
            }
        })
    }
}
