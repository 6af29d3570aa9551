//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long, positional};
use cassiahoist_core::prelude::*;
use cassiahoist_settings::read_settings;

use crate::ask::ask_page;
use crate::declarations::{self, DeclarationsCommand};
use crate::render::render_page;

/// Exit code if a daemon can't be asked or knows nothing.
pub(crate) const EXIT_UNANSWERED: u8 = 1;

/// Exit code for bad settings or declarations.
pub(crate) const EXIT_BAD_SETTINGS: u8 = 2;

/// What the command line asks for.
#[derive(Clone, Debug)]
enum Command {
    /// Checks settings files.
    Check { files: Vec<PathBuf> },
    /// Shows a daemon's state in short.
    Status { json: bool, address: SocketAddr },
    /// Shows all tables of a daemon.
    Dump { address: SocketAddr },
    /// Checks, compares and applies declarations.
    Declarations(DeclarationsCommand),
    /// Tells why a job waits or how it ended.
    Explain { json: bool, address: SocketAddr, job: JobId },
}

pub(crate) fn address() -> impl Parser<SocketAddr> {
    positional("ADDRESS").help("Operators' address of a daemon, IP:PORT")
}

fn json() -> impl Parser<bool> {
    long("json").help("Print JSON as the daemon gives it").switch()
}

fn parser() -> OptionParser<Command> {
    let files = positional("FILE").help("Settings file in YAML").some("name a settings file");
    let check = construct!(Command::Check { files })
        .to_options()
        .descr("Check settings files; nothing is started")
        .footer("Example: hoistctl check /etc/cassiahoist/settings.yaml")
        .command("check");
    let (json_flag, at) = (json(), address());
    let status = construct!(json_flag, at)
        .map(|(json, address)| Command::Status { json, address })
        .to_options()
        .descr("Show who holds the slice, the members and the configuration in force")
        .footer("Example: hoistctl status 10.1.0.13:7735")
        .command("status");
    let dump = construct!(Command::Dump { address(address()) })
        .to_options()
        .descr("Show all tables of a daemon as JSON")
        .command("dump");
    let (json_flag, at) = (json(), address());
    let job = positional("JOB").help("Identity of the job, 16 hexadecimal digits");
    let explain = construct!(json_flag, at, job)
        .map(|(json, address, job)| Command::Explain { json, address, job })
        .to_options()
        .descr("Tell why a job waits or how it ended; ask the holder, which status names")
        .footer("Example: hoistctl explain 10.1.0.13:7735 5c0e7a21d94b36f8")
        .command("explain");
    let declarations = declarations::parser().map(Command::Declarations);
    construct!([check, declarations, status, dump, explain])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Operators' tool of cassiahoist")
}

/// Runs the tool from its command line.
#[must_use]
pub fn run() -> ExitCode {
    match parser().run() {
        Command::Check { files } => check(&files),
        Command::Declarations(command) => ExitCode::from(declarations::run(&command)),
        Command::Status { json, address } => show(address, "/status", json),
        Command::Dump { address } => show(address, "/dump", true),
        Command::Explain { json, address, job } => show(address, &format!("/explain/{job}"), json),
    }
}

fn check(files: &[PathBuf]) -> ExitCode {
    let mut bad = false;
    for file in files {
        match read_settings(file) {
            Ok(_) => println!("{}: good", file.display()),
            Err(error) => {
                eprintln!("{error}");
                bad = true;
            }
        }
    }
    if bad { ExitCode::from(EXIT_BAD_SETTINGS) } else { ExitCode::SUCCESS }
}

fn show(address: SocketAddr, path: &str, json: bool) -> ExitCode {
    match ask_page(address, path) {
        Ok(text) if json => println!("{text}"),
        Ok(text) => print!("{}", render_page(&text)),
        Err(error) => {
            eprintln!("hoistctl: {error}");
            return ExitCode::from(EXIT_UNANSWERED);
        }
    }
    ExitCode::SUCCESS
}
