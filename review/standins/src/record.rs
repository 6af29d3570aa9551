//! What clients, runners and the platform saw, with times since the start of the script.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A run that a runner has begun and not ended.
#[derive(Clone, Debug)]
struct LiveRun {
    runner: String,
    run: u64,
    since_ms: u64,
}

struct Inner {
    file: File,
    live: BTreeMap<String, Vec<LiveRun>>,
    violations: Vec<String>,
}

pub struct Record {
    start: Instant,
    inner: Mutex<Inner>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Arc<Self>> {
        let inner = Inner { file: File::create(path)?, live: BTreeMap::new(), violations: Vec::new() };
        Ok(Arc::new(Self { start: Instant::now(), inner: Mutex::new(inner) }))
    }

    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut inner = self.inner.lock().unwrap();
        self.write(&mut inner, text);
    }

    fn write(&self, inner: &mut Inner, text: &str) {
        let _ = writeln!(inner.file, "{:8.3} s  {text}", self.now_ms() as f64 / 1_000.0);
    }

    /// Records that a rule was broken.
    pub fn violation(&self, text: &str) {
        let mut inner = self.inner.lock().unwrap();
        self.write(&mut inner, &format!("VIOLATION {text}"));
        inner.violations.push(text.to_owned());
    }

    /// Records the begin of a run. Two runs of one task at a time break TWICE.
    pub fn run_started(&self, task: &str, run: u64, runner: &str, fence: u64, sender: Option<usize>) {
        let mut inner = self.inner.lock().unwrap();
        let sender = sender.map_or("?".into(), |daemon| format!("daemon {daemon}"));
        self.write(&mut inner, &format!("start {task} run {run} on {runner}, fence {fence}, from {sender}"));
        let now_ms = self.now_ms();
        let live = inner.live.entry(task.to_owned()).or_default();
        let others: Vec<String> = live
            .iter()
            .map(|other| {
                format!(
                    "run {} on {} (since {:.3} s)",
                    other.run,
                    other.runner,
                    other.since_ms as f64 / 1_000.0
                )
            })
            .collect();
        live.push(LiveRun { runner: runner.to_owned(), run, since_ms: now_ms });
        if !others.is_empty() {
            let text =
                format!("TWICE: {task} run {run} begins on {runner} while {} is at work", others.join(", "));
            self.write(&mut inner, &format!("VIOLATION {text}"));
            inner.violations.push(text);
        }
    }

    pub fn run_ended(&self, task: &str, run: u64, runner: &str, how: &str) {
        let mut inner = self.inner.lock().unwrap();
        if let Some(live) = inner.live.get_mut(task) {
            live.retain(|other| other.run != run || other.runner != runner);
        }
        self.write(&mut inner, &format!("end {task} run {run} on {runner}: {how}"));
    }

    /// Returns the runner and the number of the run of a task that is at work.
    pub fn live_run(&self, task: &str) -> Option<(String, u64)> {
        let inner = self.inner.lock().unwrap();
        inner.live.get(task)?.last().map(|live| (live.runner.clone(), live.run))
    }

    pub fn violations(&self) -> Vec<String> {
        self.inner.lock().unwrap().violations.clone()
    }
}
