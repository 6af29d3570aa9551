//! Placement of waiting runs.

use cassiahoist_core::prelude::*;
use cassiahoist_world::hosts::HostId;
use cassiahoist_world::prelude::*;
use cassiahoist_world::runs::{RunId, RunPhase};

use crate::choose::{BestFit, choose_worker};

/// Places waiting runs in order; gangs whole or not at all.
pub fn place_runs(world: &mut World, now_ms: u64) {
    let waiting = std::mem::take(&mut world.runs.waiting);
    let mut left = std::collections::VecDeque::new();
    let mut tried_gangs = rustc_hash::FxHashSet::default();
    for id in waiting {
        let Some(run) = world.runs.get(id) else { continue };
        if run.phase != RunPhase::Waiting {
            continue;
        }
        let placed = if run.order.class == WorkClass::Gang {
            tried_gangs.insert(run.order.task.job.clone()) && place_gang(world, id, now_ms)
        } else {
            place_one(world, id, now_ms)
        };
        if !placed {
            left.push_back(id);
        }
    }
    left.retain(|&id| world.runs.get(id).is_some_and(|run| run.phase == RunPhase::Waiting));
    world.runs.waiting = left;
}

fn place_one(world: &mut World, id: RunId, now_ms: u64) -> bool {
    let Some(run) = world.runs.get(id) else {
        return false;
    };
    let Some(host) = choose_worker(world, &run.order, &BestFit, now_ms) else {
        return false;
    };
    book(world, id, host, now_ms);
    true
}

fn place_gang(world: &mut World, first: RunId, now_ms: u64) -> bool {
    let Some(run) = world.runs.get(first) else {
        return false;
    };
    let (job, size) = (run.order.task.job.clone(), run.order.gang_size as usize);
    let members: Vec<RunId> =
        world.runs.iter().filter(|(_, run)| run.order.task.job == job).map(|(id, _)| id).collect();
    if members.len() < size {
        return false;
    }
    let mut booked = Vec::new();
    for id in members {
        if world.runs.get(id).is_some_and(|run| run.phase != RunPhase::Waiting) {
            continue;
        }
        if !place_one(world, id, now_ms) {
            for id in booked {
                unbook(world, id);
                world.runs.set_phase(id, RunPhase::Waiting);
            }
            return false;
        }
        booked.push(id);
    }
    true
}

fn book(world: &mut World, id: RunId, host: HostId, now_ms: u64) {
    let Some(run) = world.runs.get(id) else { return };
    let (size, team) = (run.booked, run.order.team.clone());
    world.hosts.booked[host] = world.hosts.booked[host].plus(&size);
    world.teams.book(&team, &size);
    world.runs.set_phase(id, RunPhase::Starting { host, at_ms: now_ms });
    world.counters.tasks_started += 1;
}

/// Gives back what is booked for a run.
pub fn unbook(world: &mut World, id: RunId) {
    let Some(run) = world.runs.get(id) else { return };
    let Some(host) = run.phase.host() else { return };
    let (size, team) = (run.booked, run.order.team.clone());
    if let Some(booked) = world.hosts.booked.get_mut(host) {
        *booked = booked.minus(&size);
    }
    world.teams.release(&team, &size);
}
