//! Load and configuration generation, told to every peer.

use cassiahoist_world::peer::{Gossip, PeerMessage};
use cassiahoist_world::prelude::*;

/// Takes in gossip of peers.
pub fn read_gossip(world: &mut World, now_ms: u64) {
    for (from, gossip) in std::mem::take(&mut world.inbox.gossip) {
        let Some(id) = world.members.find(&from.member) else {
            continue;
        };
        let Some(member) = world.members.get_mut(id) else {
            continue;
        };
        if member.record.incarnation.number > from.number {
            continue;
        }
        member.heard_ms = now_ms;
        member.loads = gossip.loads;
        member.generation = gossip.generation;
        member.record.leaving |= gossip.stopping;
    }
}

/// Sends gossip to every listed peer when it is due.
pub fn send_gossip(world: &mut World, now_ms: u64) {
    if now_ms >= world.members.next_gossip_ms {
        world.members.next_gossip_ms = now_ms + world.local.timing.gossip_interval_ms;
        let gossip = Gossip {
            generation: world.config.in_force.generation,
            loads: world.members.own_loads.clone(),
            stopping: world.local.stop.is_stopping(),
        };
        let peers: Vec<_> = world
            .members
            .listed()
            .filter(|member| member.record.incarnation != world.local.incarnation)
            .map(|member| (member.record.incarnation.member.clone(), member.record.peer_address.clone()))
            .collect();
        for (to, address) in peers {
            world.emit(Effect::Peer { to, address, message: PeerMessage::Gossip(gossip.clone()) });
        }
    }
    world.wake_by(world.members.next_gossip_ms);
}
