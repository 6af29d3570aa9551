//! Daemons of a simulation and the course of their ticks.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use cassiahoist_core::prelude::*;
use cassiahoist_daemon::{MAX_RUN_LEASE_MS, build_daemon_app};
use cassiahoist_world::app::App;
use cassiahoist_world::effect::Effect;
use cassiahoist_world::event::Event;
use cassiahoist_world::local::{LocalDaemon, StopState};

use super::Simulation;
use super::connections::Connections;
use super::link::Link;
use super::machine::Machine;
use super::processor::{Processor, TickWork};
use crate::host::MAX_LEASE_MS;
use crate::platform::TIME_ZERO_UNIX_MS;

/// Longest time between two ticks of a daemon, in milliseconds.
///
/// The control thread of a real daemon sleeps no longer.
const MAX_TICK_INTERVAL_MS: u64 = 1_000;

/// One daemon of the simulation.
#[derive(Debug)]
pub struct Daemon {
    /// Tables and systems; `None` while the process is down.
    pub app: Option<App>,
    /// Member name, the same in every incarnation.
    pub name: MemberName,
    /// Machine on which it runs.
    pub machine: Machine,
    /// Start of its present incarnation, in milliseconds since the epoch.
    pub started_unix_ms: u64,
    /// Time until which its process is paused, in milliseconds.
    pub paused_until_ms: u64,
    /// Time at which its process starts again, in milliseconds; `None` while it runs.
    pub restart_at_ms: Option<u64>,
    /// Time until which it can't reach the store, in milliseconds.
    pub store_unreachable_until_ms: u64,
    /// Time until which messages from and to its peers are lost, in milliseconds.
    pub cut_from_peers_until_ms: u64,
    /// Link on which its orders leave.
    pub link: Link,
    /// Connections within its descriptors; `None` if these have no limit.
    pub connections: Option<Connections>,
    /// Number of ticks of all its incarnations.
    pub tick_count: u64,
    /// Real time that its ticks have taken, in all incarnations.
    pub tick_time: Duration,
    /// Real time that the longest of them took; the reader resets it.
    pub longest_tick: Duration,
    /// Numbers of the calls that wait for a connection, in the order of their issue.
    pub(super) waiting_calls: VecDeque<u64>,
    processor: Processor,
    last_tick_ms: u64,
    pub(super) inbox: Vec<Event>,
    /// Effects of the last tick, which leave when the processor has done its work.
    outbox: Vec<Effect>,
}

/// Returns the member name of a daemon.
#[must_use]
pub fn daemon_name(daemon: usize) -> String {
    format!("edge-{daemon}")
}

/// Returns the address at which a daemon listens for peers.
pub(super) fn peer_address(daemon: usize) -> String {
    format!("10.1.0.{daemon}:7720")
}

impl Daemon {
    pub(super) fn new(number: usize, machine: Machine) -> Option<Self> {
        Some(Self {
            app: None,
            name: MemberName::new(&daemon_name(number)).ok()?,
            machine,
            started_unix_ms: 0,
            paused_until_ms: 0,
            restart_at_ms: None,
            store_unreachable_until_ms: 0,
            cut_from_peers_until_ms: 0,
            link: Link::new(&machine),
            connections: None,
            tick_count: 0,
            tick_time: Duration::ZERO,
            longest_tick: Duration::ZERO,
            waiting_calls: VecDeque::new(),
            processor: Processor::default(),
            last_tick_ms: 0,
            inbox: Vec::new(),
            outbox: Vec::new(),
        })
    }

    /// Returns whether the process neither runs a tick nor sends anything at a time in milliseconds.
    pub(super) fn is_stalled(&self, now_ms: u64) -> bool {
        now_ms < self.paused_until_ms || self.processor.is_busy(now_ms)
    }

