//! Two runners crash one after the other, each just after the same task has started on it.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::cell::{Cell, MAX_ATTEMPTS};
use crate::record::Record;
use crate::runner::Work;

const DAEMONS: usize = 7;

/// One of eight runners, an eighth, is down at a time.
const RUNNERS: usize = 8;

/// Number of crashes, one at a time.
const CRASHES: usize = 2;

/// Time from the start of the task to the crash of its runner.
const CRASH_AFTER: Duration = Duration::from_millis(60);

const DOWN: Duration = Duration::from_millis(1_500);

/// Time from the last crash after which the job is asked for, `finish_s`.
const FINISH: Duration = Duration::from_secs(14);

const JOB: &str = "5c0e7a21d94b0003";

pub fn run(record: &Arc<Record>, is_disrupted: bool) -> io::Result<()> {
    let cell = Cell::start(record, DAEMONS, &[32_000; RUNNERS], |_, _| false)?;
    let work = Work { time: Some(Duration::from_millis(680)), cpu: 2_500 };
    let body = "{\"spec\":\"check\",\"steps\":[{\"count\":1,\"cpu\":2500,\"memMb\":512,\"estimateMs\":680}]}";
    let task = format!("{JOB}.0.0.0");
    let submitting = std::thread::scope(|scope| {
        let crashing = scope.spawn(|| if is_disrupted { crash_runners(&cell, &task) } else { Ok(()) });
        let is_accepted = cell.submit(JOB, body, work, 0);
        crashing.join().unwrap_or_else(|_| Err(io::Error::other("the crashes failed"))).map(|()| is_accepted)
    });
    if !submitting? {
        return Err(io::Error::other("the job was not accepted"));
    }
    let deadline = Instant::now() + FINISH;
    let mut daemon = 0;
    while Instant::now() < deadline {
        match cell.state(JOB, daemon).as_deref() {
            Some("completed") => return Ok(()),
            Some("failed") => {
                record.violation(&format!(
                    "LOST: the job is shown as failed; none of its runs has ended `failed`, and {MAX_ATTEMPTS} may"
                ));
                return Ok(());
            }
            _ => std::thread::sleep(Duration::from_millis(500)),
        }
        daemon += 1;
    }
    Ok(())
}

fn crash_runners(cell: &Cell, task: &str) -> io::Result<()> {
    let mut last_run = 0;
    for crash in 0..CRASHES {
        let deadline = Instant::now() + Duration::from_secs(20);
        let runner = loop {
            if let Some((runner, run)) = cell.record.live_run(task).filter(|(_, run)| *run > last_run) {
                last_run = run;
                break runner;
            }
            if Instant::now() > deadline {
                return Err(io::Error::other("the task was not started again"));
            }
            std::thread::sleep(Duration::from_millis(1));
        };
        std::thread::sleep(CRASH_AFTER);
        let Some(runner) = cell.runners.iter().find(|other| other.id() == runner) else {
            return Err(io::Error::other("no such runner"));
        };
        runner.crash();
        std::thread::sleep(DOWN);
        runner.restart(&format!("{}-{}", runner.id(), crash + 1), 32_000)?;
    }
    Ok(())
}
