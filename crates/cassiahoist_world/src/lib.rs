//! Defines the tables, the messages and the tick of a daemon's control thread.
//!
//! A daemon keeps its whole control state in one [`World`](world::World) of tables. Plugins of other crates
//! register systems, which are free functions over the world, in the ordered sets of a
//! [`Schedule`](schedule::Schedule). Every tick runs all systems once. Messages arrive as
//! [`Event`](event::Event)s through the [`Inbox`](inbox::Inbox) and leave as [`Effect`](effect::Effect)s;
//! neither depends on a wire format.
//!
//! # Terms
//!
//! - A **job** consists of steps, a **step** of equal tasks, and each attempt to execute a **task** on a host
//!   is a **run**. A step whose tasks work only together is a **gang**.
//! - A **queue** receives jobs from callers; a **pool** is the set of hosts that run the work of a queue.
//! - A **cell** is all daemons that share one store, with the hosts that are registered there.
//! - A **slice** is a group of hosts of a cell. One daemon, its **holder**, schedules the work of a slice. It
//!   owns the slice by a **claim**: a record in the store that ends with the holder's **lease** there. The
//!   claim's store revision is the **fence** (fencing token) of all the holder's orders. Claims are numbered in
//!   sequence; the number is the **term**.
//! - A new holder **adopts** the slice: it loads jobs, progress and the **roster**, the stored list of all
//!   hosts that may run work, and asks those hosts what they run.
//! - The holder **polls** hosts: it asks what they run and which runs have ended. A poll also extends a host's
//!   **run lease**, at whose end the host ends its runs.
//! - A daemon that the store does not answer **relays** its callers' calls through a peer.
//! - While start orders fill the holder's link, peers send them to the hosts for it. They are its **start relays**.
//! - A task whose host was lost soon after its start is a **suspect**. It starts alone on a host and is cleared once it
//!   has outlived its **probation** there.
//! - **Advice** is a service of the platform that names the hosts which may run a step and gives a **ticket**
//!   for each.
//!
//! # Times
//!
//! A field whose name ends in `_unix_ms` holds Unix time in milliseconds. Other points in time are on the
//! daemon's monotonic clock, in milliseconds, unless their docs name the host's clock. 0 is the clock's start
//! and means "never" or "at once".

pub mod account_usage;
pub mod accounts;
pub mod advice;
pub mod app;
pub mod calls;
pub mod config;
pub mod counters;
pub mod crashes;
pub mod declarations;
pub mod delays;
pub mod earlier_clock;
pub mod effect;
pub mod event;
pub mod holding;
mod holding_machine;
pub mod hosts;
pub mod inbox;
pub mod jobs;
pub mod keys;
pub mod load;
pub mod local;
pub mod members;
pub mod notices;
pub mod occurrences;
pub mod order_of_work;
pub mod orders;
pub mod peer;
pub mod ready_steps;
pub mod record;
pub mod rows;
pub mod run_time_ratios;
pub mod run_time_summary;
pub mod run_times;
pub mod runs;
pub mod schedule;
pub mod spec;
pub mod start_budget;
pub mod start_relay;
mod start_relay_rows;
pub mod start_window;
pub mod store;
pub mod store_connection;
pub mod store_writes;
pub mod traffic;
pub mod unrecorded_ends;
pub mod unsent;
pub mod unsent_starts;
pub mod world;

/// Re-exports the types that most systems use.
pub mod prelude {
    pub use crate::app::{App, Plugin};
    pub use crate::effect::{Effect, LogRecord};
    pub use crate::event::Event;
    pub use crate::schedule::TickSet;
    pub use crate::world::World;
}
