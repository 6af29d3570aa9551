//! Start orders that this daemon could not send and issues again.

use crate::orders::HostOrder;

/// A start order that was certainly not sent. Its run keeps its row and its resources.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnsentStart {
    /// Order as it was issued last.
    pub order: HostOrder,
    /// When to issue it again, in monotonic milliseconds.
    pub issue_at_ms: u64,
}
