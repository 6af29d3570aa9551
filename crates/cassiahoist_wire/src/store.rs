//! Keys and values in the platform's store: paths and JSON.

use cassiahoist_core::prelude::*;
use cassiahoist_world::members::MemberRecord;
use cassiahoist_world::store::{StoreKey, StoreValue};
use serde::{Deserialize, Serialize};

/// Header that carries a value's version.
pub const VERSION_HEADER: &str = "x-version";

/// Prefix under which members stand.
pub const MEMBERS_PREFIX: &str = "members/";

/// Gives the path of a key.
#[must_use]
pub fn key_path(key: &StoreKey) -> String {
    match key {
        StoreKey::Slices(domain) => format!("slices/{domain}"),
        StoreKey::Segment { slice, number } => format!("journal/{slice}/{number}"),
        StoreKey::Config => "config".into(),
    }
}

/// Encodes a value.
///
/// # Errors
/// [`HoistError::BadMessage`] if it can't be encoded.
pub fn encode_value(value: &StoreValue) -> Result<Vec<u8>, HoistError> {
    let encoded = match value {
        StoreValue::Slices(record) => serde_json::to_vec(record),
        StoreValue::Segment(record) => serde_json::to_vec(record),
        StoreValue::Config(record) => serde_json::to_vec(record),
    };
    encoded.map_err(|error| HoistError::BadMessage(error.to_string()))
}

/// Decodes the value of a key.
///
/// # Errors
/// [`HoistError::BadMessage`] if it is not a value of the key's kind.
pub fn decode_value(key: &StoreKey, bytes: &[u8]) -> Result<StoreValue, HoistError> {
    let decoded = match key {
        StoreKey::Slices(_) => serde_json::from_slice(bytes).map(StoreValue::Slices),
        StoreKey::Segment { .. } => serde_json::from_slice(bytes).map(StoreValue::Segment),
        StoreKey::Config => serde_json::from_slice(bytes).map(StoreValue::Config),
    };
    decoded.map_err(|error| HoistError::BadMessage(error.to_string()))
}

/// The store's answer to a listing.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Listing {
    /// Version of the whole prefix.
    pub version: u64,
    /// Values under the prefix, as JSON text.
    pub values: Vec<String>,
}

/// Decodes the members of a listing.
///
/// # Errors
/// [`HoistError::BadMessage`] if a value is not a member's record.
pub fn decode_members(listing: &Listing) -> Result<Vec<MemberRecord>, HoistError> {
    let decode =
        |text: &String| serde_json::from_str(text).map_err(|error| HoistError::BadMessage(error.to_string()));
    listing.values.iter().map(decode).collect()
}
