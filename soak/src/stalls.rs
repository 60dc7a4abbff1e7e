//! Records when the soak's own tasks ran late. Its clients, proxies and simulated upstreams then
//! see everything late, so that a time that they measured proves nothing.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::time::sleep_until;

use crate::callers::Observations;

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Shortest delay that is recorded.
const MIN_STALL: Duration = Duration::from_millis(50);

/// A time at which the soak's tasks ran late.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    /// When a task ran that was due earlier.
    pub at: Instant,
    /// How late it ran.
    pub late_by: Duration,
}

/// Records stalls until `stop` is set.
pub async fn record_stalls(observations: Arc<Mutex<Observations>>, stop: Arc<AtomicBool>) {
    while !stop.load(Ordering::Relaxed) {
        let due = Instant::now() + SAMPLE_INTERVAL;
        sleep_until(due.into()).await;
        let late_by = due.elapsed();
        if late_by >= MIN_STALL {
            let stall = Stall { at: Instant::now(), late_by };
            observations.lock().expect("no task panics under the lock").stalls.push(stall);
        }
    }
}
