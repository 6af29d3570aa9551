//! Dispatches the effects of a tick to the traffic clients.

use std::sync::Arc;

use cassiahoist_telemetry::LogWriter;
use cassiahoist_world::config::ConfigRecord;
use cassiahoist_world::effect::Effect;
use cassiahoist_world::traffic::{OpenConnections, TrafficTotals};
use tokio::sync::watch;

use crate::advice_client::AdviceClient;
use crate::control_link::ControlLink;
use crate::host_client::HostClient;
use crate::peer_links::PeerLinks;
use crate::protocol::Platform;
use crate::store_client::StoreClient;
use crate::traffic_meter::TrafficMeter;

/// Dispatches effects to the clients on the traffic runtime.
#[derive(Clone, Debug)]
pub struct Dispatcher<P: Platform> {
    /// Delivers answers to waiting callers.
    pub control: ControlLink,
    /// Executes operations on the store.
    pub store: StoreClient<P::Store>,
    /// Sends orders to hosts.
    pub hosts: HostClient<P::Hosts>,
    /// Calls the advice service.
    pub advice: AdviceClient<P::Advice>,
    /// Sends messages to peers.
    pub peers: PeerLinks,
    /// Writes the log records of a tick, without blocking on output.
    pub log: LogWriter,
    /// Counts the traffic of clients and servers.
    pub meter: TrafficMeter,
    /// Set to close callers' connections.
    pub caller_stop: watch::Sender<bool>,
    /// Passes the configuration in force to the server for callers.
    pub config: watch::Sender<Option<Arc<ConfigRecord>>>,
    /// Runtime that the clients spawn their tasks on.
    pub runtime: tokio::runtime::Handle,
}

/// Whether the control loop continues after an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoopControl {
    /// The control loop continues.
    Continue,
    /// The graceful stop is complete, and the control loop ends.
    Exit,
}

impl<P: Platform> Dispatcher<P> {
    /// Returns the traffic so far and the open connections.
    #[must_use]
    pub fn traffic_totals(&self) -> TrafficTotals {
        let totals = self.meter.totals();
        let connections = OpenConnections {
            hosts: self.hosts.open_connections() as u64,
            hosts_limit: self.hosts.max_open_connections() as u64,
            peers: totals.connections.peers + self.peers.open_connections() as u64,
            store: self.store.open_connections() as u64,
            advice: self.advice.open_connections() as u64,
            ..totals.connections
        };
        TrafficTotals { connections, ..totals }
    }

    /// Dispatches an effect without waiting for its result.
    #[must_use]
    pub fn dispatch(&self, effect: Effect) -> LoopControl {
        let _guard = self.runtime.enter();
        match effect {
            Effect::AnswerCall { call, answer } => self.control.complete_call(call, answer),
            Effect::AnswerDeclareCall { call, outcome } => self.control.complete_declare(call, outcome),
            Effect::CallStore { call, issued_at_ms } => self.store.execute(call, issued_at_ms),
            Effect::SendOrder { order, issued_at_ms } => self.hosts.send(*order, issued_at_ms),
            Effect::RequestAdvice { call, reply_to } => self.advice.request(call, reply_to),
            Effect::SendPeerMessage { address, message } => self.peers.send(&address, message),
            Effect::WriteLog(log_record) => self.log.write(log_record.event, &log_record.fields),
            Effect::CloseCallerConnections => {
                self.caller_stop.send_replace(true);
            }
            Effect::UseConfig(config) => {
                self.config.send_replace(Some(config));
            }
            Effect::Exit => return LoopControl::Exit,
        }
        LoopControl::Continue
    }
}
