//! Orders of tasks from holders of hosts.

use cassiahoist_core::prelude::*;
use cassiahoist_world::jobs::{TaskId, TaskPhase};
use cassiahoist_world::members::LoadDigest;
use cassiahoist_world::peer::PeerMessage;
use cassiahoist_world::prelude::*;
use cassiahoist_world::runs::TaskOrder;
use rustc_hash::FxHashMap;

/// Tasks ordered in one tick at most.
const ORDERS_PER_TICK: usize = 2_000;

/// How long an order may stay without news before it is repeated, in milliseconds.
const REPEAT_AFTER_MS: u64 = 2_000;

/// A holder of hosts and the orders for it.
type OrdersByHolder = FxHashMap<Incarnation, Vec<TaskOrder>>;

/// Orders waiting tasks from the holder with most room; a gang from one holder whole.
pub fn order_tasks(world: &mut World, now_ms: u64) {
    let mut orders = OrdersByHolder::default();
    let mut left = Vec::new();
    for _ in 0..ORDERS_PER_TICK {
        let Some(id) = world.tasks.waiting.pop_front() else {
            break;
        };
        if world.tasks.get(id).is_none_or(|task| task.phase != TaskPhase::Waiting) {
            continue;
        }
        match choose_holder(world, id) {
            Some(holder) => order(world, id, holder, &mut orders, now_ms),
            None => left.push(id),
        }
    }
    world.tasks.waiting.extend(left);
    if !world.tasks.waiting.is_empty() {
        world.wake_by(now_ms + 100);
    }
    send_orders(world, orders);
}

fn choose_holder(world: &World, id: TaskId) -> Option<Incarnation> {
    let task = world.tasks.get(id)?;
    let job = world.jobs.get(task.job)?;
    let fleet = &task.name.job.fleet;
    let room = |load: &LoadDigest| {
        let fits = job.spec.size.fits_within(&load.capacity);
        fits.then_some(load.free.cpu_milli)
    };
    let own = world.members.own_loads.get(fleet).and_then(room).map(|free| (free, &world.local.incarnation));
    let peers = world
        .members
        .listed()
        .filter(|member| !member.record.leaving)
        .filter_map(|member| Some((room(member.loads.get(fleet)?)?, &member.record.incarnation)));
    let gang_key = (job.spec.class == WorkClass::Gang).then_some(0);
    let spread = u64::from(gang_key.unwrap_or(task.name.index));
    let mut candidates: Vec<_> = own.into_iter().chain(peers).collect();
    candidates.sort_unstable_by(|a, b| b.cmp(a));
    candidates.dedup_by(|a, b| a.1 == b.1);
    let total: u64 = candidates.iter().map(|(free, _)| free + 1).sum();
    let point = cassiahoist_core::hash::stable_hash(&(&task.name.job, spread)) % total.max(1);
    let mut passed = 0;
    for (free, holder) in candidates {
        passed += free + 1;
        if point < passed {
            return Some(holder.clone());
        }
    }
    None
}

fn order(world: &mut World, id: TaskId, holder: Incarnation, orders: &mut OrdersByHolder, now_ms: u64) {
    let Some(task) = world.tasks.get_mut(id) else {
        return;
    };
    task.phase = TaskPhase::Ordered { holder: holder.clone(), at_ms: now_ms };
    if let Some(order) = task_order(world, id) {
        orders.entry(holder).or_default().push(order);
    }
}

fn task_order(world: &World, id: TaskId) -> Option<TaskOrder> {
    let task = world.tasks.get(id)?;
    let spec = &world.jobs.get(task.job)?.spec;
    Some(TaskOrder {
        task: task.name.clone(),
        team: spec.team.clone(),
        kind: spec.kind.clone(),
        class: spec.class,
        size: spec.size,
        declared_run_ms: spec.declared_run_ms,
        gang_size: if spec.class == WorkClass::Gang { spec.tasks } else { 1 },
        spread: spec.spread,
        idempotent: spec.idempotent,
        argument: spec.argument.clone(),
        avoid: task.failed_on.clone(),
    })
}

fn send_orders(world: &mut World, orders: OrdersByHolder) {
    for (holder, batch) in orders {
        send(world, &holder, PeerMessage::PlaceTasks(batch));
    }
}

/// Sends a message to a member, which may be this daemon itself.
pub fn send(world: &mut World, to: &Incarnation, message: PeerMessage) {
    if *to == world.local.incarnation {
        let from = world.local.incarnation.clone();
        world.inbox.file(Event::Peer { from, message });
        world.wake_by(0);
        return;
    }
    let Some(member) = world.members.get_named(&to.member) else {
        return;
    };
    let address = member.record.peer_address.clone();
    world.emit(Effect::Peer { to: to.member.clone(), address, message });
}

/// Repeats orders that stay without news; holders recognise them by task and attempt.
pub fn repeat_orders(world: &mut World, now_ms: u64) {
    let mut orders = OrdersByHolder::default();
    let due: Vec<_> = world
        .tasks
        .iter()
        .filter_map(|(id, task)| match &task.phase {
            TaskPhase::Ordered { holder, at_ms } if now_ms >= at_ms + REPEAT_AFTER_MS => {
                Some((id, holder.clone()))
            }
            _ => None,
        })
        .collect();
    for (id, holder) in due {
        if world.members.is_listed(&holder) {
            order(world, id, holder, &mut orders, now_ms);
        }
    }
    send_orders(world, orders);
}
