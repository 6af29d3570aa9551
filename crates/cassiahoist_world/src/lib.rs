//! Tables, messages and the tick that systems run in.
//!
//! A daemon's whole control state is one [`World`](world::World) of tables. Plugins of other crates register
//! systems, which are free functions over the world, in the ordered sets of a
//! [`Schedule`](schedule::Schedule). Messages come in through the [`Inbox`](inbox::Inbox) and leave as
//! [`Effect`](effect::Effect)s; neither knows how it is encoded.

pub mod app;
pub mod declarations;
pub mod effect;
pub mod event;
pub mod hosts;
pub mod inbox;
pub mod jobs;
pub mod journal;
pub mod local;
pub mod members;
pub mod peer;
pub mod requests;
pub mod runs;
pub mod schedule;
pub mod slices;
pub mod store;
pub mod teams;
pub mod worker;
pub mod world;

/// The types that most systems use.
pub mod prelude {
    pub use crate::app::{App, Plugin};
    pub use crate::effect::{Effect, Permit};
    pub use crate::event::Event;
    pub use crate::schedule::TickSet;
    pub use crate::world::World;
}
