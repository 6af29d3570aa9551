//! The way from traffic threads to the control thread and back.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::SyncSender;
use std::sync::{Arc, Mutex, PoisonError};

use cassiahoist_world::event::Event;
use cassiahoist_world::requests::{Ticket, Verdict};
use rustc_hash::FxHashMap;
use tokio::sync::{mpsc, oneshot};

/// What an operator or the balancer wants to see of control state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    /// All tables.
    Dump,
    /// Members, slices and the configuration in force, in short.
    Status,
    /// Whether new work is welcome.
    Ready,
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
        /// Where the JSON goes.
        reply: oneshot::Sender<String>,
    },
}

/// Sends messages to the control thread and hands out tickets for its verdicts.
#[derive(Clone, Debug)]
pub struct ControlLink {
    sender: SyncSender<ControlInput>,
    tickets: Arc<Tickets>,
}

#[derive(Debug, Default)]
struct Tickets {
    next: AtomicU64,
    waiting: Mutex<FxHashMap<Ticket, mpsc::UnboundedSender<Verdict>>>,
}

/// A traffic task's place to wait for verdicts; its ticket ends with it.
#[derive(Debug)]
pub struct Waiting {
    /// The ticket.
    pub ticket: Ticket,
    verdicts: mpsc::UnboundedReceiver<Verdict>,
    tickets: Arc<Tickets>,
}

impl Waiting {
    /// Waits for the next verdict; nothing if control is gone.
    pub async fn next(&mut self) -> Option<Verdict> {
        self.verdicts.recv().await
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut waiting = self.tickets.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.remove(&self.ticket);
    }
}

impl ControlLink {
    /// Creates a link over the control thread's bounded queue.
    #[must_use]
    pub fn new(sender: SyncSender<ControlInput>) -> Self {
        Self { sender, tickets: Arc::default() }
    }

    /// Sends an event; tells whether the queue had room.
    #[must_use]
    pub fn try_send(&self, event: Event) -> bool {
        self.sender.try_send(ControlInput::Event(event)).is_ok()
    }

    /// Sends an event that must not be lost, waiting for room off the traffic threads if needed.
    pub fn send(&self, event: Event) {
        use std::sync::mpsc::TrySendError;
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

    /// Hands out a ticket.
    #[must_use]
    pub fn wait(&self) -> Waiting {
        let ticket = self.tickets.next.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, verdicts) = mpsc::unbounded_channel();
        self.tickets.waiting.lock().unwrap_or_else(PoisonError::into_inner).insert(ticket, sender);
        Waiting { ticket, verdicts, tickets: Arc::clone(&self.tickets) }
    }

    /// Passes a verdict to the traffic task that waits for it.
    pub fn pass_verdict(&self, ticket: Ticket, verdict: Verdict) {
        let waiting = self.tickets.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(sender) = waiting.get(&ticket) {
            // A task that ended no longer wants its verdict.
            let _gone = sender.send(verdict);
        }
    }
}
