//! Calls of daemons to the store, the hosts and the advice service.

use bytes::Bytes;
use cassiahoist_core::prelude::*;
use cassiahoist_platform::{advice, hosts, store};
use cassiahoist_traffic::protocol::{AdviceProtocol, FullRequest, HostProtocol, HostReply, StoreProtocol};
use cassiahoist_world::advice::{AdviceAnswer, AdviceCall};
use cassiahoist_world::event::Event;
use cassiahoist_world::orders::{HostOrder, Order, OrderCompletion, OrderOutcome};
use cassiahoist_world::peer::PeerMessage;
use cassiahoist_world::store::{StoreCall, StoreCompletion, StoreFailure, StoreOp, StoreReply};
use cassiahoist_world::unsent::UnsentCause;
use http_body_util::BodyExt;
use rand::Rng;
use serde_json::Value;

use super::call_connections::CallConnection;
use super::islands::CallPath;
use super::{Message, Simulation};
use crate::store::CallOutcome;
use crate::trace::Observation;

/// Time after which connecting to an unresponsive address fails, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 700;

/// Receiver of a call, with the call itself.
#[derive(Debug)]
pub(super) enum Target {
    /// Call to the store.
    Store(StoreCall),
    /// Order to a host.
    Host(HostOrder),
}

/// A call that hasn't ended.
#[derive(Debug)]
pub(super) struct OpenCall {
    pub(super) daemon: usize,
    pub(super) daemon_started_unix_ms: u64,
    pub(super) target: Target,
    request: (String, String, Bytes),
    pub(super) issued_at_ms: u64,
    pub(super) deadline_ms: u64,
    arrived_ms: Option<u64>,
    pub(super) connection: CallConnection,
    /// Whether it left its daemon later than it was issued.
    pub(super) left_late: bool,
    /// Whether the reply is lost after the call has taken effect.
    drop_reply: bool,
    /// Whether the daemon has already got an outcome for it.
    outcome_sent: bool,
    /// Start of the called host's incarnation; 0 for a call to the store.
    host_started_unix_ms: u64,
}

fn request_parts(request: FullRequest) -> (String, String, Bytes) {
    let (head, body) = request.into_parts();
    let target = head.uri.path_and_query().map(ToString::to_string).unwrap_or_default();
    // The whole body is in memory, so it can be collected without waiting.
    let body = read_body(body);
    (head.method.to_string(), target, body)
}

fn read_body(body: http_body_util::Full<Bytes>) -> Bytes {
    let mut body = std::pin::pin!(body.collect());
    let mut context = std::task::Context::from_waker(std::task::Waker::noop());
    match body.as_mut().poll(&mut context) {
        std::task::Poll::Ready(Ok(whole)) => whole.to_bytes(),
        _ => Bytes::new(),
    }
}

impl Simulation {
    pub(super) fn send_store_call(
        &mut self,
        daemon: usize,
        daemon_started_unix_ms: u64,
        call: StoreCall,
        issued_at_ms: u64,
    ) {
        let Ok(request) = store::StoreCodec.encode_op(&call.op, None) else { return };
        let deadline_ms = call.deadline_ms;
        let health = self.store_health;
        let path = self.call_path(daemon, None);
        let store_unreachable =
            path == CallPath::LosesCall || self.now_ms < self.daemons[daemon].store_unreachable_until_ms;
        let open_call = OpenCall {
            daemon,
            daemon_started_unix_ms,
            target: Target::Store(call),
            request: request_parts(request),
            issued_at_ms,
            deadline_ms,
            arrived_ms: None,
            connection: CallConnection::None,
            left_late: false,
            drop_reply: self.rng.random_bool(health.reply_loss_probability),
            outcome_sent: false,
            host_started_unix_ms: 0,
        };
        if store_unreachable || health.unresponsive {
            let report_at_ms = deadline_ms.min(self.now_ms + CONNECT_TIMEOUT_MS);
            return self.send_store_outcome(open_call, Err(StoreFailure::NotApplied), report_at_ms);
        }
        self.connect_call(open_call);
    }

