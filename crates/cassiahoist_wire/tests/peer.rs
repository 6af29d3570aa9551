//! Messages between daemons of one version and of different ones.

use cassiahoist_core::prelude::*;
use cassiahoist_wire::peer::{decode_delivery, encode_delivery};
use cassiahoist_world::peer::PeerMessage;

/// A daemon of a later version sends a kind of message that this one doesn't know, among others.
#[test]
fn unreadable_message_does_not_affect_the_others() {
    let sender: Incarnation = "edge-1#5".parse().unwrap();
    let messages = [PeerMessage::JobCancelled(JobId(1)), PeerMessage::JobCancelled(JobId(2))];
    let mut request = encode_delivery(&sender, "10.1.0.1:7720", &messages).unwrap();
    request.messages.insert(1, b"{\"Unheard\":{}}".to_vec());
    request.messages.push(b"\xff\xfe".to_vec());
    let delivery = decode_delivery(&request).unwrap();
    assert_eq!(delivery.messages, messages);
    assert_eq!(delivery.unreadable.len(), 2);
    assert_eq!(delivery.sender.incarnation, sender);
}
