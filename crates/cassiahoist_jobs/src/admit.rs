//! Admission of jobs.

use cassiahoist_core::hash::stable_hash;
use cassiahoist_core::prelude::*;
use cassiahoist_journal::{Ownership, append_record, find_record, owner_of};
use cassiahoist_world::event::JobArrived;
use cassiahoist_world::hosts::HostRole;
use cassiahoist_world::jobs::{Job, JobPhase, JobSpec, Task, TaskPhase};
use cassiahoist_world::prelude::*;
use cassiahoist_world::requests::{ForwardOrder, Hop, Ticket, Verdict};
use cassiahoist_world::store::{JournalRecord, JournalState};

use crate::report::job_answer;

/// What becomes of a job that arrives.
enum Admission {
    /// It is recorded.
    Record,
    /// It goes to the owner of its identity.
    ToOwner { peer: MemberName, address: String },
    /// It is answered at once.
    Answer(Answer),
}

/// Admits jobs that arrived.
pub fn admit_jobs(world: &mut World, now_ms: u64) {
    for arrived in std::mem::take(&mut world.inbox.jobs) {
        match decide(world, &arrived, now_ms) {
            Admission::Record => record(world, arrived, now_ms),
            Admission::ToOwner { peer, address } => {
                let order =
                    ForwardOrder { address, peer, hop: Hop::ToOwner, deadline_ms: arrived.deadline_ms };
                world.emit(Effect::Verdict { ticket: arrived.ticket, verdict: Verdict::Forward(order) });
            }
            Admission::Answer(reply) => answer(world, arrived.ticket, reply),
        }
    }
}

fn answer(world: &mut World, ticket: Ticket, reply: Answer) {
    world.emit(Effect::Verdict { ticket, verdict: Verdict::Answer(reply) });
}

fn decide(world: &World, arrived: &JobArrived, now_ms: u64) -> Admission {
    let refusal = |kind| Admission::Answer(Answer::error(kind));
    let spec = &arrived.spec;
    if !world.local.has_fleet(&spec.identity.fleet) {
        return refusal(ErrorKind::UnknownFleet);
    }
    if world.local.stop.is_stopping() {
        return refusal(ErrorKind::Stopping);
    }
    if spec.tasks == 0 || spec.tasks > world.local.limits.max_job_tasks || spec.size.is_zero() {
        return refusal(ErrorKind::BadRequest);
    }
    match owner_of(world, &spec.identity, now_ms) {
        Ownership::Here => decide_here(world, spec),
        Ownership::Peer { member, address } if arrived.hop == Hop::Door => {
            Admission::ToOwner { peer: member, address }
        }
        _ => refusal(ErrorKind::NoHolder),
    }
}

fn decide_here(world: &World, spec: &JobSpec) -> Admission {
    if let Some(job) = world.jobs.find(&spec.identity).and_then(|id| world.jobs.get(id)) {
        let same = job.spec == *spec;
        return Admission::Answer(if same {
            job_answer(world, job)
        } else {
            Answer::error(ErrorKind::IdentityReused)
        });
    }
    if find_record(world, &spec.identity).is_some() {
        return Admission::Answer(Answer::error(ErrorKind::IdentityReused));
    }
    if world.jobs.len() >= world.local.limits.max_jobs {
        return Admission::Answer(Answer::error(ErrorKind::Overloaded));
    }
    if !fits_some_host(world, spec) {
        return Admission::Answer(Answer::error(ErrorKind::NeverFits));
    }
    Admission::Record
}

/// Tells whether any known worker, even if empty, could hold one task.
fn fits_some_host(world: &World, spec: &JobSpec) -> bool {
    world.hosts.iter().any(|(_, host)| match &host.report.role {
        HostRole::Worker { capacity } => {
            host.report.name.fleet == spec.identity.fleet && spec.size.fits_within(capacity)
        }
        HostRole::Runner { .. } => false,
    })
}

/// Hashes what was submitted.
pub fn content_hash(spec: &JobSpec) -> u64 {
    let size = (spec.size.cpu_milli, spec.size.memory_mib, spec.size.accelerators);
    stable_hash(&(&spec.team, &spec.kind, spec.class, spec.tasks, size, &spec.argument))
}

fn record(world: &mut World, arrived: JobArrived, now_ms: u64) {
    let record = JournalRecord {
        identity: arrived.spec.identity.clone(),
        content_hash: content_hash(&arrived.spec),
        state: JournalState::Accepted,
        at_unix_s: world.local.unix_s(now_ms),
        job: Some(arrived.spec.clone()),
    };
    append_record(world, record);
    world.jobs.insert(Job {
        spec: arrived.spec,
        phase: JobPhase::Recording,
        tasks: Vec::new(),
        succeeded: 0,
        accepted_ms: now_ms,
        waiting: vec![arrived.ticket],
        cancelled: false,
    });
}

/// Activates jobs whose record is written and refuses those whose record is not.
pub fn activate_recorded_jobs(world: &mut World, _now_ms: u64) {
    for identity in world.journal.written.clone() {
        let Some(id) = world.jobs.find(&identity) else {
            continue;
        };
        if world.jobs.get(id).is_some_and(|job| job.phase == JobPhase::Recording) {
            activate(world, id);
        }
    }
    for (identities, kind) in [
        (world.journal.not_written.clone(), ErrorKind::NotRecorded),
        (world.journal.uncertain.clone(), ErrorKind::RecordUncertain),
    ] {
        for identity in identities {
            let Some(id) = world.jobs.find(&identity) else {
                continue;
            };
            if world.jobs.get(id).is_some_and(|job| job.phase == JobPhase::Recording)
                && let Some(job) = world.jobs.remove(id)
            {
                for ticket in job.waiting {
                    answer(world, ticket, Answer::error(kind));
                }
            }
        }
    }
}

fn activate(world: &mut World, id: cassiahoist_world::jobs::JobId) {
    let Some(job) = world.jobs.get_mut(id) else { return };
    job.phase = JobPhase::Active;
    let waiting = std::mem::take(&mut job.waiting);
    let (identity, count) = (job.spec.identity.clone(), job.spec.tasks);
    let mut tasks = Vec::with_capacity(count as usize);
    for index in 0..count {
        let name = TaskName { job: identity.clone(), index, attempt: 1 };
        let task =
            world.tasks.insert(Task { job: id, name, phase: TaskPhase::Waiting, failed_on: Vec::new() });
        world.tasks.waiting.push_back(task);
        tasks.push(task);
    }
    if let Some(job) = world.jobs.get_mut(id) {
        job.tasks = tasks;
    }
    world.counters.jobs_accepted += 1;
    world.log(EventId::JobAccepted, identity.to_string());
    let Some(reply) = world.jobs.get(id).map(|job| job_answer(world, job)) else {
        return;
    };
    for ticket in waiting {
        answer(world, ticket, reply.clone());
    }
}
