//! The daemon: one control thread and the traffic runtime.
//!
//! The control thread owns all tables and sleeps until a message or a timer is due. The traffic runtime's
//! threads wait on sockets. They meet only through [`cassiahoist_traffic::control_link::ControlLink`] and
//! [`cassiahoist_traffic::dispatcher::Dispatcher`].

mod app;
mod args;
mod control;
mod gauges;
mod process;
mod signals;
mod views;

pub use app::{RUN_LEASE_LIMIT_MS, build_app, local};
pub use process::run;
