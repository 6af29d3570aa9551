//! Shares of the file descriptors that the process may open.

/// Default limit of open file descriptors, the usual soft limit of a process.
pub const DEFAULT_MAX_DESCRIPTORS: usize = 1_024;

/// Smallest valid limit of open file descriptors.
pub const MIN_MAX_DESCRIPTORS: usize = 512;

/// Descriptors reserved for files.
const FILE_DESCRIPTORS: usize = 200;

/// Descriptors reserved for the store, the advice service, operators, listeners and the runtime.
const SERVICE_DESCRIPTORS: usize = 128;

/// Share of the other descriptors that is reserved for connections of callers, in percent.
const CALLERS_PERCENT: usize = 15;

/// Share of the other descriptors that is reserved for connections from and to peers, in percent.
const PEERS_PERCENT: usize = 10;

/// Share of the other descriptors that is for connections that peers open, in percent of all.
///
/// Of 4,100 descriptors, those of a small machine, it leaves room for a cell of 300 daemons.
const INBOUND_PEERS_PERCENT: usize = 8;

/// Smallest limit of connections that peers open.
pub const MIN_PEER_CONNECTIONS: usize = 64;

/// Returns how many descriptors callers, peers and hosts share.
const fn shared_descriptors(max_descriptors: usize) -> usize {
    max_descriptors.saturating_sub(FILE_DESCRIPTORS + SERVICE_DESCRIPTORS)
}

/// Returns how many connections to hosts may be open at a time.
///
/// The rest of the limit is reserved, so that hosts never take the descriptors of callers, peers, store and advice.
#[must_use]
pub const fn max_host_connections(max_descriptors: usize) -> usize {
    shared_descriptors(max_descriptors) * (100 - CALLERS_PERCENT - PEERS_PERCENT) / 100
}

/// Returns how many connections of callers may be open at a time.
///
/// The rest of the limit is reserved, so that callers never take the descriptors of hosts, peers, store and advice.
#[must_use]
pub const fn max_caller_connections(max_descriptors: usize) -> usize {
    shared_descriptors(max_descriptors) * CALLERS_PERCENT / 100
}

/// Returns how many connections peers may open at a time.
///
/// The rest of what is reserved for peers is for the connections that this daemon opens to them, which are few. A cell of
/// few descriptors may still have [`MIN_PEER_CONNECTIONS`] daemons.
#[must_use]
pub const fn max_peer_connections(max_descriptors: usize) -> usize {
    let share = shared_descriptors(max_descriptors) * INBOUND_PEERS_PERCENT / 100;
    if share > MIN_PEER_CONNECTIONS { share } else { MIN_PEER_CONNECTIONS }
}
