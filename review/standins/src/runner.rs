//! Runners: they start, hold and stop runs of tasks as PROTOCOL.md says.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Reply, Request, Server};
use crate::json::{Json, parse, quote};
use crate::record::Record;
use crate::store::Store;

pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Longest time that a lease may run, in milliseconds.
const HOLD_MAX_MS: u64 = 6_000;

/// Time that a stopped run takes to end.
const STOP_TIME: Duration = Duration::from_millis(40);

/// Stands for no answer, since the runner has crashed.
const CRASHED: u16 = 0;

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Time that a task of the job runs; `None` for one that lasts.
    pub time: Option<Duration>,
    pub cpu: u64,
}

/// Work of each job, by id.
pub type Works = Arc<Mutex<HashMap<String, Work>>>;

struct Run {
    started_at: Instant,
    ends_at: Option<Instant>,
    stopping_until: Option<Instant>,
    cpu: u64,
}

struct Life {
    id: String,
    born: u64,
    clock_start: Instant,
    capacity: u64,
    fence: u64,
    until_ms: u64,
    running: BTreeMap<(String, u64), Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Greatest run of a task that was stopped or has ended here.
    over: HashMap<String, u64>,
    seq: u64,
    is_up: bool,
}

impl Life {
    fn new(id: &str, capacity: u64) -> Self {
        Self {
            id: id.to_owned(),
            born: unix_ms(),
            clock_start: Instant::now(),
            capacity,
            fence: 0,
            until_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            over: HashMap::new(),
            seq: 0,
            is_up: true,
        }
    }

    fn clock_ms(&self) -> u64 {
        1_000 + self.clock_start.elapsed().as_millis() as u64
    }

    fn extend(&mut self, call: &Json) {
        if let Some(until_ms) = call.u64("untilMs") {
            self.until_ms = self.until_ms.max(until_ms.min(self.clock_ms() + HOLD_MAX_MS));
        }
    }

    fn end(&mut self, key: &(String, u64), how: &'static str) {
        if self.running.remove(key).is_some() {
            self.last_end += 1;
            self.ended.push((self.last_end, key.0.clone(), key.1, how));
            let over = self.over.entry(key.0.clone()).or_default();
            *over = (*over).max(key.1);
        }
    }
}

/// Whether the path between a runner and a daemon is cut.
pub type IsCut = dyn Fn(usize, Option<usize>) -> bool + Send + Sync;

/// What all runners share.
#[derive(Clone)]
pub struct Surroundings {
    pub works: Works,
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    pub is_cut: Arc<IsCut>,
}

pub struct Runner {
    index: usize,
    pub address: SocketAddr,
    zone: String,
    life: Mutex<Life>,
    changed: Condvar,
    server: Mutex<Option<Server>>,
    late: Mutex<Late>,
    around: Surroundings,
}

/// A start order that is left without an answer and carried out later.
#[derive(Default)]
struct Late {
    /// Whether the next start order is left so.
    is_wanted: bool,
    order: Option<(Request, Json)>,
}

impl Runner {
    pub fn start(
        index: usize,
        address: SocketAddr,
        zone: &str,
        capacity: u64,
        around: &Surroundings,
    ) -> std::io::Result<Arc<Self>> {
        let runner = Arc::new(Self {
            index,
            address,
            zone: zone.to_owned(),
            life: Mutex::new(Life::new(&format!("i-{index:04x}"), capacity)),
            changed: Condvar::new(),
            server: Mutex::new(None),
            late: Mutex::default(),
            around: around.clone(),
        });
        runner.listen()?;
        let copy = Arc::clone(&runner);
        std::thread::spawn(move || copy.advance_forever());
        Ok(runner)
    }

