//! Stand-in of a runner: it runs tasks under a lease, as PROTOCOL.md says under "Running tasks".

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Answer, Request, free_port, serve};
use crate::json::{Json, quote};
use crate::store::Store;
use crate::trace::{Seen, Trace};

/// `holdMaxMs` of the settings.
pub const HOLD_MAX_MS: u64 = 6_000;

/// Most ends in one answer: "500 at a time".
const MAX_ENDS: usize = 500;

/// Time that a stop takes; the pages allow `stopTimeoutMs`, 900.
const STOP_TIME: Duration = Duration::from_millis(100);

/// Time that the runner takes for an answer.
const LATENCY: Duration = Duration::from_millis(1);

/// What a run does.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub cpu: u64,
    /// Time until it ends by itself; `None` if it runs until it is stopped.
    pub work: Option<Duration>,
    /// How it ends by itself.
    pub how: &'static str,
}

/// Decides what a run does, by the name of its task and its number.
pub type Planner = Arc<dyn Fn(&str, u64) -> Plan + Send + Sync>;

#[derive(Clone, Debug)]
struct Run {
    number: u64,
    plan: Plan,
    since: Instant,
    stop_at: Option<Instant>,
}

#[derive(Clone, Debug)]
struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

/// Kind of a machine: what a runner reports about itself.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub label: &'static str,
    pub cpu: u64,
    pub mem_mb: u64,
}

struct State {
    kind: Kind,
    born: u64,
    begun: Instant,
    fence: u64,
    lease_until_ms: u64,
    runs: BTreeMap<String, Run>,
    /// Greatest run that was stopped or has ended here, by task.
    settled: HashMap<String, u64>,
    ends: Vec<End>,
    last_end: u64,
    noted: u64,
}

/// A runner; clones share it.
#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub port: u16,
    rack: String,
    state: Arc<(Mutex<State>, Condvar)>,
    store: Store,
    trace: Trace,
    planner: Planner,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl State {
    fn new(kind: Kind) -> Self {
        Self {
            kind,
            born: unix_ms(),
            begun: Instant::now(),
            fence: 0,
            lease_until_ms: 0,
            runs: BTreeMap::new(),
            settled: HashMap::new(),
            ends: Vec::new(),
            last_end: 0,
            noted: 0,
        }
    }

    /// The runner's own clock, which begins with its process.
    fn clock_ms(&self) -> u64 {
        1_000 + self.begun.elapsed().as_millis() as u64
    }

    fn load(&self) -> u64 {
        self.runs.values().map(|run| run.plan.cpu).sum()
    }

    fn settle(&mut self, task: &str, number: u64) {
        let settled = self.settled.entry(task.into()).or_default();
        *settled = (*settled).max(number);
    }

    fn extend_lease(&mut self, until_ms: Option<u64>) {
        if let Some(until_ms) = until_ms {
            self.lease_until_ms = self.lease_until_ms.max(until_ms.min(self.clock_ms() + HOLD_MAX_MS));
        }
    }

    fn lists(&self) -> String {
        let running = self.runs.iter().map(|(task, run)| {
            let percent = match run.plan.work {
                Some(work) if run.plan.how == "done" => {
                    (run.since.elapsed().as_millis() * 100 / work.as_millis().max(1)).min(99)
                }
                _ => 100,
            };
            format!("[{},{},\"\",{percent},{}]", quote(task), run.number, run.plan.cpu)
        });
        let ended = self.ends.iter().take(MAX_ENDS);
        let ended = ended
            .map(|end| format!("[{},{},{},\"{}\",\"\"]", end.number, quote(&end.task), end.run, end.how));
        format!(
            "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"endedRuns\":[{}]}}",
            self.clock_ms(),
            self.born,
            running.collect::<Vec<_>>().join(","),
            ended.collect::<Vec<_>>().join(",")
        )
    }

    fn refuse(&self, status: u16, reason: &str) -> Answer {
        Some((status, format!("{{\"clockMs\":{},\"reason\":\"{reason}\"}}", self.clock_ms())))
    }

    fn good(&self) -> Answer {
        Some((200, format!("{{\"clockMs\":{}}}", self.clock_ms())))
    }
}

