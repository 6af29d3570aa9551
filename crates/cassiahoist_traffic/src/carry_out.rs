//! Carries out what a tick wants done.

use cassiahoist_telemetry::LogWriter;
use cassiahoist_world::effect::Effect;

use crate::advice_client::AdviceClient;
use crate::control_link::ControlLink;
use crate::host_client::HostClient;
use crate::peer_links::PeerLinks;
use crate::protocol::Platform;
use crate::store_client::StoreClient;

/// Carries out effects on the traffic runtime.
#[derive(Clone, Debug)]
pub struct Dispatcher<P: Platform> {
    /// The way back to waiting callers.
    pub control: ControlLink,
    /// The store.
    pub store: StoreClient<P::Store>,
    /// Hosts.
    pub hosts: HostClient<P::Hosts>,
    /// The advice service.
    pub advice: AdviceClient<P::Advice>,
    /// Peers.
    pub peers: PeerLinks,
    /// The log.
    pub log: LogWriter,
    /// The traffic runtime.
    pub runtime: tokio::runtime::Handle,
}

/// Whether the process goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// It goes on.
    Continue,
    /// Everything is handed over.
    Exit,
}

impl<P: Platform> Dispatcher<P> {
    /// Carries out one effect without waiting for it.
    #[must_use]
    pub fn carry_out(&self, effect: Effect) -> Flow {
        let _runtime = self.runtime.enter();
        match effect {
            Effect::Answer { call, answer } => self.control.pass_answer(call, answer),
            Effect::Declared { call, outcome } => self.control.pass_declared(call, outcome),
            Effect::Store { call, started_ms } => self.store.call(call, started_ms),
            Effect::Order { order, started_ms } => self.hosts.order(*order, started_ms),
            Effect::Advise { call, reply_to } => self.advice.call(call, reply_to),
            Effect::Peer { address, message } => self.peers.deliver(&address, message),
            Effect::Log(note) => self.log.write(note.event, &note.fields),
            Effect::Exit => return Flow::Exit,
        }
        Flow::Continue
    }
}
