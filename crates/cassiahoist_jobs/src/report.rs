//! Reports on jobs, and cancels.

use cassiahoist_core::prelude::*;
use cassiahoist_world::event::{IdentityAsked, IdentityQuestion};
use cassiahoist_world::jobs::{Job, JobId, JobPhase, TaskPhase};
use cassiahoist_world::peer::PeerMessage;
use cassiahoist_world::prelude::*;
use cassiahoist_world::requests::Verdict;
use serde::Serialize;

use crate::news::end_job;
use crate::order::send;

/// What a caller reads of a job.
#[derive(Debug, Default, Serialize)]
struct JobReport {
    identity: String,
    phase: &'static str,
    error: Option<ErrorKind>,
    tasks: u32,
    succeeded: u32,
    running: u32,
    waiting: u32,
}

/// Answers with the state of a job.
pub fn job_answer(world: &World, job: &Job) -> Answer {
    let (phase, outcome, error) = match job.phase {
        JobPhase::Recording => ("recording", Outcome::Pending, None),
        JobPhase::Active => ("active", Outcome::Pending, None),
        JobPhase::Succeeded => ("succeeded", Outcome::Answered, None),
        JobPhase::Ended(kind) => ("ended", kind.answer_row().outcome, Some(kind)),
    };
    let mut report = JobReport {
        identity: job.spec.identity.to_string(),
        phase,
        error,
        tasks: job.spec.tasks,
        succeeded: job.succeeded,
        ..JobReport::default()
    };
    for task in job.tasks.iter().filter_map(|&id| world.tasks.get(id)) {
        match task.phase {
            TaskPhase::Running { .. } => report.running += 1,
            TaskPhase::Waiting | TaskPhase::Ordered { .. } => report.waiting += 1,
            _ => {}
        }
    }
    match serde_json::to_string(&report) {
        Ok(json) => Answer::Report { outcome, json },
        Err(error) => Answer::Error { kind: ErrorKind::BadRequest, detail: error.to_string() },
    }
}

/// Answers questions about jobs owned here.
pub fn answer_job_questions(world: &mut World, now_ms: u64) {
    for asked in std::mem::take(&mut world.inbox.identity_questions) {
        let Some(id) = world.jobs.find(&asked.identity) else {
            continue;
        };
        if asked.question == IdentityQuestion::Cancel {
            cancel(world, id, now_ms);
        }
        reply(world, &asked, id);
    }
}

fn reply(world: &mut World, asked: &IdentityAsked, id: JobId) {
    let Some(answer) = world.jobs.get(id).map(|job| job_answer(world, job)) else {
        return;
    };
    world.emit(Effect::Verdict { ticket: asked.ticket, verdict: Verdict::Answer(answer) });
}

fn cancel(world: &mut World, id: JobId, now_ms: u64) {
    let Some(job) = world.jobs.get_mut(id) else { return };
    if job.phase != JobPhase::Active {
        return;
    }
    job.cancelled = true;
    let mut ran = false;
    for task_id in job.tasks.clone() {
        let Some(task) = world.tasks.get_mut(task_id) else {
            continue;
        };
        let holder = match &task.phase {
            TaskPhase::Ordered { holder, .. } | TaskPhase::Running { holder, .. } => Some(holder.clone()),
            _ => None,
        };
        ran |= holder.is_some() || task.phase == TaskPhase::Succeeded;
        if matches!(task.phase, TaskPhase::Waiting | TaskPhase::Ordered { .. } | TaskPhase::Running { .. }) {
            task.phase = TaskPhase::Cancelled;
        }
        let name = task.name.clone();
        if let Some(holder) = holder {
            send(world, &holder, PeerMessage::CancelTasks(vec![name]));
        }
    }
    let kind = if ran { ErrorKind::CancelledWhileRunning } else { ErrorKind::CancelledBeforeStart };
    end_job(world, id, JobPhase::Ended(kind), now_ms);
}
