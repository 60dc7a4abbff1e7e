//! A program as a process that can be stopped, killed and started again.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// A running process.
pub struct Process {
    /// Name in the fleet.
    pub name: String,
    /// Data hall; empty for what all halls share.
    pub hall: String,
    /// Where it is called.
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

    /// Sends a signal, by its name.
    ///
    /// # Panics
    /// Panics when it cannot be sent.
    pub fn signal(&self, signal: &str) {
        assert!(self.try_signal(signal), "kill {signal} {}", self.name);
    }

    /// Sends a signal, unless the process has ended.
    pub fn try_signal(&self, signal: &str) -> bool {
        if self.has_exited() {
            return false;
        }
        let pid = self.pid().to_string();
        let sent = Command::new("kill").args([signal, &pid]).status();
        sent.is_ok_and(|status| status.success())
    }

    /// Ends the process without a warning.
    pub fn kill(&self) {
        let mut child = self.child();
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Starts it again with the same command, ending it before if need be.
    pub fn restart(&self) {
        self.kill();
        *self.child() = spawn(&self.command, &self.log);
    }

    /// Starts it again once the process `pid` has ended, unless another one was
    /// started in its place meanwhile.
    pub async fn restart_after_exit(&self, pid: u32) {
        while self.pid() == pid && !self.has_exited() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let mut child = self.child();
        if child.id() == pid {
            *child = spawn(&self.command, &self.log);
        }
    }

    /// Whether the process has ended.
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

    /// Base URL.
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
