//! A holder that is too slow hands the slice over.
//!
//! Its machine may get too little processor time or its link too little room. Then even the quickest host seems slow.

use cassiahoist_core::prelude::*;
use cassiahoist_world::holding::AnswerPace;
use cassiahoist_world::orders::{Order, OrderAnswered, OrderOutcome};
use cassiahoist_world::prelude::*;

/// Length of a span in which the quickest answer is looked for, in milliseconds; some hosts are always slow.
const SPAN_MS: u64 = 300;

/// Answers without which a span tells nothing.
const MIN_ANSWERS: u32 = 5;

/// An answer that took this long is slow, in milliseconds; between two hosts of a cell it takes a few.
const SLOW_ANSWER_MS: u64 = 100;

/// Slow spans in a row after which the slice is handed over.
const SLOW_SPANS: u32 = 2;

/// Time after a claim in which adopting the slice explains slow answers, in milliseconds.
const SETTLING_MS: u64 = 3_000;

/// For how long a daemon that was too slow lets others claim first, in milliseconds.
const RELUCTANT_MS: u64 = 15_000;

/// Judges by hosts' answers whether this daemon is fit to hold the slice.
pub fn judge_fitness(world: &mut World, now_ms: u64) {
    let settled = world.holding.since_ms().is_some_and(|since_ms| now_ms >= since_ms + SETTLING_MS);
    if !world.holding.is_holding() || !settled {
        world.holding.pace = AnswerPace::default();
        return;
    }
    let pace = &mut world.holding.pace;
    for took_ms in world.inbox.orders.iter().filter_map(|answered| took_ms(answered, now_ms)) {
        pace.quickest_ms = if pace.answers == 0 { took_ms } else { pace.quickest_ms.min(took_ms) };
        pace.answers += 1;
    }
    if now_ms >= pace.span_end_ms {
        end_span(pace, now_ms);
    }
    let alone = world.members.peer_addresses(&world.local.incarnation.member).next().is_none();
    if world.holding.pace.slow_spans >= SLOW_SPANS && !alone && world.holding.unfit_since_ms.is_none() {
        let quickest_ms = world.holding.pace.quickest_ms;
        world.log(LogNote::new(EventId::HolderSlow).with("quickest_answer_ms", quickest_ms));
        world.holding.unfit_since_ms = Some(now_ms);
        world.holding.reluctant_until_ms = now_ms + RELUCTANT_MS;
    }
}

/// Gives how long an answer took, if its host had no reason to wait.
fn took_ms(answered: &OrderAnswered, now_ms: u64) -> Option<u64> {
    let waits = matches!(answered.order.order, Order::Poll { wait_ms, .. } if wait_ms > 0);
    let told = matches!(answered.outcome, OrderOutcome::Done { .. } | OrderOutcome::Refused(_));
    (told && !waits).then(|| now_ms.saturating_sub(answered.started_ms))
}

fn end_span(pace: &mut AnswerPace, now_ms: u64) {
    let slow = pace.answers >= MIN_ANSWERS && pace.quickest_ms >= SLOW_ANSWER_MS;
    let slow_spans = if slow { pace.slow_spans + 1 } else { 0 };
    let quickest_ms = pace.quickest_ms;
    *pace = AnswerPace { span_end_ms: now_ms + SPAN_MS, answers: 0, quickest_ms, slow_spans };
}
