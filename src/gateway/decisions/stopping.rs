//! Which requests a stopping box still begins.
//!
//! The load balancer and clients go on sending for a while after the signal, and most of what they send ends
//! long before the box does. What begins later is sure to end in time only if its own deadline is earlier;
//! anything else is refused while that is true, because another box can run it at once.

/// Time after the signal to stop until which requests begin whatever their deadlines are.
const BEGIN_MS: u64 = 3000;

/// The times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    begins_until_ms: u64,
    /// When the requests that still run are cut.
    pub ends_at_ms: u64,
}

impl PlannedStop {
    /// A stop that was signalled now and ends `stop_ms` later.
    #[must_use]
    pub fn new(now_ms: u64, stop_ms: u64) -> Self {
        Self { begins_until_ms: now_ms + BEGIN_MS, ends_at_ms: now_ms + stop_ms }
    }

    /// Whether a request that has not run may begin now.
    #[must_use]
    pub fn may_begin(&self, now_ms: u64, deadline_ms: u64) -> bool {
        now_ms < self.begins_until_ms || deadline_ms <= self.ends_at_ms
    }
}
