//! A seeded simulation: the daemons' tables and systems, the platform's stand-ins and callers, in one thread.
//!
//! Time is given. Every message passes through the platform's adapter, so that its forms are exercised as well.

mod callers;
mod calls;
mod faults;

use std::collections::BTreeMap;

use cassiahoist_core::prelude::*;
use cassiahoist_daemon::{RUN_LEASE_LIMIT_MS, build_app};
use cassiahoist_world::app::App;
use cassiahoist_world::effect::{Effect, LogNote};
use cassiahoist_world::event::Event;
use cassiahoist_world::local::{Local, StopState};
use cassiahoist_world::peer::Sender;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustc_hash::FxHashMap;

pub use callers::Callers;
pub use faults::{Fault, StoreMood};

use faults::{draw_changes, draw_faults};

use crate::platform::{EPOCH_MS, Platform};
use crate::verdict::{Promise, Scope, Violation, judge};
use crate::workload::Workload;

/// Length of one round, in milliseconds.
const ROUND_MS: u64 = 4;

/// Longest way of a message, in milliseconds.
const MAX_WAY_MS: u64 = 6;

/// Hosts of a day with the varied workload.
const VARIED_HOSTS: usize = 12;

/// What a simulation plays.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of hosts.
    pub hosts: usize,
    /// Time in which callers hand in jobs, in milliseconds.
    pub traffic_ms: u64,
    /// Time after that in which jobs get done, in milliseconds.
    pub settle_ms: u64,
    /// Mean time between jobs, in milliseconds.
    pub job_every_ms: u64,
    /// What callers ask for.
    pub workload: Workload,
    /// Faults and when they come, in milliseconds.
    pub faults: Vec<(u64, Fault)>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            daemons: 4,
            hosts: 8,
            traffic_ms: 12_000,
            settle_ms: 25_000,
            job_every_ms: 250,
            workload: Workload::Plain,
            faults: Vec::new(),
        }
    }
}

impl Plan {
    /// Draws the day of a seed.
    #[must_use]
    pub fn draw(seed: u64, workload: Workload) -> Self {
        let mut plan = Self { workload, ..Self::default() };
        let mut rng = SmallRng::seed_from_u64(seed);
        draw_faults(&mut plan, &mut rng);
        if workload == Workload::Varied {
            // Each of the two pools has to carry the batches.
            plan.hosts = VARIED_HOSTS;
            draw_changes(&mut plan, &mut rng);
        }
        plan
    }
}

/// One daemon of the simulation.
#[derive(Debug)]
pub struct Daemon {
    /// Its tables; nothing while its process is down.
    pub app: Option<App>,
    /// Its name.
    pub name: MemberName,
    /// Start of its present life, in milliseconds since the epoch.
    pub life: u64,
    /// Until when its process stands still, in milliseconds.
    pub frozen_until_ms: u64,
    /// When its process starts again, in milliseconds.
    pub restart_at_ms: Option<u64>,
    /// Until when it does not reach the store, in milliseconds.
    pub cut_until_ms: u64,
    ticked_ms: u64,
    waiting: Vec<Event>,
}

/// Longest sleep of a control thread, in milliseconds.
const MAX_SLEEP_MS: u64 = 1_000;

/// A message on its way.
#[derive(Debug)]
enum Way {
    /// To a daemon's control, in the life given.
    ToDaemon { daemon: usize, life: u64, event: Event },
    /// To the store or a host.
    ToPlatform(u64),
}

/// The simulation.
#[derive(Debug)]
pub struct Sim {
    /// The present time, in milliseconds.
    pub now_ms: u64,
    /// Daemons.
    pub daemons: Vec<Daemon>,
    /// The platform.
    pub platform: Platform,
    /// How the store behaves.
    pub store_mood: StoreMood,
    /// Log events of all daemons.
    pub log: Vec<(u64, usize, LogNote)>,
    /// Callers.
    pub callers: Callers,
    rng: SmallRng,
    plan: Plan,
    ways: BTreeMap<(u64, u64), Way>,
    last_way: u64,
    calls: FxHashMap<u64, calls::OpenCall>,
    /// Spans of faults, in milliseconds.
    harm: faults::Harm,
}

/// Time after a fault in which a gang may be broken up without blame, in milliseconds.
const GANG_EXEMPT_MS: u64 = 6_000;

impl Sim {
    /// Sets a simulation up.
    #[must_use]
    pub fn new(seed: u64, plan: Plan) -> Self {
        let addresses: Vec<String> = (0..plan.hosts).map(|number| format!("10.9.0.{number}:8080")).collect();
        let daemons = (0..plan.daemons).filter_map(new_daemon).collect();
        let mut sim = Self {
            now_ms: 1_000,
            daemons,
            platform: Platform::new(&addresses, plan.workload, 1_000),
            store_mood: StoreMood::default(),
            log: Vec::new(),
            callers: Callers::default(),
            rng: SmallRng::seed_from_u64(seed),
            plan,
            ways: BTreeMap::new(),
            last_way: 0,
            calls: FxHashMap::default(),
            harm: faults::Harm::default(),
        };
        for daemon in 0..sim.daemons.len() {
            sim.start_daemon(daemon);
        }
        sim
    }

    /// Plays everything and judges it.
    pub fn play(&mut self) -> Vec<Violation> {
        let end_ms = 4_000 + self.plan.traffic_ms + self.plan.settle_ms;
        while self.now_ms < end_ms {
            self.round();
        }
        let mut found = judge(&self.platform.trace, &self.platform.truth, self.now_ms);
        found.retain(|violation| match (violation.promise, violation.scope) {
            (Promise::Gang, _) => !self.harm.struck_within(violation.at_ms, GANG_EXEMPT_MS),
            (_, Scope::Always) => true,
            (_, Scope::InTouch) => self.harm.is_calm(violation.at_ms),
        });
        found
    }