    /// Sends a call to the store that has its connection.
    pub(super) fn dispatch_store_call(&mut self, open_call: OpenCall) {
        let health = self.store_health;
        let late = health.max_effect_delay_ms > 0 && open_call.drop_reply;
        let delay_ms = health.added_latency_ms
            + if late { self.rng.random_range(0..health.max_effect_delay_ms) } else { 0 };
        let body_bytes = open_call.request.2.len();
        if let Some(queued_ms) = self.daemons[open_call.daemon].link.queue_store_call(body_bytes, self.now_ms)
        {
            self.open_call(open_call, delay_ms + queued_ms);
        } else {
            let deadline_ms = open_call.deadline_ms;
            self.send_store_outcome(open_call, Err(StoreFailure::Unknown), deadline_ms);
        }
    }

    pub(super) fn send_store_outcome(
        &mut self,
        open_call: OpenCall,
        outcome: Result<StoreReply, StoreFailure>,
        at_ms: u64,
    ) {
        if let Target::Store(call) = open_call.target {
            let completion =
                StoreCompletion { purpose: call.purpose, issued_at_ms: open_call.issued_at_ms, outcome };
            self.deliver(
                open_call.daemon,
                open_call.daemon_started_unix_ms,
                Event::StoreCompleted(Box::new(completion)),
                at_ms,
            );
        }
    }

    fn open_call(&mut self, open_call: OpenCall, delay_ms: u64) {
        self.last_number += 1;
        let number = self.last_number;
        self.calls.insert(number, open_call);
        self.send(Message::ToPlatform(number), self.now_ms + delay_ms);
    }

    pub(super) fn send_order(
        &mut self,
        daemon: usize,
        daemon_started_unix_ms: u64,
        order: HostOrder,
        issued_at_ms: u64,
    ) {
        let Ok(request) = hosts::HostCodec.encode_order(&order) else { return };
        let host_started_unix_ms = self.host_started_unix_ms(&order.address);
        let deadline_ms = issued_at_ms + order.timeout_ms;
        let late = self.rng.random_bool(self.store_health.late_order_probability);
        let open_call = OpenCall {
            daemon,
            daemon_started_unix_ms,
            target: Target::Host(order),
            request: request_parts(request),
            issued_at_ms,
            deadline_ms,
            arrived_ms: None,
            connection: CallConnection::None,
            left_late: false,
            drop_reply: late,
            outcome_sent: false,
            host_started_unix_ms,
        };
        self.connect_call(open_call);
    }

    /// Sends an order that has its connection.
    ///
    /// Its host has the whole timeout for the answer, however long the order waited here.
    pub(super) fn dispatch_order(&mut self, mut open_call: OpenCall) {
        let Target::Host(order) = &open_call.target else { return };
        open_call.deadline_ms = self.now_ms + order.timeout_ms;
        let host_index = self.platform.find_host(&order.address);
        let unreachable = host_index.is_none_or(|number| {
            self.now_ms < self.platform.registered_hosts[number].unreachable_until_ms
                || self.call_path(open_call.daemon, Some(number)) == CallPath::LosesCall
        });
        if unreachable {
            let report_at_ms = open_call.deadline_ms.min(self.now_ms + CONNECT_TIMEOUT_MS);
            let outcome = OrderOutcome::NotSent(UnsentCause::ConnectTimeout);
            return self.fail_connected_order(open_call, outcome, report_at_ms);
        }
        if self.is_host_down(&order.address) {
            let (outcome, now_ms) = (OrderOutcome::NotSent(UnsentCause::ConnectFailed), self.now_ms);
            return self.fail_connected_order(open_call, outcome, now_ms);
        }
        let late_orders = host_index.and_then(|number| self.platform.registered_hosts[number].late_orders);
        let late_ms = match late_orders.filter(|late| self.now_ms < late.until_ms) {
            Some(late) => {
                open_call.drop_reply = true;
                late.delay_ms
            }
            None if open_call.drop_reply => self.rng.random_range(2_000..8_000),
            None => 0,
        };
        let body_bytes = open_call.request.2.len();
        if let Some(queued_ms) = self.daemons[open_call.daemon].link.queue_order(body_bytes, self.now_ms) {
            self.open_call(open_call, late_ms + queued_ms);
        } else {
            let deadline_ms = open_call.deadline_ms;
            self.fail_connected_order(open_call, OrderOutcome::Unknown, deadline_ms);
        }
    }

