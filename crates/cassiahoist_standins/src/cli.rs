//! The command line of the stand-in program.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bpaf::{OptionParser, Parser, construct, long};
use cassiahoist_world::hosts::{HostReport, HostRole};

use crate::backend_log::BackendLog;
use crate::host_list::HostListStandIn;
use crate::http::serve;
use crate::runner::RunnerStandIn;
use crate::store::StoreStandIn;
use crate::worker::WorkerStandIn;

/// Interval at which workers end what is done.
const WORKER_STEP: Duration = Duration::from_millis(10);

/// Which stand-in to run.
#[derive(Clone, Debug)]
pub enum StandIn {
    /// The store.
    Store {
        /// Where it listens.
        listen: SocketAddr,
    },
    /// The host list.
    Hosts {
        /// Where it listens.
        listen: SocketAddr,
        /// The hosts, as JSON.
        file: PathBuf,
    },
    /// Runners and workers, each at its address in the file.
    Backends {
        /// The hosts, as JSON.
        file: PathBuf,
        /// The log of what they run.
        log: PathBuf,
    },
}

/// Describes the command line.
#[must_use]
pub fn parser() -> OptionParser<StandIn> {
    let listen = || long("listen").help("Address to listen at").argument::<SocketAddr>("ADDRESS");
    let file = || long("file").help("Hosts as JSON").argument::<PathBuf>("FILE");
    let log = long("log").help("Log of what was run").argument::<PathBuf>("FILE");
    let store = construct!(StandIn::Store { listen(listen()) }).to_options().command("store");
    let hosts = construct!(StandIn::Hosts { listen(listen()), file(file()) }).to_options().command("hosts");
    let backends = construct!(StandIn::Backends { file(file()), log }).to_options().command("backends");
    construct!([store, hosts, backends]).to_options().descr("Stand-ins for the platform and backend servers")
}

/// Runs a stand-in for as long as the process lives.
///
/// # Errors
/// A file can't be read or an address can't be listened at.
pub async fn run(stand_in: StandIn) -> std::io::Result<()> {
    match stand_in {
        StandIn::Store { listen } => serve(listen, Arc::new(StoreStandIn::default())).await,
        StandIn::Hosts { listen, file } => {
            serve(listen, Arc::new(HostListStandIn::new(read_hosts(&file)?))).await
        }
        StandIn::Backends { file, log } => run_backends(read_hosts(&file)?, &BackendLog::open(&log)?).await,
    }
}

fn read_hosts(file: &std::path::Path) -> std::io::Result<Vec<HostReport>> {
    serde_json::from_slice(&std::fs::read(file)?).map_err(std::io::Error::other)
}

async fn run_backends(reports: Vec<HostReport>, log: &BackendLog) -> std::io::Result<()> {
    let mut workers = Vec::new();
    let mut servers = tokio::task::JoinSet::new();
    for report in reports {
        let address: SocketAddr = report.address.parse().map_err(std::io::Error::other)?;
        if let HostRole::Runner { .. } = report.role {
            let Some(runner) = RunnerStandIn::new(report, log.clone()) else {
                continue;
            };
            servers.spawn(serve(address, Arc::new(Arc::new(runner))));
        } else {
            let Some(worker) = WorkerStandIn::new(report, log.clone()) else {
                continue;
            };
            let worker = Arc::new(worker);
            workers.push(Arc::clone(&worker));
            servers.spawn(serve(address, Arc::new(worker)));
        }
    }
    let mut steps = tokio::time::interval(WORKER_STEP);
    loop {
        tokio::select! {
            _ = steps.tick() => {
                let now = Instant::now();
                for worker in &workers {
                    worker.advance(now);
                }
            }
            Some(ended) = servers.join_next() => ended.map_err(std::io::Error::other)??,
        }
    }
}
