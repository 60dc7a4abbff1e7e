//! Model of an engine's prefix cache, with least-recently-used eviction.
//!
//! A dispatcher sees every request to its engines, so it can predict which context each
//! cache holds. It estimates the size of a cache from hits and misses.

use std::collections::BTreeMap;

/// After a hit, the estimated size grows by itself divided by this number. Growth is slow
/// because a hit on recently used context says nothing about the least recently used, and
/// because a wrong estimate costs the recomputation of a whole context.
const GROWTH_DIVISOR: u64 = 4000;
/// Lower limit on the estimated size.
const MIN_SIZE_TOKENS: u64 = 4096;

/// Sequence number of a use of a cache; later uses have greater numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CacheUse(u64);

/// Predicted contents and estimated size of a cache.
#[derive(Clone, Debug)]
pub struct CacheModel {
    uses: BTreeMap<CacheUse, u32>,
    total_tokens: u64,
    next_use: u64,
    size_tokens: u64,
    max_size_tokens: u64,
}

impl CacheModel {
    /// An empty cache with an initial size estimate; the estimate grows to at most twice
    /// that.
    #[must_use]
    pub fn new(size_tokens: u64) -> Self {
        let (uses, max_size_tokens) = (BTreeMap::new(), size_tokens.saturating_mul(2));
        Self { uses, total_tokens: 0, next_use: 0, size_tokens, max_size_tokens }
    }

    /// Records a use of context of length `tokens`, whose last use was `previous`.
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

    /// Whether context last used at `at` is predicted to be in the cache.
    #[must_use]
    pub fn contains(&self, at: CacheUse) -> bool {
        self.uses.contains_key(&at)
    }

    /// Total tokens of the context used at `at` and of all context used since.
    #[must_use]
    pub fn depth_tokens(&self, at: CacheUse) -> u64 {
        self.uses.range(at..).map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    /// Adjusts the estimated size after a hit or miss on context at `depth_tokens`.
    pub fn adjust_size(&mut self, depth_tokens: u64, hit: bool) {
        let grown = (self.size_tokens + self.size_tokens / GROWTH_DIVISOR).max(depth_tokens);
        let shrunk = self.size_tokens.min(depth_tokens.saturating_sub(1)).max(MIN_SIZE_TOKENS);
        self.size_tokens = if hit { grown.min(self.max_size_tokens) } else { shrunk };
        self.evict();
    }

    /// Empties the model, for an engine whose cache was lost.
    pub fn clear(&mut self) {
        self.uses.clear();
        self.total_tokens = 0;
    }
}
