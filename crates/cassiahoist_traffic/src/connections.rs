//! Table of a listener's connections, and their limit.
//!
//! All connections share the descriptors of the process with hosts, peers and the store.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rustc_hash::FxHashMap;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};
use tokio::time::Instant;

use crate::metered_stream::StreamProgress;
use crate::pace::{ConnectionDecision, ConnectionLimits, ConnectionView, Phase, SlowPart, decide_connection};

/// Share of the limit that only connections without service may take, which are being refused or closed, in percent.
const UNSERVED_PERCENT: usize = 10;

/// Idle time from which a connection may be closed in favour of a new one.
///
/// The next request may already be on its way on a connection that was in use a moment ago.
const MIN_IDLE_TIME: Duration = Duration::from_millis(200);

/// Time without a byte of its body from which a connection may be closed in favour of a new one.
const MIN_STALLED_TIME: Duration = Duration::from_millis(1_000);

/// Interval at which slow connections are looked for.
pub(crate) const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// A connection.
#[derive(Debug)]
struct Row {
    phase: Phase,
    since: Instant,
    progress: Arc<StreamProgress>,
    /// Bytes read in all when the phase began.
    read_before: u64,
    /// Bytes read in all when they were last compared, and when they last grew.
    read_seen: (u64, Instant),
    /// When the client was first seen not to take what is written, and the bytes written in all by then.
    blocked: Option<(Instant, u64)>,
    /// Asks for a graceful close; `None` once that has begun.
    close: Option<oneshot::Sender<()>>,
    /// When it began to be closed.
    closing_since: Option<Instant>,
    /// Asks for a close at once; `None` once that has begun.
    abort: Option<oneshot::Sender<()>>,
}

impl Row {
    /// Compares the transfers with those seen before.
    fn observe(&mut self, now: Instant) {
        let read_bytes = self.progress.read_bytes();
        if read_bytes > self.read_seen.0 {
            // The head of a request arrives from now on.
            if self.phase == Phase::Idle && self.read_seen.0 <= self.read_before {
                self.since = now;
            }
            self.read_seen = (read_bytes, now);
        }
        let blocked = self.progress.is_blocked();
        self.blocked = blocked.then(|| self.blocked.unwrap_or((now, self.progress.written_bytes())));
    }

    fn view(&self) -> ConnectionView {
        ConnectionView {
            phase: self.phase,
            since: self.since,
            read_bytes: self.read_seen.0.saturating_sub(self.read_before),
            read_at: self.read_seen.1.max(self.since),
            closing_since: self.closing_since,
            blocked: self
                .blocked
                .map(|(since, before)| (since, self.progress.written_bytes().saturating_sub(before))),
        }
    }

    /// Asks for a graceful close. Returns whether that is new.
    fn close(&mut self) -> bool {
        // The receiver is gone if the connection has just ended.
        self.close.take().is_some_and(|close| close.send(()).is_ok())
    }

    /// Asks for a close at once. Returns whether that is new.
    fn abort(&mut self) -> bool {
        self.abort.take().is_some_and(|abort| abort.send(()).is_ok())
    }
}

/// Connections of a listener, and those among them that are idle.
#[derive(Debug, Default)]
struct Rows {
    by_id: FxHashMap<u64, Row>,
    /// Idle connections that are not being closed, the one with the longest idle time first.
    idle: BTreeSet<(Instant, u64)>,
    /// Connections that are being closed.
    closing: usize,
    last_id: u64,
}

impl Rows {
    fn insert(
        &mut self,
        now: Instant,
        phase: Phase,
        progress: Arc<StreamProgress>,
    ) -> (u64, ConnectionSignals) {
        self.last_id += 1;
        let (close, close_requested) = oneshot::channel();
        let (abort, abort_requested) = oneshot::channel();
        let row = Row {
            phase,
            since: now,
            progress,
            read_before: 0,
            read_seen: (0, now),
            blocked: None,
            close: Some(close),
            closing_since: None,
            abort: Some(abort),
        };
        self.by_id.insert(self.last_id, row);
        if phase == Phase::Idle {
            self.idle.insert((now, self.last_id));
        }
        (self.last_id, ConnectionSignals { close: close_requested, abort: abort_requested })
    }

    fn remove(&mut self, id: u64) {
        let Some(row) = self.by_id.remove(&id) else { return };
        self.idle.remove(&(row.since, id));
        if row.close.is_none() {
            self.closing -= 1;
        }
    }

    /// Sets what a connection does. Returns whether it is not being closed at once.
    fn set_phase(&mut self, id: u64, phase: Phase, now: Instant) -> bool {
        let Some(row) = self.by_id.get_mut(&id) else { return false };
        self.idle.remove(&(row.since, id));
        row.phase = phase;
        row.since = now;
        row.read_before = row.progress.read_bytes();
        row.read_seen = (row.read_before, now);
        if phase == Phase::Idle && row.close.is_some() {
            self.idle.insert((now, id));
        }
        row.abort.is_some()
    }

