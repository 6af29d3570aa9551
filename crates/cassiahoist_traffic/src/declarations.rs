//! Format of declarations between the operators' tool and the daemons.

use std::sync::Arc;

use cassiahoist_declarations::Declarations;
use cassiahoist_world::declarations::DeclareOutcome;
use serde::{Deserialize, Serialize};

/// HTTP path for reading and replacing the declarations.
pub const DECLARATIONS_PATH: &str = "/declarations";

/// Declarations with a store revision.
///
/// A daemon's answer contains the revision of its declarations. A request contains the revision to be replaced.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionedDeclarations {
    /// Store revision; 0 if no declarations are stored yet.
    pub revision: u64,
    /// The fleet's defaults and exceptions.
    pub declarations: Arc<Declarations>,
}

/// Returns the HTTP status and body that answer a request to replace the declarations.
///
/// `outcome` is `None` if control did not answer.
pub(crate) fn put_response(outcome: Option<DeclareOutcome>) -> (u16, String) {
    match outcome {
        Some(DeclareOutcome::Stored { revision }) => (200, format!("{{\"revision\":{revision}}}")),
        Some(DeclareOutcome::Changed { revision }) => {
            (409, format!("revision {revision} was stored in the meantime; the request was not applied\n"))
        }
        Some(DeclareOutcome::Failed(kind)) => {
            let answer = kind.answer();
            (answer.status, format!("{}\n", failure_text(answer.status)))
        }
        None => (503, "the control thread does not answer; nothing was stored\n".into()),
    }
}

fn failure_text(status: u16) -> &'static str {
    if status == 504 {
        "the store did not confirm the write; check the declarations in force before retrying"
    } else {
        "the store is unavailable; nothing was stored"
    }
}
