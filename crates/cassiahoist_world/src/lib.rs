//! Tables, messages and the tick that systems run in.
//!
//! A daemon's whole control state is one [`World`](world::World) of tables. Plugins of other crates register
//! systems, which are free functions over the world, in the ordered sets of a
//! [`Schedule`](schedule::Schedule). Messages come in through the [`Inbox`](inbox::Inbox) and leave as
//! [`Effect`](effect::Effect)s; neither knows how it is encoded.

pub mod advice;
pub mod app;
pub mod commits;
pub mod config;
pub mod counters;
pub mod declared;
pub mod effect;
pub mod event;
pub mod front;
pub mod holding;
mod holding_machine;
pub mod hosts;
pub mod inbox;
pub mod jobs;
pub mod keys;
pub mod local;
pub mod members;
pub mod notices;
pub mod orders;
pub mod peer;
pub mod record;
pub mod rows;
pub mod runs;
pub mod schedule;
pub mod spec;
pub mod store;
pub mod store_link;
pub mod world;

/// The types that most systems use.
pub mod prelude {
    pub use crate::app::{App, Plugin};
    pub use crate::effect::{Effect, LogNote};
    pub use crate::event::Event;
    pub use crate::schedule::TickSet;
    pub use crate::world::World;
}
