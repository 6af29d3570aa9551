//! Structured log: one event per line, as JSON on standard output.
//!
//! Lines are collected in a bounded buffer, which a separate thread writes out. If the buffer is full, lines are dropped
//! and counted, so that no other thread waits for the log.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use cassiahoist_core::prelude::*;
use slog::{Drain, KV, Key, Logger, Record, Serializer, o};

/// Most bytes in the buffer; lines beyond it are dropped.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Time for which lines are collected before they are written.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Lines that wait for the writer thread.
#[derive(Debug, Default)]
struct PendingLines {
    /// Complete lines, each with its newline.
    lines: Vec<u8>,
    /// Number of lines dropped since the writer thread last took the lines.
    dropped: u64,
    /// Whether the writer thread ends instead of waiting for more lines.
    closed: bool,
}

/// Buffer between the logger and the writer thread; clones share it.
#[derive(Clone, Debug, Default)]
struct LineBuffer {
    shared: Arc<(Mutex<PendingLines>, Condvar)>,
}

impl Write for LineBuffer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let (pending, not_empty) = &*self.shared;
        let mut pending = pending.lock().unwrap_or_else(PoisonError::into_inner);
        if pending.lines.len() + buf.len() > MAX_BUFFERED_BYTES {
            pending.dropped += 1;
            return Ok(buf.len());
        }
        let was_empty = pending.lines.is_empty();
        pending.lines.extend_from_slice(buf);
        if was_empty {
            not_empty.notify_one();
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Passes only complete lines to the buffer. A full buffer thus never truncates a line.
#[derive(Debug)]
struct LineAssembler {
    line: Vec<u8>,
    buffer: LineBuffer,
}

impl Write for LineAssembler {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        if self.line.ends_with(b"\n") {
            self.buffer.write_all(&self.line)?;
            self.line.clear();
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Names and values of one event's fields.
struct Fields<'f>(&'f [(&'static str, String)]);

impl KV for Fields<'_> {
    fn serialize(&self, _record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        for (name, value) in self.0 {
            serializer.emit_str(Key::from(*name), value)?;
        }
        Ok(())
    }
}

/// Writes log events; clones share one buffer.
#[derive(Clone, Debug)]
pub struct LogWriter {
    logger: Logger,
    buffer: LineBuffer,
    min_level: slog::Level,
}

impl LogWriter {
    /// Starts the writer thread and returns a writer that ignores events below `min_severity`.
    ///
    /// Each line names `daemon`.
    #[must_use]
    pub fn new(min_severity: Severity, daemon: &Incarnation) -> Self {
        let buffer = LineBuffer::default();
        let lines = LineAssembler { line: Vec::new(), buffer: buffer.clone() };
        let drain = Mutex::new(slog_json::Json::default(lines)).fuse();
        let writer = buffer.clone();
        // If the thread can't be started, lines are dropped once the buffer is full, and the daemon still runs.
        let _thread = std::thread::Builder::new().name("log".into()).spawn(move || write_lines(&writer));
        let logger = Logger::root(drain, o!("daemon" => daemon.to_string()));
        Self { logger, buffer, min_level: slog_level(min_severity) }
    }

    /// Writes an event with its fields, without blocking on output. The line may be dropped.
    pub fn write(&self, event: EventId, fields: &[(&'static str, String)]) {
        let level = slog_level(event.severity());
        if !level.is_at_least(self.min_level) {
            return;
        }
        let (number, name) = (event.number(), event.name());
        let logger = &self.logger;
        match level {
            slog::Level::Debug | slog::Level::Trace => {
                slog::debug!(logger, "{}", name; "event" => number, Fields(fields));
            }
            slog::Level::Info => slog::info!(logger, "{}", name; "event" => number, Fields(fields)),
            slog::Level::Warning => slog::warn!(logger, "{}", name; "event" => number, Fields(fields)),
            slog::Level::Error | slog::Level::Critical => {
                slog::error!(logger, "{}", name; "event" => number, Fields(fields));
            }
        }
    }

    /// Writes the buffered lines and ends the writer thread; called before the process exits.
    pub fn close(&self) {
        let (pending, not_empty) = &*self.buffer.shared;
        let mut pending = pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending.closed = true;
        not_empty.notify_one();
        let lines = std::mem::take(&mut pending.lines);
        // The process exits, so a closed standard output can't be reported.
        let _closed = io::stdout().write_all(&lines);
    }
}

/// Body of the writer thread: writes the buffered lines until the buffer is closed.
fn write_lines(buffer: &LineBuffer) {
    let (pending, not_empty) = &*buffer.shared;
    let mut batch = Vec::new();
    loop {
        let mut guard = pending.lock().unwrap_or_else(PoisonError::into_inner);
        while guard.lines.is_empty() && !guard.closed {
            guard = not_empty.wait(guard).unwrap_or_else(PoisonError::into_inner);
        }
        if guard.closed {
            return;
        }
        drop(guard);
        std::thread::sleep(WRITE_INTERVAL);
        let mut guard = pending.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::swap(&mut guard.lines, &mut batch);
        let dropped = std::mem::take(&mut guard.dropped);
        drop(guard);
        if dropped > 0 {
            let event = EventId::LogLinesDropped;
            let line = format!(
                "{{\"msg\":\"{}\",\"event\":{},\"level\":\"WARN\",\"dropped\":{dropped}}}\n",
                event.name(),
                event.number()
            );
            batch.extend_from_slice(line.as_bytes());
        }
        // A closed standard output loses the lines, and must not end the daemon.
        let _closed = io::stdout().write_all(&batch);
        batch.clear();
    }
}

fn slog_level(severity: Severity) -> slog::Level {
    match severity {
        Severity::Debug => slog::Level::Debug,
        Severity::Info => slog::Level::Info,
        Severity::Warning => slog::Level::Warning,
        Severity::Error => slog::Level::Error,
    }
}
