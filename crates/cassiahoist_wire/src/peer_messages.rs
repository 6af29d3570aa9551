//! Messages between daemons, to and from their generated form.

use cassiahoist_core::error::ANSWER_ROWS;
use cassiahoist_core::prelude::*;
use cassiahoist_world::members::LoadDigest;
use cassiahoist_world::peer::{
    AskConfirmation, Confirmation, Gossip, PeerMessage, SliceConfirmation, TaskNews, TaskNewsState,
};
use cassiahoist_world::runs::TaskOrder;
use cassiahoist_world::worker::TaskExit;

use crate::generated as proto;
use crate::generated::message::Kind;

fn bad(what: &str) -> HoistError {
    HoistError::BadMessage(format!("peer message without {what}"))
}

/// Encodes an incarnation.
#[must_use]
pub fn encode_incarnation(incarnation: &Incarnation) -> proto::Incarnation {
    proto::Incarnation { member: incarnation.member.to_string(), number: incarnation.number }
}

/// Decodes an incarnation.
///
/// # Errors
/// [`HoistError`] if it is missing or its name is bad.
pub fn decode_incarnation(incarnation: Option<&proto::Incarnation>) -> Result<Incarnation, HoistError> {
    let incarnation = incarnation.ok_or_else(|| bad("incarnation"))?;
    Ok(Incarnation { member: incarnation.member.parse()?, number: incarnation.number })
}

/// Encodes a message.
#[must_use]
pub fn encode_message(message: &PeerMessage) -> proto::Message {
    let kind = match message {
        PeerMessage::Gossip(gossip) => Kind::Gossip(encode_gossip(gossip)),
        PeerMessage::AskConfirmation(ask) => Kind::AskConfirmation(proto::AskConfirmation {
            asked_ms: ask.asked_ms,
            slices: ask.slices.iter().map(|(slice, term)| encode_term(slice, *term)).collect(),
        }),
        PeerMessage::Confirmation(confirmation) => Kind::Confirmation(proto::Confirmation {
            asked_ms: confirmation.asked_ms,
            slices: confirmation.slices.iter().map(encode_confirmation).collect(),
        }),
        PeerMessage::PlaceTasks(orders) => {
            Kind::PlaceTasks(proto::PlaceTasks { orders: orders.iter().map(encode_order).collect() })
        }
        PeerMessage::TaskNews(news) => {
            Kind::TaskNews(proto::TaskNewsBatch { news: news.iter().map(encode_news).collect() })
        }
        PeerMessage::CancelTasks(tasks) => {
            Kind::CancelTasks(proto::CancelTasks { tasks: tasks.iter().map(ToString::to_string).collect() })
        }
    };
    proto::Message { kind: Some(kind) }
}

/// Decodes a message.
///
/// # Errors
/// [`HoistError`] if a part is missing or a name is bad.
pub fn decode_message(message: &proto::Message) -> Result<PeerMessage, HoistError> {
    match message.kind.as_ref().ok_or_else(|| bad("kind"))? {
        Kind::Gossip(gossip) => decode_gossip(gossip).map(PeerMessage::Gossip),
        Kind::AskConfirmation(ask) => Ok(PeerMessage::AskConfirmation(AskConfirmation {
            asked_ms: ask.asked_ms,
            slices: ask.slices.iter().map(decode_term).collect::<Result<_, _>>()?,
        })),
        Kind::Confirmation(confirmation) => Ok(PeerMessage::Confirmation(Confirmation {
            asked_ms: confirmation.asked_ms,
            slices: confirmation.slices.iter().map(decode_confirmation).collect::<Result<_, _>>()?,
        })),
        Kind::PlaceTasks(tasks) => {
            tasks.orders.iter().map(decode_order).collect::<Result<_, _>>().map(PeerMessage::PlaceTasks)
        }
        Kind::TaskNews(batch) => {
            batch.news.iter().map(decode_news).collect::<Result<_, _>>().map(PeerMessage::TaskNews)
        }
        Kind::CancelTasks(tasks) => tasks
            .tasks
            .iter()
            .map(|task| task.parse())
            .collect::<Result<_, _>>()
            .map(PeerMessage::CancelTasks),
    }
}

fn encode_resources(resources: &Resources) -> proto::Resources {
    proto::Resources {
        cpu_milli: resources.cpu_milli,
        memory_mib: resources.memory_mib,
        accelerators: resources.accelerators,
    }
}

fn decode_resources(resources: Option<&proto::Resources>) -> Resources {
    resources.map_or_else(Resources::default, |resources| {
        Resources::new(resources.cpu_milli, resources.memory_mib, resources.accelerators)
    })
}

fn encode_gossip(gossip: &Gossip) -> proto::Gossip {
    let loads = gossip.loads.iter().map(|(fleet, load)| proto::Load {
        fleet: fleet.to_string(),
        free_slots: load.free_slots,
        total_slots: load.total_slots,
        queued: load.queued,
        free: Some(encode_resources(&load.free)),
        largest_free: Some(encode_resources(&load.largest_free)),
        capacity: Some(encode_resources(&load.capacity)),
    });
    proto::Gossip { generation: gossip.generation, loads: loads.collect(), stopping: gossip.stopping }
}

fn decode_gossip(gossip: &proto::Gossip) -> Result<Gossip, HoistError> {
    let decode = |load: &proto::Load| {
        let digest = LoadDigest {
            free_slots: load.free_slots,
            total_slots: load.total_slots,
            queued: load.queued,
            free: decode_resources(load.free.as_ref()),
            largest_free: decode_resources(load.largest_free.as_ref()),
            capacity: decode_resources(load.capacity.as_ref()),
        };
        Ok((Fleet::new(&load.fleet)?, digest))
    };
    let loads = gossip.loads.iter().map(decode).collect::<Result<_, HoistError>>()?;
    Ok(Gossip { generation: gossip.generation, loads, stopping: gossip.stopping })
}

