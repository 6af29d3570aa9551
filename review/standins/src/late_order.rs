//! A runner crashes before it has carried out a start order, which is carried out seconds later, when the runner has
//! started again under the same id.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::cell::Cell;
use crate::record::Record;
use crate::runner::{Runner, Work};

const DAEMONS: usize = 7;

/// One of eight runners, an eighth, is down at a time.
const RUNNERS: usize = 8;

const DOWN: Duration = Duration::from_millis(4_450);

/// Time from the start order to the crash of its runner.
const CRASH_AFTER: Duration = Duration::from_millis(50);

/// Number of times that this happens.
const ROUNDS: usize = 3;

pub fn run(record: &Arc<Record>, is_disrupted: bool) -> io::Result<()> {
    let cell = Cell::start(record, DAEMONS, &[32_000; RUNNERS], |_, _| false)?;
    let lasting = Work { time: None, cpu: 2_500 };
    let body = "{\"spec\":\"watch\",\"steps\":[{\"count\":4,\"cpu\":2500,\"memMb\":512,\"estimateMs\":300,\"persistent\":true}]}";
    if !cell.submit("5c0e7a21d94b5000", body, lasting, 0) {
        return Err(io::Error::other("a job was not accepted"));
    }
    std::thread::sleep(Duration::from_secs(2));
    for round in 1..=ROUNDS {
        disrupt_one(&cell, round, is_disrupted)?;
        std::thread::sleep(Duration::from_secs(4));
    }
    Ok(())
}

fn disrupt_one(cell: &Cell, round: usize, is_disrupted: bool) -> io::Result<()> {
    let id = format!("5c0e7a21d94b51{round:02x}");
    let task = format!("{id}.0.0.0");
    let work = Work { time: Some(Duration::from_secs(20)), cpu: 2_500 };
    let body =
        "{\"spec\":\"appraisal\",\"steps\":[{\"count\":1,\"cpu\":2500,\"memMb\":512,\"estimateMs\":20000}]}";
    let keep_next_start = |is_wanted: bool| {
        for runner in &cell.runners {
            runner.keep_next_start(is_disrupted && is_wanted);
        }
    };
    keep_next_start(true);
    if !cell.submit(&id, body, work, round) {
        return Err(io::Error::other("a job was not accepted"));
    }
    if !is_disrupted {
        std::thread::sleep(DOWN);
        return Ok(());
    }
    let kept = wait_for("no start order came", || cell.runners.iter().find(|runner| runner.has_kept_start()));
    keep_next_start(false);
    let runner: &Arc<Runner> = kept?;
    std::thread::sleep(CRASH_AFTER);
    runner.crash();
    std::thread::sleep(DOWN);
    if cell.record.live_run(&task).is_none() {
        cell.record.line("the task did not start elsewhere; this round shows nothing");
    }
    runner.restart(&runner.id(), 32_000)?;
    runner.carry_out_late();
    Ok(())
}

fn wait_for<T>(failure: &str, mut find: impl FnMut() -> Option<T>) -> io::Result<T> {
    let deadline = Instant::now() + Duration::from_secs(5);
    while Instant::now() < deadline {
        if let Some(found) = find() {
            return Ok(found);
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    Err(io::Error::other(failure.to_owned()))
}
