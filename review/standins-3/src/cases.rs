//! The cases. Each returns whether the rule held.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::cell::Cell;
use crate::proxy::Proxy;

pub fn play(name: &str, record: &Path, trouble: bool) -> bool {
    match name {
        "late-start" => late_start(record, trouble),
        "large-progress" => large_progress(record, trouble),
        "uncounted-jobs" => uncounted_jobs(record, trouble),
        "late-pace" => late_pace(record, trouble),
        "many-steps" => many_steps(record, trouble),
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

/// Hands in a job whose tasks last, one on each runner of kind `a`, as other work of the deployment.
fn submit_lasting_work(cell: &Cell, runners: usize) {
    let body = format!(
        r#"{{"spec":"last","steps":[{{"count":{runners},"cpu":2500,"memMb":512,"estimateMs":300,"requiredLabel":"a","persistent":true,"maxPerServer":1}}]}}"#
    );
    cell.submit(2, "dddddddddddddddd", &body);
    let begun = || cell.record.lines_with(&[" start dddddddddddddddd"]).len() >= runners;
    cell.require(wait_for(Duration::from_secs(5), begun), "the lasting work did not begin");
}

/// Time for which the site lets a share of the orders be late, and that share.
const LATE_ORDERS: Duration = Duration::from_millis(5_500);
const LATE_SHARE: f64 = 0.055;

/// Records which share one late order has of those in 5.5 s from it on; the case can't run if it is too large.
///
/// Those of a process that was killed meanwhile are not counted, so that the share is rather smaller.
fn check_late_share(cell: &Cell, orders_before: u64) {
    let orders = cell.orders().saturating_sub(orders_before) + 1;
    let share = 1.0 / orders as f64;
    cell.record.add(&format!("1 of {orders} orders in 5.5 s is late, a share of {share:.4}"));
    cell.require(share <= LATE_SHARE, "too large a share of the orders is late");
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
    let mut cell = Cell::start(record);
    cell.await_ready();
    start_runners(&mut cell, 26, &["i-g01"]);
    submit_lasting_work(&cell, 26);
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
        let orders_before = cell.orders();
        sleep_until(sent + Duration::from_millis(2_000));
        proxy.set_silent(true);
        let profile = cell.kill_runner("i-g00");
        sleep_until(sent + Duration::from_millis(4_000));
        cell.start_runner(profile);
        proxy.set_silent(false);
        sleep_until(sent + LATE_ORDERS);
        check_late_share(&cell, orders_before);
        sleep_until(sent + Duration::from_millis(8_000));
        proxy.deliver_withheld();
    }
    sleep_until(sent + Duration::from_secs(15));
    let (runs, twice) = record_overlaps(&cell, &task);
    let done = cell.record.lines_with(&[&format!(" end {task} run "), " done"]).len();
    let text = format!("{runs} runs of {task}; {twice} pairs of them at the same time; {done} ends `done`");
    verdict(&cell, twice == 0, &text)
}

/// The only runner of a kind is lost for good, without a reset. Jobs that need it wait, and are not counted as pending.
fn uncounted_jobs(record: &Path, trouble: bool) -> bool {
    const JOBS: usize = 6;
    let mut cell = Cell::start(record);
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
    let mut cell = Cell::start(record);
    cell.await_ready();
    start_runners(&mut cell, 27, &[]);
    submit_lasting_work(&cell, 27);
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
        let (withheld, orders_before) = (Instant::now(), cell.orders());
        sleep_until(withheld + LATE_ORDERS);
        check_late_share(&cell, orders_before);
        let paused = || cell.record.lines_with(&["runner i-g00 paces", " to 0"]).len();
        let before = paused();
        cell.require(
            wait_for(Duration::from_secs(5), || paused() > before),
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

/// A job of many tasks saves its progress; its record outgrows what the store takes. Other jobs never end.
fn large_progress(record: &Path, trouble: bool) -> bool {
    const JOBS: usize = 30;
    const FINISH_S: u64 = 14;
    let mut cell = Cell::start(record);
    cell.await_ready();
    start_runners(&mut cell, 2, &[]);
    let count = if trouble { 4_096 } else { 64 };
    let large = format!(
        r#"{{"spec":"save 45000 9000","steps":[{{"count":{count},"cpu":5,"memMb":4,"estimateMs":45000,"savesProgress":true}}]}}"#
    );
    cell.submit(0, "aaaaaaaaaaaaaaaa", &large);
    // The first of its tasks end.
    std::thread::sleep(Duration::from_secs(14));
    let begin = Instant::now();
    for index in 0..JOBS {
        sleep_until(begin + Duration::from_millis(index as u64 * 300));
        let small = r#"{"spec":"work 300","steps":[{"count":40,"cpu":5,"memMb":4,"estimateMs":300},{"count":2,"cpu":5,"memMb":4,"estimateMs":300,"after":[0]}]}"#;
        cell.submit(index % 3, &format!("5c0e7a21d94b{index:04x}"), small);
    }
    cell.record.add("the traffic ends");
    // Until `finish_s` has passed, and all tasks that were started have ended.
    std::thread::sleep(Duration::from_secs(FINISH_S + 40));
    let now_ms = cell.record.now_ms();
    let (mut open, mut idle, mut done) = (0, 0, 0);
    for index in 0..JOBS {
        let id = format!("5c0e7a21d94b{index:04x}");
        if cell.state_of(index % 3, &id) == "completed" {
            continue;
        }
        open += 1;
        let first_ends = cell.record.lines_with(&[&format!(" end {id}.0.0."), " done"]);
        let last_ends = cell.record.lines_with(&[&format!(" end {id}.0.1."), " done"]);
        done += usize::from(first_ends.len() + last_ends.len() >= 42);
        let ends_ms =
            first_ends.iter().filter_map(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        let waits_ms = now_ms - ends_ms.max().unwrap_or(now_ms);
        let has_begun_next = !cell.record.lines_with(&[&format!(" start {id}.0.1.")]).is_empty();
        if first_ends.len() >= 40 && !has_begun_next && waits_ms >= 3_000 {
            idle += 1;
            cell.record
                .add(&format!("job {id}: its first step ended {waits_ms} ms ago, its second has not begun"));
        }
    }
    let large_state = cell.state_of(0, "aaaaaaaaaaaaaaaa");
    let large_ends = cell.record.lines_with(&[" end aaaaaaaaaaaaaaaa.0.0.", " done"]).len();
    let text = format!(
        "{open} of {JOBS} jobs are not completed: {idle} have had nothing running for 3 s or more though a step's turn \
         has come, {done} are done; the large one is {large_state:?}, with {large_ends} of {count} tasks done"
    );
    verdict(&cell, idle == 0, &text)
}

/// Clients hand in jobs of legal size that are made of many short steps. The daemons outgrow their machines in turn.
fn many_steps(record: &Path, trouble: bool) -> bool {
    const CLIENTS: usize = 6;
    const JOBS_PER_CLIENT: usize = 75;
    const ORDINARY_JOBS: usize = 12;
    const FINISH_S: u64 = 14;
    let mut cell = Cell::start(record);
    cell.await_ready();
    start_runners(&mut cell, 4, &[]);
    let step = r#"{"count":1,"requiredLabel":"x"}"#;
    let steps = vec![step; if trouble { 1_024 } else { 1 }].join(",");
    let many = format!(r#"{{"spec":"work 300","steps":[{steps}]}}"#);
    let step = r#"{"count":4,"cpu":500,"memMb":64,"estimateMs":3000"#;
    let ordinary = format!(r#"{{"spec":"work 3000","steps":[{step}}},{step},"after":[0]}}]}}"#);
    cell.record.add(&format!("bodies of the crowd have {} bytes", many.len()));
    // Each client sends a request after the answer to the last one, to the daemons in turn.
    let mut clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (door, body) = (cell.door(), many.clone());
            std::thread::spawn(move || {
                for index in 0..JOBS_PER_CLIENT {
                    let id = format!("bbbbbbbb{client:04x}{index:04x}");
                    door.submit_again_and_again((client + index) % 3, &id, &body);
                }
            })
        })
        .collect();
    let (door, accepted) = (cell.door(), std::sync::Arc::new(std::sync::Mutex::new(Vec::new())));
    let taken = std::sync::Arc::clone(&accepted);
    clients.push(std::thread::spawn(move || {
        for index in 0..ORDINARY_JOBS {
            let id = format!("aaaaaaaaaaaa{index:04x}");
            if door.submit_again_and_again(index % 3, &id, &ordinary) {
                taken.lock().expect("the accepted jobs").push(id);
            }
            std::thread::sleep(Duration::from_secs(2));
        }
    }));
    let mut ends = [0; 3];
    let until = Instant::now() + Duration::from_secs(50);
    while Instant::now() < until && clients.iter().any(|client| !client.is_finished()) {
        cell.enforce_memory(&mut ends);
        std::thread::sleep(Duration::from_millis(10));
    }
    cell.record.add("the traffic ends");
    let finish = Instant::now() + Duration::from_secs(FINISH_S);
    while Instant::now() < finish {
        cell.enforce_memory(&mut ends);
        std::thread::sleep(Duration::from_millis(10));
    }
    // Asked for several times, while the daemons end and start.
    let accepted = accepted.lock().expect("the accepted jobs").clone();
    let mut open = accepted.clone();
    for _ in 0..6 {
        for daemon in 0..3 {
            open.retain(|id| cell.state_of(daemon, id) != "completed");
            cell.enforce_memory(&mut ends);
        }
        let pause = Instant::now() + Duration::from_millis(500);
        while Instant::now() < pause {
            cell.enforce_memory(&mut ends);
            std::thread::sleep(Duration::from_millis(10));
        }
    }
    // A tenth of the machines, two at least, on which processes ended three times.
    let machines = ends.iter().filter(|ends| **ends >= 3).count();
    let text = format!(
        "the daemons were killed {ends:?} times for their memory; {} of {} accepted ordinary jobs are not completed",
        open.len(),
        accepted.len()
    );
    verdict(&cell, machines < 2 && open.is_empty(), &text)
}
