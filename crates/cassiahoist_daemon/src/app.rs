//! The application of a daemon: all plugins over one world.

use cassiahoist_config::ConfigPlugin;
use cassiahoist_core::prelude::*;
use cassiahoist_hosts::HostsPlugin;
use cassiahoist_jobs::JobsPlugin;
use cassiahoist_membership::MembershipPlugin;
use cassiahoist_placement::PlacementPlugin;
use cassiahoist_runs::RunsPlugin;
use cassiahoist_settings::Settings;
use cassiahoist_world::app::App;
use cassiahoist_world::local::{Local, StopState};

/// Longest lease of runs that daemons ask for, in milliseconds: what is left of it after a poll outlasts a change of
/// holder, and a task on a host that went dark waits no longer than this.
pub const RUN_LEASE_LIMIT_MS: u64 = 3_200;

/// Builds a daemon's application.
#[must_use]
pub fn build_app(local: Local) -> App {
    App::new(local)
        .with_plugin(&MembershipPlugin)
        .with_plugin(&ConfigPlugin)
        .with_plugin(&HostsPlugin)
        .with_plugin(&JobsPlugin)
        .with_plugin(&RunsPlugin)
        .with_plugin(&PlacementPlugin)
}

/// Tells a daemon who it is.
#[must_use]
pub fn local(settings: &Settings, incarnation: Incarnation) -> Local {
    let bounds = &settings.bounds;
    Local {
        incarnation,
        domain: settings.daemon.failure_domain.clone(),
        peer_address: settings.listen.peers.to_string(),
        bounds: Bounds { run_lease_ms: bounds.run_lease_ms.min(RUN_LEASE_LIMIT_MS), ..*bounds },
        limits: settings.limits,
        stop: StopState::Running,
        unix_ms: 0,
    }
}
