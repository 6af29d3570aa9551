//! Tests of the log writer on outputs that record, block or fail.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cassiahoist_core::prelude::*;
use cassiahoist_telemetry::LogWriter;
use serde_json::Value;

/// Most bytes that a pipe takes whole.
const PIPE_BUF: usize = 4_096;

/// Size of the log's buffer, in bytes.
const BUFFER_BYTES: usize = 256 * 1024;

/// How an output responds to writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    /// Accepts each write whole.
    Accept,
    /// Accepts at most this many bytes of a write.
    Short(usize),
    /// Accepts this many bytes of each write, then fails the next one.
    BreakAfter(usize),
    Fail,
}

/// An output that records its writes; clones share the record.
#[derive(Clone)]
struct RecordingOutput {
    behaviour: Arc<Mutex<Behaviour>>,
    writes: Arc<Mutex<Vec<Vec<u8>>>>,
    /// Told of each write before it is recorded.
    write_begun: Sender<()>,
    /// Holds back writes while a test has it locked.
    gate: Arc<Mutex<()>>,
}

impl RecordingOutput {
    fn new(behaviour: Behaviour) -> (Self, Receiver<()>) {
        let (write_begun, writes_begun) = channel();
        let output = Self {
            behaviour: Arc::new(Mutex::new(behaviour)),
            writes: Arc::default(),
            write_begun,
            gate: Arc::default(),
        };
        (output, writes_begun)
    }

    fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().unwrap() = behaviour;
    }

    fn writes(&self) -> Vec<Vec<u8>> {
        self.writes.lock().unwrap().clone()
    }

    /// Parses all that was written as lines of JSON; a line that is none becomes `Null`.
    fn lines(&self) -> Vec<Value> {
        let text = String::from_utf8(self.writes().concat()).unwrap();
        text.lines().map(|line| serde_json::from_str(line).unwrap_or(Value::Null)).collect()
    }

    fn count_events(&self, event: EventId) -> u64 {
        self.lines().iter().filter(|line| line["event"] == event.number()).count() as u64
    }

    /// Sums the lines reported as dropped for a cause.
    fn reported(&self, cause: &str) -> u64 {
        let lines = self.lines();
        let reports = lines.iter().filter(|line| line["event"] == EventId::LogLinesDropped.number());
        reports.filter(|line| line["cause"] == cause).map(|line| line["dropped"].as_u64().unwrap()).sum()
    }
}

impl Write for RecordingOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _told = self.write_begun.send(());
        let _open = self.gate.lock().unwrap();
        let mut behaviour = self.behaviour.lock().unwrap();
        let accepted = match *behaviour {
            Behaviour::Accept => buf.len(),
            Behaviour::Short(most) => buf.len().min(most),
            Behaviour::BreakAfter(most) => {
                *behaviour = Behaviour::Fail;
                buf.len().min(most)
            }
            Behaviour::Fail => return Err(io::ErrorKind::BrokenPipe.into()),
        };
        self.writes.lock().unwrap().push(buf[..accepted].to_vec());
        Ok(accepted)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn open_log(output: &RecordingOutput) -> LogWriter {
    LogWriter::with_output(Severity::Debug, &"edge-1#1".parse().unwrap(), output.clone()).unwrap()
}

fn write_padded(log: &LogWriter, event: EventId, bytes: usize) {
    log.write(event, &[("padding", "x".repeat(bytes))]);
}

/// A collector that reads a pipe cuts a longer write, and the lines after the cut are lost.
#[test]
fn writes_contain_whole_lines_and_fit_in_a_pipe() {
    let (output, _begun) = RecordingOutput::new(Behaviour::Accept);
    let log = open_log(&output);
    for number in 0..1_000 {
        write_padded(&log, EventId::JobAccepted, number % 200);
    }
    log.close();
    let writes = output.writes();
    assert_eq!(output.count_events(EventId::JobAccepted), 1_000);
    assert!(writes.iter().all(|write| write.ends_with(b"\n")), "a line is split over two writes");
    let largest = writes.iter().map(Vec::len).max().unwrap();
    assert!(largest <= PIPE_BUF, "a write of {largest} bytes");
    assert!(writes.len() < 500, "lines share writes: {}", writes.len());
}

