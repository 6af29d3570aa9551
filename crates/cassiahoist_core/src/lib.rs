//! Identities, resources, error kinds and log events shared by every crate.
//!
//! Nothing here knows a wire format or reads a clock. Names clash across the merged fleets, so every name
//! is a pair of fleet and name:
//!
//! ```
//! use cassiahoist_core::prelude::*;
//!
//! let loan: HostName = "tokachi/runner-01".parse()?;
//! let etching: HostName = "gauteng/runner-01".parse()?;
//! assert_ne!(loan, etching);
//! # Ok::<(), cassiahoist_core::HoistError>(())
//! ```

pub mod answer;
pub mod class;
pub mod error;
pub mod event_id;
pub mod hash;
pub mod name;
pub mod resources;

pub use error::{ErrorKind, HoistError};

/// The types nearly every crate uses.
pub mod prelude {
    pub use crate::answer::{Answer, AnswerBody, Outcome};
    pub use crate::class::WorkClass;
    pub use crate::error::{ErrorKind, HoistError};
    pub use crate::event_id::{EventId, Severity};
    pub use crate::name::{
        FailureDomain, Fleet, HostName, Incarnation, MemberName, RackName, RequestIdentity, SliceName,
        SlicePart, TaskName, TeamName, WorkKind,
    };
    pub use crate::resources::Resources;
}
