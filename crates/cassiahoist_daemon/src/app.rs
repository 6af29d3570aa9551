//! The application of a daemon: all plugins over one world.

use cassiahoist_config::ConfigPlugin;
use cassiahoist_core::prelude::*;
use cassiahoist_jobs::JobsPlugin;
use cassiahoist_journal::JournalPlugin;
use cassiahoist_ownership::OwnershipPlugin;
use cassiahoist_placement::PlacementPlugin;
use cassiahoist_requests::RequestsPlugin;
use cassiahoist_settings::Settings;
use cassiahoist_world::app::App;
use cassiahoist_world::local::{Limits, Local, StopState, Timing};

/// Builds a daemon's application from its settings.
#[must_use]
pub fn build_app(settings: &Settings, incarnation: Incarnation, unix_at_zero_ms: u64) -> App {
    App::new(local(settings, incarnation, unix_at_zero_ms))
        .with_plugin(&OwnershipPlugin)
        .with_plugin(&JournalPlugin)
        .with_plugin(&ConfigPlugin)
        .with_plugin(&RequestsPlugin)
        .with_plugin(&JobsPlugin)
        .with_plugin(&PlacementPlugin)
}

fn local(settings: &Settings, incarnation: Incarnation, unix_at_zero_ms: u64) -> Local {
    let (timing, limits) = (&settings.timing, &settings.limits);
    Local {
        incarnation,
        domain: settings.daemon.failure_domain.clone(),
        peer_address: settings.listen.peers.to_string(),
        fleets: settings.cell.fleets.clone(),
        domains: settings.cell.failure_domains.clone(),
        identity_slices: settings.cell.identity_slices,
        timing: Timing {
            confirm_interval_ms: timing.confirm_interval_ms,
            permission_ms: timing.permission_ms,
            promise_chain_ms: timing.promise_chain_ms,
            member_ttl_ms: timing.member_ttl_ms,
            gossip_interval_ms: timing.gossip_interval_ms,
            worker_sync_interval_ms: timing.worker_sync_interval_ms,
            task_lease_ms: timing.task_lease_ms,
            stop_limit_ms: timing.stop_limit_ms,
        },
        limits: Limits {
            max_requests: limits.max_requests,
            max_jobs: limits.max_jobs,
            max_job_tasks: limits.max_job_tasks,
            max_body_bytes: limits.max_body_bytes,
        },
        stop: StopState::Running,
        unix_at_zero_ms,
    }
}
