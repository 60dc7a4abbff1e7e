//! The parts of prompts whose context a cache (an engine or a context store) is believed to have.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::gateway::decisions::cache_reports::{CacheChange, CacheChanges, CacheListing};
pub use crate::part_key::PartKey;

/// Maximum number of changes in a log, enough for some seconds.
const CHANGE_LOG_CAPACITY: usize = 2048;

/// Update of the contents of one cache, sent to other boxes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheUpdate {
    /// The contents are unknown at the moment.
    Unknown,
    /// The complete contents.
    Full(Vec<(PartKey, u32)>),
    /// The changes since the last update, in order.
    Delta(Vec<(PartKey, u32)>),
}

/// Recent changes of the contents, for updates to other boxes.
#[derive(Debug, Default)]
struct ChangeLog {
    changes: VecDeque<(PartKey, u32)>,
    /// Position of the first change in the log.
    first_position: u64,
}

impl ChangeLog {
    fn end_position(&self) -> u64 {
        self.first_position + u64::try_from(self.changes.len()).unwrap_or_default()
    }

    fn push(&mut self, part: PartKey, tokens: u32) {
        self.changes.push_back((part, tokens));
        if self.changes.len() > CHANGE_LOG_CAPACITY {
            self.changes.pop_front();
            self.first_position += 1;
        }
    }

    /// Clears the log and skips a position, so that all other boxes need a complete update.
    fn reset(&mut self) {
        self.first_position = self.end_position() + 1;
        self.changes.clear();
    }
}

/// The context that one engine or store is believed to have.
#[derive(Debug, Default)]
pub struct CacheContents {
    boot_epoch: u64,
    /// Position in the changes that the cache reports.
    next_position: u64,
    known: bool,
    tokens_by_part: HashMap<PartKey, u32>,
    total_tokens: u64,
    /// Present if other boxes get updates from this one.
    log: Option<ChangeLog>,
}

impl CacheContents {
    /// Unknown contents, with a log of changes for updates to other boxes.
    #[must_use]
    pub fn with_log() -> Self {
        Self { log: Some(ChangeLog::default()), ..Self::default() }
    }

    /// The update for a box that has all changes before position `after` of the log, if it needs
    /// one, and the position from which the next update continues.
    #[must_use]
    pub fn update_since(&self, after: Option<u64>) -> (Option<CacheUpdate>, u64) {
        let Some(log) = &self.log else {
            return (None, 0);
        };
        let end = log.end_position();
        let update = match after {
            Some(after) if after == end => None,
            _ if !self.known => Some(CacheUpdate::Unknown),
            Some(after) if (log.first_position..end).contains(&after) => {
                let skip = usize::try_from(after - log.first_position).unwrap_or_default();
                Some(CacheUpdate::Delta(log.changes.iter().skip(skip).copied().collect()))
            }
            _ => Some(CacheUpdate::Full(
                self.tokens_by_part.iter().map(|(part, tokens)| (*part, *tokens)).collect(),
            )),
        };
        (update, end)
    }

    /// Applies an update from another box.
    pub fn apply_update(&mut self, update: CacheUpdate) {
        let changes = match update {
            CacheUpdate::Unknown => return self.mark_unknown(),
            CacheUpdate::Full(contents) => {
                self.mark_unknown();
                self.set_known(true);
                contents
            }
            CacheUpdate::Delta(changes) => changes,
        };
        for (part, tokens) in changes {
            self.set_tokens(part, tokens);
        }
    }

    /// Forgets the contents and marks them as unknown.
    pub fn mark_unknown(&mut self) {
        self.clear();
        self.set_known(false);
    }

    /// Position from which to ask the cache for further changes.
    #[must_use]
    pub fn next_position(&self) -> u64 {
        self.next_position
    }

    /// Whether the contents are known.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Tokens of a part that are cached; 0 if there are none.
    #[must_use]
    pub fn tokens(&self, part: PartKey) -> u32 {
        self.tokens_by_part.get(&part).copied().unwrap_or_default()
    }

    /// Tokens that are cached in total.
    #[must_use]
    pub fn total_tokens(&self) -> u64 {
        self.total_tokens
    }

    /// Applies changes from the cache. Returns true if some are missing and a listing is needed.
    pub fn apply_changes(&mut self, changes: &CacheChanges) -> bool {
        if self.known && self.boot_epoch != changes.boot_epoch {
            self.clear();
        }
        self.boot_epoch = changes.boot_epoch;
        self.next_position = changes.next_position;
        self.set_known(true);
        for change in &changes.changes {
            self.apply_change(change);
        }
        changes.gap
    }

    /// Replaces the contents by a complete listing from the cache.
    pub fn apply_listing(&mut self, listing: &CacheListing) {
        self.clear();
        self.boot_epoch = listing.boot_epoch;
        self.next_position = listing.next_position;
        self.set_known(true);
        for change in &listing.complete {
            self.apply_change(change);
        }
    }

    /// Sets the number of tokens that are cached of a part.
    pub fn set_tokens(&mut self, part: PartKey, tokens: u32) {
        let before = if tokens == 0 {
            self.tokens_by_part.remove(&part)
        } else {
            self.tokens_by_part.insert(part, tokens)
        };
        if let Some(log) = &mut self.log {
            log.push(part, tokens);
        }
        self.total_tokens += u64::from(tokens);
        self.total_tokens -= u64::from(before.unwrap_or_default());
    }

    /// Forgets the contents, as after a restart of the cache.
    pub fn clear(&mut self) {
        if let Some(log) = &mut self.log {
            log.reset();
        }
        self.tokens_by_part.clear();
        self.total_tokens = 0;
    }

    /// Other boxes need a complete update whenever this changes.
    fn set_known(&mut self, known: bool) {
        if std::mem::replace(&mut self.known, known) != known
            && let Some(log) = &mut self.log
        {
            log.reset();
        }
    }

    fn apply_change(&mut self, change: &CacheChange) {
        self.set_tokens(PartKey::new(&change.part.scope, &change.part.part_id), change.tokens);
    }
}
