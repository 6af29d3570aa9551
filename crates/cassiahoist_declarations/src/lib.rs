//! What operators declare: fleet-wide defaults and a short list of exceptions, each with a written reason.
//!
//! Declarations are kept in files under version control, checked here, and applied as a whole.

mod diff;
mod files;
mod rules;

pub use diff::{Change, diff};
pub use files::{DeclarationError, check, parse_files, read_files};
pub use rules::{HostRules, Packing, QueueRules, Rules, Selector};

use serde::{Deserialize, Serialize};

/// Most exceptions; a longer list means that a default is wrong.
pub const MAX_EXCEPTIONS: usize = 50;

/// Rules that differ from the defaults for what a selector names.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Exception {
    /// What it is for.
    pub select: Selector,
    /// The rules that differ.
    pub set: Rules,
    /// Why.
    pub reason: String,
}

/// All that is declared.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Declarations {
    /// Rules for everything.
    pub defaults: Rules,
    /// Rules that differ.
    pub exceptions: Vec<Exception>,
}
