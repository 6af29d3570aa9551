//! Seeded simulation of daemons, platform and callers in one thread.
//!
//! The daemons run their real tables and systems; simulated time advances in fixed rounds. Calls to the
//! store, the hosts and the advice service are encoded and decoded by the platform's adapter, which tests
//! the adapter as well. Messages between daemons are delivered without encoding.

mod callers;
mod calls;
mod faults;
mod link;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use cassiahoist_core::prelude::*;
use cassiahoist_daemon::{MAX_RUN_LEASE_MS, build_daemon_app};
use cassiahoist_world::app::App;
use cassiahoist_world::effect::{Effect, LogRecord};
use cassiahoist_world::event::Event;
use cassiahoist_world::local::{LocalDaemon, StopState};
use cassiahoist_world::peer::PeerSender;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustc_hash::FxHashMap;

pub use callers::Callers;
pub use faults::{Fault, StoreHealth};

use faults::{draw_faults, draw_planned_changes, draw_slow_links};
use link::Link;

use crate::invariants::{Invariant, Scope, Violation, find_violations};
use crate::platform::{StandInPlatform, TIME_ZERO_UNIX_MS};
use crate::workload::Workload;

/// Time that passes per round, in milliseconds.
const ROUND_MS: u64 = 4;

/// Longest delivery time of a message, in milliseconds.
const MAX_MESSAGE_DELAY_MS: u64 = 6;

/// Number of hosts in a scenario with the varied workload.
const VARIED_HOSTS: usize = 12;

/// Size, workload and injected faults of one simulated day.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of hosts.
    pub hosts: usize,
    /// Time during which callers submit jobs, in milliseconds.
    pub traffic_ms: u64,
    /// Time after the last submission for jobs to complete, in milliseconds.
    pub settle_ms: u64,
    /// Mean time between submissions, in milliseconds.
    pub mean_job_interval_ms: u64,
    /// Kind of jobs and configurations.
    pub workload: Workload,
    /// Faults with the time of their injection, in milliseconds.
    pub faults: Vec<(u64, Fault)>,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            daemons: 4,
            hosts: 8,
            traffic_ms: 12_000,
            settle_ms: 25_000,
            mean_job_interval_ms: 250,
            workload: Workload::Plain,
            faults: Vec::new(),
        }
    }
}

impl Scenario {
    /// Draws the scenario of a seed.
    #[must_use]
    pub fn from_seed(seed: u64, workload: Workload) -> Self {
        let mut scenario = Self { workload, ..Self::default() };
        let mut rng = SmallRng::seed_from_u64(seed);
        draw_faults(&mut scenario, &mut rng);
        if workload == Workload::Varied {
            // Each of the two pools needs enough hosts to run the batches.
            scenario.hosts = VARIED_HOSTS;
            draw_planned_changes(&mut scenario, &mut rng);
        }
        if workload == Workload::Copies {
            draw_slow_links(&mut scenario, &mut rng);
        }
        scenario
    }
}

/// One daemon of the simulation.
#[derive(Debug)]
pub struct Daemon {
    /// Tables and systems; `None` while the process is down.
    pub app: Option<App>,
    /// Member name, the same in every incarnation.
    pub name: MemberName,
    /// Start of its present incarnation, in milliseconds since the epoch.
    pub started_unix_ms: u64,
    /// Time until which its process is paused, in milliseconds.
    pub paused_until_ms: u64,
    /// Time at which its process starts again, in milliseconds; `None` while it runs.
    pub restart_at_ms: Option<u64>,
    /// Time until which it can't reach the store, in milliseconds.
    pub store_unreachable_until_ms: u64,
    /// Link on which its orders leave.
    pub link: Link,
    /// Number of ticks of all its incarnations.
    pub tick_count: u64,
    /// Real time that its ticks have taken, in all incarnations.
    pub tick_time: Duration,
    last_tick_ms: u64,
    inbox: Vec<Event>,
}

/// Longest time between two ticks of a daemon, in milliseconds.
///
/// The control thread of a real daemon sleeps no longer.
const MAX_TICK_INTERVAL_MS: u64 = 1_000;

/// A message in flight.
#[derive(Debug)]
enum Message {
    /// To a daemon; dropped if that incarnation has ended.
    ToDaemon { daemon: usize, daemon_started_unix_ms: u64, event: Event },
    /// To the store or a host: number of the open call.
    ToPlatform(u64),
}

