//! The cases.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::checks::{runs_at_once, starts_after_done};
use crate::http::{Ended, OpenConnection};
use crate::runner::{Kind, Plan, Planner};
use crate::system::{LATE_WRITE, System};
use crate::trace::Seen;

/// Kind of the machines, with the size that the site tfcl-ops gives its workers.
const KIND_A: Kind = Kind { label: "a", cpu: 32_000, mem_mb: 131_072 };

const JOB: &str = "5c0e7a21d94b36f8";

/// What was seen: the system and what breaks the rule.
type Outcome = Result<(System, Vec<String>), String>;

/// Plays a case and writes its record.
pub fn play(number: u32, trouble: bool, folder: &Path) -> Result<Verdict, String> {
    let (system, broken) = match number {
        6 => ends_beyond_a_page(trouble)?,
        7 => lasting_tasks_that_end(trouble)?,
        8 => entry_of_another_writer(trouble)?,
        9 => requests_at_exit(trouble)?,
        10 => cancelled_before_stored(trouble)?,
        _ => return Err("there is no such case".into()),
    };
    if let Some(logs) = std::env::var_os("REVIEW_LOGS") {
        system.keep_logs(Path::new(&logs));
    }
    let verdict = if broken.is_empty() { "the rule held".into() } else { broken.join("\n") };
    system.write_record(&folder.join("record.txt"), &verdict).map_err(|error| error.to_string())?;
    Ok(if broken.is_empty() { Verdict::Held } else { Verdict::Broken(broken) })
}

/// Returns a number that looks random but is the same in each run.
fn scatter(text: &str, number: u64, range: u64) -> u64 {
    let seed = text.bytes().fold(14_695_981_039_346_656_037_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(1_099_511_628_211)
    });
    let mixed = (seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed >> 20) % range
}

/// Returns whether a task is not of a case's job. The jobs of a case differ in their last digit.
fn is_probe(task: &str) -> bool {
    !task.starts_with(&JOB[..15])
}

const PROBE: Plan = Plan { cpu: 100, work: Some(Duration::from_millis(50)), how: "done" };

