//! Operators' declarations and the calls that change them.
//!
//! Declarations are rules for the fleet: defaults, and exceptions for selected queues, pools, hosts and failure
//! domains.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_declarations::Declarations;

/// Number of an operator's call; assigned by this daemon's traffic threads.
pub type DeclareCallNumber = u64;

/// An operator's call to replace the declarations.
#[derive(Clone, Debug, PartialEq)]
pub struct DeclareCall {
    /// Number of the call.
    pub number: DeclareCallNumber,
    /// Store revision of the declarations that the operator edited; 0 if there were none.
    pub base_revision: u64,
    /// Declarations that replace the stored ones as a whole.
    pub declarations: Arc<Declarations>,
}

/// Result of such a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeclareOutcome {
    /// The declarations are stored.
    Stored {
        /// Their store revision, the base of the next change.
        revision: u64,
    },
    /// The stored declarations changed in the meantime; nothing was stored.
    Changed {
        /// Their present store revision.
        revision: u64,
    },
    /// The store failed or did not answer.
    Failed(ErrorKind),
}

/// Declarations in force in this daemon.
#[derive(Clone, Debug, Default)]
pub struct DeclarationTable {
    /// Present declarations; the empty ones until some were read.
    pub current: Arc<Declarations>,
    /// Their store revision; 0 if none are stored.
    pub revision: u64,
    /// Whether the rules of all hosts have to be looked up again.
    pub host_rules_stale: bool,
}
