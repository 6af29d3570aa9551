//! Confirmation of the configuration by peers, for a daemon that the store doesn't answer.

use cassiahoist_world::peer::{ConfigAgeQuestion, PeerMessage};
use cassiahoist_world::prelude::*;

use crate::config_age::{ConfigAge, judge_config_age, max_age_with_accounts_ms};

/// Time between two rounds of questions, in milliseconds.
const QUESTION_INTERVAL_MS: u64 = 500;

/// Number of peers asked in one round.
const PEERS_PER_ROUND: usize = 2;

/// Returns the age of the configuration from which peers are asked, in milliseconds.
///
/// Watches of the store keep the age below half of the bound in calm.
fn question_age_ms(max_age_ms: u64) -> u64 {
    max_age_ms * 3 / 5
}

/// Replies to peers' questions for the age of the configuration, and applies the replies to this daemon's own.
pub fn exchange_config_ages(world: &mut World, now_ms: u64) {
    let is_wanted = |message: &PeerMessage| {
        matches!(message, PeerMessage::ConfigAgeRequest(_) | PeerMessage::ConfigAgeReply { .. })
    };
    for (sender, message) in world.inbox.take_peer_messages(is_wanted) {
        match message {
            PeerMessage::ConfigAgeRequest(question) => {
                reply_with_age(world, sender.address, question, now_ms);
            }
            PeerMessage::ConfigAgeReply { question, version, age_ms } => {
                apply_reply(world, &question, version, age_ms);
            }
            _ => {}
        }
    }
}

fn reply_with_age(world: &mut World, address: String, question: ConfigAgeQuestion, now_ms: u64) {
    let Some(version) = world.config.current.as_ref().map(|config| config.version) else { return };
    let Some(confirmed_at_ms) = world.config.confirmed_at_ms else { return };
    let age_ms = now_ms.saturating_sub(confirmed_at_ms);
    let message = PeerMessage::ConfigAgeReply { question, version, age_ms };
    world.emit(Effect::SendPeerMessage { address, message });
}

/// Confirms the configuration as of the question's sending, less the age at the peer.
///
/// The way there and back can only make that older. Another version says nothing about this daemon's.
fn apply_reply(world: &mut World, question: &ConfigAgeQuestion, version: u64, age_ms: u64) {
    let is_own_version = world.config.current.as_ref().is_some_and(|config| config.version == version);
    if is_own_version && question.asker == world.local.incarnation {
        world.config.confirm(question.asked_at_ms.saturating_sub(age_ms));
    }
}

/// Asks peers in turn while the configuration grows too old.
pub fn ask_for_config_age(world: &mut World, now_ms: u64) {
    let Some(max_age_ms) = max_age_with_accounts_ms(world) else { return };
    let question_age_ms = question_age_ms(max_age_ms);
    if let ConfigAge::ConfirmedUntil(until_ms) =
        judge_config_age(&world.config, Some(question_age_ms), now_ms)
    {
        return world.wake_by(until_ms + 1);
    }
    if now_ms < world.config.next_question_at_ms {
        return world.wake_by(world.config.next_question_at_ms);
    }
    world.config.next_question_at_ms = now_ms + QUESTION_INTERVAL_MS;
    world.wake_by(now_ms + QUESTION_INTERVAL_MS);
    let mut peers: Vec<&str> = world.members.peer_addresses(&world.local.incarnation.member).collect();
    peers.sort_unstable();
    let first = world.config.question_count;
    let addresses: Vec<String> =
        (0..PEERS_PER_ROUND.min(peers.len())).map(|n| peers[(first + n) % peers.len()].to_owned()).collect();
    world.config.question_count += addresses.len();
    let question = ConfigAgeQuestion { asker: world.local.incarnation.clone(), asked_at_ms: now_ms };
    for address in addresses {
        let message = PeerMessage::ConfigAgeRequest(question.clone());
        world.emit(Effect::SendPeerMessage { address, message });
    }
}
