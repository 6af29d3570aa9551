//! Daemons started as separate processes on loopback.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

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

/// Returns a loopback address that was free a moment ago.
///
/// Another process may take it before it is bound.
fn unused_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
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
    let (callers_address, operators_address) = (unused_address()?, unused_address()?);
    let settings = format!(
        "daemon: {{name: edge-{number}, failure_domain: obihiro}}\n\
         listen: {{callers: \"{callers_address}\", readiness: \"{}\", peers: \"{}\", operators: \"{operators_address}\"}}\n\
         platform: {{store: \"{}\", advice: \"{}\"}}\n",
        unused_address()?,
        unused_address()?,
        platform.store,
        platform.advice,
    );
    let file = folder.join(format!("edge-{number}.yaml"));
    std::fs::write(&file, settings)?;
    let log = std::fs::File::create(folder.join(format!("edge-{number}.log")))?;
    let child = Command::new(program).arg(&file).stdout(log).stderr(Stdio::inherit()).spawn()?;
    Ok(DaemonProcess { callers_address, operators_address, child })
}
