//! State of what a box knows of crashed upstreams, and of the reports that it shares.

use std::sync::Mutex;

use crate::crash_reports::CrashReports;
use crate::quarantine::Quarantine;

/// Requests that crash upstreams, and the reports of them that are being sent.
#[derive(Default)]
pub struct Crashes {
    /// Requests that crash upstreams.
    pub quarantine: Mutex<Quarantine>,
    /// Reports to the peers.
    pub reports: CrashReports,
}