/// A simulated day in progress: daemons, platform, callers and messages in flight.
#[derive(Debug)]
pub struct Simulation {
    /// Simulated time, in milliseconds.
    pub now_ms: u64,
    /// Daemons by number, also those whose process is down.
    pub daemons: Vec<Daemon>,
    /// Stand-in store, hosts and trace.
    pub platform: StandInPlatform,
    /// Injected misbehaviour of the store.
    pub store_health: StoreHealth,
    /// Log events of all daemons: time in milliseconds, number of the daemon, event.
    pub log: Vec<(u64, usize, LogRecord)>,
    /// Simulated callers, with their jobs and open calls.
    pub callers: Callers,
    rng: SmallRng,
    scenario: Scenario,
    /// Messages by arrival time in milliseconds and number, so that ties keep their order.
    in_flight: BTreeMap<(u64, u64), Message>,
    /// Last number given to a message or an open call.
    last_number: u64,
    calls: FxHashMap<u64, calls::OpenCall>,
    /// Times at which faults were injected or active.
    fault_history: faults::FaultHistory,
}

/// Time around a fault in which incomplete gang starts are allowed, in milliseconds.
///
/// It applies both before and after the fault.
const GANG_EXEMPTION_MS: u64 = 6_000;

impl Simulation {
    /// Creates a simulation with all daemons started.
    #[must_use]
    pub fn new(seed: u64, scenario: Scenario) -> Self {
        let addresses: Vec<String> = (0..scenario.hosts)
            .map(|number| format!("10.9.{}.{}:8080", number / 256, number % 256))
            .collect();
        let daemons = (0..scenario.daemons).filter_map(new_daemon).collect();
        let mut sim = Self {
            now_ms: 1_000,
            daemons,
            platform: StandInPlatform::new(&addresses, scenario.workload, 1_000),
            store_health: StoreHealth::default(),
            log: Vec::new(),
            callers: Callers::default(),
            rng: SmallRng::seed_from_u64(seed),
            scenario,
            in_flight: BTreeMap::new(),
            last_number: 0,
            calls: FxHashMap::default(),
            fault_history: faults::FaultHistory::default(),
        };
        for daemon in 0..sim.daemons.len() {
            sim.start_daemon(daemon);
        }
        sim
    }

    /// Runs the whole scenario and returns the violated invariants.
    pub fn run(&mut self) -> Vec<Violation> {
        let end_ms = 4_000 + self.scenario.traffic_ms + self.scenario.settle_ms;
        while self.now_ms < end_ms {
            self.run_round();
        }
        let mut violations = find_violations(&self.platform.trace, &self.platform.ground_truth, self.now_ms);
        violations.retain(|violation| match (violation.invariant, violation.scope) {
            (Invariant::GangStart, _) => {
                !self.fault_history.injected_within(violation.at_ms, GANG_EXEMPTION_MS)
            }
            (_, Scope::Always) => true,
            (_, Scope::NoRecentFault) => self.fault_history.is_fault_free(violation.at_ms),
        });
        violations
    }

