//! Retention policies for blocks in stores.
//!
//! The worth of a block is the rate at which its prompt is expected to be reused, times the prefill
//! time that it saves, divided by its size. The rate is estimated from the reuse of the prompt,
//! with the reuse of the account's prompts as a prior, and decreases while the prompt is not used.
//! After the account's retention period the worth is 0.

/// Which block is evicted first when space is needed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetentionPolicy {
    /// The least recently used one.
    Lru,
    /// The least recently used one; blocks also expire after a fixed time without use.
    Ttl,
    /// The one with the least worth.
    #[default]
    Worth,
}

impl RetentionPolicy {
    /// Parses the name used in the settings.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "lru" => Some(Self::Lru),
            "ttl" => Some(Self::Ttl),
            "worth" => Some(Self::Worth),
            _ => None,
        }
    }
}

/// Time without use after which [`RetentionPolicy::Ttl`] drops a block, in milliseconds.
pub const FIXED_TTL_MS: u64 = 600_000;
/// Minimum probability of reuse at which context is exported to a store.
const MIN_REUSE_PROBABILITY: f64 = 0.25;

/// Reuse of one prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReuseStats {
    /// First use, in Unix milliseconds.
    pub first_used_at_ms: u64,
    /// Latest use, in Unix milliseconds.
    pub last_used_at_ms: u64,
    /// Number of uses after the first.
    pub reuses: u32,
}

impl ReuseStats {
    /// Starts with the first use.
    #[must_use]
    pub fn new(now_ms: u64) -> Self {
        Self { first_used_at_ms: now_ms, last_used_at_ms: now_ms, reuses: 0 }
    }

    /// Records a further use.
    pub fn record_use(&mut self, now_ms: u64) {
        self.last_used_at_ms = now_ms;
        self.reuses += 1;
    }
}

/// Reuse of all prompts of an account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReusePrior {
    prompts: f64,
    reused_prompts: f64,
    mean_gap_ms: f64,
}

impl Default for ReusePrior {
    fn default() -> Self {
        Self { prompts: 1.0, reused_prompts: 0.5, mean_gap_ms: 60_000.0 }
    }
}

/// Weight of a new gap in the moving average.
const GAP_WEIGHT: f64 = 0.05;

impl ReusePrior {
    /// Records the first use of a prompt.
    pub fn record_first_use(&mut self) {
        self.prompts += 1.0;
    }

    /// Records a reuse after `gap_ms`; `is_first` tells whether it is the prompt's first reuse.
    pub fn record_reuse(&mut self, gap_ms: u64, is_first: bool) {
        self.reused_prompts += if is_first { 1.0 } else { 0.0 };
        self.mean_gap_ms += GAP_WEIGHT * (as_float(gap_ms) - self.mean_gap_ms);
    }

    /// Fraction of the account's prompts that are reused.
    #[must_use]
    pub fn reuse_probability(&self) -> f64 {
        (self.reused_prompts / self.prompts).min(1.0)
    }
}

/// Expected reuses of a prompt per millisecond.
#[must_use]
pub fn reuse_rate(now_ms: u64, reuse: &ReuseStats, prior: &ReusePrior) -> f64 {
    let idle_ms = as_float(now_ms.saturating_sub(reuse.last_used_at_ms));
    let active_ms = as_float(reuse.last_used_at_ms - reuse.first_used_at_ms);
    let expected_reuses = prior.reuse_probability() + f64::from(reuse.reuses);
    expected_reuses / (prior.mean_gap_ms + active_ms + idle_ms)
}

/// The properties of a block that the policies use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BlockStats {
    /// Reuse of its prompt.
    pub reuse: ReuseStats,
    /// When it is no longer worth keeping, in Unix milliseconds.
    pub worthless_at_ms: u64,
    /// Prefill time that it saves, in milliseconds.
    pub saved_ms: f64,
    /// Size in bytes.
    pub size_bytes: u64,
    /// Whether its account uses more than its share of the store.
    pub over_share: bool,
}

/// Eviction order: blocks with the lowest rank are evicted first.
#[must_use]
pub fn eviction_rank(
    policy: RetentionPolicy,
    now_ms: u64,
    block: &BlockStats,
    prior: &ReusePrior,
) -> f64 {
    let last_used = as_float(block.reuse.last_used_at_ms);
    match policy {
        RetentionPolicy::Lru | RetentionPolicy::Ttl => last_used,
        RetentionPolicy::Worth if now_ms >= block.worthless_at_ms => -1.0,
        RetentionPolicy::Worth => {
            let rate = reuse_rate(now_ms, &block.reuse, prior);
            let worth = rate * block.saved_ms / as_float(block.size_bytes.max(1));
            // Blocks of accounts over their share are evicted before all others.
            if block.over_share { worth - 0.5 } else { worth }
        }
    }
}

/// Whether a block has expired.
#[must_use]
pub fn is_expired(policy: RetentionPolicy, now_ms: u64, block: &BlockStats) -> bool {
    match policy {
        RetentionPolicy::Lru => false,
        RetentionPolicy::Ttl => now_ms >= block.reuse.last_used_at_ms + FIXED_TTL_MS,
        RetentionPolicy::Worth => now_ms >= block.worthless_at_ms,
    }
}

/// Whether context is worth an export to a store.
#[must_use]
pub fn worth_exporting(
    policy: RetentionPolicy,
    now_ms: u64,
    block: &BlockStats,
    prior: &ReusePrior,
    transfer_ms: f64,
) -> bool {
    match policy {
        RetentionPolicy::Lru | RetentionPolicy::Ttl => true,
        RetentionPolicy::Worth => {
            let remaining_ms = as_float(block.worthless_at_ms.saturating_sub(now_ms));
            let expected_reuses = reuse_rate(now_ms, &block.reuse, prior) * remaining_ms;
            let probability = 1.0 - (-expected_reuses).exp();
            probability >= MIN_REUSE_PROBABILITY && block.saved_ms > transfer_ms
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "times and sizes stay far below 2^52")]
fn as_float(value: u64) -> f64 {
    value as f64
}
