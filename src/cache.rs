//! A model of an engine's prefix cache, which forgets what was used longest ago.
//!
//! The dispatcher sees every request of its engines, so it can follow what
//! each cache holds. How much that is, it learns from hits and misses.

use std::collections::BTreeMap;

/// A hit lets the believed size grow by one part in so many: slowly, since a
/// hit near the top says nothing of the bottom, and a wrong belief costs a whole
/// recompute.
const GROWTH_DIVISOR: u64 = 4000;
/// Least size that a cache is believed to have.
const MIN_SIZE_TOKENS: u64 = 4096;

/// A use of a cache; later uses are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CacheUse(u64);

/// What a cache is believed to hold.
#[derive(Clone, Debug)]
pub struct CacheModel {
    uses: BTreeMap<CacheUse, u32>,
    total_tokens: u64,
    next_use: u64,
    size_tokens: u64,
    max_size_tokens: u64,
}

impl CacheModel {
    /// An empty cache of `size_tokens`.
    #[must_use]
    pub fn new(size_tokens: u64) -> Self {
        let (uses, max_size_tokens) = (BTreeMap::new(), size_tokens.saturating_mul(2));
        Self { uses, total_tokens: 0, next_use: 0, size_tokens, max_size_tokens }
    }

    /// Notes a use of context of `tokens`, last used at `previous`.
    pub fn record_use(&mut self, previous: Option<CacheUse>, tokens: u32) -> CacheUse {
        let known = previous.and_then(|previous| self.uses.remove(&previous));
        self.total_tokens -= u64::from(known.unwrap_or(0));
        let current = CacheUse(self.next_use);
        self.next_use += 1;
        self.uses.insert(current, tokens);
        self.total_tokens += u64::from(tokens);
        self.evict();
        current
    }

    fn evict(&mut self) {
        while self.total_tokens > self.size_tokens && self.uses.len() > 1 {
            let Some((_, tokens)) = self.uses.pop_first() else {
                return;
            };
            self.total_tokens -= u64::from(tokens);
        }
    }

    /// Whether context last used at `at` is still held.
    #[must_use]
    pub fn contains(&self, at: CacheUse) -> bool {
        self.uses.contains_key(&at)
    }

    /// Tokens used since `at`, and those used then.
    #[must_use]
    pub fn depth_tokens(&self, at: CacheUse) -> u64 {
        self.uses.range(at..).map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    /// Learns from context at that depth, which was there or not.
    pub fn adjust_size(&mut self, depth_tokens: u64, hit: bool) {
        let grown = (self.size_tokens + self.size_tokens / GROWTH_DIVISOR).max(depth_tokens);
        let shrunk = self.size_tokens.min(depth_tokens.saturating_sub(1)).max(MIN_SIZE_TOKENS);
        self.size_tokens = if hit { grown.min(self.max_size_tokens) } else { shrunk };
        self.evict();
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.uses.clear();
        self.total_tokens = 0;
    }
}