    /// Runs rounds until a time, in milliseconds.
    pub fn run_until(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.run_round();
        }
    }

    fn run_round(&mut self) {
        self.now_ms += ROUND_MS;
        self.inject_due_faults();
        self.platform.advance(self.now_ms);
        self.send_caller_requests();
        self.deliver_due_messages();
        self.answer_pending_calls();
        for daemon in 0..self.daemons.len() {
            self.run_daemon(daemon);
        }
    }

    /// Starts a daemon's process as a new incarnation.
    pub fn start_daemon(&mut self, number: usize) {
        let daemon_started_unix_ms = TIME_ZERO_UNIX_MS + self.now_ms;
        let daemon = &mut self.daemons[number];
        daemon.started_unix_ms = daemon_started_unix_ms;
        daemon.restart_at_ms = None;
        let Ok(domain) = FailureDomain::new("obihiro") else { return };
        daemon.app = Some(build_daemon_app(LocalDaemon {
            incarnation: Incarnation { member: daemon.name.clone(), started_unix_ms: daemon_started_unix_ms },
            domain,
            peer_address: peer_address(number),
            bounds: Bounds { run_lease_ms: MAX_RUN_LEASE_MS, ..Bounds::default() },
            limits: MachineLimits::default(),
            stop_state: StopState::Serving,
            unix_ms: daemon_started_unix_ms,
        }));
    }

    /// Kills a daemon's process and schedules its restart, in milliseconds.
    pub fn kill_daemon(&mut self, number: usize, restart_at_ms: u64) {
        let daemon = &mut self.daemons[number];
        daemon.app = None;
        daemon.inbox.clear();
        daemon.restart_at_ms = Some(restart_at_ms);
        self.callers.fail_calls_to(number);
    }

    /// Returns the number of the daemon that holds the slice.
    #[must_use]
    pub fn holder(&self) -> Option<usize> {
        self.daemons
            .iter()
            .position(|daemon| daemon.app.as_ref().is_some_and(|app| app.world().holding.is_holding()))
    }

    fn run_daemon(&mut self, number: usize) {
        let now_ms = self.now_ms;
        if self.daemons[number].restart_at_ms.is_some_and(|at_ms| now_ms >= at_ms) {
            self.start_daemon(number);
        }
        let daemon = &mut self.daemons[number];
        if now_ms < daemon.paused_until_ms {
            return;
        }
        let Some(app) = &mut daemon.app else { return };
        let wake_ms = app.wake_at_ms().min(daemon.last_tick_ms + MAX_TICK_INTERVAL_MS);
        if daemon.inbox.is_empty() && now_ms < wake_ms {
            return;
        }
        daemon.last_tick_ms = now_ms;
        for event in daemon.inbox.drain(..) {
            app.push_event(event);
        }
        let tick_started = Instant::now();
        app.tick(now_ms, TIME_ZERO_UNIX_MS + now_ms);
        daemon.tick_time += tick_started.elapsed();
        daemon.tick_count += 1;
        let daemon_started_unix_ms = daemon.started_unix_ms;
        for effect in app.take_effects() {
            self.apply_effect(number, daemon_started_unix_ms, effect);
        }
    }

    fn apply_effect(&mut self, daemon: usize, daemon_started_unix_ms: u64, effect: Effect) {
        match effect {
            Effect::AnswerCall { call, answer } => self.receive_answer(daemon, call, answer),
            Effect::CallStore { call, issued_at_ms } => {
                self.send_store_call(daemon, daemon_started_unix_ms, call, issued_at_ms);
            }
            Effect::SendOrder { order, issued_at_ms } => {
                self.send_order(daemon, daemon_started_unix_ms, *order, issued_at_ms);
            }
            Effect::RequestAdvice { call, reply_to } => {
                self.send_advice_call(daemon, daemon_started_unix_ms, &call, reply_to);
            }
            Effect::SendPeerMessage { address, message } => {
                let from = self.sender(daemon, daemon_started_unix_ms);
                self.send_peer(&address, Event::PeerMessageReceived { from, message });
            }
            Effect::WriteLog(log_record) => self.log.push((self.now_ms, daemon, log_record)),
            // No operator declares anything in the simulation.
            Effect::AnswerDeclareCall { .. } => {}
            Effect::Exit => {
                let restart_at_ms = self.now_ms + 500;
                self.kill_daemon(daemon, restart_at_ms);
            }
        }
    }

    /// Identifies a daemon as the sender of a message to its peers.
    fn sender(&self, daemon: usize, daemon_started_unix_ms: u64) -> PeerSender {
        let incarnation = Incarnation {
            member: self.daemons[daemon].name.clone(),
            started_unix_ms: daemon_started_unix_ms,
        };
        PeerSender { incarnation, address: peer_address(daemon) }
    }

    fn send_peer(&mut self, address: &str, event: Event) {
        let number = address
            .strip_prefix("10.1.0.")
            .and_then(|rest| rest.split(':').next())
            .and_then(|text| text.parse::<usize>().ok());
        if let Some(daemon) = number.filter(|number| *number < self.daemons.len()) {
            let daemon_started_unix_ms = self.daemons[daemon].started_unix_ms;
            self.deliver(daemon, daemon_started_unix_ms, event, 0);
        }
    }

    /// Sends an event to a daemon, to arrive no earlier than `not_before_ms`.
    fn deliver(&mut self, daemon: usize, daemon_started_unix_ms: u64, event: Event, not_before_ms: u64) {
        let message = Message::ToDaemon { daemon, daemon_started_unix_ms, event };
        self.send(message, not_before_ms);
    }

    fn send(&mut self, message: Message, not_before_ms: u64) {
        let delay_ms = self.rng.random_range(1..=MAX_MESSAGE_DELAY_MS);
        self.last_number += 1;
        let at_ms = (self.now_ms + delay_ms).max(not_before_ms);
        self.in_flight.insert((at_ms, self.last_number), message);
    }

    fn deliver_due_messages(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now_ms {
                return;
            }
            match entry.remove() {
                Message::ToDaemon { daemon, daemon_started_unix_ms, event } => {
                    let daemon = &mut self.daemons[daemon];
                    if daemon.app.is_some() && daemon.started_unix_ms == daemon_started_unix_ms {
                        daemon.inbox.push(event);
                    }
                }
                Message::ToPlatform(call) => self.receive_call(call),
            }
        }
    }
}

/// Returns the address at which a daemon listens for peers.
fn peer_address(daemon: usize) -> String {
    format!("10.1.0.{daemon}:7720")
}

fn new_daemon(number: usize) -> Option<Daemon> {
    Some(Daemon {
        app: None,
        name: MemberName::new(&format!("edge-{number}")).ok()?,
        started_unix_ms: 0,
        paused_until_ms: 0,
        restart_at_ms: None,
        store_unreachable_until_ms: 0,
        link: Link::default(),
        tick_count: 0,
        tick_time: Duration::ZERO,
        last_tick_ms: 0,
        inbox: Vec::new(),
    })
}
