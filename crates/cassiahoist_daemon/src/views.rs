//! Views of the tables for operators and the load balancer. All are JSON, except for the readiness.

use std::collections::BTreeMap;
use std::sync::Arc;

use cassiahoist_accounts::usage::{CapDecision, UnseenUse, decide_under_cap};
use cassiahoist_core::prelude::*;
use cassiahoist_traffic::control_link::View;
use cassiahoist_traffic::declarations::VersionedDeclarations;
use cassiahoist_world::crashes::CrashHistory;
use cassiahoist_world::hosts::Host;
use cassiahoist_world::jobs::{Step, StepState};
use cassiahoist_world::record::JobFailure;
use cassiahoist_world::world::World;
use serde_json::{Value, json};

/// Renders a view: JSON, or `ready` or `not ready` for [`View::Ready`].
pub fn render_view(world: &World, view: View) -> String {
    match view {
        View::Ready => if is_ready(world) { "ready" } else { "not ready" }.into(),
        View::Status => status(world).to_string(),
        View::Dump => dump(world).to_string(),
        View::Explain(job) => explain_job(world, job).to_string(),
        View::Declarations => declarations(world),
    }
}

/// Returns whether the daemon accepts new calls.
fn is_ready(world: &World) -> bool {
    !world.local.is_stopping() && world.config.current.is_some() && !world.config.is_outdated
}

fn declarations(world: &World) -> String {
    let versioned = VersionedDeclarations {
        revision: world.declarations.revision,
        declarations: Arc::clone(&world.declarations.current),
    };
    json!(versioned).to_string()
}

fn status(world: &World) -> Value {
    let members: Vec<String> = world.members.iter().map(|member| member.incarnation.to_string()).collect();
    json!({
        "daemon": world.local.incarnation.to_string(),
        "stopping": world.local.is_stopping(),
        "store_failing_since_ms": world.store_connection.failing_since_ms,
        "declarations_revision": world.declarations.revision,
        "config_version": world.config.current.as_ref().map(|config| config.version),
        "holder": world.holding.claim.as_ref().map(|(claim, _)| claim.holder.to_string()),
        "fence": world.holding.fence().map(|fence| fence.0),
        "holding": world.holding.is_holding(),
        "members": members,
        "jobs": world.jobs.len(),
        "runs": world.runs.rows.len(),
        "load": world.load.latest.fields().into_iter().collect::<BTreeMap<_, _>>(),
        "process": world.load.daemon.fields().into_iter().collect::<BTreeMap<_, _>>(),
    })
}

fn dump(world: &World) -> Value {
    let hosts: Vec<Value> = world
        .hosts
        .iter()
        .map(|(_, host)| {
            json!({
                "name": host.entry.name,
                "runs": host.runs.len(),
                "booked": host.reserved,
                "capacity": host.entry.capacity,
                "row": format!("{:?} {:?} {:?}", host.adoption, host.poll, host.standing),
                "silent_since_ms": host.unresponsive_since_ms,
                "missing_since_ms": host.missing_since_ms,
                "leaving_since_ms": host.draining_since_ms,
                "refuses_connections": host.refuses_connections,
                "suspect": suspect_on(world, host),
            })
        })
        .collect();
    let jobs: Vec<Value> = world
        .jobs
        .iter()
        .map(|(_, job)| {
            let waiting: usize = job
                .steps()
                .filter_map(|step| world.jobs.steps.get(step))
                .map(|step| step.pending_tasks.len())
                .sum();
            json!({
                "id": job.record.id,
                "queue": job.record.policy.queue,
                "state": job.state,
                "recorded": job.recorded_state,
                "failure": job.failure.as_ref().map(|failure| failure.reason.text()),
                "waiting_tasks": waiting,
            })
        })
        .collect();
    json!({
        "status": status(world),
        "hosts": hosts,
        "jobs": jobs,
        "runs": dump_runs(world),
        "accounts": list_accounts(world),
        "holding": format!("{:?}", world.holding),
        "counters": format!("{:?}", world.counters),
    })
}

/// Returns the task that has a host to itself, since hosts crashed under it.
fn suspect_on(world: &World, host: &Host) -> Option<TaskName> {
    world.runs.rows.get(host.isolated_run?).map(|run| run.name)
}

fn dump_runs(world: &World) -> Vec<Value> {
    world
        .runs
        .rows
        .values()
        .map(|run| {
            json!({
                "task": run.name,
                "run": run.run_number,
                "state": format!("{:?}", run.state),
                "percent": run.progress_percent,
            })
        })
        .collect()
}

