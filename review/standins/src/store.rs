//! The platform's store. Each daemon reaches it at an address of its own, so that the store knows who calls.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Reply, Request};
use crate::json::{Json, parse, quote};

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

const MAX_PAGE_ITEMS: usize = 500;

#[derive(Clone, Debug)]
struct Item {
    /// In base64, as on the wire.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    events: Vec<(u64, String, Option<Item>)>,
    /// Daemon that made the change of a revision.
    authors: HashMap<u64, usize>,
    /// Daemon that wrote the claim last.
    claimant: Option<usize>,
    /// When each daemon last renewed its lease.
    renewed_at: HashMap<usize, Instant>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    cut: Vec<AtomicBool>,
}

fn wire_item(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":{},\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        quote(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

pub fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number =
            chunk.iter().enumerate().fold(0_u32, |sum, (i, byte)| sum | u32::from(*byte) << (16 - 8 * i));
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(DIGITS[(number >> (18 - 6 * digit) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

impl State {
    fn write(&mut self, key: &str, value: Option<(String, u64)>) {
        let revision = self.revision;
        let item = value.map(|(value, lease)| {
            let created = self.items.get(key).map_or(revision, |item| item.created);
            Item { value, revision, created, lease }
        });
        match &item {
            Some(item) => drop(self.items.insert(key.to_owned(), item.clone())),
            None => drop(self.items.remove(key)),
        }
        self.events.push((revision, key.to_owned(), item));
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, item)| item.lease == lease).map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.write(&key, None);
        }
    }
}

impl Store {
    pub fn new(daemons: usize) -> Arc<Self> {
        let state = State { revision: 1, ..State::default() };
        let cut = (0..daemons).map(|_| AtomicBool::new(false)).collect();
        let store = Arc::new(Self { state: Mutex::new(state), changed: Condvar::new(), cut });
        let copy = Arc::clone(&store);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(5));
                copy.end_old_leases();
            }
        });
        store
    }

    fn end_old_leases(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let old: Vec<u64> =
            state.leases.iter().filter(|(_, lease)| now >= lease.ends_at).map(|(id, _)| *id).collect();
        for lease in &old {
            state.end_lease(*lease);
        }
        if !old.is_empty() {
            self.changed.notify_all();
        }
    }

    /// Cuts a daemon off from the store, or heals the cut.
    pub fn set_cut(&self, daemon: usize, cut: bool) {
        self.cut[daemon].store(cut, Ordering::SeqCst);
        self.changed.notify_all();
    }

    pub fn claimant(&self) -> Option<usize> {
        self.state.lock().unwrap().claimant
    }

    /// Returns how long ago a daemon last renewed its lease.
    pub fn renewed_ago(&self, daemon: usize) -> Option<Duration> {
        self.state.lock().unwrap().renewed_at.get(&daemon).map(Instant::elapsed)
    }

    /// Returns the daemon that made the change of a revision, which may be a fencing token.
    pub fn author(&self, revision: u64) -> Option<usize> {
        self.state.lock().unwrap().authors.get(&revision).copied()
    }

    /// Writes a key of the operator or of a runner.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.write(key, Some((encode_base64(value.as_bytes()), 0)));
        self.changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        if state.items.contains_key(key) {
            state.revision += 1;
            state.write(key, None);
            self.changed.notify_all();
        }
    }

    fn is_cut(&self, daemon: usize) -> bool {
        self.cut.get(daemon).is_some_and(|cut| cut.load(Ordering::SeqCst))
    }

    /// Serves a call of a daemon.
    pub fn serve(&self, daemon: usize, request: &Request) -> Reply {
        if self.is_cut(daemon) {
            return Reply::Silence;
        }
        let (status, body) = self.answer(daemon, request);
        std::thread::sleep(ANSWER_TIME);
        if self.is_cut(daemon) { Reply::Silence } else { Reply::Answer(status, body) }
    }

    fn answer(&self, daemon: usize, request: &Request) -> (u16, String) {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/-/kv-key") => self.key(&request.query("key").unwrap_or_default()),
            ("GET", "/-/kv-range") => self.range(request),
            ("GET", "/-/kv-watch") => self.watch(daemon, request),
            ("POST", "/-/kv-txn") => self.transact(daemon, &request.body),
            ("POST", "/-/kv-lease") => self.grant(&request.body),
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                self.keep(daemon, &path["/-/kv-keep/".len()..])
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                let mut state = self.state.lock().unwrap();
                let lease = path["/-/kv-lease-end/".len()..].parse().unwrap_or(0);
                state.end_lease(lease);
                self.changed.notify_all();
                (200, "{}".into())
            }
            _ => (400, "{}".into()),
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        match state.items.get(key) {
            Some(item) => {
                let text = wire_item(key, item);
                (200, format!("{},\"storeRevision\":{}}}", &text[..text.len() - 1], state.revision))
            }
            None => (404, format!("{{\"storeRevision\":{}}}", state.revision)),
        }
    }

    fn range(&self, request: &Request) -> (u16, String) {
        let prefix = request.query("pathPrefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let state = self.state.lock().unwrap();
        let mut matching =
            state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && key.as_str() > after.as_str());
        let page: Vec<String> =
            matching.by_ref().take(MAX_PAGE_ITEMS).map(|(key, item)| wire_item(key, item)).collect();
        let has_more = matching.next().is_some();
        let body = format!(
            "{{\"items\":[{}],\"hasMore\":{has_more},\"storeRevision\":{}}}",
            page.join(","),
            state.revision
        );
        (200, body)
    }

    fn watch(&self, daemon: usize, request: &Request) -> (u16, String) {
        let prefix = request.query("pathPrefix").unwrap_or_default();
        let number = |name| request.query(name).and_then(|text| text.parse().ok()).unwrap_or(0_u64);
        let (after, wait) = (number("after"), Duration::from_millis(number("waitMs")));
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let first = state.events.partition_point(|(revision, _, _)| *revision <= after);
            let events: Vec<String> = state.events[first..]
                .iter()
                .filter(|(_, key, _)| key.starts_with(&prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => wire_item(key, item),
                    None => format!("{{\"key\":{},\"revision\":{revision},\"deleted\":true}}", quote(key)),
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || self.is_cut(daemon) {
                let body =
                    format!("{{\"events\":[{}],\"storeRevision\":{}}}", events.join(","), state.revision);
                return (200, body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, daemon: usize, body: &str) -> (u16, String) {
        let Some(call) = parse(body) else { return (400, "{}".into()) };
        let mut state = self.state.lock().unwrap();
        let (expect, puts, deletes) = (call.list("expect"), call.list("puts"), call.list("deletes"));
        if expect.len() + puts.len() + deletes.len() > 32 {
            return (400, "{}".into());
        }
        let holds = expect.iter().all(|row| {
            let known = state.items.get(row.text("key").unwrap_or_default()).map_or(0, |item| item.revision);
            known == row.u64("revision").unwrap_or(0)
        });
        if !holds {
            let items: Vec<String> = expect
                .iter()
                .map(|row| row.text("key").unwrap_or_default())
                .map(|key| match state.items.get(key) {
                    Some(item) => wire_item(key, item),
                    None => format!("{{\"key\":{},\"revision\":0}}", quote(key)),
                })
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let lease_of = |put: &Json| put.u64("lease").unwrap_or(0);
        if puts.iter().map(lease_of).any(|lease| lease > 0 && !state.leases.contains_key(&lease)) {
            return (404, "{}".into());
        }
        state.revision += 1;
        let revision = state.revision;
        state.authors.insert(revision, daemon);
        for put in puts {
            let key = put.text("key").unwrap_or_default();
            if key.contains("/claim/") {
                state.claimant = Some(daemon);
            }
            state.write(key, Some((put.text("value").unwrap_or_default().to_owned(), lease_of(put))));
        }
        for key in deletes {
            if let Json::Text(key) = key
                && state.items.contains_key(key)
            {
                state.write(key, None);
            }
        }
        self.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }

    fn grant(&self, body: &str) -> (u16, String) {
        let ttl_ms = parse(body).and_then(|call| call.u64("ttlMs")).unwrap_or(1_000).clamp(1_000, 600_000);
        let mut state = self.state.lock().unwrap();
        state.last_lease += 1;
        let (lease, ttl) = (state.last_lease, Duration::from_millis(ttl_ms));
        state.leases.insert(lease, Lease { ttl, ends_at: Instant::now() + ttl });
        (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}"))
    }

    fn keep(&self, daemon: usize, lease: &str) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        state.renewed_at.insert(daemon, Instant::now());
        match lease.parse().ok().and_then(|lease: u64| state.leases.get_mut(&lease)) {
            Some(row) => {
                row.ends_at = Instant::now() + row.ttl;
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{}}}", row.ttl.as_millis()))
            }
            None => (404, "{}".into()),
        }
    }
}
