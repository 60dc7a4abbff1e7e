//! What one engine or store is believed to keep.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::sync::LazyLock;

use crate::gateway::kept::{CacheChange, CacheChanges, CacheListing};

/// Hashes names of parts; a collision makes a wrong belief, and a miss.
static HASHER: LazyLock<RandomState> = LazyLock::new(RandomState::new);

/// Names a part under a scope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PartKey(u64);

impl PartKey {
    /// The name of a part.
    #[must_use]
    pub fn new(scope: &str, part: &str) -> Self {
        Self(HASHER.hash_one((scope, part)))
    }
}

/// What one engine or store is believed to keep.
#[derive(Debug, Default)]
pub struct Holder {
    boot: u64,
    next: u64,
    known: bool,
    tokens: HashMap<PartKey, u32>,
    held_tokens: u64,
}

impl Holder {
    /// Place from which to ask for changes.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Whether its content has been heard of.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Tokens of a part that it keeps.
    #[must_use]
    pub fn tokens(&self, part: PartKey) -> u32 {
        self.tokens.get(&part).copied().unwrap_or_default()
    }

    /// Tokens that it keeps in all.
    #[must_use]
    pub fn held_tokens(&self) -> u64 {
        self.held_tokens
    }

    /// Takes in changes; true when a listing is needed to know all.
    pub fn changed(&mut self, changes: &CacheChanges) -> bool {
        if self.known && self.boot != changes.boot {
            self.forget();
        }
        self.boot = changes.boot;
        self.next = changes.next;
        self.known = true;
        for change in &changes.changes {
            self.set(change);
        }
        changes.gap
    }

    /// Takes in a listing, which is the whole truth.
    pub fn listed(&mut self, listing: &CacheListing) {
        self.forget();
        self.boot = listing.boot;
        self.next = listing.next;
        self.known = true;
        for held in &listing.held {
            self.set(held);
        }
    }

    /// Notes what it keeps of a part.
    pub fn note(&mut self, part: PartKey, tokens: u32) {
        let before =
            if tokens == 0 { self.tokens.remove(&part) } else { self.tokens.insert(part, tokens) };
        self.held_tokens += u64::from(tokens);
        self.held_tokens -= u64::from(before.unwrap_or_default());
    }

    /// Forgets all that it kept.
    pub fn forget(&mut self) {
        self.tokens.clear();
        self.held_tokens = 0;
    }

    fn set(&mut self, change: &CacheChange) {
        self.note(PartKey::new(&change.kept.scope, &change.kept.part), change.tokens);
    }
}
