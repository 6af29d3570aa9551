//! Bounded buffer between the logger and the thread that writes its lines.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cassiahoist_core::prelude::*;
use rustc_hash::FxHashMap;

/// Most bytes in the buffer; lines beyond it are dropped.
const MAX_BUFFERED_BYTES: usize = 384 * 1024;

/// Buffered bytes from which lines for developers are dropped, so that the others still fit.
const MAX_BYTES_FOR_DEBUG: usize = 128 * 1024;

/// Buffered bytes from which lines about calls, jobs and runs are dropped.
const MAX_BYTES_FOR_WORK: usize = 256 * 1024;

/// Buffered bytes from which lines about hosts are dropped. Those about the daemon itself use the whole buffer.
const MAX_BYTES_FOR_HOSTS: usize = 320 * 1024;

/// Time for which lines are collected before they are written.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Longest wait for the last lines to be written when the buffer is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the most bytes that the buffer may have with another line of an event.
///
/// The rarer the lines of a kind are, the more of the buffer they may use, so that frequent ones never displace them.
fn max_bytes_for(event: EventId) -> usize {
    match (event.severity(), event.subject()) {
        (Severity::Debug, _) => MAX_BYTES_FOR_DEBUG,
        (_, Subject::Work) => MAX_BYTES_FOR_WORK,
        (_, Subject::Host) => MAX_BYTES_FOR_HOSTS,
        (_, Subject::Daemon) => MAX_BUFFERED_BYTES,
    }
}

/// Returns why a line of an event is dropped if the buffer has no room for it.
fn no_room_cause(event: EventId) -> DropCause {
    if event.severity() == Severity::Debug { DropCause::DebugLimit } else { DropCause::BufferFull }
}

/// Why a line was not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum DropCause {
    /// The buffer had no room for lines with this subject.
    BufferFull,
    /// The share of the buffer for developers was full, and the line was one for them.
    DebugLimit,
    /// The output failed.
    WriteFailed,
}

impl DropCause {
    /// Returns the name that log lines carry as `cause`.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::BufferFull => "buffer_full",
            Self::DebugLimit => "debug_limit",
            Self::WriteFailed => "write_failed",
        }
    }
}

/// Whether the writer thread waits for further lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum BufferState {
    #[default]
    Open,
    /// The writer thread writes what is buffered, then ends.
    Closing,
    /// The writer thread has ended.
    Closed,
}

/// Complete lines in the order in which they are written.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    /// Text of the lines, each with its newline.
    pub text: Vec<u8>,
    /// Event of each line.
    pub events: Vec<EventId>,
}

/// Lines that were dropped for one cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DroppedLines {
    /// Why they were dropped.
    pub cause: DropCause,
    /// Event of the lines.
    pub event: EventId,
    /// Number of lines.
    pub count: u64,
}

/// Lines that wait for the writer thread.
#[derive(Debug, Default)]
struct PendingLines {
    batch: Batch,
    /// Lines dropped and not yet reported, by cause and event.
    unreported: FxHashMap<(DropCause, EventId), u64>,
    /// Lines dropped since the start, whatever the cause.
    dropped_total: u64,
    state: BufferState,
}

impl PendingLines {
    fn count_dropped(&mut self, cause: DropCause, event: EventId) {
        *self.unreported.entry((cause, event)).or_default() += 1;
        self.dropped_total += 1;
    }
}

/// Buffer between the logger and the writer thread; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct LineBuffer {
    shared: Arc<(Mutex<PendingLines>, Condvar)>,
    /// Number of the latest line.
    last_number: Arc<AtomicU64>,
}