fn wait_until(timeout: Duration, mut is_so: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + timeout;
    while Instant::now() < until {
        if is_so() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    false
}

/// Case 6: many small tasks end while the store is down, more on a runner than it lists in one answer.
fn ends_beyond_a_page(trouble: bool) -> Outcome {
    const TASKS: usize = 1_400;
    let planner: Planner = Arc::new(|task, run| {
        if is_probe(task) {
            return PROBE;
        }
        let work = Duration::from_millis(2_000 + scatter(task, run, 2_500));
        Plan { cpu: 40, work: Some(work), how: "done" }
    });
    let system = System::start(3, &[("r1-0", KIND_A), ("r1-1", KIND_A)], &planner)?;
    let body = format!(
        r#"{{"spec":"many small tasks","steps":[{{"count":{TASKS},"cpu":40,"memMb":64,"estimateMs":3500}}]}}"#
    );
    system.submit(JOB, &body)?;
    let started = || {
        let rows = system.trace.rows();
        rows.iter()
            .filter(|(_, seen)| matches!(seen, Seen::Started { task, .. } if task.starts_with(JOB)))
            .count()
    };
    if !wait_until(Duration::from_secs(10), || started() >= TASKS) {
        return Err(format!("only {} of {TASKS} tasks were started", started()));
    }
    if trouble {
        system.trace.note("disruption: the store is down (503)");
        system.store.begin_outage();
        std::thread::sleep(Duration::from_millis(4_500));
        system.store.end_outage();
        system.trace.note("the store is back");
    }
    system.wait_for_state(JOB, "completed", Duration::from_secs(30))?;
    // The last ends are taken note of.
    std::thread::sleep(Duration::from_secs(2));
    let broken = starts_after_done(&system.trace.rows());
    Ok((system, broken))
}

/// Case 7: a service ends again and again soon after its start, and the store turns the acting daemon away meanwhile.
fn lasting_tasks_that_end(trouble: bool) -> Outcome {
    const TASKS: usize = 160;
    const OTHERS: &str = "00000000000000b1";
    let is_mended = Arc::new(AtomicBool::new(false));
    let mended = Arc::clone(&is_mended);
    let planner: Planner = Arc::new(move |task, run| {
        if task.starts_with(OTHERS) {
            return Plan {
                cpu: 2_000,
                work: Some(Duration::from_millis(300 + scatter(task, run, 600))),
                how: "done",
            };
        }
        if is_probe(task) {
            return PROBE;
        }
        // Half of the runs end soon, the others within seconds.
        let is_short = scatter(task, run, 2) == 0;
        let work = if is_short { 300 + scatter(task, run, 600) } else { 3_000 + scatter(task, run, 3_000) };
        let work = Duration::from_millis(work);
        // Runs that start once the service is mended last until they are stopped.
        Plan { cpu: 150, work: (!mended.load(Ordering::SeqCst)).then_some(work), how: "done" }
    });
    let runners: Vec<_> = (0..6).map(|number| (["r1-0", "r1-1"][number / 3], KIND_A)).collect();
    let system = System::start(3, &runners, &planner)?;
    let body = format!(
        r#"{{"spec":"watches","steps":[{{"count":{TASKS},"cpu":150,"memMb":128,"persistent":true,"image":"watch"}}]}}"#
    );
    system.submit(JOB, &body)?;
    let others = r#"{"spec":"checks","steps":[{"count":2500,"cpu":2000,"memMb":512,"estimateMs":600}]}"#;
    system.submit(OTHERS, others)?;
    std::thread::sleep(Duration::from_secs(3));
    let number = system.acting_daemon().ok_or("no daemon acts")?;
    if trouble {
        system.turn_away(number, true);
    }
    std::thread::sleep(Duration::from_secs(7));
    if trouble {
        system.turn_away(number, false);
    }
    is_mended.store(true, Ordering::SeqCst);
    system.trace.note("the service is mended: runs that start from now on last");
    std::thread::sleep(Duration::from_secs(10));
    if !system.cancel(JOB) {
        return Err("the cancellation was not acknowledged".into());
    }
    // cancel_ms and stopTimeoutMs, and a second more.
    std::thread::sleep(Duration::from_millis(3_000 + 900 + 1_000));
    let left: Vec<String> = system
        .running_tasks(JOB)
        .into_iter()
        .map(|(runner, task, run)| {
            format!("{task} run {run} still works on {runner} 4,900 ms after the job was cancelled")
        })
        .collect();
    let until_ms = system.trace.now_ms();
    let mut broken = left;
    broken.extend(runs_at_once(&system.trace.rows(), until_ms, 500));
    Ok((system, broken))
}

/// Case 8: another writer overwrites the entry of a runner; the runner writes its own again with its next heartbeat.
fn entry_of_another_writer(trouble: bool) -> Outcome {
    let planner: Planner = Arc::new(|task, run| {
        if is_probe(task) {
            return PROBE;
        }
        Plan { cpu: 4_000, work: Some(Duration::from_millis(5_000 + scatter(task, run, 1_000))), how: "done" }
    });
    let runners: Vec<_> = (0..6).map(|number| (["r1-0", "r1-1"][number / 3], KIND_A)).collect();
    let system = System::start(3, &runners, &planner)?;
    let body = r#"{"spec":"appraisals","steps":[{"count":24,"cpu":4000,"memMb":8000,"estimateMs":5500}]}"#;
    system.submit(JOB, body)?;
    if !wait_until(Duration::from_secs(5), || system.running_tasks(JOB).len() >= 24) {
        return Err("the tasks were not started".into());
    }
    std::thread::sleep(Duration::from_millis(1_500));
    let busiest = system.runners.iter().max_by_key(|runner| runner.running().len());
    let runner = busiest.ok_or("there is no runner")?;
    if trouble {
        runner.overwrite_entry("press");
        std::thread::sleep(Duration::from_millis(1_500));
        runner.register();
    }
    system.wait_for_state(JOB, "completed", Duration::from_secs(40))?;
    let broken = runs_at_once(&system.trace.rows(), system.trace.now_ms(), 500);
    Ok((system, broken))
}

/// Case 9: clients ask for a job's state on open connections while the daemons are stopped and started in turn.
fn requests_at_exit(trouble: bool) -> Outcome {
    const CLIENTS_PER_DAEMON: usize = 160;
    const PAUSE: Duration = Duration::from_millis(2);
    const LOSS_SLACK: Duration = Duration::from_millis(200);
    let planner: Planner = Arc::new(|_, _| PROBE);
    let mut system = System::start(3, &[("r1-0", KIND_A), ("r1-1", KIND_A)], &planner)?;
    let body = r#"{"spec":"check","steps":[{"count":4,"cpu":1000,"memMb":128,"estimateMs":50}]}"#;
    system.submit(JOB, body)?;
    system.wait_for_state(JOB, "completed", Duration::from_secs(10))?;
    let is_over = Arc::new(AtomicBool::new(false));
    let (fronts, (path, host)) = (system.fronts(), System::job_path(JOB));
    let answered = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..CLIENTS_PER_DAEMON * fronts.len())
        .map(|number| {
            let (is_over, fronts, path, trace) = (Arc::clone(&is_over), fronts.clone(), path.clone(), system.trace.clone());
            let answered = Arc::clone(&answered);
            std::thread::spawn(move || {
                let mut lost = Vec::new();
                let mut at = number % fronts.len();
                while !is_over.load(Ordering::SeqCst) {
                    let Some(mut connection) = OpenConnection::open(fronts[at], Duration::from_secs(3)) else {
                        at = (at + 1) % fronts.len();
                        std::thread::sleep(Duration::from_millis(20));
                        continue;
                    };
                    while !is_over.load(Ordering::SeqCst) {
                        let (ended, took) = connection.call("GET", &path, host, "");
                        if let Ended::Answered(_) = ended {
                            answered.fetch_add(1, Ordering::SeqCst);
                            std::thread::sleep(PAUSE);
                            continue;
                        }
                        if ended == Ended::ClosedUnanswered && took > LOSS_SLACK {
                            let text = format!(
                                "client {number}: its request at {} was read and not answered; the connection was closed {} ms after the last byte",
                                fronts[at],
                                took.as_millis()
                            );
                            trace.note(text.clone());
                            lost.push(text);
                        }
                        break;
                    }
                    at = (at + 1) % fronts.len();
                }
                lost
            })
        })
        .collect();
    for round in 0..2 {
        for number in 0..3 {
            std::thread::sleep(Duration::from_secs(1));
            if trouble {
                system.terminate_daemon(number);
                system.start_daemon(number)?;
            } else if round == 0 {
                std::thread::sleep(Duration::from_secs(4));
            }
        }
    }
    std::thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::SeqCst);
    let lost = clients.into_iter().flat_map(|client| client.join().unwrap_or_default()).collect();
    system.trace.note(format!("{} requests were answered", answered.load(Ordering::SeqCst)));
    Ok((system, lost))
}

