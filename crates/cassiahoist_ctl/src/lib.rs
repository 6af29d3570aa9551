//! The operators' tool: checks settings, applies declarations and shows the state of daemons.
//!
//! Exit codes:
//! - 0: success
//! - 1: the command line is invalid, or the daemon is unreachable or answers with an error status
//! - 2: settings or declarations are invalid
//! - 3: a comparison found differences

mod client;
mod commands;
mod declarations;
mod render;

pub use commands::run;
