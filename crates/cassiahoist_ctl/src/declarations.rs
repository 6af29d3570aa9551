//! The `declarations` commands: check, show, diff and apply.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use bpaf::{Parser, construct, positional};
use cassiahoist_core::prelude::*;
use cassiahoist_declarations::{
    DeclarationChange, DeclarationError, Declarations, diff_declarations, read_declarations,
};
use cassiahoist_traffic::declarations::{DECLARATIONS_PATH, VersionedDeclarations};
use quick_error::quick_error;

use crate::client::{get_page, put_page};
use crate::commands::{EXIT_INVALID_INPUT, EXIT_UNANSWERED, address};

/// Exit code of `diff` if it finds differences.
const EXIT_DIFFERS: u8 = 3;

quick_error! {
    /// Why a `declarations` command failed.
    #[derive(Debug)]
    enum Failure {
        /// The files are not valid declarations.
        Rejected(error: DeclarationError) {
            from()
            display("{}", error)
        }
        /// The daemon is unreachable, or rejects the request.
        Unanswered(error: HoistError) {
            from()
            display("{}", error)
        }
    }
}

impl Failure {
    fn exit_code(&self) -> u8 {
        match self {
            Self::Rejected(_) => EXIT_INVALID_INPUT,
            Self::Unanswered(_) => EXIT_UNANSWERED,
        }
    }
}

/// A command about declarations.
#[derive(Clone, Debug)]
pub(crate) enum DeclarationsCommand {
    /// Checks files of declarations without contacting a daemon.
    Check { files: Vec<PathBuf> },
    /// Shows the declarations in force at a daemon.
    Show { address: SocketAddr },
    /// Shows the changes that applying files would make.
    Diff { address: SocketAddr, files: Vec<PathBuf> },
    /// Replaces the declarations in force by those of files.
    Apply { address: SocketAddr, files: Vec<PathBuf> },
}

fn files() -> impl Parser<Vec<PathBuf>> {
    positional("FILE")
        .help("Declarations in YAML; several files are merged")
        .some("at least one file is required")
}

/// Builds the parser of the `declarations` commands.
pub(crate) fn parser() -> impl Parser<DeclarationsCommand> {
    let check = construct!(DeclarationsCommand::Check { files(files()) })
        .to_options()
        .descr("Check files without contacting a daemon")
        .footer("Example: hoistctl declarations check fleet/*.yaml")
        .command("check");
    let show = construct!(DeclarationsCommand::Show { address(address()) })
        .to_options()
        .descr("Show the declarations in force at a daemon, as JSON")
        .command("show");
    let (address_argument, file_arguments) = (address(), files());
    let diff = construct!(address_argument, file_arguments)
        .map(|(address, files)| DeclarationsCommand::Diff { address, files })
        .to_options()
        .descr("Show the changes that applying files would make; exits with 3 if there are any")
        .footer("Example: hoistctl declarations diff 10.1.0.13:7735 fleet/*.yaml")
        .command("diff");
    let (address_argument, file_arguments) = (address(), files());
    let apply = construct!(address_argument, file_arguments)
        .map(|(address, files)| DeclarationsCommand::Apply { address, files })
        .to_options()
        .descr("Replace all declarations in force by those of files; fails if they change in the meantime")
        .footer("Example: hoistctl declarations apply 10.1.0.13:7735 fleet/*.yaml")
        .command("apply");
    construct!([check, show, diff, apply])
        .to_options()
        .descr("Check, show, compare and apply declarations: defaults and exceptions")
        .command("declarations")
}

/// Runs a command and returns the exit code.
pub(crate) fn run(command: &DeclarationsCommand) -> u8 {
    let outcome = match command {
        DeclarationsCommand::Check { files } => run_check(files),
        DeclarationsCommand::Show { address } => run_show(*address),
        DeclarationsCommand::Diff { address, files } => run_diff(*address, files),
        DeclarationsCommand::Apply { address, files } => run_apply(*address, files),
    };
    outcome.unwrap_or_else(|failure| {
        eprintln!("hoistctl: {failure}");
        failure.exit_code()
    })
}

fn run_check(files: &[PathBuf]) -> Result<u8, Failure> {
    let declarations = read_declarations(files)?;
    println!(
        "good: {} defaults, {} exceptions",
        declarations.defaults.entries().len(),
        declarations.exceptions.len()
    );
    Ok(0)
}

fn run_show(address: SocketAddr) -> Result<u8, Failure> {
    println!("{}", get_page(address, DECLARATIONS_PATH)?);
    Ok(0)
}

fn run_diff(address: SocketAddr, files: &[PathBuf]) -> Result<u8, Failure> {
    let changes = compare_with_daemon(address, files)?.changes;
    print_changes(&changes);
    Ok(if changes.is_empty() { 0 } else { EXIT_DIFFERS })
}

fn run_apply(address: SocketAddr, files: &[PathBuf]) -> Result<u8, Failure> {
    let Comparison { revision, desired, changes } = compare_with_daemon(address, files)?;
    print_changes(&changes);
    if changes.is_empty() {
        return Ok(0);
    }
    let put = VersionedDeclarations { revision, declarations: Arc::new(desired) };
    let body = serde_json::to_string(&put).map_err(|error| HoistError::InvalidMessage(error.to_string()))?;
    let answer = put_page(address, DECLARATIONS_PATH, body)?;
    println!("stored: {answer}");
    Ok(0)
}

/// Declarations of files, compared with those in force at a daemon.
#[derive(Debug)]
struct Comparison {
    /// Revision of the declarations in force.
    revision: u64,
    /// Declarations of the files.
    desired: Declarations,
    /// Changes that applying them would make.
    changes: Vec<DeclarationChange>,
}

fn compare_with_daemon(address: SocketAddr, files: &[PathBuf]) -> Result<Comparison, Failure> {
    let desired = read_declarations(files)?;
    let page = get_page(address, DECLARATIONS_PATH)?;
    let in_force: VersionedDeclarations = serde_json::from_str(&page)
        .map_err(|error| HoistError::InvalidMessage(format!("{address}: {error}")))?;
    let changes = diff_declarations(&in_force.declarations, &desired);
    Ok(Comparison { revision: in_force.revision, desired, changes })
}

fn print_changes(changes: &[DeclarationChange]) {
    for change in changes {
        println!("{change}");
    }
    if changes.is_empty() {
        println!("no difference");
    }
}