fn encode_term(slice: &SliceName, term: u64) -> proto::SliceTerm {
    proto::SliceTerm { slice: slice.to_string(), term }
}

fn decode_term(slice: &proto::SliceTerm) -> Result<(SliceName, u64), HoistError> {
    Ok((slice.slice.parse()?, slice.term))
}

fn encode_confirmation(slice: &(SliceName, u64, SliceConfirmation)) -> proto::SliceConfirmation {
    use proto::slice_confirmation::Answer;
    let answer = match &slice.2 {
        SliceConfirmation::Relayed { age_ms, term, holder } => Answer::Relayed(proto::Relayed {
            age_ms: *age_ms,
            term: *term,
            holder: holder.as_ref().map(encode_incarnation),
        }),
        SliceConfirmation::Promised => Answer::Promised(true),
        SliceConfirmation::Declined => Answer::Promised(false),
    };
    proto::SliceConfirmation { asked: Some(encode_term(&slice.0, slice.1)), answer: Some(answer) }
}

fn decode_confirmation(
    slice: &proto::SliceConfirmation,
) -> Result<(SliceName, u64, SliceConfirmation), HoistError> {
    use proto::slice_confirmation::Answer;
    let (name, term) = decode_term(slice.asked.as_ref().ok_or_else(|| bad("slice"))?)?;
    let confirmation = match slice.answer.as_ref().ok_or_else(|| bad("confirmation"))? {
        Answer::Relayed(relayed) => SliceConfirmation::Relayed {
            age_ms: relayed.age_ms,
            term: relayed.term,
            holder: relayed.holder.as_ref().map(|holder| decode_incarnation(Some(holder))).transpose()?,
        },
        Answer::Promised(true) => SliceConfirmation::Promised,
        Answer::Promised(false) => SliceConfirmation::Declined,
    };
    Ok((name, term, confirmation))
}

fn encode_order(order: &TaskOrder) -> proto::TaskOrder {
    proto::TaskOrder {
        task: order.task.to_string(),
        team: order.team.to_string(),
        kind: order.kind.to_string(),
        class: encode_listed(&WorkClass::ALL, &order.class),
        size: Some(encode_resources(&order.size)),
        declared_run_ms: order.declared_run_ms,
        gang_size: order.gang_size,
        spread: order.spread,
        idempotent: order.idempotent,
        argument: order.argument.clone(),
        avoid: order.avoid.iter().map(ToString::to_string).collect(),
    }
}

fn decode_order(order: &proto::TaskOrder) -> Result<TaskOrder, HoistError> {
    Ok(TaskOrder {
        task: order.task.parse()?,
        team: order.team.parse()?,
        kind: order.kind.parse()?,
        class: decode_listed(&WorkClass::ALL, order.class).ok_or_else(|| bad("class"))?,
        size: decode_resources(order.size.as_ref()),
        declared_run_ms: order.declared_run_ms,
        gang_size: order.gang_size,
        spread: order.spread,
        idempotent: order.idempotent,
        argument: order.argument.clone(),
        avoid: order.avoid.iter().map(|host| host.parse()).collect::<Result<_, _>>()?,
    })
}

/// Every way in which a task may end, in the order of their numbers.
const EXITS: [TaskExit; 5] =
    [TaskExit::Succeeded, TaskExit::Failed, TaskExit::Stopped, TaskExit::Lapsed, TaskExit::Refused];

/// Encodes an item of a closed list by its position.
fn encode_listed<T: PartialEq>(list: &[T], item: &T) -> u32 {
    list.iter().position(|other| other == item).unwrap_or_default() as u32
}

/// Decodes a position in a closed list.
fn decode_listed<T: Copy>(list: &[T], number: u32) -> Option<T> {
    list.get(number as usize).copied()
}

fn encode_news(news: &TaskNews) -> proto::TaskNews {
    use proto::task_news::State;
    let (host, state) = match &news.state {
        TaskNewsState::Running(host) => (host.to_string(), State::Running(true)),
        TaskNewsState::Ended { host, exit } => (host.to_string(), State::Ended(encode_listed(&EXITS, exit))),
        TaskNewsState::NotStarted(kind) => (String::new(), State::NotStarted(encode_kind(*kind))),
    };
    proto::TaskNews { task: news.task.to_string(), host, state: Some(state) }
}

fn encode_kind(kind: ErrorKind) -> u32 {
    ANSWER_ROWS.iter().position(|row| row.kind == kind).unwrap_or_default() as u32
}

fn decode_news(news: &proto::TaskNews) -> Result<TaskNews, HoistError> {
    use proto::task_news::State;
    let state = match news.state.as_ref().ok_or_else(|| bad("state"))? {
        State::Running(_) => TaskNewsState::Running(news.host.parse()?),
        State::Ended(exit) => TaskNewsState::Ended {
            host: news.host.parse()?,
            exit: decode_listed(&EXITS, *exit).ok_or_else(|| bad("exit"))?,
        },
        State::NotStarted(kind) => TaskNewsState::NotStarted(
            ANSWER_ROWS.get(*kind as usize).map(|row| row.kind).ok_or_else(|| bad("error kind"))?,
        ),
    };
    Ok(TaskNews { task: news.task.parse()?, state })
}
