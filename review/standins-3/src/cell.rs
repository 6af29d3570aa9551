//! A small deployment: three daemons of the project, the store, and runners, each in a process of its own.

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::call;
use crate::json::parse;
use crate::runner::{unix_ms, Profile};
use crate::store::{Store, VALUE_BYTES};

/// Failed runs of one task at which its job fails, as a queue of the sites has it.
const MAX_ATTEMPTS: u32 = 4;

/// Memory of a machine, in mebibytes, as on the small sites.
const MEMORY_MB: u64 = 260;

/// Time until a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_secs(2);

/// Ends the script as one that could not run.
pub const CANNOT_RUN: i32 = 2;

/// What was sent, answered and run, in the order of arrival.
#[derive(Clone)]
pub struct Record {
    lines: Arc<Mutex<(File, Vec<String>)>>,
    start_ms: u64,
}

impl Record {
    fn new(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt");
        Record { lines: Arc::new(Mutex::new((file, Vec::new()))), start_ms: unix_ms() }
    }

    /// Adds a line with the time since the start, in milliseconds.
    pub fn add(&self, text: &str) {
        self.add_at(unix_ms(), text);
    }

    /// Returns the time since the start, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        unix_ms().saturating_sub(self.start_ms)
    }

    fn add_at(&self, at_ms: u64, text: &str) {
        let line = format!("{:>7} {text}", at_ms.saturating_sub(self.start_ms));
        let mut lines = self.lines.lock().expect("the record");
        let _ = writeln!(lines.0, "{line}");
        lines.1.push(line);
    }

    pub fn lines_with(&self, parts: &[&str]) -> Vec<String> {
        let lines = self.lines.lock().expect("the record");
        lines.1.iter().filter(|line| parts.iter().all(|part| line.contains(part))).cloned().collect()
    }
}

/// A process that ends the daemons if this one ends before them.
struct Guard {
    child: Child,
}

impl Guard {
    fn start() -> Guard {
        let program = std::env::current_exe().expect("this program");
        let child = Command::new(program).arg("guard").stdin(Stdio::piped()).spawn().expect("a guard");
        Guard { child }
    }

    fn say(&mut self, text: &str) {
        if let Some(input) = &mut self.child.stdin {
            let _ = writeln!(input, "{text}");
        }
    }

    fn add(&mut self, child: &Child) {
        self.say(&child.id().to_string());
    }

    /// Ends the guard, once all daemons have ended.
    fn dismiss(&mut self) {
        self.say("done");
        let _ = self.child.wait();
    }
}

/// Reads process numbers until the end of the input, and then ends these processes, unless told that all is done.
pub fn guard() {
    let mut processes = Vec::new();
    for line in std::io::stdin().lines().map_while(Result::ok) {
        if line == "done" {
            return;
        }
        processes.push(line);
    }
    for process in processes {
        let _ = Command::new("sh").args(["-c", &format!("kill -KILL {process}")]).status();
    }
}

pub struct Daemon {
    pub front: SocketAddr,
    child: Child,
    /// When the process ended; `None` while it runs.
    ended_at: Option<Instant>,
}

/// Returns the memory that a process has in use, in mebibytes.
fn memory_mib(process: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok()).unwrap_or(0) / 1_024
}

/// What a client in a thread of its own needs.
pub struct Door {
    fronts: Vec<SocketAddr>,
    host: String,
    prefix: String,
    record: Record,
}

