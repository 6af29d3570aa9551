//! Jobs that ask for very many occurrences, steps or tasks.
//!
//! A job of one run a minute for a year took every holder down: all of it became rows at once.

use std::collections::BTreeSet;
use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_jobs::{InheritedState, insert_job};
use cassiahoist_world::calls::CallAnswer;
use cassiahoist_world::effect::Effect;
use cassiahoist_world::jobs::{Job, JobKey};
use cassiahoist_world::occurrences::OccurrenceSet;
use cassiahoist_world::orders::{HostLists, HostOrder, Order, OrderOutcome, RunEnding};
use cassiahoist_world::record::{FailureReason, JobRecord, JobState, ProgressRecord, StepProgress};
use cassiahoist_world::spec::{MAX_JOB_TASKS, MAX_OCCURRENCES, Repeat, StepSpec};
use cassiahoist_world::store::{StoreKey, StoreOp, StorePurpose, StoreReply, StoreValue};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::calls::{configure, submit};
use crate::support::{TestDaemon, end, ended_lists, job_record, running, running_lists, step};

/// Unix time at which the clock of a tested daemon starts, in milliseconds.
const UNIX_ZERO_MS: u64 = 1_700_000_000_000;

/// One run a minute for a year.
const YEAR_OF_MINUTES: u32 = 525_600;

/// Creates the record of a job whose occurrences begin at a Unix time in milliseconds.
fn series(
    id: u64,
    steps: Vec<StepSpec>,
    count: u32,
    first_run_unix_ms: u64,
    interval_ms: u64,
) -> Arc<JobRecord> {
    let mut record = job_record(id, steps);
    Arc::make_mut(&mut record).spec.repeat = Some(Repeat { first_run_unix_ms, interval_ms, count });
    record
}

fn insert(holder: &mut TestDaemon, record: &Arc<JobRecord>) -> JobKey {
    let now_ms = holder.now_ms;
    insert_job(holder.app.world_mut(), record, None, now_ms)
}

fn job(holder: &TestDaemon, key: JobKey) -> &Job {
    holder.app.world().jobs.get(key).unwrap()
}

/// Lets the hosts confirm the starts of the last tick, by clocks that go on.
fn confirm_starts(holder: &mut TestDaemon) {
    let starts = holder.orders().filter(|order| matches!(order.order, Order::Start { .. }));
    let starts: Vec<HostOrder> = starts.cloned().collect();
    for order in starts {
        let clock_ms = holder.now_ms;
        holder.answer(order, OrderOutcome::Done { lists: None }, Some(clock_ms));
    }
}

/// Lists the occurrences of the running tasks of a job.
fn running_occurrences(holder: &TestDaemon, id: u64) -> BTreeSet<u32> {
    let runs = holder.app.world().runs.rows.values().map(|run| run.name.step);
    runs.filter(|step| step.job == JobId(id)).map(|step| step.occurrence).collect()
}

/// Lets the single host of a cell report that the running tasks of a job are done, and returns how many there were.
fn finish_runs(holder: &mut TestDaemon, id: u64, last_end: &mut u64) -> usize {
    let runs = holder.app.world().runs.rows.values().filter(|run| run.name.step.job == JobId(id));
    let runs: Vec<(String, u64)> = runs.map(|run| (run.name.to_string(), run.run_number)).collect();
    let ends = runs.iter().map(|(name, run_number)| {
        *last_end += 1;
        end(*last_end, name, *run_number, RunEnding::Done)
    });
    let ends = ends.collect();
    holder.report_lists(0, ended_lists(ends));
    runs.len()
}

/// Returns the progress record of the last tick's write of a job.
fn written_progress(holder: &TestDaemon, id: u64) -> Option<ProgressRecord> {
    let commits = holder.commits(|call| matches!(call.purpose, StorePurpose::RecordProgress(_)));
    commits.iter().find_map(|call| {
        let StoreOp::Commit(transaction) = &call.op else { return None };
        transaction.puts.iter().find_map(|put| match (&put.key, &put.value) {
            (StoreKey::Progress(job), StoreValue::Progress(record)) if *job == JobId(id) => {
                Some((**record).clone())
            }
            _ => None,
        })
    })
}

/// Answers the writes of progress of the last tick.
fn answer_progress(holder: &mut TestDaemon) {
    for call in holder.commits(|call| matches!(call.purpose, StorePurpose::RecordProgress(_))) {
        holder.answer_store(call, Ok(StoreReply::Committed { revision: 90 }));
    }
}

