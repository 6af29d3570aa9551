//! The daemon's application: one world and the plugins that run over it.

use cassiahoist_accounts::AccountsPlugin;
use cassiahoist_config::ConfigPlugin;
use cassiahoist_core::prelude::*;
use cassiahoist_hosts::HostsPlugin;
use cassiahoist_jobs::JobsPlugin;
use cassiahoist_membership::MembershipPlugin;
use cassiahoist_placement::PlacementPlugin;
use cassiahoist_run_times::RunTimesPlugin;
use cassiahoist_runs::RunsPlugin;
use cassiahoist_settings::Settings;
use cassiahoist_world::app::App;
use cassiahoist_world::local::{LocalDaemon, StopState};

/// Longest run lease that daemons request, in milliseconds.
///
/// Its remainder after a poll has to outlast a change of holder. A task on a host that becomes unreachable waits up to
/// this long before it can be restarted elsewhere.
pub const MAX_RUN_LEASE_MS: u64 = 3_200;

/// Builds a daemon's application with all plugins.
#[must_use]
pub fn build_daemon_app(local: LocalDaemon) -> App {
    App::new(local)
        .with_plugin(&MembershipPlugin)
        .with_plugin(&ConfigPlugin)
        .with_plugin(&AccountsPlugin)
        .with_plugin(&HostsPlugin)
        .with_plugin(&JobsPlugin)
        .with_plugin(&RunsPlugin)
        .with_plugin(&RunTimesPlugin)
        .with_plugin(&PlacementPlugin)
}

/// Derives a daemon's own record from its settings.
#[must_use]
pub fn local_from_settings(settings: &Settings, incarnation: Incarnation) -> LocalDaemon {
    let bounds = &settings.bounds;
    LocalDaemon {
        incarnation,
        domain: settings.daemon.failure_domain.clone(),
        peer_address: settings.listen.peers.to_string(),
        bounds: Bounds { run_lease_ms: bounds.run_lease_ms.min(MAX_RUN_LEASE_MS), ..*bounds },
        platform_run_lease_ms: bounds.run_lease_ms,
        limits: settings.limits.machine_limits(),
        order_of_work: settings.order_of_work,
        stop_state: StopState::Serving,
        unix_ms: 0,
    }
}
