//! Messages between daemons of one version and of different ones.

use cassiahoist_core::prelude::*;
use cassiahoist_wire::peer::{decode_delivery, encode_delivery};
use cassiahoist_world::keys::RunKey;
use cassiahoist_world::orders::RefusalReason;
use cassiahoist_world::peer::PeerMessage;
use cassiahoist_world::start_relay::{
    BatchedStart, RelayedAnswer, RelayedAnswers, RelayedOutcome, StartBatch,
};
use slotmap::KeyData;

fn run(number: u64) -> RunKey {
    KeyData::from_ffi((3 << 32) + number).into()
}

fn batched_start(number: u32, ticket: Option<&str>) -> BatchedStart {
    BatchedStart {
        run: run(u64::from(number)),
        host_name: HostName::new("i-5").unwrap(),
        address: "10.9.0.5:80".into(),
        fence: Fence(93),
        task_index: number,
        run_number: 4_001,
        lease_until_ms: 61_000,
        checkpoint: "".into(),
        ticket: ticket.map(Into::into),
    }
}

fn decode(message: &[u8]) -> PeerMessage {
    serde_json::from_slice(message).unwrap()
}

/// Rows of start orders and of their answers are arrays without names, since a batch is to take little of a link.
#[test]
fn start_batches_have_compact_rows() {
    let batch = PeerMessage::StartBatch(StartBatch {
        relay: "edge-2#7".parse().unwrap(),
        claim: Fence(90),
        deadline_ms: 5_300,
        step: "00000000000000aa.0.1".parse().unwrap(),
        argument: "say \"go\"".into(),
        starts: vec![batched_start(1, Some("t-9")), batched_start(2, None)],
    });
    let text = "{\"StartBatch\":{\"relay\":\"edge-2#7\",\"claim\":90,\"deadline_ms\":5300,\
        \"step\":\"00000000000000aa.0.1\",\"argument\":\"say \\\"go\\\"\",\"starts\":[\
        [12884901889,\"i-5\",\"10.9.0.5:80\",93,1,4001,61000,\"\",\"t-9\"],\
        [12884901890,\"i-5\",\"10.9.0.5:80\",93,2,4001,61000,\"\",null]]}}";
    assert_eq!(serde_json::to_string(&batch).unwrap(), text);
    assert_eq!(decode(text.as_bytes()), batch);
    let outcomes = [
        RelayedOutcome::Started,
        RelayedOutcome::Refused(RefusalReason::Room),
        RelayedOutcome::NotSent,
        RelayedOutcome::Unknown,
    ];
    let answers = outcomes.into_iter().zip([Some(700), Some(701), None, None]).zip(1..);
    let answers = answers.map(|((outcome, host_clock_ms), number)| RelayedAnswer {
        run: run(number),
        outcome,
        host_clock_ms,
    });
    let answers = PeerMessage::RelayedAnswers(RelayedAnswers {
        claim: Fence(90),
        clock_ms: 5_100,
        answers: answers.collect(),
    });
    let text = "{\"RelayedAnswers\":{\"claim\":90,\"clock_ms\":5100,\"answers\":[\
        [12884901889,\"d\",700],[12884901890,{\"r\":\"Room\"},701],[12884901891,\"n\",null],[12884901892,\"u\",null]]}}";
    assert_eq!(serde_json::to_string(&answers).unwrap(), text);
    assert_eq!(decode(text.as_bytes()), answers);
}

/// A later version may add columns to rows.
#[test]
fn further_columns_of_rows_are_skipped() {
    let text = "{\"RelayedAnswers\":{\"claim\":90,\"clock_ms\":5100,\"answers\":[[12884901889,\"d\",700,\"x\",{}]]}}";
    let PeerMessage::RelayedAnswers(answers) = decode(text.as_bytes()) else { panic!("another message") };
    assert_eq!(answers.answers[0].host_clock_ms, Some(700));
}

/// A daemon of a later version sends a kind of message that this one doesn't know, among others.
#[test]
fn unreadable_message_does_not_affect_the_others() {
    let sender: Incarnation = "edge-1#5".parse().unwrap();
    let messages = [PeerMessage::JobCancelled(JobId(1)), PeerMessage::JobCancelled(JobId(2))];
    let mut request = encode_delivery(&sender, "10.1.0.1:7720", &messages).unwrap();
    request.messages.insert(1, b"{\"Unheard\":{}}".to_vec());
    request.messages.push(b"\xff\xfe".to_vec());
    let delivery = decode_delivery(&request).unwrap();
    assert_eq!(delivery.messages, messages);
    assert_eq!(delivery.unreadable.len(), 2);
    assert_eq!(delivery.sender.incarnation, sender);
}
