//! JSON encoding of the records that daemons write to the store.

use std::sync::Arc;

use cassiahoist_core::prelude::*;
use cassiahoist_world::store::{StoreKey, StoreValue};
use serde::Serialize;
use serde::de::DeserializeOwned;

fn to_json(record: &impl Serialize) -> Result<Vec<u8>, HoistError> {
    serde_json::to_vec(record).map_err(|error| HoistError::InvalidMessage(error.to_string()))
}

/// Encodes a record that daemons write.
///
/// # Errors
/// Returns [`HoistError::InvalidMessage`] if daemons do not write the value, or if it can't be encoded.
pub fn encode_record(value: &StoreValue) -> Result<Vec<u8>, HoistError> {
    match value {
        StoreValue::Claim(record) => to_json(record),
        StoreValue::Term(record) => to_json(record),
        StoreValue::Member(record) => to_json(record),
        StoreValue::HostRoster(record) => to_json(record),
        StoreValue::RunTimes(record) => to_json(record.as_ref()),
        StoreValue::Declared(record) => to_json(record.as_ref()),
        StoreValue::Job(record) => to_json(record.as_ref()),
        StoreValue::Progress(record) => to_json(record),
        StoreValue::Cancel => Ok(b"{}".to_vec()),
        StoreValue::Config(_) | StoreValue::Host(_) | StoreValue::Unreadable { .. } => {
            Err(HoistError::InvalidMessage("daemons do not write this value".into()))
        }
    }
}

fn from_json<R: DeserializeOwned>(bytes: &[u8], wrap: impl FnOnce(R) -> StoreValue) -> StoreValue {
    match serde_json::from_slice(bytes) {
        Ok(record) => wrap(record),
        Err(error) => StoreValue::Unreadable { reason: error.to_string() },
    }
}

/// Decodes the record of a key that daemons write.
///
/// Returns [`StoreValue::Unreadable`] with the reason if the bytes are malformed or another writer owns the key.
#[must_use]
pub fn decode_record(key: &StoreKey, bytes: &[u8]) -> StoreValue {
    match key {
        StoreKey::Claim(_) => from_json(bytes, StoreValue::Claim),
        StoreKey::Term(_) => from_json(bytes, StoreValue::Term),
        StoreKey::Member(_) => from_json(bytes, StoreValue::Member),
        StoreKey::HostRoster(_) => from_json(bytes, StoreValue::HostRoster),
        StoreKey::RunTimes(_) => from_json(bytes, |record| StoreValue::RunTimes(Arc::new(record))),
        StoreKey::Declared => from_json(bytes, |record| StoreValue::Declared(Arc::new(record))),
        StoreKey::Job(_) => from_json(bytes, |record| StoreValue::Job(Arc::new(record))),
        StoreKey::Progress(_) => from_json(bytes, |record| StoreValue::Progress(Box::new(record))),
        StoreKey::Cancel(_) => StoreValue::Cancel,
        StoreKey::Config | StoreKey::Host(_) | StoreKey::Foreign(_) => {
            StoreValue::Unreadable { reason: "daemons write no record under this key".into() }
        }
    }
}
