//! State of what a box knows of crashed upstreams, and of the reports that it shares.

use std::collections::BTreeSet;
use std::sync::Mutex;

use tokio::sync::watch;

use crate::crash_reports::CrashReports;
use crate::fingerprint::Fingerprint;
use crate::quarantine::Quarantine;
use crate::suspect_parts::SuspectParts;

/// Requests that crash upstreams, and the reports of them that are being sent.
#[derive(Default)]
pub struct Crashes {
    /// Requests that crash upstreams.
    pub quarantine: Mutex<Quarantine>,
    /// Parts of prompts under which upstreams crash.
    pub suspect_parts: Mutex<SuspectParts>,
    /// Reports to the peers.
    pub reports: CrashReports<Fingerprint>,
    /// Whether this box has learned what its peers knew when it started.
    informed: watch::Sender<bool>,
    /// Addresses of peers that have just started as well.
    pub(crate) uninformed_peers: Mutex<BTreeSet<String>>,
}

impl Crashes {
    /// Whether this box knows which requests are quarantined, so that it may run requests.
    #[must_use]
    pub fn is_informed(&self) -> bool {
        *self.informed.borrow()
    }

    /// Waits until this box knows which requests are quarantined.
    pub async fn wait_until_informed(&self) {
        // Cannot fail: the state owns the sender.
        let _ = self.informed.subscribe().wait_for(|is_informed| *is_informed).await;
    }

    pub(crate) fn mark_informed(&self) {
        self.informed.send_replace(true);
    }
}
