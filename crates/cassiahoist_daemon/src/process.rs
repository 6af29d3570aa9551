//! The process: settings, threads, signals.

use std::process::ExitCode;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use cassiahoist_core::prelude::*;
use cassiahoist_settings::{LogForm, LogLevel, Settings, read_settings};
use cassiahoist_telemetry::{LogWriter, LogWriterForm, Metrics};
use cassiahoist_traffic::carry_out::Dispatcher;
use cassiahoist_traffic::clock::MonotonicClock;
use cassiahoist_traffic::control_link::{ControlInput, ControlLink};
use cassiahoist_traffic::door::Door;
use cassiahoist_traffic::host_list::watch_host_list;
use cassiahoist_traffic::http_client::HttpClient;
use cassiahoist_traffic::operators::OperatorContext;
use cassiahoist_traffic::peer_links::PeerLinks;
use cassiahoist_traffic::peer_server::PeerDoor;
use cassiahoist_traffic::store_client::StoreClient;
use cassiahoist_traffic::work::WorkContext;
use cassiahoist_traffic::worker_client::WorkerClient;
use cassiahoist_world::event::Event;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::app::build_app;
use crate::args;
use crate::control::run_control;
use crate::gauges::Gauges;

/// Exit code for bad settings.
const EXIT_BAD_SETTINGS: u8 = 2;

/// Exit code after a second signal cut the graceful stop short.
const EXIT_FORCED: u8 = 3;

/// Messages that may wait for the control thread.
const CONTROL_QUEUE: usize = 65_536;

/// Runs the daemon from its command line.
#[must_use]
pub fn run() -> ExitCode {
    let args = args::parser().run();
    let settings = match read_settings(&args.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("cassiahoist: {error}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    if args.check {
        println!("{}: good", args.settings.display());
        return ExitCode::SUCCESS;
    }
    match start(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cassiahoist: {error}");
            ExitCode::FAILURE
        }
    }
}

fn unreachable(error: impl std::fmt::Display) -> HoistError {
    HoistError::Unreachable(error.to_string())
}

fn start(settings: &Settings) -> Result<(), HoistError> {
    let clock = MonotonicClock::new();
    // A later start has a greater number, since it starts later by the wall clock.
    let number = clock.unix_at_zero_ms() + clock.now_ms();
    let incarnation = Incarnation { member: settings.daemon.name.clone(), number };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.daemon.traffic_threads)
        .enable_all()
        .build()
        .map_err(unreachable)?;
    let (sender, inputs) = sync_channel(CONTROL_QUEUE);
    let log = log_writer(settings, &incarnation);
    let (stop_door, door_stops) = watch::channel(false);
    let dispatcher = start_traffic(settings, &incarnation, clock, sender, &log, &runtime, door_stops)?;
    let app = build_app(settings, incarnation, clock.unix_at_zero_ms());
    log.write(EventId::DaemonStarted, &settings.listen.callers.to_string());
    run_control_thread(app, inputs, clock, dispatcher.0, dispatcher.1)?;
    stop_door.send_replace(true);
    log.write(EventId::DaemonStopped, "");
    runtime.shutdown_timeout(std::time::Duration::from_millis(200));
    Ok(())
}

fn run_control_thread(
    app: cassiahoist_world::app::App,
    inputs: Receiver<ControlInput>,
    clock: MonotonicClock,
    dispatcher: Dispatcher,
    gauges: Gauges,
) -> Result<(), HoistError> {
    let control = std::thread::Builder::new()
        .name("control".into())
        .spawn(move || run_control(app, &inputs, clock, &dispatcher, &gauges))
        .map_err(unreachable)?;
    control.join().map_err(|_panic| HoistError::Unreachable("the control thread panicked".into()))
}

fn log_writer(settings: &Settings, incarnation: &Incarnation) -> LogWriter {
    let form = match settings.log.form {
        LogForm::Json => LogWriterForm::Json,
        LogForm::Terminal => LogWriterForm::Terminal,
    };
    let least = match settings.log.level {
        LogLevel::Debug => Severity::Debug,
        LogLevel::Info => Severity::Info,
        LogLevel::Warning => Severity::Warning,
        LogLevel::Error => Severity::Error,
    };
    LogWriter::new(form, least, incarnation)
}

fn start_traffic(
    settings: &Settings,
    incarnation: &Incarnation,
    clock: MonotonicClock,
    sender: SyncSender<ControlInput>,
    log: &LogWriter,
    runtime: &Runtime,
    door_stops: watch::Receiver<bool>,
) -> Result<(Dispatcher, Gauges), HoistError> {
    let control = ControlLink::new(sender);
    let peers = PeerLinks::new(incarnation.clone());
    let work =
        WorkContext { clock, control: control.clone(), runners: HttpClient::new(), peers: peers.clone() };
    let metrics = Metrics::new().map_err(HoistError::Unreachable)?;
    let gauges = Gauges::new(&metrics);
    let callers = runtime.block_on(TcpListener::bind(settings.listen.callers)).map_err(unreachable)?;
    let peer_listener = runtime.block_on(TcpListener::bind(settings.listen.peers)).map_err(unreachable)?;
    let door = Door {
        work: work.clone(),
        operators: OperatorContext { control: control.clone(), metrics },
        max_body_bytes: settings.limits.max_body_bytes,
    };
    drop(runtime.spawn(door.serve(callers, door_stops)));
    drop(runtime.spawn(PeerDoor::new(work, incarnation.clone()).serve(peer_listener)));
    drop(runtime.spawn(watch_host_list(settings.platform.host_list.to_string(), control.clone())));
    drop(runtime.spawn(watch_signals(control.clone(), log.clone())));
    let dispatcher = Dispatcher {
        store: StoreClient::new(settings.platform.store.to_string(), control.clone()),
        workers: WorkerClient::new(clock, control.clone()),
        peers,
        control,
        log: log.clone(),
        runtime: runtime.handle().clone(),
    };
    Ok((dispatcher, gauges))
}

/// Begins a graceful stop at the first signal and ends the process at the second.
async fn watch_signals(control: ControlLink, log: LogWriter) {
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return;
    };
    for stops in 0_u8.. {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        if stops == 0 {
            control.send(Event::Stop);
        } else {
            log.write(EventId::StopForced, "");
            std::process::exit(i32::from(EXIT_FORCED));
        }
    }
}
