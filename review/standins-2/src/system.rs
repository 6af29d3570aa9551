//! The system under test: the daemons as processes, started with the command of the deploy file, and the stand-ins.

use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, call, free_port, serve};
use crate::json::Json;
use crate::runner::{Kind, Planner, Runner};
use crate::store::Store;
use crate::trace::Trace;

/// Time after which the store carries out a write that it leaves unanswered; the pages allow 1 to 6 s.
pub const LATE_WRITE: Duration = Duration::from_secs(4);

/// Time that a client waits for an answer.
const DEADLINE: Duration = Duration::from_millis(3_000);

/// Host name and path prefix of the only queue.
const HOST: &str = "nony24.example";
const PREFIX: &str = "/lohu930/";

/// A daemon's process.
struct Daemon {
    name: String,
    front: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
    /// Whether the store turns this daemon away with 503.
    turned_away: Arc<AtomicBool>,
    /// Whether the next write of this daemon gets no answer and is carried out late.
    delays_write: Arc<AtomicBool>,
}

/// Processes that run, by their ids.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Longest time that a case may take, less than the 120 s of the review.
const LONGEST_CASE: Duration = Duration::from_secs(112);

/// Sends a signal to a process that this one has started, with the shell's own command.
fn send_signal(signal: &str, id: u32) {
    let _sent = Command::new("bash").args(["-c", &format!("kill -{signal} {id}")]).status();
}

/// Ends this process and those that it started if the case takes too long.
pub fn watch_time() {
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST_CASE);
        for id in CHILDREN.lock().unwrap().iter() {
            send_signal("KILL", *id);
        }
        println!("couldn't run: it took too long");
        std::process::exit(2);
    });
}

fn forget_child(child: &Child) {
    CHILDREN.lock().unwrap().retain(|id| *id != child.id());
}

/// The whole of a case; its processes end when it is dropped.
pub struct System {
    pub store: Store,
    pub trace: Trace,
    pub runners: Vec<Runner>,
    daemons: Vec<Daemon>,
    command: Vec<String>,
    folder: PathBuf,
}

impl Drop for System {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            if let Some(mut child) = daemon.child.take() {
                let _gone = child.kill();
                let _reaped = child.wait();
                forget_child(&child);
            }
        }
        let _left = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns the command of the deploy file's only role.
