//! Stand-in key-value store with leases, conditional transactions, watches and a bounded history.

use std::collections::{BTreeMap, VecDeque};

use rustc_hash::FxHashMap;
use serde_json::{Value, json};

/// Number of changes kept in the history.
const HISTORY_CAPACITY: usize = 20_000;

/// Outcome of one attempt to answer a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// Status code and JSON body of the reply.
    Reply(u16, Value),
    /// No reply yet: repeat the attempt after a change or when time has passed.
    Pending,
}

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Debug)]
struct Change {
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl_ms: u64,
    expires_ms: u64,
}

/// Key-value store in memory.
#[derive(Clone, Debug, Default)]
pub struct StandInStore {
    items: BTreeMap<String, Item>,
    /// Latest changes, ordered by revision.
    history: VecDeque<Change>,
    /// Revision before the oldest change in the history.
    ///
    /// A watch from an earlier revision gets status 410.
    compacted_revision: u64,
    revision: u64,
    leases: FxHashMap<u64, Lease>,
    last_lease: u64,
}

impl StandInStore {
    /// Creates an empty store at revision 100.
    #[must_use]
    pub fn new() -> Self {
        Self { revision: 100, compacted_revision: 100, last_lease: 1_000, ..Self::default() }
    }

    /// Returns the revision of the last write.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Expires the leases that weren't renewed in time.
    pub fn advance(&mut self, now_ms: u64) {
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| now_ms >= lease.expires_ms).map(|(id, _)| *id).collect();
        for lease in expired {
            self.revoke_lease(lease);
        }
    }

    /// Gives every lease its full time again, as a change of the store's leader does.
    pub fn extend_all_leases(&mut self, now_ms: u64) {
        for lease in self.leases.values_mut() {
            lease.expires_ms = now_ms + lease.ttl_ms;
        }
    }

    /// Expires every lease, as may happen in an outage of the store.
    pub fn expire_all_leases(&mut self) {
        let all: Vec<u64> = self.leases.keys().copied().collect();
        for lease in all {
            self.revoke_lease(lease);
        }
    }

    /// Drops the history, so that watches from earlier revisions have to list again.
    pub fn compact(&mut self) {
        self.history.clear();
        self.compacted_revision = self.revision;
    }

    /// Writes a key without a lease, as a writer other than the daemons.
    pub fn put(&mut self, key: &str, value: String) {
        self.revision += 1;
        self.write(key, value, 0);
    }

    /// Deletes a key, as a writer other than the daemons.
    pub fn remove(&mut self, key: &str) {
        self.revision += 1;
        self.delete(key);
    }

    /// Returns the encoded value of a key, `None` if it is absent.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&str> {
        self.items.get(key).map(|item| item.value.as_str())
    }

    /// Lists the keys with a prefix, in order.
    pub fn keys(&self, prefix: &str) -> impl Iterator<Item = &str> {
        let prefix = prefix.to_owned();
        self.items.keys().map(String::as_str).filter(move |key| key.starts_with(&prefix))
    }

    fn write(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.into(), item.clone());
        self.append_history(Change { key: key.into(), revision: self.revision, item: Some(item) });
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.append_history(Change { key: key.into(), revision: self.revision, item: None });
        }
    }

    fn append_history(&mut self, change: Change) {
        self.history.push_back(change);
        if self.history.len() > HISTORY_CAPACITY
            && let Some(oldest) = self.history.pop_front()
        {
            self.compacted_revision = oldest.revision;
        }
    }

    fn revoke_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let keys: Vec<String> =
            self.items.iter().filter(|(_, item)| item.lease == lease).map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.delete(&key);
        }
    }

    /// Answers a call that arrived at `arrived_ms`.
    ///
    /// Returns `Pending` for a watch that has no changes to report yet. The caller repeats it later
    /// with the same `arrived_ms`.
    pub fn call(
        &mut self,
        method: &str,
        target: &str,
        body: &[u8],
        arrived_ms: u64,
        now_ms: u64,
    ) -> CallOutcome {
        self.advance(now_ms);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let query: FxHashMap<&str, String> = query.map(|(name, value)| (name, decode_query(value))).collect();
        let parameter = |name: &str| query.get(name).map(String::as_str).unwrap_or_default();
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        match (method, path) {
            ("GET", "/-/kv-key") => self.read_key(parameter("key")),
            ("GET", "/-/kv-range") => self.read_range(parameter("pathPrefix"), parameter("after")),
            ("GET", "/-/kv-watch") => {
                let after = parameter("after").parse().unwrap_or_default();
                let wait_ms: u64 = parameter("waitMs").parse().unwrap_or_default();
                self.watch(parameter("pathPrefix"), after, now_ms >= arrived_ms + wait_ms)
            }
            ("POST", "/-/kv-txn") => self.commit(&body),
            ("POST", "/-/kv-lease") => self.grant_lease(body["ttlMs"].as_u64().unwrap_or_default(), now_ms),
            ("POST", _) => self.renew_lease(path.rsplit('/').next().unwrap_or_default(), now_ms),
            ("DELETE", _) => {
                let lease = path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or_default();
                self.revoke_lease(lease);
                CallOutcome::Reply(200, json!({}))
            }
            _ => CallOutcome::Reply(400, json!({})),
        }
    }

    fn item_json(key: &str, item: &Item) -> Value {
        json!({
            "key": key,
            "value": item.value,
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
        })
    }

    fn read_key(&self, key: &str) -> CallOutcome {
        match self.items.get(key) {
            Some(item) => CallOutcome::Reply(200, Self::item_json(key, item)),
            None => CallOutcome::Reply(404, json!({ "storeRevision": self.revision })),
        }
    }

    fn read_range(&self, prefix: &str, after: &str) -> CallOutcome {
        const PAGE: usize = 500;
        let mut matching = self
            .items
            .range(after.to_owned()..)
            .filter(|(key, _)| key.as_str() != after && key.starts_with(prefix));
        let items: Vec<Value> =
            matching.by_ref().take(PAGE).map(|(key, item)| Self::item_json(key, item)).collect();
        let has_more = matching.next().is_some();
        CallOutcome::Reply(
            200,
            json!({ "items": items, "hasMore": has_more, "storeRevision": self.revision }),
        )
    }

    fn watch(&self, prefix: &str, after: u64, expired: bool) -> CallOutcome {
        if after < self.compacted_revision {
            return CallOutcome::Reply(410, json!({}));
        }
        let first_new = self.history.partition_point(|change| change.revision <= after);
        let events: Vec<Value> = self
            .history
            .range(first_new..)
            .filter(|change| change.key.starts_with(prefix))
            .map(|change| match &change.item {
                Some(item) => Self::item_json(&change.key, item),
                None => json!({ "key": change.key, "revision": change.revision, "deleted": true }),
            })
            .collect();
        if events.is_empty() && !expired {
            return CallOutcome::Pending;
        }
        CallOutcome::Reply(200, json!({ "events": events, "storeRevision": self.revision }))
    }

    fn commit(&mut self, body: &Value) -> CallOutcome {
        let array = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let (expect, puts, deletes) = (array("expect"), array("puts"), array("deletes"));
        if expect.len() + puts.len() + deletes.len() > 32 {
            return CallOutcome::Reply(400, json!({}));
        }
        let conditions_met = expect.iter().all(|condition| {
            let revision =
                self.items.get(condition["key"].as_str().unwrap_or_default()).map_or(0, |item| item.revision);
            Some(revision) == condition["revision"].as_u64()
        });
        if !conditions_met {
            let items: Vec<Value> = expect
                .iter()
                .filter_map(|condition| {
                    let key = condition["key"].as_str()?;
                    self.items.get(key).map(|item| Self::item_json(key, item))
                })
                .collect();
            return CallOutcome::Reply(412, json!({ "items": items }));
        }
        let lease_of = |put: &Value| put["lease"].as_u64().unwrap_or_default();
        if puts.iter().any(|put| lease_of(put) > 0 && !self.leases.contains_key(&lease_of(put))) {
            return CallOutcome::Reply(404, json!({}));
        }
        self.revision += 1;
        for put in &puts {
            self.write(&text(&put["key"]), text(&put["value"]), lease_of(put));
        }
        for key in &deletes {
            self.delete(&text(key));
        }
        CallOutcome::Reply(200, json!({ "revision": self.revision }))
    }

    fn grant_lease(&mut self, ttl_ms: u64, now_ms: u64) -> CallOutcome {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, Lease { ttl_ms, expires_ms: now_ms + ttl_ms });
        CallOutcome::Reply(200, json!({ "lease": self.last_lease, "ttlMs": ttl_ms }))
    }

    fn renew_lease(&mut self, lease: &str, now_ms: u64) -> CallOutcome {
        match lease.parse().ok().and_then(|lease: u64| self.leases.get_mut(&lease)) {
            Some(lease) => {
                lease.expires_ms = now_ms + lease.ttl_ms;
                CallOutcome::Reply(200, json!({ "ttlMs": lease.ttl_ms }))
            }
            None => CallOutcome::Reply(404, json!({})),
        }
    }
}

/// Decodes a value of a query, in which `%` begins a byte as two hexadecimal digits.
fn decode_query(value: &str) -> String {
    let mut bytes = Vec::with_capacity(value.len());
    let mut rest = value.as_bytes();
    while let Some((first, others)) = rest.split_first() {
        let escaped = if *first == b'%' { others.get(..2) } else { None };
        let decoded = escaped.and_then(|digits| std::str::from_utf8(digits).ok());
        let decoded = decoded.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        bytes.push(decoded.unwrap_or(*first));
        rest = if decoded.is_some() { &others[2..] } else { others };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
