//! A load of requests at a given rate.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use crate::caller::{CallerRecord, CallerRequest, make_request};

/// Requests under way at most.
const MAX_OPEN: usize = 2_000;

/// Makes `count` requests at `per_s` a second, each to the next door in turn, and collects the records.
pub async fn run_load(
    doors: &[SocketAddr],
    count: u64,
    per_s: u64,
    mut make: impl FnMut(u64) -> CallerRequest,
) -> Vec<CallerRecord> {
    let began = Instant::now();
    let mut open = JoinSet::new();
    let mut records = Vec::with_capacity(count as usize);
    for index in 0..count {
        sleep_until(began + Duration::from_micros(index * 1_000_000 / per_s.max(1))).await;
        if open.len() >= MAX_OPEN
            && let Some(Ok(record)) = open.join_next().await
        {
            records.push(record);
        }
        let door = doors[index as usize % doors.len()];
        let request = make(index);
        open.spawn(async move { make_request(door, &request).await });
    }
    while let Some(Ok(record)) = open.join_next().await {
        records.push(record);
    }
    records
}
