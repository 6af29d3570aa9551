//! Starts a small cell on loopback, drives both main jobs for about ten seconds and stops it gracefully.
//!
//! `cargo run --release --example quickstart`

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use cassiahoist_core::prelude::*;
use cassiahoist_standins::backend_log::read_log;
use cassiahoist_standins::caller::{CallerRecord, CallerRequest, cancel, look_up, submit_job};
use cassiahoist_standins::cell::{Cell, CellPlan};
use cassiahoist_standins::load::run_load;
use cassiahoist_standins::programs::{build_programs, run_folder};
use cassiahoist_standins::runner::RunnerTask;
use cassiahoist_standins::verdict::{Tally, count_overlapping_tasks, judge_requests};
use cassiahoist_wire::callers::JobSubmission;

/// Daemons of the cell.
const DAEMONS: usize = 7;
/// Requests made.
const REQUESTS: u64 = 2_000;
/// Requests made in a second.
const REQUESTS_PER_S: u64 = 250;
/// Jobs of each sort and fleet.
const JOBS: u64 = 4;
/// How long a graceful stop may take.
const STOP_LIMIT: Duration = Duration::from_secs(25);

/// What became of the jobs.
#[derive(Debug, Default)]
struct JobTally {
    sent: u64,
    finished: u64,
    cancelled: u64,
    refused: u64,
    lost: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("quickstart: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> std::io::Result<bool> {
    let programs = build_programs()?;
    let folder = run_folder("quickstart");
    let mut cell = Cell::start(&CellPlan::new(DAEMONS), &folder, programs).await?;
    let doors = cell.doors();
    println!("{DAEMONS} daemons serve {} hosts; files are in {}", cell.hosts.len(), folder.display());
    let (records, jobs) =
        tokio::join!(run_load(&doors, REQUESTS, REQUESTS_PER_S, request), drive_jobs(&doors));
    let stopped = stop_gracefully(&mut cell);
    let lines = read_log(&cell.backend_log)?;
    let tally = judge_requests(&records, &lines);
    let overlaps = count_overlapping_tasks(&lines);
    print_table(&records, &tally, &jobs, stopped);
    let (sent, answered) = (tally.sent + jobs.sent, tally.answered + jobs.finished + jobs.cancelled);
    let (refused, lost) = (tally.refused + jobs.refused, tally.lost + jobs.lost);
    let doubled = tally.doubled + overlaps;
    println!(
        "quickstart: {sent} sent, {answered} answered, {refused} refused, {lost} lost, {doubled} doubled"
    );
    let each_kind = tally.answered > 0 && jobs.finished > 0 && jobs.cancelled > 0;
    let good = lost == 0 && doubled == 0 && tally.overfull == 0 && each_kind && stopped == DAEMONS;
    drop(cell);
    if good {
        std::fs::remove_dir_all(&folder)?;
    }
    Ok(good)
}

/// Makes requests of both fleets under the same keys, so that names clash.
fn request(index: u64) -> CallerRequest {
    let (fleet, kind, idempotent) = match index % 4 {
        0 | 2 => ("tokachi", "eligibility-check", true),
        1 => ("gauteng", "stencil-proof", true),
        _ => ("gauteng", "engraving", false),
    };
    let fleet = Fleet::new(fleet).expect("the fleet's name is good");
    CallerRequest {
        identity: RequestIdentity::new(&fleet, &format!("key-{}", index / 2)).expect("the key is good"),
        kind: kind.into(),
        team: "counter".into(),
        idempotent,
        deadline_ms: 3_000,
        task: RunnerTask { run_ms: 5 + index % 20, fail: false, note: format!("note {index}") },
    }
}

fn job(class: WorkClass, tasks: u32, run_ms: u64) -> JobSubmission {
    JobSubmission {
        team: "night".into(),
        kind: WorkKind::new("appraisal").expect("the kind is good"),
        class,
        tasks,
        size: Resources::new(1_000, 2_048, 0),
        declared_run_ms: run_ms,
        idempotent: false,
        spread: false,
        argument: format!("run_ms={run_ms}"),
    }
}

async fn drive_jobs(doors: &[SocketAddr]) -> JobTally {
    let mut tally = JobTally::default();
    for index in 0..JOBS {
        for fleet in ["tokachi", "gauteng"] {
            let fleet = Fleet::new(fleet).expect("the fleet's name is good");
            let door = doors[index as usize % doors.len()];
            let identity =
                |word: &str| RequestIdentity::new(&fleet, &format!("{word}-{index}")).expect("good key");
            finish(&mut tally, door, &identity("batch"), &job(WorkClass::Batch, 10, 300)).await;
            finish(&mut tally, door, &identity("gang"), &job(WorkClass::Gang, 4, 200)).await;
            watch(&mut tally, door, &identity("watch")).await;
        }
    }
    tally
}

/// Submits a job and waits until it succeeded.
async fn finish(tally: &mut JobTally, door: SocketAddr, identity: &RequestIdentity, job: &JobSubmission) {
    tally.sent += 1;
    if !submit(tally, door, identity, job).await {
        return;
    }
    for _ in 0..100 {
        let (record, _) = look_up(door, identity).await;
        if record.outcome == Some(Outcome::Answered) {
            tally.finished += 1;
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    tally.lost += 1;
}

/// Submits a long-running watch, sees it run and cancels it.
async fn watch(tally: &mut JobTally, door: SocketAddr, identity: &RequestIdentity) {
    tally.sent += 1;
    if !submit(tally, door, identity, &job(WorkClass::Watch, 1, 600_000)).await {
        return;
    }
    for _ in 0..100 {
        let (_, body) = look_up(door, identity).await;
        let report: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        if report.get("running").and_then(serde_json::Value::as_u64) == Some(1) {
            let (record, _) = cancel(door, identity).await;
            match record.outcome {
                Some(Outcome::Failed) => tally.cancelled += 1,
                _ => tally.lost += 1,
            }
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    tally.lost += 1;
}

async fn submit(
    tally: &mut JobTally,
    door: SocketAddr,
    identity: &RequestIdentity,
    job: &JobSubmission,
) -> bool {
    let record = submit_job(door, identity, job).await;
    match record.outcome {
        Some(Outcome::Pending) => return true,
        Some(Outcome::NotRun) => tally.refused += 1,
        _ => tally.lost += 1,
    }
    false
}

/// Stops every daemon at once and counts those that ended well in time.
fn stop_gracefully(cell: &mut Cell) -> usize {
    let processes: Vec<_> = cell.daemons.iter_mut().filter_map(|daemon| daemon.process.take()).collect();
    for process in &processes {
        process.signal(libc::SIGTERM);
    }
    processes.into_iter().filter_map(|mut process| process.wait(STOP_LIMIT)).filter(|&code| code == 0).count()
}

fn print_table(records: &[CallerRecord], tally: &Tally, jobs: &JobTally, stopped: usize) {
    let mut took_us: Vec<u64> = records.iter().map(|record| record.took_us).collect();
    took_us.sort_unstable();
    let at =
        |permille: usize| took_us.get(took_us.len() * permille / 1_000).copied().unwrap_or_default() / 1_000;
    println!("            sent  answered  refused  other  lost  doubled");
    println!(
        "requests  {:>6}  {:>8}  {:>7}  {:>5}  {:>4}  {:>7}",
        tally.sent, tally.answered, tally.refused, tally.other, tally.lost, tally.doubled
    );
    println!(
        "jobs      {:>6}  {:>8}  {:>7}  {:>5}  {:>4}",
        jobs.sent, jobs.finished, jobs.refused, jobs.cancelled, jobs.lost
    );
    println!("requests took {} ms in the middle, {} ms at p99", at(500), at(990));
    println!("hosts overfull {}; daemons stopped gracefully {stopped}", tally.overfull);
}
