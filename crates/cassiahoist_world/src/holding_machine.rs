//! State machine of holding a slice: standby, claiming, adopting, holding.

use cassiahoist_core::prelude::*;
use statig::prelude::*;

/// An event that changes the state of holding the slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldingEvent {
    /// A claim was sent to the store.
    ClaimSent,
    /// The store rejected the claim or did not answer.
    ClaimFailed,
    /// The store accepted the claim, by its answer or by a later watch.
    ClaimWon {
        /// Fencing token of the claim.
        fence: Fence,
        /// When this daemon observed it, in monotonic milliseconds.
        at_ms: u64,
    },
    /// All records of earlier holders are in the tables.
    Adopted,
    /// The claim was released, lost with the lease, or replaced by a later one.
    SteppedDown,
}

/// State machine of holding a slice; its states carry all data.
#[derive(Clone, Copy, Debug, Default)]
pub struct HoldingMachine;

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the macro passes state by reference")]
#[state_machine(initial = "State::standby()", state(derive(Clone, Copy, Debug, PartialEq, Eq)))]
impl HoldingMachine {
    #[state]
    fn standby(event: &HoldingEvent) -> Outcome<State> {
        match *event {
            HoldingEvent::ClaimSent => Transition(State::claiming()),
            HoldingEvent::ClaimWon { fence, at_ms } => Transition(State::adopting(fence, at_ms)),
            _ => Handled,
        }
    }

    #[state]
    fn claiming(event: &HoldingEvent) -> Outcome<State> {
        match *event {
            HoldingEvent::ClaimWon { fence, at_ms } => Transition(State::adopting(fence, at_ms)),
            HoldingEvent::ClaimFailed | HoldingEvent::SteppedDown => Transition(State::standby()),
            _ => Handled,
        }
    }

    #[state]
    fn adopting(fence: &Fence, since_ms: &u64, event: &HoldingEvent) -> Outcome<State> {
        match *event {
            HoldingEvent::Adopted => Transition(State::holding(*fence, *since_ms)),
            HoldingEvent::SteppedDown => Transition(State::standby()),
            _ => Handled,
        }
    }

    #[state]
    fn holding(fence: &Fence, since_ms: &u64, event: &HoldingEvent) -> Outcome<State> {
        let _ = (fence, since_ms);
        match event {
            HoldingEvent::SteppedDown => Transition(State::standby()),
            _ => Handled,
        }
    }
}
