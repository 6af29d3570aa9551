//! Cuts of the network, which decide what reaches whom.

/// Sender or receiver of messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Node {
    /// The platform's store.
    Store,
    /// The advice service.
    Advice,
    /// A host by number.
    Host(usize),
    /// A daemon by number.
    Daemon(usize),
}

/// Direction in which a cut loses messages, seen from the inside.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Direction {
    /// To and from the inside.
    #[default]
    Both,
    /// From the inside only.
    Outward,
    /// To the inside only.
    Inward,
}

/// Nodes that are cut off together from all others. They reach each other.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cut {
    /// Numbers of the daemons inside.
    pub daemons: Vec<usize>,
    /// Numbers of the hosts inside.
    pub hosts: Vec<usize>,
    /// Whether the store is inside.
    pub has_store: bool,
    /// Whether messages between daemons pass.
    pub keeps_peers: bool,
    /// Direction in which messages are lost.
    pub direction: Direction,
}

impl Cut {
    /// Creates a cut around daemons and hosts.
    #[must_use]
    pub fn new(daemons: Vec<usize>, hosts: Vec<usize>) -> Self {
        Self { daemons, hosts, ..Self::default() }
    }

    /// Creates a cut around the store alone: an outage for every daemon.
    #[must_use]
    pub fn store_outage() -> Self {
        Self { has_store: true, ..Self::default() }
    }

    /// Lets messages between daemons pass, or not.
    #[must_use]
    pub fn with_peers_kept(self, keeps_peers: bool) -> Self {
        Self { keeps_peers, ..self }
    }

    /// Sets the direction in which messages are lost.
    #[must_use]
    pub fn with_direction(self, direction: Direction) -> Self {
        Self { direction, ..self }
    }

    fn contains(&self, node: Node) -> bool {
        match node {
            Node::Store => self.has_store,
            Node::Advice => false,
            Node::Host(number) => self.hosts.contains(&number),
            Node::Daemon(number) => self.daemons.contains(&number),
        }
    }

    fn blocks(&self, from: Node, to: Node) -> bool {
        if self.keeps_peers && matches!((from, to), (Node::Daemon(_), Node::Daemon(_))) {
            return false;
        }
        match (self.contains(from), self.contains(to)) {
            (true, false) => self.direction != Direction::Inward,
            (false, true) => self.direction != Direction::Outward,
            (true, true) | (false, false) => false,
        }
    }
}

/// Cuts in force, by the number of the disruption that made them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cuts {
    active: Vec<(usize, Cut)>,
}

impl Cuts {
    /// Adds the cut of a disruption.
    pub fn add(&mut self, disruption: usize, cut: Cut) {
        self.active.push((disruption, cut));
    }

    /// Heals the cut of a disruption.
    pub fn heal(&mut self, disruption: usize) {
        self.active.retain(|(number, _)| *number != disruption);
    }

    /// Returns whether a message passes.
    #[must_use]
    pub fn passes(&self, from: Node, to: Node) -> bool {
        !self.active.iter().any(|(_, cut)| cut.blocks(from, to))
    }

    /// Returns whether no cut has one daemon inside and the other outside.
    ///
    /// A caller that sits beside one of them then reaches the other.
    #[must_use]
    pub fn are_together(&self, first: usize, second: usize) -> bool {
        self.active.iter().all(|(_, cut)| cut.daemons.contains(&first) == cut.daemons.contains(&second))
    }
}
