//! Encoding of messages between daemons: JSON in a protobuf envelope.

use cassiahoist_core::prelude::*;
use cassiahoist_world::peer::{PeerMessage, PeerSender};

use crate::DeliverRequest;

/// Encodes messages into one delivery.
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
    Ok(DeliverRequest { from: from.to_string(), messages, address: address.into() })
}

/// Decodes a delivery into its sender and messages.
///
/// # Errors
/// Returns [`HoistError::InvalidName`] if the sender's name is malformed, or [`HoistError::InvalidMessage`] if a
/// message is.
pub fn decode_delivery(request: &DeliverRequest) -> Result<(PeerSender, Vec<PeerMessage>), HoistError> {
    let sender = PeerSender { incarnation: request.from.parse()?, address: request.address.clone() };
    let messages = request
        .messages
        .iter()
        .map(|bytes| {
            serde_json::from_slice(bytes).map_err(|error| HoistError::InvalidMessage(error.to_string()))
        })
        .collect::<Result<_, _>>()?;
    Ok((sender, messages))
}
