//! Daemons started as separate processes on loopback.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use nix::errno::Errno;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rand::Rng;

use crate::loopback::PlatformAddresses;

/// A running daemon process, killed when dropped.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Address of the listener for callers.
    pub callers_address: SocketAddr,
    /// Address of the listener for operators.
    pub operators_address: SocketAddr,
    child: Child,
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // Both fail harmlessly if the process has already exited.
        let _gone = self.child.kill();
        let _reaped = self.child.wait();
    }
}

impl DaemonProcess {
    /// Starts a daemon with a settings file, whose addresses are given, and a log file.
    ///
    /// # Errors
    /// The program can't be started.
    pub fn start(
        program: &Path,
        settings: &Path,
        log: File,
        listen: &ListenAddresses,
    ) -> std::io::Result<Self> {
        let child = Command::new(program).arg(settings).stdout(log).stderr(Stdio::inherit()).spawn()?;
        Ok(Self { callers_address: listen.callers, operators_address: listen.operators, child })
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    /// The signal can't be sent.
    pub fn signal(&self, signal: Signal) -> std::io::Result<()> {
        // The process isn't reaped before it is dropped or found to have exited, so its number is still its own.
        kill(Pid::from_raw(self.child.id() as i32), signal).map_err(Errno::into)
    }

    /// Returns the number by which the operating system knows the process.
    #[must_use]
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process and waits until it has exited.
    ///
    /// # Errors
    /// The signal can't be sent or the process can't be waited for.
    pub fn kill(&mut self) -> std::io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(|_status| ())
    }

    /// Returns the exit status, or `None` while the process still runs.
    ///
    /// # Errors
    /// The status can't be read from the operating system.
    pub fn try_exit_status(&mut self) -> std::io::Result<Option<std::process::ExitStatus>> {
        self.child.try_wait()
    }
}

/// Builds the daemon with the caller's build profile and returns its path.
///
/// # Errors
/// The build fails, or the running program isn't inside a target folder.
pub fn build_daemon() -> std::io::Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let profile_folder = executable
        .parent()
        .and_then(Path::parent)
        .ok_or_else(|| std::io::Error::other("the running program isn't inside a target folder"))?;
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.args(["build", "--quiet", "--bin", "cassiahoist"]);
    if profile_folder.ends_with("release") {
        command.arg("--release");
    }
    if !command.status()?.success() {
        return Err(std::io::Error::other("building the daemon failed"));
    }
    Ok(profile_folder.join("cassiahoist"))
}

/// Ports on which daemons listen.
///
/// The operating system gives greater ones to outgoing connections, and would take a port before its daemon binds it.
const LISTEN_PORTS: Range<u16> = 10_000..32_000;

/// Most ports that are tried for one listener.
const MAX_PORT_ATTEMPTS: usize = 200;

/// Binds a port that is not in use.
fn bind_unused(ip: Ipv4Addr) -> std::io::Result<TcpListener> {
    let mut rng = rand::rng();
    let attempts = (0..MAX_PORT_ATTEMPTS).map(|_| TcpListener::bind((ip, rng.random_range(LISTEN_PORTS))));
    let mut last_error = std::io::Error::other("no port was tried");
    for attempt in attempts {
        match attempt {
            Ok(listener) => return Ok(listener),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

/// Addresses on which a daemon listens.
#[derive(Clone, Copy, Debug)]
pub struct ListenAddresses {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for the balancer's readiness checks.
    pub readiness: SocketAddr,
    /// Listener for other daemons.
    pub peers: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
}

impl ListenAddresses {
    /// Returns addresses with ports that were free a moment ago, from [`LISTEN_PORTS`].
    ///
    /// # Errors
    /// The address has no free port there.
    pub fn unused(ip: Ipv4Addr) -> std::io::Result<Self> {
        // All are bound at a time, so that no two get the same port.
        let bind = || bind_unused(ip);
        let listeners = [bind()?, bind()?, bind()?, bind()?];
        let [callers, readiness, peers, operators] = listeners.each_ref().map(TcpListener::local_addr);
        Ok(Self { callers: callers?, readiness: readiness?, peers: peers?, operators: operators? })
    }
}

/// Writes the settings file of a daemon to a folder and returns its path.
///
/// # Errors
/// The file can't be written.
pub fn write_settings(
    folder: &Path,
    number: usize,
    failure_domain: &str,
    listen: &ListenAddresses,
    platform: &PlatformAddresses,
) -> std::io::Result<PathBuf> {
    let settings = format!(
        "daemon: {{name: edge-{number}, failure_domain: {failure_domain}}}\n\
         listen: {{callers: \"{}\", readiness: \"{}\", peers: \"{}\", operators: \"{}\"}}\n\
         platform: {{store: \"{}\", advice: \"{}\"}}\n",
        listen.callers, listen.readiness, listen.peers, listen.operators, platform.store, platform.advice,
    );
    let file = folder.join(format!("edge-{number}.yaml"));
    std::fs::write(&file, settings)?;
    Ok(file)
}

/// Starts a daemon with its own settings file and log file in a folder.
///
/// # Errors
/// The files can't be written or the program can't be started.
pub fn start_daemon(
    program: &Path,
    folder: &Path,
    number: usize,
    platform: &PlatformAddresses,
) -> std::io::Result<DaemonProcess> {
    let listen = ListenAddresses::unused(Ipv4Addr::LOCALHOST)?;
    let file = write_settings(folder, number, "obihiro", &listen, platform)?;
    let log = File::create(folder.join(format!("edge-{number}.log")))?;
    DaemonProcess::start(program, &file, log, &listen)
}