    /// Begins to close a connection, gracefully or at once. Returns whether that is new.
    fn begin_close(&mut self, id: u64, at_once: bool, now: Instant) -> bool {
        let Some(row) = self.by_id.get_mut(&id) else { return false };
        self.idle.remove(&(row.since, id));
        if row.close.is_some() {
            self.closing += 1;
            row.closing_since = Some(now);
        }
        let is_closing = row.close();
        if at_once { row.abort() } else { is_closing }
    }

    /// Closes the connection with the longest idle time, unless that is too short. Returns whether one was closed.
    fn close_longest_idle(&mut self, now: Instant) -> bool {
        let Some((idle_since, id)) = self.idle.first().copied() else { return false };
        if now.saturating_duration_since(idle_since) < MIN_IDLE_TIME {
            return false;
        }
        self.begin_close(id, false, now);
        true
    }

    /// Closes a connection whose body has made no progress for the longest time. Returns whether one was closed.
    fn close_longest_stalled(&mut self, now: Instant) -> bool {
        let stalled = self.by_id.iter().filter(|(_, row)| {
            row.phase == Phase::Receiving
                && row.close.is_some()
                && row.progress.read_bytes() == row.read_seen.0
                && now.saturating_duration_since(row.read_seen.1) >= MIN_STALLED_TIME
        });
        let Some(id) = stalled.min_by_key(|(_, row)| row.read_seen.1).map(|(id, _)| *id) else {
            return false;
        };
        self.begin_close(id, true, now)
    }

    /// Closes idle and slow connections; returns what was too slow.
    fn sweep(&mut self, limits: &ConnectionLimits, now: Instant) -> Vec<SlowPart> {
        let mut decisions = Vec::new();
        for (id, row) in &mut self.by_id {
            let since_before = row.since;
            row.observe(now);
            if since_before != row.since && self.idle.remove(&(since_before, *id)) {
                self.idle.insert((row.since, *id));
            }
            match decide_connection(&row.view(), limits, now) {
                ConnectionDecision::Keep => {}
                decision => decisions.push((*id, decision)),
            }
        }
        let mut slow = Vec::new();
        for (id, decision) in decisions {
            match decision {
                ConnectionDecision::Keep => {}
                ConnectionDecision::CloseIdle => {
                    self.begin_close(id, false, now);
                }
                ConnectionDecision::Abort(part) => {
                    if self.begin_close(id, true, now) {
                        slow.push(part);
                    }
                }
            }
        }
        slow
    }
}

/// What to do with an accepted connection.
#[derive(Debug)]
pub(crate) enum Admission {
    /// Serves it.
    Serve(ServedConnection, ConnectionSignals),
    /// Refuses its first request, since all connections that may be served are in use.
    Refuse,
}

/// Requests to close a connection.
#[derive(Debug)]
pub(crate) struct ConnectionSignals {
    /// Completes when the connection is to be closed after the request in progress.
    pub(crate) close: oneshot::Receiver<()>,
    /// Completes when the connection is to be closed at once.
    pub(crate) abort: oneshot::Receiver<()>,
}

/// Open connections of a listener; clones share them.
#[derive(Clone, Debug)]
pub struct Connections {
    rows: Arc<Mutex<Rows>>,
    /// One permit for each connection that may be open, served or not.
    open_permits: Arc<Semaphore>,
    max_open: usize,
}

impl Connections {
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

    /// Decides on a connection that was accepted. If all are in service, it closes an idle or stalled one for it.
    pub(crate) fn admit(&self, phase: Phase, progress: &Arc<StreamProgress>, now: Instant) -> Admission {
        let mut rows = self.lock_rows();
        let is_full = rows.by_id.len() - rows.closing >= self.max_served();
        if is_full && !rows.close_longest_idle(now) && !rows.close_longest_stalled(now) {
            return Admission::Refuse;
        }
        let (id, signals) = rows.insert(now, phase, Arc::clone(progress));
        Admission::Serve(ServedConnection { connections: self.clone(), id }, signals)
    }

    /// Closes idle and slow connections; returns what was too slow.
    pub(crate) fn sweep(&self, limits: &ConnectionLimits, now: Instant) -> Vec<SlowPart> {
        self.lock_rows().sweep(limits, now)
    }
}

/// A connection that has a row until this is dropped.
#[derive(Debug)]
pub(crate) struct ServedConnection {
    connections: Connections,
    id: u64,
}

impl ServedConnection {
    /// Sets what the connection does. Returns whether it is not being closed at once.
    pub(crate) fn set_phase(&self, phase: Phase, now: Instant) -> bool {
        self.connections.lock_rows().set_phase(self.id, phase, now)
    }
}

impl Drop for ServedConnection {
    fn drop(&mut self) {
        self.connections.lock_rows().remove(self.id);
    }
}