    /// Returns whether a message or a timer makes a tick due.
    fn is_tick_due(&self, now_ms: u64) -> bool {
        let Some(app) = &self.app else { return false };
        !self.inbox.is_empty() || now_ms >= app.wake_at_ms().min(self.last_tick_ms + MAX_TICK_INTERVAL_MS)
    }

    /// Runs a tick, whose effects are then in the outbox.
    fn tick(&mut self, now_ms: u64) {
        let Some(app) = &mut self.app else { return };
        self.last_tick_ms = now_ms;
        let mut work = TickWork { events: self.inbox.len() as u64, ..TickWork::default() };
        for event in self.inbox.drain(..) {
            app.push_event(event);
        }
        let rows_before = app.world().hosts.rows_visited();
        let tick_started = Instant::now();
        app.tick(now_ms, TIME_ZERO_UNIX_MS + now_ms);
        let took = tick_started.elapsed();
        self.tick_time += took;
        self.longest_tick = self.longest_tick.max(took);
        self.tick_count += 1;
        self.outbox = app.take_effects();
        work.effects = self.outbox.len() as u64;
        work.host_rows = app.world().hosts.rows_visited() - rows_before;
        self.processor.begin(&work, now_ms);
    }
}

impl Simulation {
    /// Starts a daemon's process as a new incarnation.
    pub fn start_daemon(&mut self, number: usize) {
        let daemon_started_unix_ms = TIME_ZERO_UNIX_MS + self.now_ms;
        let daemon = &mut self.daemons[number];
        daemon.started_unix_ms = daemon_started_unix_ms;
        daemon.restart_at_ms = None;
        daemon.connections = daemon.machine.max_descriptors.map(Connections::new);
        daemon.processor = Processor::new(daemon.machine.limits.map(|limits| limits.cpu_milli));
        let Ok(domain) = FailureDomain::new("obihiro") else { return };
        daemon.app = Some(build_daemon_app(LocalDaemon {
            incarnation: Incarnation { member: daemon.name.clone(), started_unix_ms: daemon_started_unix_ms },
            domain,
            peer_address: peer_address(number),
            bounds: Bounds { run_lease_ms: MAX_RUN_LEASE_MS, ..Bounds::default() },
            platform_run_lease_ms: MAX_LEASE_MS,
            limits: daemon.machine.limits.unwrap_or_default(),
            order_of_work: OrderOfWork::default(),
            stop_state: StopState::Serving,
            unix_ms: daemon_started_unix_ms,
        }));
    }

    /// Kills a daemon's process and schedules its restart, in milliseconds.
    pub fn kill_daemon(&mut self, number: usize, restart_at_ms: u64) {
        let daemon = &mut self.daemons[number];
        daemon.app = None;
        daemon.inbox.clear();
        daemon.outbox.clear();
        daemon.restart_at_ms = Some(restart_at_ms);
        for call in std::mem::take(&mut daemon.waiting_calls) {
            self.calls.remove(&call);
        }
        self.callers.fail_calls_to(number);
    }

    /// Sends the effects of a daemon's last tick once its work is done, then runs the next tick if it is due.
    pub(super) fn run_daemon(&mut self, number: usize) {
        let now_ms = self.now_ms;
        if self.daemons[number].restart_at_ms.is_some_and(|at_ms| now_ms >= at_ms) {
            self.start_daemon(number);
        }
        if self.daemons[number].is_stalled(now_ms) {
            return;
        }
        self.apply_effects(number);
        if self.daemons[number].is_tick_due(now_ms) {
            self.daemons[number].tick(now_ms);
            if !self.daemons[number].processor.is_busy(now_ms) {
                self.apply_effects(number);
            }
        }
    }

    fn apply_effects(&mut self, number: usize) {
        let daemon = &mut self.daemons[number];
        let daemon_started_unix_ms = daemon.started_unix_ms;
        for effect in std::mem::take(&mut daemon.outbox) {
            self.apply_effect(number, daemon_started_unix_ms, effect);
        }
    }
}
