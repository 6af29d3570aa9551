//! The closed list of error kinds and the table from kind to the caller's answer.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::answer::Outcome;

/// Why a request was not answered in full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// The message is not well formed.
    BadRequest,
    /// The body is larger than the door accepts.
    BodyTooLarge,
    /// No such path.
    UnknownPath,
    /// No such fleet.
    UnknownFleet,
    /// The caller gave no identity.
    MissingIdentity,
    /// The identity was used before for other content.
    IdentityReused,
    /// No host could ever hold the size asked for.
    NeverFits,
    /// The team has no quota left.
    QuotaExceeded,
    /// The request can't start before its deadline.
    TooLate,
    /// The queue is full.
    Overloaded,
    /// No daemon holds hosts of this fleet at present.
    NoHolder,
    /// The record of the work could not be written, and is proved not to have been.
    NotRecorded,
    /// The daemon is stopping.
    Stopping,
    /// The work was cancelled before it started.
    CancelledBeforeStart,
    /// The work was cancelled while it ran.
    CancelledWhileRunning,
    /// The backend server ran the work and reported a failure.
    BackendFailed,
    /// The job failed on several good workers and was given up.
    Hopeless,
    /// The connection broke or stayed silent after the work was sent.
    AnswerLost,
    /// The record of the work may or may not have been written.
    RecordUncertain,
    /// No work with this identity is known.
    UnknownIdentity,
}

/// One row of the table from kind to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerRow {
    /// The kind that the row is for.
    pub kind: ErrorKind,
    /// What became of the work.
    pub outcome: Outcome,
    /// HTTP status code.
    pub status: u16,
    /// Whether the same request may succeed later.
    pub retryable: bool,
    /// One sentence for the caller.
    pub text: &'static str,
}

macro_rules! answer_rows {
    ($($kind:ident, $outcome:ident, $status:literal, $retryable:literal, $text:literal;)*) => {
        /// The table from kind to answer, one row a kind.
        pub const ANSWER_ROWS: &[AnswerRow] = &[$(AnswerRow {
            kind: ErrorKind::$kind,
            outcome: Outcome::$outcome,
            status: $status,
            retryable: $retryable,
            text: $text,
        }),*];

        impl ErrorKind {
            /// Looks up the answer for this kind.
            #[must_use]
            pub fn answer_row(self) -> &'static AnswerRow {
                match self {
                    $(Self::$kind => const {
                        &AnswerRow {
                            kind: ErrorKind::$kind,
                            outcome: Outcome::$outcome,
                            status: $status,
                            retryable: $retryable,
                            text: $text,
                        }
                    }),*
                }
            }
        }
    };
}

answer_rows! {
    BadRequest, NotRun, 400, false, "the message is not well formed";
    BodyTooLarge, NotRun, 413, false, "the body is larger than accepted here";
    UnknownPath, NotRun, 404, false, "no such path";
    UnknownFleet, NotRun, 404, false, "no such fleet";
    MissingIdentity, NotRun, 400, false, "give an idempotency-key header";
    IdentityReused, NotRun, 409, false, "this identity was used before for other content";
    NeverFits, NotRun, 422, false, "no host could hold this size";
    QuotaExceeded, NotRun, 429, true, "the team's quota is used up";
    TooLate, NotRun, 503, true, "it could not start before its deadline";
    Overloaded, NotRun, 503, true, "the queue is full";
    NoHolder, NotRun, 503, true, "no daemon holds hosts of this fleet at present";
    NotRecorded, NotRun, 503, true, "the record could not be written";
    Stopping, NotRun, 503, true, "this daemon is stopping; ask another";
    CancelledBeforeStart, NotRun, 409, false, "cancelled before it started";
    CancelledWhileRunning, Failed, 409, false, "cancelled while it ran";
    BackendFailed, Failed, 502, false, "the backend server reported a failure";
    Hopeless, Failed, 422, false, "it failed on several good workers and was given up";
    AnswerLost, Unknown, 504, false, "it may have run; ask for the identity later";
    RecordUncertain, Unknown, 504, false, "it may run; ask for the identity later";
    UnknownIdentity, NotRun, 404, true, "no work with this identity is known here";
}

quick_error! {
    /// An error within the program.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum HoistError {
        /// A name is empty, too long or has characters other than letters, digits and `-_.:`.
        BadName(name: String) {
            display("bad name {:?}: use 1 to 128 letters, digits and -_.:", name)
        }
        /// A message is not well formed.
        BadMessage(reason: String) {
            display("bad message: {}", reason)
        }
        /// A request is answered with an error of this kind.
        Refused(kind: ErrorKind) {
            display("{}", kind.answer_row().text)
        }
        /// A process on the other end could not be reached or broke off.
        Unreachable(reason: String) {
            display("unreachable: {}", reason)
        }
    }
}
