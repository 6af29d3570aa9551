//! Connections of calls: which calls are sent, wait or fail for lack of one.

use cassiahoist_world::orders::OrderOutcome;
use cassiahoist_world::store::StoreFailure;
use cassiahoist_world::unsent::UnsentCause;

use super::Simulation;
use super::calls::{OpenCall, Target};
use super::connections::Admission;

/// Whether a call has a connection, as far as its daemon counts them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallConnection {
    /// The call needs none, or has given it back.
    None,
    /// The call was not sent yet and waits for one.
    Waiting,
    /// The call has one.
    Held,
}

impl Simulation {
    /// Gives a call a connection and sends it, lets it wait for one, or fails it.
    pub(super) fn connect_call(&mut self, mut open_call: OpenCall) {
        if self.now_ms > open_call.deadline_ms {
            return self.fail_unsent(open_call, UnsentCause::Expired);
        }
        match self.take_connection(open_call.daemon, &open_call.target) {
            Admission::Connected => self.dispatch_call(open_call),
            Admission::Wait => {
                self.last_number += 1;
                self.daemons[open_call.daemon].waiting_calls.push_back(self.last_number);
                open_call.connection = CallConnection::Waiting;
                self.calls.insert(self.last_number, open_call);
            }
            Admission::NoDescriptor => self.fail_unsent(open_call, UnsentCause::LocalResources),
        }
    }

    fn dispatch_call(&mut self, mut open_call: OpenCall) {
        open_call.connection = CallConnection::Held;
        open_call.left_late = self.now_ms > open_call.issued_at_ms;
        match open_call.target {
            Target::Store(_) => self.dispatch_store_call(open_call),
            Target::Host(_) => self.dispatch_order(open_call),
        }
    }

    /// Takes a connection of a daemon; daemons without a limit always have one.
    fn take_connection(&mut self, daemon: usize, target: &Target) -> Admission {
        let Some(connections) = &mut self.daemons[daemon].connections else { return Admission::Connected };
        match target {
            Target::Store(_) => connections.take_for_store(),
            Target::Host(order) => match self.platform.find_host(&order.address) {
                Some(number) => connections.take_for_order(number),
                None => Admission::Connected,
            },
        }
    }

    /// Gives back the connection of a call if it has one.
    pub(super) fn release_connection(&mut self, number: u64, has_response: bool) {
        let Some(call) = self.calls.get_mut(&number) else { return };
        let daemon = &mut self.daemons[call.daemon];
        if std::mem::replace(&mut call.connection, CallConnection::None) != CallConnection::Held
            || daemon.started_unix_ms != call.daemon_started_unix_ms
        {
            return;
        }
        let Some(connections) = &mut daemon.connections else { return };
        match &call.target {
            Target::Store(_) => connections.release_store(has_response),
            Target::Host(order) => {
                if let Some(host) = self.platform.find_host(&order.address) {
                    connections.release_order(host, has_response);
                }
            }
        }
    }

    /// Sends the calls that waited for a connection and now have one.
    pub(super) fn connect_waiting_calls(&mut self) {
        for daemon in 0..self.daemons.len() {
            if let Some(connections) = &mut self.daemons[daemon].connections {
                connections.release_due(self.now_ms);
            }
            if self.daemons[daemon].is_stalled(self.now_ms) {
                continue;
            }
            for number in std::mem::take(&mut self.daemons[daemon].waiting_calls) {
                let Some(open_call) = self.calls.remove(&number) else { continue };
                match self.take_connection(daemon, &open_call.target) {
                    Admission::Connected => self.dispatch_call(open_call),
                    Admission::Wait => {
                        self.calls.insert(number, open_call);
                        self.daemons[daemon].waiting_calls.push_back(number);
                    }
                    Admission::NoDescriptor => self.fail_unsent(open_call, UnsentCause::LocalResources),
                }
            }
        }
    }

    /// Reports that a call was never sent.
    pub(super) fn fail_unsent(&mut self, open_call: OpenCall, cause: UnsentCause) {
        match open_call.target {
            Target::Store(_) => self.send_store_outcome(open_call, Err(StoreFailure::NotSent(cause)), 0),
            Target::Host(_) => self.send_order_outcome(open_call, OrderOutcome::NotSent(cause), None, 0),
        }
    }
}
