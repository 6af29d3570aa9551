//! Encodings of the messages between daemons and of their records in the store.
//!
//! [`peer`] encodes the messages; [`keys`] and [`records`] encode the keys and values in the store.

#[allow(missing_docs, clippy::pedantic, clippy::restriction, reason = "generated code")]
mod generated {
    include!("generated/cassiahoist.peer.rs");
}

pub mod keys;
pub mod peer;
pub mod records;

pub use generated::{DeliverReply, DeliverRequest, peer_client, peer_server};