impl LineBuffer {
    fn lock(&self) -> MutexGuard<'_, PendingLines> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of the next line, from 1. Lines that are dropped later have numbers too.
    pub(crate) fn next_line_number(&self) -> u64 {
        self.last_number.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns whether there is room for a line of an event. Otherwise counts a dropped line.
    ///
    /// A line that is dropped need not be encoded.
    pub(crate) fn has_room_or_drop(&self, event: EventId) -> bool {
        let mut pending = self.lock();
        let has_room = pending.batch.text.len() < max_bytes_for(event);
        if !has_room {
            pending.count_dropped(no_room_cause(event), event);
        }
        has_room
    }

    /// Adds a line, or drops and counts it if there is no room for its event.
    fn push(&self, event: EventId, line: &[u8]) {
        let mut pending = self.lock();
        if pending.batch.text.len() + line.len() > max_bytes_for(event) {
            return pending.count_dropped(no_room_cause(event), event);
        }
        let was_empty = pending.batch.events.is_empty();
        pending.batch.text.extend_from_slice(line);
        pending.batch.events.push(event);
        if was_empty {
            self.shared.1.notify_all();
        }
    }

    /// Waits for lines, collects them for the write interval and swaps them into `batch`.
    ///
    /// Returns whether the buffer is being closed, so that no batch follows.
    pub(crate) fn take_batch(&self, batch: &mut Batch) -> bool {
        let changed = &self.shared.1;
        let is_idle = |pending: &mut PendingLines| {
            pending.batch.events.is_empty() && pending.state == BufferState::Open
        };
        let pending = changed.wait_while(self.lock(), is_idle).unwrap_or_else(PoisonError::into_inner);
        let is_open = |pending: &mut PendingLines| pending.state == BufferState::Open;
        let (mut pending, _timeout) = changed
            .wait_timeout_while(pending, WRITE_INTERVAL, is_open)
            .unwrap_or_else(PoisonError::into_inner);
        batch.text.clear();
        batch.events.clear();
        std::mem::swap(&mut pending.batch, batch);
        pending.state != BufferState::Open
    }

    /// Counts lines that were dropped, by their events.
    pub(crate) fn count_dropped(&self, cause: DropCause, events: &[EventId]) {
        let mut pending = self.lock();
        for event in events {
            pending.count_dropped(cause, *event);
        }
    }

    /// Returns the lines that were dropped and not yet reported, by cause and number of the event.
    pub(crate) fn unreported(&self) -> Vec<DroppedLines> {
        let pending = self.lock();
        let dropped = pending.unreported.iter();
        let mut dropped: Vec<DroppedLines> =
            dropped.map(|(&(cause, event), &count)| DroppedLines { cause, event, count }).collect();
        drop(pending);
        dropped.sort_unstable_by_key(|dropped| (dropped.cause, dropped.event.number()));
        dropped
    }

    /// Subtracts lines whose loss was reported.
    pub(crate) fn mark_reported(&self, reported: DroppedLines) {
        let mut pending = self.lock();
        let key = (reported.cause, reported.event);
        let remaining = pending.unreported.get(&key).map_or(0, |count| count - reported.count);
        if remaining == 0 {
            pending.unreported.remove(&key);
        } else {
            pending.unreported.insert(key, remaining);
        }
    }

    /// Returns how many lines were dropped since the start.
    pub(crate) fn dropped_total(&self) -> u64 {
        self.lock().dropped_total
    }

    /// Lets the writer thread end once it has written all lines, and waits for it.
    ///
    /// An output that accepts nothing ends the wait after a timeout.
    pub(crate) fn close(&self) {
        let mut pending = self.lock();
        if pending.state == BufferState::Open {
            pending.state = BufferState::Closing;
            self.shared.1.notify_all();
        }
        let is_closing = |pending: &mut PendingLines| pending.state != BufferState::Closed;
        let _closed = self.shared.1.wait_timeout_while(pending, CLOSE_TIMEOUT, is_closing);
    }

    /// Reports that the writer thread has ended.
    pub(crate) fn finish(&self) {
        self.lock().state = BufferState::Closed;
        self.shared.1.notify_all();
    }
}

/// Passes only complete lines of one event to the buffer. A full buffer thus never truncates a line.
#[derive(Debug)]
pub(crate) struct LineAssembler {
    line: Vec<u8>,
    buffer: LineBuffer,
    event: EventId,
}

impl LineAssembler {
    /// Creates an assembler for the lines of one event.
    pub(crate) fn new(buffer: LineBuffer, event: EventId) -> Self {
        Self { line: Vec::new(), buffer, event }
    }
}

impl Write for LineAssembler {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        if self.line.ends_with(b"\n") {
            self.buffer.push(self.event, &self.line);
            self.line.clear();
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
