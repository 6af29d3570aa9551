//! The operators' command-line tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    cassiahoist_ctl::run()
}
