//! The operators' tool: checks settings, puts declarations in force and asks daemons for their state.
//!
//! Exit codes: 0 well, 1 the daemon can't be asked or knows nothing, 2 bad settings, declarations or command line, 3 a
//! comparison found differences.

mod ask;
mod commands;
mod declarations;
mod render;

pub use commands::run;
