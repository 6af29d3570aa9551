//! Channel between the traffic threads and the control thread.
//!
//! Traffic threads send [`ControlInput`]s over a bounded queue. Answers return over one-shot channels by call number.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError};
use std::sync::{Arc, Mutex, PoisonError};

use cassiahoist_core::prelude::{Incarnation, JobId};
use cassiahoist_declarations::Declarations;
use cassiahoist_world::calls::{CallAnswer, CallNumber, first_call_number};
use cassiahoist_world::declarations::{DeclareCall, DeclareCallNumber, DeclareOutcome};
use cassiahoist_world::event::Event;
use rustc_hash::FxHashMap;
use tokio::sync::oneshot;

/// A view of control state for operators or the load balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    /// All hosts, jobs and runs, with the state of the slice and the counters.
    Dump,
    /// Summary of the members, the slice's holder and the configuration in force.
    Status,
    /// Whether the daemon accepts new calls.
    Ready,
    /// Why a job waits, or how it ended.
    Explain(JobId),
    /// The declarations in force and their revision.
    Declarations,
}

/// A message to the control thread.
#[derive(Debug)]
pub enum ControlInput {
    /// An event for the next tick.
    Event(Event),
    /// A request for a view of the tables.
    View {
        /// View that the control thread renders.
        view: View,
        /// Receives the rendered view.
        reply: oneshot::Sender<String>,
    },
}

/// Sends messages to the control thread and routes its answers back to callers.
#[derive(Clone, Debug)]
pub struct ControlLink {
    sender: SyncSender<ControlInput>,
    calls: Arc<PendingCalls<CallAnswer>>,
    declare_calls: Arc<PendingCalls<DeclareOutcome>>,
}

/// Calls that wait for an answer of one type, by call number.
#[derive(Debug)]
struct PendingCalls<A> {
    last_number: AtomicU64,
    senders: Mutex<FxHashMap<u64, oneshot::Sender<A>>>,
}

impl<A> Default for PendingCalls<A> {
    fn default() -> Self {
        Self { last_number: AtomicU64::new(0), senders: Mutex::default() }
    }
}

impl<A> PendingCalls<A> {
    /// Drops all calls, which then end without an answer.
    fn abandon(&self) {
        self.senders.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// Adds a call; returns its number and the channel that its answer arrives on.
    fn register(&self) -> (u64, oneshot::Receiver<A>) {
        let number = self.last_number.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, answer) = oneshot::channel();
        self.senders.lock().unwrap_or_else(PoisonError::into_inner).insert(number, sender);
        (number, answer)
    }

    /// Removes a call; `None` if it was already answered or abandoned.
    fn remove(&self, number: u64) -> Option<oneshot::Sender<A>> {
        self.senders.lock().unwrap_or_else(PoisonError::into_inner).remove(&number)
    }

    /// Delivers the answer of a call, if its caller still waits.
    fn complete(&self, number: u64, answer: A) {
        if let Some(sender) = self.remove(number) {
            // Fails if the caller disconnected, which then needs no answer.
            let _gone = sender.send(answer);
        }
    }
}

/// A call that waits for its answer.
///
/// Dropping it before the answer notifies control that the caller disconnected.
#[derive(Debug)]
pub struct PendingAnswer {
    /// Number of the call.
    pub number: CallNumber,
    answer: oneshot::Receiver<CallAnswer>,
    link: ControlLink,
}

impl PendingAnswer {
    /// Waits for the answer; `None` if the call was dropped without one.
    pub async fn answer(mut self) -> Option<CallAnswer> {
        (&mut self.answer).await.ok()
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        if self.link.calls.remove(self.number).is_some() {
            // If the queue is full, control removes the call at its deadline instead.
            let _sent = self.link.try_send(Event::CallerDisconnected(self.number));
        }
    }
}

impl ControlLink {
    /// Creates a link that sends to the control thread's bounded queue.
    #[must_use]
    pub fn new(sender: SyncSender<ControlInput>) -> Self {
        Self { sender, calls: Arc::default(), declare_calls: Arc::default() }
    }

    /// Numbers the calls of callers from the first number of an incarnation on.
    ///
    /// A peer's answer to a call of an earlier incarnation then belongs to no call of this one.
    #[must_use]
    pub fn with_incarnation(self, incarnation: &Incarnation) -> Self {
        self.calls.last_number.store(first_call_number(incarnation), Ordering::Relaxed);
        self
    }

    /// Sends an event without waiting. Returns false if the queue is full or the control thread has ended.
    #[must_use]
    pub fn try_send(&self, event: Event) -> bool {
        self.sender.try_send(ControlInput::Event(event)).is_ok()
    }

    /// Sends an event that must not be lost.
    ///
    /// If the queue is full, a blocking thread of the runtime waits for space, so that traffic threads never block.
    pub fn send(&self, event: Event) {
        if let Err(TrySendError::Full(input)) = self.sender.try_send(ControlInput::Event(event)) {
            let sender = self.sender.clone();
            drop(tokio::task::spawn_blocking(move || sender.send(input)));
        }
    }

    /// Requests a view of the tables. `None` if the control thread has ended or its queue is full.
    pub async fn view(&self, view: View) -> Option<String> {
        let (reply, answer) = oneshot::channel();
        self.sender.try_send(ControlInput::View { view, reply }).ok()?;
        answer.await.ok()
    }

    /// Registers a call under a new number.
    #[must_use]
    pub fn register_call(&self) -> PendingAnswer {
        let (number, answer) = self.calls.register();
        PendingAnswer { number, answer, link: self.clone() }
    }

    /// Ends all calls without an answer, after the control thread has ended.
    ///
    /// Their callers are told what is known of a call that nobody answers.
    pub fn abandon_calls(&self) {
        self.calls.abandon();
        self.declare_calls.abandon();
    }

    /// Delivers the answer of a call, if its caller still waits.
    pub fn complete_call(&self, number: CallNumber, answer: CallAnswer) {
        self.calls.complete(number, answer);
    }

    /// Asks control to replace the declarations of revision `base_revision`.
    ///
    /// Returns `None` if the control thread has ended or its queue is full.
    pub async fn declare(
        &self,
        base_revision: u64,
        declarations: Arc<Declarations>,
    ) -> Option<DeclareOutcome> {
        let (number, answer) = self.declare_calls.register();
        let call = DeclareCall { number, base_revision, declarations };
        if !self.try_send(Event::DeclareCallReceived(call)) {
            self.declare_calls.remove(number);
            return None;
        }
        answer.await.ok()
    }

    /// Delivers the outcome of declarations to the operator's request, if it still waits.
    pub fn complete_declare(&self, number: DeclareCallNumber, outcome: DeclareOutcome) {
        self.declare_calls.complete(number, outcome);
    }
}
