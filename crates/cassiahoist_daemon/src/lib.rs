//! The daemon process: one control thread and the traffic runtime.
//!
//! The control thread owns all tables and sleeps until a message arrives or a timer is due. The threads of the traffic
//! runtime wait on sockets. Both exchange data only through [`cassiahoist_traffic::control_link::ControlLink`] and
//! [`cassiahoist_traffic::dispatcher::Dispatcher`].

mod app;
mod args;
mod control;
mod delay_metrics;
mod process;
mod signals;
mod table_metrics;
mod views;

pub use app::{MAX_RUN_LEASE_MS, build_daemon_app, local_from_settings};
pub use process::run;
pub use table_metrics::TableMetrics;
pub use views::render_view;
