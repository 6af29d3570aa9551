//! The platform in one: store, hosts and the advice service.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use cassiahoist_core::prelude::*;
use cassiahoist_world::orders::HostOrder;
use rustc_hash::FxHashSet;
use serde_json::json;

use crate::runner::{Mood, Runner};
use crate::store::Store;
use crate::trace::{Fact, HostView, Trace};
use crate::workload::{Truth, Workload, config_json};

/// A host and how it is registered.
#[derive(Clone, Debug)]
pub struct Machine {
    /// The host.
    pub runner: Runner,
    /// Its address, as `ip:port`.
    pub address: String,
    /// Until when nothing reaches it, in milliseconds.
    pub dark_until_ms: u64,
    /// Whether it says that it is leaving.
    pub draining: bool,
}

/// The platform.
#[derive(Clone, Debug)]
pub struct Platform {
    /// The store.
    pub store: Store,
    /// The hosts.
    pub machines: Vec<Machine>,
    /// What is true of all jobs.
    pub truth: Truth,
    /// What callers and hosts saw.
    pub trace: Trace,
    /// Versions of the configuration that were written.
    pub versions: Vec<u64>,
}

/// Wall clock at time 0, in milliseconds since the epoch.
pub const EPOCH_MS: u64 = 1_700_000_000_000;

impl Platform {
    /// Creates a platform with hosts at the addresses given, and its first configuration.
    #[must_use]
    pub fn new(addresses: &[String], workload: Workload, now_ms: u64) -> Self {
        let machines = addresses
            .iter()
            .enumerate()
            .filter_map(|(number, address)| {
                let name = HostName::new(&format!("i-{number:04x}")).ok()?;
                let rack = format!("r1-{}", number / 4);
                let capacity = Resources::new(16_000, 64_000, 0);
                let unix_ms = EPOCH_MS + now_ms + number as u64;
                let runner = Runner::new(name, capacity, &rack, unix_ms, now_ms);
                Some(Machine { runner, address: address.clone(), dark_until_ms: 0, draining: false })
            })
            .collect();
        let truth = Truth { workload, ..Truth::default() };
        let mut platform =
            Self { store: Store::new(), machines, truth, trace: Trace::default(), versions: Vec::new() };
        platform.configure(1, now_ms);
        for number in 0..platform.machines.len() {
            platform.register(number, now_ms);
        }
        platform
    }

    /// Writes a configuration.
    pub fn configure(&mut self, version: u64, now_ms: u64) {
        let config = config_json(version, self.truth.workload);
        self.store.put("op/config", STANDARD.encode(config.to_string()));
        self.versions.push(version);
        self.trace.note(now_ms, Fact::Configured { version });
    }

    /// Writes a host's entry.
    pub fn register(&mut self, number: usize, now_ms: u64) {
        let workload = self.truth.workload;
        let machine = &self.machines[number];
        let runner = &machine.runner;
        let entry = json!({
            "service": workload.host_pool(number), "address": machine.address, "zone": "obihiro", "version": "v1", "slots": 8,
            "state": if machine.draining { "draining" } else { "ready" }, "coldLeftMs": 0,
            "born": runner.born_unix_ms,
            "capacity": {
                "cpu": runner.capacity.cpu_milli, "memMb": runner.capacity.memory_mib, "gpu": 0
            },
            "labels": [workload.host_label(number), runner.rack], "seq": 1,
        });
        self.store.put(&format!("servers/{}", runner.name), STANDARD.encode(entry.to_string()));
        self.note_view(number, now_ms);
    }

    /// Changes how a host behaves.
    pub fn set_mood(&mut self, number: usize, mood: Mood, now_ms: u64) {
        self.machines[number].runner.mood = mood;
        self.note_view(number, now_ms);
    }

    fn note_view(&mut self, number: usize, now_ms: u64) {
        let machine = &self.machines[number];
        let view = HostView {
            pool: self.truth.workload.host_pool(number),
            label: self.truth.workload.host_label(number),
            leaving: machine.draining,
            sound: machine.runner.mood == Mood::Sound,
        };
        self.trace.note(now_ms, Fact::Registered { host: machine.runner.name.clone(), view });
    }

    /// Lets time pass for all hosts.
    pub fn advance(&mut self, now_ms: u64) {
        self.store.advance(now_ms);
        let before = self.trace.facts.len();
        let members = self.gang_members();
        let truth = &self.truth;
        let ready = |task: &str, number: u64| {
            let Some((step, _)) = task.rsplit_once('.') else { return false };
            let Ok(name) = task.parse::<TaskName>() else { return false };
            let wanted = truth
                .jobs
                .get(&name.step.job)
                .and_then(|job| job.steps.get(usize::from(name.step.step)))
                .map_or(0, |step| step.tasks as usize);
            members.iter().filter(|(of, run)| of == step && *run == number).count() == wanted
        };
        for machine in &mut self.machines {
            machine.runner.advance(now_ms, &ready, &mut self.trace);
        }
        self.break_gangs(before, now_ms);
    }

    fn gang_members(&self) -> Vec<(String, u64)> {
        self.machines
            .iter()
            .flat_map(|machine| machine.runner.gang_members())
            .map(|(step, number)| (step.to_owned(), number))
            .collect()
    }

    /// A gang's run ends everywhere once a member has ended otherwise than with the others.
    fn break_gangs(&mut self, before: usize, now_ms: u64) {
        let broken: FxHashSet<(String, u64)> = self.trace.facts[before..]
            .iter()
            .filter_map(|(_, fact)| match fact {
                Fact::Ended { task, run, how, .. } if *how != "done" => {
                    let gang = self.truth.of(task).is_some_and(|truth| truth.gang);
                    let step = task.rsplit_once('.')?.0.to_owned();
                    gang.then_some((step, *run))
                }
                _ => None,
            })
            .collect();
        for (step, number) in broken {
            for machine in &mut self.machines {
                machine.runner.break_gang(&step, number, now_ms, &mut self.trace);
            }
        }
    }

    /// Notes who gave an order, if its host takes the fencing token.
    pub fn note_order(&mut self, order: &HostOrder, daemon: usize, life: u64, now_ms: u64) {
        let Some(machine) = self.machine_at(&order.address) else { return };
        let runner = &self.machines[machine].runner;
        if runner.takes_fence(order.fence.0) {
            let fact = Fact::Ordered { host: runner.name.clone(), daemon, life, fence: order.fence.0 };
            self.trace.note(now_ms, fact);
        }
    }

    /// Finds a host by address.
    #[must_use]
    pub fn machine_at(&self, address: &str) -> Option<usize> {
        self.machines.iter().position(|machine| machine.address == address)
    }
}
