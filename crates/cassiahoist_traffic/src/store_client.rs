//! Client of the platform's store.

use cassiahoist_world::event::Event;
use cassiahoist_world::store::{StoreCall, StoreCompletion, StoreFailure, StoreOp, StorePurpose, StoreReply};
use cassiahoist_world::traffic::TrafficKind;
use cassiahoist_world::unsent::UnsentCause;

use crate::clock::MonotonicClock;
use crate::control_link::ControlLink;
use crate::http_client::{Exchange, HttpClient};
use crate::protocol::{StorePage, StoreProtocol};
use crate::traffic_meter::{TrafficMeter, request_bytes};

/// Most connections for calls that keep the lease. One such call is open at a time, and one that timed out may still close.
const LEASE_CONNECTIONS: usize = 2;

/// Executes operations on the store and reports their outcomes to control.
#[derive(Clone, Debug)]
pub struct StoreClient<P> {
    protocol: P,
    address: String,
    http: HttpClient,
    /// Connections of the calls that keep the lease, which other calls can't use up.
    lease_http: HttpClient,
    /// Connections of the calls for callers, however many of these there are.
    caller_http: HttpClient,
    clock: MonotonicClock,
    control: ControlLink,
    meter: TrafficMeter,
}

impl<P: StoreProtocol> StoreClient<P> {
    /// Creates a client for the store at `address`, `ip:port`; deadlines refer to `clock`.
    #[must_use]
    pub fn new(protocol: P, address: String, clock: MonotonicClock, control: ControlLink) -> Self {
        Self {
            protocol,
            address,
            http: HttpClient::new(),
            lease_http: HttpClient::new().with_max_connections(LEASE_CONNECTIONS),
            caller_http: HttpClient::new(),
            clock,
            control,
            meter: TrafficMeter::new(),
        }
    }

    /// Sets the meter that counts the calls.
    #[must_use]
    pub fn with_meter(self, meter: TrafficMeter) -> Self {
        Self { meter, ..self }
    }

    /// Returns the number of open connections, those that are being opened or closed included.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        [&self.http, &self.lease_http, &self.caller_http].map(HttpClient::open_connections).iter().sum()
    }

    /// Returns the client whose connections are for calls of a purpose.
    fn http_for(&self, purpose: &StorePurpose) -> &HttpClient {
        match purpose {
            StorePurpose::GrantLease | StorePurpose::RenewLease | StorePurpose::EndLease => &self.lease_http,
            StorePurpose::StoreJob(_)
            | StorePurpose::ReadJob(_)
            | StorePurpose::ReadProgress(_)
            | StorePurpose::CancelJob(_) => &self.caller_http,
            StorePurpose::RegisterMember
            | StorePurpose::ClaimSlice
            | StorePurpose::ReleaseClaim
            | StorePurpose::FollowRange(_)
            | StorePurpose::LoadProgress
            | StorePurpose::LoadRoster
            | StorePurpose::WriteRoster
            | StorePurpose::LoadRunTimes
            | StorePurpose::WriteRunTimes
            | StorePurpose::RecordProgress(_)
            | StorePurpose::StoreDeclarations(_)
            | StorePurpose::RemoveJobs
            | StorePurpose::RemoveCancellations => &self.http,
        }
    }

    /// Starts a call without waiting for it.
    ///
    /// Its outcome is sent to control as [`Event::StoreCompleted`].
    pub fn execute(&self, call: StoreCall, issued_at_ms: u64) {
        let client = self.clone();
        drop(tokio::spawn(async move {
            let http = client.http_for(&call.purpose);
            let outcome = client.exchange(http, &call.op, call.deadline_ms).await;
            let completion = StoreCompletion { purpose: call.purpose, issued_at_ms, outcome };
            client.control.send(Event::StoreCompleted(Box::new(completion)));
        }));
    }

    /// Executes an operation; reads all pages of a listing.
    async fn exchange(
        &self,
        http: &HttpClient,
        op: &StoreOp,
        deadline_ms: u64,
    ) -> Result<StoreReply, StoreFailure> {
        // A long listing takes many pages, so each page gets the full timeout.
        let timeout_ms = deadline_ms.saturating_sub(self.clock.now_ms());
        let first = self.fetch_page(http, op, None, deadline_ms).await?;
        let (mut reply, mut next_after) = (first.reply, first.next_after);
        while let Some(after) = next_after {
            let page = self.fetch_page(http, op, Some(&after), self.clock.now_ms() + timeout_ms).await?;
            next_after = page.next_after;
            // Keeps the revision of the first page, so that a watch from there misses no change made between pages.
            if let (StoreReply::Items { items, .. }, StoreReply::Items { items: more, .. }) =
                (&mut reply, page.reply)
            {
                items.extend(more);
            }
        }
        Ok(reply)
    }

    async fn fetch_page(
        &self,
        http: &HttpClient,
        op: &StoreOp,
        after: Option<&str>,
        deadline_ms: u64,
    ) -> Result<StorePage, StoreFailure> {
        let request = self
            .protocol
            .encode_op(op, after)
            .map_err(|_unencodable| StoreFailure::NotSent(UnsentCause::Unencodable))?;
        let timeout = self.clock.duration_until(deadline_ms);
        let sent_bytes = request_bytes(&request);
        let exchange = http.exchange(&self.address, request, timeout);
        match self.meter.measure(TrafficKind::Store, sent_bytes, exchange).await {
            Exchange::Response(response) => {
                self.protocol.decode_reply(op, response.status().as_u16(), response.body())
            }
            Exchange::NotSent(cause) => Err(StoreFailure::NotSent(cause)),
            Exchange::NoResponse => Err(StoreFailure::Unknown),
        }
    }
}
