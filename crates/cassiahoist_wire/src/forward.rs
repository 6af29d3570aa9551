//! Forwarded work, to and from its generated form.

use cassiahoist_core::prelude::*;
use cassiahoist_world::event::IdentityQuestion;
use cassiahoist_world::jobs::JobSpec;
use cassiahoist_world::requests::Hop;

use crate::generated as proto;
use crate::generated::forward_reply::Answer as ProtoAnswer;
use crate::generated::forward_request::Work as ProtoWork;

/// Work that is forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardedWork {
    /// A request with its body.
    Request {
        /// The team that asks.
        team: TeamName,
        /// The kind of the request.
        kind: WorkKind,
        /// Whether it may run more than once.
        idempotent: bool,
        /// The body, whole.
        body: Vec<u8>,
    },
    /// A job.
    Job(Box<JobSpec>),
    /// A question about the identity.
    Question(IdentityQuestion),
}

/// A forwarded piece of work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Forwarded {
    /// Its identity.
    pub identity: RequestIdentity,
    /// How the receiver is to take it.
    pub hop: Hop,
    /// Time left until its deadline, in milliseconds.
    pub left_ms: u64,
    /// What it is.
    pub work: ForwardedWork,
}

const QUESTIONS: [IdentityQuestion; 3] =
    [IdentityQuestion::Lookup, IdentityQuestion::Cancel, IdentityQuestion::Explain];

const OUTCOMES: [Outcome; 5] =
    [Outcome::Answered, Outcome::Pending, Outcome::Failed, Outcome::NotRun, Outcome::Unknown];

fn bad(error: impl std::fmt::Display) -> HoistError {
    HoistError::BadMessage(error.to_string())
}

/// Encodes forwarded work.
///
/// # Errors
/// [`HoistError::BadMessage`] if a job can't be encoded.
pub fn encode_forwarded(forwarded: Forwarded) -> Result<proto::ForwardRequest, HoistError> {
    let mut request = proto::ForwardRequest {
        identity: forwarded.identity.to_string(),
        left_ms: forwarded.left_ms,
        to_owner: forwarded.hop == Hop::ToOwner,
        ..proto::ForwardRequest::default()
    };
    request.work = Some(match forwarded.work {
        ForwardedWork::Request { team, kind, idempotent, body } => {
            request.team = team.to_string();
            request.kind = kind.to_string();
            request.idempotent = idempotent;
            ProtoWork::RequestBody(body)
        }
        ForwardedWork::Job(spec) => ProtoWork::JobJson(serde_json::to_vec(&spec).map_err(bad)?),
        ForwardedWork::Question(question) => {
            let number = QUESTIONS.iter().position(|&other| other == question);
            ProtoWork::Question(number.unwrap_or_default() as u32)
        }
    });
    Ok(request)
}

/// Decodes forwarded work.
///
/// # Errors
/// [`HoistError`] if a part is missing or malformed.
pub fn decode_forwarded(request: proto::ForwardRequest) -> Result<Forwarded, HoistError> {
    let work = match request.work.ok_or_else(|| bad("forwarded without work"))? {
        ProtoWork::RequestBody(body) => ForwardedWork::Request {
            team: request.team.parse()?,
            kind: request.kind.parse()?,
            idempotent: request.idempotent,
            body,
        },
        ProtoWork::JobJson(json) => ForwardedWork::Job(serde_json::from_slice(&json).map_err(bad)?),
        ProtoWork::Question(number) => {
            let question = QUESTIONS.get(number as usize).ok_or_else(|| bad("unknown question"))?;
            ForwardedWork::Question(*question)
        }
    };
    let hop = if request.to_owner { Hop::ToOwner } else { Hop::ToRunnerHolder };
    Ok(Forwarded { identity: request.identity.parse()?, hop, left_ms: request.left_ms, work })
}

/// Encodes the answer to forwarded work.
///
/// # Errors
/// [`HoistError::BadMessage`] if the error kind can't be encoded.
pub fn encode_answer(answer: Answer) -> Result<proto::ForwardReply, HoistError> {
    let answer = match answer {
        Answer::Whole(body) => {
            ProtoAnswer::Whole(proto::Whole { content_type: body.content_type, body: body.bytes })
        }
        Answer::Report { outcome, json } => {
            let number = OUTCOMES.iter().position(|&other| other == outcome);
            ProtoAnswer::Report(proto::Report { outcome: number.unwrap_or_default() as u32, json })
        }
        Answer::Error { kind, detail } => ProtoAnswer::Error(proto::ErrorAnswer {
            kind: serde_json::to_string(&kind).map_err(bad)?,
            detail,
        }),
    };
    Ok(proto::ForwardReply { answer: Some(answer) })
}

/// Decodes the answer to forwarded work.
///
/// # Errors
/// [`HoistError::BadMessage`] if it is missing or malformed.
pub fn decode_answer(reply: proto::ForwardReply) -> Result<Answer, HoistError> {
    Ok(match reply.answer.ok_or_else(|| bad("reply without answer"))? {
        ProtoAnswer::Whole(whole) => {
            Answer::Whole(AnswerBody { content_type: whole.content_type, bytes: whole.body })
        }
        ProtoAnswer::Report(report) => {
            let outcome = OUTCOMES.get(report.outcome as usize).ok_or_else(|| bad("unknown outcome"))?;
            Answer::Report { outcome: *outcome, json: report.json }
        }
        ProtoAnswer::Error(error) => {
            Answer::Error { kind: serde_json::from_str(&error.kind).map_err(bad)?, detail: error.detail }
        }
    })
}
