//! The thread that writes log lines to their output.

use std::io::{ErrorKind, Write};

use cassiahoist_core::prelude::*;
use slog::{Drain, OwnedKVList, b};

use crate::line_buffer::{Batch, DropCause, DroppedLines, LineBuffer};

/// Most bytes of one write. A pipe takes a write of up to `PIPE_BUF` whole or not at all.
const MAX_WRITE_BYTES: usize = 4_096;

/// Output that keeps lines whole.
#[derive(Debug)]
struct LineOutput<W> {
    sink: W,
    /// Whether the last write ended within a line.
    inside_line: bool,
}

impl<W: Write> LineOutput<W> {
    /// Writes complete lines, and returns how many of them were not written whole.
    fn write_lines(&mut self, lines: &[u8]) -> usize {
        if self.inside_line {
            // Ends the broken line, so that the next one can be read.
            if self.write_bytes(b"\n") == 0 {
                return count_lines(lines);
            }
            self.inside_line = false;
        }
        let written_bytes = self.write_bytes(lines);
        if written_bytes > 0 {
            self.inside_line = lines[written_bytes - 1] != b'\n';
        }
        count_lines(&lines[written_bytes..])
    }

    /// Writes until the output fails, and returns the number of bytes written.
    fn write_bytes(&mut self, bytes: &[u8]) -> usize {
        let mut written = 0;
        while written < bytes.len() {
            match self.sink.write(&bytes[written..]) {
                Ok(0) => break,
                Ok(count) => written += count,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_error) => break,
            }
        }
        written
    }
}

fn count_lines(lines: &[u8]) -> usize {
    lines.split_inclusive(|byte| *byte == b'\n').count()
}

/// Splits off as many complete lines as fit in one write, or the first line if it is longer.
fn split_first_write(lines: &[u8]) -> (&[u8], &[u8]) {
    let is_newline = |byte: &u8| *byte == b'\n';
    let first_bytes = &lines[..lines.len().min(MAX_WRITE_BYTES)];
    let end = first_bytes.iter().rposition(is_newline).or_else(|| lines.iter().position(is_newline));
    lines.split_at(end.map_or(lines.len(), |newline| newline + 1))
}

/// Body of the writer thread: writes the buffered lines until the buffer is closed.
///
/// `log_values` are the fields of every line.
pub(crate) fn write_buffered_lines(buffer: &LineBuffer, sink: impl Write, log_values: &OwnedKVList) {
    let mut output = LineOutput { sink, inside_line: false };
    let mut batch = Batch::default();
    loop {
        let is_last = buffer.take_batch(&mut batch);
        write_batch(buffer, &mut output, &batch);
        report_dropped_lines(buffer, &mut output, log_values);
        if is_last {
            return buffer.finish();
        }
    }
}

fn write_batch<W: Write>(buffer: &LineBuffer, output: &mut LineOutput<W>, batch: &Batch) {
    let (mut text, mut events) = (batch.text.as_slice(), batch.events.as_slice());
    while !text.is_empty() {
        let (lines, later_lines) = split_first_write(text);
        let (line_events, later_events) = events.split_at(count_lines(lines));
        let lost_lines = output.write_lines(lines);
        if lost_lines > 0 {
            buffer.count_dropped(DropCause::WriteFailed, &line_events[line_events.len() - lost_lines..]);
        }
        (text, events) = (later_lines, later_events);
    }
}

/// Writes a line for each cause and event of which lines were dropped.
///
/// A failed report is repeated after the next batch.
fn report_dropped_lines<W: Write>(buffer: &LineBuffer, output: &mut LineOutput<W>, log_values: &OwnedKVList) {
    for dropped in buffer.unreported() {
        if output.write_lines(&encode_report(dropped, log_values)) == 0 {
            buffer.mark_reported(dropped);
        }
    }
}

fn encode_report(dropped: DroppedLines, log_values: &OwnedKVList) -> Vec<u8> {
    let event = EventId::LogLinesDropped;
    let mut line = Vec::new();
    let json = slog_json::Json::default(&mut line);
    let _infallible = json.log(
        &slog::record!(
            slog::Level::Warning,
            "",
            &format_args!("{}", event.name()),
            b!("event" => event.number(), "cause" => dropped.cause.name(),
                "dropped" => dropped.count, "dropped_msg" => dropped.event.name())
        ),
        log_values,
    );
    drop(json);
    line
}
