//! The one loop that carries out control's verdicts on a piece of work.

use std::time::Duration;

use bytes::Bytes;
use cassiahoist_core::prelude::*;
use cassiahoist_wire::callers::{
    ATTEMPT_HEADER, DEADLINE_HEADER, IDENTITY_HEADER, KIND_HEADER, NOT_RUN_HEADER,
};
use cassiahoist_wire::forward::{Forwarded, ForwardedWork};
use cassiahoist_world::event::{Event, IdentityAsked, JobArrived, RequestArrived};
use cassiahoist_world::requests::{ForwardEnd, ForwardOrder, RequestSpec, RunEnd, RunOrder, Ticket, Verdict};
use http_body_util::Full;
use hyper::Request;

use crate::clock::MonotonicClock;
use crate::control_link::ControlLink;
use crate::http_client::{Exchange, HttpClient};
use crate::peer_links::PeerLinks;

/// What a traffic task needs to serve work.
#[derive(Clone, Debug)]
pub struct WorkContext {
    /// The clock.
    pub clock: MonotonicClock,
    /// The way to control.
    pub control: ControlLink,
    /// Connections to runners.
    pub runners: HttpClient,
    /// Connections to peers.
    pub peers: PeerLinks,
}

/// Serves one piece of work, however it came, and gives its answer.
pub async fn serve_work(context: WorkContext, work: Forwarded) -> Answer {
    let deadline_ms = context.clock.now_ms().saturating_add(work.left_ms);
    let mut waiting = context.control.wait();
    let event = arrival(waiting.ticket, &work, deadline_ms);
    if !context.control.try_send(event) {
        return Answer::error(ErrorKind::Overloaded);
    }
    while let Some(verdict) = waiting.next().await {
        let answer = match verdict {
            Verdict::Answer(answer) => Some(answer),
            Verdict::Run(order) => run(&context, waiting.ticket, &work, &order).await,
            Verdict::Forward(order) => forward(&context, waiting.ticket, &work, &order).await,
        };
        if let Some(answer) = answer {
            return answer;
        }
    }
    Answer::error(ErrorKind::AnswerLost)
}

/// Turns work into the message with which it arrives at control.
fn arrival(ticket: Ticket, work: &Forwarded, deadline_ms: u64) -> Event {
    let identity = work.identity.clone();
    match &work.work {
        ForwardedWork::Request { team, kind, idempotent, body } => Event::Request(RequestArrived {
            ticket,
            spec: RequestSpec {
                identity,
                team: team.clone(),
                kind: kind.clone(),
                idempotent: *idempotent,
                deadline_ms,
                content_hash: cassiahoist_core::hash::stable_hash(&(kind, body)),
            },
            hop: work.hop,
        }),
        ForwardedWork::Job(spec) => {
            Event::Job(JobArrived { ticket, spec: spec.as_ref().clone(), hop: work.hop, deadline_ms })
        }
        ForwardedWork::Question(question) => Event::Identity(IdentityAsked {
            ticket,
            identity,
            question: *question,
            hop: work.hop,
            deadline_ms,
        }),
    }
}

/// Runs a request on a runner; gives the answer if this ends the request.
async fn run(context: &WorkContext, ticket: Ticket, work: &Forwarded, order: &RunOrder) -> Option<Answer> {
    let ForwardedWork::Request { kind, body, .. } = &work.work else {
        return None;
    };
    let (end, answer) = match runner_request(&work.identity, kind, body, order, &context.clock) {
        None => (RunEnd::NotSent, None),
        Some(request) => {
            let now_ms = context.clock.now_ms();
            let limit_ms = order.deadline_ms.saturating_sub(now_ms).min(order.silence_limit_ms);
            let limit = Duration::from_millis(limit_ms);
            let may_send = || order.permit.is_fresh(context.clock.now_ms());
            let exchange = context.runners.exchange(&order.address, request, limit, may_send).await;
            judge(exchange, order.wants_body)
        }
    };
    context.control.send(Event::RunEnded { ticket, end });
    answer
}

fn runner_request(
    identity: &RequestIdentity,
    kind: &WorkKind,
    body: &[u8],
    order: &RunOrder,
    clock: &MonotonicClock,
) -> Option<Request<Full<Bytes>>> {
    let left_ms = order.deadline_ms.saturating_sub(clock.now_ms());
    Request::post("/run")
        .header("host", &order.address)
        .header(IDENTITY_HEADER, identity.to_string())
        .header(KIND_HEADER, kind.as_str())
        .header(ATTEMPT_HEADER, order.attempt)
        .header(DEADLINE_HEADER, left_ms)
        .body(Full::new(Bytes::copy_from_slice(body)))
        .ok()
}

/// Tells what a runner's answer means.
fn judge(exchange: Exchange, wants_body: bool) -> (RunEnd, Option<Answer>) {
    let response = match exchange {
        Exchange::Answered(response) => response,
        Exchange::NotSent => return (RunEnd::NotSent, None),
        Exchange::Lost => return (RunEnd::Lost, None),
    };
    if response.headers().contains_key(NOT_RUN_HEADER) {
        return (RunEnd::Rejected, None);
    }
    if !response.status().is_success() {
        return (RunEnd::Failed, None);
    }
    let content_type = response.headers().get("content-type").and_then(|value| value.to_str().ok());
    let body = AnswerBody {
        content_type: content_type.unwrap_or("application/octet-stream").into(),
        bytes: response.body().to_vec(),
    };
    (RunEnd::Answered(wants_body.then(|| body.clone())), Some(Answer::Whole(body)))
}

/// Forwards work to a peer; gives the answer if this ends the work.
async fn forward(
    context: &WorkContext,
    ticket: Ticket,
    work: &Forwarded,
    order: &ForwardOrder,
) -> Option<Answer> {
    let left_ms = order.deadline_ms.saturating_sub(context.clock.now_ms());
    let forwarded = Forwarded { hop: order.hop, left_ms, ..work.clone() };
    let result = context.peers.forward(&order.address, forwarded).await;
    let is_request = matches!(work.work, ForwardedWork::Request { .. });
    let (end, answer) = match result {
        Ok(answer) => (ForwardEnd::Answered(answer.outcome()), Some(answer)),
        Err(end) if is_request => (end, None),
        Err(ForwardEnd::NotSent) => (ForwardEnd::NotSent, Some(Answer::error(ErrorKind::NoHolder))),
        Err(end) => (end, Some(Answer::error(ErrorKind::RecordUncertain))),
    };
    if is_request {
        context.control.send(Event::ForwardEnded { ticket, end });
    }
    answer
}
