//! Runs without a row count for their accounts while their host lists them.

use cassiahoist_world::hosts::{HostKey, OrphanRuns};
use cassiahoist_world::prelude::*;

/// Replaces the orphaned runs of a host by those that it lists now.
pub(crate) fn replace_orphans(world: &mut World, key: HostKey, orphans: OrphanRuns) {
    release_orphans(world, key);
    let Some(host) = world.hosts.get_mut(key) else { return };
    for (account, size) in &orphans.counted {
        world.account_usage.add(*account, size);
    }
    host.orphans = orphans;
}

/// Stops counting the orphaned runs of a host for their accounts, since they have ended.
pub(crate) fn release_orphans(world: &mut World, key: HostKey) {
    let Some(host) = world.hosts.get_mut(key) else { return };
    for (account, size) in std::mem::take(&mut host.orphans.counted) {
        world.account_usage.subtract(account, &size);
    }
}
