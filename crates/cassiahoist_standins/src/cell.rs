//! A whole cell of processes on loopback: stand-ins and daemons.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use cassiahoist_core::prelude::*;
use cassiahoist_settings::{
    CellSettings, DaemonSettings, LimitSettings, ListenSettings, LogSettings, PlatformSettings, Settings,
    TimingSettings,
};
use cassiahoist_world::hosts::{HostReport, HostRole};

use crate::http::get;

/// How long a cell may take to become ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// What a cell is made of.
#[derive(Clone, Debug)]
pub struct CellPlan {
    /// Fleets with their failure domains.
    pub fleets: Vec<(&'static str, Vec<&'static str>)>,
    /// Daemons, placed in the failure domains in turn.
    pub daemons: usize,
    /// Runners of each fleet.
    pub runners: usize,
    /// Workers of each fleet.
    pub workers: usize,
    /// Hosts in one rack.
    pub rack_size: usize,
    /// Timing of the daemons.
    pub timing: TimingSettings,
}

impl CellPlan {
    /// Plans a small cell of both fleets.
    #[must_use]
    pub fn new(daemons: usize) -> Self {
        Self {
            fleets: vec![
                ("tokachi", vec!["obihiro", "sapporo", "asahikawa"]),
                ("gauteng", vec!["pretoria-north", "germiston", "soweto-west", "midrand"]),
            ],
            daemons,
            runners: 4,
            workers: 4,
            rack_size: 2,
            timing: TimingSettings::default(),
        }
    }
}

/// Where the programs are.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The daemon.
    pub daemon: PathBuf,
    /// The stand-ins.
    pub stand_in: PathBuf,
}

/// One process of a cell.
#[derive(Debug)]
pub struct CellProcess {
    /// A name for messages.
    pub name: String,
    child: Child,
}

impl CellProcess {
    fn start(name: &str, command: &mut Command) -> std::io::Result<Self> {
        Ok(Self { name: name.into(), child: command.spawn()? })
    }

    /// Sends a signal.
    pub fn signal(&self, signal: libc::c_int) {
        let pid = self.child.id() as libc::pid_t;
        // SAFETY: kill takes no pointers, and the process is this one's own child that was not yet waited for.
        let _status = unsafe { libc::kill(pid, signal) };
    }

    /// Waits for the end; gives the exit code, or nothing if it did not end in time or ended by a signal.
    pub fn wait(&mut self, limit: Duration) -> Option<i32> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }

    /// Gives the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for CellProcess {
    fn drop(&mut self) {
        // A process that ended already needs no kill.
        let _killed = self.child.kill();
        let _reaped = self.child.wait();
    }
}

/// A daemon of a cell.
#[derive(Debug)]
pub struct CellDaemon {
    /// Its settings.
    pub settings: Settings,
    /// Its settings file.
    pub file: PathBuf,
    /// The process; nothing while it is stopped.
    pub process: Option<CellProcess>,
}

/// A cell of processes; they end with it.
#[derive(Debug)]
pub struct Cell {
    /// Where files are kept.
    pub folder: PathBuf,
    /// The programs.
    pub programs: Programs,
    /// Daemons.
    pub daemons: Vec<CellDaemon>,
    /// Stand-ins: store, host list, backend servers.
    pub stand_ins: Vec<CellProcess>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the host list.
    pub host_list: SocketAddr,
    /// Every backend server.
    pub hosts: Vec<HostReport>,
    /// The backend servers' log.
    pub backend_log: PathBuf,
}

/// Finds free ports of loopback.
fn free_addresses(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0))).collect::<Result<_, _>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}

fn name_error(error: impl std::error::Error + Send + Sync + 'static) -> std::io::Error {
    std::io::Error::other(error)
}

/// Lists the backend servers of a plan; names clash across fleets by design.
fn plan_hosts(plan: &CellPlan) -> std::io::Result<Vec<HostReport>> {
    let mut addresses = free_addresses(plan.fleets.len() * (plan.runners + plan.workers))?.into_iter();
    let mut hosts = Vec::new();
    for (fleet, domains) in &plan.fleets {
        let fleet = Fleet::new(fleet).map_err(name_error)?;
        let memory_mib = if fleet.as_str() == "tokachi" { 131_072 } else { 65_536 };
        for (word, count) in [("runner", plan.runners), ("worker", plan.workers)] {
            for index in 0..count {
                let rack = index / plan.rack_size;
                let role = if word == "runner" {
                    HostRole::Runner { slots: 8, connections: 64 }
                } else {
                    HostRole::Worker { capacity: Resources::new(32_000, memory_mib, 2) }
                };
                hosts.push(HostReport {
                    name: HostName::new(&fleet, &format!("{word}-{index:02}")).map_err(name_error)?,
                    role,
                    domain: FailureDomain::new(domains[rack % domains.len()]).map_err(name_error)?,
                    rack: RackName::new(&fleet, &format!("{word}-rack-{rack}")).map_err(name_error)?,
                    address: addresses.next().map(|address| address.to_string()).unwrap_or_default(),
                    leaving: false,
                });
            }
        }
    }
    Ok(hosts)
}