#[test]
fn series_has_no_rows_before_it_is_due() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.tick(1);
    let key =
        insert(&mut holder, &series(1, vec![step(1)], YEAR_OF_MINUTES, UNIX_ZERO_MS + 3_600_000, 60_000));
    holder.tick(10);
    let jobs = &holder.app.world().jobs;
    assert_eq!((jobs.steps.len(), jobs.tasks.len(), jobs.due_times.len()), (0, 0, 1));
    assert_eq!(job(&holder, key).state, JobState::Queued);
}

/// Every occurrence lies in the past.
#[test]
fn series_that_is_due_at_once_has_few_rows_and_leaves_room_to_others() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.tick(1);
    let key = insert(&mut holder, &series(1, vec![step(1)], YEAR_OF_MINUTES, 0, 1));
    let (mut last_end, mut done) = (0, 0);
    for _ in 0..300 {
        holder.tick(20);
        confirm_starts(&mut holder);
        assert!(holder.app.world().jobs.tasks.len() <= 1_024);
        done += finish_runs(&mut holder, 1, &mut last_end);
    }
    assert!(done > 2_000, "{done}");
    assert_eq!(job(&holder, key).done_occurrences.len(), done as u64);
    assert_eq!(job(&holder, key).state, JobState::Running);
    // Another job of equal priority comes later, and waits for the occurrences that are open, not for the whole series.
    holder.add_job(2, vec![step(1)]);
    let (mut rounds, mut done_before) = (0, 0);
    while running_occurrences(&holder, 2).is_empty() {
        rounds += 1;
        assert!(
            done_before <= 1_024 + 8 && rounds < 2_000,
            "waits for {done_before} ends in {rounds} rounds"
        );
        done_before += finish_runs(&mut holder, 1, &mut last_end);
        holder.tick(20);
        confirm_starts(&mut holder);
    }
}

#[test]
fn many_tasks_of_many_due_occurrences_have_few_rows() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.tick(1);
    for id in 1..=3 {
        insert(&mut holder, &series(id, vec![step(1_000)], 1_500, 0, 1));
    }
    holder.tick(20);
    assert!(holder.app.world().jobs.tasks.len() <= 3 * 4_096, "{}", holder.app.world().jobs.tasks.len());
}

#[test]
fn progress_record_of_a_series_stays_small() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.tick(1);
    insert(&mut holder, &series(1, vec![step(1), step(2)], YEAR_OF_MINUTES, 0, 1));
    let (mut last_end, mut largest_bytes) = (0, 0);
    for _ in 0..400 {
        holder.tick(50);
        confirm_starts(&mut holder);
        finish_runs(&mut holder, 1, &mut last_end);
        if let Some(record) = written_progress(&holder, 1) {
            largest_bytes = largest_bytes.max(serde_json::to_vec(&record).unwrap().len());
        }
        answer_progress(&mut holder);
    }
    assert!(last_end > 3_000, "{last_end}");
    assert!((1..2_000).contains(&largest_bytes), "{largest_bytes} bytes");
}

/// A job is done only with the last of its occurrences, in whatever order they end.
#[test]
fn series_is_completed_with_its_last_occurrence() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.tick(1);
    let key = insert(&mut holder, &series(1, vec![step(2)], 3, UNIX_ZERO_MS, 1));
    holder.tick(10);
    confirm_starts(&mut holder);
    let names: Vec<String> =
        [2, 0, 1].iter().flat_map(|k| (0..2).map(move |i| format!("{}.{k}.0.{i}", JobId(1)))).collect();
    for (number, name) in names.iter().enumerate() {
        assert_eq!(job(&holder, key).state, JobState::Running, "before {name}");
        holder.report_lists(0, ended_lists(vec![end(number as u64 + 1, name, 1, RunEnding::Done)]));
    }
    assert_eq!(job(&holder, key).state, JobState::Completed);
}

/// An end that is reported again, or that a copy reports late, belongs to an occurrence without rows.
#[test]
fn done_occurrence_is_not_opened_again() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.tick(1);
    let key = insert(&mut holder, &series(1, vec![step(1)], 10, UNIX_ZERO_MS, 1_000_000));
    holder.tick(10);
    confirm_starts(&mut holder);
    let name = format!("{}.0.0.0", JobId(1));
    holder.report_lists(0, ended_lists(vec![end(1, &name, 1, RunEnding::Done)]));
    assert!(job(&holder, key).open_occurrences.is_empty());
    for ending in [RunEnding::Done, RunEnding::Failed, RunEnding::Lapsed] {
        holder.report_lists(0, ended_lists(vec![end(2, &name, 2, ending)]));
        holder.tick(50);
        assert!(job(&holder, key).open_occurrences.is_empty() && holder.starts().is_empty());
    }
}

