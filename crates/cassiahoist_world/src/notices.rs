//! Messages about jobs that must survive a change of holder.

use crate::peer::PeerMessage;

/// A message that the present holder and the next one must receive.
///
/// A daemon queues one for each job that it stores or cancels for a caller, so that the holder need not wait
/// for the store's watch.
#[derive(Clone, Debug)]
pub struct HolderNotice {
    /// Either [`PeerMessage::JobStored`] or [`PeerMessage::JobCancelled`].
    pub message: PeerMessage,
    /// Revision of the claim whose holder was notified last; 0 if none was.
    pub notified_claim_revision: u64,
    /// Deadline after which new holders are no longer notified, in monotonic milliseconds.
    pub expires_at_ms: u64,
}
