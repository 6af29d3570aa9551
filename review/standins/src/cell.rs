//! A small deployment: the platform, its runners, and the project's daemons as processes of their own.

use std::collections::HashMap;
use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Server, call};
use crate::record::Record;
use crate::runner::{Runner, Surroundings, Work, Works, unix_ms};
use crate::store::Store;

pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";

/// Failed runs of a task at which its job fails.
pub const MAX_ATTEMPTS: u32 = 4;

/// Time that a client waits for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Memory that a daemon may use; beyond it the platform kills it.
pub const MEMORY_MB: u64 = 260;

/// Processes that were started and not ended.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes and the script itself if it takes longer than it may.
pub fn limit_time(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        for id in PROCESSES.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-9", &id.to_string()]).status();
        }
        eprintln!("the case took too long");
        std::process::exit(2);
    });
}

pub struct Daemon {
    pub front: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    pub child: Option<Child>,
}

pub struct Cell {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub runners: Vec<Arc<Runner>>,
    pub daemons: Vec<Daemon>,
    pub works: Works,
    store_servers: Vec<Server>,
    folder: PathBuf,
}

impl Drop for Cell {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        for server in &mut self.store_servers {
            server.stop();
        }
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Daemon {
    /// Starts the program with the command of the deploy file.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/cassiahoist")
            .arg("--platform")
            .env("CASSIAHOIST_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        PROCESSES.lock().unwrap().push(child.id());
        self.child = Some(child);
        Ok(())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            PROCESSES.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    /// Returns the resident memory of the process, in MB.
    pub fn memory_mb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.as_ref()?.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse::<u64>().ok().map(|kb| kb / 1_024)
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(self.readiness, "GET", "/-/ready", HOST, "", Duration::from_millis(500));
        answer.is_some_and(|(status, _)| status == 200)
    }
}

/// Returns a port that is free at all addresses, with 15 free ones after it if `range`.
fn free_port(addresses: &[IpAddr], taken: &mut Vec<u16>, range: bool) -> std::io::Result<u16> {
    loop {
        let port = TcpListener::bind("127.0.0.1:0")?.local_addr()?.port();
        let last = if range { port.saturating_add(15) } else { port };
        let is_free = last < u16::MAX
            && (port..=last).all(|port| {
                !taken.contains(&port) && addresses.iter().all(|ip| TcpListener::bind((*ip, port)).is_ok())
            });
        if is_free {
            taken.extend(port..=last);
            return Ok(port);
        }
    }
}

impl Cell {
    pub fn start(
        record: &Arc<Record>,
        daemons: usize,
        capacities: &[u64],
        is_cut: impl Fn(usize, Option<usize>) -> bool + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&folder)?;
        let store = Store::new(daemons);
        let works: Works = Arc::new(Mutex::new(HashMap::new()));
        let around = Surroundings {
            works: Arc::clone(&works),
            store: Arc::clone(&store),
            record: Arc::clone(record),
            is_cut: Arc::new(is_cut),
        };
        let config = format!(
            "{{\"version\":3,\"routes\":[{{\"name\":\"r-checks\",\"host\":\"{HOST}\",\"pathPrefix\":\"{PREFIX}\",\"kind\":\"unsafe\",\"timeoutMs\":3000,\"targetLatencyMs\":250,\"priority\":0,\"service\":\"desk\",\"maxAttempts\":{MAX_ATTEMPTS},\"stretch\":1.5}}],\"services\":[{{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"rejectsOverload\":false,\"standby\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
        );
        store.put("op/config", &config);
        let own_ip = |daemon: usize| IpAddr::V4(Ipv4Addr::new(127, 0, 0, 11 + daemon as u8));
        let addresses: Vec<IpAddr> = (0..daemons).map(own_ip).collect();
        let mut taken = Vec::new();
        let [front, readiness, control] = [0; 3].map(|_: i32| free_port(&addresses, &mut taken, false));
        let (front, readiness, control) = (front?, readiness?, control?);
        let internal = free_port(&addresses, &mut taken, true)?;
        let zones = ["obihiro", "sapporo", "asahikawa"];
        let mut runners = Vec::new();
        for (index, capacity) in capacities.iter().enumerate() {
            let address: SocketAddr = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
            let zone = zones[index % zones.len()];
            runners.push(Runner::start(index, address, zone, *capacity, &around)?);
        }
        let mut store_servers = Vec::new();
        let mut rows = Vec::new();
        for daemon in 0..daemons {
            let copy = Arc::clone(&store);
            let address: SocketAddr = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
            let server =
                Server::start(address, Arc::new(move |request: &Request| copy.serve(daemon, request)))?;
            store_servers.push(server);
            let ip = addresses[daemon];
            let seeds: Vec<String> =
                addresses.iter().take(3).map(|ip| format!("\"{}\"", SocketAddr::new(*ip, control))).collect();
            let text = format!(
                "node = \"edge-{daemon}\"\nrole = \"daemon\"\nmachineClass = \"edge\"\nserves = [\"edge\",\"control\"]\nip = \"{ip}\"\nzone = \"{}\"\nregion = \"hokkaido\"\ninternalPorts = [{internal},{}]\nseeds = [{}]\nbootstrap = true\ncountsForLoss = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1500\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\"]\ncontrolMode = \"call\"\nhint = \"\"\n[zones]\nobihiro = \"hokkaido\"\nsapporo = \"hokkaido\"\nasahikawa = \"hokkaido\"\n[listen]\nfront = \"{ip}:{front}\"\nreadiness = \"{ip}:{readiness}\"\ncontrol = \"{ip}:{control}\"\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = {MEMORY_MB}\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\nseedLagS = 3\nreuseAfterS = 2\nstableWindowMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\nmaxStretchMs = 5000\nrecoverS = 12\nholdMaxMs = 6000\nstopTimeoutMs = 400\ngangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nremoteFactor = 1.5\ncheckpointS = 0.5\nrestoreMs = 100\nnoticeMs = 4500\nmigrateS = 1.5\nmaintenanceS = 2\nrequireFence = true\nleaseMs = 3000\nthawMs = 300\npaceMs = 100\nharmMs = 4000\n[platform]\naddress = \"{address}\"\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nminTtlMs = 1000\n[cloud]\naddress = \"{address}\"\nratePerS = 60.0\nduties = []\ndutyPerS = 60.0\n",
                zones[daemon % zones.len()],
                internal + 15,
                seeds.join(",")
            );
            let settings = folder.join(format!("edge-{daemon}.toml"));
            std::fs::write(&settings, text)?;
            rows.push(Daemon {
                front: SocketAddr::new(ip, front),
                readiness: SocketAddr::new(ip, readiness),
                settings,
                log: folder.join(format!("edge-{daemon}.log")),
                child: None,
            });
        }
        let mut cell =
            Self { record: Arc::clone(record), store, runners, daemons: rows, works, store_servers, folder };
        for daemon in &mut cell.daemons {
            daemon.start()?;
        }
        cell.wait_until_ready()?;
        Ok(cell)
    }