fn inherit(holder: &mut TestDaemon, record: &Arc<JobRecord>, progress: ProgressRecord) -> JobKey {
    let inherited = InheritedState { progress: Some((progress, 80)), term: 2 };
    let now_ms = holder.now_ms;
    insert_job(holder.app.world_mut(), record, Some(inherited), now_ms)
}

fn set_of(occurrences: impl IntoIterator<Item = u32>) -> OccurrenceSet {
    let mut set = OccurrenceSet::default();
    for occurrence in occurrences {
        set.insert(occurrence);
    }
    set
}

/// An earlier holder had begun occurrences of which nothing is recorded; hosts report their runs and ends.
#[test]
fn new_holder_adopts_runs_of_any_occurrence() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.tick(1);
    let record = series(1, vec![step(1)], YEAR_OF_MINUTES, 0, 1);
    let progress = ProgressRecord {
        state: JobState::Running,
        done_occurrences: set_of((0..400_000).chain(400_002..400_010)),
        ..ProgressRecord::default()
    };
    let key = inherit(&mut holder, &record, progress);
    let name = |occurrence: u32| format!("{}.{occurrence}.0.0", JobId(1));
    holder.report_lists(
        0,
        HostLists {
            may_have_more_ends: false,
            started_unix_ms: None,
            running: vec![running(&name(500_000), 1_003)],
            ended: vec![end(1, &name(500_001), 1_001, RunEnding::Done)],
        },
    );
    assert!(running_occurrences(&holder, 1).contains(&500_000), "the run is adopted and not stopped");
    assert!(job(&holder, key).done_occurrences.contains(500_001), "the end counts");
    assert!(job(&holder, key).open_occurrences.contains_key(&400_000));
    assert!(!job(&holder, key).open_occurrences.contains_key(&400_002));
    let numbers: Vec<u64> = holder.app.world().jobs.tasks.values().map(|task| task.last_run_number).collect();
    assert!(
        numbers.iter().all(|number| *number >= 2_000 || *number == 1_003),
        "run numbers rise across holders"
    );
}

/// Earlier versions recorded each step of the occurrences that were done.
#[test]
fn progress_of_an_earlier_version_is_understood() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.tick(1);
    let record = series(1, vec![step(1), step(2)], 1_000, 0, 1);
    let mut progress = ProgressRecord { state: JobState::Running, ..ProgressRecord::default() };
    let mut all_done = StepProgress::default();
    all_done.set_done(0);
    all_done.set_done(1);
    for occurrence in 0..100 {
        progress.steps.insert(format!("{occurrence}.0"), all_done.clone());
        progress.steps.insert(format!("{occurrence}.1"), all_done.clone());
    }
    let mut half_done = StepProgress::default();
    half_done.set_done(1);
    progress.steps.insert("100.1".into(), half_done);
    let key = inherit(&mut holder, &record, progress);
    assert_eq!(job(&holder, key).done_occurrences, set_of(0..100));
    holder.tick(20);
    let name = format!("{}.100.1.1", JobId(1));
    let task = holder.app.world().jobs.find_task(&name.parse().unwrap()).unwrap();
    assert_eq!(holder.app.world().jobs.tasks[task].state, cassiahoist_world::jobs::TaskState::Done);
}

/// Recorded progress of occurrences that are not open yet is written back.
#[test]
fn recorded_progress_is_kept_until_its_occurrence_is_opened() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.tick(1);
    let record = series(1, vec![step(4_000)], 100, 0, 1);
    let mut progress = ProgressRecord { state: JobState::Running, ..ProgressRecord::default() };
    let mut begun = StepProgress::default();
    begun.set_done(7);
    for occurrence in 0..50 {
        progress.steps.insert(format!("{occurrence}.0"), begun.clone());
    }
    let key = inherit(&mut holder, &record, progress);
    assert!(job(&holder, key).open_task_count <= 2 * 4_096);
    holder.app.world_mut().jobs.unrecorded_jobs.insert(key);
    holder.tick(200);
    let written = written_progress(&holder, 1).unwrap();
    assert_eq!(written.steps.len(), 50);
    assert!(written.steps.values().all(|step| step.is_done(7)));
}

