//! Faults that a stand-in plays on command.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Faults in force; sent whole as JSON to `/fault`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Every call is refused.
    pub down: bool,
    /// Every answer is late by this long, in milliseconds.
    pub slow_ms: u64,
    /// Every n-th answer is lost after its effect took place; 0 for none.
    pub lose_every: u32,
    /// Open connections stay silent for good while new ones work.
    pub silence_open: bool,
    /// Everything that is started fails.
    pub fail_all: bool,
    /// The host says that it is leaving.
    pub leaving: bool,
}

/// What a fault does to one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Play {
    /// The call goes on as usual.
    Normal,
    /// The call is refused before it has an effect.
    Refuse,
    /// The call takes effect and its answer is lost.
    LoseAnswer,
}

/// The faults of one stand-in.
#[derive(Debug, Default)]
pub struct FaultSwitch {
    state: Mutex<(Fault, u32)>,
}

impl FaultSwitch {
    /// Sets the faults.
    pub fn set(&self, fault: Fault) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).0 = fault;
    }

    /// Gives the faults in force.
    #[must_use]
    pub fn get(&self) -> Fault {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).0.clone()
    }

    /// Waits out slowness and tells what becomes of a call.
    pub async fn play(&self) -> Play {
        let (fault, count) = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            state.1 = state.1.wrapping_add(1);
            state.clone()
        };
        if fault.down {
            return Play::Refuse;
        }
        if fault.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(fault.slow_ms)).await;
        }
        if fault.lose_every > 0 && count % fault.lose_every == 0 {
            return Play::LoseAnswer;
        }
        Play::Normal
    }
}