    /// Plays until a time, in milliseconds.
    pub fn play_until(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.round();
        }
    }

    fn round(&mut self) {
        self.now_ms += ROUND_MS;
        self.strike();
        self.platform.advance(self.now_ms);
        self.call_daemons();
        self.carry();
        self.answer_waiting_calls();
        for daemon in 0..self.daemons.len() {
            self.run_daemon(daemon);
        }
    }

    /// Starts a daemon's process.
    pub fn start_daemon(&mut self, number: usize) {
        let life = EPOCH_MS + self.now_ms;
        let daemon = &mut self.daemons[number];
        daemon.life = life;
        daemon.restart_at_ms = None;
        let Ok(domain) = FailureDomain::new("obihiro") else { return };
        daemon.app = Some(build_app(Local {
            incarnation: Incarnation { member: daemon.name.clone(), number: life },
            domain,
            peer_address: peer_address(number),
            bounds: Bounds { run_lease_ms: RUN_LEASE_LIMIT_MS, ..Bounds::default() },
            limits: Limits::default(),
            stop: StopState::Running,
            unix_ms: life,
        }));
    }

    /// Ends a daemon's process; it starts again at a time, in milliseconds.
    pub fn kill_daemon(&mut self, number: usize, restart_at_ms: u64) {
        let daemon = &mut self.daemons[number];
        daemon.app = None;
        daemon.waiting.clear();
        daemon.restart_at_ms = Some(restart_at_ms);
        self.callers.lose_daemon(number);
    }

    /// Finds the daemon that holds the slice.
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
        if now_ms < daemon.frozen_until_ms {
            return;
        }
        let Some(app) = &mut daemon.app else { return };
        let wake_ms = app.wake_at_ms().min(daemon.ticked_ms + MAX_SLEEP_MS);
        if daemon.waiting.is_empty() && now_ms < wake_ms {
            return;
        }
        daemon.ticked_ms = now_ms;
        for event in daemon.waiting.drain(..) {
            app.receive(event);
        }
        app.tick(now_ms, EPOCH_MS + now_ms);
        let life = daemon.life;
        for effect in app.take_effects() {
            self.carry_out(number, life, effect);
        }
    }

    fn carry_out(&mut self, daemon: usize, life: u64, effect: Effect) {
        match effect {
            Effect::Answer { call, answer } => self.hear_answer(daemon, call, answer),
            Effect::Store { call, started_ms } => self.send_store_call(daemon, life, call, started_ms),
            Effect::Order { order, started_ms } => self.send_order(daemon, life, *order, started_ms),
            Effect::Advise { call, reply_to } => self.send_advice_call(daemon, life, &call, reply_to),
            Effect::Peer { address, message } => {
                let from = self.sender(daemon, life);
                self.send_peer(&address, Event::Peer { from, message });
            }
            Effect::Log(note) => self.log.push((self.now_ms, daemon, note)),
            // No operator declares anything in the simulation.
            Effect::Declared { .. } => {}
            Effect::Exit => {
                let restart_at_ms = self.now_ms + 500;
                self.kill_daemon(daemon, restart_at_ms);
            }
        }
    }

    /// Tells who a daemon is to its peers.
    fn sender(&self, daemon: usize, life: u64) -> Sender {
        let incarnation = Incarnation { member: self.daemons[daemon].name.clone(), number: life };
        Sender { incarnation, address: peer_address(daemon) }
    }

    fn send_peer(&mut self, address: &str, event: Event) {
        let number = address
            .strip_prefix("10.1.0.")
            .and_then(|rest| rest.split(':').next())
            .and_then(|text| text.parse::<usize>().ok());
        if let Some(daemon) = number.filter(|number| *number < self.daemons.len()) {
            let life = self.daemons[daemon].life;
            self.deliver(daemon, life, event, 0);
        }
    }

    /// Puts an event on its way to a daemon, to arrive no earlier than `not_before_ms`.
    fn deliver(&mut self, daemon: usize, life: u64, event: Event, not_before_ms: u64) {
        let way = Way::ToDaemon { daemon, life, event };
        self.send(way, not_before_ms);
    }

    fn send(&mut self, way: Way, not_before_ms: u64) {
        let way_ms = self.rng.random_range(1..=MAX_WAY_MS);
        self.last_way += 1;
        let at_ms = (self.now_ms + way_ms).max(not_before_ms);
        self.ways.insert((at_ms, self.last_way), way);
    }

    fn carry(&mut self) {
        while let Some(entry) = self.ways.first_entry() {
            if entry.key().0 > self.now_ms {
                return;
            }
            match entry.remove() {
                Way::ToDaemon { daemon, life, event } => {
                    let daemon = &mut self.daemons[daemon];
                    if daemon.app.is_some() && daemon.life == life {
                        daemon.waiting.push(event);
                    }
                }
                Way::ToPlatform(call) => self.arrive(call),
            }
        }
    }
}

/// Gives the address at which a daemon listens for peers.
fn peer_address(daemon: usize) -> String {
    format!("10.1.0.{daemon}:7720")
}

fn new_daemon(number: usize) -> Option<Daemon> {
    Some(Daemon {
        app: None,
        name: MemberName::new(&format!("edge-{number}")).ok()?,
        life: 0,
        frozen_until_ms: 0,
        restart_at_ms: None,
        cut_until_ms: 0,
        ticked_ms: 0,
        waiting: Vec::new(),
    })
}