/// Explains why a job waits or how it ended.
///
/// A daemon without the job returns the holder's peer address, since the holder may have the job.
fn explain_job(world: &World, id: JobId) -> Value {
    let Some(job) = world.jobs.find(&id).and_then(|key| world.jobs.get(key)) else {
        let holder = world.holding.claim.as_ref().map(|(claim, _)| claim.peer_address.clone());
        return json!({ "job": id, "known": false, "holder": holder });
    };
    let steps: Vec<Value> = job
        .steps()
        .filter_map(|key| world.jobs.steps.get(key))
        .map(|step| explain_step(world, step))
        .collect();
    json!({
        "job": id,
        "known": true,
        "queue": job.record.policy.queue,
        "priority": job.record.policy.priority,
        "account": job.record.account,
        "state": job.state,
        "recorded": job.recorded_state,
        "inherited": job.inherited,
        "failure": job.failure.as_ref().map(explain_failure),
        "occurrences": {
            "all": job.record.spec.occurrence_count(),
            "done": job.done_occurrences.len(),
            "open": job.open_occurrences.len(),
            "next_due_unix_ms": job.next_due_unix_ms,
        },
        "steps": steps,
    })
}

/// Returns whether a pending task of a step has to start alone.
fn has_pending_suspect(world: &World, step: &Step) -> bool {
    let mut tasks = step.pending_tasks.iter();
    tasks.any(|task| world.jobs.crashes_of(*task).is_some_and(CrashHistory::is_suspect))
}

/// Returns whether the cap of its account keeps the tasks of a step waiting.
fn is_held_back(world: &World, step: &Step) -> bool {
    world.jobs.step_spec(step).is_some_and(|spec| {
        decide_under_cap(world, step, spec, &UnseenUse::default()) == CapDecision::HeldBack
    })
}

/// Lists what each account may use and has in use.
fn list_accounts(world: &World) -> Vec<Value> {
    let rows = world.account_usage.iter().map(|(_, row)| {
        json!({
            "account": row.name,
            "priority": row.priority,
            "weight": row.weight,
            "cap": row.cap(),
            "in_use": row.in_use,
            "runs": row.run_count,
            "share": row.in_use.dominant_share(&world.account_usage.capacity),
            "held_back_at_ms": row.held_back_at_ms,
        })
    });
    rows.collect()
}

fn explain_failure(failure: &JobFailure) -> Value {
    json!({
        "reason": failure.reason.text(),
        "task": failure.task,
        "crashed_hosts": failure.crashed_hosts,
    })
}

/// Lists the crashes of hosts under the tasks of a step, for which they are suspected.
fn explain_crashes(world: &World, step: &Step) -> Vec<Value> {
    let tasks = step.tasks.iter().filter_map(|key| world.jobs.tasks.get(*key));
    let by_task = tasks.map(|task| (task.name.to_string(), &task.crashes));
    let by_gang = std::iter::once((step.name.to_string(), &step.gang_crashes));
    let crashes = by_task.chain(by_gang).filter(|(_, crashes)| !crashes.is_empty());
    let explained = crashes.map(|(name, crashes)| {
        let hosts: Vec<&HostName> = crashes.iter().map(|crash| &crash.host).collect();
        json!({ "of": name, "hosts": hosts, "starts_alone": crashes.is_suspect() })
    });
    explained.collect()
}

fn explain_step(world: &World, step: &Step) -> Value {
    let failed: usize = step
        .tasks
        .iter()
        .filter_map(|key| world.jobs.tasks.get(*key))
        .map(|task| task.failed_runs.len())
        .sum();
    let waits_for = match (step.state, step.pending_tasks.is_empty()) {
        (StepState::Done, _) => "nothing, it is done",
        (StepState::Blocked, _) => "earlier steps or its due time",
        (StepState::Ready, true) => "its runs",
        (StepState::Ready, false) if step.advice.open_call.is_some() => "advice on hosts",
        (StepState::Ready, false) if has_pending_suspect(world, step) => {
            "a host that its suspected tasks may have to themselves"
        }
        (StepState::Ready, false) if is_held_back(world, step) => "room under the cap of its account",
        (StepState::Ready, false) => "room on a host that may run it",
    };
    json!({
        "step": step.name,
        "tasks": step.tasks.len(),
        "done": step.done_count,
        "waiting": step.pending_tasks.len(),
        "failed_runs": failed + step.gang_failed_runs.len(),
        "crashes": explain_crashes(world, step),
        "hosts_good": step.advice.approved_hosts.len(),
        "hosts_bad": step.advice.rejected_hosts.len(),
        "waits_for": waits_for,
    })
}
