//! Declarations of operators: fleet-wide defaults and exceptions, each with a written reason.
//!
//! Operators keep declarations in files under version control. They are validated here and applied as a whole.

mod diff;
mod files;
mod rules;

pub use diff::{DeclarationChange, diff_declarations};
pub use files::{DeclarationError, parse_declarations, read_declarations, validate_declarations};
pub use rules::{HostRules, Packing, QueueRules, Rules, Selector};

use serde::{Deserialize, Serialize};

/// Maximum number of exceptions; a longer list means that a default is wrong.
pub const MAX_EXCEPTIONS: usize = 50;

/// An exception overrides defaults for everything that its selector matches.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Exception {
    /// Selector of the queues or hosts; it names at least one field.
    pub select: Selector,
    /// Rules that override less specific ones; at least one is set.
    pub set: Rules,
    /// Reason for the exception, at least 10 characters, written for other operators.
    pub reason: String,
}

/// The complete declarations of a fleet; empty by default.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Declarations {
    /// Rules for all queues and hosts.
    pub defaults: Rules,
    /// Exceptions to the defaults, at most [`MAX_EXCEPTIONS`].
    pub exceptions: Vec<Exception>,
}