#[test]
fn longer_line_is_written_alone() {
    let (output, _begun) = RecordingOutput::new(Behaviour::Accept);
    let log = open_log(&output);
    write_padded(&log, EventId::JobAccepted, 10);
    write_padded(&log, EventId::JobEnded, 3 * PIPE_BUF);
    write_padded(&log, EventId::JobAccepted, 10);
    log.close();
    let writes = output.writes();
    assert_eq!(writes.len(), 3);
    assert_eq!(output.count_events(EventId::JobEnded), 1);
    assert!(writes.iter().all(|write| write.split_inclusive(|byte| *byte == b'\n').count() == 1));
}

/// Lines that wait for the next write at the time of the stop must not be lost.
#[test]
fn close_writes_buffered_lines() {
    let (output, _begun) = RecordingOutput::new(Behaviour::Accept);
    let log = open_log(&output);
    log.write(EventId::DaemonStopped, &[]);
    log.close();
    assert_eq!(output.count_events(EventId::DaemonStopped), 1);
    assert_eq!(log.dropped_lines(), 0);
}

/// The process exits although nobody reads its output.
#[test]
fn close_gives_up_on_blocked_output() {
    let (output, begun) = RecordingOutput::new(Behaviour::Accept);
    let log = open_log(&output);
    let gate = output.gate.lock().unwrap();
    log.write(EventId::DaemonStarted, &[]);
    begun.recv().unwrap();
    let closed_at = Instant::now();
    log.close();
    assert!(closed_at.elapsed() < Duration::from_secs(5));
    drop(gate);
}

/// The output accepts nothing for a while, and the buffer fills up.
#[test]
fn lines_beyond_a_full_buffer_are_counted_and_reported() {
    let (output, begun) = RecordingOutput::new(Behaviour::Accept);
    let log = open_log(&output);
    let gate = output.gate.lock().unwrap();
    log.write(EventId::DaemonStarted, &[]);
    begun.recv().unwrap();
    for _ in 0..400 {
        write_padded(&log, EventId::JobAccepted, 1_024);
    }
    let dropped = log.dropped_lines();
    drop(gate);
    log.close();
    assert!(dropped > 0);
    assert_eq!(output.count_events(EventId::JobAccepted) + dropped, 400);
    assert_eq!(output.reported("buffer_full"), dropped);
    let lines = output.lines();
    let report = lines.iter().find(|line| line["event"] == EventId::LogLinesDropped.number()).unwrap();
    assert_eq!(report["daemon"], "edge-1#1");
    assert_eq!(report["level"], "WARN");
    assert!(report["ts"].is_string());
}

/// Thousands of starts and ends a second must not crowd out the lines that explain a failure.
#[test]
fn debug_lines_leave_half_of_the_buffer_to_others() {
    let (output, begun) = RecordingOutput::new(Behaviour::Accept);
    let log = open_log(&output);
    let gate = output.gate.lock().unwrap();
    log.write(EventId::DaemonStarted, &[]);
    begun.recv().unwrap();
    for _ in 0..400 {
        write_padded(&log, EventId::TaskStarted, 1_024);
    }
    let dropped = log.dropped_lines();
    let other_lines = (BUFFER_BYTES / 4 / 1_024) as u64;
    for _ in 0..other_lines {
        write_padded(&log, EventId::HostDraining, 1_024);
    }
    assert_eq!(log.dropped_lines(), dropped, "a line above the debug level was dropped");
    drop(gate);
    log.close();
    assert_eq!(output.count_events(EventId::HostDraining), other_lines);
    assert_eq!(output.count_events(EventId::TaskStarted) + dropped, 400);
    assert_eq!(output.reported("debug_limit"), dropped);
    assert_eq!(output.reported("buffer_full"), 0);
}

/// Which part of the lines of an event reached the output, and which was reported as dropped.
fn written_and_dropped(output: &RecordingOutput, event: EventId) -> (u64, u64) {
    let lines = output.lines();
    let reports = lines.iter().filter(|line| line["dropped_msg"] == event.name());
    let dropped = reports.map(|line| line["dropped"].as_u64().unwrap()).sum();
    (output.count_events(event), dropped)
}

