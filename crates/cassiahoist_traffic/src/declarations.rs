//! Declarations between the operators' tool and daemons.

use std::sync::Arc;

use cassiahoist_declarations::Declarations;
use cassiahoist_world::declared::DeclareOutcome;
use serde::{Deserialize, Serialize};

/// Path at which declarations are read and put.
pub const DECLARATIONS_PATH: &str = "/declarations";

/// Declarations and the revision that they have, or that they are to replace.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Declared {
    /// The revision; 0 if nothing was ever declared.
    pub revision: u64,
    /// The declarations.
    pub declarations: Arc<Declarations>,
}

/// Gives the status and the text of the answer to a put.
pub(crate) fn answer(outcome: Option<DeclareOutcome>) -> (u16, String) {
    match outcome {
        Some(DeclareOutcome::Stored { revision }) => (200, format!("{{\"revision\":{revision}}}")),
        Some(DeclareOutcome::Changed { revision }) => {
            (409, format!("revision {revision} was put in force meanwhile; nothing was stored\n"))
        }
        Some(DeclareOutcome::Failed(kind)) => {
            let row = kind.answer_row();
            (row.status, format!("{}\n", outcome_text(row.status)))
        }
        None => (503, "control does not answer; nothing was stored\n".into()),
    }
}

fn outcome_text(status: u16) -> &'static str {
    if status == 504 {
        "the store did not confirm; look at what is in force before trying again"
    } else {
        "the store is away; nothing was stored"
    }
}
