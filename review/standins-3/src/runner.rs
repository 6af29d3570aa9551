//! Stand-in of a runner, as PROTOCOL.md describes it. It prints what it is told and what its runs do.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{call, serve, Answer, Request};
use crate::json::{parse, quote, Json};
use crate::store::encode_base64;

/// Interval of the runner's writes to the store, in milliseconds.
const HEARTBEAT_MS: u64 = 1_500;

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// What a runner is; its arguments on the command line.
#[derive(Clone, Debug)]
pub struct Profile {
    pub id: String,
    pub service: String,
    pub store: SocketAddr,
    /// Address in the runner's entry.
    pub address: SocketAddr,
    /// Address on which it listens: the same, unless a proxy stands before it.
    pub listen: SocketAddr,
    pub cpu: u64,
    pub mem_mb: u64,
    pub labels: Vec<String>,
    pub hold_max_ms: u64,
    pub stop_ms: u64,
}

struct Run {
    run: u64,
    spec: String,
    started: Instant,
    /// Work that an earlier run had saved, in milliseconds.
    resumed_ms: u64,
    /// Whether it is being stopped, and since when.
    stopping: Option<Instant>,
    /// Share of processor time that it gets, in percent.
    pace: u64,
}

impl Run {
    fn worked_ms(&self) -> u64 {
        self.resumed_ms + self.started.elapsed().as_millis() as u64
    }
}

/// Returns the checkpoint after some work.
fn checkpoint(worked_ms: u64) -> String {
    match worked_ms / CHECKPOINT_MS {
        0 => String::new(),
        number => format!("{number:016x}{}", "c".repeat(CHECKPOINT_CHARS - 16)),
    }
}

#[derive(Default)]
struct State {
    fence: u64,
    running: HashMap<String, Run>,
    /// Highest run that ended or was stopped, by task.
    highest: HashMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    lease_until_ms: u64,
    /// Orders that arrived.
    orders: u64,
    /// Tail of the response times of its serving task, in milliseconds, as it was last printed.
    printed_tail_ms: u64,
}

/// Tail of a serving task alone, and what each percent of the pace of a filler adds, in milliseconds.
const TAIL_MS: u64 = 80;
const TAIL_MS_PER_PERCENT: u64 = 6;

impl State {
    fn tail_ms(&self) -> u64 {
        let fillers = self.running.values().filter(|run| run.spec.starts_with("fill "));
        TAIL_MS + fillers.map(|run| run.pace * TAIL_MS_PER_PERCENT).sum::<u64>()
    }
}

struct Runner {
    profile: Profile,
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
    born: u64,
}

/// Work between two checkpoints of a task, in milliseconds.
const CHECKPOINT_MS: u64 = 500;

/// Length of a checkpoint of a task that saves its progress, in characters.
const CHECKPOINT_CHARS: usize = 256;

/// Tasks that save their progress and work for the shorter of their two times: one of so many.
const SHORT_TASKS: u32 = 128;

/// How long a run works, in milliseconds; `None` for one that lasts.
///
/// Specs are `work MS`, `fill MS`, `serve`, and `save MS MS`, where one task of 128 works for the second time.
fn work_ms(spec: &str, task: &str) -> Option<u64> {
    let words: Vec<&str> = spec.split(' ').collect();
    let index: u32 = task.rsplit('.').next().and_then(|index| index.parse().ok()).unwrap_or(0);
    match words.as_slice() {
        ["work" | "fill", ms] => ms.parse().ok(),
        ["save", _, ms] if index % SHORT_TASKS == 0 => ms.parse().ok(),
        ["save", ms, _] => ms.parse().ok(),
        _ => None,
    }
}

