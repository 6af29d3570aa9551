//! Settings of one daemon, read from YAML and checked strictly.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;

use cassiahoist_core::prelude::*;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

quick_error! {
    /// Why settings are rejected.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SettingsError {
        /// The file can't be read.
        Unreadable(file: String, reason: String) {
            display("{}: can't be read: {}", file, reason)
        }
        /// The file is not well formed, or a field is unknown or of the wrong type.
        Malformed(file: String, reason: String) {
            display("{}: {}", file, reason)
        }
        /// A value is impossible.
        Impossible(file: String, path: String, reason: String) {
            display("{}: {}: {}", file, path, reason)
        }
    }
}

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who the daemon is.
    pub daemon: DaemonSettings,
    /// The cell in which it stands.
    pub cell: CellSettings,
    /// Where it listens.
    pub listen: ListenSettings,
    /// Where the platform is.
    pub platform: PlatformSettings,
    /// How it logs.
    #[serde(default)]
    pub log: LogSettings,
    /// Timing of ownership and leases.
    #[serde(default)]
    pub timing: TimingSettings,
    /// Bounds on queues and memory.
    #[serde(default)]
    pub limits: LimitSettings,
}

/// Who the daemon is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// A name that is unique in the cell.
    pub name: MemberName,
    /// The failure domain in which it stands.
    pub failure_domain: FailureDomain,
    /// Number of traffic threads.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: usize,
}

fn default_traffic_threads() -> usize {
    2
}

/// The cell; the same in every daemon's settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellSettings {
    /// Fleets of the cell.
    pub fleets: Vec<Fleet>,
    /// Failure domains of the cell.
    pub failure_domains: Vec<FailureDomain>,
    /// Number of identity slices.
    pub identity_slices: u16,
}

/// Where the daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// For callers and operators.
    pub callers: SocketAddr,
    /// For peers.
    pub peers: SocketAddr,
}

/// Where the platform is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The key-value store.
    pub store: SocketAddr,
    /// The host list.
    pub host_list: SocketAddr,
}

/// The form of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogForm {
    /// One JSON object a line.
    #[default]
    Json,
    /// For a person at a terminal.
    Terminal,
}

/// The least severity that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Everything.
    Debug,
    /// Normal operation and worse.
    #[default]
    Info,
    /// What to look at, and worse.
    Warning,
    /// What is broken.
    Error,
}

/// How the daemon logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// The form of lines.
    pub form: LogForm,
    /// The least severity.
    pub level: LogLevel,
}

/// Timing of ownership and leases, in milliseconds; see `docs/OPERATIONS.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TimingSettings {
    /// Interval between confirmations of ownership.
    pub confirm_interval_ms: u64,
    /// How long a confirmation permits to act.
    pub permission_ms: u64,
    /// How long a chain of promises may last without a reading of the store.
    pub promise_chain_ms: u64,
    /// Time to live of a membership lease.
    pub member_ttl_ms: u64,
    /// Interval between gossip messages.
    pub gossip_interval_ms: u64,
    /// Interval between lease renewals at an idle worker.
    pub worker_sync_interval_ms: u64,
    /// Lease of a task at its worker.
    pub task_lease_ms: u64,
    /// How long a graceful stop may take.
    pub stop_limit_ms: u64,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            confirm_interval_ms: 500,
            permission_ms: 2_000,
            promise_chain_ms: 3_600_000,
            member_ttl_ms: 2_000,
            gossip_interval_ms: 500,
            worker_sync_interval_ms: 1_000,
            task_lease_ms: 10_000,
            stop_limit_ms: 20_000,
        }
    }
}

/// Bounds on queues and memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Requests waiting or running at this daemon.
    pub max_requests: usize,
    /// Unfinished jobs owned by this daemon.
    pub max_jobs: usize,
    /// Tasks of one job.
    pub max_job_tasks: u32,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self { max_requests: 4_096, max_jobs: 50_000, max_job_tasks: 10_000, max_body_bytes: 1 << 20 }
    }
}

/// Reads and checks a settings file.
///
/// # Errors
/// [`SettingsError`] with the file, the path of the field and the reason.
pub fn read_settings(file: &Path) -> Result<Settings, SettingsError> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|error| SettingsError::Unreadable(name.clone(), error.to_string()))?;
    parse_settings(&name, &text)
}

/// Parses and checks settings; `file` is named in errors.
///
/// # Errors
/// [`SettingsError`] with the file, the path of the field and the reason.
pub fn parse_settings(file: &str, text: &str) -> Result<Settings, SettingsError> {
    let settings: Settings = serde_saphyr::from_str(text).map_err(|error| {
        let mut reason = String::new();
        let _ = write!(reason, "{error}");
        SettingsError::Malformed(file.into(), reason)
    })?;
    match first_impossible(&settings) {
        None => Ok(settings),
        Some((path, reason)) => Err(SettingsError::Impossible(file.into(), path.into(), reason.into())),
    }
}

/// Finds the first field whose value is impossible, as path and reason.
fn first_impossible(settings: &Settings) -> Option<(&'static str, &'static str)> {
    let (cell, timing) = (&settings.cell, &settings.timing);
    let rules = [
        (cell.fleets.is_empty(), "cell.fleets", "name at least one fleet"),
        (cell.failure_domains.is_empty(), "cell.failure_domains", "name at least one failure domain"),
        (
            !cell.failure_domains.contains(&settings.daemon.failure_domain),
            "daemon.failure_domain",
            "not one of cell.failure_domains",
        ),
        (cell.identity_slices == 0, "cell.identity_slices", "must be at least 1"),
        (settings.daemon.traffic_threads == 0, "daemon.traffic_threads", "must be at least 1"),
        (settings.listen.callers == settings.listen.peers, "listen.peers", "the same as listen.callers"),
        (timing.confirm_interval_ms == 0, "timing.confirm_interval_ms", "must be above 0"),
        (
            timing.permission_ms < 2 * timing.confirm_interval_ms,
            "timing.permission_ms",
            "must be at least twice timing.confirm_interval_ms",
        ),
        (
            timing.task_lease_ms <= timing.permission_ms,
            "timing.task_lease_ms",
            "must be above timing.permission_ms",
        ),
        (settings.limits.max_requests == 0, "limits.max_requests", "must be above 0"),
    ];
    rules.into_iter().find(|(broken, ..)| *broken).map(|(_, path, reason)| (path, reason))
}
