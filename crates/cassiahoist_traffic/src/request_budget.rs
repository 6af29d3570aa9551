//! Budget of bytes that clients have sent and not been answered for.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tonic::Status;

/// Bytes of a request that may use the whole budget.
pub const SMALL_REQUEST_BYTES: usize = 16 * 1_024;

/// Share of the budget that requests may use beyond their first [`SMALL_REQUEST_BYTES`], in percent.
const LARGE_REQUESTS_PERCENT: usize = 75;

/// Whether a request may hold more bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// The bytes count as held.
    Granted,
    /// The budget has no room for them.
    Refused,
}

/// Decides whether a request that holds `held` bytes may hold `wanted` more, of a budget of `max` with `used` in use.
#[must_use]
pub fn decide_grant(used: usize, max: usize, held: usize, wanted: usize) -> Grant {
    let is_small = held.saturating_add(wanted) <= SMALL_REQUEST_BYTES;
    let limit = if is_small { max } else { max / 100 * LARGE_REQUESTS_PERCENT };
    if used.saturating_add(wanted) <= limit { Grant::Granted } else { Grant::Refused }
}

/// Budget of bytes; clones share it.
#[derive(Clone, Debug)]
pub struct RequestBudget {
    used: Arc<AtomicUsize>,
    max: usize,
}

impl RequestBudget {
    /// Creates a budget of `max` bytes, all of them free.
    #[must_use]
    pub fn new(max: usize) -> Self {
        Self { used: Arc::default(), max }
    }

    /// Returns the bytes that are held.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Opens the account of a request, which holds nothing yet.
    #[must_use]
    pub fn open(&self) -> HeldBytes {
        HeldBytes { budget: self.clone(), held: 0 }
    }
}

/// Bytes that a request holds until this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    budget: RequestBudget,
    held: usize,
}

impl HeldBytes {
    /// Holds more bytes if the budget has room for them.
    pub fn try_grow(&mut self, bytes: usize) -> Grant {
        let (max, held) = (self.budget.max, self.held);
        let grown = self.budget.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
            match decide_grant(used, max, held, bytes) {
                Grant::Granted => Some(used + bytes),
                Grant::Refused => None,
            }
        });
        if grown.is_err() {
            return Grant::Refused;
        }
        self.held += bytes;
        Grant::Granted
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.held, Ordering::Relaxed);
    }
}

/// A body of a peer's request whose bytes count as held as they arrive.
#[derive(Debug)]
pub(crate) struct HeldBody<B> {
    body: B,
    held: HeldBytes,
}

impl<B> HeldBody<B> {
    pub(crate) fn new(body: B, held: HeldBytes) -> Self {
        Self { body, held }
    }
}

impl<B: Body<Data = Bytes, Error = Status> + Unpin> Body for HeldBody<B> {
    type Data = Bytes;
    type Error = Status;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Status>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            if self.held.try_grow(bytes) == Grant::Refused {
                return Poll::Ready(Some(Err(Status::resource_exhausted("too many bytes are held"))));
            }
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
