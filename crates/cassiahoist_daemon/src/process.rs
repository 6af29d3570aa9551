//! The process: settings, threads, sockets.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::time::Duration;

use cassiahoist_core::prelude::*;
use cassiahoist_platform::settings::read_platform_settings;
use cassiahoist_platform::{READY_PATH, UsersPlatform, advice, front, hosts, store};
use cassiahoist_settings::{LogLevel, Settings, SettingsError, read_settings};
use cassiahoist_telemetry::{LogWriter, Metrics};
use cassiahoist_traffic::advice_client::AdviceClient;
use cassiahoist_traffic::clock::MonotonicClock;
use cassiahoist_traffic::control_link::{ControlInput, ControlLink};
use cassiahoist_traffic::dispatcher::Dispatcher;
use cassiahoist_traffic::front_server::FrontServer;
use cassiahoist_traffic::host_client::HostClient;
use cassiahoist_traffic::operator_server::OperatorServer;
use cassiahoist_traffic::peer_links::PeerLinks;
use cassiahoist_traffic::peer_server::PeerEndpoint;
use cassiahoist_traffic::store_client::StoreClient;
use cassiahoist_world::peer::Sender;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::watch;

use crate::app::{build_app, local};
use crate::args::{self, Source};
use crate::control::run_control;
use crate::gauges::Gauges;
use crate::signals::{watch_reloads, watch_stops};

/// Exit code for bad settings.
const EXIT_BAD_SETTINGS: u8 = 2;

/// Messages that may wait for the control thread.
const CONTROL_QUEUE: usize = 16_384;

/// Time for open connections to end after control has, since answers may still be on their way.
const CLOSING: Duration = Duration::from_millis(300);

/// Runs the daemon from its command line.
#[must_use]
pub fn run() -> ExitCode {
    let args = args::parser().run();
    let settings = match load_settings(&args.source) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("cassiahoist: {error}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    if args.check {
        println!("settings: good");
        return ExitCode::SUCCESS;
    }
    match start(&settings, args.source) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cassiahoist: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads the settings from where the command line says.
pub fn load_settings(source: &Source) -> Result<Settings, SettingsError> {
    match source {
        Source::Platform => read_platform_settings(),
        Source::File(path) => read_settings(path),
    }
}

fn unreachable(error: impl std::fmt::Display) -> HoistError {
    HoistError::Unreachable(error.to_string())
}

fn start(settings: &Settings, source: Source) -> Result<(), HoistError> {
    let clock = MonotonicClock::new();
    // A later start has a greater number, since it starts later by the wall clock.
    let incarnation = Incarnation { member: settings.daemon.name.clone(), number: MonotonicClock::unix_ms() };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.daemon.traffic_threads)
        .enable_all()
        .build()
        .map_err(unreachable)?;
    let (sender, inputs) = sync_channel(CONTROL_QUEUE);
    let log = LogWriter::new(least_severity(settings), &incarnation);
    let (stop_front, front_stops) = watch::channel(false);
    let (dispatcher, gauges) = {
        let _runtime = runtime.enter();
        start_traffic(settings, &incarnation, clock, sender, &log, &runtime, front_stops)?
    };
    drop(runtime.spawn(watch_reloads(source, settings.clone(), log.clone())));
    log.write(EventId::DaemonStarted, &[("callers", settings.listen.callers.to_string())]);
    let app = build_app(local(settings, incarnation));
    let control = std::thread::Builder::new()
        .name("control".into())
        .spawn(move || run_control(app, &inputs, clock, &dispatcher, &gauges))
        .map_err(unreachable)?;
    control.join().map_err(|_panic| HoistError::Unreachable("the control thread panicked".into()))?;
    stop_front.send_replace(true);
    std::thread::sleep(CLOSING);
    log.write(EventId::DaemonStopped, &[]);
    log.close();
    runtime.shutdown_background();
    Ok(())
}

fn least_severity(settings: &Settings) -> Severity {
    match settings.log.level {
        LogLevel::Debug => Severity::Debug,
        LogLevel::Info => Severity::Info,
        LogLevel::Warning => Severity::Warning,
        LogLevel::Error => Severity::Error,
    }
}

fn listen(runtime: &Runtime, address: SocketAddr) -> Result<TcpListener, HoistError> {
    runtime.block_on(TcpListener::bind(address)).map_err(|error| unreachable(format!("{address}: {error}")))
}

fn start_traffic(
    settings: &Settings,
    incarnation: &Incarnation,
    clock: MonotonicClock,
    sender: SyncSender<ControlInput>,
    log: &LogWriter,
    runtime: &Runtime,
    front_stops: watch::Receiver<bool>,
) -> Result<(Dispatcher<UsersPlatform>, Gauges), HoistError> {
    let control = ControlLink::new(sender);
    let peers = PeerLinks::new(Sender {
        incarnation: incarnation.clone(),
        address: settings.listen.peers.to_string(),
    });
    let metrics = Metrics::new().map_err(HoistError::Unreachable)?;
    let gauges = Gauges::new(&metrics);
    let server = FrontServer { protocol: front::Front, clock, control: control.clone() };
    let pages = OperatorServer { control: control.clone(), metrics, ready_path: READY_PATH };
    drop(runtime.spawn(server.serve(listen(runtime, settings.listen.callers)?, front_stops)));
    drop(runtime.spawn(pages.clone().serve(listen(runtime, settings.listen.readiness)?)));
    drop(runtime.spawn(pages.serve(listen(runtime, settings.listen.operators)?)));
    drop(runtime.spawn(PeerEndpoint::new(control.clone()).serve(listen(runtime, settings.listen.peers)?)));
    drop(runtime.spawn(watch_stops(control.clone(), log.clone())));
    let advice_address = settings.platform.advice.map(|address| address.to_string());
    let dispatcher = Dispatcher {
        store: StoreClient::new(store::Store, settings.platform.store.to_string(), clock, control.clone()),
        hosts: HostClient::new(hosts::Hosts, clock, control.clone()),
        advice: AdviceClient::new(advice::Advice, advice_address, peers.clone(), control.clone()),
        peers,
        control,
        log: log.clone(),
        runtime: runtime.handle().clone(),
    };
    Ok((dispatcher, gauges))
}
