//! The closed list of answers that a caller may get.

use serde::{Deserialize, Serialize};

use crate::error::ErrorKind;

/// What became of a piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It ran and this is its whole answer.
    Answered,
    /// It is accepted and not finished.
    Pending,
    /// It ran and failed.
    Failed,
    /// It was proved not to have run and will not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// The content of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct AnswerBody {
    /// Media type of the content.
    pub content_type: String,
    /// The content, whole.
    pub bytes: Vec<u8>,
}

/// The answer to one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The backend server's whole answer.
    Whole(AnswerBody),
    /// A report on a job in JSON, such as its progress.
    Report {
        /// What became of the job.
        outcome: Outcome,
        /// The report, encoded.
        json: String,
    },
    /// An error of a listed kind.
    Error {
        /// The kind; [`ErrorKind::answer_row`] tells the rest.
        kind: ErrorKind,
        /// What exactly was wrong, for a person.
        detail: String,
    },
}

impl Answer {
    /// Answers with an error kind and no more detail.
    #[must_use]
    pub fn error(kind: ErrorKind) -> Self {
        Self::Error { kind, detail: String::new() }
    }

    /// Tells what became of the work.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Whole(_) => Outcome::Answered,
            Self::Report { outcome, .. } => *outcome,
            Self::Error { kind, .. } => kind.answer_row().outcome,
        }
    }
}
