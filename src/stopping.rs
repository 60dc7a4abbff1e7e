//! Planned stop: the box announces that it leaves, finishes running requests, and hands its
//! ledgers over.

use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use tokio::time::timeout;

use crate::box_phase::BoxPhase;
use crate::clock::now_ms;
use crate::handover::hand_over;
use crate::kernel::Kernel;

/// Time for which a stopping box still accepts requests, so that the load balancer can
/// react first.
const DRAIN_GRACE_MS: u64 = 2500;

/// Time in which the callers' port closes, and the last answers are sent.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Stops as planned: waits for running requests, up to the drain timeout, and hands the
/// ledgers over to a peer.
pub async fn stop(kernel: &Arc<Kernel>) {
    info!(target: "kernel", "Stopping: new requests are accepted for {DRAIN_GRACE_MS} ms more.");
    kernel.enter_phase(BoxPhase::Leaving);
    kernel.membership().leave(None);
    tokio::time::sleep(Duration::from_millis(DRAIN_GRACE_MS)).await;
    kernel.enter_phase(BoxPhase::Draining);
    let deadline_ms = now_ms() + kernel.settings.drain_timeout_ms;
    while has_running_requests(kernel) && now_ms() < deadline_ms {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    if has_running_requests(kernel) {
        warn!(target: "kernel", "Drain timeout reached: stopping with requests still running.");
    }
    hand_over(kernel).await;
    kernel.enter_phase(BoxPhase::Closing);
    if timeout(CLOSE_TIMEOUT, kernel.port_closed.notified()).await.is_err() {
        warn!(target: "kernel", "Stopping with connections of callers still open.");
    }
    info!(target: "kernel", "Box {} has stopped.", kernel.box_id);
    kernel.enter_phase(BoxPhase::Stopped);
}

fn has_running_requests(kernel: &Kernel) -> bool {
    kernel.streams.running_count() > 0 || kernel.calls.running_count() > 0
}