    fn lock(&self) -> MutexGuard<'_, Life> {
        self.life.lock().unwrap()
    }

    pub fn id(&self) -> String {
        self.lock().id.clone()
    }

    fn listen(self: &Arc<Self>) -> std::io::Result<()> {
        self.register();
        let copy = Arc::clone(self);
        let server = Server::start(self.address, Arc::new(move |request: &Request| copy.serve(request)))?;
        *self.server.lock().unwrap() = Some(server);
        Ok(())
    }

    fn register(&self) {
        let (key, entry) = {
            let mut life = self.lock();
            life.seq += 1;
            let entry = format!(
                "{{\"service\":\"desk\",\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"capacity\":{{\"cpu\":{},\"memMb\":65536,\"gpu\":0}},\"labels\":[\"a\",\"r1-{}\"],\"clockMs\":{},\"seq\":{},\"born\":{}}}",
                self.address,
                quote(&self.zone),
                life.capacity,
                self.index,
                life.clock_ms(),
                life.seq,
                life.born
            );
            (format!("servers/{}", life.id), entry)
        };
        self.around.store.put(&key, &entry);
    }

    /// Ends the life of the runner. Connections to it are refused from then on.
    pub fn crash(&self) {
        let ended: Vec<(String, u64)> = {
            let mut life = self.lock();
            life.is_up = false;
            std::mem::take(&mut life.running).into_keys().collect()
        };
        let id = self.id();
        self.around.record.line(&format!("{id} crashes"));
        for (task, run) in ended {
            self.around.record.run_ended(&task, run, &id, "lost with its runner");
        }
        self.changed.notify_all();
        if let Some(mut server) = self.server.lock().unwrap().take() {
            server.stop();
        }
    }

    /// Begins another life at the same address. The entry of an earlier id expires after three heartbeats.
    pub fn restart(self: &Arc<Self>, id: &str, capacity: u64) -> std::io::Result<()> {
        let old = self.id();
        *self.lock() = Life::new(id, capacity);
        self.around
            .record
            .line(&format!("{id} starts at the address of {old}, with {capacity} thousandths of a core"));
        if old != id {
            let store = Arc::clone(&self.around.store);
            std::thread::spawn(move || {
                std::thread::sleep(3 * HEARTBEAT);
                store.delete(&format!("servers/{old}"));
            });
        }
        self.listen()
    }

    fn advance_forever(&self) {
        // Heartbeats come about every interval, by up to a tenth sooner or later, at a phase of each runner's own.
        let mut random = self.index as u64 * 0x9e37_79b9 + unix_ms();
        let mut draw = move |limit_ms: u64| {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            Duration::from_millis((random >> 33) % limit_ms)
        };
        let heartbeat_ms = HEARTBEAT.as_millis() as u64;
        let mut beat_at = Instant::now() + draw(heartbeat_ms);
        loop {
            std::thread::sleep(Duration::from_millis(2));
            let now = Instant::now();
            let is_up = self.advance(now);
            if now >= beat_at {
                beat_at = now + HEARTBEAT * 9 / 10 + draw(heartbeat_ms / 5);
                if is_up {
                    self.register();
                }
            }
        }
    }

    fn advance(&self, now: Instant) -> bool {
        let mut life = self.lock();
        if !life.is_up {
            return false;
        }
        let record = &self.around.record;
        let has_lapsed = life.clock_ms() > life.until_ms;
        let over: Vec<((String, u64), &'static str)> = life
            .running
            .iter()
            .filter_map(|(key, run)| {
                if run.stopping_until.is_some_and(|at| now >= at) {
                    Some((key.clone(), "stopped"))
                } else if run.stopping_until.is_none() && run.ends_at.is_some_and(|at| now >= at) {
                    Some((key.clone(), "done"))
                } else if has_lapsed {
                    Some((key.clone(), "lapsed"))
                } else {
                    None
                }
            })
            .collect();
        for (key, how) in &over {
            life.end(key, how);
            record.run_ended(&key.0, key.1, &life.id, how);
        }
        if !over.is_empty() {
            self.changed.notify_all();
        }
        true
    }

    fn serve(&self, request: &Request) -> Reply {
        let Some(call) = parse(&request.body) else { return Reply::Answer(400, "{}".into()) };
        let fence = call.u64("fence").unwrap_or(0);
        let sender = self.around.store.author(fence);
        if (self.around.is_cut)(self.index, sender) {
            return Reply::Silence;
        }
        if request.path == "/-/run-start" && self.keep(request, &call) {
            return Reply::Silence;
        }
        let (status, body) = self.answer(request, &call, fence, sender);
        if (self.around.is_cut)(self.index, sender) || status == CRASHED {
            Reply::Silence
        } else {
            Reply::Answer(status, body)
        }
    }

    /// Lets the next start order be left without an answer, or not.
    pub fn keep_next_start(&self, is_wanted: bool) {
        self.late.lock().unwrap().is_wanted = is_wanted;
    }

    /// Returns whether a start order is kept.
    pub fn has_kept_start(&self) -> bool {
        self.late.lock().unwrap().order.is_some()
    }

    fn keep(&self, request: &Request, call: &Json) -> bool {
        let mut late = self.late.lock().unwrap();
        let is_kept = std::mem::take(&mut late.is_wanted);
        if is_kept {
            late.order = Some((request.clone(), call.clone()));
            let (task, run) = (call.text("task").unwrap_or_default(), call.u64("runId").unwrap_or(0));
            self.around
                .record
                .line(&format!("the start of {task} run {run} on {} is not answered", self.id()));
        }
        is_kept
    }

    /// Carries out the start order that was kept.
    pub fn carry_out_late(&self) {
        let Some((request, call)) = self.late.lock().unwrap().order.take() else { return };
        let fence = call.u64("fence").unwrap_or(0);
        let (status, body) = self.answer(&request, &call, fence, self.around.store.author(fence));
        self.around.record.line(&format!("the late order is carried out on {}: {status} {body}", self.id()));
    }

    fn answer(&self, request: &Request, call: &Json, fence: u64, sender: Option<usize>) -> (u16, String) {
        let mut life = self.lock();
        let clock = |life: &Life| format!("{{\"clockMs\":{}}}", life.clock_ms());
        let refuse = |life: &Life, reason: &str| {
            (409, format!("{{\"clockMs\":{},\"reason\":\"{reason}\"}}", life.clock_ms()))
        };
        if !life.is_up {
            return (CRASHED, String::new());
        }
        if request.header("x-expect-instance").is_some_and(|id| id != life.id) {
            return (421, clock(&life));
        }
        if fence < life.fence {
            return refuse(&life, "fence");
        }
        life.fence = fence;
        let task = call.text("task").unwrap_or_default().to_owned();
        let run = call.u64("runId").unwrap_or(0);
        match request.path.as_str() {
            "/-/run-start" => {
                let key = (task.clone(), run);
                life.extend(call);
                if call.u64("untilMs").unwrap_or(0) <= life.clock_ms() {
                    return refuse(&life, "late");
                }
                if life.running.contains_key(&key) {
                    return (200, clock(&life));
                }
                if life.over.get(&task).is_some_and(|over| run <= *over) {
                    return refuse(&life, "old");
                }
                let job = task.split('.').next().unwrap_or_default();
                let work = self.around.works.lock().unwrap().get(job).copied();
                let work = work.unwrap_or(Work { time: Some(Duration::from_secs(1)), cpu: 0 });
                let now = Instant::now();
                let ends_at = work.time.map(|time| now + time);
                let row = Run { started_at: now, ends_at, stopping_until: None, cpu: work.cpu };
                life.running.insert(key, row);
                self.around.record.run_started(&task, run, &life.id, fence, sender);
                let used: u64 = life.running.values().map(|run| run.cpu).sum();
                if used > life.capacity {
                    let text = format!(
                        "LIMIT: the start of {task} run {run} brings {} to {used} thousandths of a core, of {}",
                        life.id, life.capacity
                    );
                    self.around.record.violation(&text);
                }
                (200, clock(&life))
            }
            "/-/run-stop" => {
                let key = (task.clone(), run);
                match life.running.get_mut(&key) {
                    Some(row) => {
                        row.stopping_until.get_or_insert(Instant::now() + STOP_TIME);
                    }
                    None => {
                        let over = life.over.entry(task).or_default();
                        *over = (*over).max(run);
                    }
                }
                (200, clock(&life))
            }
            "/-/hold" => self.hold(life, call),
            "/-/pace" => (200, clock(&life)),
            _ => (400, clock(&life)),
        }
    }

    fn hold(&self, mut life: MutexGuard<'_, Life>, call: &Json) -> (u16, String) {
        life.extend(call);
        let last_seen = call.u64("lastSeen").unwrap_or(0);
        life.ended.retain(|(number, ..)| *number > last_seen);
        let wait = Duration::from_millis(call.u64("waitMs").unwrap_or(0).min(2_000));
        let (deadline, born) = (Instant::now() + wait, life.born);
        while life.ended.is_empty() && life.is_up && life.born == born {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            life = self.changed.wait_timeout(life, left).unwrap().0;
        }
        if !life.is_up || life.born != born {
            return (CRASHED, String::new());
        }
        let running: Vec<String> = life
            .running
            .iter()
            .map(|((task, run), row)| {
                let ran_ms = row.started_at.elapsed().as_millis() as u64;
                let percent = match row.ends_at {
                    None => (ran_ms / 2).min(100),
                    Some(at) => (ran_ms * 100 / (at - row.started_at).as_millis().max(1) as u64).min(99),
                };
                format!("[{},{run},\"\",{percent},{}]", quote(task), row.cpu)
            })
            .collect();
        let ended: Vec<String> = life
            .ended
            .iter()
            .take(500)
            .map(|(number, task, run, how)| format!("[{number},{},{run},\"{how}\",\"\"]", quote(task)))
            .collect();
        let body = format!(
            "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"endedRuns\":[{}]}}",
            life.clock_ms(),
            life.born,
            running.join(","),
            ended.join(",")
        );
        (200, body)
    }
}