impl Door {
    /// Hands in a job, at another daemon after each answer other than 200; returns whether it was accepted.
    pub fn submit_again_and_again(&self, first: usize, id: &str, body: &str) -> bool {
        let path = format!("{}{id}", self.prefix);
        let headers = [("Host", self.host.as_str()), ("X-Deadline-Ms", "3000")];
        for attempt in 0..4 {
            let front = self.fronts[(first + attempt) % self.fronts.len()];
            let answer = call(front, "POST", &path, &headers, body, Duration::from_millis(3_500));
            let status = answer.map_or(0, |(status, _)| status);
            self.record.add(&format!("client POST {path} of {} bytes answered {status}", body.len()));
            if status == 200 {
                return true;
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        false
    }
}

pub struct Cell {
    pub record: Record,
    pub store: Store,
    pub daemons: Vec<Daemon>,
    runners: Vec<(Profile, Child)>,
    guard: Guard,
    folder: PathBuf,
    pub host: String,
    pub prefix: String,
    pub service: String,
}

impl Drop for Cell {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            let _ = daemon.child.kill();
            let _ = daemon.child.wait();
        }
        for (_, child) in &mut self.runners {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.guard.dismiss();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns a loopback port that is free now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// Returns the first of a number of consecutive ports that are free on an address.
fn free_ports(ip: &str, count: u16) -> u16 {
    let offset = (std::process::id() % 400) as u16 * 40;
    (0..400_u16)
        .map(|step| 20_000 + (offset + step * 40) % 16_000)
        .find(|first| (*first..first + count).all(|port| TcpListener::bind((ip, port)).is_ok()))
        .expect("free ports")
}

/// Settings as those that DEPLOY.md shows, for one daemon.
fn settings(index: usize, ip: &str, ports: u16, store: SocketAddr) -> String {
    let (front, ready, control) = (ports + 16, ports + 17, ports + 18);
    format!(
        r#"node = "edge-z1-{index}"
role = "daemon"
machineClass = "edge"
serves = ["edge","control"]
ip = "{ip}"
zone = "z1"
region = "r1"
internalPorts = [{ports},{last}]
seeds = []
bootstrap = true
countsForLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform"]
controlMode = "call"
[zones]
z1 = "r1"
[listen]
front = "{ip}:{front}"
readiness = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = {MEMORY_MB}
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
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = {VALUE_BYTES}
minTtlMs = 1000
[cloud]
address = "127.0.0.1:1"
ratePerS = 60.0
duties = []
dutyPerS = 60.0
"#,
        last = ports + 15,
    )
}

/// Program and arguments of the only role in the deploy file.
fn deployed_command() -> Vec<String> {
    let text = std::fs::read_to_string("deploy/system.toml").unwrap_or_default();
    let run = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let run = run.and_then(|rest| rest.split('"').next()).unwrap_or_default();
    run.split(' ').map(str::to_owned).collect()
}

/// Starts a daemon with the command of the deploy file and the settings in a folder; its log goes there too.
fn start_daemon(folder: &Path, index: usize) -> Child {
    let command = deployed_command();
    let path = folder.join(format!("daemon-{index}.log"));
    let log = std::fs::OpenOptions::new().create(true).append(true).open(path).expect("a log");
    let errors = log.try_clone().expect("a log");
    Command::new(&command[0])
        .args(&command[1..])
        .env("CASSIAHOIST_SETTINGS", folder.join(format!("settings-{index}.toml")))
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("a daemon")
}

impl Cell {
    /// Starts the store and the daemons, in the root of the repository.
    pub fn start(record_path: &Path) -> Cell {
        let record = Record::new(record_path);
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::start();
        let (host, prefix, service) = ("nony24.example", "/lohu930/", "huvo11a");
        let config = format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"r-3hwrr6x\",\"host\":\"{host}\",\"pathPrefix\":\"{prefix}\",\
             \"kind\":\"unsafe\",\"timeoutMs\":3000,\"targetLatencyMs\":250,\"priority\":0,\"service\":\"{service}\",\
             \"maxAttempts\":{MAX_ATTEMPTS},\"stretch\":1.5}}],\"services\":[{{\"name\":\"{service}\",\
             \"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"rejectsOverload\":false,\
             \"standby\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\
             \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
        );
        store.put("op/config", config.as_bytes());
        let guard = Guard::start();
        let command = deployed_command();
        if command.is_empty() || !Path::new(&command[0]).exists() {
            eprintln!("the program of the deploy file is not built");
            std::process::exit(CANNOT_RUN);
        }
        let mut cell = Cell {
            record,
            store,
            daemons: Vec::new(),
            runners: Vec::new(),
            guard,
            folder,
            host: host.into(),
            prefix: prefix.into(),
            service: service.into(),
        };
        for index in 1..=3 {
            let ip = format!("127.0.0.{}", 10 + index);
            let ports = free_ports(&ip, 19);
            let path = cell.folder.join(format!("settings-{index}.toml"));
            std::fs::write(&path, settings(index, &ip, ports, cell.store.address)).expect("settings");
            let child = start_daemon(&cell.folder, index);
            cell.guard.add(&child);
            let front = format!("{ip}:{}", ports + 16).parse().expect("an address");
            cell.daemons.push(Daemon { front, child, ended_at: None });
        }
        cell
    }

    pub fn profile(&self, id: &str, labels: &[&str], cpu: u64) -> Profile {
        let address = free_address();
        Profile {
            id: id.into(),
            service: self.service.clone(),
            store: self.store.address,
            address,
            listen: address,
            cpu,
            mem_mb: 65_536,
            labels: labels.iter().map(|label| (*label).to_owned()).collect(),
            hold_max_ms: 6_000,
            stop_ms: 900,
        }
    }

    /// Starts a runner as a process of its own; what it prints goes to the record.
    pub fn start_runner(&mut self, profile: Profile) {
        let program = std::env::current_exe().expect("this program");
        let mut child = Command::new(program)
            .arg("runner")
            .args([&profile.id, &profile.service, &profile.store.to_string(), &profile.address.to_string()])
            .args([profile.cpu.to_string(), profile.mem_mb.to_string(), profile.labels.join(",")])
            .args([profile.hold_max_ms.to_string(), profile.stop_ms.to_string(), profile.listen.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a runner");
        let (record, output) = (self.record.clone(), child.stdout.take().expect("its output"));
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let (at, text) = line.split_once(' ').unwrap_or(("0", &line));
                record.add_at(at.parse().unwrap_or_else(|_| unix_ms()), text);
            }
        });
        self.runners.push((profile, child));
    }

    /// Kills the process of a runner and returns its profile.
    pub fn kill_runner(&mut self, id: &str) -> Profile {
        let position = self.runners.iter().position(|(profile, _)| profile.id == id).expect("a runner");
        let (profile, mut child) = self.runners.remove(position);
        let _ = child.kill();
        let _ = child.wait();
        self.record.add(&format!("runner {id} killed"));
        profile
    }

    /// Stops the process of a runner, which then neither answers nor closes its connections.
    pub fn pause_runner(&mut self, id: &str) {
        let found = self.runners.iter().find(|(profile, _)| profile.id == id);
        let (_, child) = found.expect("a runner");
        // A stopped process doesn't see the end of its input.
        self.guard.add(child);
        let process = child.id();
        let stopped = Command::new("sh").args(["-c", &format!("kill -STOP {process}")]).status();
        self.require(stopped.is_ok_and(|status| status.success()), "the runner was not stopped");
        self.record.add(&format!("runner {id} stopped for good"));
    }

    /// Returns the number of orders that the present processes of all runners have got.
    pub fn orders(&self) -> u64 {
        let ask =
            |profile: &Profile| call(profile.listen, "GET", "/orders", &[], "", Duration::from_millis(500));
        let answers = self.runners.iter().filter_map(|(profile, _)| ask(profile));
        answers.filter_map(|(_, body)| Some(parse(body.as_bytes())?.get("orders").u64())).sum()
    }

    /// Sends a client's request to one daemon and records both sides.
    pub fn request(&self, daemon: usize, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let path = format!("{}{id}", self.prefix);
        let headers = [("Host", self.host.as_str()), ("X-Deadline-Ms", "3000")];
        let front = self.daemons[daemon].front;
        let sent_ms = unix_ms();
        let answer = call(front, method, &path, &headers, body, Duration::from_millis(3_500));
        let (status, text) = answer.clone().unwrap_or((0, "no answer".into()));
        self.record.add_at(sent_ms, &format!("client {method} {path} to daemon {} {body}", daemon + 1));
        self.record.add(&format!("client {method} {path} answered {status} {text}"));
        answer
    }

    pub fn door(&self) -> Door {
        let fronts = self.daemons.iter().map(|daemon| daemon.front).collect();
        Door { fronts, host: self.host.clone(), prefix: self.prefix.clone(), record: self.record.clone() }
    }

    /// Does what the platform does: a process over its memory is killed, and one that has ended is started again after a
    /// delay. Counts the ends of each daemon.
    pub fn enforce_memory(&mut self, ends: &mut [u32; 3]) {
        for at in 0..self.daemons.len() {
            if let Some(ended_at) = self.daemons[at].ended_at {
                if ended_at.elapsed() >= RESTART_DELAY {
                    let child = start_daemon(&self.folder, at + 1);
                    self.guard.add(&child);
                    self.daemons[at].child = child;
                    self.daemons[at].ended_at = None;
                }
                continue;
            }
            let used_mib = memory_mib(self.daemons[at].child.id());
            if used_mib > MEMORY_MB {
                self.record
                    .add(&format!("daemon {} has {used_mib} MiB of {MEMORY_MB} and is killed", at + 1));
                let _ = self.daemons[at].child.kill();
                let _ = self.daemons[at].child.wait();
            }
            if matches!(self.daemons[at].child.try_wait(), Ok(Some(_))) {
                ends[at] += 1;
                self.daemons[at].ended_at = Some(Instant::now());
            }
        }
    }

    /// Waits until each daemon serves and a holder shows itself by the answer of a count.
    pub fn await_ready(&self) {
        let until = Instant::now() + Duration::from_secs(20);
        let path = self.prefix.clone();
        let headers = [("Host", self.host.as_str()), ("X-Deadline-Ms", "1000")];
        loop {
            let ready = self.daemons.iter().all(|daemon| {
                let answer = call(daemon.front, "GET", &path, &headers, "", Duration::from_secs(2));
                answer.is_some_and(|(status, _)| status == 200)
            });
            if ready {
                return self.record.add("all daemons serve");
            }
            if Instant::now() > until {
                self.cannot_run("the daemons don't serve");
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Ends the case as one that could not run.
    fn cannot_run(&self, reason: &str) -> ! {
        self.record.add(&format!("could not run: {reason}"));
        panic!("could not run: {reason}");
    }

    /// Ends the case as one that could not run, unless a condition holds.
    pub fn require(&self, holds: bool, reason: &str) {
        if !holds {
            self.cannot_run(reason);
        }
    }

    /// Hands in a job at a daemon; it has to be accepted.
    pub fn submit(&self, daemon: usize, id: &str, body: &str) {
        let answer = self.request(daemon, "POST", id, body);
        self.require(answer.is_some_and(|(status, _)| status == 200), "a job was not accepted");
    }

    /// Asks for the state of a job.
    pub fn state_of(&self, daemon: usize, id: &str) -> String {
        let answer = self.request(daemon, "GET", id, "");
        let body = answer.filter(|(status, _)| *status == 200).map(|(_, body)| body);
        let json = body.and_then(|body| parse(body.as_bytes()));
        json.map_or(String::new(), |json| json.get("state").text().to_owned())
    }

    /// Asks for the number of jobs that have not begun; `None` without an answer.
    pub fn pending(&self, daemon: usize) -> Option<u64> {
        let answer = self.request(daemon, "GET", "", "").filter(|(status, _)| *status == 200)?;
        Some(parse(answer.1.as_bytes())?.get("pending").u64())
    }
}
