//! The configuration in force on this box: its copy of the configuration log, and the
//! snapshot that the rest of the box reads. The revision never decreases.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use log::info;
use tokio::sync::watch;

use crate::clock::now_ms;
use crate::configlog::{AdoptOutcome, Config, ConfigEntry, ConfigLog, ConfigState};
use crate::invariant::{Invariant, check};
use crate::sync::locked;

/// The configuration in force on this box.
pub struct Configuration {
    log: Mutex<ConfigLog>,
    current: watch::Sender<Arc<Config>>,
    revision: AtomicU64,
    platform_answered_at_ms: AtomicU64,
}

impl Default for Configuration {
    fn default() -> Self {
        Self {
            log: Mutex::default(),
            current: watch::Sender::new(Arc::default()),
            revision: AtomicU64::new(0),
            platform_answered_at_ms: AtomicU64::new(0),
        }
    }
}

impl Configuration {
    /// Revision of the configuration in force; 0 before there is one.
    pub fn revision(&self) -> u64 {
        self.revision.load(Ordering::Acquire)
    }

    /// Configuration in force.
    pub fn current(&self) -> Arc<Config> {
        self.current.borrow().clone()
    }

    /// A receiver that is notified of each change.
    pub fn subscribe(&self) -> watch::Receiver<Arc<Config>> {
        self.current.subscribe()
    }

    /// When the platform last answered, in Unix milliseconds; 0 if it never has.
    pub fn platform_answered_at_ms(&self) -> u64 {
        self.platform_answered_at_ms.load(Ordering::Relaxed)
    }

    /// Records that the platform has answered.
    pub(crate) fn record_platform_answer(&self) {
        self.platform_answered_at_ms.store(now_ms(), Ordering::Relaxed);
    }

    /// Updates the log with `apply`, and puts the result in force if it is newer.
    pub(crate) fn adopt(&self, apply: impl FnOnce(&mut ConfigLog) -> AdoptOutcome) -> AdoptOutcome {
        let mut log = locked(&self.log);
        let before = log.revision();
        let adopted = apply(&mut log);
        let after = log.revision();
        check(Invariant::ConfigNeverReverts, after >= before, || format!("{before} to {after}"));
        if adopted == AdoptOutcome::Applied {
            self.revision.store(after, Ordering::Release);
            self.current.send_replace(log.config());
            metrics::gauge!("coursestile_config_revision").set(u32::try_from(after).unwrap_or(0));
            info!(target: "config", "Configuration revision {after} is in force.");
        }
        adopted
    }

    /// The changes after `revision`, if the log still has all of them.
    pub(crate) fn entries_after(&self, revision: u64) -> Option<Vec<ConfigEntry>> {
        locked(&self.log).entries_after(revision)
    }

    /// The state of the configuration in force.
    pub(crate) fn state(&self) -> ConfigState {
        locked(&self.log).state().clone()
    }
}
