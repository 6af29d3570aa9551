//! Defines the names, resources, error kinds and log events that every crate uses.
//!
//! The crate is independent of all wire formats and reads no clock.
//!
//! ```
//! use cassiahoist_core::prelude::*;
//!
//! let task: TaskName = "5c0e7a21d94b36f8.0.1.17".parse()?;
//! assert_eq!((task.step.index, task.index), (1, 17));
//! # Ok::<(), cassiahoist_core::HoistError>(())
//! ```

pub mod bounds;
pub mod credential;
pub mod descriptors;
pub mod error;
pub mod event_id;
pub mod hash;
pub mod memory;
pub mod name;
pub mod order_of_work;
pub mod resources;

pub use error::{ErrorKind, HoistError};

/// Re-exports the types that most crates use.
pub mod prelude {
    pub use crate::bounds::{Bounds, MachineLimits};
    pub use crate::error::{ErrorKind, HoistError};
    pub use crate::event_id::{EventId, Severity, Subject};
    pub use crate::name::{
        AccountName, FailureDomain, Fence, HostName, Incarnation, JobId, MemberName, PoolName, QueueName,
        SliceId, StepName, TaskName,
    };
    pub use crate::order_of_work::OrderOfWork;
    pub use crate::resources::Resources;
}
