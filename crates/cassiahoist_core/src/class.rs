//! Classes of work with unlike policies.

use serde::{Deserialize, Serialize};

/// The policy under which a job is placed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkClass {
    /// Must start soon; may preempt batch work by checkpoint.
    Urgent,
    /// Ordinary work in fair order.
    #[default]
    Batch,
    /// All tasks start together or none does.
    Gang,
    /// Runs until it is cancelled.
    Service,
    /// Watches something for as long as it lasts.
    Watch,
}

impl WorkClass {
    /// Every class, in order of urgency.
    pub const ALL: [Self; 5] = [Self::Urgent, Self::Batch, Self::Gang, Self::Service, Self::Watch];

    /// Tells whether work of this class runs many times longer than the rest by nature.
    #[must_use]
    pub fn is_long_running(self) -> bool {
        matches!(self, Self::Service | Self::Watch)
    }
}
