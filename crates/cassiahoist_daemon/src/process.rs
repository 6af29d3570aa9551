//! Startup and shutdown of the process: settings, threads and sockets.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::time::Duration;

use cassiahoist_core::descriptors::{max_caller_connections, max_host_connections, max_peer_connections};
use cassiahoist_core::memory::{max_delivery_bytes, max_request_bytes};
use cassiahoist_core::prelude::*;
use cassiahoist_platform::settings::read_platform_settings;
use cassiahoist_platform::{READY_PATH, SitePlatform, advice, callers, hosts, store};
use cassiahoist_settings::{LogLevel, Settings, SettingsError, read_settings};
use cassiahoist_telemetry::{LogWriter, Metrics};
use cassiahoist_traffic::advice_client::AdviceClient;
use cassiahoist_traffic::caller_server::CallerServer;
use cassiahoist_traffic::clock::MonotonicClock;
use cassiahoist_traffic::connections::Connections;
use cassiahoist_traffic::control_link::{ControlInput, ControlLink};
use cassiahoist_traffic::dispatcher::Dispatcher;
use cassiahoist_traffic::host_client::HostClient;
use cassiahoist_traffic::http1_server::{
    LARGE_RECEIVE_BUFFER_BYTES, SMALL_RECEIVE_BUFFER_BYTES, bind_listener,
};
use cassiahoist_traffic::operator_server::OperatorServer;
use cassiahoist_traffic::peer_links::PeerLinks;
use cassiahoist_traffic::peer_server::PeerEndpoint;
use cassiahoist_traffic::request_budget::RequestBudget;
use cassiahoist_traffic::store_client::StoreClient;
use cassiahoist_traffic::traffic_meter::TrafficMeter;
use cassiahoist_world::peer::PeerSender;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::watch;

use crate::app::{build_daemon_app, local_from_settings};
use crate::args::{self, SettingsSource};
use crate::control::run_control;
use crate::signals::{reread_settings_on_hangup, stop_on_signals};
use crate::table_metrics::TableMetrics;

/// Exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Most messages queued for the control thread.
const CONTROL_QUEUE_CAPACITY: usize = 16_384;

/// Time for open connections to close after the control thread has ended. Answers may still be in transit then.
const CONNECTION_DRAIN_TIME: Duration = Duration::from_millis(300);

/// Runs the daemon as its command line says, until it is stopped.
///
/// Exits with 0 after a graceful stop or a passed check. Exits with 1 if the command line is invalid or the daemon
/// fails, with 2 for invalid settings, and with 3 if a second signal interrupts the graceful stop.
#[must_use]
pub fn run() -> ExitCode {
    let args = args::parser().run();
    let settings = match load_settings(&args.source) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("cassiahoist: {error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if args.check {
        println!("settings: good");
        return ExitCode::SUCCESS;
    }
    match run_daemon(&settings, args.source) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cassiahoist: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads and checks the settings of a source.
pub fn load_settings(source: &SettingsSource) -> Result<Settings, SettingsError> {
    match source {
        SettingsSource::Platform => read_platform_settings(),
        SettingsSource::File(path) => read_settings(path),
    }
}

fn unreachable_error(error: impl std::fmt::Display) -> HoistError {
    HoistError::Unreachable(error.to_string())
}

fn run_daemon(settings: &Settings, source: SettingsSource) -> Result<(), HoistError> {
    let clock = MonotonicClock::new();
    // Taken from the wall clock, so that a restarted daemon has a greater incarnation.
    let incarnation =
        Incarnation { member: settings.daemon.name.clone(), started_unix_ms: MonotonicClock::unix_ms() };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.daemon.traffic_threads)
        .enable_all()
        .build()
        .map_err(unreachable_error)?;
    let (sender, inputs) = sync_channel(CONTROL_QUEUE_CAPACITY);
    let log = LogWriter::new(min_severity(settings), &incarnation).map_err(unreachable_error)?;
    let (dispatcher, table_metrics) = {
        let _guard = runtime.enter();
        start_traffic(settings, &incarnation, clock, sender, &log, &runtime)?
    };
    let (control_link, caller_stop) = (dispatcher.control.clone(), dispatcher.caller_stop.clone());
    drop(runtime.spawn(reread_settings_on_hangup(source, settings.clone(), log.clone())));
    log.write(EventId::DaemonStarted, &[("callers", settings.listen.callers.to_string())]);
    let app = build_daemon_app(local_from_settings(settings, incarnation));
    let control = std::thread::Builder::new()
        .name("control".into())
        .spawn(move || run_control(app, &inputs, clock, &dispatcher, &table_metrics))
        .map_err(unreachable_error)?;
    control.join().map_err(|_panic| HoistError::Unreachable("the control thread panicked".into()))?;
    caller_stop.send_replace(true);
    // Calls that the control thread has not answered, or has not read, get an answer all the same.
    control_link.abandon_calls();
    std::thread::sleep(CONNECTION_DRAIN_TIME);
    log.write(EventId::DaemonStopped, &[]);
    log.close();
    runtime.shutdown_background();
    Ok(())
}

