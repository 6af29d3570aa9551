//! Logs what was learned of run times.

use cassiahoist_core::prelude::*;
use cassiahoist_world::prelude::*;

/// Interval between two lines on the same queue, in milliseconds.
const INTERVAL_MS: u64 = 10_000;

/// Logs for each queue how far estimates were off, and for each kind of host how long runs take there.
pub fn log_learned(world: &mut World, now_ms: u64) {
    let summary = &mut world.run_times.summary;
    if now_ms < summary.next_log_at_ms || !world.holding.is_holding() {
        return;
    }
    summary.next_log_at_ms = now_ms + INTERVAL_MS;
    let table = &world.run_times;
    let factor_percent = |kind: &str| (table.kind_factor(Some(kind)).exp2() * 100.0).round();
    let kinds = table.iter_kinds().map(|(kind, _)| format!("{kind}:{}", factor_percent(kind)));
    let mut kinds: Vec<String> = kinds.collect();
    kinds.sort_unstable();
    let kinds = kinds.join(" ");
    let lines: Vec<LogRecord> = table
        .iter_errors()
        .map(|(queue, errors)| {
            LogRecord::new(EventId::RunTimesLearned)
                .with("queue", queue)
                .with("ends", errors.end_count)
                .with("declared_error_percent", errors.declared_error_percent())
                .with("median_error_percent", errors.median_error_percent())
                .with("within_declared_percent", errors.within_declared_percent())
                .with("within_p90_percent", errors.within_p90_percent())
                .with("kinds", &kinds)
        })
        .collect();
    for line in lines {
        world.log(line);
    }
}
