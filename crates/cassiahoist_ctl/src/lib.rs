//! The operators' tool: checks settings, applies declarations and shows the state of daemons.
//!
//! Exit codes: 0 for success, 1 if the daemon is unreachable or answers with an error status, 2 for invalid settings,
//! declarations or command line, 3 if a comparison found differences.

mod client;
mod commands;
mod declarations;
mod render;

pub use commands::run;
