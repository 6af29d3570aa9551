//! Checks which daemons give orders to hosts, and under which fencing tokens.

use cassiahoist_core::prelude::*;
use rustc_hash::FxHashMap;

use super::{Invariant, InvariantCheck, Violation};
use crate::sim::daemon_name;
use crate::trace::Observation;
use crate::workload::GroundTruth;

/// Two daemons whose orders alternate within this time both act as holder, in milliseconds.
const HOLDER_CHANGE_MS: u64 = 3_000;

/// Number of a daemon and start of its incarnation, in milliseconds since the epoch.
type DaemonIncarnation = (usize, u64);

/// Daemons that gave orders to one host.
#[derive(Clone, Copy, Debug)]
struct OrderHistory {
    daemon_incarnation: DaemonIncarnation,
    /// Time of its latest order, in milliseconds.
    last_ms: u64,
    /// Daemon that gave orders before, with the time of its last one in milliseconds.
    previous: Option<(DaemonIncarnation, u64)>,
}

/// A start order that a holder gave to another daemon to send.
#[derive(Clone, Debug, PartialEq, Eq)]
struct RelayedStart {
    holder: DaemonIncarnation,
    relay: MemberName,
    host: HostName,
}

/// Fencing token, task and number of the run of a start order.
type StartOrder = (u64, TaskName, u64);

/// First daemon of each fencing token, start orders to be relayed, and latest orders by host.
#[derive(Debug, Default)]
pub(super) struct HolderCheck {
    by_fence: FxHashMap<u64, DaemonIncarnation>,
    relayed_starts: FxHashMap<StartOrder, RelayedStart>,
    histories: FxHashMap<HostName, OrderHistory>,
}

impl HolderCheck {
    /// Returns the daemon that decided on an order: its sender, or the holder that gave it to the sender.
    ///
    /// An order that was given to a daemon justifies one order of that daemon to that host.
    fn decider(
        &mut self,
        sender: DaemonIncarnation,
        host: &HostName,
        fence: u64,
        start: Option<(TaskName, u64)>,
    ) -> DaemonIncarnation {
        let Some((task, run)) = start else { return sender };
        let relayed = self.relayed_starts.get(&(fence, task, run));
        let is_given = relayed
            .is_some_and(|relayed| relayed.relay.as_str() == daemon_name(sender.0) && relayed.host == *host);
        let relayed = if is_given { self.relayed_starts.remove(&(fence, task, run)) } else { None };
        relayed.map_or(sender, |relayed| relayed.holder)
    }
}

impl InvariantCheck for HolderCheck {
    fn observe(
        &mut self,
        at_ms: u64,
        observation: &Observation,
        _ground_truth: &GroundTruth,
        violations: &mut Vec<Violation>,
    ) {
        if let Observation::StartRelayed { host, daemon, daemon_started_unix_ms, relay, fence, task, run } =
            observation
        {
            let holder = (*daemon, *daemon_started_unix_ms);
            let relayed = RelayedStart { holder, relay: relay.clone(), host: host.clone() };
            self.relayed_starts.insert((*fence, *task, *run), relayed);
            return;
        }
        let Observation::OrderAccepted { host, daemon, daemon_started_unix_ms, fence, start } = observation
        else {
            return;
        };
        let sender = (*daemon, *daemon_started_unix_ms);
        let daemon_incarnation = self.decider(sender, host, *fence, *start);
        let daemon = &daemon_incarnation.0;
        let first_daemon = *self.by_fence.entry(*fence).or_insert(daemon_incarnation);
        if first_daemon != daemon_incarnation {
            let detail = format!(
                "daemons {} and {daemon} both give orders under fencing token {fence}",
                first_daemon.0
            );
            violations.push(Violation::new(Invariant::SingleHolder, at_ms, detail));
        }
        let history = self.histories.entry(host.clone()).or_insert(OrderHistory {
            daemon_incarnation,
            last_ms: at_ms,
            previous: None,
        });
        if history.daemon_incarnation == daemon_incarnation {
            history.last_ms = at_ms;
            return;
        }
        if history.previous.is_some_and(|(previous, previous_ms)| {
            previous == daemon_incarnation && at_ms < previous_ms + HOLDER_CHANGE_MS
        }) {
            let detail = format!(
                "daemons {daemon} and {} give orders to {host} alternately",
                history.daemon_incarnation.0
            );
            violations
                .push(Violation::new(Invariant::SingleHolder, at_ms, detail).only_without_recent_fault());
        }
        *history = OrderHistory {
            daemon_incarnation,
            last_ms: at_ms,
            previous: Some((history.daemon_incarnation, history.last_ms)),
        };
    }
}
