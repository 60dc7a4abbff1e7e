//! What one engine or store is believed to keep.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::gateway::decisions::cache_reports::{CacheChange, CacheChanges, CacheListing};

/// Names a part under a scope, the same in every box. Should two parts have the
/// same name, one is believed to be where the other is, and missed there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PartKey(u64);

impl PartKey {
    /// The name of a part.
    #[must_use]
    pub fn new(scope: &str, part: &str) -> Self {
        let mut bytes = [0; 8];
        let mut hasher = blake3::Hasher::new();
        hasher.update(scope.as_bytes()).update(b"/").update(part.as_bytes());
        hasher.finalize_xof().fill(&mut bytes);
        Self(u64::from_le_bytes(bytes))
    }

    /// A number above 0 and up to 1 that depends on the part and `seed` only.
    #[must_use]
    pub fn hash_fraction(self, seed: u32) -> f64 {
        // The finalizer of splitmix64 spreads each bit over all others.
        let mut mixed = self.0 ^ (u64::from(seed) << 32 | u64::from(seed));
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^= mixed >> 31;
        let upper = u32::try_from(mixed >> 32).unwrap_or(u32::MAX);
        (f64::from(upper) + 1.0) / (f64::from(u32::MAX) + 1.0)
    }
}

/// Changes that a log keeps: those of some seconds.
const LOGGED_CHANGES: usize = 2048;

/// What is told of a holder to another box.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheUpdate {
    /// Nothing is known of it now.
    Unknown,
    /// All that it keeps.
    Full(Vec<(PartKey, u32)>),
    /// What has changed, in order.
    Delta(Vec<(PartKey, u32)>),
}

/// Changes of a holder, kept to be told to other boxes.
#[derive(Debug, Default)]
struct ChangeLog {
    changes: VecDeque<(PartKey, u32)>,
    /// Number of the first of them.
    from: u64,
}

impl ChangeLog {
    fn next(&self) -> u64 {
        self.from + u64::try_from(self.changes.len()).unwrap_or_default()
    }

    fn push(&mut self, part: PartKey, tokens: u32) {
        self.changes.push_back((part, tokens));
        if self.changes.len() > LOGGED_CHANGES {
            self.changes.pop_front();
            self.from += 1;
        }
    }

    /// Forgets all; whoever was told before must be told everything.
    fn restart(&mut self) {
        self.from = self.next() + 1;
        self.changes.clear();
    }
}

/// What one engine or store is believed to keep.
#[derive(Debug, Default)]
pub struct CacheContents {
    boot: u64,
    next: u64,
    known: bool,
    tokens: HashMap<PartKey, u32>,
    held_tokens: u64,
    /// Changes to be told, when other boxes learn from this one.
    log: Option<ChangeLog>,
}

impl CacheContents {
    /// A holder whose changes are kept to be told.
    #[must_use]
    pub fn with_log() -> Self {
        Self { log: Some(ChangeLog::default()), ..Self::default() }
    }

    /// What has changed since the change with a number, if anything, and the
    /// number to go on from.
    #[must_use]
    pub fn update_since(&self, after: Option<u64>) -> (Option<CacheUpdate>, u64) {
        let Some(log) = &self.log else {
            return (None, 0);
        };
        let next = log.next();
        let update = match after {
            Some(after) if after == next => None,
            _ if !self.known => Some(CacheUpdate::Unknown),
            Some(after) if (log.from..next).contains(&after) => {
                let skip = usize::try_from(after - log.from).unwrap_or_default();
                Some(CacheUpdate::Delta(log.changes.iter().skip(skip).copied().collect()))
            }
            _ => Some(CacheUpdate::Full(
                self.tokens.iter().map(|(key, held)| (*key, *held)).collect(),
            )),
        };
        (update, next)
    }

    /// Takes what another box tells.
    pub fn apply_update(&mut self, update: CacheUpdate) {
        let changes = match update {
            CacheUpdate::Unknown => return self.mark_unknown(),
            CacheUpdate::Full(all) => {
                self.mark_unknown();
                self.set_known(true);
                all
            }
            CacheUpdate::Delta(changes) => changes,
        };
        for (part, tokens) in changes {
            self.set_tokens(part, tokens);
        }
    }

    /// Forgets all that is known of it.
    pub fn mark_unknown(&mut self) {
        self.clear();
        self.set_known(false);
    }

    /// Place from which to ask for changes.
    #[must_use]
    pub fn next_change(&self) -> u64 {
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
    pub fn total_tokens(&self) -> u64 {
        self.held_tokens
    }

    /// Takes in changes; true when a listing is needed to know all.
    pub fn apply_changes(&mut self, changes: &CacheChanges) -> bool {
        if self.known && self.boot != changes.boot_epoch {
            self.clear();
        }
        self.boot = changes.boot_epoch;
        self.next = changes.next_position;
        self.set_known(true);
        for change in &changes.changes {
            self.set(change);
        }
        changes.gap
    }

    /// Takes in a listing, which is the whole truth.
    pub fn apply_listing(&mut self, listing: &CacheListing) {
        self.clear();
        self.boot = listing.boot_epoch;
        self.next = listing.next_position;
        self.set_known(true);
        for held in &listing.complete {
            self.set(held);
        }
    }

    /// Notes what it keeps of a part.
    pub fn set_tokens(&mut self, part: PartKey, tokens: u32) {
        let before =
            if tokens == 0 { self.tokens.remove(&part) } else { self.tokens.insert(part, tokens) };
        if let Some(log) = &mut self.log {
            log.push(part, tokens);
        }
        self.held_tokens += u64::from(tokens);
        self.held_tokens -= u64::from(before.unwrap_or_default());
    }

    /// Forgets all that it kept.
    pub fn clear(&mut self) {
        if let Some(log) = &mut self.log {
            log.restart();
        }
        self.tokens.clear();
        self.held_tokens = 0;
    }

    /// Whoever was told before must be told when this changes.
    fn set_known(&mut self, known: bool) {
        if std::mem::replace(&mut self.known, known) != known
            && let Some(log) = &mut self.log
        {
            log.restart();
        }
    }

    fn set(&mut self, change: &CacheChange) {
        self.set_tokens(PartKey::new(&change.part.scope, &change.part.part_id), change.tokens);
    }
}