impl Cell {
    /// Starts a cell and waits until its daemons are ready.
    ///
    /// # Errors
    /// A process can't be started, or the cell does not become ready in time.
    pub async fn start(plan: &CellPlan, folder: &Path, programs: Programs) -> std::io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let hosts = plan_hosts(plan)?;
        let hosts_file = folder.join("hosts.json");
        std::fs::write(&hosts_file, serde_json::to_vec(&hosts).map_err(name_error)?)?;
        let backend_log = folder.join("backends.log");
        let platform = free_addresses(2)?;
        let (store, host_list) = (platform[0], platform[1]);
        let stand_in = |name: &str, arguments: &[&str]| {
            CellProcess::start(name, Command::new(&programs.stand_in).arg(name).args(arguments))
        };
        let file = hosts_file.display().to_string();
        let stand_ins = vec![
            stand_in("store", &["--listen", &store.to_string()])?,
            stand_in("hosts", &["--listen", &host_list.to_string(), "--file", &file])?,
            stand_in("backends", &["--file", &file, "--log", &backend_log.display().to_string()])?,
        ];
        let mut cell = Self {
            folder: folder.into(),
            programs,
            daemons: plan_daemons(plan, folder, PlatformSettings { store, host_list })?,
            stand_ins,
            store,
            host_list,
            hosts,
            backend_log,
        };
        for index in 0..cell.daemons.len() {
            cell.start_daemon(index)?;
        }
        cell.wait_ready().await?;
        Ok(cell)
    }

    /// Starts a daemon that is stopped.
    ///
    /// # Errors
    /// The process can't be started.
    pub fn start_daemon(&mut self, index: usize) -> std::io::Result<()> {
        let daemon = &mut self.daemons[index];
        let yaml = serde_saphyr::to_string(&daemon.settings).map_err(name_error)?;
        std::fs::write(&daemon.file, yaml)?;
        let log =
            std::fs::File::options().create(true).append(true).open(daemon.file.with_extension("log"))?;
        let mut command = Command::new(&self.programs.daemon);
        command.arg(&daemon.file).stderr(log).stdout(Stdio::null());
        daemon.process = Some(CellProcess::start(daemon.settings.daemon.name.as_str(), &mut command)?);
        Ok(())
    }

    /// Gives the callers' addresses of the daemons that run.
    #[must_use]
    pub fn doors(&self) -> Vec<SocketAddr> {
        let running = self.daemons.iter().filter(|daemon| daemon.process.is_some());
        running.map(|daemon| daemon.settings.listen.callers).collect()
    }

    /// Waits until every daemon is ready and every host is adopted by its holder.
    ///
    /// # Errors
    /// That does not come about in time.
    pub async fn wait_ready(&self) -> std::io::Result<()> {
        let until = Instant::now() + READY_LIMIT;
        while Instant::now() < until {
            if self.is_ready().await {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Err(std::io::Error::other("the cell did not become ready in time"))
    }

    async fn is_ready(&self) -> bool {
        let mut adopted = 0;
        for door in self.doors() {
            let ready = get(door, "/readyz").await.is_some_and(|page| page.status().is_success());
            let Some(page) = get(door, "/dump").await.filter(|_| ready) else {
                return false;
            };
            let dump: serde_json::Value = serde_json::from_slice(page.body()).unwrap_or_default();
            adopted += count_adopted(&dump);
        }
        adopted >= self.hosts.len()
    }
}

/// Counts hosts of a dump that are adopted under the term of a slice held there.
fn count_adopted(dump: &serde_json::Value) -> usize {
    let hosts = dump.get("hosts").and_then(serde_json::Value::as_array);
    let is_adopted = |host: &&serde_json::Value| host.pointer("/host/adoption/Adopted/term").is_some();
    hosts.map_or(0, |hosts| hosts.iter().filter(is_adopted).count())
}

fn plan_daemons(
    plan: &CellPlan,
    folder: &Path,
    platform: PlatformSettings,
) -> std::io::Result<Vec<CellDaemon>> {
    let domains: Vec<FailureDomain> = plan
        .fleets
        .iter()
        .flat_map(|(_, domains)| domains)
        .map(|domain| FailureDomain::new(domain).map_err(name_error))
        .collect::<Result<_, _>>()?;
    let fleets: Vec<Fleet> = plan
        .fleets
        .iter()
        .map(|(fleet, _)| Fleet::new(fleet).map_err(name_error))
        .collect::<Result<_, _>>()?;
    let addresses = free_addresses(2 * plan.daemons)?;
    let mut daemons = Vec::new();
    for index in 0..plan.daemons {
        let name = MemberName::new(&format!("entry-{index}")).map_err(name_error)?;
        let settings = Settings {
            daemon: DaemonSettings {
                name,
                failure_domain: domains[index % domains.len()].clone(),
                traffic_threads: 2,
            },
            cell: CellSettings {
                fleets: fleets.clone(),
                failure_domains: domains.clone(),
                identity_slices: 14,
            },
            listen: ListenSettings { callers: addresses[2 * index], peers: addresses[2 * index + 1] },
            platform,
            log: LogSettings::default(),
            timing: plan.timing,
            limits: LimitSettings::default(),
        };
        let file = folder.join(format!("entry-{index}.yaml"));
        daemons.push(CellDaemon { settings, file, process: None });
    }
    Ok(daemons)
}
