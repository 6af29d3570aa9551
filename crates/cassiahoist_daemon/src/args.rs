//! The daemon's command line.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional};

/// Where the settings are read from.
#[derive(Clone, Debug)]
pub enum SettingsSource {
    /// The platform's settings file, which the environment names.
    Platform,
    /// A file in the daemon's own format.
    File(PathBuf),
}

/// Command line of the daemon, as [`parser`] returns it.
#[derive(Clone, Debug)]
pub struct Args {
    /// Whether to check the settings and exit.
    pub check: bool,
    /// Where the settings are read from.
    pub source: SettingsSource,
}

/// Builds the command-line parser.
pub fn parser() -> OptionParser<Args> {
    let check =
        long("check").help("Check the settings and exit with 0 if they are valid, 2 otherwise").switch();
    let platform = long("platform")
        .help("Read the platform's settings file, CASSIAHOIST_SETTINGS or /etc/cassiahoist/settings.toml")
        .req_flag(SettingsSource::Platform);
    let file = positional("SETTINGS")
        .help("Settings file in YAML; see docs/OPERATIONS.md")
        .map(SettingsSource::File);
    let source = construct!([platform, file]);
    construct!(Args { check, source })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Cluster scheduler for mixed workloads: the daemon of one entry host")
        .footer("Example: cassiahoist --check /etc/cassiahoist/settings.yaml")
}
