//! Connections of a daemon to hosts and the store, within the descriptors of its process.
//!
//! They follow the daemon's HTTP client: idle connections are kept and used again, and at the limit of those to hosts
//! the least recently used idle one is closed for a new one.

use std::collections::VecDeque;

use cassiahoist_core::descriptors::max_host_connections;
use rustc_hash::FxHashMap;

/// Most connections to one host.
const MAX_CONNECTIONS_PER_HOST: usize = 16;

/// Most connections to the store.
const MAX_STORE_CONNECTIONS: usize = 32;

/// Descriptors of files, listeners, callers and peers.
const OTHER_DESCRIPTORS: usize = 100;

/// What a request does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request has a connection.
    Connected,
    /// The request waits for a connection.
    Wait,
    /// The operating system has no descriptor for a connection.
    NoDescriptor,
}

/// Connections to one host.
#[derive(Clone, Copy, Debug, Default)]
struct HostConnections {
    in_use: usize,
    idle: usize,
}

/// Open connections of a daemon.
#[derive(Clone, Debug)]
pub struct Connections {
    max_descriptors: usize,
    max_host_connections: usize,
    by_host: FxHashMap<usize, HostConnections>,
    /// Number of the host of each idle connection, the least recently used first.
    idle: VecDeque<usize>,
    in_use: usize,
    /// Host and time of connections that are given back later, in milliseconds.
    released_at_ms: Vec<(usize, u64)>,
    store_in_use: usize,
    store_idle: usize,
}

impl Connections {
    /// Creates the connections of a process that may open a number of descriptors.
    #[must_use]
    pub fn new(max_descriptors: usize) -> Self {
        Self {
            max_descriptors,
            max_host_connections: max_host_connections(max_descriptors),
            by_host: FxHashMap::default(),
            idle: VecDeque::new(),
            in_use: 0,
            released_at_ms: Vec::new(),
            store_in_use: 0,
            store_idle: 0,
        }
    }

    /// Returns the number of open connections to hosts.
    #[must_use]
    pub fn to_hosts(&self) -> usize {
        self.in_use + self.idle.len()
    }

    fn has_descriptor(&self) -> bool {
        let open = self.to_hosts() + self.store_in_use + self.store_idle + OTHER_DESCRIPTORS;
        open < self.max_descriptors
    }

    /// Takes a connection to a host, an idle one if there is any.
    pub fn take_for_order(&mut self, number: usize) -> Admission {
        let host = self.by_host.get(&number).copied().unwrap_or_default();
        if host.in_use >= MAX_CONNECTIONS_PER_HOST {
            return Admission::Wait;
        }
        if host.idle > 0 {
            // The one that was used last.
            if let Some(position) = self.idle.iter().rposition(|other| *other == number) {
                self.idle.remove(position);
            }
        } else {
            if self.to_hosts() >= self.max_host_connections && !self.close_least_recently_used() {
                return Admission::Wait;
            }
            if !self.has_descriptor() {
                return Admission::NoDescriptor;
            }
        }
        let host = self.by_host.entry(number).or_default();
        host.idle = host.idle.saturating_sub(1);
        host.in_use += 1;
        self.in_use += 1;
        Admission::Connected
    }

    /// Gives back a connection to a host. It is kept unless the request on it had no complete response.
    pub fn release_order(&mut self, number: usize, has_response: bool) {
        let Some(host) = self.by_host.get_mut(&number).filter(|host| host.in_use > 0) else { return };
        host.in_use -= 1;
        self.in_use -= 1;
        if has_response {
            host.idle += 1;
            self.idle.push_back(number);
        } else {
            // Other idle connections to this host may be dead as well.
            host.idle = 0;
            self.idle.retain(|other| *other != number);
        }
    }

    /// Gives back a connection to a host at a time, in milliseconds. Until then it opens or waits for a response.
    pub fn release_order_at(&mut self, number: usize, at_ms: u64) {
        self.released_at_ms.push((number, at_ms));
    }

    /// Closes the connections that were to be given back by now.
    pub fn release_due(&mut self, now_ms: u64) {
        let due: Vec<(usize, u64)> =
            self.released_at_ms.extract_if(.., |(_, at_ms)| now_ms >= *at_ms).collect();
        for (number, _) in due {
            self.release_order(number, false);
        }
    }

    /// Closes the idle connection that was used least recently, and returns whether there was one.
    fn close_least_recently_used(&mut self) -> bool {
        let Some(number) = self.idle.pop_front() else { return false };
        if let Some(host) = self.by_host.get_mut(&number) {
            host.idle -= 1;
        }
        true
    }

    /// Takes a connection to the store, an idle one if there is any.
    pub fn take_for_store(&mut self) -> Admission {
        if self.store_in_use >= MAX_STORE_CONNECTIONS {
            return Admission::Wait;
        }
        if self.store_idle > 0 {
            self.store_idle -= 1;
        } else if !self.has_descriptor() {
            return Admission::NoDescriptor;
        }
        self.store_in_use += 1;
        Admission::Connected
    }

    /// Gives back a connection to the store. It is kept unless the call on it had no complete response.
    pub fn release_store(&mut self, has_response: bool) {
        self.store_in_use = self.store_in_use.saturating_sub(1);
        self.store_idle += usize::from(has_response);
    }
}
