//! What operators declared, and their calls to change it.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_declarations::Declarations;

/// Number of an operator's call.
pub type DeclareNumber = u64;

/// An operator's call to put declarations in force.
#[derive(Clone, Debug, PartialEq)]
pub struct DeclareCall {
    /// Number of the call.
    pub number: DeclareNumber,
    /// Revision of the declarations that it replaces; 0 if there were none.
    pub base_revision: u64,
    /// The declarations.
    pub declarations: Arc<Declarations>,
}

/// What became of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeclareOutcome {
    /// They are stored.
    Stored {
        /// Their revision.
        revision: u64,
    },
    /// Someone else changed them meanwhile; nothing was stored.
    Changed {
        /// The present revision.
        revision: u64,
    },
    /// The store did not answer as it should.
    Failed(ErrorKind),
}

/// The declarations in force in this daemon.
#[derive(Clone, Debug, Default)]
pub struct DeclaredTable {
    /// The declarations; those of a fleet that declares nothing before the first were read.
    pub in_force: Arc<Declarations>,
    /// Their revision in the store; 0 if there are none.
    pub revision: u64,
    /// Whether hosts are to be ruled anew.
    pub hosts_stale: bool,
}