    /// Reports at a time, in milliseconds, that an order got no answer. It has its connection until then.
    fn fail_connected_order(&mut self, open_call: OpenCall, outcome: OrderOutcome, at_ms: u64) {
        if let Target::Host(order) = &open_call.target
            && let Some(number) = self.platform.find_host(&order.address)
            && let Some(connections) = &mut self.daemons[open_call.daemon].connections
        {
            connections.release_order_at(number, at_ms);
        }
        self.send_order_outcome(open_call, outcome, None, at_ms);
    }

    pub(super) fn send_order_outcome(
        &mut self,
        open_call: OpenCall,
        outcome: OrderOutcome,
        host_clock_ms: Option<u64>,
        at_ms: u64,
    ) {
        if let Target::Host(order) = open_call.target {
            self.record_order_outcome(&order.host_name, &outcome);
            let completion = OrderCompletion {
                order,
                issued_at_ms: open_call.issued_at_ms,
                host_clock_ms,
                completed_at_ms: at_ms.max(self.now_ms),
                outcome,
            };
            self.deliver(
                open_call.daemon,
                open_call.daemon_started_unix_ms,
                Event::OrderCompleted(Box::new(completion)),
                at_ms,
            );
        }
    }

    /// Records an order that its host did not answer.
    fn record_order_outcome(&mut self, host_name: &HostName, outcome: &OrderOutcome) {
        if matches!(
            outcome,
            OrderOutcome::Unknown
                | OrderOutcome::NotSent(UnsentCause::ConnectTimeout | UnsentCause::ConnectFailed)
        ) {
            self.platform.trace.record(self.now_ms, Observation::OrderUnanswered { host: host_name.clone() });
        }
    }

    pub(super) fn send_advice_call(
        &mut self,
        daemon: usize,
        daemon_started_unix_ms: u64,
        call: &AdviceCall,
        reply_to: Option<String>,
    ) {
        let Ok(request) = advice::AdviceCodec.encode_call(call) else { return };
        let (_, _, body) = request_parts(request);
        let reply = crate::advice::answer_call(&body).to_string();
        let reply = advice::AdviceCodec.decode_reply(200, reply.as_bytes());
        let ticket_ms = reply.as_ref().map_or(0, |reply| reply.ticket_ms);
        let approved = reply.map(|reply| reply.approved);
        let answer = AdviceAnswer { call: call.call, approved, ticket_ms, took_ms: 0 };
        match reply_to {
            Some(address) => {
                let from = self.sender(daemon, daemon_started_unix_ms);
                self.send_peer(
                    daemon,
                    &address,
                    Event::PeerMessageReceived { from, message: PeerMessage::AdviceReply(answer) },
                );
            }
            None => {
                self.deliver(daemon, daemon_started_unix_ms, Event::AdviceReceived(answer), self.now_ms + 20);
            }
        }
    }

    /// Returns whether the process of the host at an address has crashed and not started again.
    fn is_host_down(&self, address: &str) -> bool {
        let host_index = self.platform.find_host(address);
        host_index.is_some_and(|number| self.platform.registered_hosts[number].starts_at_ms.is_some())
    }

    fn host_started_unix_ms(&self, address: &str) -> u64 {
        let host_index = self.platform.find_host(address);
        host_index.map_or(0, |number| self.platform.registered_hosts[number].host.started_unix_ms)
    }

