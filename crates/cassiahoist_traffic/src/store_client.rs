//! Calls the store.

use cassiahoist_world::event::Event;
use cassiahoist_world::store::{StoreAnswered, StoreCall, StoreFailure, StoreOp, StoreReply};

use crate::clock::MonotonicClock;
use crate::control_link::ControlLink;
use crate::http_client::{Exchange, HttpClient};
use crate::protocol::{StorePage, StoreProtocol};

/// Calls the store and tells control what came of it.
#[derive(Clone, Debug)]
pub struct StoreClient<P> {
    protocol: P,
    address: String,
    http: HttpClient,
    clock: MonotonicClock,
    control: ControlLink,
}

impl<P: StoreProtocol> StoreClient<P> {
    /// Creates a client for the store at an address, `ip:port`.
    #[must_use]
    pub fn new(protocol: P, address: String, clock: MonotonicClock, control: ControlLink) -> Self {
        Self { protocol, address, http: HttpClient::new(), clock, control }
    }

    /// Begins a call; its outcome goes to control.
    pub fn call(&self, call: StoreCall, started_ms: u64) {
        let client = self.clone();
        drop(tokio::spawn(async move {
            let outcome = client.perform(&call.op, call.deadline_ms).await;
            let answered = StoreAnswered { purpose: call.purpose, started_ms, outcome };
            client.control.send(Event::Store(Box::new(answered)));
        }));
    }

    /// Performs a call, page by page if it reads a range.
    async fn perform(&self, op: &StoreOp, deadline_ms: u64) -> Result<StoreReply, StoreFailure> {
        // A long range takes many pages, and each of them gets the whole patience.
        let patience_ms = deadline_ms.saturating_sub(self.clock.now_ms());
        let first = self.page(op, None, deadline_ms).await?;
        let (mut reply, mut next) = (first.reply, first.next);
        while let Some(after) = next {
            let page = self.page(op, Some(&after), self.clock.now_ms() + patience_ms).await?;
            next = page.next;
            // Watching goes on from the first page, so that nothing between the pages is missed.
            if let (StoreReply::Items { items, .. }, StoreReply::Items { items: more, .. }) =
                (&mut reply, page.reply)
            {
                items.extend(more);
            }
        }
        Ok(reply)
    }

    async fn page(
        &self,
        op: &StoreOp,
        after: Option<&str>,
        deadline_ms: u64,
    ) -> Result<StorePage, StoreFailure> {
        let request = self.protocol.write_op(op, after).map_err(|_unwritable| StoreFailure::NotDone)?;
        let limit = self.clock.until(deadline_ms);
        match self.http.exchange(&self.address, request, limit).await {
            Exchange::Answered(response) => {
                self.protocol.read_reply(op, response.status().as_u16(), response.body())
            }
            Exchange::NotSent => Err(StoreFailure::NotDone),
            Exchange::Lost => Err(StoreFailure::Unknown),
        }
    }
}