    /// Waits until all daemons are ready and one of them holds the claim.
    fn wait_until_ready(&self) -> std::io::Result<()> {
        let deadline = Instant::now() + Duration::from_secs(10);
        while Instant::now() < deadline {
            if self.store.claimant().is_some() && self.daemons.iter().all(Daemon::is_ready) {
                // Traffic starts 10 s after the machines do.
                std::thread::sleep(Duration::from_secs(8));
                self.record.line(&format!(
                    "all daemons are ready; daemon {:?} holds the claim",
                    self.store.claimant()
                ));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(std::io::Error::other("the daemons did not get ready"))
    }

    /// Closes the connections of a daemon to the store.
    pub fn reset_store_connections(&self, daemon: usize) {
        self.store_servers[daemon].drop_connections();
    }

    /// Submits a job through one daemon after another until it is accepted. Returns whether it was.
    pub fn submit(&self, id: &str, body: &str, work: Work, first: usize) -> bool {
        self.works.lock().unwrap().insert(id.to_owned(), work);
        for attempt in 0..8 {
            let daemon = (first + attempt) % self.daemons.len();
            let path = format!("{PREFIX}{id}");
            let answer = call(self.daemons[daemon].front, "POST", &path, HOST, body, CLIENT_TIMEOUT);
            let text = answer.as_ref().map_or("no answer".into(), |(status, _)| status.to_string());
            self.record.line(&format!("POST {id} at daemon {daemon}: {text}"));
            if answer.is_some_and(|(status, _)| (200..300).contains(&status)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        false
    }

    /// Asks for the state of a job; `None` without an answer of status 200.
    pub fn state(&self, id: &str, daemon: usize) -> Option<String> {
        let daemon = daemon % self.daemons.len();
        let path = format!("{PREFIX}{id}");
        let answer = call(self.daemons[daemon].front, "GET", &path, HOST, "", CLIENT_TIMEOUT);
        let text = answer.as_ref().map_or("no answer".into(), |(status, body)| format!("{status} {body}"));
        self.record.line(&format!("GET {id} at daemon {daemon}: {text}"));
        let (status, body) = answer?;
        if status != 200 {
            return None;
        }
        crate::json::parse(&body)?.text("state").map(str::to_owned)
    }
}
