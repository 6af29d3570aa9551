//! News of tasks from holders of hosts.

use cassiahoist_core::prelude::*;
use cassiahoist_journal::append_record;
use cassiahoist_world::jobs::{JobId, JobPhase, TaskId, TaskPhase};
use cassiahoist_world::peer::{TaskNews, TaskNewsState};
use cassiahoist_world::prelude::*;
use cassiahoist_world::store::{JournalRecord, JournalState};
use cassiahoist_world::worker::TaskExit;

use crate::admit::content_hash;

/// What an end of a task asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterEnd {
    /// The task succeeded.
    Succeed,
    /// It is tried again.
    Retry,
    /// Its job is given up.
    GiveUp(ErrorKind),
}

/// Takes in news of tasks; late news of earlier attempts is passed over.
pub fn read_task_news(world: &mut World, now_ms: u64) {
    for (from, news) in std::mem::take(&mut world.inbox.news) {
        let Some(id) = world.tasks.find(&news.task) else {
            continue;
        };
        let Some(task) = world.tasks.get(id) else { continue };
        if task.name == news.task && !is_over(&task.phase) {
            take_in(world, id, from, news, now_ms);
        }
    }
}

fn is_over(phase: &TaskPhase) -> bool {
    matches!(phase, TaskPhase::Succeeded | TaskPhase::Failed | TaskPhase::Cancelled)
}

fn take_in(world: &mut World, id: TaskId, from: Incarnation, news: TaskNews, now_ms: u64) {
    match news.state {
        TaskNewsState::Running(host) => {
            if let Some(task) = world.tasks.get_mut(id) {
                task.phase = TaskPhase::Running { host, holder: from };
            }
        }
        TaskNewsState::NotStarted(_) => wait_again(world, id, false),
        TaskNewsState::Ended { host, exit } => end(world, id, host, exit, now_ms),
    }
}

fn wait_again(world: &mut World, id: TaskId, next_attempt: bool) {
    let Some(task) = world.tasks.get_mut(id) else {
        return;
    };
    task.phase = TaskPhase::Waiting;
    if next_attempt {
        task.name.attempt += 1;
    }
    world.tasks.waiting.push_back(id);
}

fn end(world: &mut World, id: TaskId, host: HostName, exit: TaskExit, now_ms: u64) {
    let step = after_end(world, id, exit);
    let Some(task) = world.tasks.get_mut(id) else {
        return;
    };
    let job = task.job;
    match step {
        AfterEnd::Succeed => {
            task.phase = TaskPhase::Succeeded;
            succeed_one(world, job, now_ms);
        }
        AfterEnd::Retry => {
            task.failed_on.push(host);
            wait_again(world, id, true);
        }
        AfterEnd::GiveUp(kind) => {
            task.phase = TaskPhase::Failed;
            end_job(world, job, JobPhase::Ended(kind), now_ms);
        }
    }
}

fn after_end(world: &World, id: TaskId, exit: TaskExit) -> AfterEnd {
    let Some(task) = world.tasks.get(id) else {
        return AfterEnd::Retry;
    };
    let Some(job) = world.jobs.get(task.job) else {
        return AfterEnd::Retry;
    };
    let attempts_left = task.name.attempt < world.config.in_force.declarations.defaults.max_task_attempts;
    match exit {
        TaskExit::Succeeded => AfterEnd::Succeed,
        TaskExit::Stopped if job.cancelled => AfterEnd::GiveUp(ErrorKind::CancelledWhileRunning),
        TaskExit::Refused => AfterEnd::Retry,
        TaskExit::Failed | TaskExit::Stopped | TaskExit::Lapsed if !job.spec.idempotent => {
            AfterEnd::GiveUp(ErrorKind::BackendFailed)
        }
        _ if attempts_left => AfterEnd::Retry,
        _ => AfterEnd::GiveUp(ErrorKind::Hopeless),
    }
}

fn succeed_one(world: &mut World, id: JobId, now_ms: u64) {
    let Some(job) = world.jobs.get_mut(id) else { return };
    job.succeeded += 1;
    if job.succeeded == job.spec.tasks {
        end_job(world, id, JobPhase::Succeeded, now_ms);
    }
}

/// Ends a job and records the end.
pub fn end_job(world: &mut World, id: JobId, phase: JobPhase, now_ms: u64) {
    let Some(job) = world.jobs.get_mut(id) else { return };
    if !matches!(job.phase, JobPhase::Active | JobPhase::Recording) {
        return;
    }
    job.phase = phase;
    let state = match phase {
        JobPhase::Ended(kind) => JournalState::Ended(kind),
        _ => JournalState::Answered { content_type: String::new(), text: None },
    };
    let record = JournalRecord {
        identity: job.spec.identity.clone(),
        content_hash: content_hash(&job.spec),
        state,
        at_unix_s: world.local.unix_s(now_ms),
        job: Some(job.spec.clone()),
    };
    let identity = job.spec.identity.to_string();
    append_record(world, record);
    world.log(EventId::JobFinished, identity);
}
