//! State of what a box knows of crashed upstreams, and of the reports that it shares.

use std::sync::Mutex;

use tokio::sync::{Mutex as AsyncMutex, Notify};

use crate::acknowledgements::Acknowledgements;
use crate::fingerprint::Fingerprint;
use crate::quarantine::Quarantine;

/// Requests that crash upstreams, and the reports of them that are being sent.
#[derive(Default)]
pub struct Crashes {
    /// Requests that crash upstreams.
    pub quarantine: Mutex<Quarantine>,
    /// Requests with a crash that this box has seen and not reported yet.
    pub(crate) unreported: Mutex<Vec<Fingerprint>>,
    /// Held from sending a report until it is acknowledged or its time limit has passed.
    pub(crate) sending: AsyncMutex<()>,
    /// Acknowledgements of the report that is being sent.
    pub(crate) acknowledgements: Mutex<Acknowledgements>,
    /// Notified when all peers have acknowledged the report.
    pub(crate) all_acknowledged: Notify,
}
