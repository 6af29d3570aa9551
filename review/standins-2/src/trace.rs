//! What clients, runners and the platform have seen, in order.

use std::fmt;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// An observation. `born` tells the incarnations of a runner apart.
#[derive(Clone, Debug)]
pub enum Seen {
    /// A runner began a run on an order. The load counts the runs that are there, this one included.
    Started { runner: String, task: String, run: u64, load: u64, capacity: u64 },
    /// A run ended. `number` is that in the runner's list; 0 for a crash, which lists nothing.
    Ended { runner: String, born: u64, task: String, run: u64, number: u64, how: &'static str },
    /// `lastSeen` of an order that the runner carried out rose to this number.
    Noted { runner: String, born: u64, number: u64 },
    /// A client's call or a disruption.
    Note(String),
}

impl fmt::Display for Seen {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Seen::Started { runner, task, run, load, capacity, .. } => {
                write!(f, "{runner} started {task} run {run} (cpu in use {load} of {capacity})")
            }
            Seen::Ended { runner, task, run, number, how, .. } => {
                write!(f, "{runner} ended {task} run {run}: {how} (end {number})")
            }
            Seen::Noted { runner, number, .. } => write!(f, "{runner} got lastSeen {number}"),
            Seen::Note(text) => write!(f, "{text}"),
        }
    }
}

/// The observations; clones share them.
#[derive(Clone)]
pub struct Trace {
    begin: Instant,
    rows: Arc<Mutex<Vec<(u64, Seen)>>>,
}

impl Trace {
    pub fn new() -> Self {
        Self { begin: Instant::now(), rows: Arc::default() }
    }

    pub fn now_ms(&self) -> u64 {
        self.begin.elapsed().as_millis() as u64
    }

    pub fn add(&self, seen: Seen) {
        let mut rows = self.rows.lock().unwrap();
        let at_ms = self.now_ms();
        rows.push((at_ms, seen));
    }

    pub fn note(&self, text: impl Into<String>) {
        self.add(Seen::Note(text.into()));
    }

    /// Returns all rows, with the time of each in milliseconds.
    pub fn rows(&self) -> Vec<(u64, Seen)> {
        self.rows.lock().unwrap().clone()
    }
}
