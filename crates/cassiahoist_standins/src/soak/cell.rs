//! Real daemon processes that are paused, killed and started again.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nix::sys::signal::Signal;

use super::network::{DaemonAddresses, Network};
use super::{DAEMONS, FAILURE_DOMAINS};
use crate::daemon_process::{DaemonProcess, write_settings};

/// Interval at which processes that have exited are looked for.
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(100);

/// Time from an exit to the restart by the supervisor.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Time that a daemon has for a graceful stop before it is killed.
const STOP_TIMEOUT: Duration = Duration::from_millis(8_000);

/// Exit code of a program that panicked without being aborted.
const PANIC_EXIT_CODE: i32 = 101;

/// Daemon of a cell.
#[derive(Debug)]
struct DaemonSlot {
    settings: PathBuf,
    log: PathBuf,
    addresses: DaemonAddresses,
    process: Option<DaemonProcess>,
    /// Number of disruptions that keep the daemon down.
    down_count: usize,
}

/// Daemons of a soak with their processes, which are killed when it is dropped.
#[derive(Debug)]
pub struct SoakCell {
    program: PathBuf,
    network: Network,
    slots: Mutex<Vec<DaemonSlot>>,
    /// Exits that nobody asked for and that no invariant allows.
    crashes: Mutex<Vec<String>>,
}

impl SoakCell {
    /// Starts the daemons, with settings and logs in a folder.
    ///
    /// # Errors
    /// A file can't be written or a process can't be started.
    pub fn start(
        program: &Path,
        folder: &Path,
        network: Network,
        addresses: &[DaemonAddresses],
    ) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let mut slots = Vec::with_capacity(DAEMONS);
        for (number, addresses) in addresses.iter().enumerate() {
            let domain = FAILURE_DOMAINS[number % FAILURE_DOMAINS.len()];
            let settings = write_settings(folder, number, domain, &addresses.listen, &addresses.platform)?;
            let log = folder.join(format!("edge-{number}.log"));
            slots.push(DaemonSlot { settings, log, addresses: *addresses, process: None, down_count: 0 });
        }
        let cell =
            Self { program: program.into(), network, slots: Mutex::new(slots), crashes: Mutex::default() };
        for number in 0..DAEMONS {
            cell.start_daemon(number)?;
        }
        Ok(cell)
    }

    /// Returns the exits that are faults, each with the daemon and the status.
    #[must_use]
    pub fn crashes(&self) -> Vec<String> {
        self.crashes.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sends a signal to a daemon if its process runs.
    pub fn signal(&self, number: usize, signal: Signal) {
        let mut slots = self.lock_slots();
        if let Some(process) = &mut slots[number].process
            && matches!(process.try_exit_status(), Ok(None))
        {
            // The process may exit by itself meanwhile.
            let _gone = process.signal(signal);
        }
    }

    /// Kills a daemon, which stays down until [`Self::end_downtime`].
    pub fn kill(&self, number: usize) {
        let mut slots = self.lock_slots();
        slots[number].down_count += 1;
        // Dropping the process kills it.
        slots[number].process = None;
    }

    /// Asks a daemon to stop. It stays down until [`Self::end_downtime`].
    pub fn terminate(&self, number: usize) {
        self.signal(number, Signal::SIGTERM);
        self.lock_slots()[number].down_count += 1;
    }

    /// Ends the downtime of a daemon, and starts it unless another disruption keeps it down.
    ///
    /// # Errors
    /// The program can't be started.
    pub async fn end_downtime(&self, number: usize) -> io::Result<()> {
        // A paused process stops only once it goes on.
        self.signal(number, Signal::SIGCONT);
        let deadline = tokio::time::Instant::now() + STOP_TIMEOUT;
        while tokio::time::Instant::now() < deadline && self.is_running(number) {
            tokio::time::sleep(SUPERVISION_INTERVAL).await;
        }
        let is_down = {
            let mut slots = self.lock_slots();
            slots[number].down_count -= 1;
            slots[number].down_count > 0
        };
        if is_down { Ok(()) } else { self.start_daemon(number) }
    }

    /// Restarts daemons that exit without being asked to, as the platform does. Never returns.
    pub async fn supervise(&self) {
        loop {
            tokio::time::sleep(SUPERVISION_INTERVAL).await;
            for number in 0..DAEMONS {
                if self.has_exited(number) {
                    tokio::time::sleep(RESTART_DELAY).await;
                    if self.lock_slots()[number].down_count == 0 {
                        // A daemon that can't be started is missed by the callers.
                        let _not_started = self.start_daemon(number);
                    }
                }
            }
        }
    }

    fn lock_slots(&self) -> MutexGuard<'_, Vec<DaemonSlot>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_running(&self, number: usize) -> bool {
        let mut slots = self.lock_slots();
        slots[number].process.as_mut().is_some_and(|process| matches!(process.try_exit_status(), Ok(None)))
    }

    /// Returns whether a daemon has exited that no disruption keeps down. Records an exit that is a fault.
    fn has_exited(&self, number: usize) -> bool {
        let mut slots = self.lock_slots();
        let slot = &mut slots[number];
        let Some(Ok(Some(status))) = slot.process.as_mut().map(DaemonProcess::try_exit_status) else {
            return false;
        };
        let is_asked_to = slot.down_count > 0;
        if status.code().is_none_or(|code| code == PANIC_EXIT_CODE) || !is_asked_to && !status.success() {
            let crash = format!("edge-{number} ended with {status}");
            self.crashes.lock().unwrap_or_else(PoisonError::into_inner).push(crash);
        }
        slot.process = None;
        !is_asked_to
    }

    fn start_daemon(&self, number: usize) -> io::Result<()> {
        let mut slots = self.lock_slots();
        let slot = &mut slots[number];
        // An earlier process is killed before the next one binds its addresses.
        slot.process = None;
        let log = File::options().create(true).append(true).open(&slot.log)?;
        let process = DaemonProcess::start(&self.program, &slot.settings, log, &slot.addresses.listen)?;
        self.network.note_start(number);
        slot.process = Some(process);
        Ok(())
    }
}
