//! One job is to run each minute for a year.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::cell::{Cell, MEMORY_MB};
use crate::record::Record;
use crate::runner::{Work, unix_ms};

const DAEMONS: usize = 7;
const RUNNERS: usize = 8;

/// Number of occurrences: one a minute for a year.
const MANY_REPEATS: u32 = 60 * 24 * 365;

/// Number of occurrences in the undisrupted run.
const FEW_REPEATS: u32 = 4;

/// Time until the first occurrence, in milliseconds. None is due while the script runs.
const FIRST_RUN_IN_MS: u64 = 3_600_000;

/// Time for which ordinary jobs are submitted after the repeated one.
const TRAFFIC: Duration = Duration::from_secs(20);

/// Time after which the platform starts a process again that has ended.
const RESTART: Duration = Duration::from_millis(500);

/// Time from the end of the traffic after which jobs are asked for, `finish_s`.
const FINISH: Duration = Duration::from_secs(14);

pub fn run(record: &Arc<Record>, is_disrupted: bool) -> io::Result<()> {
    let mut cell = Cell::start(record, DAEMONS, &[32_000; RUNNERS], |_, _| false)?;
    let work = Work { time: Some(Duration::from_millis(680)), cpu: 2_500 };
    let check =
        "{\"spec\":\"check\",\"steps\":[{\"count\":6,\"cpu\":2500,\"memMb\":512,\"estimateMs\":680}]}";
    let repeats = if is_disrupted { MANY_REPEATS } else { FEW_REPEATS };
    let repeated = format!(
        "{{\"spec\":\"watch\",\"steps\":[{{\"count\":1,\"cpu\":500,\"memMb\":64,\"estimateMs\":200}}],\"repeatCount\":{repeats},\"firstRunMs\":{},\"intervalMs\":60000}}",
        unix_ms() + FIRST_RUN_IN_MS
    );
    if !cell.submit("5c0e7a21d94b2000", check, work, 0)
        || !cell.submit("5c0e7a21d94b2001", &repeated, work, 1)
    {
        return Err(io::Error::other("a job was not accepted"));
    }
    let mut accepted = vec!["5c0e7a21d94b2000".to_owned()];
    let mut ends = vec![0_u32; DAEMONS];
    let mut peaks = vec![0_u64; DAEMONS];
    let mut restart_at: Vec<Option<Instant>> = vec![None; DAEMONS];
    let begin = Instant::now();
    let mut next_job = 0_usize;
    while begin.elapsed() < TRAFFIC + FINISH {
        watch_memory(&mut cell, &mut ends, &mut peaks, &mut restart_at)?;
        if begin.elapsed() < TRAFFIC && begin.elapsed() > Duration::from_secs(2) * next_job as u32 {
            let id = format!("5c0e7a21d94b3{next_job:03x}");
            if let Some(daemon) =
                (0..DAEMONS).find(|daemon| cell.daemons[(next_job + daemon) % DAEMONS].is_ready())
                && cell.submit(&id, check, work, next_job + daemon)
            {
                accepted.push(id);
            }
            next_job += 1;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    record.line(&format!(
        "most memory of each daemon: {peaks:?} MB, kills for more than {MEMORY_MB} MB: {ends:?}"
    ));
    for id in &accepted {
        let state = (0..DAEMONS).find_map(|daemon| cell.state(id, daemon));
        if state.as_deref() != Some("completed") {
            record.violation(&format!(
                "LOST: accepted job {id} is {state:?} at the end, with all runners free"
            ));
        }
    }
    let often = ends.iter().filter(|count| **count >= 3).count();
    if often >= 2 {
        record.violation(&format!("Fault: processes on {often} machines ended three times for their memory"));
    }
    Ok(())
}

/// Kills daemons that exceed their memory, and starts them again, as the platform does.
fn watch_memory(
    cell: &mut Cell,
    ends: &mut [u32],
    peaks: &mut [u64],
    restart_at: &mut [Option<Instant>],
) -> io::Result<()> {
    for (index, daemon) in cell.daemons.iter_mut().enumerate() {
        let memory_mb = daemon.memory_mb().unwrap_or(0);
        peaks[index] = peaks[index].max(memory_mb);
        if memory_mb > MEMORY_MB {
            cell.record.line(&format!("daemon {index} uses {memory_mb} MB and is killed"));
            daemon.kill();
            ends[index] += 1;
            restart_at[index] = Some(Instant::now() + RESTART);
        }
        if restart_at[index].is_some_and(|at| Instant::now() >= at) {
            restart_at[index] = None;
            cell.record.line(&format!("daemon {index} is started again"));
            daemon.start()?;
        }
    }
    Ok(())
}
