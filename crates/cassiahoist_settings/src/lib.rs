//! Settings of one daemon, read from YAML and checked strictly.
//!
//! A platform's adapter may fill the same type from the platform's own settings file.

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
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who the daemon is.
    pub daemon: DaemonSettings,
    /// Where it listens.
    pub listen: ListenSettings,
    /// Where the platform is.
    pub platform: PlatformSettings,
    /// Times that the platform guarantees or asks for.
    #[serde(default)]
    pub bounds: Bounds,
    /// What the daemon's machine gives it.
    #[serde(default)]
    pub limits: Limits,
    /// How it logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// Who the daemon is.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
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

/// One thread carries the traffic of an entry host with a quarter of a core.
fn default_traffic_threads() -> usize {
    1
}

/// Where the daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer, which asks whether new calls are welcome.
    pub readiness: SocketAddr,
    /// For peers.
    pub peers: SocketAddr,
    /// For operators: metrics, status and the state dump.
    pub operators: SocketAddr,
}

/// Where the platform is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The key-value store.
    pub store: SocketAddr,
    /// The service that knows which hosts may run a step, if there is one.
    #[serde(default)]
    pub advice: Option<SocketAddr>,
}

/// The least severity that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Everything, each start and end of a run included.
    #[default]
    Debug,
    /// Jobs, hosts and what goes wrong.
    Info,
    /// What to look at.
    Warning,
    /// What is broken.
    Error,
}

/// How the daemon logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The least severity that is logged.
    pub level: LogLevel,
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

/// Parses and checks settings; `file` names them in errors.
///
/// # Errors
/// [`SettingsError`] with the file, the path of the field and the reason.
pub fn parse_settings(file: &str, text: &str) -> Result<Settings, SettingsError> {
    let settings: Settings = serde_saphyr::from_str(text)
        .map_err(|error| SettingsError::Malformed(file.into(), error.to_string()))?;
    check_settings(file, &settings)?;
    Ok(settings)
}

/// Checks what the types alone don't.
///
/// # Errors
/// [`SettingsError::Impossible`] with the path of the field and the reason.
pub fn check_settings(file: &str, settings: &Settings) -> Result<(), SettingsError> {
    let impossible =
        |path: &str, reason: &str| Err(SettingsError::Impossible(file.into(), path.into(), reason.into()));
    if settings.daemon.traffic_threads == 0 {
        return impossible("daemon.traffic_threads", "at least one thread carries traffic");
    }
    let bounds = &settings.bounds;
    if bounds.run_lease_ms < 1_000 {
        return impossible("bounds.run_lease_ms", "a lease below 1,000 ms would end between two polls");
    }
    if bounds.grace_ms < 2_000 {
        return impossible("bounds.grace_ms", "a graceful stop takes 2,000 ms or more");
    }
    if settings.limits.cpu_milli == 0 || settings.limits.link_mbps == 0 {
        return impossible("limits", "a daemon needs a processor and a link");
    }
    let listen = &settings.listen;
    let named = [
        ("listen.callers", listen.callers),
        ("listen.readiness", listen.readiness),
        ("listen.peers", listen.peers),
        ("listen.operators", listen.operators),
    ];
    for (position, (path, address)) in named.iter().enumerate() {
        if let Some((other, _)) = named[..position].iter().find(|(_, earlier)| earlier == address) {
            return impossible(path, &format!("the same address as {other}"));
        }
    }
    Ok(())
}
