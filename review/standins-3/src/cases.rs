//! The cases. Each returns whether the rule held.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::cell::{Cell, MAX_ATTEMPTS};
use crate::proxy::Proxy;

pub fn play(name: &str, record: &Path, trouble: bool) -> bool {
    match name {
        "late-start" => late_start(record, trouble),
        "flapping-runner" => flapping_runner(record, trouble),
        "uncounted-jobs" => uncounted_jobs(record, trouble),
        "late-pace" => late_pace(record, trouble),
        _ => panic!("no such case"),
    }
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Starts runners of kind `a`, eight a rack, and some of kind `g` on a rack of their own.
fn start_runners(cell: &mut Cell, plain: usize, special: &[&str]) {
    for index in 0..plain {
        let rack = format!("r1-{}", index / 8);
        let profile = cell.profile(&format!("i-a{index:02}"), &["a", &rack], 32_000);
        cell.start_runner(profile);
    }
    for id in special {
        let profile = cell.profile(id, &["g", "r1-9"], 32_000);
        cell.start_runner(profile);
    }
    std::thread::sleep(Duration::from_secs(3));
}

fn verdict(cell: &Cell, held: bool, text: &str) -> bool {
    cell.record.add(&format!("{}: {text}", if held { "held" } else { "BROKEN" }));
    held
}

/// Waits until a condition holds; returns whether it did in time.
fn wait_for(limit: Duration, holds: impl Fn() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    holds()
}

/// Time and end of the runs of a task, by runner, as the record shows them; `u64::MAX` for a run that goes on.
fn runs_of(cell: &Cell, task: &str) -> Vec<(String, u64, u64, u64)> {
    let word = |line: &str, index: usize| line.split_whitespace().nth(index).unwrap_or("").to_owned();
    let at = |line: &str| word(line, 0).parse().unwrap_or(0);
    let starts = cell.record.lines_with(&["runner i-", &format!(" start {task} run ")]);
    let found = starts.iter().map(|line| {
        let (id, run) = (word(line, 2), word(line, 6));
        let ends = cell.record.lines_with(&[&format!("runner {id} end {task} run {run} ")]);
        let kills = cell.record.lines_with(&[&format!("runner {id} killed")]);
        let end = ends.iter().chain(&kills).map(|end| at(end)).filter(|end| *end >= at(line)).min();
        (id, run.parse().unwrap_or(0), at(line), end.unwrap_or(u64::MAX))
    });
    found.collect()
}

/// Adds the runs of a task to the record; returns their number, and that of pairs of them at the same time.
fn record_overlaps(cell: &Cell, task: &str) -> (usize, usize) {
    let runs = runs_of(cell, task);
    let mut twice = 0;
    for (index, (id, run, from, to)) in runs.iter().enumerate() {
        let end = if *to == u64::MAX { "the end".into() } else { to.to_string() };
        cell.record.add(&format!("{task} run {run} on {id}: {from} to {end}"));
        twice += runs[..index].iter().filter(|other| from.max(&other.2) < to.min(&other.3)).count();
    }
    (runs.len(), twice)
}

/// A start order gets no answer and is carried out 8 s later. Its runner crashed meanwhile and started again.
fn late_start(record: &Path, trouble: bool) -> bool {
    let mut cell = Cell::start(record, false);
    cell.await_ready();
    start_runners(&mut cell, 26, &["i-g01"]);
    // The smaller of the two runners of its kind, so that the task fits it best. It joins last.
    let mut profile = cell.profile("i-g00", &["g", "r1-9"], 4_000);
    profile.mem_mb = 1_024;
    let proxy = Proxy::start(profile.listen, cell.record.clone());
    profile.address = proxy.address;
    cell.start_runner(profile);
    std::thread::sleep(Duration::from_secs(8));
    if trouble {
        proxy.withhold_next("/-/run-start", "");
    }
    let job = "5c0e7a21d94b36f8";
    let task = format!("{job}.0.0.0");
    let body = r#"{"spec":"work 5000","steps":[{"count":1,"cpu":2500,"memMb":512,"estimateMs":5000,"requiredLabel":"g"}]}"#;
    cell.submit(0, job, body);
    let sent = Instant::now();
    if trouble {
        let is_withheld = wait_for(Duration::from_secs(2), || proxy.has_withheld());
        cell.require(is_withheld, "no start came to the proxy");
        sleep_until(sent + Duration::from_millis(2_000));
        proxy.set_silent(true);
        let profile = cell.kill_runner("i-g00");
        sleep_until(sent + Duration::from_millis(4_000));
        cell.start_runner(profile);
        proxy.set_silent(false);
        sleep_until(sent + Duration::from_millis(8_000));
        proxy.deliver_withheld();
    }
    sleep_until(sent + Duration::from_secs(15));
    let (runs, twice) = record_overlaps(&cell, &task);
    let done = cell.record.lines_with(&[&format!(" end {task} run "), " done"]).len();
    let text = format!("{runs} runs of {task}; {twice} pairs of them at the same time; {done} ends `done`");
    verdict(&cell, twice == 0, &text)
}

/// One runner of 28 goes down and up by turns while a job needs it. No run of the job ever ends `failed`.
fn flapping_runner(record: &Path, trouble: bool) -> bool {
    const GAP_MS: u64 = 950;
    const FLAPS: u64 = 4;
    let mut cell = Cell::start(record, true);
    cell.await_ready();
    start_runners(&mut cell, 27, &["i-g00"]);
    let job = "5c0e7a21d94b36f8";
    let body = r#"{"spec":"work 3000","steps":[{"count":1,"cpu":2500,"memMb":512,"estimateMs":3000,"requiredLabel":"g"}]}"#;
    let start = Instant::now();
    let at = |step: u64| start + Duration::from_millis(step * GAP_MS);
    let mut profile = None;
    if trouble {
        profile = Some(cell.kill_runner("i-g00"));
    }
    sleep_until(start + Duration::from_millis(200));
    cell.submit(0, job, body);
    for flap in 0..FLAPS {
        sleep_until(at(2 * flap + 1));
        if let Some(profile) = profile.take() {
            cell.start_runner(profile);
        }
        sleep_until(at(2 * flap + 2));
        if trouble && flap + 1 < FLAPS {
            profile = Some(cell.kill_runner("i-g00"));
        }
    }
    cell.record.add("the runner is up for good");
    let until = Instant::now() + Duration::from_secs(30);
    let mut state = String::new();
    for turn in 0.. {
        state = cell.state_of(turn % 3, job);
        if state == "failed" || state == "completed" || Instant::now() > until {
            break;
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    let failed_ends = cell.record.lines_with(&["runner i-", " end ", " failed"]).len();
    let starts = cell.record.lines_with(&["runner i-", " start "]).len();
    let text = format!("the job is {state:?} after {starts} starts and {failed_ends} ends `failed`; maxAttempts is {MAX_ATTEMPTS}");
    verdict(&cell, state != "failed" || failed_ends >= MAX_ATTEMPTS as usize, &text)
}

/// The only runner of a kind is lost for good, without a reset. Jobs that need it wait, and are not counted as pending.
fn uncounted_jobs(record: &Path, trouble: bool) -> bool {
    const JOBS: usize = 6;
    let mut cell = Cell::start(record, false);
    cell.await_ready();
    start_runners(&mut cell, 27, &["i-g00"]);
    if trouble {
        cell.pause_runner("i-g00");
    }
    let body = r#"{"spec":"work 20000","steps":[{"count":1,"cpu":2500,"memMb":512,"estimateMs":20000,"requiredLabel":"g"}]}"#;
    for index in 0..JOBS {
        cell.submit(index % 3, &format!("5c0e7a21d94b36f{index}"), body);
    }
    let accepted = Instant::now();
    // Jobs count 5 s after their acceptance: `visible_ms` and two seconds more.
    let (mut asked, mut wrong) = (0, 0);
    for second in 7..=16_u64 {
        sleep_until(accepted + Duration::from_secs(second));
        let begun = cell.record.lines_with(&["runner i-", " start "]).len();
        let waiting = JOBS.saturating_sub(begun) as u64;
        for daemon in 0..3 {
            let Some(pending) = cell.pending(daemon) else { continue };
            asked += 1;
            wrong += u64::from(pending * 2 < waiting);
        }
    }
    let begun = cell.record.lines_with(&["runner i-", " start "]).len();
    cell.require(asked > 0, "no daemon told a count");
    let text = format!(
        "{begun} of {JOBS} jobs have begun; {wrong} of {asked} answers gave under half of the others"
    );
    verdict(&cell, wrong == 0, &text)
}

/// An order that lets a filler work at a quarter gets no answer and is carried out seconds later, after newer ones.
fn late_pace(record: &Path, trouble: bool) -> bool {
    const TARGET_MS: u64 = 200;
    const HARM_MS: u64 = 4_000;
    let mut cell = Cell::start(record, false);
    cell.await_ready();
    start_runners(&mut cell, 27, &[]);
    let mut profile = cell.profile("i-g00", &["g", "r1-9"], 32_000);
    let proxy = Proxy::start(profile.listen, cell.record.clone());
    profile.address = proxy.address;
    cell.start_runner(profile);
    std::thread::sleep(Duration::from_secs(3));
    let serving = r#"{"spec":"serve","steps":[{"count":1,"cpu":2500,"memMb":512,"estimateMs":300,"requiredLabel":"g","persistent":true,"image":"watch","targetMs":200}]}"#;
    let filling = r#"{"spec":"fill 120000","steps":[{"count":1,"cpu":2000,"memMb":512,"estimateMs":120000,"requiredLabel":"g","image":"mine","fills":true}]}"#;
    cell.submit(0, "5c0e7a21d94b36f8", serving);
    std::thread::sleep(Duration::from_secs(2));
    cell.submit(1, "5c0e7a21d94b36f9", filling);
    std::thread::sleep(Duration::from_secs(6));
    if trouble {
        proxy.withhold_next("/-/pace", "\"percent\":25");
        cell.require(
            wait_for(Duration::from_secs(10), || proxy.has_withheld()),
            "no pace order came to the proxy",
        );
        let withheld = Instant::now();
        sleep_until(withheld + Duration::from_millis(2_500));
        let paused = || cell.record.lines_with(&["runner i-g00 paces", " to 0"]).len();
        let before = paused();
        cell.require(
            wait_for(Duration::from_secs(8), || paused() > before),
            "the filler was not paced down again",
        );
        std::thread::sleep(Duration::from_millis(400));
        let late_ms = withheld.elapsed().as_millis();
        cell.record.add(&format!("the withheld order is carried out {late_ms} ms late"));
        proxy.deliver_withheld();
    }
    // Judged only once the disruption has been over for `stableWindowMs`.
    std::thread::sleep(Duration::from_secs(3));
    let from_ms = cell.record.now_ms();
    std::thread::sleep(Duration::from_secs(20));
    let to_ms = cell.record.now_ms();
    let (mut over_since, mut longest_ms) = (None, 0);
    for line in cell.record.lines_with(&["runner i-g00 tail "]) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let at_ms: u64 = words[0].parse().unwrap_or(0);
        let tail_ms: u64 = words.last().and_then(|word| word.parse().ok()).unwrap_or(0);
        if tail_ms > TARGET_MS {
            over_since.get_or_insert(at_ms);
        } else if let Some(since) = over_since.take() {
            longest_ms = longest_ms.max(at_ms.saturating_sub(from_ms.max(since)));
        }
    }
    let open_ms = over_since.map_or(0, |since| to_ms - from_ms.max(since));
    longest_ms = longest_ms.max(open_ms);
    let pace_orders = cell.record.lines_with(&["runner i-g00 paces"]);
    let late_orders = pace_orders.iter().filter(|line| {
        line.split_whitespace().next().and_then(|at| at.parse::<u64>().ok()).is_some_and(|at| at >= from_ms)
    });
    let text = format!(
        "the serving task was over its target for {longest_ms} ms on end, at the end for {open_ms} ms; \
         {} pace orders in the last 20 s",
        late_orders.count()
    );
    verdict(&cell, longest_ms < HARM_MS, &text)
}
