//! A planned stop: the box leaves the view, ends what runs, and gives its ledger away.

use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};

use crate::box_phase::BoxPhase;
use crate::clock::now_ms;
use crate::handover::hand_over;
use crate::kernel::Kernel;

/// Time in which a stopping box still takes requests, so that the balancer
/// can notice.
const DRAIN_GRACE_MS: u64 = 2500;

/// Stops as planned: no request is cut, and the ledger goes to a peer.
pub async fn stop(kernel: &Arc<Kernel>) {
    info!(target: "kernel", "Stopping: taking no more requests soon.");
    kernel.enter_phase(BoxPhase::Leaving);
    kernel.membership().leave(None);
    tokio::time::sleep(Duration::from_millis(DRAIN_GRACE_MS)).await;
    kernel.enter_phase(BoxPhase::Draining);
    let deadline_ms = now_ms() + kernel.settings.drain_timeout_ms;
    while busy(kernel) && now_ms() < deadline_ms {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    if busy(kernel) {
        warn!(target: "kernel", "Stopping with requests still running.");
    }
    hand_over(kernel).await;
    info!(target: "kernel", "Box {} has stopped.", kernel.box_id);
    kernel.enter_phase(BoxPhase::Stopped);
}

fn busy(kernel: &Kernel) -> bool {
    kernel.streams.running_count() > 0 || kernel.calls.running_count() > 0
}
