//! A proxy in front of one runner. It can withhold one order and deliver it later, and fall silent.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::cell::Record;
use crate::http::{call, serve, Answer, Request};

/// Longest time that a forwarded order may take: the longest wait of a hold and some more.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(2_500);

type KeptOrder = (String, Vec<(String, String)>, String);

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    runner: SocketAddr,
    record: Record,
    /// Path and text of the next order that gets no answer and is kept.
    withholds: Arc<Mutex<Option<(&'static str, &'static str)>>>,
    /// Path, headers and body of the order that is kept.
    kept: Arc<Mutex<Option<KeptOrder>>>,
    silent: Arc<AtomicBool>,
}

impl Proxy {
    pub fn start(runner: SocketAddr, record: Record) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let proxy = Proxy {
            address: listener.local_addr().expect("an address"),
            runner,
            record,
            withholds: Arc::default(),
            kept: Arc::default(),
            silent: Arc::default(),
        };
        let served = proxy.clone();
        serve(listener, move |request| served.forward(request));
        proxy
    }

    /// Lets the next order to a path, with a text in its body, go without an answer and keeps it.
    pub fn withhold_next(&self, path: &'static str, text: &'static str) {
        *self.withholds.lock().expect("what to keep") = Some((path, text));
    }

    /// Returns whether a start order is being kept.
    pub fn has_withheld(&self) -> bool {
        self.kept.lock().expect("the kept order").is_some()
    }

    /// Neither answers nor closes connections from now on, or serves again.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }

    /// Delivers the kept order to whoever listens at the runner's address now.
    pub fn deliver_withheld(&self) {
        let Some((path, headers, body)) = self.kept.lock().expect("the kept order").take() else { return };
        self.record.add(&format!("the withheld order arrives: {body}"));
        let answer = self.send("POST", &path, &headers, &body);
        self.record.add(&format!("the withheld order is answered {answer:?}; the answer is lost"));
    }

    fn send(&self, method: &str, path: &str, headers: &[(String, String)], body: &str) -> Option<Answer> {
        let passed = |name: &str| ["x-expect-instance", "host"].contains(&name.to_lowercase().as_str());
        let headers = headers.iter().filter(|(name, _)| passed(name));
        let headers: Vec<(&str, &str)> =
            headers.map(|(name, value)| (name.as_str(), value.as_str())).collect();
        call(self.runner, method, path, &headers, body, FORWARD_TIMEOUT)
    }

    fn forward(&self, request: &Request) -> Option<Answer> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let is_due = |(path, text): &mut (&str, &str)| request.path == *path && body.contains(*text);
        if self.withholds.lock().expect("what to keep").take_if(is_due).is_some() {
            self.record.add(&format!("the proxy withholds an order: {body}"));
            *self.kept.lock().expect("the kept order") =
                Some((request.path.clone(), request.headers.clone(), body));
            std::thread::sleep(Duration::from_secs(60));
            return None;
        }
        let answer = self.send(&request.method, &request.path, &request.headers, &body);
        while self.silent.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
        answer
    }
}
