//! The platform's stand-ins over loopback, for daemons that run as processes of their own.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cassiahoist_traffic::front_server::text_response;
use cassiahoist_traffic::protocol::WholeResponse;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::advice::advise;
use crate::platform::Platform;
use crate::store::Outcome;
use crate::workload::Workload;

/// Pause between steps of the hosts' work.
const STEP: Duration = Duration::from_millis(10);

/// Time of a call for advice.
const ADVICE_TIME: Duration = Duration::from_millis(20);

/// What listens at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Store,
    Advice,
    Host(usize),
}

/// The platform, shared by all listeners.
#[derive(Clone, Debug)]
pub struct SharedPlatform {
    platform: Arc<Mutex<Platform>>,
    changed: Arc<Notify>,
    start: Instant,
}

/// Where the stand-ins listen.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// The store.
    pub store: SocketAddr,
    /// The advice service.
    pub advice: SocketAddr,
}

/// Time at the stand-ins' start, in milliseconds.
const START_MS: u64 = 1_000;

impl SharedPlatform {
    /// Starts a platform with some hosts.
    ///
    /// # Errors
    /// An address can't be bound.
    pub async fn start(hosts: usize) -> std::io::Result<(Self, Addresses)> {
        let store = TcpListener::bind("127.0.0.1:0").await?;
        let advice = TcpListener::bind("127.0.0.1:0").await?;
        let mut listeners = Vec::with_capacity(hosts);
        for _ in 0..hosts {
            listeners.push(TcpListener::bind("127.0.0.1:0").await?);
        }
        let addresses: Vec<String> = listeners
            .iter()
            .map(|listener| listener.local_addr().map(|address| address.to_string()))
            .collect::<Result<_, _>>()?;
        let shared = Self {
            platform: Arc::new(Mutex::new(Platform::new(&addresses, Workload::Plain, START_MS))),
            changed: Arc::default(),
            start: Instant::now(),
        };
        let bound = Addresses { store: store.local_addr()?, advice: advice.local_addr()? };
        drop(tokio::spawn(shared.clone().serve(store, Role::Store)));
        drop(tokio::spawn(shared.clone().serve(advice, Role::Advice)));
        for (number, listener) in listeners.into_iter().enumerate() {
            drop(tokio::spawn(shared.clone().serve(listener, Role::Host(number))));
        }
        drop(tokio::spawn(shared.clone().step()));
        Ok((shared, bound))
    }

    /// Gives the stand-ins' time, in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        START_MS + self.start.elapsed().as_millis() as u64
    }

    /// Polls at the platform or changes it.
    pub fn with<T>(&self, act: impl FnOnce(&mut Platform, u64) -> T) -> T {
        let now_ms = self.now_ms();
        act(&mut self.platform.lock().unwrap_or_else(PoisonError::into_inner), now_ms)
    }

    async fn step(self) {
        loop {
            tokio::time::sleep(STEP).await;
            self.with(super::platform::Platform::advance);
            self.changed.notify_waiters();
        }
    }

    async fn serve(self, listener: TcpListener, role: Role) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let shared = self.clone();
            let service = service_fn(move |request| {
                let shared = shared.clone();
                async move { Ok::<_, Infallible>(shared.answer(request, role).await) }
            });
            let connection =
                hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            drop(tokio::spawn(connection));
        }
    }

    async fn answer(&self, request: Request<Incoming>, role: Role) -> WholeResponse {
        let method = request.method().to_string();
        let target = request.uri().path_and_query().map(ToString::to_string).unwrap_or_default();
        let Ok(body) = request.into_body().collect().await else {
            return text_response(400, "application/json", "{}".into());
        };
        let body = body.to_bytes();
        let sent_ms = self.now_ms();
        if role == Role::Advice {
            tokio::time::sleep(ADVICE_TIME).await;
        }
        let mut first = true;
        loop {
            let changed = self.changed.notified();
            let outcome = self.call(role, &method, &target, &body, sent_ms, first);
            first = false;
            if let Outcome::Reply(status, reply) = outcome {
                self.changed.notify_waiters();
                return text_response(status, "application/json", reply.to_string());
            }
            changed.await;
        }
    }

    fn call(
        &self,
        role: Role,
        method: &str,
        target: &str,
        body: &Bytes,
        sent_ms: u64,
        first: bool,
    ) -> Outcome {
        self.with(|platform, now_ms| {
            let now_ms = if first { sent_ms } else { now_ms };
            match role {
                Role::Store => platform.store.call(method, target, body, sent_ms, now_ms),
                Role::Advice => Outcome::Reply(200, advise(body)),
                Role::Host(number) => {
                    let runner = &mut platform.machines[number].runner;
                    runner.call(target, body, sent_ms, now_ms, &platform.truth, &mut platform.trace)
                }
            }
        })
    }
}
