//! A stand-in for the platform's key-value store.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cassiahoist_wire::store::{Listing, VERSION_HEADER};
use hyper::Method;

use crate::fault::{FaultSwitch, Play};
use crate::http::{Handler, WholeRequest, WholeResponse, query, reply};

/// Largest value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

#[derive(Clone, Debug)]
struct Entry {
    version: u64,
    value: Bytes,
    expires: Option<Instant>,
}

#[derive(Debug, Default)]
struct Contents {
    entries: BTreeMap<String, Entry>,
    /// Last change below each first path segment.
    changed: BTreeMap<String, u64>,
    revision: u64,
    reads: u64,
    writes: u64,
}

/// The store: values with versions, compare-and-swap, leases and conditional listings.
#[derive(Debug, Default)]
pub struct StoreStandIn {
    contents: Mutex<Contents>,
    faults: FaultSwitch,
}

impl Contents {
    fn touch(&mut self, key: &str) -> u64 {
        self.revision += 1;
        let prefix = key.split('/').next().unwrap_or_default();
        self.changed.insert(prefix.into(), self.revision);
        self.revision
    }

    fn expire(&mut self, now: Instant) {
        let expired: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.expires.is_some_and(|expires| expires <= now))
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            self.entries.remove(&key);
            self.touch(&key);
        }
    }

    fn read(&self, key: &str, newer_than: u64) -> WholeResponse {
        match self.entries.get(key) {
            None => reply(404, ""),
            Some(entry) if newer_than >= entry.version => reply(304, ""),
            Some(entry) => versioned(entry.version, entry.value.clone()),
        }
    }

    fn swap(&mut self, key: &str, if_version: u64, value: Bytes) -> WholeResponse {
        let version = self.entries.get(key).map_or(0, |entry| entry.version);
        if version != if_version {
            return reply(409, "");
        }
        if value.len() > MAX_VALUE_BYTES {
            return reply(413, "");
        }
        let version = self.touch(key);
        self.entries.insert(key.into(), Entry { version, value, expires: None });
        versioned(version, Bytes::new())
    }

    fn renew(&mut self, key: &str, value: Bytes, expires: Instant) -> WholeResponse {
        if let Some(entry) = self.entries.get_mut(key).filter(|entry| entry.value == value) {
            entry.expires = Some(expires);
            return reply(200, "");
        }
        let version = self.touch(key);
        self.entries.insert(key.into(), Entry { version, value, expires: Some(expires) });
        reply(200, "")
    }

    fn list(&self, prefix: &str, newer_than: u64) -> WholeResponse {
        let first = prefix.split('/').next().unwrap_or_default();
        let version = self.changed.get(first).copied().unwrap_or_default();
        if newer_than >= version && newer_than > 0 {
            return reply(304, "");
        }
        let below = self.entries.range(prefix.to_owned()..).take_while(|(key, _)| key.starts_with(prefix));
        let values = below.map(|(_, entry)| String::from_utf8_lossy(&entry.value).into_owned()).collect();
        reply(200, serde_json::to_vec(&Listing { version, values }).unwrap_or_default())
    }

    fn answer(&mut self, request: &WholeRequest) -> WholeResponse {
        let number =
            |name: &str| query(request, name).and_then(|text| text.parse::<u64>().ok()).unwrap_or_default();
        let path = request.uri().path();
        if *request.method() == Method::GET {
            self.reads += 1;
        } else {
            self.writes += 1;
        }
        if let Some(key) = path.strip_prefix("/kv/") {
            return match *request.method() {
                Method::GET => self.read(key, number("newer_than")),
                Method::PUT => self.swap(key, number("if_version"), request.body().clone()),
                _ => reply(405, ""),
            };
        }
        if let Some(key) = path.strip_prefix("/leased/") {
            return match *request.method() {
                Method::PUT => {
                    let expires = Instant::now() + Duration::from_millis(number("ttl_ms"));
                    self.renew(key, request.body().clone(), expires)
                }
                Method::DELETE => {
                    self.entries.remove(key);
                    self.touch(key);
                    reply(200, "")
                }
                _ => reply(405, ""),
            };
        }
        match path.strip_prefix("/list/") {
            Some(prefix) => self.list(prefix, number("newer_than")),
            None => reply(404, ""),
        }
    }
}

fn versioned(version: u64, value: Bytes) -> WholeResponse {
    let mut response = reply(200, value);
    response.headers_mut().insert(VERSION_HEADER, version.into());
    response
}

impl Handler for StoreStandIn {
    async fn handle(&self, request: WholeRequest) -> Option<WholeResponse> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/fault") => {
                self.faults.set(serde_json::from_slice(request.body()).ok()?);
                return Some(reply(200, ""));
            }
            (&Method::GET, "/calls") => {
                let contents = self.contents.lock().unwrap_or_else(PoisonError::into_inner);
                let json = format!("{{\"reads\":{},\"writes\":{}}}", contents.reads, contents.writes);
                return Some(reply(200, json));
            }
            _ => {}
        }
        let play = self.faults.play().await;
        if play == Play::Refuse {
            return Some(reply(503, ""));
        }
        let response = {
            let mut contents = self.contents.lock().unwrap_or_else(PoisonError::into_inner);
            contents.expire(Instant::now());
            contents.answer(&request)
        };
        if play == Play::LoseAnswer { None } else { Some(response) }
    }
}