fn min_severity(settings: &Settings) -> Severity {
    match settings.log.level {
        LogLevel::Debug => Severity::Debug,
        LogLevel::Info => Severity::Info,
        LogLevel::Warning => Severity::Warning,
        LogLevel::Error => Severity::Error,
    }
}

fn bind(
    runtime: &Runtime,
    address: SocketAddr,
    receive_buffer_bytes: u32,
) -> Result<TcpListener, HoistError> {
    runtime
        .block_on(async { bind_listener(address, receive_buffer_bytes) })
        .map_err(|error| unreachable_error(format!("cannot listen on {address}: {error}")))
}

/// Starts the servers and signal handling on the runtime, and creates the clients.
fn start_traffic(
    settings: &Settings,
    incarnation: &Incarnation,
    clock: MonotonicClock,
    sender: SyncSender<ControlInput>,
    log: &LogWriter,
    runtime: &Runtime,
) -> Result<(Dispatcher<SitePlatform>, TableMetrics), HoistError> {
    let control = ControlLink::new(sender).with_incarnation(incarnation);
    let meter = TrafficMeter::new().with_descriptors_limit(settings.daemon.max_descriptors);
    let peers = PeerLinks::new(PeerSender {
        incarnation: incarnation.clone(),
        address: settings.listen.peers.to_string(),
    })
    .with_meter(meter.clone());
    let metrics = Metrics::new().map_err(HoistError::Unreachable)?;
    let table_metrics = TableMetrics::new(&metrics);
    let (config, config_in_force) = watch::channel(None);
    let caller_server = CallerServer {
        protocol: callers::CallerCodec,
        clock,
        control: control.clone(),
        meter: meter.clone(),
        connections: Connections::new(max_caller_connections(settings.daemon.max_descriptors)),
        budget: RequestBudget::new(max_request_bytes(settings.limits.memory_mib)),
        config: config_in_force,
        log: log.clone(),
    };
    let operator_server = OperatorServer::new(control.clone(), metrics, READY_PATH).with_meter(meter.clone());
    let (caller_stop, caller_stopped) = watch::channel(false);
    drop(
        runtime.spawn(
            caller_server
                .serve(bind(runtime, settings.listen.callers, SMALL_RECEIVE_BUFFER_BYTES)?, caller_stopped),
        ),
    );
    drop(runtime.spawn(operator_server.clone().serve(bind(
        runtime,
        settings.listen.readiness,
        SMALL_RECEIVE_BUFFER_BYTES,
    )?)));
    drop(runtime.spawn(operator_server.serve(bind(
        runtime,
        settings.listen.operators,
        SMALL_RECEIVE_BUFFER_BYTES,
    )?)));
    let peer_endpoint = PeerEndpoint::new(control.clone())
        .with_meter(meter.clone())
        .with_max_connections(max_peer_connections(settings.daemon.max_descriptors))
        .with_budget(RequestBudget::new(max_delivery_bytes(settings.limits.memory_mib)));
    drop(runtime.spawn(peer_endpoint.serve(bind(
        runtime,
        settings.listen.peers,
        LARGE_RECEIVE_BUFFER_BYTES,
    )?)));
    drop(runtime.spawn(stop_on_signals(control.clone(), log.clone())));
    let advice_address = settings.platform.advice.map(|address| address.to_string());
    let dispatcher = Dispatcher {
        store: StoreClient::new(
            store::StoreCodec,
            settings.platform.store.to_string(),
            clock,
            control.clone(),
        )
        .with_meter(meter.clone()),
        hosts: HostClient::new(hosts::HostCodec, clock, control.clone())
            .with_meter(meter.clone())
            .with_max_open_connections(max_host_connections(settings.daemon.max_descriptors)),
        advice: AdviceClient::new(advice::AdviceCodec, advice_address, peers.clone(), control.clone())
            .with_meter(meter.clone()),
        peers,
        control,
        log: log.clone(),
        meter,
        caller_stop,
        config,
        runtime: runtime.handle().clone(),
    };
    Ok((dispatcher, table_metrics))
}
