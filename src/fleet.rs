//! The engines of one model in one data hall, as their dispatcher sees them.

use crate::route::Candidate;

/// First wait after a failure.
const FIRST_COOLDOWN_MS: u64 = 500;
/// Wait after a refusal.
const REFUSED_COOLDOWN_MS: u64 = 250;
/// Longest wait after repeated failures.
const MAX_COOLDOWN_MS: u64 = 15_000;
/// Weight of a new measurement in a mean.
const RATE_WEIGHT: f64 = 0.1;
/// Prompt tokens from which on a measured prefill tells its rate.
const LEAST_MEASURED_TOKENS: u32 = 512;

/// An engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Name in the settings.
    pub name: String,
    /// Where it listens.
    pub url: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Size of its prefix cache.
    pub cache_tokens: u64,
    /// Weight version that it reported last.
    pub version: Option<String>,
    /// It reports that it leaves.
    pub leaving: bool,
    /// It loads weights.
    pub loading: bool,
    /// Operators want it to leave.
    pub ordered_to_leave: bool,
    /// Requests granted to it and not ended.
    pub outstanding: u32,
    /// Prompt tokens granted to it and not yet prefilled.
    pub pending_tokens: u64,
    /// Prompt tokens computed there since the start.
    pub computed_tokens: u64,
    /// Time to prefill a token, measured.
    pub token_ms: f64,
    /// It is left alone until then, in Unix milliseconds.
    pub cooldown_until_ms: u64,
    failures: u32,
}

impl Engine {
    /// An engine not heard of yet.
    #[must_use]
    pub fn new(name: &str, url: &str, slots: u32, cache_tokens: u64, token_ms: f64) -> Self {
        Self {
            name: name.to_owned(),
            url: url.to_owned(),
            slots,
            cache_tokens,
            version: None,
            leaving: false,
            loading: false,
            ordered_to_leave: false,
            outstanding: 0,
            pending_tokens: 0,
            computed_tokens: 0,
            token_ms,
            cooldown_until_ms: 0,
            failures: 0,
        }
    }

    /// Whether the engine is to get new work at all.
    #[must_use]
    pub fn stays(&self) -> bool {
        !self.leaving && !self.ordered_to_leave
    }

    /// Whether a request that expects `version` may run here.
    #[must_use]
    pub fn serves(&self, version: &str) -> bool {
        self.stays() && self.version.as_deref().is_none_or(|own| own == version)
    }

    /// Whether a request may be sent now.
    #[must_use]
    pub fn has_room(&self, now_ms: u64) -> bool {
        !self.loading && self.outstanding < self.slots && now_ms >= self.cooldown_until_ms
    }

    /// The engine as a candidate that holds `cached_tokens` of the prompt.
    #[must_use]
    pub fn candidate(&self, engine: usize, cached_tokens: u32) -> Candidate {
        #[expect(clippy::cast_precision_loss, reason = "token counts stay far below 2^52")]
        let wait_ms = self.pending_tokens as f64 * self.token_ms;
        let (outstanding, token_ms) = (self.outstanding, self.token_ms);
        Candidate { engine, outstanding, wait_ms, token_ms, cached_tokens }
    }

    /// Whether a copy used at that count of computed tokens is still there.
    #[must_use]
    pub fn still_caches(&self, at_computed_tokens: u64) -> bool {
        self.computed_tokens - at_computed_tokens < self.cache_tokens
    }

    /// Notes a failure: the engine is left alone for a while.
    pub fn failed(&mut self, now_ms: u64) {
        let cooldown_ms = FIRST_COOLDOWN_MS << self.failures.min(5);
        self.failures += 1;
        self.cooldown_until_ms = now_ms + cooldown_ms.min(MAX_COOLDOWN_MS);
    }

    /// Notes that the engine refused work: its next report will say why.
    pub fn refused(&mut self, now_ms: u64) {
        self.cooldown_until_ms = self.cooldown_until_ms.max(now_ms + REFUSED_COOLDOWN_MS);
    }

    /// Notes that the engine works.
    pub fn works(&mut self) {
        self.failures = 0;
        self.cooldown_until_ms = 0;
    }

    /// Takes a measured prefill into the mean.
    pub fn measured(&mut self, tokens: u32, took_ms: f64) {
        if tokens >= LEAST_MEASURED_TOKENS {
            self.token_ms += RATE_WEIGHT * (took_ms / f64::from(tokens) - self.token_ms);
        }
    }
}
