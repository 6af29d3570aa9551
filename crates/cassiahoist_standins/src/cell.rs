//! A cell of shipped daemons as processes of their own, on loopback.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use crate::server::Addresses;

/// A daemon's process.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// Where it listens for operators.
    pub operators: SocketAddr,
    child: Child,
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _gone = self.child.kill();
        let _reaped = self.child.wait();
    }
}

impl DaemonProcess {
    /// Ends the process at once and waits for its end.
    ///
    /// # Errors
    /// The process can't be ended.
    pub fn kill(&mut self) -> std::io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(|_status| ())
    }

    /// Gives the exit status if the process has ended by itself.
    ///
    /// # Errors
    /// The process can't be asked.
    pub fn ended(&mut self) -> std::io::Result<Option<std::process::ExitStatus>> {
        self.child.try_wait()
    }
}

/// Builds the daemon in the profile of the running example, and tells where it is.
///
/// # Errors
/// The build fails, or the running program is in no target folder.
pub fn build_daemon() -> std::io::Result<PathBuf> {
    let example = std::env::current_exe()?;
    let profile = example
        .parent()
        .and_then(Path::parent)
        .ok_or_else(|| std::io::Error::other("the running program is in no target folder"))?;
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.args(["build", "--quiet", "--bin", "cassiahoist"]);
    if profile.ends_with("release") {
        command.arg("--release");
    }
    if !command.status()?.success() {
        return Err(std::io::Error::other("the daemon could not be built"));
    }
    Ok(profile.join("cassiahoist"))
}

/// Finds an address on loopback at which nothing listens.
fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Starts a daemon with settings of its own in a folder.
///
/// # Errors
/// The settings can't be written or the program can't be started.
pub fn start_daemon(
    program: &Path,
    folder: &Path,
    number: usize,
    platform: &Addresses,
) -> std::io::Result<DaemonProcess> {
    let (callers, operators) = (free_address()?, free_address()?);
    let settings = format!(
        "daemon: {{name: edge-{number}, failure_domain: obihiro}}\n\
         listen: {{callers: \"{callers}\", readiness: \"{}\", peers: \"{}\", operators: \"{operators}\"}}\n\
         platform: {{store: \"{}\", advice: \"{}\"}}\n",
        free_address()?,
        free_address()?,
        platform.store,
        platform.advice,
    );
    let file = folder.join(format!("edge-{number}.yaml"));
    std::fs::write(&file, settings)?;
    let log = std::fs::File::create(folder.join(format!("edge-{number}.log")))?;
    let child = Command::new(program).arg(&file).stdout(log).stderr(Stdio::inherit()).spawn()?;
    Ok(DaemonProcess { callers, operators, child })
}
