//! Views of the tables for operators, as JSON.

use cassiahoist_traffic::control_link::View;
use cassiahoist_world::world::World;
use serde_json::{Value, json};

/// Renders a view.
pub fn render(world: &World, view: View) -> String {
    match view {
        View::Ready => if is_ready(world) { "ready" } else { "not ready" }.into(),
        View::Status => status(world).to_string(),
        View::Dump => dump(world).to_string(),
    }
}

/// Tells the balancer whether new work is welcome.
fn is_ready(world: &World) -> bool {
    !world.local.stop.is_stopping() && world.members.is_listed(&world.local.incarnation)
}

fn status(world: &World) -> Value {
    let held: Vec<_> = world
        .slices
        .iter()
        .filter(|(_, slice)| slice.tenure().is_some())
        .map(|(_, slice)| slice.name.to_string())
        .collect();
    let members: Vec<_> = world
        .members
        .listed()
        .map(|member| json!({"member": member.record.incarnation.to_string(), "generation": member.generation}))
        .collect();
    json!({
        "daemon": world.local.incarnation.to_string(),
        "stop": world.local.stop,
        "store_down": world.store.is_down(),
        "generation": world.config.in_force.generation,
        "change": world.config.in_force.change,
        "members": members,
        "slices_held": held,
    })
}

fn dump(world: &World) -> Value {
    json!({
        "status": status(world),
        "store": world.store,
        "members": world.members.iter().map(|(_, row)| json!(row)).collect::<Vec<_>>(),
        "slices": world.slices.iter().map(|(_, row)| json!(row)).collect::<Vec<_>>(),
        "domains": world.slices.domains,
        "hosts": world.hosts.iter().map(|(id, row)| json!({
            "host": row,
            "slots_used": world.hosts.slots_used.get(id),
            "booked": world.hosts.booked.get(id),
            "sync": world.hosts.sync.get(id),
        })).collect::<Vec<_>>(),
        "requests": world.requests.iter().map(|(_, row)| json!(row)).collect::<Vec<_>>(),
        "jobs": world.jobs.iter().map(|(_, row)| json!(row)).collect::<Vec<_>>(),
        "tasks": world.tasks.iter().map(|(_, row)| json!(row)).collect::<Vec<_>>(),
        "runs": world.runs.iter().map(|(_, row)| json!(row)).collect::<Vec<_>>(),
        "teams": world.teams.rows.iter().map(|(team, row)| json!({"team": team, "uses": row})).collect::<Vec<_>>(),
        "journals": world.journal.rows.values().map(|row| json!(row)).collect::<Vec<_>>(),
        "config": world.config,
        "counters": world.counters,
    })
}
