//! Cluster scheduler for unlike workloads.
//!
//! The root crate only ties the crates under `crates/` together; start with `README.md` and `docs/DESIGN.md`.

pub use cassiahoist_core as core;
pub use cassiahoist_daemon as daemon;