/// Earlier versions accepted jobs of any size, and their records are still in the store.
#[test]
fn stored_job_beyond_the_bounds_fails_and_ends_no_daemon() {
    let oversized = [
        series(1, vec![step(1)], u32::MAX, 0, 1_000),
        series(1, vec![step(1)], 4_000_000_000, UNIX_ZERO_MS, u64::MAX),
        job_record(1, vec![step(4_096); 1_000]),
        job_record(1, vec![step(1); 70_000]),
        job_record(1, Vec::new()),
        series(1, vec![StepSpec { runs_until_cancelled: true, ..step(1) }], 100_000, 0, 1),
    ];
    for record in oversized {
        let mut holder = TestDaemon::with_hosts(1);
        holder.tick(1);
        for inherited in [None, Some(InheritedState { progress: None, term: 3 })] {
            let now_ms = holder.now_ms;
            let key = insert_job(holder.app.world_mut(), &record, inherited, now_ms);
            holder.tick(10);
            assert_eq!(job(&holder, key).state, JobState::Failed);
            assert_eq!(job(&holder, key).failure.as_ref().unwrap().reason, FailureReason::ExceedsBounds);
            assert_eq!(holder.app.world().jobs.tasks.len(), 0);
        }
        // The host still runs a task of it.
        let name = format!("{}.5.0.0", JobId(1));
        holder.report_lists(0, running_lists(vec![running(&name, 1)]));
        holder.report_lists(0, running_lists(Vec::new()));
        holder.add_job(2, vec![step(1)]);
        holder.tick(200);
        assert!(!running_occurrences(&holder, 2).is_empty(), "another job is served");
    }
}

/// Due times that no clock reaches.
#[test]
fn due_times_beyond_the_clock_are_awaited() {
    for (first_run_unix_ms, interval_ms) in
        [(u64::MAX, u64::MAX), (0, u64::MAX), (UNIX_ZERO_MS + 5_000, 1 << 60)]
    {
        let mut holder = TestDaemon::with_hosts(1);
        holder.tick(1);
        let key =
            insert(&mut holder, &series(1, vec![step(1)], MAX_OCCURRENCES, first_run_unix_ms, interval_ms));
        for _ in 0..5 {
            holder.tick(1_000);
        }
        assert!(job(&holder, key).open_occurrences.len() <= 1);
    }
}

#[test]
fn cancelled_series_leaves_nothing_behind() {
    use cassiahoist_world::event::Event;
    use cassiahoist_world::peer::{PeerMessage, PeerSender};
    for first_run_unix_ms in [0, UNIX_ZERO_MS + 100_000] {
        let mut holder = TestDaemon::with_hosts(1);
        holder.tick(1);
        let key = insert(&mut holder, &series(1, vec![step(1)], YEAR_OF_MINUTES, first_run_unix_ms, 1));
        holder.tick(10);
        confirm_starts(&mut holder);
        let from = PeerSender { incarnation: "edge-1#1".parse().unwrap(), address: "10.1.0.1:7720".into() };
        holder
            .receive_event(Event::PeerMessageReceived { from, message: PeerMessage::JobCancelled(JobId(1)) });
        holder.tick(100);
        answer_progress(&mut holder);
        assert_eq!(job(&holder, key).state, JobState::Cancelled);
        let jobs = &holder.app.world().jobs;
        assert!(jobs.due_times.is_empty() && jobs.awaiting_room.is_empty() && jobs.ready.is_empty());
    }
}

/// The tables are full of large jobs; small ones are served all the same, and large ones as room comes.
#[test]
fn large_jobs_wait_for_room_and_small_ones_do_not() {
    let mut holder = TestDaemon::with_hosts(1);
    holder.tick(1);
    let large = StepSpec { required_label: Some("none".into()), ..step(4_096) };
    let keys: Vec<JobKey> = (1..=70).map(|id| holder.add_job(id, vec![large.clone()])).collect();
    assert!(holder.app.world().jobs.tasks.len() <= 200_000);
    assert!(!holder.app.world().jobs.awaiting_room.is_empty());
    holder.add_job(100, vec![step(1)]);
    holder.tick(20);
    assert!(!running_occurrences(&holder, 100).is_empty());
    let waiting = *keys.iter().find(|key| job(&holder, **key).open_occurrences.is_empty()).unwrap();
    holder.app.world_mut().jobs.remove(keys[0]);
    holder.tick(20);
    assert!(!job(&holder, waiting).open_occurrences.is_empty());
}