    pub(super) fn receive_call(&mut self, number: u64) {
        let now_ms = self.now_ms;
        if let Some(call) = self.calls.get(&number)
            && let Target::Host(order) = &call.target
            && (self.host_started_unix_ms(&order.address) != call.host_started_unix_ms
                || self.is_host_down(&order.address))
        {
            // The host process to which the call was sent has ended.
            if !call.outcome_sent {
                self.report_unanswered(number);
            }
            self.calls.remove(&number);
            return;
        }
        if let Some(call) = self.calls.get_mut(&number) {
            call.arrived_ms = Some(now_ms);
        }
        self.try_answer(number);
    }

    /// Tries pending calls again and times out those past their deadline.
    pub(super) fn answer_pending_calls(&mut self) {
        let mut numbers: Vec<u64> = self.calls.keys().copied().collect();
        numbers.sort_unstable();
        for number in numbers {
            let Some(call) = self.calls.get(&number) else { continue };
            let (arrived, expired) = (call.arrived_ms.is_some(), self.now_ms >= call.deadline_ms);
            if expired && call.connection == CallConnection::Waiting {
                if let Some(open_call) = self.calls.remove(&number) {
                    self.fail_unsent(open_call, UnsentCause::NoFreeConnection);
                }
                continue;
            }
            if expired && !call.outcome_sent {
                self.report_unanswered(number);
            }
            if arrived && !self.is_waiting_poll(number) {
                self.try_answer(number);
            }
        }
    }

    /// Returns whether a call is a poll whose host has nothing to list yet.
    ///
    /// Trying it again would change nothing.
    fn is_waiting_poll(&self, number: u64) -> bool {
        let Some(OpenCall { target: Target::Host(order), arrived_ms: Some(arrived_ms), .. }) =
            self.calls.get(&number)
        else {
            return false;
        };
        let Order::Poll { wait_ms, .. } = order.order else { return false };
        let Some(host_index) = self.platform.find_host(&order.address) else { return false };
        let host = &self.platform.registered_hosts[host_index].host;
        self.now_ms != *arrived_ms
            && self.now_ms < arrived_ms + wait_ms
            && !host.would_answer_poll(order.fence.0)
    }

