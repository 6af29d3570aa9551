//! Settings of one daemon, read from a YAML file and validated strictly.
//!
//! A platform adapter may build the same type from the platform's own settings file.

use std::net::SocketAddr;
use std::path::Path;

use cassiahoist_core::descriptors::{DEFAULT_MAX_DESCRIPTORS, MIN_MAX_DESCRIPTORS};
use cassiahoist_core::memory::{DEFAULT_MEMORY_MIB, MIN_MEMORY_MIB};
use cassiahoist_core::prelude::*;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

quick_error! {
    /// Error in reading or validating settings.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SettingsError {
        /// The file can't be read.
        Unreadable(file: String, reason: String) {
            display("{}: can't be read: {}", file, reason)
        }
        /// The file has invalid syntax, or an unknown or wrongly typed field.
        Malformed(file: String, reason: String) {
            display("{}: {}", file, reason)
        }
        /// A value is out of range or conflicts with another one.
        Invalid(file: String, path: String, reason: String) {
            display("{}: {}: {}", file, path, reason)
        }
    }
}

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity of the daemon and limits of its process.
    pub daemon: DaemonSettings,
    /// Addresses on which the daemon listens.
    pub listen: ListenSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Time bounds that the platform guarantees or requires.
    #[serde(default)]
    pub bounds: Bounds,
    /// Processor, link capacity and memory available to the daemon.
    #[serde(default)]
    pub limits: LimitSettings,
    /// How ready steps of equal priority are ordered; by arrival by default.
    #[serde(default)]
    pub order_of_work: OrderOfWork,
    /// Which events are logged; all by default.
    #[serde(default)]
    pub log: LogSettings,
}

/// Identity of a daemon and limits of its process.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Name of the daemon, unique in its cell.
    pub name: MemberName,
    /// Failure domain (zone) of the daemon's machine.
    pub failure_domain: FailureDomain,
    /// Number of threads that serve traffic, at least 1. The control thread is not counted.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: usize,
    /// Most file descriptors that the process may open, those for files included.
    #[serde(default = "default_max_descriptors")]
    pub max_descriptors: usize,
}

/// Capacity of a daemon's machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Processor share, in thousandths of a core.
    pub cpu_milli: u32,
    /// Bandwidth of the network link, in megabits per second.
    pub link_mbps: u32,
    /// Memory that the process may use, in mebibytes.
    pub memory_mib: u32,
}

impl LimitSettings {
    /// Returns the capacity by which daemons rank each other.
    #[must_use]
    pub fn machine_limits(self) -> MachineLimits {
        MachineLimits { cpu_milli: self.cpu_milli, link_mbps: self.link_mbps }
    }
}

impl Default for LimitSettings {
    fn default() -> Self {
        let MachineLimits { cpu_milli, link_mbps } = MachineLimits::default();
        Self { cpu_milli, link_mbps, memory_mib: DEFAULT_MEMORY_MIB }
    }
}

/// One thread is enough for a daemon with a quarter of a core.
fn default_traffic_threads() -> usize {
    1
}

fn default_max_descriptors() -> usize {
    DEFAULT_MAX_DESCRIPTORS
}

/// Addresses on which a daemon listens; no two may be the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address for calls that submit, query and cancel jobs.
    pub callers: SocketAddr,
    /// Address for the balancer's readiness checks.
    pub readiness: SocketAddr,
    /// Address for messages of other daemons.
    pub peers: SocketAddr,
    /// Address for operators: metrics, status, declarations and the state dump.
    pub operators: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the key-value store.
    pub store: SocketAddr,
    /// Address of the service that advises which hosts may run a step. `None` if there is none.
    #[serde(default)]
    pub advice: Option<SocketAddr>,
}

/// Lowest severity that is logged, as written in settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// All events, including each start and end of a run.
    #[default]
    Debug,
    /// Changes of jobs, hosts and daemons, and all warnings and errors.
    Info,
    /// Events that an operator should look into, and errors.
    Warning,
    /// Only errors, which an operator has to mend.
    Error,
}

/// Which events a daemon writes to its log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Lowest severity that is logged; everything by default.
    pub level: LogLevel,
}

/// Reads and validates a settings file.
///
/// # Errors
/// [`SettingsError`] with the file, the path of the field and the reason.
pub fn read_settings(file: &Path) -> Result<Settings, SettingsError> {
    let file_name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|error| SettingsError::Unreadable(file_name.clone(), error.to_string()))?;
    parse_settings(&file_name, &text)
}

/// Parses and validates settings; `file` is the name that errors report.
///
/// # Errors
/// [`SettingsError`] with the file, the path of the field and the reason.
pub fn parse_settings(file: &str, text: &str) -> Result<Settings, SettingsError> {
    let settings: Settings = serde_saphyr::from_str(text)
        .map_err(|error| SettingsError::Malformed(file.into(), error.to_string()))?;
    validate_settings(file, &settings)?;
    Ok(settings)
}

/// Validates the constraints that the types don't express.
///
/// `file` is the name that errors report.
///
/// # Errors
/// [`SettingsError::Invalid`] with the path of the field and the reason.
pub fn validate_settings(file: &str, settings: &Settings) -> Result<(), SettingsError> {
    let invalid =
        |path: &str, reason: &str| Err(SettingsError::Invalid(file.into(), path.into(), reason.into()));
    if settings.daemon.traffic_threads == 0 {
        return invalid("daemon.traffic_threads", "must be at least 1, since a thread is needed for traffic");
    }
    if settings.daemon.max_descriptors < MIN_MAX_DESCRIPTORS {
        return invalid(
            "daemon.max_descriptors",
            &format!(
                "must be at least {MIN_MAX_DESCRIPTORS}, which callers, peers, the store and hosts share"
            ),
        );
    }
    let bounds = &settings.bounds;
    if bounds.run_lease_ms < 1_000 {
        return invalid(
            "bounds.run_lease_ms",
            "must be at least 1,000 ms, since a shorter lease would end between two polls",
        );
    }
    if bounds.grace_ms < 2_000 {
        return invalid("bounds.grace_ms", "must be at least 2,000 ms, which a graceful stop needs");
    }
    if bounds.strict_revoke && bounds.revoke_ms < 1_000 {
        return invalid(
            "bounds.revoke_ms",
            "must be at least 1,000 ms, since the configuration is confirmed a few times in that time",
        );
    }
    if settings.limits.cpu_milli == 0 || settings.limits.link_mbps == 0 {
        return invalid("limits", "the processor share and the link bandwidth must be greater than 0");
    }
    if settings.limits.memory_mib < MIN_MEMORY_MIB {
        return invalid(
            "limits.memory_mib",
            &format!("must be at least {MIN_MEMORY_MIB}, which the tables and the requests of callers share"),
        );
    }
    let listen = &settings.listen;
    let addresses = [
        ("listen.callers", listen.callers),
        ("listen.readiness", listen.readiness),
        ("listen.peers", listen.peers),
        ("listen.operators", listen.operators),
    ];
    for (position, (path, address)) in addresses.iter().enumerate() {
        if let Some((other, _)) = addresses[..position].iter().find(|(_, earlier)| earlier == address) {
            return invalid(path, &format!("must differ from {other}"));
        }
    }
    Ok(())
}
