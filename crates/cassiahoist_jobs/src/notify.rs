//! Notifies the holder of stored jobs and cancellations.
//!
//! The holder's watch of the store reports the same later. A notice may be lost in a change of holder, so it is
//! repeated to the new holder.

use cassiahoist_world::notices::HolderNotice;
use cassiahoist_world::peer::{PeerMessage, PeerSender};
use cassiahoist_world::prelude::*;

/// Time for which a notice is repeated to new holders, in milliseconds.
///
/// It is longer than a change of holder takes.
const NOTICE_LIFETIME_MS: u64 = 6_000;

/// Queues a notice for the holder and for holders that succeed it within [`NOTICE_LIFETIME_MS`].
pub(crate) fn notify_holder(world: &mut World, message: PeerMessage, now_ms: u64) {
    world.holder_notices.push(HolderNotice {
        message,
        notified_claim_revision: 0,
        expires_at_ms: now_ms + NOTICE_LIFETIME_MS,
    });
}

/// Sends each notice to the current holder, once for each claim.
///
/// If this daemon is the holder, the notice goes into its own inbox.
pub fn send_notices(world: &mut World, now_ms: u64) {
    world.holder_notices.retain(|notice| now_ms < notice.expires_at_ms);
    let Some((claim, revision)) = world.holding.claim.clone() else { return };
    let is_own_claim = claim.holder == world.local.incarnation;
    let due: Vec<PeerMessage> = world
        .holder_notices
        .iter_mut()
        .filter(|notice| notice.notified_claim_revision != revision)
        .map(|notice| {
            notice.notified_claim_revision = revision;
            notice.message.clone()
        })
        .collect();
    for message in due {
        if is_own_claim {
            let address = world.local.peer_address.clone();
            let sender = PeerSender { incarnation: world.local.incarnation.clone(), address };
            world.inbox.peer_messages.push((sender, message));
            world.wake_by(now_ms);
        } else {
            world.emit(Effect::SendPeerMessage { address: claim.peer_address.clone(), message });
        }
    }
}
