//! Start orders on a holder's slow link.

use std::sync::Arc;

use cassiahoist_jobs::insert_job;
use cassiahoist_world::orders::Order;
use cassiahoist_world::spec::StepSpec;

use crate::support::{TestDaemon, job_record, step};

/// Bandwidth of the holder's link, in megabits per second.
const LINK_MBPS: u32 = 2;

/// Bytes that the link carries in one millisecond.
const LINK_BYTES_PER_MS: u64 = 250;

/// Length of the argument that each start order carries, in bytes.
const ARGUMENT_BYTES: usize = 3_000;

/// Creates a holder on a slow link with one step of tasks that all find room.
fn holder_on_slow_link(step: StepSpec) -> TestDaemon {
    let mut holder = TestDaemon::with_hosts(16);
    holder.app.world_mut().local.limits.link_mbps = LINK_MBPS;
    holder.tick(3_000);
    let mut job = job_record(1, vec![step]);
    Arc::make_mut(&mut job).spec.argument = "x".repeat(ARGUMENT_BYTES);
    let now_ms = holder.now_ms;
    insert_job(holder.app.world_mut(), &job, None, now_ms);
    holder
}

/// A holder issued 128 start orders at once, however long their arguments. Its link was full for two seconds, in which
/// polls and the renewal of its store lease timed out as well.
#[test]
fn start_orders_leave_room_on_the_link_for_polls_and_renewals() {
    let mut holder = holder_on_slow_link(step(128));
    let (mut started_count, mut elapsed_ms) = (0_u64, 0_u64);
    while elapsed_ms < 1_000 {
        holder.tick(5);
        elapsed_ms += 5;
        started_count += holder.starts().len() as u64;
        let allowed_bytes = LINK_BYTES_PER_MS * (elapsed_ms + 50) * 4 / 5;
        let sent_bytes = started_count.saturating_sub(1) * ARGUMENT_BYTES as u64;
        assert!(sent_bytes <= allowed_bytes, "{sent_bytes} bytes in {elapsed_ms} ms");
    }
    let sent_bytes = started_count * ARGUMENT_BYTES as u64;
    assert!(sent_bytes >= LINK_BYTES_PER_MS * 1_000 / 2, "only {sent_bytes} bytes in a second");
}

/// The members of a gang start together, and a wide gang with a long argument takes a slow link longer than the timeout
/// of one order. Its last members were stopped as unanswered, and the gang never ran.
#[test]
fn timeouts_of_a_wide_gang_allow_for_its_time_on_the_link() {
    let mut holder = holder_on_slow_link(StepSpec { gang: true, ..step(60) });
    holder.tick(10);
    let (mut sent_bytes, mut order_count) = (0, 0);
    for order in holder.orders().filter(|order| matches!(order.order, Order::Start { .. })) {
        sent_bytes += ARGUMENT_BYTES as u64;
        order_count += 1;
        let queueing_ms = sent_bytes / LINK_BYTES_PER_MS;
        assert!(order.timeout_ms >= queueing_ms + 200, "{} ms after {queueing_ms} ms", order.timeout_ms);
    }
    assert_eq!(order_count, 60);
}
