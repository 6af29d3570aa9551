//! The operators' tool: checks settings, applies declarations and shows the state of daemons.
//!
//! Exit codes: 0 for success, 1 for an invalid command line or if the daemon is unreachable or answers with an error
//! status, 2 for invalid settings or declarations, 3 if a comparison found differences.

mod client;
mod commands;
mod declarations;
mod render;

pub use commands::run;
