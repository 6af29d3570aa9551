//! The daemon of one entry host.

use std::process::ExitCode;

fn main() -> ExitCode {
    cassiahoist_daemon::run()
}
