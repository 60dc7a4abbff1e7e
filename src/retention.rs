//! Which kept context is worth its place.
//!
//! The worth of a block is the rate at which its prompt is expected to come
//! back, times the recompute that it saves, over its size. The rate follows
//! from the prompt's own returns, with the account's as a prior, and falls the
//! longer the prompt stays away. Past the account's deadline the worth is 0.

/// Which block goes first when room is needed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetentionPolicy {
    /// The least recently used.
    Lru,
    /// The least recently used, and each after a fixed time.
    Ttl,
    /// The one worth least.
    #[default]
    Worth,
}

impl RetentionPolicy {
    /// The policy called `name` in the settings.
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

/// Age at which the fixed-time policy drops a block, in milliseconds.
pub const FIXED_TTL_MS: u64 = 600_000;
/// Chance of a return below which context is not written to a store.
const MIN_REUSE_PROBABILITY: f64 = 0.25;

/// How often a prompt, or the prompts of an account, come back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReuseStats {
    /// First use, in Unix milliseconds.
    pub first_used_at_ms: u64,
    /// Newest use, in Unix milliseconds.
    pub last_used_at_ms: u64,
    /// Uses after the first.
    pub reuses: u32,
}

impl ReuseStats {
    /// Starts with a first use.
    #[must_use]
    pub fn new(now_ms: u64) -> Self {
        Self { first_used_at_ms: now_ms, last_used_at_ms: now_ms, reuses: 0 }
    }

    /// Counts a use.
    pub fn record_use(&mut self, now_ms: u64) {
        self.last_used_at_ms = now_ms;
        self.reuses += 1;
    }
}

/// What is known of an account's prompts together.
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

/// Weight of a new gap in the account's mean.
const GAP_WEIGHT: f64 = 0.05;

impl ReusePrior {
    /// Counts a prompt seen for the first time.
    pub fn record_first_use(&mut self) {
        self.prompts += 1.0;
    }

    /// Counts a return after `gap_ms`; `first` says that it is the prompt's
    /// first return.
    pub fn record_reuse(&mut self, gap_ms: u64, is_first: bool) {
        self.reused_prompts += if is_first { 1.0 } else { 0.0 };
        self.mean_gap_ms += GAP_WEIGHT * (as_float(gap_ms) - self.mean_gap_ms);
    }

    /// Share of the account's prompts that come back.
    #[must_use]
    pub fn reuse_probability(&self) -> f64 {
        (self.reused_prompts / self.prompts).min(1.0)
    }
}

/// Returns per millisecond that are expected of a prompt.
#[must_use]
pub fn reuse_rate(now_ms: u64, reuse: &ReuseStats, prior: &ReusePrior) -> f64 {
    let idle_ms = as_float(now_ms.saturating_sub(reuse.last_used_at_ms));
    let active_ms = as_float(reuse.last_used_at_ms - reuse.first_used_at_ms);
    let expected_reuses = prior.reuse_probability() + f64::from(reuse.reuses);
    expected_reuses / (prior.mean_gap_ms + active_ms + idle_ms)
}

/// A block as the policies see it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BlockStats {
    /// Use of its prompt.
    pub reuse: ReuseStats,
    /// When it is no longer worth keeping, in Unix milliseconds.
    pub worthless_at_ms: u64,
    /// Recompute that it saves, in milliseconds.
    pub saved_ms: f64,
    /// Its size.
    pub size_bytes: u64,
    /// Whether its account holds more than its share of the store.
    pub over_share: bool,
}

/// Order in which blocks give way: the least goes first.
#[must_use]
pub fn rank(policy: RetentionPolicy, now_ms: u64, block: &BlockStats, prior: &ReusePrior) -> f64 {
    let last_used = as_float(block.reuse.last_used_at_ms);
    match policy {
        RetentionPolicy::Lru | RetentionPolicy::Ttl => last_used,
        RetentionPolicy::Worth if now_ms >= block.worthless_at_ms => -1.0,
        RetentionPolicy::Worth => {
            let rate = reuse_rate(now_ms, &block.reuse, prior);
            let worth = rate * block.saved_ms / as_float(block.size_bytes.max(1));
            // An account over its share gives way to all that are within.
            if block.over_share { worth - 0.5 } else { worth }
        }
    }
}

/// Whether a block has outlived its use.
#[must_use]
pub fn expired(policy: RetentionPolicy, now_ms: u64, block: &BlockStats) -> bool {
    match policy {
        RetentionPolicy::Lru => false,
        RetentionPolicy::Ttl => now_ms >= block.reuse.last_used_at_ms + FIXED_TTL_MS,
        RetentionPolicy::Worth => now_ms >= block.worthless_at_ms,
    }
}

/// Whether context is worth writing to a store.
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