/// A busy holder in trouble writes thousands of lines a second about calls, runs and hosts, of all levels, while its log
/// thread gets no processor time. The lines that tell why must all be there.
#[test]
fn decision_lines_survive_thousands_of_frequent_lines() {
    let frequent = [
        EventId::TaskStarted,
        EventId::RunEnded,
        EventId::CallRefused,
        EventId::StartRefused,
        EventId::HostUnresponsive,
        EventId::HostResponsive,
    ];
    let decisions = [
        EventId::StoreUnreachable,
        EventId::StoreReachable,
        EventId::RangeStale,
        EventId::HolderLoad,
        EventId::HolderSlow,
        EventId::ClaimLost,
    ];
    let (output, begun) = RecordingOutput::new(Behaviour::Accept);
    let log = open_log(&output);
    let gate = output.gate.lock().unwrap();
    log.write(EventId::DaemonStarted, &[]);
    begun.recv().unwrap();
    for _ in 0..1_000 {
        for event in frequent {
            write_padded(&log, event, 150);
        }
    }
    for event in decisions {
        write_padded(&log, event, 1_000);
    }
    drop(gate);
    log.close();
    for event in decisions {
        assert_eq!(written_and_dropped(&output, event), (1, 0), "{}", event.name());
    }
    for event in frequent {
        let (written, dropped) = written_and_dropped(&output, event);
        assert_eq!(written + dropped, 1_000, "{}", event.name());
        assert!(dropped > 0, "{}: the lines fit in the buffer", event.name());
    }
}

/// A store that fails marks every host and refuses every call. Neither may use up the room for lines of the other.
#[test]
fn lines_about_work_leave_room_for_lines_about_hosts() {
    let (output, begun) = RecordingOutput::new(Behaviour::Accept);
    let log = open_log(&output);
    let gate = output.gate.lock().unwrap();
    log.write(EventId::DaemonStarted, &[]);
    begun.recv().unwrap();
    for _ in 0..3_000 {
        write_padded(&log, EventId::CallRefused, 150);
    }
    for _ in 0..50 {
        write_padded(&log, EventId::HostUnresponsive, 150);
    }
    drop(gate);
    log.close();
    assert_eq!(written_and_dropped(&output, EventId::HostUnresponsive), (50, 0));
}

/// A line may be lost after it was written, in a collector. The numbers of the lines show that.
#[test]
fn numbers_of_lines_account_for_every_line() {
    let (output, begun) = RecordingOutput::new(Behaviour::Accept);
    let log = open_log(&output);
    let gate = output.gate.lock().unwrap();
    log.write(EventId::DaemonStarted, &[]);
    begun.recv().unwrap();
    for _ in 0..2_000 {
        write_padded(&log, EventId::TaskStarted, 200);
    }
    drop(gate);
    log.write(EventId::DaemonStopped, &[]);
    log.close();
    let lines = output.lines();
    let numbers: Vec<u64> = lines.iter().filter_map(|line| line["seq"].as_u64()).collect();
    assert!(numbers.is_sorted_by(|earlier, later| earlier < later), "{numbers:?}");
    assert_eq!((numbers[0], numbers[numbers.len() - 1]), (1, 2_002));
    assert_eq!(numbers.len() as u64 + log.dropped_lines(), 2_002);
}

/// The reader of the output goes away for a while.
#[test]
fn lines_of_failed_writes_are_counted_and_reported_later() {
    let (output, begun) = RecordingOutput::new(Behaviour::Fail);
    let log = open_log(&output);
    for _ in 0..50 {
        write_padded(&log, EventId::JobAccepted, 1_024);
    }
    begun.recv().unwrap();
    while log.dropped_lines() < 50 {
        std::thread::sleep(Duration::from_millis(1));
    }
    output.set_behaviour(Behaviour::Accept);
    log.write(EventId::DaemonStopped, &[]);
    log.close();
    assert_eq!(output.count_events(EventId::DaemonStopped), 1);
    assert_eq!(output.reported("write_failed"), 50);
    assert_eq!(log.dropped_lines(), 50);
}

#[test]
fn short_writes_are_continued() {
    let (output, _begun) = RecordingOutput::new(Behaviour::Short(100));
    let log = open_log(&output);
    for _ in 0..20 {
        write_padded(&log, EventId::JobAccepted, 500);
    }
    log.close();
    assert_eq!(output.count_events(EventId::JobAccepted), 20);
    assert_eq!(log.dropped_lines(), 0);
}

/// The output fails within a line. The rest of that line must not make the next one unreadable.
#[test]
fn line_after_a_broken_one_is_readable() {
    let (output, begun) = RecordingOutput::new(Behaviour::BreakAfter(20));
    let log = open_log(&output);
    log.write(EventId::JobAccepted, &[]);
    begun.recv().unwrap();
    while log.dropped_lines() < 1 {
        std::thread::sleep(Duration::from_millis(1));
    }
    output.set_behaviour(Behaviour::Accept);
    log.write(EventId::DaemonStopped, &[]);
    log.close();
    assert_eq!(output.count_events(EventId::JobAccepted), 0);
    assert_eq!(output.count_events(EventId::DaemonStopped), 1);
    assert_eq!(output.reported("write_failed"), 1);
}
