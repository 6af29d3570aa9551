//! Seeded simulation of daemons, platform and callers in one thread.
//!
//! The daemons run their real tables and systems; simulated time advances in fixed rounds. Calls to the
//! store, the hosts and the advice service are encoded and decoded by the platform's adapter, which tests
//! the adapter as well. Messages between daemons are delivered without encoding.

mod call_connections;
mod callers;
mod calls;
pub mod connections;
mod crowded;
mod daemon;
mod deadly;
mod faults;
mod full_link;
mod island_outages;
mod islands;
mod link;
pub mod machine;
mod misfortunes;
mod narrow;
pub mod processor;

use std::collections::BTreeMap;

use cassiahoist_core::prelude::*;
use cassiahoist_world::effect::{Effect, LogRecord};
use cassiahoist_world::event::Event;
use cassiahoist_world::peer::{PeerMessage, PeerSender};
use cassiahoist_world::start_relay::StartBatch;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustc_hash::FxHashMap;

pub use callers::{Burst, Callers, is_cancel_confirmed};
pub use daemon::{Daemon, daemon_name};
pub use faults::{Fault, StoreHealth};
pub use islands::{CutDirection, IslandCut};
pub use machine::Machine;

use daemon::peer_address;
use faults::{draw_faults, draw_planned_changes, draw_slow_links};

use crate::invariants::{Invariant, Scope, Violation, find_violations};
use crate::platform::StandInPlatform;
use crate::trace::Observation;
use crate::workload::Workload;

/// Time that passes per round, in milliseconds.
const ROUND_MS: u64 = 4;

/// Longest delivery time of a message, in milliseconds.
const MAX_MESSAGE_DELAY_MS: u64 = 6;

/// Time at which callers begin to submit jobs, in milliseconds.
const TRAFFIC_START_MS: u64 = 4_000;

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
    /// Machines of the daemons by number; those that are missing have no limits.
    pub machines: Vec<Machine>,
    /// Time over which the starts of daemons spread that start together, in milliseconds.
    pub start_spread_ms: u64,
    /// Times at which callers submit many jobs.
    pub bursts: Vec<Burst>,
    /// Greatest length that the arguments of jobs have beside their names, in bytes.
    pub max_argument_bytes: usize,
    /// Share of the submitted jobs that run very many times and are cancelled later, from 0 to 1.
    pub series_share: f64,
    /// Share of the submitted jobs whose tasks take seven times as long, from 0 to 1.
    pub long_share: f64,
    /// Jobs with a task that crashes its hosts; `None` for no such jobs.
    pub deadly_jobs: Option<DeadlyJobs>,
    /// Time after which callers leave a submission without an answer and cancel the job, in milliseconds. `None` if
    /// they submit it again.
    pub leave_after_ms: Option<u64>,
}

/// Jobs of which one task ends the process of each host that starts it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeadlyJobs {
    /// Share of the submitted jobs, from 0 to 1.
    pub share: f64,
    /// Time during which they are submitted, in milliseconds.
    pub span_ms: Span,
}

/// Span of simulated time, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// First millisecond.
    pub from_ms: u64,
    /// First millisecond after it.
    pub until_ms: u64,
}

impl Span {
    /// Returns whether a time lies within the span.
    #[must_use]
    pub fn contains(self, at_ms: u64) -> bool {
        (self.from_ms..self.until_ms).contains(&at_ms)
    }
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
            machines: Vec::new(),
            start_spread_ms: 0,
            bursts: Vec::new(),
            max_argument_bytes: 0,
            series_share: 0.0,
            long_share: 0.0,
            deadly_jobs: None,
            leave_after_ms: None,
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
    /// Daemons and hosts that are or were cut off together.
    islands: Vec<islands::Island>,
    /// Times at which faults were injected or active.
    fault_history: faults::FaultHistory,
}

/// Time around a fault in which incomplete gang starts are allowed, in milliseconds.
///
/// It applies both before and after the fault.
const GANG_EXEMPTION_MS: u64 = 6_000;