/// Case 10: a client leaves when its job is not answered at once, and cancels it at another daemon.
fn cancelled_before_stored(trouble: bool) -> Outcome {
    const ROUNDS: usize = 3;
    /// Jobs of other clients in each round, which wait for their answers.
    const OTHERS: usize = 6;
    const OTHER_JOB: &str = r#"{"spec":"check","steps":[{"count":1,"cpu":100,"memMb":10,"estimateMs":50}]}"#;
    const PATIENCE: Duration = Duration::from_millis(250);
    const CANCEL_MS: u64 = 3_000;
    const STOP_TIMEOUT_MS: u64 = 900;
    const STABLE_WINDOW_MS: u64 = 3_000;
    let planner: Planner = Arc::new(|task, _| {
        if is_probe(task) {
            return PROBE;
        }
        Plan { cpu: 2_000, work: Some(Duration::from_secs(9)), how: "done" }
    });
    let system = System::start(3, &[("r1-0", KIND_A), ("r1-1", KIND_A)], &planner)?;
    let acting = system.acting_daemon().ok_or("no daemon acts")?;
    let (first, second) = ((acting + 1) % 3, (acting + 2) % 3);
    let body = r#"{"spec":"appraisal","steps":[{"count":2,"cpu":2000,"memMb":512,"estimateMs":9000},{"count":2,"cpu":2000,"memMb":512,"estimateMs":9000,"after":[0]}]}"#;
    let mut cancelled: Vec<(String, u64)> = Vec::new();
    for round in 0..ROUNDS {
        let id = format!("{}{round:x}", &JOB[..15]);
        for other in 0..OTHERS {
            let id = format!("{:016x}", 0xc000 + round * OTHERS + other);
            if system.call_daemon(second, "POST", &id, OTHER_JOB, Duration::from_secs(3)) != Some(200) {
                return Err(format!("job {id} was not accepted"));
            }
        }
        if trouble {
            system.delay_next_write(first);
        }
        system.call_daemon(first, "POST", &id, body, PATIENCE);
        let status =
            (0..5).find_map(|_| system.call_daemon(second, "DELETE", &id, "", Duration::from_secs(3)));
        match status {
            Some(200..=299 | 410) => cancelled.push((id, system.trace.now_ms())),
            other => return Err(format!("the cancellation of {id} got {other:?}")),
        }
        std::thread::sleep(Duration::from_millis(1_500));
    }
    // The last late write is carried out, and both steps come to their end.
    let calm_from_ms = system.trace.now_ms() + LATE_WRITE.as_millis() as u64 + STABLE_WINDOW_MS;
    std::thread::sleep(Duration::from_secs(19));
    let mut broken = Vec::new();
    for (at_ms, seen) in system.trace.rows() {
        match seen {
            Seen::Started { runner, task, run, .. } => {
                let job = cancelled.iter().find(|(id, _)| task.starts_with(id.as_str()));
                if let Some((_, cancelled_ms)) =
                    job.filter(|(_, cancelled_ms)| at_ms > (cancelled_ms + CANCEL_MS).max(calm_from_ms))
                {
                    let since_ms = at_ms - cancelled_ms;
                    broken.push(format!("{runner} was told to start {task} run {run} {since_ms} ms after the cancellation was answered"));
                }
            }
            Seen::Ended { runner, task, run, how, .. } => {
                let job = cancelled.iter().find(|(id, _)| task.starts_with(id.as_str()));
                if let Some((_, cancelled_ms)) = job.filter(|(_, cancelled_ms)| {
                    at_ms > (cancelled_ms + CANCEL_MS + STOP_TIMEOUT_MS).max(calm_from_ms)
                }) {
                    let since_ms = at_ms - cancelled_ms;
                    broken.push(format!("{task} run {run} worked on {runner} until {since_ms} ms after the cancellation was answered, and ended {how}"));
                }
            }
            _ => {}
        }
    }
    Ok((system, broken))
}
