//! Limit of callers' open connections, which share the descriptors of the process with hosts, peers and the store.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rustc_hash::FxHashMap;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

/// Share of the limit that only connections without service may take, which are being refused or closed, in percent.
const UNSERVED_PERCENT: usize = 10;

/// Idle time from which a connection may be closed in favour of a new one.
///
/// The next request may already be on its way on a connection that was in use a moment ago.
const MIN_IDLE_TIME: Duration = Duration::from_millis(200);

/// A connection that is served.
#[derive(Debug)]
struct Row {
    /// Since when no request has been in progress; `None` during one.
    idle_since: Option<Instant>,
    /// Notified when the connection is to be closed.
    close: Arc<Notify>,
}

/// Connections that are served, and those among them that are idle.
#[derive(Debug, Default)]
struct Rows {
    by_id: FxHashMap<u64, Row>,
    /// Idle connections, the one with the longest idle time first.
    idle: BTreeSet<(Instant, u64)>,
    last_id: u64,
}

impl Rows {
    fn insert(&mut self, now: Instant) -> (u64, Arc<Notify>) {
        self.last_id += 1;
        let close = Arc::new(Notify::new());
        self.by_id.insert(self.last_id, Row { idle_since: Some(now), close: Arc::clone(&close) });
        self.idle.insert((now, self.last_id));
        (self.last_id, close)
    }

    fn remove(&mut self, id: u64) -> Option<Row> {
        let row = self.by_id.remove(&id)?;
        if let Some(idle_since) = row.idle_since {
            self.idle.remove(&(idle_since, id));
        }
        Some(row)
    }

    /// Sets since when a connection has been idle. One that is being closed has no row any more.
    fn set_idle_since(&mut self, id: u64, idle_since: Option<Instant>) {
        let Some(row) = self.by_id.get_mut(&id) else { return };
        if let Some(earlier) = std::mem::replace(&mut row.idle_since, idle_since) {
            self.idle.remove(&(earlier, id));
        }
        if let Some(idle_since) = idle_since {
            self.idle.insert((idle_since, id));
        }
    }

    /// Closes the connection with the longest idle time, unless that is too short. Returns whether one was closed.
    fn close_longest_idle(&mut self, now: Instant) -> bool {
        let Some((idle_since, id)) = self.idle.first().copied() else { return false };
        if now.saturating_duration_since(idle_since) < MIN_IDLE_TIME {
            return false;
        }
        if let Some(row) = self.remove(id) {
            row.close.notify_one();
        }
        true
    }
}

/// What to do with an accepted connection.
#[derive(Debug)]
pub(crate) enum Admission {
    /// Serves it.
    Serve(ServedConnection),
    /// Refuses its first request, since all connections that may be served are in use.
    Refuse,
}

/// Open connections of callers; clones share them.
#[derive(Clone, Debug)]
pub struct CallerConnections {
    rows: Arc<Mutex<Rows>>,
    /// One permit for each connection that may be open, served or not.
    open_permits: Arc<Semaphore>,
    max_open: usize,
}

impl CallerConnections {
    /// Creates a table without connections that allows `max_open` at a time, at least two.
    #[must_use]
    pub fn new(max_open: usize) -> Self {
        let max_open = max_open.clamp(2, u32::MAX as usize);
        Self { rows: Arc::default(), open_permits: Arc::new(Semaphore::new(max_open)), max_open }
    }

    fn max_served(&self) -> usize {
        self.max_open - (self.max_open * UNSERVED_PERCENT / 100).max(1)
    }

    fn lock_rows(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until a connection may be accepted. It counts as open until the permit is dropped.
    pub(crate) async fn acquire_permit(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.open_permits).acquire_owned().await.ok()
    }

    /// Waits until all connections are closed.
    pub(crate) async fn wait_until_closed(&self) {
        let _all_permits = self.open_permits.acquire_many(self.max_open as u32).await;
    }

    /// Decides on a connection that was accepted. If all are in service, it closes an idle one for it.
    pub(crate) fn admit(&self, now: Instant) -> Admission {
        let mut rows = self.lock_rows();
        if rows.by_id.len() >= self.max_served() && !rows.close_longest_idle(now) {
            return Admission::Refuse;
        }
        let (id, close) = rows.insert(now);
        Admission::Serve(ServedConnection { connections: self.clone(), id, close })
    }
}

/// A connection that counts as served until this is dropped.
#[derive(Debug)]
pub(crate) struct ServedConnection {
    connections: CallerConnections,
    id: u64,
    close: Arc<Notify>,
}

impl ServedConnection {
    /// Waits until the connection is to be closed in favour of a new one.
    pub(crate) async fn close_requested(&self) {
        self.close.notified().await;
    }

    /// Protects the connection from being closed while a request is in progress.
    pub(crate) fn begin_request(&self) {
        self.connections.lock_rows().set_idle_since(self.id, None);
    }

    /// Makes the connection idle again after its request was answered.
    pub(crate) fn finish_request(&self, now: Instant) {
        self.connections.lock_rows().set_idle_since(self.id, Some(now));
    }
}

impl Drop for ServedConnection {
    fn drop(&mut self) {
        self.connections.lock_rows().remove(self.id);
    }
}