    /// Fails the pending calls to a host whose process has ended.
    pub(super) fn fail_host_calls(&mut self, address: &str) {
        let mut broken_calls: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| {
                matches!(&call.target, Target::Host(order) if order.address == address)
                    && call.arrived_ms.is_some()
            })
            .map(|(number, _)| *number)
            .collect();
        broken_calls.sort_unstable();
        for number in broken_calls {
            self.report_unanswered(number);
            self.calls.remove(&number);
        }
    }

    fn report_unanswered(&mut self, number: u64) {
        self.release_connection(number, false);
        if let Some(OpenCall { target: Target::Host(order), left_late, drop_reply, arrived_ms, deadline_ms, .. }) =
            self.calls.get(&number)
            // Otherwise the host had less time than the daemon meant to give it.
            && (!left_late || *drop_reply || arrived_ms.is_none() || self.now_ms < *deadline_ms)
        {
            let host_name = order.host_name.clone();
            self.record_order_outcome(&host_name, &OrderOutcome::Unknown);
        }
        let Some(call) = self.calls.get_mut(&number) else { return };
        call.outcome_sent = true;
        let event = match &call.target {
            Target::Store(target) => Event::StoreCompleted(Box::new(StoreCompletion {
                purpose: target.purpose.clone(),
                issued_at_ms: call.issued_at_ms,
                outcome: Err(StoreFailure::Unknown),
            })),
            Target::Host(order) => Event::OrderCompleted(Box::new(OrderCompletion {
                order: order.clone(),
                issued_at_ms: call.issued_at_ms,
                host_clock_ms: None,
                completed_at_ms: self.now_ms,
                outcome: OrderOutcome::Unknown,
            })),
        };
        let (daemon, daemon_started_unix_ms) = (call.daemon, call.daemon_started_unix_ms);
        self.deliver(daemon, daemon_started_unix_ms, event, 0);
    }

    /// Lets the platform answer a call that has arrived.
    fn try_answer(&mut self, number: u64) {
        let now_ms = self.now_ms;
        let Some(call) = self.calls.get(&number) else { return };
        let arrived_ms = call.arrived_ms.unwrap_or(now_ms);
        let (method, target, body) = &call.request;
        let platform = &mut self.platform;
        if let Target::Host(order) = &call.target
            && arrived_ms == now_ms
        {
            platform.record_order(order, call.daemon, call.daemon_started_unix_ms, now_ms);
        }
        let is_for_other_host = |order: &HostOrder| {
            let host =
                platform.find_host(&order.address).map(|number| &platform.registered_hosts[number].host);
            host.is_some_and(|host| host.name != order.host_name)
        };
        let outcome = match &call.target {
            Target::Host(order) if is_for_other_host(order) => CallOutcome::Reply(421, Value::Null),
            Target::Store(_) => platform.store.call(method, target, body, arrived_ms, now_ms),
            Target::Host(order) => match platform.find_host(&order.address) {
                Some(host_index) => platform.registered_hosts[host_index].host.call(
                    target,
                    body,
                    arrived_ms,
                    now_ms,
                    &platform.ground_truth,
                    &mut platform.trace,
                ),
                None => return,
            },
        };
        let CallOutcome::Reply(status, reply) = outcome else { return };
        let host_index = match &call.target {
            Target::Host(order) => platform.find_host(&order.address),
            Target::Store(_) => None,
        };
        let loses_reply = call.drop_reply || self.loses_open_reply(call.daemon, host_index);
        self.release_connection(number, !loses_reply);
        let Some(call) = self.calls.remove(&number) else { return };
        if call.outcome_sent || loses_reply {
            if !call.outcome_sent {
                // The daemon gets no outcome before the deadline.
                self.time_out_call(call);
            }
            return;
        }
        let body = reply.to_string();
        match &call.target {
            Target::Store(target) => {
                let outcome = self.read_store_reply(&target.op.clone(), status, body.as_bytes());
                self.send_store_outcome(call, outcome, 0);
            }
            Target::Host(order) => {
                let HostReply { clock_ms, outcome } =
                    hosts::HostCodec.decode_reply(order, status, body.as_bytes());
                self.send_order_outcome(call, outcome, clock_ms, 0);
            }
        }
    }

    fn time_out_call(&mut self, call: OpenCall) {
        let deadline_ms = call.deadline_ms.max(self.now_ms);
        match call.target {
            Target::Store(_) => self.send_store_outcome(call, Err(StoreFailure::Unknown), deadline_ms),
            Target::Host(_) => self.send_order_outcome(call, OrderOutcome::Unknown, None, deadline_ms),
        }
    }

    /// Decodes a reply; fetches all further pages of a range at once, without delay.
    fn read_store_reply(
        &mut self,
        op: &StoreOp,
        status: u16,
        body: &[u8],
    ) -> Result<StoreReply, StoreFailure> {
        let first = store::StoreCodec.decode_reply(op, status, body)?;
        let (mut reply, mut next_after) = (first.reply, first.next_after);
        while let Some(after) = next_after {
            let request = store::StoreCodec
                .encode_op(op, Some(&after))
                .map_err(|_unwritable| StoreFailure::NotApplied)?;
            let (method, target, body) = request_parts(request);
            let CallOutcome::Reply(status, more) =
                self.platform.store.call(&method, &target, &body, self.now_ms, self.now_ms)
            else {
                return Err(StoreFailure::Unknown);
            };
            let page = store::StoreCodec.decode_reply(op, status, more.to_string().as_bytes())?;
            next_after = page.next_after;
            if let (StoreReply::Items { items, .. }, StoreReply::Items { items: more, .. }) =
                (&mut reply, page.reply)
            {
                items.extend(more);
            }
        }
        Ok(reply)
    }
}
