//! Stand-in platform: store, hosts and configuration.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use cassiahoist_core::prelude::*;
use cassiahoist_world::orders::{HostOrder, Order};
use rustc_hash::{FxHashMap, FxHashSet};
use serde_json::json;

use crate::host::{HostHealth, StandInHost};
use crate::store::StandInStore;
use crate::trace::{HostState, Observation, Trace};
use crate::workload::{GroundTruth, Workload, config_json};

/// A host and its registration in the store.
#[derive(Clone, Debug)]
pub struct RegisteredHost {
    /// State of the host's current incarnation.
    pub host: StandInHost,
    /// Address as `ip:port`, under which daemons call the host.
    pub address: String,
    /// Time until which no call reaches the host, in milliseconds.
    pub unreachable_until_ms: u64,
    /// Failure domain that its entry names.
    pub failure_domain: &'static str,
    /// Whether its entry reports that it is draining.
    pub draining: bool,
    /// Delay of the orders that are sent to it; `None` if they arrive at once.
    pub late_orders: Option<LateOrders>,
    /// Time at which it writes its entry after a restart, in milliseconds; `None` if none is due.
    pub entry_due_ms: Option<u64>,
    /// Time at which its crashed process starts again, in milliseconds; `None` while it runs.
    ///
    /// Until then connections are refused.
    pub starts_at_ms: Option<u64>,
}

/// Orders to one host that take effect late, without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateOrders {
    /// Time until which orders that are sent are late, in milliseconds.
    pub until_ms: u64,
    /// Time after which each of them takes effect, in milliseconds.
    pub delay_ms: u64,
}

/// Stand-in platform with its ground truth and its trace.
#[derive(Clone, Debug)]
pub struct StandInPlatform {
    /// Store that daemons read and write.
    pub store: StandInStore,
    /// Hosts by number; faults refer to them by this number.
    pub registered_hosts: Vec<RegisteredHost>,
    /// Numbers of the hosts by address, as `ip:port`.
    hosts_by_address: FxHashMap<String, usize>,
    /// Actual behaviour of all jobs, against which the trace is checked.
    pub ground_truth: GroundTruth,
    /// Everything that callers and hosts observed.
    pub trace: Trace,
    /// Every configuration version written, in order of writing; may decrease.
    pub config_versions: Vec<u64>,
    /// Addresses of the hosts that have crashed since they were last taken.
    crashed_hosts: Vec<String>,
}

/// Time for which a host is down after a task has crashed it, in milliseconds.
const DEADLY_DOWN_MS: u64 = 3_300;

/// Failure domain of hosts that are given no other.
const DEFAULT_FAILURE_DOMAIN: &str = "obihiro";

/// Wall clock at simulation time 0, in milliseconds since the epoch.
pub const TIME_ZERO_UNIX_MS: u64 = 1_700_000_000_000;

impl StandInPlatform {
    /// Creates a platform with one host per address and writes configuration version 1.
    #[must_use]
    pub fn new(addresses: &[String], workload: Workload, now_ms: u64) -> Self {
        let registered_hosts = addresses
            .iter()
            .enumerate()
            .filter_map(|(number, address)| {
                let name = HostName::new(&format!("i-{number:04x}")).ok()?;
                let rack = format!("r1-{}", number / 4);
                let capacity = Resources::new(16_000, 64_000, 0);
                let unix_ms = TIME_ZERO_UNIX_MS + now_ms + number as u64;
                let host = StandInHost::new(name, capacity, &rack, unix_ms, now_ms);
                Some(RegisteredHost {
                    host,
                    address: address.clone(),
                    unreachable_until_ms: 0,
                    failure_domain: DEFAULT_FAILURE_DOMAIN,
                    draining: false,
                    late_orders: None,
                    entry_due_ms: None,
                    starts_at_ms: None,
                })
            })
            .collect();
        let ground_truth = GroundTruth { workload, ..GroundTruth::default() };
        let mut platform = Self {
            store: StandInStore::new(),
            registered_hosts,
            hosts_by_address: addresses.iter().cloned().zip(0..).collect(),
            ground_truth,
            trace: Trace::default(),
            config_versions: Vec::new(),
            crashed_hosts: Vec::new(),
        };
        platform.write_config(1, now_ms);
        for number in 0..platform.registered_hosts.len() {
            platform.write_host_entry(number, now_ms);
        }
        platform
    }

