//! Calls of daemons to the store, hosts and the advice service.

use bytes::Bytes;
use cassiahoist_platform::{advice, hosts, store};
use cassiahoist_traffic::protocol::{AdviceProtocol, HostProtocol, HostReply, StoreProtocol, WholeRequest};
use cassiahoist_world::advice::{AdviceAnswer, AdviceCall};
use cassiahoist_world::event::Event;
use cassiahoist_world::orders::{HostOrder, OrderAnswered, OrderOutcome};
use cassiahoist_world::peer::PeerMessage;
use cassiahoist_world::store::{StoreAnswered, StoreCall, StoreFailure, StoreOp, StoreReply};
use http_body_util::BodyExt;
use rand::Rng;

use super::{Sim, Way};
use crate::store::Outcome;

/// Time in which a connection to a silent address is given up, in milliseconds.
const CONNECT_MS: u64 = 700;

/// What a call is for.
#[derive(Debug)]
pub(super) enum Target {
    /// The store.
    Store(StoreCall),
    /// A host.
    Host(HostOrder),
}

/// A call under way.
#[derive(Debug)]
pub(super) struct OpenCall {
    daemon: usize,
    life: u64,
    target: Target,
    request: (String, String, Bytes),
    started_ms: u64,
    give_up_ms: u64,
    arrived_ms: Option<u64>,
    /// Whether the answer is lost on its way.
    lose_answer: bool,
    /// Whether the daemon was told.
    told: bool,
    /// The life of the host to which it was sent; 0 for the store.
    host_life: u64,
}

fn parts(request: WholeRequest) -> (String, String, Bytes) {
    let (head, body) = request.into_parts();
    let target = head.uri.path_and_query().map(ToString::to_string).unwrap_or_default();
    // The body is whole, so that it is there at once.
    let body = futures_body(body);
    (head.method.to_string(), target, body)
}

fn futures_body(body: http_body_util::Full<Bytes>) -> Bytes {
    let mut body = std::pin::pin!(body.collect());
    let mut context = std::task::Context::from_waker(std::task::Waker::noop());
    match body.as_mut().poll(&mut context) {
        std::task::Poll::Ready(Ok(whole)) => whole.to_bytes(),
        _ => Bytes::new(),
    }
}

impl Sim {
    pub(super) fn send_store_call(&mut self, daemon: usize, life: u64, call: StoreCall, started_ms: u64) {
        let Ok(request) = store::Store.write_op(&call.op, None) else { return };
        let give_up_ms = call.deadline_ms;
        let mood = self.store_mood;
        let cut = self.now_ms < self.daemons[daemon].cut_until_ms;
        let open = OpenCall {
            daemon,
            life,
            target: Target::Store(call),
            request: parts(request),
            started_ms,
            give_up_ms,
            arrived_ms: None,
            lose_answer: self.rng.random_bool(mood.lost),
            told: false,
            host_life: 0,
        };
        if cut || mood.silent {
            let told_ms = give_up_ms.min(self.now_ms + CONNECT_MS);
            return self.tell_later(open, Err(StoreFailure::NotDone), told_ms);
        }
        let late = mood.late_ms > 0 && open.lose_answer;
        let delay_ms = mood.slow_ms + if late { self.rng.random_range(0..mood.late_ms) } else { 0 };
        self.open(open, delay_ms);
    }

    fn tell_later(&mut self, open: OpenCall, outcome: Result<StoreReply, StoreFailure>, at_ms: u64) {
        if let Target::Store(call) = open.target {
            let answered = StoreAnswered { purpose: call.purpose, started_ms: open.started_ms, outcome };
            self.deliver(open.daemon, open.life, Event::Store(Box::new(answered)), at_ms);
        }
    }

    fn open(&mut self, open: OpenCall, delay_ms: u64) {
        self.last_way += 1;
        let number = self.last_way;
        self.calls.insert(number, open);
        self.send(Way::ToPlatform(number), self.now_ms + delay_ms);
    }

