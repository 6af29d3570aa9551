//! Signal handling: graceful stop and check of changed settings.

use cassiahoist_core::prelude::*;
use cassiahoist_settings::Settings;
use cassiahoist_telemetry::LogWriter;
use cassiahoist_traffic::control_link::ControlLink;
use cassiahoist_world::event::Event;
use tokio::signal::unix::{SignalKind, signal};

use crate::args::SettingsSource;
use crate::process::load_settings;

/// Exit code after a second signal interrupts the graceful stop.
const EXIT_FORCED: i32 = 3;

/// Starts a graceful stop at the first SIGTERM or SIGINT. The second ends the process at once.
pub async fn stop_on_signals(control: ControlLink, log: LogWriter) {
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return;
    };
    for earlier_signals in 0_u8.. {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        if earlier_signals == 0 {
            control.send(Event::StopRequested);
        } else {
            log.close();
            std::process::exit(EXIT_FORCED);
        }
    }
}

/// Rereads the settings at each SIGHUP; calls in progress continue.
///
/// A running process keeps its settings, since its name and addresses are fixed. A change is logged and takes effect at
/// the next restart.
pub async fn reread_settings_on_hangup(source: SettingsSource, running_settings: Settings, log: LogWriter) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else { return };
    while hangup.recv().await.is_some() {
        let outcome = match load_settings(&source) {
            Ok(settings) if settings == running_settings => "unchanged".to_owned(),
            Ok(_) => "changed; takes effect at the next start".to_owned(),
            Err(error) => format!("rejected: {error}"),
        };
        log.write(EventId::SettingsReloaded, &[("outcome", outcome)]);
    }
}