    /// Writes a configuration to the store.
    pub fn write_config(&mut self, version: u64, now_ms: u64) {
        let config = config_json(version, self.ground_truth.workload);
        self.store.put("op/config", STANDARD.encode(config.to_string()));
        self.config_versions.push(version);
        self.trace.record(now_ms, Observation::ConfigWritten { version });
    }

    /// Writes a host's entry to the store.
    pub fn write_host_entry(&mut self, number: usize, now_ms: u64) {
        let workload = self.ground_truth.workload;
        let registered = &self.registered_hosts[number];
        let host = &registered.host;
        let entry = json!({
            "service": workload.host_pool(number), "address": registered.address, "zone": registered.failure_domain, "version": "v1", "slots": 8,
            "state": if registered.draining { "draining" } else { "ready" }, "coldLeftMs": 0,
            "born": host.started_unix_ms,
            "capacity": {
                "cpu": host.capacity.cpu_milli, "memMb": host.capacity.memory_mib, "gpu": 0
            },
            "labels": [workload.host_label(number), host.rack], "seq": 1,
        });
        self.store.put(&format!("servers/{}", host.name), STANDARD.encode(entry.to_string()));
        self.record_host_state(number, now_ms);
    }

    /// Writes the entries of restarted hosts that are due.
    pub fn write_due_entries(&mut self, now_ms: u64) {
        for number in 0..self.registered_hosts.len() {
            let registered = &mut self.registered_hosts[number];
            if registered.entry_due_ms.take_if(|due_ms| now_ms >= *due_ms).is_some() {
                self.write_host_entry(number, now_ms);
            }
        }
    }

