//! Bounded buffer between the logger and the thread that writes its lines.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Most bytes in the buffer; lines beyond it are dropped.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Buffered bytes from which lines for developers are dropped, so that the others still fit.
const MAX_BYTES_FOR_DEBUG: usize = MAX_BUFFERED_BYTES / 2;

/// Time for which lines are collected before they are written.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Longest wait for the last lines to be written when the buffer is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Which lines are dropped first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Priority {
    /// Lines for developers, of which there may be thousands a second.
    Debug,
    /// All other lines.
    Normal,
}

/// Why a line was not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DropCause {
    /// The buffer was full.
    BufferFull,
    /// The buffer was half full, and the line was one for developers.
    DebugLimit,
    /// The output failed.
    WriteFailed,
}

impl DropCause {
    pub(crate) const ALL: [Self; 3] = [Self::BufferFull, Self::DebugLimit, Self::WriteFailed];

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

/// Lines that wait for the writer thread.
#[derive(Debug, Default)]
struct PendingLines {
    /// Complete lines, each with its newline.
    lines: Vec<u8>,
    /// Lines dropped and not yet reported, by cause.
    unreported: [u64; DropCause::ALL.len()],
    /// Lines dropped since the start, whatever the cause.
    dropped_total: u64,
    state: BufferState,
}

impl PendingLines {
    fn count_dropped(&mut self, cause: DropCause, lines: u64) {
        self.unreported[cause as usize] += lines;
        self.dropped_total += lines;
    }
}

/// Buffer between the logger and the writer thread; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct LineBuffer {
    shared: Arc<(Mutex<PendingLines>, Condvar)>,
}

impl LineBuffer {
    fn lock(&self) -> MutexGuard<'_, PendingLines> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a line, or drops and counts it if there is no room for its priority.
    fn push(&self, line: &[u8], priority: Priority) {
        let mut pending = self.lock();
        let buffered_bytes = pending.lines.len() + line.len();
        if buffered_bytes > MAX_BUFFERED_BYTES {
            pending.count_dropped(DropCause::BufferFull, 1);
        } else if priority == Priority::Debug && buffered_bytes > MAX_BYTES_FOR_DEBUG {
            pending.count_dropped(DropCause::DebugLimit, 1);
        } else {
            let was_empty = pending.lines.is_empty();
            pending.lines.extend_from_slice(line);
            if was_empty {
                self.shared.1.notify_all();
            }
        }
    }

    /// Waits for lines, collects them for the write interval and swaps them into `batch`.
    ///
    /// Returns whether the buffer is being closed, so that no batch follows.
    pub(crate) fn take_batch(&self, batch: &mut Vec<u8>) -> bool {
        let changed = &self.shared.1;
        let is_idle =
            |pending: &mut PendingLines| pending.lines.is_empty() && pending.state == BufferState::Open;
        let pending = changed.wait_while(self.lock(), is_idle).unwrap_or_else(PoisonError::into_inner);
        let is_open = |pending: &mut PendingLines| pending.state == BufferState::Open;
        let (mut pending, _timeout) = changed
            .wait_timeout_while(pending, WRITE_INTERVAL, is_open)
            .unwrap_or_else(PoisonError::into_inner);
        batch.clear();
        std::mem::swap(&mut pending.lines, batch);
        pending.state != BufferState::Open
    }

    /// Counts dropped lines.
    pub(crate) fn count_dropped(&self, cause: DropCause, lines: u64) {
        self.lock().count_dropped(cause, lines);
    }

    /// Returns how many lines were dropped for a cause and not yet reported.
    pub(crate) fn unreported(&self, cause: DropCause) -> u64 {
        self.lock().unreported[cause as usize]
    }

    /// Subtracts lines whose loss was reported.
    pub(crate) fn mark_reported(&self, cause: DropCause, lines: u64) {
        self.lock().unreported[cause as usize] -= lines;
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

/// Passes only complete lines to the buffer. A full buffer thus never truncates a line.
#[derive(Debug)]
pub(crate) struct LineAssembler {
    line: Vec<u8>,
    buffer: LineBuffer,
    priority: Priority,
}

impl LineAssembler {
    /// Creates an assembler whose lines all have one priority.
    pub(crate) fn new(buffer: LineBuffer, priority: Priority) -> Self {
        Self { line: Vec::new(), buffer, priority }
    }
}

impl Write for LineAssembler {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        if self.line.ends_with(b"\n") {
            self.buffer.push(&self.line, self.priority);
            self.line.clear();
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
