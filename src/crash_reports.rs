//! Reports about crashed upstreams that peers acknowledge. A box sends one report at a time; what comes
//! up meanwhile goes into the next one.

use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::{Mutex as AsyncMutex, MutexGuard as AsyncMutexGuard, Notify};
use tokio::time::timeout;

use crate::acknowledgements::Acknowledgements;
use crate::sync::locked;

/// Maximum number of subjects in one report, so that it fits into a datagram.
const MAX_SUBJECTS: usize = 48;

/// The reports of a box about subjects of one kind: requests, or parts of prompts.
pub struct CrashReports<T> {
    /// Subjects that are not part of a report yet.
    unreported: Mutex<Vec<T>>,
    /// Held from composing a report until it is acknowledged or its time limit has passed.
    sending: AsyncMutex<()>,
    /// Acknowledgements of the report that is being sent.
    acknowledgements: Mutex<Acknowledgements>,
    /// Notified when all peers have acknowledged the report.
    all_acknowledged: Notify,
}

/// A report that is being sent.
pub struct ReportInProgress<'a, T> {
    reports: &'a CrashReports<T>,
    _sending: AsyncMutexGuard<'a, ()>,
    /// What it is about.
    pub subjects: Vec<T>,
}

impl<T> Default for CrashReports<T> {
    fn default() -> Self {
        Self {
            unreported: Mutex::default(),
            sending: AsyncMutex::default(),
            acknowledgements: Mutex::default(),
            all_acknowledged: Notify::new(),
        }
    }
}

impl<T: Ord> CrashReports<T> {
    /// Begins the next report when the previous one has ended; `None` if no subject is left to
    /// report.
    pub async fn begin(
        &self,
        subjects: impl IntoIterator<Item = T>,
    ) -> Option<ReportInProgress<'_, T>> {
        locked(&self.unreported).extend(subjects);
        let sending = self.sending.lock().await;
        let mut subjects = {
            let mut unreported = locked(&self.unreported);
            let count = unreported.len().min(MAX_SUBJECTS);
            unreported.drain(..count).collect::<Vec<_>>()
        };
        if subjects.is_empty() {
            return None;
        }
        subjects.sort_unstable();
        subjects.dedup();
        Some(ReportInProgress { reports: self, _sending: sending, subjects })
    }

    /// Records that a peer has acknowledged a report.
    pub fn record_acknowledgement(&self, report: u64, peer: &str) {
        if locked(&self.acknowledgements).record(report, peer) {
            self.all_acknowledged.notify_one();
        }
    }

    /// Records that a message of a peer has arrived.
    pub fn record_heard(&self, peer: &str) {
        locked(&self.acknowledgements).record_heard(peer);
    }
}

impl<T> ReportInProgress<'_, T> {
    /// Starts to wait for the acknowledgements of `peers`, before the report is sent to them.
    pub fn expect_acknowledgements<'a>(
        &self,
        report: u64,
        peers: impl IntoIterator<Item = &'a str>,
    ) {
        locked(&self.reports.acknowledgements).start(report, peers);
    }

    /// Waits until the peers have acknowledged the report; returns those that have not in time.
    pub async fn wait_until_acknowledged(self, time_limit: Duration) -> Vec<String> {
        let acknowledged = async {
            while !locked(&self.reports.acknowledgements).is_complete() {
                self.reports.all_acknowledged.notified().await;
            }
        };
        if timeout(time_limit, acknowledged).await.is_ok() {
            return Vec::new();
        }
        let missing = locked(&self.reports.acknowledgements).give_up();
        metrics::counter!("coursestile_crash_reports_unacknowledged_total")
            .increment(missing.len() as u64);
        missing
    }
}
