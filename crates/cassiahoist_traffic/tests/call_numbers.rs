//! Numbers of callers' calls, by which peers name them in their answers.

use std::sync::mpsc::sync_channel;

use cassiahoist_traffic::control_link::ControlLink;
use cassiahoist_world::calls::RELAYED_CALL_BASE;

/// A daemon restarted while the holder answered one of its calls. The numbers began at 1 again, so that a caller could get
/// the state of another job.
#[test]
fn call_numbers_differ_between_incarnations() {
    let first_numbers =
        ["edge-0#1790000000000", "edge-0#1790000000001", "edge-0#1790000003000"].map(|incarnation| {
            let (sender, _inputs) = sync_channel(1);
            let link = ControlLink::new(sender).with_incarnation(&incarnation.parse().unwrap());
            link.register_call().number
        });
    // More calls than any daemon answers in a millisecond lie between the numbers of two incarnations.
    assert!(first_numbers.windows(2).all(|pair| pair[0] + 1_000_000 < pair[1]), "{first_numbers:?}");
    assert!(first_numbers.iter().all(|number| *number < RELAYED_CALL_BASE));
}
