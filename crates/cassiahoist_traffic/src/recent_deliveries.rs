//! Recent deliveries of peers, by which a repeated one is recognized.

use std::collections::VecDeque;
use std::time::Duration;

use cassiahoist_core::prelude::*;
use rustc_hash::FxHashMap;
use tokio::time::Instant;

/// Number of deliveries of one sender that are remembered.
const MAX_REMEMBERED: usize = 256;

/// Time without deliveries after which a sender is forgotten.
const SENDER_RETENTION: Duration = Duration::from_secs(120);

/// Whether a delivery was received before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DeliveryStatus {
    /// Its messages have not taken effect.
    New,
    /// It came before, or it is so old that this is unknown.
    Repeated,
}

/// Deliveries of one sender.
#[derive(Debug)]
struct Sender {
    /// Numbers of the latest deliveries, in the order of their arrival.
    numbers: VecDeque<u64>,
    /// Greatest number that is no longer remembered; 0 if all are.
    forgotten_up_to: u64,
    last_delivery_at: Instant,
}

/// Numbers of recent deliveries, by sender.
#[derive(Debug, Default)]
pub(crate) struct RecentDeliveries {
    senders: FxHashMap<Incarnation, Sender>,
}

impl RecentDeliveries {
    /// Records a delivery, and returns whether it came before. One without a number, 0, counts as new.
    pub(crate) fn record(&mut self, from: &Incarnation, number: u64, now: Instant) -> DeliveryStatus {
        if number == 0 {
            return DeliveryStatus::New;
        }
        if !self.senders.contains_key(from) {
            self.senders.retain(|_, sender| now.duration_since(sender.last_delivery_at) < SENDER_RETENTION);
        }
        let sender = self.senders.entry(from.clone()).or_insert_with(|| Sender {
            numbers: VecDeque::new(),
            forgotten_up_to: 0,
            last_delivery_at: now,
        });
        sender.last_delivery_at = now;
        if number <= sender.forgotten_up_to || sender.numbers.contains(&number) {
            return DeliveryStatus::Repeated;
        }
        sender.numbers.push_back(number);
        if sender.numbers.len() > MAX_REMEMBERED
            && let Some(oldest) = sender.numbers.pop_front()
        {
            sender.forgotten_up_to = sender.forgotten_up_to.max(oldest);
        }
        DeliveryStatus::New
    }
}
