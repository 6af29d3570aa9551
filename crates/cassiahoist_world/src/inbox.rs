//! Messages filed by the system that reads them.

use cassiahoist_core::prelude::*;

use crate::event::{Event, IdentityAsked, JobArrived, RequestArrived};
use crate::hosts::HostReport;
use crate::peer::{AskConfirmation, Confirmation, Gossip, PeerMessage, TaskNews};
use crate::requests::{ForwardEnd, RunEnd, Ticket};
use crate::runs::TaskOrder;
use crate::store::StoreAnswered;
use crate::worker::{RunnerProbed, WorkerAnswered};

/// Messages not yet read, one queue a kind.
#[derive(Debug, Default)]
pub struct Inbox {
    /// Requests that arrived.
    pub requests: Vec<RequestArrived>,
    /// Runs that ended.
    pub run_ends: Vec<(Ticket, RunEnd)>,
    /// Forwarded requests that ended.
    pub forward_ends: Vec<(Ticket, ForwardEnd)>,
    /// Callers that went away.
    pub callers_gone: Vec<Ticket>,
    /// Jobs that arrived.
    pub jobs: Vec<JobArrived>,
    /// Questions about identities.
    pub identity_questions: Vec<IdentityAsked>,
    /// The latest host list.
    pub hosts: Option<(u64, Vec<HostReport>)>,
    /// Answers of the store.
    pub store: Vec<StoreAnswered>,
    /// Gossip.
    pub gossip: Vec<(Incarnation, Gossip)>,
    /// Questions for confirmation.
    pub asks: Vec<(Incarnation, AskConfirmation)>,
    /// Answers to questions for confirmation.
    pub confirmations: Vec<(Incarnation, Confirmation)>,
    /// Incarnations proved dead.
    pub dead: Vec<Incarnation>,
    /// Orders to place tasks.
    pub orders: Vec<(MemberName, TaskOrder)>,
    /// What became of tasks.
    pub news: Vec<(Incarnation, TaskNews)>,
    /// Tasks to cancel.
    pub cancels: Vec<(MemberName, TaskName)>,
    /// Answers of workers.
    pub workers: Vec<WorkerAnswered>,
    /// Answers of runners.
    pub runners: Vec<RunnerProbed>,
    /// Whether a stop was asked for.
    pub stop: bool,
}

impl Inbox {
    /// Files a message.
    pub fn file(&mut self, event: Event) {
        match event {
            Event::Request(arrived) => self.requests.push(arrived),
            Event::RunEnded { ticket, end } => self.run_ends.push((ticket, end)),
            Event::ForwardEnded { ticket, end } => self.forward_ends.push((ticket, end)),
            Event::CallerGone { ticket } => self.callers_gone.push(ticket),
            Event::Job(arrived) => self.jobs.push(arrived),
            Event::Identity(asked) => self.identity_questions.push(asked),
            Event::Hosts { revision, reports } => self.hosts = Some((revision, reports)),
            Event::Store(answered) => self.store.push(answered),
            Event::Peer { from, message } => self.file_peer(from, message),
            Event::PeerDead { incarnation } => self.dead.push(incarnation),
            Event::Worker(answered) => self.workers.push(answered),
            Event::Runner(probed) => self.runners.push(probed),
            Event::Stop => self.stop = true,
        }
    }

    fn file_peer(&mut self, from: Incarnation, message: PeerMessage) {
        match message {
            PeerMessage::Gossip(gossip) => self.gossip.push((from, gossip)),
            PeerMessage::AskConfirmation(ask) => self.asks.push((from, ask)),
            PeerMessage::Confirmation(confirmation) => self.confirmations.push((from, confirmation)),
            PeerMessage::PlaceTasks(orders) => {
                self.orders.extend(orders.into_iter().map(|order| (from.member.clone(), order)));
            }
            PeerMessage::TaskNews(news) => {
                self.news.extend(news.into_iter().map(|news| (from.clone(), news)));
            }
            PeerMessage::CancelTasks(tasks) => {
                self.cancels.extend(tasks.into_iter().map(|task| (from.member.clone(), task)));
            }
        }
    }
}
