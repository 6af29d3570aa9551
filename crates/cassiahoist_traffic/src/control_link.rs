//! The way from traffic threads to the control thread and back.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError};
use std::sync::{Arc, Mutex, PoisonError};

use cassiahoist_core::prelude::JobId;
use cassiahoist_declarations::Declarations;
use cassiahoist_world::declared::{DeclareCall, DeclareNumber, DeclareOutcome};
use cassiahoist_world::event::Event;
use cassiahoist_world::front::{CallNumber, FrontAnswer};
use rustc_hash::FxHashMap;
use tokio::sync::oneshot;

/// What an operator or the balancer wants to see of control state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    /// All tables.
    Dump,
    /// Members, the holder and the configuration in force, in short.
    Status,
    /// Whether new calls are welcome.
    Ready,
    /// Why a job waits or how it ended.
    Explain(JobId),
    /// The declarations in force and their revision.
    Declarations,
}

/// A message to the control thread.
#[derive(Debug)]
pub enum ControlInput {
    /// For the tables.
    Event(Event),
    /// A view of the tables is wanted.
    View {
        /// Which view.
        view: View,
        /// Where the text goes.
        reply: oneshot::Sender<String>,
    },
}

/// Sends messages to the control thread and takes its answers to callers.
#[derive(Clone, Debug)]
pub struct ControlLink {
    sender: SyncSender<ControlInput>,
    calls: Arc<Calls<FrontAnswer>>,
    declares: Arc<Calls<DeclareOutcome>>,
}

/// Calls that wait for an answer of one kind, by number.
#[derive(Debug)]
struct Calls<A> {
    last: AtomicU64,
    waiting: Mutex<FxHashMap<u64, oneshot::Sender<A>>>,
}

impl<A> Default for Calls<A> {
    fn default() -> Self {
        Self { last: AtomicU64::new(0), waiting: Mutex::default() }
    }
}

impl<A> Calls<A> {
    /// Adds a call; gives its number and the place to wait.
    fn add(&self) -> (u64, oneshot::Receiver<A>) {
        let number = self.last.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, answer) = oneshot::channel();
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).insert(number, sender);
        (number, answer)
    }

    /// Takes a call out; nothing if it was answered or left.
    fn take(&self, number: u64) -> Option<oneshot::Sender<A>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).remove(&number)
    }

    /// Passes an answer to the one who waits for it.
    fn pass(&self, number: u64, answer: A) {
        if let Some(sender) = self.take(number) {
            // Whoever went away no longer wants the answer.
            let _gone = sender.send(answer);
        }
    }
}

/// A caller's place to wait for its answer; control hears of it if it is left early.
#[derive(Debug)]
pub struct Waiting {
    /// Number of the call.
    pub number: CallNumber,
    answer: oneshot::Receiver<FrontAnswer>,
    link: ControlLink,
}

impl Waiting {
    /// Waits for the answer; nothing if control is gone.
    pub async fn answer(mut self) -> Option<FrontAnswer> {
        (&mut self.answer).await.ok()
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.link.calls.take(self.number).is_some() {
            // A full queue only delays the clean-up until the call's deadline.
            let _sent = self.link.try_send(Event::CallerGone(self.number));
        }
    }
}

impl ControlLink {
    /// Creates a link over the control thread's bounded queue.
    #[must_use]
    pub fn new(sender: SyncSender<ControlInput>) -> Self {
        Self { sender, calls: Arc::default(), declares: Arc::default() }
    }

    /// Sends an event; tells whether the queue had room.
    #[must_use]
    pub fn try_send(&self, event: Event) -> bool {
        self.sender.try_send(ControlInput::Event(event)).is_ok()
    }

    /// Sends an event that must not be lost, waiting for room off the traffic threads if needed.
    pub fn send(&self, event: Event) {
        if let Err(TrySendError::Full(input)) = self.sender.try_send(ControlInput::Event(event)) {
            let sender = self.sender.clone();
            drop(tokio::task::spawn_blocking(move || sender.send(input)));
        }
    }

    /// Asks for a view of the tables.
    pub async fn view(&self, view: View) -> Option<String> {
        let (reply, answer) = oneshot::channel();
        self.sender.try_send(ControlInput::View { view, reply }).ok()?;
        answer.await.ok()
    }

    /// Hands out a number for a call.
    #[must_use]
    pub fn wait(&self) -> Waiting {
        let (number, answer) = self.calls.add();
        Waiting { number, answer, link: self.clone() }
    }

    /// Passes an answer to the caller that waits for it.
    pub fn pass_answer(&self, number: CallNumber, answer: FrontAnswer) {
        self.calls.pass(number, answer);
    }

    /// Asks control to put declarations in force in place of those of a revision; nothing if control is gone or full.
    pub async fn declare(
        &self,
        base_revision: u64,
        declarations: Arc<Declarations>,
    ) -> Option<DeclareOutcome> {
        let (number, answer) = self.declares.add();
        let call = DeclareCall { number, base_revision, declarations };
        if !self.try_send(Event::Declare(call)) {
            self.declares.take(number);
            return None;
        }
        answer.await.ok()
    }

    /// Passes what became of declarations to the operator who waits for it.
    pub fn pass_declared(&self, number: DeclareNumber, outcome: DeclareOutcome) {
        self.declares.pass(number, outcome);
    }
}
