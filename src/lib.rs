//! Cluster scheduler for mixed workloads.
//!
//! The root crate only combines the crates under `crates/`; start with `README.md` and `docs/DESIGN.md`.

pub use cassiahoist_core as core;
pub use cassiahoist_daemon as daemon;
