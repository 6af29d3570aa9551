//! Command line of the operators' tool.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long, positional};
use cassiahoist_core::prelude::*;
use cassiahoist_settings::read_settings;

use crate::client::get_page;
use crate::declarations::{self, DeclarationsCommand};
use crate::render::render_page;

/// Exit code if a daemon is unreachable or answers with an error status.
pub(crate) const EXIT_UNANSWERED: u8 = 1;

/// Exit code for invalid settings or declarations.
pub(crate) const EXIT_INVALID_INPUT: u8 = 2;

/// Command of the tool with its arguments.
#[derive(Clone, Debug)]
enum Command {
    /// Checks settings files without starting a daemon.
    Check { files: Vec<PathBuf> },
    /// Shows a summary of a daemon's state.
    Status { json: bool, address: SocketAddr },
    /// Shows a daemon's hosts, jobs and runs as JSON.
    Dump { address: SocketAddr },
    /// Checks, compares and applies declarations.
    Declarations(DeclarationsCommand),
    /// Shows why a job waits, or how it ended.
    Explain { json: bool, address: SocketAddr, job: JobId },
}

pub(crate) fn address() -> impl Parser<SocketAddr> {
    positional("ADDRESS").help("Operators' address of a daemon, as IP:PORT")
}

fn json() -> impl Parser<bool> {
    long("json").help("Print the daemon's JSON unchanged").switch()
}

fn parser() -> OptionParser<Command> {
    let files =
        positional("FILE").help("Settings file in YAML").some("at least one settings file is required");
    let check = construct!(Command::Check { files })
        .to_options()
        .descr("Check settings files without starting a daemon")
        .footer("Example: hoistctl check /etc/cassiahoist/settings.yaml")
        .command("check");
    let (json_flag, address_argument) = (json(), address());
    let status = construct!(json_flag, address_argument)
        .map(|(json, address)| Command::Status { json, address })
        .to_options()
        .descr("Show the slice's holder, the members and the configuration in force")
        .footer("Example: hoistctl status 10.1.0.13:7735")
        .command("status");
    let dump = construct!(Command::Dump { address(address()) })
        .to_options()
        .descr("Show a daemon's hosts, jobs and runs as JSON")
        .command("dump");
    let (json_flag, address_argument) = (json(), address());
    let job = positional("JOB").help("Identity of the job, as 16 hexadecimal digits");
    let explain = construct!(json_flag, address_argument, job)
        .map(|(json, address, job)| Command::Explain { json, address, job })
        .to_options()
        .descr("Show why a job waits or how it ended; ask the slice's holder, which `status` shows")
        .footer("Example: hoistctl explain 10.1.0.13:7735 5c0e7a21d94b36f8")
        .command("explain");
    let declarations = declarations::parser().map(Command::Declarations);
    construct!([check, declarations, status, dump, explain])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Operators' tool for cassiahoist")
}

/// Runs the tool as its command line says. The crate's documentation lists the exit codes.
#[must_use]
pub fn run() -> ExitCode {
    match parser().run() {
        Command::Check { files } => check(&files),
        Command::Declarations(command) => ExitCode::from(declarations::run(&command)),
        Command::Status { json, address } => print_page(address, "/status", json),
        Command::Dump { address } => print_page(address, "/dump", true),
        Command::Explain { json, address, job } => print_page(address, &format!("/explain/{job}"), json),
    }
}

fn check(files: &[PathBuf]) -> ExitCode {
    let mut any_invalid = false;
    for file in files {
        match read_settings(file) {
            Ok(_) => println!("{}: good", file.display()),
            Err(error) => {
                eprintln!("{error}");
                any_invalid = true;
            }
        }
    }
    if any_invalid { ExitCode::from(EXIT_INVALID_INPUT) } else { ExitCode::SUCCESS }
}

fn print_page(address: SocketAddr, path: &str, json: bool) -> ExitCode {
    match get_page(address, path) {
        Ok(text) if json => println!("{text}"),
        Ok(text) => print!("{}", render_page(&text)),
        Err(error) => {
            eprintln!("hoistctl: {error}");
            return ExitCode::from(EXIT_UNANSWERED);
        }
    }
    ExitCode::SUCCESS
}
