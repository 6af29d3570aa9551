//! Stand-ins for the platform, backend servers and callers.
//!
//! They run as separate processes (`cargo run --example standin`) and take faults on command over HTTP at
//! `/fault`. Backend stand-ins keep a log of what they really ran; judges read that log, not the daemons' word.

pub mod backend_log;
pub mod caller;
pub mod cell;
pub mod cli;
pub mod fault;
pub mod host_list;
pub mod http;
pub mod load;
pub mod programs;
pub mod runner;
pub mod store;
pub mod verdict;
pub mod worker;
