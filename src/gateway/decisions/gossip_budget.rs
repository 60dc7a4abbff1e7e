//! Limits the bytes of gossip that a box sends ahead of the next period.
//!
//! Whatever is urgent is sent to the whole hall at once, and what one box learns of it makes it send
//! in turn. *Load pattern:* a third of the engines crash at the same moment, and hundreds of parts of
//! prompts are accused and cleared one by one, each of them by a message of every box to every other.
//! On links of 10 Mbit/s, these messages leave no room for clients and upstreams. Urgent messages
//! therefore wait once the bytes of gossip exceed a part of the link, and are sent together. Periodic
//! messages and changes of load do not wait.

use crate::gateway::decisions::units::{as_f64, rounded_ms};

/// Part of the link that gossip may use on average.
const LINK_PART: f64 = 0.2;
/// Time whose bytes may be sent at once, after a pause of this length or longer.
const BURST_MS: f64 = 500.0;
const BITS_PER_BYTE: f64 = 8.0;
/// Bits a millisecond for each Mbit/s.
const BITS_PER_MS: f64 = 1000.0;

/// The bytes that may be sent now, from a token bucket.
#[derive(Clone, Copy, Debug)]
pub struct GossipBudget {
    bytes_per_ms: f64,
    left_bytes: f64,
    updated_at_ms: u64,
}

impl GossipBudget {
    /// The budget of a box whose link has this bandwidth.
    #[must_use]
    pub fn new(now_ms: u64, link_mbps: f64) -> Self {
        let bytes_per_ms = link_mbps * BITS_PER_MS / BITS_PER_BYTE * LINK_PART;
        Self { bytes_per_ms, left_bytes: bytes_per_ms * BURST_MS, updated_at_ms: now_ms }
    }

    /// Records bytes that are sent.
    pub fn record_sent(&mut self, now_ms: u64, bytes: usize) {
        let elapsed_ms = as_f64(now_ms.saturating_sub(self.updated_at_ms));
        let max_bytes = self.bytes_per_ms * BURST_MS;
        let refilled_bytes = (self.left_bytes + elapsed_ms * self.bytes_per_ms).min(max_bytes);
        self.left_bytes = refilled_bytes - as_f64(bytes as u64);
        self.updated_at_ms = now_ms;
    }

    /// When urgent messages may be sent again.
    #[must_use]
    pub fn next_urgent_at_ms(&self) -> u64 {
        let wait_ms = (-self.left_bytes).max(0.0) / self.bytes_per_ms;
        self.updated_at_ms + rounded_ms(wait_ms)
    }
}