    pub(super) fn send_order(&mut self, daemon: usize, life: u64, order: HostOrder, started_ms: u64) {
        let Ok(request) = hosts::Hosts.write_order(&order) else { return };
        let dark = self
            .platform
            .machine_at(&order.address)
            .is_none_or(|number| self.now_ms < self.platform.machines[number].dark_until_ms);
        let host_life = self.host_life(&order.address);
        let give_up_ms = started_ms + order.patience_ms;
        let late = self.rng.random_bool(self.store_mood.late_orders);
        let open = OpenCall {
            daemon,
            life,
            target: Target::Host(order),
            request: parts(request),
            started_ms,
            give_up_ms,
            arrived_ms: None,
            lose_answer: late,
            told: false,
            host_life,
        };
        if dark {
            let told_ms = give_up_ms.min(self.now_ms + CONNECT_MS);
            return self.tell_order(open, OrderOutcome::NotSent, None, told_ms);
        }
        let delay_ms = if late { self.rng.random_range(2_000..8_000) } else { 0 };
        self.open(open, delay_ms);
    }

    fn tell_order(&mut self, open: OpenCall, outcome: OrderOutcome, clock_ms: Option<u64>, at_ms: u64) {
        if let Target::Host(order) = open.target {
            let answered = OrderAnswered {
                order,
                started_ms: open.started_ms,
                clock_ms,
                answered_ms: at_ms.max(self.now_ms),
                outcome,
            };
            self.deliver(open.daemon, open.life, Event::Order(Box::new(answered)), at_ms);
        }
    }

    pub(super) fn send_advice_call(
        &mut self,
        daemon: usize,
        life: u64,
        call: &AdviceCall,
        reply_to: Option<String>,
    ) {
        let Ok(request) = advice::Advice.write_call(call) else { return };
        let (_, _, body) = parts(request);
        let reply = crate::advice::advise(&body).to_string();
        let reply = advice::Advice.read_reply(200, reply.as_bytes());
        let ticket_ms = reply.as_ref().map_or(0, |reply| reply.ticket_ms);
        let answer = AdviceAnswer { call: call.call, good: reply.map(|reply| reply.good), ticket_ms };
        match reply_to {
            Some(address) => {
                let from = self.sender(daemon, life);
                self.send_peer(&address, Event::Peer { from, message: PeerMessage::Advised(answer) });
            }
            None => self.deliver(daemon, life, Event::Advice(answer), self.now_ms + 20),
        }
    }

    fn host_life(&self, address: &str) -> u64 {
        let machine = self.platform.machine_at(address);
        machine.map_or(0, |number| self.platform.machines[number].runner.born_unix_ms)
    }

    pub(super) fn arrive(&mut self, number: u64) {
        let now_ms = self.now_ms;
        if let Some(call) = self.calls.get(&number)
            && let Target::Host(order) = &call.target
            && self.host_life(&order.address) != call.host_life
        {
            // It was sent to a process that has ended.
            if !call.told {
                self.tell_unanswered(number);
            }
            self.calls.remove(&number);
            return;
        }
        if let Some(call) = self.calls.get_mut(&number) {
            call.arrived_ms = Some(now_ms);
        }
        self.attempt(number);
    }

    /// Asks again for calls that wait, and gives up those whose time is over.
    pub(super) fn answer_waiting_calls(&mut self) {
        let mut numbers: Vec<u64> = self.calls.keys().copied().collect();
        numbers.sort_unstable();
        for number in numbers {
            let Some(call) = self.calls.get(&number) else { continue };
            let (arrived, over) = (call.arrived_ms.is_some(), self.now_ms >= call.give_up_ms);
            if over && !call.told {
                self.tell_unanswered(number);
            }
            if arrived {
                self.attempt(number);
            }
        }
    }