impl Runner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the runner's state")
    }

    fn clock_ms(&self) -> u64 {
        1_000 + self.started.elapsed().as_millis() as u64
    }

    fn say(&self, text: &str) {
        println!("{} runner {} {}", unix_ms(), self.profile.id, text);
    }

    fn extend(&self, state: &mut State, until_ms: u64) {
        let capped_ms = until_ms.min(self.clock_ms() + self.profile.hold_max_ms);
        state.lease_until_ms = state.lease_until_ms.max(capped_ms);
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else { return };
        state.ends += 1;
        let number = state.ends;
        let highest = state.highest.entry(task.to_owned()).or_default();
        *highest = run.run.max(*highest);
        state.ended.push((number, task.to_owned(), run.run, how));
        self.say(&format!("end {task} run {} {how}", run.run));
        self.changed.notify_all();
    }

    /// Ends what is done, stopped or without a lease.
    fn tick(&self) {
        let mut state = self.lock();
        let lapsed = !state.running.is_empty() && self.clock_ms() >= state.lease_until_ms;
        let ends: Vec<(String, &'static str)> = state
            .running
            .iter()
            .filter_map(|(task, run)| {
                let worked_ms = run.worked_ms();
                let stopped = run
                    .stopping
                    .is_some_and(|at| at.elapsed().as_millis() as u64 >= self.profile.stop_ms / 2);
                let done = work_ms(&run.spec, task).is_some_and(|ms| worked_ms >= ms);
                let how = match (lapsed, stopped, done) {
                    (true, _, _) => "lapsed",
                    (_, true, _) => "stopped",
                    (_, _, true) => "done",
                    _ => return None,
                };
                Some((task.clone(), how))
            })
            .collect();
        for (task, how) in ends {
            self.end(&mut state, &task, how);
        }
        let serves = state.running.values().any(|run| run.spec == "serve");
        let tail_ms = state.tail_ms();
        if serves && state.printed_tail_ms != tail_ms {
            state.printed_tail_ms = tail_ms;
            self.say(&format!("tail in ms: {tail_ms}"));
        }
    }

    fn refuse(&self, reason: &str) -> Answer {
        (409, format!("{{\"clockMs\":{},\"reason\":{}}}", self.clock_ms(), quote(reason)))
    }

    fn accept(&self) -> Answer {
        (200, format!("{{\"clockMs\":{}}}", self.clock_ms()))
    }

    fn answer(&self, request: &Request) -> Answer {
        if request.path == "/health" {
            return (200, "{}".into());
        }
        // Asked by the script only.
        if request.path == "/orders" {
            return (200, format!("{{\"orders\":{}}}", self.lock().orders));
        }
        let intended = request.header("x-expect-instance");
        if !intended.is_empty() && intended != self.profile.id {
            return (421, format!("{{\"clockMs\":{}}}", self.clock_ms()));
        }
        let Some(body) = parse(&request.body) else { return (400, "{}".into()) };
        let mut state = self.lock();
        state.orders += 1;
        let fence = body.get("fence").u64();
        if fence < state.fence {
            return self.refuse("fence");
        }
        state.fence = fence;
        let (task, run) = (body.get("task").text().to_owned(), body.get("runId").u64());
        match request.path.as_str() {
            "/-/run-start" => self.start(&mut state, &body, &task, run),
            "/-/run-stop" => {
                self.say(&format!("told to stop {task} run {run}"));
                let highest = state.highest.entry(task.clone()).or_default();
                *highest = run.max(*highest);
                if let Some(row) = state.running.get_mut(&task).filter(|row| row.run == run) {
                    row.stopping.get_or_insert_with(Instant::now);
                }
                self.accept()
            }
            "/-/pace" => {
                let percent = body.get("percent").u64();
                self.say(&format!("paces {task} run {run} to {percent}"));
                if let Some(row) = state.running.get_mut(&task).filter(|row| row.run == run) {
                    row.pace = percent;
                }
                self.accept()
            }
            "/-/hold" => self.hold(state, &body),
            _ => (404, "{}".into()),
        }
    }

    fn start(&self, state: &mut State, body: &Json, task: &str, run: u64) -> Answer {
        let spec = body.get("spec").text();
        if state.running.get(task).is_some_and(|row| row.run == run) {
            return self.accept();
        }
        let until_ms = body.get("untilMs").u64();
        if state.running.contains_key(task) || run <= state.highest.get(task).copied().unwrap_or(0) {
            self.extend(state, until_ms);
            return self.refuse("old");
        }
        if until_ms <= self.clock_ms() {
            return self.refuse("late");
        }
        self.extend(state, until_ms);
        // Thousands of them would hide the others.
        if !spec.starts_with("save ") {
            self.say(&format!("start {task} run {run} spec {spec:?} labels {:?}", self.profile.labels));
        }
        let saved = body.get("lastCheckpoint").text().get(..16);
        let resumed_ms =
            saved.and_then(|text| u64::from_str_radix(text, 16).ok()).unwrap_or(0) * CHECKPOINT_MS;
        let row = Run {
            run,
            spec: spec.to_owned(),
            started: Instant::now(),
            resumed_ms,
            stopping: None,
            pace: 100,
        };
        state.running.insert(task.to_owned(), row);
        self.accept()
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, body: &Json) -> Answer {
        let seen = body.get("lastSeen").u64();
        state.ended.retain(|(number, ..)| *number > seen);
        let until_ms = body.get("untilMs").u64();
        if until_ms > 0 {
            self.extend(&mut state, until_ms);
        }
        let until = Instant::now() + Duration::from_millis(body.get("waitMs").u64().min(2_000));
        while state.ended.is_empty() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).expect("the runner's state").0;
        }
        let running: Vec<String> = state
            .running
            .iter()
            .map(|(task, run)| {
                let worked_ms = run.worked_ms();
                let percent = match work_ms(&run.spec, task) {
                    Some(ms) => (worked_ms * 100 / ms.max(1)).min(99),
                    None => (worked_ms / 3).min(100),
                };
                let load = if run.spec == "serve" { state.tail_ms() } else { 1_000 };
                let saved =
                    if run.spec.starts_with("save ") { checkpoint(run.worked_ms()) } else { String::new() };
                format!("[{},{},\"{saved}\",{percent},{load}]", quote(task), run.run)
            })
            .collect();
        let ended: Vec<String> = state
            .ended
            .iter()
            .take(500)
            .map(|(number, task, run, how)| format!("[{number},{},{run},\"{how}\",\"\"]", quote(task)))
            .collect();
        let (clock_ms, born) = (self.clock_ms(), self.born);
        let body = format!(
            "{{\"clockMs\":{clock_ms},\"born\":{born},\"running\":[{}],\"endedRuns\":[{}]}}",
            running.join(","),
            ended.join(",")
        );
        (200, body)
    }

    fn entry(&self) -> String {
        let profile = &self.profile;
        let labels: Vec<String> = profile.labels.iter().map(|label| quote(label)).collect();
        format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\
             \"coldLeftMs\":0,\"capacity\":{{\"cpu\":{},\"memMb\":{},\"gpu\":0}},\"labels\":[{}],\"clockMs\":{},\
             \"seq\":1,\"born\":{}}}",
            quote(&profile.service),
            profile.address,
            profile.cpu,
            profile.mem_mb,
            labels.join(","),
            self.clock_ms(),
            self.born
        )
    }

    /// Registers in the store and stays registered: the entry ends three heartbeat intervals after the last one.
    fn stay_registered(&self) {
        let timeout = Duration::from_millis(1_000);
        let post = |path: &str, body: &str| call(self.profile.store, "POST", path, &[], body, timeout);
        let mut lease = 0;
        loop {
            let kept =
                lease != 0 && post(&format!("/-/kv-keep/{lease}"), "{}").is_some_and(|(s, _)| s == 200);
            if !kept {
                let granted = post("/-/kv-lease", &format!("{{\"ttlMs\":{}}}", 3 * HEARTBEAT_MS));
                lease =
                    granted.and_then(|(_, body)| parse(body.as_bytes())).map_or(0, |b| b.get("lease").u64());
                let (key, value) = (&self.profile.id, encode_base64(self.entry().as_bytes()));
                let puts = format!("[{{\"key\":\"servers/{key}\",\"value\":\"{value}\",\"lease\":{lease}}}]");
                let body = format!("{{\"expect\":[],\"puts\":{puts},\"deletes\":[]}}");
                let put = post("/-/kv-txn", &body);
                self.say(&format!("registered: {}", put.map_or(0, |(status, _)| status)));
            }
            std::thread::sleep(Duration::from_millis(HEARTBEAT_MS));
        }
    }
}

/// Runs a runner until the process is killed.
pub fn run(profile: Profile) {
    let runner = Arc::new(Runner {
        profile,
        state: Mutex::default(),
        changed: Condvar::new(),
        started: Instant::now(),
        born: unix_ms(),
    });
    let mut listener = TcpListener::bind(runner.profile.listen);
    while listener.is_err() {
        std::thread::sleep(Duration::from_millis(5));
        listener = TcpListener::bind(runner.profile.listen);
    }
    runner.say(&format!("up, labels {:?}, cpu {}", runner.profile.labels, runner.profile.cpu));
    let served = Arc::clone(&runner);
    serve(listener.expect("a listener"), move |request| Some(served.answer(request)));
    std::thread::spawn(|| {
        // The input ends with the script.
        let _ = std::io::stdin().lines().count();
        std::process::exit(0);
    });
    let ticked = Arc::clone(&runner);
    std::thread::spawn(move || loop {
        std::thread::sleep(Duration::from_millis(10));
        ticked.tick();
    });
    runner.stay_registered();
}