impl Runner {
    /// Starts a runner and registers it.
    pub fn start(
        id: &str,
        rack: &str,
        kind: Kind,
        store: &Store,
        trace: &Trace,
        planner: &Planner,
    ) -> std::io::Result<Self> {
        let runner = Self {
            id: id.into(),
            port: free_port(),
            rack: rack.into(),
            state: Arc::new((Mutex::new(State::new(kind)), Condvar::new())),
            store: store.clone(),
            trace: trace.clone(),
            planner: Arc::clone(planner),
        };
        let answering = runner.clone();
        serve(runner.port, move |request| answering.answer(request))?;
        runner.register();
        let ticking = runner.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(5));
                ticking.advance();
            }
        });
        Ok(runner)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    /// Writes the runner's entry.
    pub fn register(&self) {
        let state = self.lock();
        let entry = format!(
            "{{\"service\":\"desk\",\"address\":\"127.0.0.1:{}\",\"zone\":\"obihiro\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"born\":{},\"capacity\":{{\"cpu\":{},\"memMb\":{},\"gpu\":0}},\"labels\":[\"{}\",\"{}\"],\"clockMs\":{},\"seq\":1}}",
            self.port,
            state.born,
            state.kind.cpu,
            state.kind.mem_mb,
            state.kind.label,
            self.rack,
            state.clock_ms()
        );
        drop(state);
        self.store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Writes an entry under this runner's key as another writer, with a service that the configuration doesn't name.
    pub fn overwrite_entry(&self, service: &str) {
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"127.0.0.1:{}\",\"zone\":\"obihiro\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"born\":{},\"capacity\":{{\"cpu\":16000,\"memMb\":65536,\"gpu\":0}},\"labels\":[\"a\",\"r1-9\"],\"clockMs\":1000,\"seq\":1}}",
            free_port(),
            unix_ms()
        );
        self.trace.note(format!("disruption: another writer puts servers/{}: {entry}", self.id));
        self.store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Returns the tasks that run here, with the numbers of their runs.
    pub fn running(&self) -> Vec<(String, u64)> {
        self.lock().runs.iter().map(|(task, run)| (task.clone(), run.number)).collect()
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.runs.remove(task) else { return };
        state.settle(task, run.number);
        state.last_end += 1;
        let number = state.last_end;
        state.ends.push(End { number, task: task.into(), run: run.number, how });
        let (runner, born) = (self.id.clone(), state.born);
        self.trace.add(Seen::Ended { runner, born, task: task.into(), run: run.number, number, how });
    }

    fn advance(&self) {
        let mut state = self.lock();
        if state.runs.is_empty() {
            return;
        }
        let has_lapsed = state.clock_ms() >= state.lease_until_ms;
        let now = Instant::now();
        let over: Vec<(String, &'static str)> = state
            .runs
            .iter()
            .filter_map(|(task, run)| {
                let is_done = run.plan.work.is_some_and(|work| now >= run.since + work);
                let how = if has_lapsed {
                    "lapsed"
                } else if run.stop_at.is_some_and(|at| now >= at) {
                    "stopped"
                } else if is_done {
                    run.plan.how
                } else {
                    return None;
                };
                Some((task.clone(), how))
            })
            .collect();
        for (task, how) in &over {
            self.end(&mut state, task, how);
        }
        drop(state);
        if !over.is_empty() {
            self.state.1.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> Answer {
        std::thread::sleep(LATENCY);
        let mut state = self.lock();
        if request.method == "GET" && request.path() == "/health" {
            return state.good();
        }
        if request.header("x-expect-instance") != self.id {
            return state.refuse(421, "instance");
        }
        let body = Json::parse(&request.body);
        let fence = body.get("fence").u64().unwrap_or(0);
        if fence < state.fence {
            return state.refuse(409, "fence");
        }
        state.fence = fence;
        let (task, number) = (body.get("task").text().to_owned(), body.get("runId").u64().unwrap_or(0));
        match request.path() {
            "/-/run-start" => self.start_run(&mut state, &body, &task, number),
            "/-/run-stop" => {
                state.settle(&task, number);
                if let Some(run) = state.runs.get_mut(&task)
                    && run.number <= number
                {
                    run.stop_at.get_or_insert(Instant::now() + STOP_TIME);
                }
                state.good()
            }
            "/-/hold" => self.hold(state, &body),
            "/-/pace" => state.good(),
            _ => state.refuse(400, "path"),
        }
    }

    fn start_run(&self, state: &mut State, body: &Json, task: &str, number: u64) -> Answer {
        let until_ms = body.get("untilMs").u64();
        state.extend_lease(until_ms);
        if until_ms.is_none_or(|until_ms| until_ms <= state.clock_ms()) {
            return state.refuse(409, "late");
        }
        let present = state.runs.get(task).map_or(0, |run| run.number);
        if present > 0 && present == number {
            return state.good();
        }
        if number <= present.max(state.settled.get(task).copied().unwrap_or(0)) {
            return state.refuse(409, "old");
        }
        let plan = (self.planner)(task, number);
        state.runs.insert(task.into(), Run { number, plan, since: Instant::now(), stop_at: None });
        self.trace.add(Seen::Started {
            runner: self.id.clone(),
            task: task.into(),
            run: number,
            load: state.load(),
            capacity: state.kind.cpu,
        });
        state.good()
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, body: &Json) -> Answer {
        let (born, fence) = (state.born, state.fence);
        state.extend_lease(body.get("untilMs").u64());
        let last_seen = body.get("lastSeen").u64().unwrap_or(0);
        state.ends.retain(|end| end.number > last_seen);
        if last_seen > state.noted {
            state.noted = last_seen;
            self.trace.add(Seen::Noted { runner: self.id.clone(), born, number: last_seen });
        }
        let until = Instant::now() + Duration::from_millis(body.get("waitMs").u64().unwrap_or(0).min(2_000));
        while state.ends.is_empty() && Instant::now() < until {
            state = self.state.1.wait_timeout(state, Duration::from_millis(20)).unwrap().0;
            if state.fence > fence {
                return state.refuse(409, "fence");
            }
        }
        Some((200, state.lists()))
    }
}