/// Each end of a run looked at every step of its job.
#[test]
fn end_of_a_run_costs_no_more_in_a_long_series() {
    let visits = |count: u32| {
        let mut holder = TestDaemon::with_hosts(1);
        holder.tick(1);
        insert(&mut holder, &series(1, vec![step(1)], count, 0, 1));
        holder.tick(20);
        confirm_starts(&mut holder);
        let begin = std::time::Instant::now();
        let mut last_end = 0;
        for _ in 0..100 {
            holder.tick(20);
            confirm_starts(&mut holder);
            finish_runs(&mut holder, 1, &mut last_end);
        }
        (begin.elapsed(), last_end)
    };
    let (few, few_ends) = visits(2_000);
    let (many, many_ends) = visits(MAX_OCCURRENCES);
    assert_eq!(few_ends, many_ends);
    assert!(many < 4 * few + std::time::Duration::from_millis(200), "{many:?} against {few:?}");
}

/// The caller learns at once that the job is not accepted, and why.
#[test]
fn job_beyond_the_bounds_is_refused_at_once() {
    let task = "{\"count\":4096,\"cpu\":1000,\"memMb\":1}";
    let many_steps = [task; 5].join(",");
    let bodies = [
        "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":1}],\"repeatCount\":4000000000,\"intervalMs\":1000}".to_owned(),
        format!("{{\"spec\":\"x\",\"steps\":[{many_steps}]}}"),
        format!("{{\"spec\":\"x\",\"steps\":[{}]}}", std::iter::repeat_n("{\"count\":1,\"cpu\":1}", 1_025).collect::<Vec<_>>().join(",")),
        "{\"spec\":\"x\",\"steps\":[{\"count\":8,\"cpu\":1000,\"memMb\":1,\"persistent\":true}],\"repeatCount\":1000}".to_owned(),
    ];
    for (number, body) in bodies.iter().enumerate() {
        let mut holder = TestDaemon::with_hosts(1);
        configure(&mut holder);
        submit(&mut holder, number as u64 + 1, body.as_bytes());
        let answers: Vec<CallAnswer> = holder
            .effects
            .iter()
            .filter_map(|effect| match effect {
                Effect::AnswerCall { answer, .. } => Some(*answer),
                _ => None,
            })
            .collect();
        assert_eq!(
            answers,
            [CallAnswer::Error { kind: ErrorKind::JobTooLarge, retry_after_ms: None }],
            "{number}"
        );
        assert!(holder.commits(|call| matches!(call.purpose, StorePurpose::StoreJob(_))).is_empty());
    }
    let answer = ErrorKind::JobTooLarge.answer();
    assert!((400..500).contains(&answer.status) && !answer.retryable);
    assert!(answer.text.contains("more steps, tasks or occurrences"));
}

/// A run each minute for a year, and the largest job without repetition, are within the bounds.
#[test]
fn large_jobs_of_honest_callers_are_accepted() {
    let accepted = [
        series(1, vec![step(1)], YEAR_OF_MINUTES, 0, 60_000),
        series(1, vec![step(1_000)], 1_500, 0, 1),
        job_record(1, vec![step(4_096); (MAX_JOB_TASKS / 4_096) as usize]),
        series(1, vec![StepSpec { runs_until_cancelled: true, ..step(8) }], 8, 0, 1),
    ];
    for record in accepted {
        assert_eq!(record.spec.check_bounds(), Ok(()));
    }
}

/// The ranges of a set agree with the occurrences that were added, in any order.
#[test]
fn occurrence_set_holds_what_was_added() {
    let mut rng = SmallRng::seed_from_u64(1);
    for _ in 0..200 {
        let (mut set, mut expected) = (OccurrenceSet::default(), BTreeSet::new());
        for _ in 0..rng.random_range(0..60) {
            let occurrence = if rng.random_bool(0.1) {
                u32::MAX - rng.random_range(0..3)
            } else {
                rng.random_range(0..40)
            };
            assert_eq!(set.insert(occurrence), expected.insert(occurrence));
        }
        assert_eq!(set.len(), expected.len() as u64);
        for occurrence in (0..45).chain([u32::MAX - 3, u32::MAX - 1, u32::MAX]) {
            assert_eq!(set.contains(occurrence), expected.contains(&occurrence));
            let absent = (occurrence..occurrence.saturating_add(50)).find(|other| !expected.contains(other));
            assert!(absent.is_none() || set.first_absent_from(occurrence) == absent);
        }
        let text = serde_json::to_string(&set).unwrap();
        assert_eq!(serde_json::from_str::<OccurrenceSet>(&text).unwrap(), set);
    }
    for text in ["[[5,3]]", "[[0,5],[4,9]]", "[[0,5],[6,9]]", "[[4,5],[0,1]]"] {
        assert!(serde_json::from_str::<OccurrenceSet>(text).is_err(), "{text}");
    }
}
