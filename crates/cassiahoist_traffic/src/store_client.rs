//! Calls to the platform's store.

use std::time::Duration;

use bytes::Bytes;
use cassiahoist_core::prelude::*;
use cassiahoist_wire::store::{
    Listing, MEMBERS_PREFIX, VERSION_HEADER, decode_members, decode_value, encode_value, key_path,
};
use cassiahoist_world::event::Event;
use cassiahoist_world::store::{StoreAnswered, StoreCall, StoreReply};
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode};

use crate::control_link::ControlLink;
use crate::http_client::{Exchange, HttpClient};

/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Calls the store and reports answers to control.
#[derive(Clone, Debug)]
pub struct StoreClient {
    address: String,
    client: HttpClient,
    control: ControlLink,
}

impl StoreClient {
    /// Creates a client of the store at an address.
    #[must_use]
    pub fn new(address: String, control: ControlLink) -> Self {
        Self { address, client: HttpClient::new(), control }
    }

    /// Makes a call in a task of its own.
    pub fn call(&self, call: StoreCall, started_ms: u64) {
        let client = self.clone();
        drop(tokio::spawn(async move {
            let reply = client.exchange(&call).await.unwrap_or(StoreReply::Unanswered);
            client.control.send(Event::Store(StoreAnswered { call, started_ms, reply }));
        }));
    }

    async fn exchange(&self, call: &StoreCall) -> Result<StoreReply, HoistError> {
        let request = encode_call(&self.address, call)?;
        match self.client.exchange(&self.address, request, CALL_TIMEOUT, || true).await {
            Exchange::Answered(response) => decode_reply(call, &response),
            Exchange::NotSent | Exchange::Lost => Ok(StoreReply::Unanswered),
        }
    }
}

fn encode_call(address: &str, call: &StoreCall) -> Result<Request<Full<Bytes>>, HoistError> {
    let (method, path, body) = match call {
        StoreCall::Read { key, newer_than } => {
            (Method::GET, format!("/kv/{}?newer_than={newer_than}", key_path(key)), Vec::new())
        }
        StoreCall::Swap { key, expected_version, value } => (
            Method::PUT,
            format!("/kv/{}?if_version={expected_version}", key_path(key)),
            encode_value(value)?,
        ),
        StoreCall::RenewMember { record, ttl_ms } => {
            let body =
                serde_json::to_vec(record).map_err(|error| HoistError::BadMessage(error.to_string()))?;
            let key = &record.incarnation.member;
            (Method::PUT, format!("/leased/{MEMBERS_PREFIX}{key}?ttl_ms={ttl_ms}"), body)
        }
        StoreCall::RemoveMember { incarnation } => {
            (Method::DELETE, format!("/leased/{MEMBERS_PREFIX}{}", incarnation.member), Vec::new())
        }
        StoreCall::ListMembers { newer_than } => {
            (Method::GET, format!("/list/{MEMBERS_PREFIX}?newer_than={newer_than}"), Vec::new())
        }
    };
    let request = Request::builder().method(method).uri(path).header("host", address);
    request.body(Full::new(body.into())).map_err(|error| HoistError::BadMessage(error.to_string()))
}

fn decode_reply(call: &StoreCall, response: &Response<Bytes>) -> Result<StoreReply, HoistError> {
    let version = || {
        let header = response.headers().get(VERSION_HEADER)?;
        header.to_str().ok()?.parse().ok()
    };
    let no_version = || HoistError::BadMessage("no version".into());
    match (call, response.status()) {
        (StoreCall::Read { .. } | StoreCall::ListMembers { .. }, StatusCode::NOT_MODIFIED) => {
            Ok(StoreReply::Unchanged)
        }
        (StoreCall::Read { .. }, StatusCode::NOT_FOUND) => Ok(StoreReply::Absent),
        (StoreCall::Read { key, .. }, StatusCode::OK) => {
            let value = decode_value(key, response.body())?;
            Ok(StoreReply::Value { version: version().ok_or_else(no_version)?, value })
        }
        (StoreCall::Swap { .. }, StatusCode::OK) => {
            Ok(StoreReply::Swapped { version: version().ok_or_else(no_version)? })
        }
        (StoreCall::Swap { .. }, StatusCode::CONFLICT) => Ok(StoreReply::Conflict),
        (StoreCall::ListMembers { .. }, StatusCode::OK) => {
            let listing: Listing = serde_json::from_slice(response.body())
                .map_err(|error| HoistError::BadMessage(error.to_string()))?;
            Ok(StoreReply::Members { version: listing.version, members: decode_members(&listing)? })
        }
        (StoreCall::RenewMember { .. } | StoreCall::RemoveMember { .. }, StatusCode::OK) => {
            Ok(StoreReply::Done)
        }
        _ => Ok(StoreReply::Unanswered),
    }
}
