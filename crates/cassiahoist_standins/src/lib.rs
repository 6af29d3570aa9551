//! Stand-ins (test doubles) for the platform, its hosts and its callers; never shipped.
//!
//! The crate also checks what they observe. Each stand-in speaks the platform's own messages and takes the
//! current time as an argument. The same one therefore serves the seeded, single-threaded simulation
//! ([`sim`]) and real processes over loopback ([`loopback`], [`soak`]).

pub mod advice;
pub mod daemon_process;
pub mod host;
pub mod loopback;
pub mod platform;

pub mod invariants;
pub mod sim;
pub mod soak;
pub mod store;
pub mod trace;
pub mod workload;
