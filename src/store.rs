//! A dispatcher's model of a context store and of its network link.

use crate::blocks::Block;
use crate::route::ImportEstimate;

/// Time for which a store is not used after a failure.
const COOLDOWN_MS: u64 = 3000;
/// Weight of a new measurement in the moving average of a link's rate.
const RATE_WEIGHT: f64 = 0.2;
/// Fraction of the difference to the initial rate by which a link's rate moves back to it
/// each second.
const RESTORE_WEIGHT: f64 = 0.1;

/// A context store, with estimates of its link's rate and backlog.
#[derive(Clone, Debug)]
pub struct Store {
    /// Base URL.
    pub url: String,
    /// Capacity that this dispatcher may use, in bytes.
    pub capacity_bytes: u64,
    /// Initial estimate of the link's rate.
    pub initial_bytes_per_ms: f64,
    /// Current estimate of the link's rate, from measured transfers.
    pub bytes_per_ms: f64,
    /// When the link will have finished the planned transfers, in Unix milliseconds.
    pub busy_until_ms: f64,
    /// Time until which it is not used after a failure, in Unix milliseconds.
    pub cooldown_until_ms: u64,
}

impl Store {
    /// A store without planned transfers; `bytes_per_ms` is the initial estimate.
    #[must_use]
    pub fn new(url: &str, capacity_bytes: u64, bytes_per_ms: f64) -> Self {
        Self {
            url: url.to_owned(),
            capacity_bytes,
            initial_bytes_per_ms: bytes_per_ms,
            bytes_per_ms,
            busy_until_ms: 0.0,
            cooldown_until_ms: 0,
        }
    }

    /// Time until the link will have finished the planned transfers.
    #[must_use]
    pub fn backlog_ms(&self, now_ms: u64) -> f64 {
        (self.busy_until_ms - to_f64(now_ms)).max(0.0)
    }

    /// Estimated time to import a block that has `common_tokens` tokens in common with
    /// the prompt.
    #[must_use]
    pub fn estimate_import(
        &self,
        now_ms: u64,
        block: &Block,
        common_tokens: u32,
    ) -> ImportEstimate {
        let transfer_ms = to_f64(block.size_bytes) / self.bytes_per_ms;
        let link_ms = self.backlog_ms(now_ms) + transfer_ms;
        ImportEstimate { tokens: common_tokens.min(block.prefix_end.tokens), link_ms, transfer_ms }
    }

    /// Adds a transfer to the link's backlog.
    pub fn plan_transfer(&mut self, now_ms: u64, transfer_ms: f64) {
        self.busy_until_ms = self.busy_until_ms.max(to_f64(now_ms)) + transfer_ms;
    }

    /// Updates the rate by the ratio of expected to actual transfer time; both include the
    /// time spent waiting for earlier transfers.
    pub fn update_rate(&mut self, expected_ms: u32, took_ms: u32) {
        let ratio = f64::from(expected_ms.max(1)) / f64::from(took_ms.max(1));
        self.bytes_per_ms *= 1.0 + RATE_WEIGHT * (ratio.clamp(0.25, 4.0) - 1.0);
    }

    /// Moves the rate back towards its initial estimate; called once a second. Without
    /// this, a link estimated as slow would not be used, and so never measured again.
    pub fn restore_rate(&mut self) {
        self.bytes_per_ms += RESTORE_WEIGHT * (self.initial_bytes_per_ms - self.bytes_per_ms);
    }

    /// Records a failure: the store is not used for [`COOLDOWN_MS`].
    pub fn mark_failed(&mut self, now_ms: u64) {
        self.cooldown_until_ms = now_ms + COOLDOWN_MS;
        self.busy_until_ms = 0.0;
    }
}

/// Converts an integer to a float.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "times and sizes stay far below 2^52")]
pub fn to_f64(value: u64) -> f64 {
    value as f64
}

/// Rounds a time up to whole milliseconds; negative times become 0.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "waits are positive and far below 2^52"
)]
pub fn ceil_ms(value: f64) -> u64 {
    value.max(0.0).ceil() as u64
}
