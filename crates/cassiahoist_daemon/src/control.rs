//! The control thread: receives events, runs ticks and dispatches their effects.

use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use cassiahoist_traffic::clock::MonotonicClock;
use cassiahoist_traffic::control_link::ControlInput;
use cassiahoist_traffic::dispatcher::{Dispatcher, LoopControl};
use cassiahoist_traffic::protocol::Platform;
use cassiahoist_world::app::App;
use cassiahoist_world::world::World;

use crate::table_metrics::TableMetrics;
use crate::views::render_view;

/// Longest sleep between two ticks.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Most messages received between two ticks, after the one that ends the sleep.
const MAX_INPUTS_PER_TICK: usize = 4_096;

/// Least pause after a tick, as a multiple of the time that the tick took.
///
/// Each tick goes over whole tables, so under load it has to serve many messages. The rest of the time is left to the
/// traffic threads.
const PAUSE_FACTOR: u32 = 3;

/// Longest pause between two ticks while messages wait.
const MAX_PAUSE: Duration = Duration::from_millis(15);

/// Shortest pause that is worth a sleep.
const MIN_PAUSE: Duration = Duration::from_micros(500);

/// What the control thread does next.
enum NextAction {
    /// Runs a tick, whether or not inputs arrived.
    Tick,
    /// Ends, since every sender was dropped.
    End,
}

/// Runs the control loop. It ends after a graceful stop, or once every sender was dropped.
pub fn run_control<P: Platform>(
    mut app: App,
    inputs: &Receiver<ControlInput>,
    clock: MonotonicClock,
    dispatcher: &Dispatcher<P>,
    table_metrics: &TableMetrics,
) {
    loop {
        let tick_started = Instant::now();
        app.tick(clock.now_ms(), MonotonicClock::unix_ms());
        for effect in app.take_effects() {
            if dispatcher.dispatch(effect) == LoopControl::Exit {
                return;
            }
        }
        let took = tick_started.elapsed();
        let world = app.world_mut();
        record_tick(world, took, dispatcher.log.dropped_lines());
        world.load.traffic = dispatcher.traffic_totals();
        table_metrics.publish(world);
        pause_after_tick(took);
        if let NextAction::End = receive_inputs(&mut app, inputs, clock) {
            return;
        }
    }
}

fn record_tick(world: &mut World, took: Duration, log_lines_dropped: u64) {
    let tick_us = took.as_micros() as u64;
    world.counters.ticks += 1;
    world.counters.tick_us += tick_us;
    world.counters.log_lines_dropped = log_lines_dropped;
    let longest_tick_us = &mut world.load.period.longest_tick_us;
    *longest_tick_us = tick_us.max(*longest_tick_us);
}

/// Sleeps for a multiple of the time that the last tick took.
fn pause_after_tick(took: Duration) {
    let pause = (took * PAUSE_FACTOR).min(MAX_PAUSE);
    if pause >= MIN_PAUSE {
        std::thread::sleep(pause);
    }
}

/// Sleeps until a message arrives or a timer is due. Then queues the waiting messages for the next tick.
fn receive_inputs(app: &mut App, inputs: &Receiver<ControlInput>, clock: MonotonicClock) -> NextAction {
    let sleep = clock.duration_until(app.wake_at_ms()).min(MAX_SLEEP);
    match inputs.recv_timeout(sleep) {
        Ok(input) => process_input(app, input),
        Err(RecvTimeoutError::Timeout) => return NextAction::Tick,
        Err(RecvTimeoutError::Disconnected) => return NextAction::End,
    }
    for input in inputs.try_iter().take(MAX_INPUTS_PER_TICK) {
        process_input(app, input);
    }
    NextAction::Tick
}

fn process_input(app: &mut App, input: ControlInput) {
    match input {
        ControlInput::Event(event) => app.push_event(event),
        ControlInput::View { view, reply } => {
            // Fails if the operator disconnected, which then needs no view.
            let _gone = reply.send(render_view(app.world(), view));
        }
    }
}
