//! Carries out what a tick wants done.

use cassiahoist_telemetry::LogWriter;
use cassiahoist_world::effect::Effect;

use crate::control_link::ControlLink;
use crate::peer_links::PeerLinks;
use crate::store_client::StoreClient;
use crate::worker_client::WorkerClient;

/// Carries out effects on the traffic runtime.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    /// The way back to waiting traffic tasks.
    pub control: ControlLink,
    /// The store.
    pub store: StoreClient,
    /// Peers.
    pub peers: PeerLinks,
    /// Workers and runners.
    pub workers: WorkerClient,
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

impl Dispatcher {
    /// Carries out one effect without waiting for it.
    #[must_use]
    pub fn carry_out(&self, effect: Effect) -> Flow {
        let _runtime = self.runtime.enter();
        match effect {
            Effect::Verdict { ticket, verdict } => self.control.pass_verdict(ticket, verdict),
            Effect::Store { call, started_ms } => self.store.call(call, started_ms),
            Effect::Peer { address, message, .. } => self.peers.deliver(&address, message),
            Effect::Worker(command) => self.workers.command(command),
            Effect::Probe(probe) => self.workers.probe(probe),
            Effect::Log(note) => self.log.write(note.event, &note.detail),
            Effect::Exit => return Flow::Exit,
        }
        Flow::Continue
    }
}
