//! A store box and its link, as a dispatcher plans with them.

use crate::blocks::Block;
use crate::route::ImportEstimate;

/// Time for which a store that failed is left alone.
const COOLDOWN_MS: u64 = 3000;
/// Weight of a new measurement in a link's mean rate.
const RATE_WEIGHT: f64 = 0.2;
/// Part of the way back to the first estimate that a link's rate drifts.
const RESTORE_WEIGHT: f64 = 0.1;

/// A store box as its users see it.
#[derive(Clone, Debug)]
pub struct Store {
    /// Where it listens.
    pub url: String,
    /// Bytes that this dispatcher may use there.
    pub capacity_bytes: u64,
    /// Rate of its link, as first estimated.
    pub initial_bytes_per_ms: f64,
    /// Rate of its link, measured.
    pub bytes_per_ms: f64,
    /// When the link has done what was planned on it, in Unix milliseconds.
    pub busy_until_ms: f64,
    /// It is left alone until then, in Unix milliseconds.
    pub cooldown_until_ms: u64,
}

impl Store {
    /// A store with nothing planned; `bytes_per_ms` is a first estimate.
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

    /// Time until the link has done what was planned on it.
    #[must_use]
    pub fn backlog_ms(&self, now_ms: u64) -> f64 {
        (self.busy_until_ms - to_f64(now_ms)).max(0.0)
    }

    /// What bringing a block takes that has `common_tokens` tokens of the prompt.
    #[must_use]
    pub fn import_offer(&self, now_ms: u64, block: &Block, common_tokens: u32) -> ImportEstimate {
        let transfer_ms = to_f64(block.size_bytes) / self.bytes_per_ms;
        let link_ms = self.backlog_ms(now_ms) + transfer_ms;
        ImportEstimate { tokens: common_tokens.min(block.prefix_end.tokens), link_ms, transfer_ms }
    }

    /// Plans a transfer.
    pub fn plan_transfer(&mut self, now_ms: u64, transfer_ms: f64) {
        self.busy_until_ms = self.busy_until_ms.max(to_f64(now_ms)) + transfer_ms;
    }

    /// Corrects the rate by how far the estimate was off; the estimate
    /// includes what the link had to do before.
    pub fn update_rate(&mut self, expected_ms: u32, took_ms: u32) {
        let ratio = f64::from(expected_ms.max(1)) / f64::from(took_ms.max(1));
        self.bytes_per_ms *= 1.0 + RATE_WEIGHT * (ratio.clamp(0.25, 4.0) - 1.0);
    }

    /// Lets the rate drift back, once a second: a link that is believed to be
    /// slow is not used, and so would never be measured again.
    pub fn restore_rate(&mut self) {
        self.bytes_per_ms += RESTORE_WEIGHT * (self.initial_bytes_per_ms - self.bytes_per_ms);
    }

    /// Notes a failure: the store is left alone for a while.
    pub fn mark_failed(&mut self, now_ms: u64) {
        self.cooldown_until_ms = now_ms + COOLDOWN_MS;
        self.busy_until_ms = 0.0;
    }
}

/// A whole number as a float.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "times and sizes stay far below 2^52")]
pub fn to_f64(value: u64) -> f64 {
    value as f64
}

/// A time as whole milliseconds, rounded up.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "waits are positive and far below 2^52"
)]
pub fn ceil_ms(value: f64) -> u64 {
    value.max(0.0).ceil() as u64
}