fn deploy_command() -> Option<Vec<String>> {
    let text = std::fs::read_to_string("deploy/system.toml").ok()?;
    let line = text.lines().find(|line| line.starts_with("run = "))?;
    Some(line.trim_start_matches("run = ").trim_matches('"').split(' ').map(str::to_owned).collect())
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Settings as DEPLOY.md shows them, with the bounds of the site tfcl-ops.
fn settings_text(
    name: &str,
    front: SocketAddr,
    readiness: SocketAddr,
    ports: (u16, u16),
    store_port: u16,
) -> String {
    format!(
        r#"node = "{name}"
role = "daemon"
machineClass = "edge"
serves = ["edge","control"]
ip = "127.0.0.1"
zone = "obihiro"
region = "hokkaido"
internalPorts = [{},{}]
seeds = []
bootstrap = true
countsForLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform"]
controlMode = "call"

[zones]
obihiro = "hokkaido"

[listen]
front = "{front}"
readiness = "{readiness}"
control = "127.0.0.1:{}"

[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0

[faultTolerance]
machines = 1
zones = 0
regions = 0

[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
recoverS = 12
holdMaxMs = 6000
stopTimeoutMs = 900
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteFactor = 1.5
checkpointS = 0.5
restoreMs = 100
noticeMs = 4500
migrateS = 1.5
maintenanceS = 2
requireFence = true
leaseMs = 3000
thawMs = 300
paceMs = 100
harmMs = 4000

[platform]
address = "127.0.0.1:{store_port}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
"#,
        ports.0,
        ports.1,
        free_port()
    )
}

/// The operator's configuration: one queue and one service.
fn config_text() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-3hwrr6x","host":"{HOST}","pathPrefix":"{PREFIX}","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":250,"priority":0,"service":"desk","maxAttempts":4,"stretch":1.5}}],"services":[{{"name":"desk","healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,"rejectsOverload":false,"standby":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

/// A runner to start: its rack and its kind.
pub type RunnerSpec = (&'static str, Kind);

impl System {
    /// Starts the store, the runners and the daemons, and waits until a first job was served.
    pub fn start(daemon_count: usize, runners: &[RunnerSpec], planner: &Planner) -> Result<Self, String> {
        let (store, trace) = (Store::new(), Trace::new());
        store.put("op/config", &config_text());
        let folder = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let runners = runners.iter().enumerate().map(|(number, (rack, kind))| {
            Runner::start(&format!("i-7f3a91c{number:x}"), rack, *kind, &store, &trace, planner)
        });
        let runners = runners.collect::<Result<_, _>>().map_err(|error| error.to_string())?;
        let command = deploy_command().ok_or("deploy/system.toml has no command")?;
        let mut system = Self { store, trace, runners, daemons: Vec::new(), command, folder };
        for number in 0..daemon_count {
            let name = format!("edge-obihiro-{}", number + 1);
            let (front, readiness) = (loopback(free_port()), loopback(free_port()));
            let ports = (free_port(), free_port());
            // Each daemon reaches the store at an address of its own, so that the store can turn away one of them.
            let (store_port, turned_away) = (free_port(), Arc::new(AtomicBool::new(false)));
            let delays_write = Arc::new(AtomicBool::new(false));
            let answering = system.store.clone();
            let (is_turned_away, is_delaying) = (Arc::clone(&turned_away), Arc::clone(&delays_write));
            let answer = move |request: &Request| {
                if is_turned_away.load(Ordering::SeqCst) {
                    return Some((503, "{}".into()));
                }
                if request.path() == "/-/kv-txn" && is_delaying.swap(false, Ordering::SeqCst) {
                    std::thread::sleep(LATE_WRITE);
                    let _unanswered = answering.answer(request);
                    return None;
                }
                answering.answer(request)
            };
            serve(store_port, answer).map_err(|error| error.to_string())?;
            let settings = system.folder.join(format!("{name}.toml"));
            let text = settings_text(&name, front, readiness, ports, store_port);
            std::fs::write(&settings, text).map_err(|error| error.to_string())?;
            system.daemons.push(Daemon {
                name,
                front,
                readiness,
                settings,
                child: None,
                turned_away,
                delays_write,
            });
            system.start_daemon(number)?;
        }
        system.wait_until_served()?;
        Ok(system)
    }

    /// Starts the process of a daemon.
    pub fn start_daemon(&mut self, number: usize) -> Result<(), String> {
        let daemon = &mut self.daemons[number];
        let log =
            File::options().create(true).append(true).open(self.folder.join(format!("{}.log", daemon.name)));
        let mut command = Command::new(&self.command[0]);
        command.args(&self.command[1..]).env_clear().env("CASSIAHOIST_SETTINGS", &daemon.settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let child = command.stdin(Stdio::null()).stdout(log.map_err(|error| error.to_string())?).spawn();
        let child = child.map_err(|error| format!("{}: {error}", self.command[0]))?;
        CHILDREN.lock().unwrap().push(child.id());
        daemon.child = Some(child);
        self.trace.note(format!("{} started", daemon.name));
        Ok(())
    }

    /// Stops a daemon as the platform does, with SIGTERM, and with SIGKILL after `graceS`; returns whether it ended by itself.
    pub fn terminate_daemon(&mut self, number: usize) -> bool {
        let daemon = &mut self.daemons[number];
        let Some(mut child) = daemon.child.take() else { return false };
        self.trace.note(format!("disruption: {} gets SIGTERM", daemon.name));
        send_signal("TERM", child.id());
        let until = Instant::now() + Duration::from_secs(6);
        while Instant::now() < until {
            if matches!(child.try_wait(), Ok(Some(_))) {
                forget_child(&child);
                self.trace.note(format!("{} has ended", daemon.name));
                return true;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        let _gone = child.kill();
        let _reaped = child.wait();
        forget_child(&child);
        self.trace.note(format!("{} was killed after its grace", daemon.name));
        false
    }

    /// Returns the addresses at which clients reach the daemons.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.front).collect()
    }

    /// Returns the path and the host name of a job.
    pub fn job_path(id: &str) -> (String, &'static str) {
        (format!("{PREFIX}{id}"), HOST)
    }

    /// Lets the store turn a daemon away, or serve it again. The others are served all the while.
    pub fn turn_away(&self, number: usize, turned_away: bool) {
        let daemon = &self.daemons[number];
        daemon.turned_away.store(turned_away, Ordering::SeqCst);
        let what = if turned_away { "disruption: the store turns away" } else { "the store serves again" };
        self.trace.note(format!("{what} {}", daemon.name));
    }

    /// Lets the store leave the next write of a daemon without an answer, and carry it out late.
    pub fn delay_next_write(&self, number: usize) {
        let daemon = &self.daemons[number];
        daemon.delays_write.store(true, Ordering::SeqCst);
        self.trace.note(format!("disruption: the next write of {} gets no answer", daemon.name));
    }

    /// Makes one call to a daemon, and notes it.
    pub fn call_daemon(
        &self,
        number: usize,
        method: &str,
        id: &str,
        body: &str,
        patience: Duration,
    ) -> Option<u16> {
        let daemon = &self.daemons[number];
        let answer = call(daemon.front, method, &format!("{PREFIX}{id}"), HOST, body, patience);
        self.trace.note(format!("client: {method} {id} at {}: {answer:?}", daemon.name));
        answer.map(|(status, _)| status)
    }

    /// Returns the daemon that acts for the system, as its record in the store says.
    pub fn acting_daemon(&self) -> Option<usize> {
        let claim = Json::parse(&self.store.get("hoist/cell/claim/0")?);
        let holder = claim.get("holder").text().to_owned();
        self.daemons.iter().position(|daemon| holder.starts_with(&daemon.name))
    }

    fn wait_until_served(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        for daemon in &self.daemons {
            while call(daemon.readiness, "GET", "/-/ready", HOST, "", DEADLINE)
                .is_none_or(|(status, _)| status != 200)
            {
                if Instant::now() > until {
                    return Err(format!("{} is not ready", daemon.name));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        let probe = "00000000000000aa";
        self.submit(probe, r#"{"spec":"probe","steps":[{"count":1,"cpu":100,"memMb":10,"estimateMs":50}]}"#)?;
        self.wait_for_state(probe, "completed", Duration::from_secs(10))
    }

    /// Calls the daemons in turn until one answers; notes the call. `None` if none does.
    fn call_any(&self, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let path = format!("{PREFIX}{id}");
        let alive = self.daemons.iter().filter(|daemon| daemon.child.is_some());
        for daemon in alive {
            let answer = call(daemon.front, method, &path, HOST, body, DEADLINE);
            if let Some((status, text)) = &answer {
                self.trace.note(format!("client: {method} {id} at {}: {status} {text}", daemon.name));
                if *status < 500 {
                    return answer;
                }
            } else {
                self.trace.note(format!("client: {method} {id} at {}: no answer", daemon.name));
            }
        }
        None
    }

    /// Hands a job in.
    pub fn submit(&self, id: &str, body: &str) -> Result<(), String> {
        for _ in 0..10 {
            match self.call_any("POST", id, body) {
                Some((200..=299, _)) => return Ok(()),
                Some((status, text)) => return Err(format!("job {id} got {status} {text}")),
                None => std::thread::sleep(Duration::from_millis(300)),
            }
        }
        Err(format!("job {id} was not accepted"))
    }

    /// Cancels a job, and returns whether that was acknowledged.
    pub fn cancel(&self, id: &str) -> bool {
        (0..10).any(|_| matches!(self.call_any("DELETE", id, ""), Some((200..=299, _))))
    }

    /// Returns the state of a job; empty if no daemon tells it.
    pub fn job_state(&self, id: &str) -> String {
        let answer = self.call_any("GET", id, "");
        answer.map_or(String::new(), |(_, text)| Json::parse(&text).get("state").text().to_owned())
    }

    /// Asks for a job's state until it is the expected one.
    pub fn wait_for_state(&self, id: &str, expected: &str, timeout: Duration) -> Result<(), String> {
        let until = Instant::now() + timeout;
        loop {
            let state = self.job_state(id);
            if state == expected {
                return Ok(());
            }
            if Instant::now() > until {
                return Err(format!("job {id} is {state:?} and not {expected}"));
            }
            std::thread::sleep(Duration::from_millis(250));
        }
    }

    /// Returns the running tasks of a job: runner, task and run.
    pub fn running_tasks(&self, id: &str) -> Vec<(String, String, u64)> {
        let of_runner = |runner: &Runner| {
            let running = runner.running().into_iter().filter(|(task, _)| task.starts_with(id));
            running.map(|(task, run)| (runner.id.clone(), task, run)).collect::<Vec<_>>()
        };
        self.runners.iter().flat_map(of_runner).collect()
    }

    /// Copies the daemons' logs to a folder, for reading after a run.
    pub fn keep_logs(&self, folder: &Path) {
        let _there = std::fs::create_dir_all(folder);
        for daemon in &self.daemons {
            let name = format!("{}.log", daemon.name);
            let _copied = std::fs::copy(self.folder.join(&name), folder.join(&name));
        }
    }

    /// Writes what was seen to a file.
    pub fn write_record(&self, path: &Path, verdict: &str) -> std::io::Result<()> {
        let mut file = File::create(path)?;
        for (at_ms, seen) in self.trace.rows() {
            writeln!(file, "{at_ms:>7} ms  {seen}")?;
        }
        writeln!(file, "{verdict}")
    }
}
