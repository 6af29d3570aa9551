//! The application: a world, its schedule, and the plugins that fill both.

use crate::effect::Effect;
use crate::event::Event;
use crate::local::LocalDaemon;
use crate::schedule::{Schedule, System, TickSet};
use crate::world::World;

/// Registers the systems of one crate.
pub trait Plugin {
    /// Adds systems to the schedule and sets initial values in tables.
    fn build(&self, app: &mut App);
}

/// Owns the world and the schedule of systems that a tick runs over it.
#[derive(Debug)]
pub struct App {
    world: World,
    schedule: Schedule,
}

impl App {
    /// Creates an application with empty tables and without systems.
    #[must_use]
    pub fn new(local: LocalDaemon) -> Self {
        Self { world: World::new(local), schedule: Schedule::default() }
    }

    /// Builds a plugin into this application.
    #[must_use]
    pub fn with_plugin(mut self, plugin: &impl Plugin) -> Self {
        plugin.build(&mut self);
        self
    }

    /// Appends a system to a set. Systems of one set run in the order of addition.
    pub fn add_system(&mut self, set: TickSet, system: System) -> &mut Self {
        self.schedule.add(set, system);
        self
    }

    /// Returns the tables, for reading between ticks.
    #[must_use]
    pub fn world(&self) -> &World {
        &self.world
    }

    /// Returns the tables for changes outside a tick, such as initial values.
    pub fn world_mut(&mut self) -> &mut World {
        &mut self.world
    }

    /// Queues an event for the next tick.
    pub fn push_event(&mut self, event: Event) {
        self.world.counters.events += 1;
        self.world.inbox.push(event);
    }

    /// Runs every system once, set by set.
    ///
    /// `now_ms` is the monotonic time and `unix_ms` the Unix time, both in milliseconds.
    pub fn tick(&mut self, now_ms: u64, unix_ms: u64) {
        self.world.due_at_ms = std::mem::replace(&mut self.world.wake_at_ms, u64::MAX);
        self.world.local.unix_ms = unix_ms;
        self.schedule.run(&mut self.world, now_ms);
    }

    /// Drains the effects of all ticks since the last call, in order of emission.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.world.outbox)
    }

    /// Returns when the next tick is due, in monotonic milliseconds.
    ///
    /// `u64::MAX` if no system requested one; the control thread still ticks at least once a second.
    #[must_use]
    pub fn wake_at_ms(&self) -> u64 {
        self.world.wake_at_ms
    }
}
