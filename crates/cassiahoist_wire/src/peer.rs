//! Encoding of messages between daemons: JSON in a protobuf envelope.

use cassiahoist_core::prelude::*;
use cassiahoist_world::peer::{PeerMessage, PeerSender};

use crate::DeliverRequest;

/// Encodes messages into one delivery, without a number.
///
/// `from` and `address` (`ip:port`) identify the sender.
///
/// # Errors
/// Returns [`HoistError::InvalidMessage`] if a message can't be encoded as JSON.
pub fn encode_delivery(
    from: &Incarnation,
    address: &str,
    messages: &[PeerMessage],
) -> Result<DeliverRequest, HoistError> {
    let messages = messages
        .iter()
        .map(|message| {
            serde_json::to_vec(message).map_err(|error| HoistError::InvalidMessage(error.to_string()))
        })
        .collect::<Result<_, _>>()?;
    Ok(DeliverRequest { from: from.to_string(), messages, address: address.into(), number: 0 })
}

/// Messages of one delivery.
#[derive(Clone, Debug, PartialEq)]
pub struct Delivery {
    /// Daemon that sent them.
    pub sender: PeerSender,
    /// Number among the sender's deliveries, the same if it is repeated; 0 if the sender numbers none.
    pub number: u64,
    /// Readable messages, in order.
    pub messages: Vec<PeerMessage>,
    /// Why each of the others is unreadable. A daemon of another version may send such messages.
    pub unreadable: Vec<HoistError>,
}

/// Decodes a delivery. An unreadable message doesn't affect the others.
///
/// # Errors
/// Returns [`HoistError::InvalidName`] if the sender's name is malformed.
pub fn decode_delivery(request: &DeliverRequest) -> Result<Delivery, HoistError> {
    let sender = PeerSender { incarnation: request.from.parse()?, address: request.address.clone() };
    let mut delivery =
        Delivery { sender, number: request.number, messages: Vec::new(), unreadable: Vec::new() };
    for bytes in &request.messages {
        match serde_json::from_slice(bytes) {
            Ok(message) => delivery.messages.push(message),
            Err(error) => delivery.unreadable.push(HoistError::InvalidMessage(error.to_string())),
        }
    }
    Ok(delivery)
}
