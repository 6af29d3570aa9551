//! Stand-in of the platform's metadata store, as PROTOCOL.md describes it.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{serve, Answer, Request};
use crate::json::{parse, quote, Json};

const PAGE_ITEMS: usize = 500;

/// Size of a page of a listing from which it holds no further items, in bytes.
const PAGE_BYTES: usize = 1 << 20;

/// `valueBytes` of the settings.
pub const VALUE_BYTES: usize = 1_048_576;

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, (Instant, u64)>,
    /// Revision, key and event of each change.
    history: Vec<(u64, String, String)>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

fn render(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":{},\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        quote(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value: value.to_owned(), revision, created, lease };
        self.history.push((revision, key.to_owned(), render(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = format!("{{\"key\":{},\"revision\":{},\"deleted\":true}}", quote(key), self.revision);
            self.history.push((self.revision, key.to_owned(), event));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, item)| item.lease == lease).map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.delete(&key);
        }
    }

    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (until, _))| now >= *until).map(|(lease, _)| *lease).collect();
        for lease in &ended {
            self.end_lease(*lease);
        }
        !ended.is_empty()
    }
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = State { revision: 100, ..State::default() };
        let store = Store { state: Arc::new((Mutex::new(state), Condvar::new())), address };
        let served = store.clone();
        serve(listener, move |request| Some(served.answer(request)));
        let swept = store.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(10));
            if swept.lock().expire() {
                swept.state.1.notify_all();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("the store's state")
    }

    /// Writes as the operator does.
    pub fn put(&self, key: &str, value: &[u8]) {
        let mut state = self.lock();
        state.revision += 1;
        state.put(key, &encode_base64(value), 0);
        self.state.1.notify_all();
    }

    fn answer(&self, request: &Request) -> Answer {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/-/kv-key") => {
                let state = self.lock();
                let key = request.param("key");
                state.items.get(key).map_or((404, "{}".into()), |item| (200, render(key, item)))
            }
            ("GET", "/-/kv-range") => self.range(request),
            ("GET", "/-/kv-watch") => self.watch(request),
            ("POST", "/-/kv-txn") => self.commit(&request.body),
            ("POST", "/-/kv-lease") => {
                let ttl_ms = parse(&request.body).map_or(1_000, |body| body.get("ttlMs").u64()).max(1_000);
                let mut state = self.lock();
                state.revision += 1;
                let lease = state.revision;
                state.leases.insert(lease, (Instant::now() + Duration::from_millis(ttl_ms), ttl_ms));
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}"))
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                let lease: u64 = path["/-/kv-keep/".len()..].parse().unwrap_or(0);
                match self.lock().leases.get_mut(&lease) {
                    Some((until, ttl_ms)) => {
                        *until = Instant::now() + Duration::from_millis(*ttl_ms);
                        (200, format!("{{\"ttlMs\":{ttl_ms}}}"))
                    }
                    None => (404, "{}".into()),
                }
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                let lease: u64 = path["/-/kv-lease-end/".len()..].parse().unwrap_or(0);
                self.lock().end_lease(lease);
                self.state.1.notify_all();
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }

    fn range(&self, request: &Request) -> Answer {
        let state = self.lock();
        let (prefix, after) = (request.param("pathPrefix"), request.param("after"));
        let from = if after.is_empty() { prefix.to_owned() } else { format!("{after}\u{0}") };
        let mut rows = state.items.range(from..).take_while(|(key, _)| key.starts_with(prefix)).peekable();
        let (mut page, mut bytes) = (Vec::new(), 0);
        while page.len() < PAGE_ITEMS && bytes < PAGE_BYTES {
            let Some((key, item)) = rows.next() else { break };
            bytes += item.value.len();
            page.push(render(key, item));
        }
        let has_more = rows.peek().is_some();
        let (items, revision) = (page.join(","), state.revision);
        (200, format!("{{\"items\":[{items}],\"hasMore\":{has_more},\"storeRevision\":{revision}}}"))
    }

    fn watch(&self, request: &Request) -> Answer {
        let prefix = request.param("pathPrefix");
        let after: u64 = request.param("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.param("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.lock();
        loop {
            let first = state.history.partition_point(|(revision, _, _)| *revision <= after);
            let events: Vec<&str> = state.history[first..]
                .iter()
                .filter(|(_, key, _)| key.starts_with(prefix))
                .map(|(_, _, event)| event.as_str())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"storeRevision\":{revision}}}"));
            }
            state = self.state.1.wait_timeout(state, left).expect("the store's state").0;
        }
    }

    fn commit(&self, body: &[u8]) -> Answer {
        let Some(body) = parse(body) else { return (400, "{}".into()) };
        let is_too_large = |put: &Json| put.get("value").text().len() / 4 * 3 > VALUE_BYTES + 2;
        if body.get("puts").list().iter().any(is_too_large) {
            return (400, "{}".into());
        }
        let mut state = self.lock();
        let holds = |row: &Json| {
            let revision = state.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            revision == row.get("revision").u64()
        };
        if !body.get("expect").list().iter().all(holds) {
            let keys = body.get("expect").list().iter().map(|row| row.get("key").text());
            let items: Vec<String> =
                keys.filter_map(|key| state.items.get(key).map(|item| render(key, item))).collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = body.get("puts").list();
        let lease_of = |put: &Json| put.get("lease").u64();
        if puts.iter().any(|put| lease_of(put) != 0 && !state.leases.contains_key(&lease_of(put))) {
            return (404, "{}".into());
        }
        state.revision += 1;
        for put in puts {
            state.put(put.get("key").text(), put.get("value").text(), lease_of(put));
        }
        for key in body.get("deletes").list() {
            state.delete(key.text());
        }
        self.state.1.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}

pub fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word =
            chunk.iter().enumerate().fold(0_u32, |word, (i, byte)| word | u32::from(*byte) << (16 - 8 * i));
        for i in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * i)) as usize & 63] as char;
            out.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    out
}
