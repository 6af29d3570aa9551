//! Traits that a platform adapter implements to encode and decode messages.
//!
//! One trait each covers callers, the store, hosts and the advice service. Implementations translate names and formats
//! and make no scheduling decisions.

use std::fmt::Debug;

use bytes::Bytes;
use cassiahoist_core::credential::Credential;
use cassiahoist_core::prelude::*;
use cassiahoist_world::advice::{AdviceCall, ApprovedHost};
use cassiahoist_world::calls::{CallAction, CallAnswer};
use cassiahoist_world::orders::{HostOrder, OrderOutcome};
use cassiahoist_world::store::{StoreFailure, StoreOp, StoreReply};
use http_body_util::Full;
use hyper::http::request::Parts;
use hyper::{Request, Response};

/// A request with its complete body in memory.
pub type FullRequest = Request<Full<Bytes>>;

/// A response with its complete body in memory.
pub type FullResponse = Response<Full<Bytes>>;

/// A caller's request, decoded from HTTP.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodedCall {
    /// Host name in the caller's URL, without a port.
    pub host_name: String,
    /// Path in the caller's URL, without a query.
    pub path: String,
    /// What the caller requests.
    pub action: CallAction,
    /// What identifies the caller.
    pub credential: Credential,
    /// How long the caller waits for the answer, in milliseconds. `None` if it states no timeout.
    pub timeout_ms: Option<u64>,
}

/// Decodes callers' requests and encodes their answers.
pub trait CallerProtocol: Clone + Debug + Send + Sync + 'static {
    /// Decodes a request; `None` if the HTTP method is not supported.
    fn decode_call(&self, head: &Parts, body: &[u8]) -> Option<DecodedCall>;

    /// Encodes an answer to a caller, with the HTTP status that it implies.
    fn encode_answer(&self, answer: CallAnswer) -> FullResponse;
}

/// A page of a store reply; only listings span several pages.
#[derive(Clone, Debug, PartialEq)]
pub struct StorePage {
    /// The complete reply, or the items of this page.
    pub reply: StoreReply,
    /// Last key of this page, after which the next page begins. `None` for the last page.
    pub next_after: Option<String>,
}

/// Encodes operations on the store and decodes its replies.
pub trait StoreProtocol: Clone + Debug + Send + Sync + 'static {
    /// Encodes an operation as a request to the store.
    ///
    /// `page` is the key after which to continue a listing; `None` for the first page.
    ///
    /// # Errors
    /// Returns [`HoistError::InvalidMessage`] if the operation can't be encoded.
    fn encode_op(&self, op: &StoreOp, page: Option<&str>) -> Result<FullRequest, HoistError>;

    /// Decodes the reply to an operation.
    ///
    /// # Errors
    /// Returns a [`StoreFailure`] if the operation was not executed, or if its outcome is unknown.
    fn decode_reply(&self, op: &StoreOp, status: u16, body: &[u8]) -> Result<StorePage, StoreFailure>;
}

/// A host's reply to an order.
#[derive(Clone, Debug, PartialEq)]
pub struct HostReply {
    /// The host's own clock, in milliseconds; `None` if the reply does not include it.
    pub clock_ms: Option<u64>,
    /// Whether the host executed the order.
    pub outcome: OrderOutcome,
}

/// Encodes orders to hosts and decodes their replies.
pub trait HostProtocol: Clone + Debug + Send + Sync + 'static {
    /// Encodes an order as a request that names the intended host.
    ///
    /// Another host at the same address can then refuse it.
    ///
    /// # Errors
    /// Returns [`HoistError::InvalidMessage`] if the order can't be encoded.
    fn encode_order(&self, order: &HostOrder) -> Result<FullRequest, HoistError>;

    /// Decodes the reply to an order.
    ///
    /// The outcome is [`OrderOutcome::Unknown`] for an unexpected status, or a poll's reply without readable lists.
    fn decode_reply(&self, order: &HostOrder, status: u16, body: &[u8]) -> HostReply;
}

/// Reply of the advice service: hosts eligible to run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAdvice {
    /// Eligible hosts with their tickets.
    pub approved: Vec<ApprovedHost>,
    /// How long the tickets are valid, in milliseconds from the reply.
    pub ticket_ms: u64,
}

/// Encodes calls to the advice service and decodes its replies.
pub trait AdviceProtocol: Clone + Debug + Send + Sync + 'static {
    /// Encodes a call as a request to the advice service.
    ///
    /// # Errors
    /// Returns [`HoistError::InvalidMessage`] if the call can't be encoded.
    fn encode_call(&self, call: &AdviceCall) -> Result<FullRequest, HoistError>;

    /// Decodes a reply; `None` if the service failed or its reply is malformed.
    fn decode_reply(&self, status: u16, body: &[u8]) -> Option<ServiceAdvice>;
}

/// Message formats of one platform.
pub trait Platform: Clone + Debug + Send + Sync + 'static {
    /// Format of callers' requests.
    type Caller: CallerProtocol;
    /// Format of store operations.
    type Store: StoreProtocol;
    /// Format of orders to hosts.
    type Hosts: HostProtocol;
    /// Format of calls to the advice service.
    type Advice: AdviceProtocol;
}
