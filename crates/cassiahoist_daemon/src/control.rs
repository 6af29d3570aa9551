//! The control thread.

use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

use cassiahoist_traffic::clock::MonotonicClock;
use cassiahoist_traffic::control_link::ControlInput;
use cassiahoist_traffic::dispatcher::{Dispatcher, LoopControl};
use cassiahoist_traffic::protocol::Platform;
use cassiahoist_world::app::App;

use crate::gauges::Gauges;
use crate::views::render;

/// Longest sleep of the control thread.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Messages taken into one tick at most.
const MAX_INPUTS_PER_TICK: usize = 4_096;

/// What the control thread does next.
enum Step {
    /// Runs a tick.
    Tick,
    /// Ends: every sender is gone.
    End,
}

/// Runs ticks until everything is handed over.
pub fn run_control<P: Platform>(
    mut app: App,
    inputs: &Receiver<ControlInput>,
    clock: MonotonicClock,
    dispatcher: &Dispatcher<P>,
    gauges: &Gauges,
) {
    loop {
        app.tick(clock.now_ms(), MonotonicClock::unix_ms());
        for effect in app.take_effects() {
            if dispatcher.dispatch(effect) == LoopControl::Exit {
                return;
            }
        }
        gauges.publish(app.world());
        if let Step::End = receive(&mut app, inputs, clock) {
            return;
        }
    }
}

/// Sleeps until a message or a timer is due and files what has come.
fn receive(app: &mut App, inputs: &Receiver<ControlInput>, clock: MonotonicClock) -> Step {
    let sleep = clock.duration_until(app.wake_at_ms()).min(MAX_SLEEP);
    match inputs.recv_timeout(sleep) {
        Ok(input) => take(app, input),
        Err(RecvTimeoutError::Timeout) => return Step::Tick,
        Err(RecvTimeoutError::Disconnected) => return Step::End,
    }
    for input in inputs.try_iter().take(MAX_INPUTS_PER_TICK) {
        take(app, input);
    }
    Step::Tick
}

fn take(app: &mut App, input: ControlInput) {
    match input {
        ControlInput::Event(event) => app.receive(event),
        ControlInput::View { view, reply } => {
            // An operator that went away no longer wants the view.
            let _gone = reply.send(render(app.world(), view));
        }
    }
}
