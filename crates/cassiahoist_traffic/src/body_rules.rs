//! Decides which bodies are read, and the limits that the configuration sets.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cassiahoist_core::prelude::*;
use cassiahoist_world::config::ConfigRecord;

use crate::http1_server::MAX_HEAD_BYTES;
use crate::pace::ConnectionLimits;
use crate::request_budget::SMALL_REQUEST_BYTES;

/// Largest body that is read, in bytes. The configuration may set a lower limit.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Greatest limit of heads that the configuration may set, in bytes.
const MAX_CONFIGURED_HEAD_BYTES: usize = 64 * 1_024;

/// Smallest limit of heads that the configuration may set, in bytes.
const MIN_CONFIGURED_HEAD_BYTES: usize = 1_024;

/// Whether a body is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyDecision {
    /// It is read on.
    Read,
    /// The request is refused; it has not run.
    Refuse(ErrorKind),
}

/// Decides whether a body of at least `bytes` is read, by the configuration in force.
///
/// The control thread alone decides on small ones.
#[must_use]
pub fn decide_body(config: Option<&ConfigRecord>, host_name: &str, path: &str, bytes: usize) -> BodyDecision {
    if bytes <= SMALL_REQUEST_BYTES {
        return BodyDecision::Read;
    }
    if bytes > MAX_BODY_BYTES {
        return BodyDecision::Refuse(ErrorKind::BodyTooLarge);
    }
    let Some(config) = config else { return BodyDecision::Refuse(ErrorKind::NotConfigured) };
    if config.route(host_name, path).is_none() {
        return BodyDecision::Refuse(ErrorKind::UnknownQueue);
    }
    if bytes > config.max_body_bytes {
        return BodyDecision::Refuse(ErrorKind::BodyTooLarge);
    }
    BodyDecision::Read
}

/// Returns the largest head of a request, in bytes.
#[must_use]
pub fn max_head_bytes(config: Option<&ConfigRecord>) -> usize {
    let configured = config.and_then(|config| config.max_head_bytes);
    configured
        .map_or(MAX_HEAD_BYTES, |bytes| bytes.clamp(MIN_CONFIGURED_HEAD_BYTES, MAX_CONFIGURED_HEAD_BYTES))
}

/// Returns the bounds of the time that connections take.
#[must_use]
pub fn connection_limits(config: Option<&ConfigRecord>) -> ConnectionLimits {
    let default = ConnectionLimits::default();
    let Some(config) = config else { return default };
    let milliseconds = |ms: Option<u64>| ms.filter(|ms| *ms > 0).map(Duration::from_millis);
    ConnectionLimits {
        head_timeout: milliseconds(config.head_timeout_ms).unwrap_or(default.head_timeout),
        idle_timeout: milliseconds(config.idle_timeout_ms),
        ..default
    }
}

/// Bytes of a body, without a copy if they arrived in one piece.
#[derive(Debug, Default)]
pub(crate) struct BodyBytes {
    first: Bytes,
    /// All bytes once there are several pieces, which would otherwise keep the buffers that they arrived in.
    joined: BytesMut,
}

impl BodyBytes {
    pub(crate) fn len(&self) -> usize {
        self.first.len() + self.joined.len()
    }

    pub(crate) fn push(&mut self, piece: Bytes) {
        if self.len() == 0 {
            self.first = piece;
            return;
        }
        self.joined.extend_from_slice(&std::mem::take(&mut self.first));
        self.joined.extend_from_slice(&piece);
    }

    pub(crate) fn into_bytes(self) -> Bytes {
        if self.joined.is_empty() { self.first } else { self.joined.freeze() }
    }
}