    /// Gives the hosts failure domains in turn, and writes their entries.
    pub fn assign_failure_domains(&mut self, domains: &[&'static str], now_ms: u64) {
        for number in 0..self.registered_hosts.len() {
            self.registered_hosts[number].failure_domain = domains[number % domains.len()];
            self.write_host_entry(number, now_ms);
        }
    }

    /// Writes the entry of a host that was removed, unless its process is down and writes it later.
    pub fn register_host(&mut self, number: usize, now_ms: u64) {
        let registered = &mut self.registered_hosts[number];
        registered.draining = false;
        if registered.starts_at_ms.is_none() {
            self.write_host_entry(number, now_ms);
        }
    }

    /// Removes a host's entry from the store; its process goes on.
    pub fn deregister_host(&mut self, number: usize, now_ms: u64) {
        let registered = &mut self.registered_hosts[number];
        registered.draining = true;
        let key = format!("servers/{}", registered.host.name);
        self.store.remove(&key);
        self.record_host_state(number, now_ms);
    }

    /// Records that hosts are cut off together with daemons until a time in milliseconds.
    pub fn record_cut(&mut self, hosts: impl Iterator<Item = usize>, until_ms: u64, now_ms: u64) {
        let hosts = hosts.map(|number| self.registered_hosts[number].host.name.clone()).collect();
        self.trace.record(now_ms, Observation::HostsCutOff { hosts, until_ms });
    }

    /// Changes how a host misbehaves.
    pub fn set_host_health(&mut self, number: usize, health: HostHealth, now_ms: u64) {
        self.registered_hosts[number].host.health = health;
        self.record_host_state(number, now_ms);
    }

    fn record_host_state(&mut self, number: usize, now_ms: u64) {
        let registered = &self.registered_hosts[number];
        let state = HostState {
            pool: self.ground_truth.workload.host_pool(number),
            label: self.ground_truth.workload.host_label(number),
            draining: registered.draining,
            healthy: registered.host.health == HostHealth::Healthy,
        };
        self.trace.record(now_ms, Observation::HostRegistered { host: registered.host.name.clone(), state });
    }

    /// Advances the store and all hosts to a time.
    pub fn advance(&mut self, now_ms: u64) {
        self.store.advance(now_ms);
        self.start_crashed_hosts(now_ms);
        self.write_due_entries(now_ms);
        let first_observation = self.trace.observations.len();
        let members = self.gang_members();
        let ground_truth = &self.ground_truth;
        let is_gang_complete = |task: &str, number: u64| {
            let Some((step, _)) = task.rsplit_once('.') else { return false };
            let Ok(name) = task.parse::<TaskName>() else { return false };
            let member_count = ground_truth
                .jobs
                .get(&name.step.job)
                .and_then(|job| job.steps.get(usize::from(name.step.index)))
                .map_or(0, |step| step.tasks as usize);
            members.get(&(step.to_owned(), number)).copied().unwrap_or_default() == member_count
        };
        for registered in &mut self.registered_hosts {
            registered.host.advance(now_ms, &is_gang_complete, &mut self.trace);
        }
        for number in 0..self.registered_hosts.len() {
            if self.registered_hosts[number].host.is_crashing(now_ms) {
                self.crash_host(number, DEADLY_DOWN_MS, now_ms);
            }
        }
        self.break_gangs(first_observation, now_ms);
    }

    /// Ends the process of a host, which starts again after a time. Meanwhile it refuses connections.
    pub fn crash_host(&mut self, number: usize, down_ms: u64, now_ms: u64) {
        let registered = &mut self.registered_hosts[number];
        registered.host.crash(now_ms, &mut self.trace);
        registered.starts_at_ms = Some(now_ms + down_ms);
        self.crashed_hosts.push(registered.address.clone());
    }

    /// Takes the addresses of the hosts that have crashed since the last call.
    pub fn take_crashed_hosts(&mut self) -> Vec<String> {
        std::mem::take(&mut self.crashed_hosts)
    }

    /// Starts the processes of crashed hosts that are due. Those with an odd number come back under another name.
    fn start_crashed_hosts(&mut self, now_ms: u64) {
        for number in 0..self.registered_hosts.len() {
            let registered = &mut self.registered_hosts[number];
            if registered.starts_at_ms.take_if(|at_ms| now_ms >= *at_ms).is_none() {
                continue;
            }
            registered.host.restart(TIME_ZERO_UNIX_MS + now_ms, now_ms, &mut self.trace);
            registered.entry_due_ms = Some(now_ms);
            if number % 2 == 1
                && let Ok(name) = HostName::new(&format!("i-{number:04x}-{now_ms}"))
            {
                let earlier_name = std::mem::replace(&mut registered.host.name, name);
                self.store.remove(&format!("servers/{earlier_name}"));
            }
        }
    }

    /// Counts the running gang members by step name and run number.
    fn gang_members(&self) -> FxHashMap<(String, u64), usize> {
        let mut counts = FxHashMap::default();
        for registered in &self.registered_hosts {
            for (step, number) in registered.host.gang_members() {
                *counts.entry((step.to_owned(), number)).or_default() += 1;
            }
        }
        counts
    }

    /// Ends a gang's run everywhere once a member has ended without being `done`.
    fn break_gangs(&mut self, first_observation: usize, now_ms: u64) {
        let broken: FxHashSet<(String, u64)> = self.trace.observations[first_observation..]
            .iter()
            .filter_map(|(_, observation)| match observation {
                Observation::RunEnded { task, run, ending, .. } if *ending != "done" => {
                    let gang = self.ground_truth.find_task(task).is_some_and(|actual| actual.gang);
                    let step = task.rsplit_once('.')?.0.to_owned();
                    gang.then_some((step, *run))
                }
                _ => None,
            })
            .collect();
        for (step, number) in broken {
            for registered in &mut self.registered_hosts {
                registered.host.break_gang(&step, number, now_ms, &mut self.trace);
            }
        }
    }

    /// Records which daemon gave an order, if the host accepts its fencing token.
    pub fn record_order(
        &mut self,
        order: &HostOrder,
        daemon: usize,
        daemon_started_unix_ms: u64,
        now_ms: u64,
    ) {
        let Some(host_index) = self.find_host(&order.address) else { return };
        let host = &self.registered_hosts[host_index].host;
        if host.accepts_fence(order.fence.0) {
            let observation = Observation::OrderAccepted {
                host: host.name.clone(),
                daemon,
                daemon_started_unix_ms,
                fence: order.fence.0,
                start: match order.order {
                    Order::Start { task, run_number, .. } => Some((task, run_number)),
                    Order::Stop { .. } | Order::Poll { .. } | Order::SetPace { .. } => None,
                },
            };
            self.trace.record(now_ms, observation);
        }
    }

    /// Returns the number of the host at an address, as `ip:port`.
    #[must_use]
    pub fn find_host(&self, address: &str) -> Option<usize> {
        self.hosts_by_address.get(address).copied()
    }
}
