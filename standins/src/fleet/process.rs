//! A child process that can be signalled, killed and restarted.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// A child process of the fleet; it is killed when this is dropped.
pub struct Process {
    /// Name within the fleet.
    pub name: String,
    /// Data hall; empty for processes that all halls share.
    pub hall: String,
    /// Address at which it is called.
    pub address: String,
    child: Mutex<Child>,
    command: Vec<String>,
    log: PathBuf,
}

impl Process {
    pub(super) fn start(
        name: &str,
        hall: &str,
        address: &str,
        command: Vec<String>,
        log: PathBuf,
    ) -> Self {
        let child = Mutex::new(spawn(&command, &log));
        let (name, hall, address) = (name.to_owned(), hall.to_owned(), address.to_owned());
        Self { name, hall, address, child, command, log }
    }

    /// Sends a signal, given as an option of `kill`, such as `-STOP`.
    ///
    /// # Panics
    /// Panics when it cannot be sent.
    pub fn signal(&self, signal: &str) {
        assert!(self.try_signal(signal), "kill {signal} {}", self.name);
    }

    /// Sends a signal unless the process has exited; returns whether it was sent.
    pub fn try_signal(&self, signal: &str) -> bool {
        if self.has_exited() {
            return false;
        }
        let pid = self.pid().to_string();
        let sent = Command::new("kill").args([signal, &pid]).status();
        sent.is_ok_and(|status| status.success())
    }

    /// Kills the process with SIGKILL and waits until it has exited.
    pub fn kill(&self) {
        let mut child = self.child();
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Starts the process again with the same command, after killing it if it still runs.
    pub fn restart(&self) {
        self.kill();
        *self.child() = spawn(&self.command, &self.log);
    }

    /// Waits until the process `pid` has exited, then starts it again unless that has already
    /// been done.
    pub async fn restart_after_exit(&self, pid: u32) {
        while self.pid() == pid && !self.has_exited() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let mut child = self.child();
        if child.id() == pid {
            *child = spawn(&self.command, &self.log);
        }
    }

    /// Whether the process has exited.
    #[must_use]
    pub fn has_exited(&self) -> bool {
        matches!(self.child().try_wait(), Ok(Some(_)))
    }

    /// Process id.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child().id()
    }

    fn child(&self) -> MutexGuard<'_, Child> {
        self.child.lock().expect("child lock")
    }

    /// Base URL of its HTTP interface.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(command: &[String], log: &Path) -> Child {
    let errors = File::options().create(true).append(true).open(log).expect("log file");
    let out = errors.try_clone().expect("log file");
    Command::new(&command[0])
        .args(&command[1..])
        .stdin(Stdio::null())
        .stdout(out)
        .stderr(errors)
        .spawn()
        .unwrap_or_else(|error| panic!("{}: {error}", command[0]))
}
