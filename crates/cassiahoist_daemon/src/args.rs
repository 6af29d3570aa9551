//! The daemon's command line.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional};

/// What the command line asks for.
#[derive(Clone, Debug)]
pub struct Args {
    /// Only checks the settings.
    pub check: bool,
    /// The settings file.
    pub settings: PathBuf,
}

/// Describes the command line.
pub fn parser() -> OptionParser<Args> {
    let check = long("check").help("Check SETTINGS and exit: 0 if they are good, 2 if not").switch();
    let settings = positional("SETTINGS").help("Settings file in YAML; see docs/OPERATIONS.md");
    construct!(Args { check, settings })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Cluster scheduler for unlike workloads: the daemon of one entry host")
        .footer("Example: cassiahoist --check /etc/cassiahoist/settings.yaml")
}