    /// Breaks the calls that wait at a host, since its process has ended.
    pub(super) fn break_host_calls(&mut self, address: &str) {
        let mut broken: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| {
                matches!(&call.target, Target::Host(order) if order.address == address)
                    && call.arrived_ms.is_some()
            })
            .map(|(number, _)| *number)
            .collect();
        broken.sort_unstable();
        for number in broken {
            self.tell_unanswered(number);
            self.calls.remove(&number);
        }
    }

    fn tell_unanswered(&mut self, number: u64) {
        let Some(call) = self.calls.get_mut(&number) else { return };
        call.told = true;
        let event = match &call.target {
            Target::Store(target) => Event::Store(Box::new(StoreAnswered {
                purpose: target.purpose.clone(),
                started_ms: call.started_ms,
                outcome: Err(StoreFailure::Unknown),
            })),
            Target::Host(order) => Event::Order(Box::new(OrderAnswered {
                order: order.clone(),
                started_ms: call.started_ms,
                clock_ms: None,
                answered_ms: self.now_ms,
                outcome: OrderOutcome::Unknown,
            })),
        };
        let (daemon, life) = (call.daemon, call.life);
        self.deliver(daemon, life, event, 0);
    }

    /// Lets the platform answer a call that has arrived.
    fn attempt(&mut self, number: u64) {
        let now_ms = self.now_ms;
        let Some(call) = self.calls.get(&number) else { return };
        let arrived_ms = call.arrived_ms.unwrap_or(now_ms);
        let (method, target, body) = &call.request;
        let platform = &mut self.platform;
        if let Target::Host(order) = &call.target
            && arrived_ms == now_ms
        {
            platform.note_order(order, call.daemon, call.life, now_ms);
        }
        let outcome = match &call.target {
            Target::Store(_) => platform.store.call(method, target, body, arrived_ms, now_ms),
            Target::Host(order) => match platform.machine_at(&order.address) {
                Some(machine) => platform.machines[machine].runner.call(
                    target,
                    body,
                    arrived_ms,
                    now_ms,
                    &platform.truth,
                    &mut platform.trace,
                ),
                None => return,
            },
        };
        let Outcome::Reply(status, reply) = outcome else { return };
        let Some(call) = self.calls.remove(&number) else { return };
        if call.told || call.lose_answer {
            if !call.told {
                // The daemon hears nothing until its patience ends.
                self.forget_answer(call);
            }
            return;
        }
        let body = reply.to_string();
        match &call.target {
            Target::Store(target) => {
                let outcome = self.read_store_reply(&target.op.clone(), status, body.as_bytes());
                self.tell_later(call, outcome, 0);
            }
            Target::Host(order) => {
                let HostReply { clock_ms, outcome } = hosts::Hosts.read_reply(order, status, body.as_bytes());
                self.tell_order(call, outcome, clock_ms, 0);
            }
        }
    }

    fn forget_answer(&mut self, call: OpenCall) {
        let give_up_ms = call.give_up_ms.max(self.now_ms);
        match call.target {
            Target::Store(_) => self.tell_later(call, Err(StoreFailure::Unknown), give_up_ms),
            Target::Host(_) => self.tell_order(call, OrderOutcome::Unknown, None, give_up_ms),
        }
    }

    /// Reads an answer; the pages of a range after the first are read at once.
    fn read_store_reply(
        &mut self,
        op: &StoreOp,
        status: u16,
        body: &[u8],
    ) -> Result<StoreReply, StoreFailure> {
        let first = store::Store.read_reply(op, status, body)?;
        let (mut reply, mut next) = (first.reply, first.next);
        while let Some(after) = next {
            let request =
                store::Store.write_op(op, Some(&after)).map_err(|_unwritable| StoreFailure::NotDone)?;
            let (method, target, body) = parts(request);
            let Outcome::Reply(status, more) =
                self.platform.store.call(&method, &target, &body, self.now_ms, self.now_ms)
            else {
                return Err(StoreFailure::Unknown);
            };
            let page = store::Store.read_reply(op, status, more.to_string().as_bytes())?;
            next = page.next;
            if let (StoreReply::Items { items, .. }, StoreReply::Items { items: more, .. }) =
                (&mut reply, page.reply)
            {
                items.extend(more);
            }
        }
        Ok(reply)
    }
}
