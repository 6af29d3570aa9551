//! Seeded soak of real daemon processes on loopback.
//!
//! A [`plan::Plan`] of disruptions that overlap is drawn from a seed: islands around the holder, outages of the
//! store, signals, restarts, hosts that come and go. [`run::run_soak`] plays it on daemons whose every message passes
//! a [`network::Network`], which knows its sender and loses it if one of the [`cuts::Cuts`] is in the way. What
//! callers and hosts observe is checked against the [invariants](crate::invariants).

mod callers;
pub mod cell;
pub mod cuts;
pub mod network;
pub mod plan;
pub mod run;

/// Number of daemons.
pub const DAEMONS: usize = 7;

/// Number of hosts.
pub const HOSTS: usize = 12;

/// Failure domains; daemons and hosts take them in turn.
pub const FAILURE_DOMAINS: [&str; 3] = ["obihiro", "sapporo", "asahikawa"];
