//! Checks, compares and applies declarations.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use bpaf::{Parser, construct, positional};
use cassiahoist_core::prelude::*;
use cassiahoist_declarations::{Change, DeclarationError, Declarations, diff, read_files};
use cassiahoist_traffic::declarations::{DECLARATIONS_PATH, Declared};
use quick_error::quick_error;

use crate::ask::{ask_page, put_page};
use crate::commands::{EXIT_BAD_SETTINGS, EXIT_UNANSWERED, address};

/// Exit code of a comparison that finds differences.
const EXIT_DIFFERS: u8 = 3;

quick_error! {
    /// Why a command about declarations fails.
    #[derive(Debug)]
    enum Failure {
        /// The files are rejected.
        Rejected(error: DeclarationError) {
            from()
            display("{}", error)
        }
        /// The daemon can't be asked, or refuses.
        Unanswered(error: HoistError) {
            from()
            display("{}", error)
        }
    }
}

impl Failure {
    fn exit_code(&self) -> u8 {
        match self {
            Self::Rejected(_) => EXIT_BAD_SETTINGS,
            Self::Unanswered(_) => EXIT_UNANSWERED,
        }
    }
}

/// What is asked about declarations.
#[derive(Clone, Debug)]
pub(crate) enum DeclarationsCommand {
    /// Checks files.
    Check { files: Vec<PathBuf> },
    /// Shows what is in force at a daemon.
    Show { address: SocketAddr },
    /// Shows what applying files would change.
    Diff { address: SocketAddr, files: Vec<PathBuf> },
    /// Puts files in force.
    Apply { address: SocketAddr, files: Vec<PathBuf> },
}

fn files() -> impl Parser<Vec<PathBuf>> {
    positional("FILE").help("Declarations in YAML; several files are joined").some("name a file")
}

/// Parses what is asked about declarations.
pub(crate) fn parser() -> impl Parser<DeclarationsCommand> {
    let check = construct!(DeclarationsCommand::Check { files(files()) })
        .to_options()
        .descr("Check files; no daemon is asked")
        .footer("Example: hoistctl declarations check fleet/*.yaml")
        .command("check");
    let show = construct!(DeclarationsCommand::Show { address(address()) })
        .to_options()
        .descr("Show what is in force at a daemon, as JSON")
        .command("show");
    let (at, of) = (address(), files());
    let diff = construct!(at, of)
        .map(|(address, files)| DeclarationsCommand::Diff { address, files })
        .to_options()
        .descr("Show what applying files would change; exits with 3 if anything")
        .footer("Example: hoistctl declarations diff 10.1.0.13:7735 fleet/*.yaml")
        .command("diff");
    let (at, of) = (address(), files());
    let apply = construct!(at, of)
        .map(|(address, files)| DeclarationsCommand::Apply { address, files })
        .to_options()
        .descr(
            "Put files in force in place of all that is declared, unless someone else changes it meanwhile",
        )
        .footer("Example: hoistctl declarations apply 10.1.0.13:7735 fleet/*.yaml")
        .command("apply");
    construct!([check, show, diff, apply])
        .to_options()
        .descr("Defaults and exceptions: check, show, diff, apply")
        .command("declarations")
}

/// Carries a command out; gives the exit code.
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
    let declarations = read_files(files)?;
    println!(
        "good: {} defaults, {} exceptions",
        declarations.defaults.entries().len(),
        declarations.exceptions.len()
    );
    Ok(0)
}

fn run_show(address: SocketAddr) -> Result<u8, Failure> {
    println!("{}", ask_page(address, DECLARATIONS_PATH)?);
    Ok(0)
}

fn run_diff(address: SocketAddr, files: &[PathBuf]) -> Result<u8, Failure> {
    let changes = compare(address, files)?.changes;
    print_changes(&changes);
    Ok(if changes.is_empty() { 0 } else { EXIT_DIFFERS })
}

fn run_apply(address: SocketAddr, files: &[PathBuf]) -> Result<u8, Failure> {
    let Comparison { revision, wanted, changes } = compare(address, files)?;
    print_changes(&changes);
    if changes.is_empty() {
        return Ok(0);
    }
    let put = Declared { revision, declarations: Arc::new(wanted) };
    let body = serde_json::to_string(&put).map_err(|error| HoistError::BadMessage(error.to_string()))?;
    let answer = put_page(address, DECLARATIONS_PATH, body)?;
    println!("stored: {answer}");
    Ok(0)
}

/// What is in force at a daemon beside what files say.
#[derive(Debug)]
struct Comparison {
    /// Revision of what is in force.
    revision: u64,
    /// What the files say.
    wanted: Declarations,
    /// What applying them would change.
    changes: Vec<Change>,
}

fn compare(address: SocketAddr, files: &[PathBuf]) -> Result<Comparison, Failure> {
    let wanted = read_files(files)?;
    let page = ask_page(address, DECLARATIONS_PATH)?;
    let present: Declared =
        serde_json::from_str(&page).map_err(|error| HoistError::BadMessage(format!("{address}: {error}")))?;
    let changes = diff(&present.declarations, &wanted);
    Ok(Comparison { revision: present.revision, wanted, changes })
}

fn print_changes(changes: &[Change]) {
    for change in changes {
        println!("{change}");
    }
    if changes.is_empty() {
        println!("no difference");
    }
}
