//! A model of an engine's prefix cache, which forgets what was used longest ago.
//!
//! The dispatcher sees every request of its engines, so it can follow what
//! each cache holds. How much that is, it learns from hits and misses.

use std::collections::BTreeMap;

/// A hit lets the believed size grow by one part in so many: slowly, since a
/// hit near the top says nothing of the bottom, and a wrong belief costs a whole
/// recompute.
const GROWTH: u64 = 4000;
/// Least size that a cache is believed to have.
const LEAST_TOKENS: u64 = 4096;

/// A use of a cache; later uses are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Use(u64);

/// What a cache is believed to hold.
#[derive(Clone, Debug)]
pub struct Cache {
    uses: BTreeMap<Use, u32>,
    held_tokens: u64,
    next: u64,
    size_tokens: u64,
    most_tokens: u64,
}

impl Cache {
    /// An empty cache of `size_tokens`.
    #[must_use]
    pub fn new(size_tokens: u64) -> Self {
        let (uses, most_tokens) = (BTreeMap::new(), size_tokens.saturating_mul(2));
        Self { uses, held_tokens: 0, next: 0, size_tokens, most_tokens }
    }

    /// Notes a use of context of `tokens`, last used at `before`.
    pub fn touch(&mut self, before: Option<Use>, tokens: u32) -> Use {
        let known = before.and_then(|before| self.uses.remove(&before));
        self.held_tokens -= u64::from(known.unwrap_or(0));
        let now = Use(self.next);
        self.next += 1;
        self.uses.insert(now, tokens);
        self.held_tokens += u64::from(tokens);
        self.shrink();
        now
    }

    fn shrink(&mut self) {
        while self.held_tokens > self.size_tokens && self.uses.len() > 1 {
            let Some((_, tokens)) = self.uses.pop_first() else {
                return;
            };
            self.held_tokens -= u64::from(tokens);
        }
    }

    /// Whether context last used at `at` is still held.
    #[must_use]
    pub fn holds(&self, at: Use) -> bool {
        self.uses.contains_key(&at)
    }

    /// Tokens used since `at`, and those used then.
    #[must_use]
    pub fn depth_tokens(&self, at: Use) -> u64 {
        self.uses.range(at..).map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    /// Learns from context at that depth, which was there or not.
    pub fn learn(&mut self, depth_tokens: u64, hit: bool) {
        let grown = (self.size_tokens + self.size_tokens / GROWTH).max(depth_tokens);
        let shrunk = self.size_tokens.min(depth_tokens.saturating_sub(1)).max(LEAST_TOKENS);
        self.size_tokens = if hit { grown.min(self.most_tokens) } else { shrunk };
        self.shrink();
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.uses.clear();
        self.held_tokens = 0;
    }
}
