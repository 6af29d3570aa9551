//! Stand-in of the platform's store.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Answer, Request};
use crate::json::{Json, decode_base64, encode_base64, quote};

/// Time that the store takes for an answer.
const LATENCY: Duration = Duration::from_millis(4);

/// Most items on a page.
const PAGE_ITEMS: usize = 500;

/// Most entries of a transaction.
const MAX_ENTRIES: usize = 32;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Copy)]
struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Key, revision and item of each change; `None` for a removal.
    history: Vec<(String, u64, Option<Item>)>,
    revision: u64,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    /// Since when every call is answered with 503; the leases pause meanwhile.
    busy_since: Option<Instant>,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.into(), item.clone());
        self.history.push((key.into(), self.revision, Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((key.into(), self.revision, None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let bound = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.delete(&key);
        }
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| now >= lease.ends).map(|(id, _)| *id).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn commit(&mut self, body: &Json) -> Answer {
        let (expect, puts, deletes) =
            (body.get("expect").list(), body.get("puts").list(), body.get("deletes").list());
        if expect.len() + puts.len() + deletes.len() > MAX_ENTRIES {
            return Some((400, "{}".into()));
        }
        let holds = |row: &Json| {
            let revision = self.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            row.get("revision").u64() == Some(revision)
        };
        if !expect.iter().all(holds) {
            let rows = expect.iter().filter_map(|row| {
                let key = row.get("key").text();
                self.items.get(key).map(|item| item_json(key, item))
            });
            return Some((412, format!("{{\"items\":[{}]}}", rows.collect::<Vec<_>>().join(","))));
        }
        let lease_of = |put: &Json| put.get("lease").u64().unwrap_or(0);
        if puts.iter().any(|put| lease_of(put) > 0 && !self.leases.contains_key(&lease_of(put))) {
            return Some((404, "{}".into()));
        }
        self.revision += 1;
        for put in puts {
            self.write(put.get("key").text(), put.get("value").text().into(), lease_of(put));
        }
        for key in deletes {
            self.delete(key.text());
        }
        Some((200, format!("{{\"revision\":{}}}", self.revision)))
    }

    fn range(&self, prefix: &str, after: &str) -> Answer {
        let rest = self.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let rest: Vec<_> = rest.take(PAGE_ITEMS + 1).collect();
        let page = rest.iter().take(PAGE_ITEMS).map(|(key, item)| item_json(key, item));
        Some((
            200,
            format!(
                "{{\"items\":[{}],\"hasMore\":{},\"storeRevision\":{}}}",
                page.collect::<Vec<_>>().join(","),
                rest.len() > PAGE_ITEMS,
                self.revision
            ),
        ))
    }

    /// Returns the changes of a range after a revision; `None` if there are none.
    fn changes(&self, prefix: &str, after: u64) -> Option<String> {
        let new =
            self.history.iter().filter(|(key, revision, _)| *revision > after && key.starts_with(prefix));
        let rows: Vec<String> = new
            .map(|(key, revision, item)| match item {
                Some(item) => item_json(key, item),
                None => format!("{{\"key\":{},\"revision\":{revision},\"deleted\":true}}", quote(key)),
            })
            .collect();
        (!rows.is_empty()).then(|| rows.join(","))
    }
}

impl Store {
    pub fn new() -> Self {
        let state = State { revision: 100, last_lease: 1_000, ..State::default() };
        let store = Self { state: Arc::new((Mutex::new(state), Condvar::new())) };
        let ticking = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(10));
                let mut state = ticking.state.0.lock().unwrap();
                if state.busy_since.is_none() {
                    state.end_leases();
                }
                drop(state);
                ticking.state.1.notify_all();
            }
        });
        store
    }

    /// Writes a key, as the operator or a runner does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.write(key, encode_base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    /// Returns the value of a key as text.
    pub fn get(&self, key: &str) -> Option<String> {
        let state = self.state.0.lock().unwrap();
        let value = state.items.get(key).map(|item| decode_base64(&item.value))?;
        String::from_utf8(value).ok()
    }

    /// Begins an outage: every call is answered with 503, and leases pause.
    pub fn begin_outage(&self) {
        self.state.0.lock().unwrap().busy_since = Some(Instant::now());
        self.state.1.notify_all();
    }

    /// Ends an outage.
    pub fn end_outage(&self) {
        let mut state = self.state.0.lock().unwrap();
        if let Some(since) = state.busy_since.take() {
            for lease in state.leases.values_mut() {
                lease.ends += since.elapsed();
            }
        }
        self.state.1.notify_all();
    }

    /// Answers a call of a daemon.
    pub fn answer(&self, request: &Request) -> Answer {
        std::thread::sleep(LATENCY);
        let mut state = self.state.0.lock().unwrap();
        if state.busy_since.is_some() {
            return Some((503, "{}".into()));
        }
        state.end_leases();
        let last_part = || request.path().rsplit('/').next().unwrap_or_default().parse().unwrap_or(0);
        match (request.method.as_str(), request.path()) {
            ("GET", "/-/kv-key") => {
                let key = request.parameter("key");
                Some(match state.items.get(&key) {
                    Some(item) => (200, item_json(&key, item)),
                    None => (404, format!("{{\"storeRevision\":{}}}", state.revision)),
                })
            }
            ("GET", "/-/kv-range") => {
                state.range(&request.parameter("pathPrefix"), &request.parameter("after"))
            }
            ("GET", "/-/kv-watch") => {
                drop(state);
                self.watch(request)
            }
            ("POST", "/-/kv-txn") => {
                let answer = state.commit(&Json::parse(&request.body));
                self.state.1.notify_all();
                answer
            }
            ("POST", "/-/kv-lease") => {
                let ttl_ms = Json::parse(&request.body).get("ttlMs").u64().unwrap_or(1_000);
                let ttl = Duration::from_millis(ttl_ms);
                state.last_lease += 1;
                let id = state.last_lease;
                state.leases.insert(id, Lease { ttl, ends: Instant::now() + ttl });
                Some((200, format!("{{\"lease\":{id},\"ttlMs\":{ttl_ms}}}")))
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                Some(match state.leases.get_mut(&last_part()) {
                    Some(lease) => {
                        lease.ends = Instant::now() + lease.ttl;
                        (200, format!("{{\"ttlMs\":{}}}", lease.ttl.as_millis()))
                    }
                    None => (404, "{}".into()),
                })
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                state.end_lease(last_part());
                self.state.1.notify_all();
                Some((200, "{}".into()))
            }
            _ => Some((400, "{}".into())),
        }
    }

    fn watch(&self, request: &Request) -> Answer {
        let after = request.parameter("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.parameter("waitMs").parse().unwrap_or(0));
        let prefix = request.parameter("pathPrefix");
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            if state.busy_since.is_some() {
                return Some((503, "{}".into()));
            }
            let rows = state.changes(&prefix, after);
            if rows.is_some() || Instant::now() >= until {
                let rows = rows.unwrap_or_default();
                return Some((200, format!("{{\"events\":[{rows}],\"storeRevision\":{}}}", state.revision)));
            }
            state = self.state.1.wait_timeout(state, Duration::from_millis(20)).unwrap().0;
        }
    }
}
