//! Connections and bytes of this daemon, as its traffic threads count them.

use crate::unsent::UnsentCause;

/// What a message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficKind {
    /// Start orders to hosts.
    Starts,
    /// Polls of hosts, which renew their run leases.
    Polls,
    /// Other orders to hosts.
    OtherOrders,
    /// Calls to the store.
    Store,
    /// Calls to the advice service.
    Advice,
    /// Messages to peers.
    Peers,
    /// Answers to callers.
    Callers,
}

impl TrafficKind {
    /// Every kind, in the order of the variants.
    pub const ALL: [Self; 7] =
        [Self::Starts, Self::Polls, Self::OtherOrders, Self::Store, Self::Advice, Self::Peers, Self::Callers];
}

/// Open connections by what they are for.
///
/// Those that are being opened or closed count too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenConnections {
    /// Connections to hosts.
    pub hosts: u64,
    /// Most connections to hosts.
    pub hosts_limit: u64,
    /// Connections of callers.
    pub callers: u64,
    /// Most connections of callers.
    pub callers_limit: u64,
    /// Connections to and from peers.
    pub peers: u64,
    /// Connections to the store.
    pub store: u64,
    /// Connections to the advice service.
    pub advice: u64,
    /// Descriptors that the process may open, for connections and all else.
    pub descriptors_limit: u64,
}

/// Totals since the start of the daemon, and what is open now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficTotals {
    /// Bytes of messages that were sent, by kind; a request counts once it is over.
    pub sent_bytes: [u64; TrafficKind::ALL.len()],
    /// Bytes of the answers to requests.
    pub received_bytes: u64,
    /// Bytes of requests that wait for a connection, for the link or for an answer.
    pub open_bytes: u64,
    /// Requests that were certainly not sent, by cause.
    pub unsent: [u64; UnsentCause::ALL.len()],
    /// Connections that could not be accepted, for lack of descriptors or memory.
    pub accepts_failed: u64,
    /// Calls that were refused at once, since the control thread's queue was full.
    pub calls_unqueued: u64,
    /// Messages to peers that were dropped or not delivered.
    pub peer_messages_lost: u64,
    /// Connections that were closed since their clients sent or read too slowly.
    pub slow_connections: u64,
    /// Requests that were refused since the budget of bytes had no room for them.
    pub requests_unheld: u64,
    /// Open connections.
    pub connections: OpenConnections,
}
