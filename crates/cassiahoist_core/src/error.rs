//! Defines callers' error kinds with their answers, and the program's error type.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// States what a caller may conclude about its job from an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobOutcome {
    /// The call had no effect: the job was not accepted and never runs, or was not cancelled.
    NotRun,
    /// The call may have taken effect. Repeating it with the same identity is safe.
    Unknown,
}

/// Lists every way in which a caller's call can fail.
///
/// [`ErrorKind::answer`] gives the status code and the text that the caller gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ErrorKind {
    /// The message is malformed.
    BadRequest,
    /// The body exceeds the configured limit.
    BodyTooLarge,
    /// A task needs more than any host of the queue's pool has.
    SizeTooLarge,
    /// The job has more steps, tasks or occurrences than a holder can keep.
    JobTooLarge,
    /// A task or gang needs more than its account may have running.
    ExceedsAccountCap,
    /// No queue is configured for this host name and path.
    UnknownQueue,
    /// The call carries no key of an account, though its queue requires one.
    Unauthenticated,
    /// The configuration was confirmed too long ago to tell whose key the call carries.
    ConfigOutdated,
    /// No job has this identity, or none that the caller may see.
    UnknownJob,
    /// A job of another account has this identity.
    IdTaken,
    /// The job was cancelled before it was stored.
    JobCancelled,
    /// The daemon has not read a configuration yet.
    NotConfigured,
    /// The platform's store is unreachable, and the job was not stored.
    StoreAway,
    /// The requested state is unavailable at present.
    StateAway,
    /// The daemon has too many open calls.
    Overloaded,
    /// The store did not confirm a write that may have taken effect.
    RecordUncertain,
}

/// Answer that a caller gets for one error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorAnswer {
    /// Error kind that is answered.
    pub kind: ErrorKind,
    /// What the caller may conclude about its job.
    pub outcome: JobOutcome,
    /// HTTP status code of the answer.
    pub status: u16,
    /// Whether the same request may succeed later.
    pub retryable: bool,
    /// Explanation for the caller, one sentence.
    pub text: &'static str,
}

macro_rules! error_answers {
    ($($kind:ident, $outcome:ident, $status:literal, $retryable:literal, $text:literal;)*) => {
        /// Answers for all error kinds, one per kind.
        pub const ERROR_ANSWERS: &[ErrorAnswer] = &[$(ErrorAnswer {
            kind: ErrorKind::$kind,
            outcome: JobOutcome::$outcome,
            status: $status,
            retryable: $retryable,
            text: $text,
        }),*];

        impl ErrorKind {
            /// Returns the answer that callers get for this kind.
            #[must_use]
            pub fn answer(self) -> &'static ErrorAnswer {
                match self {
                    $(Self::$kind => const {
                        &ErrorAnswer {
                            kind: ErrorKind::$kind,
                            outcome: JobOutcome::$outcome,
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

error_answers! {
    BadRequest, NotRun, 400, false, "the message is not well formed";
    BodyTooLarge, NotRun, 413, false, "the body is larger than accepted here";
    SizeTooLarge, NotRun, 422, false, "a task needs more than any host of the queue's pool has";
    JobTooLarge, NotRun, 422, false, "the job has more steps, tasks or occurrences than are accepted";
    ExceedsAccountCap, NotRun, 422, false, "a task or gang needs more than its account may have running";
    UnknownQueue, NotRun, 404, false, "no queue is configured for this host and path";
    Unauthenticated, NotRun, 401, false, "a valid key is required here";
    ConfigOutdated, NotRun, 503, true, "keys can't be checked at present";
    IdTaken, NotRun, 409, false, "the identity can't be used; choose another one";
    UnknownJob, NotRun, 410, false, "no job has this identity";
    JobCancelled, NotRun, 410, false, "the job was cancelled before it was accepted";
    NotConfigured, NotRun, 503, true, "this daemon has no configuration yet";
    StoreAway, NotRun, 503, true, "the store is away; the job was not accepted";
    StateAway, NotRun, 503, true, "the state can't be read at present";
    Overloaded, NotRun, 503, true, "too many calls are in hand";
    RecordUncertain, Unknown, 504, true, "the call may have taken effect; ask again with the same identity";
}

quick_error! {
    /// An error within the program; callers see an [`ErrorKind`] instead.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum HoistError {
        /// The text is not a valid name.
        ///
        /// It is empty, too long, has characters that names may not have, or lacks the form that its type requires.
        InvalidName(name: String) {
            display("invalid name {:?}: use 1 to 128 letters, digits and -_.:", name)
        }
        /// A message is malformed; the reason names the part.
        InvalidMessage(reason: String) {
            display("invalid message: {}", reason)
        }
        /// The process at the other end is unreachable or closed the connection.
        Unreachable(reason: String) {
            display("unreachable: {}", reason)
        }
    }
}
