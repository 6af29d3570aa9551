//! Structured log: one event per line, as JSON on standard output.
//!
//! Lines are collected in a bounded buffer, which a separate thread writes out. If the buffer is full, lines are dropped
//! and counted, so that no other thread waits for the log. Frequent lines leave a part of it to rare ones. Lines are
//! numbered before any is dropped.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};

use cassiahoist_core::prelude::*;
use rustc_hash::FxHashMap;
use slog::{Drain, KV, Key, Logger, OwnedKVList, Record, Serializer, o};

use crate::line_buffer::{LineAssembler, LineBuffer};
use crate::line_writer::write_buffered_lines;
use crate::standard_output::StandardOutput;

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
    /// One for each event, so that the buffer knows the event of each line.
    loggers: Arc<FxHashMap<EventId, Logger>>,
    buffer: LineBuffer,
    min_level: slog::Level,
}

impl LogWriter {
    /// Starts the writer thread for standard output and returns a writer that ignores events below `min_severity`.
    ///
    /// Each line names `daemon`.
    ///
    /// # Errors
    /// Returns the system's error if the thread can't be started.
    pub fn new(min_severity: Severity, daemon: &Incarnation) -> io::Result<Self> {
        Self::with_output(min_severity, daemon, StandardOutput)
    }

    /// Starts the writer thread for another output.
    ///
    /// # Errors
    /// Returns the system's error if the thread can't be started.
    pub fn with_output(
        min_severity: Severity,
        daemon: &Incarnation,
        output: impl Write + Send + 'static,
    ) -> io::Result<Self> {
        let buffer = LineBuffer::default();
        let log_values: OwnedKVList = o!("daemon" => daemon.to_string()).into();
        let new_logger = |event: EventId| {
            let lines = LineAssembler::new(buffer.clone(), event);
            let drain = Mutex::new(slog_json::Json::default(lines)).fuse();
            (event, Logger::root(drain, o!(log_values.clone())))
        };
        let loggers = Arc::new(EventId::ALL.iter().copied().map(new_logger).collect());
        let lines = buffer.clone();
        std::thread::Builder::new()
            .name("log".into())
            .spawn(move || write_buffered_lines(&lines, output, &log_values))?;
        Ok(Self { loggers, buffer, min_level: slog_level(min_severity) })
    }

    /// Writes an event with its fields, without blocking on output. The line may be dropped.
    pub fn write(&self, event: EventId, fields: &[(&'static str, String)]) {
        let level = slog_level(event.severity());
        if !level.is_at_least(self.min_level) {
            return;
        }
        let seq = self.buffer.next_line_number();
        if !self.buffer.has_room_or_drop(event) {
            return;
        }
        let Some(logger) = self.loggers.get(&event) else { return };
        let (number, name) = (event.number(), event.name());
        match level {
            slog::Level::Debug | slog::Level::Trace => {
                slog::debug!(logger, "{}", name; "event" => number, "seq" => seq, Fields(fields));
            }
            slog::Level::Info => {
                slog::info!(logger, "{}", name; "event" => number, "seq" => seq, Fields(fields));
            }
            slog::Level::Warning => {
                slog::warn!(logger, "{}", name; "event" => number, "seq" => seq, Fields(fields));
            }
            slog::Level::Error | slog::Level::Critical => {
                slog::error!(logger, "{}", name; "event" => number, "seq" => seq, Fields(fields));
            }
        }
    }

    /// Returns how many lines were dropped since the start, because the buffer was full or the output failed.
    #[must_use]
    pub fn dropped_lines(&self) -> u64 {
        self.buffer.dropped_total()
    }

    /// Writes the buffered lines and ends the writer thread; called before the process exits.
    ///
    /// Returns after a second at the latest if the output accepts nothing. Later events are not written.
    pub fn close(&self) {
        self.buffer.close();
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
