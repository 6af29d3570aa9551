//! The log of what backend stand-ins really ran.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use cassiahoist_core::prelude::*;
use serde::{Deserialize, Serialize};

/// What happened at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendEvent {
    /// A request or task began to run.
    Started,
    /// It ended.
    Ended,
    /// More was asked for than the host can hold.
    Overfull,
    /// More connections were opened than the host accepts.
    TooManyConnections,
    /// A command under a term lower than one seen was refused.
    LowTerm,
}

/// One line of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendLine {
    /// Wall-clock time, in microseconds since the epoch.
    pub at_us: u64,
    /// The host.
    pub host: HostName,
    /// What happened.
    pub event: BackendEvent,
    /// The identity of the request, or the task with its attempt.
    pub work: String,
    /// More about it.
    #[serde(default)]
    pub detail: String,
}

/// Writes the log.
#[derive(Clone, Debug)]
pub struct BackendLog {
    file: Arc<Mutex<File>>,
}

impl BackendLog {
    /// Opens a log file for appending.
    ///
    /// # Errors
    /// The file can't be opened.
    pub fn open(path: &Path) -> std::io::Result<Self> {
        let file = File::options().create(true).append(true).open(path)?;
        Ok(Self { file: Arc::new(Mutex::new(file)) })
    }

    /// Writes a line at once, so that a kill loses nothing.
    pub fn write(&self, host: &HostName, event: BackendEvent, work: &str, detail: &str) {
        let line = BackendLine {
            at_us: unix_us(),
            host: host.clone(),
            event,
            work: work.into(),
            detail: detail.into(),
        };
        let mut text = serde_json::to_vec(&line).unwrap_or_default();
        text.push(b'\n');
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = file.write_all(&text) {
            eprintln!("backend log: {error}");
        }
    }
}

/// Reads a log.
///
/// # Errors
/// The file can't be read.
pub fn read_log(path: &Path) -> std::io::Result<Vec<BackendLine>> {
    let text = std::fs::read_to_string(path)?;
    Ok(text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect())
}

/// Gives the wall-clock time, in microseconds since the epoch.
#[must_use]
pub fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}