impl Simulation {
    /// Creates a simulation. Its daemons have started, or do so within the spread of the scenario.
    #[must_use]
    pub fn new(seed: u64, scenario: Scenario) -> Self {
        let addresses: Vec<String> = (0..scenario.hosts).map(host_address).collect();
        let machine = |number| scenario.machines.get(number).copied().unwrap_or_default();
        let daemons =
            (0..scenario.daemons).filter_map(|number| Daemon::new(number, machine(number))).collect();
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
            islands: Vec::new(),
            fault_history: faults::FaultHistory::default(),
        };
        for daemon in 0..sim.daemons.len() {
            match sim.draw_start_delay_ms() {
                0 => sim.start_daemon(daemon),
                delay_ms => sim.daemons[daemon].restart_at_ms = Some(sim.now_ms + delay_ms),
            }
        }
        sim
    }

    /// Runs the whole scenario and returns the violated invariants.
    pub fn run(&mut self) -> Vec<Violation> {
        let end_ms = TRAFFIC_START_MS + self.scenario.traffic_ms + self.scenario.settle_ms;
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
        for address in self.platform.take_crashed_hosts() {
            self.fail_host_calls(&address);
        }
        self.send_caller_requests();
        self.deliver_due_messages();
        self.answer_pending_calls();
        self.connect_waiting_calls();
        for daemon in 0..self.daemons.len() {
            self.run_daemon(daemon);
        }
    }

    /// Draws the delay of a daemon that starts together with others, in milliseconds.
    fn draw_start_delay_ms(&mut self) -> u64 {
        match self.scenario.start_spread_ms {
            0 => 0,
            spread_ms => self.rng.random_range(0..=spread_ms),
        }
    }

    /// Returns the number of the daemon that holds the slice.
    #[must_use]
    pub fn holder(&self) -> Option<usize> {
        self.daemons
            .iter()
            .position(|daemon| daemon.app.as_ref().is_some_and(|app| app.world().holding.is_holding()))
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
                if let PeerMessage::StartBatch(batch) = &message {
                    self.record_relayed_starts(daemon, daemon_started_unix_ms, batch);
                }
                if self.now_ms >= self.daemons[daemon].cut_from_peers_until_ms {
                    self.send_peer(daemon, &address, Event::PeerMessageReceived { from, message });
                }
            }
            Effect::WriteLog(log_record) => self.record_log(daemon, log_record),
            // No operator declares anything in the simulation, and callers use a connection for each call.
            Effect::AnswerDeclareCall { .. } | Effect::CloseCallerConnections | Effect::UseConfig(_) => {}
            Effect::Exit => {
                let restart_at_ms = self.now_ms + 500;
                self.kill_daemon(daemon, restart_at_ms);
            }
        }
    }

    /// Records the start orders that a holder gives to another daemon.
    fn record_relayed_starts(&mut self, daemon: usize, daemon_started_unix_ms: u64, batch: &StartBatch) {
        for start in &batch.starts {
            let observation = Observation::StartRelayed {
                host: start.host_name.clone(),
                daemon,
                daemon_started_unix_ms,
                relay: batch.relay.member.clone(),
                fence: start.fence.0,
                task: TaskName { step: batch.step, index: start.task_index },
                run: start.run_number,
            };
            self.platform.trace.record(self.now_ms, observation);
        }
    }

    fn record_log(&mut self, daemon: usize, log_record: LogRecord) {
        if log_record.event == EventId::HostUnresponsive
            && let Some((_, name)) = log_record.fields.iter().find(|(name, _)| *name == "host")
            && let Ok(host) = HostName::new(name)
        {
            self.platform.trace.record(self.now_ms, Observation::HostUnresponsive { host, daemon });
        }
        self.log.push((self.now_ms, daemon, log_record));
    }

    /// Identifies a daemon as the sender of a message to its peers.
    fn sender(&self, daemon: usize, daemon_started_unix_ms: u64) -> PeerSender {
        let incarnation = Incarnation {
            member: self.daemons[daemon].name.clone(),
            started_unix_ms: daemon_started_unix_ms,
        };
        PeerSender { incarnation, address: peer_address(daemon) }
    }

    fn send_peer(&mut self, from: usize, address: &str, event: Event) {
        let number = address
            .strip_prefix("10.1.0.")
            .and_then(|rest| rest.split(':').next())
            .and_then(|text| text.parse::<usize>().ok());
        if let Some(daemon) = number.filter(|number| *number < self.daemons.len())
            && self.now_ms >= self.daemons[daemon].cut_from_peers_until_ms
            && !self.loses_peer_message(from, daemon)
        {
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

/// Returns the address at which a host accepts orders.
fn host_address(host: usize) -> String {
    format!("10.9.{}.{}:8080", host / 256, host % 256)
}
