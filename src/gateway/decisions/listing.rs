//! Progress of a listing of the metadata store.
//!
//! The entries of thousands of upstreams take dozens of calls. The pages that have arrived are kept when
//! a call fails: if each failure cost the whole listing, boxes that share the store's link would keep it
//! busy with what none of them completes.

use crate::gateway::decisions::view::{Snapshot, VersionedValue};
use crate::gateway::metadata::{Freshness, Item, Page};

/// A page of a listing that is still missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PageRequest {
    pub prefix: &'static str,
    /// Last key of the page before; `None` for the first page of a prefix.
    pub after: Option<String>,
}

/// A listing of the items under some prefixes, page by page.
#[derive(Debug)]
pub struct Listing {
    freshness: Freshness,
    /// Prefixes that are not complete yet.
    prefixes: &'static [&'static str],
    /// Last key that has arrived of the first of them.
    after: Option<String>,
    snapshot: Snapshot,
    pages: usize,
    started_at_ms: u64,
    turn_awaited_since_ms: Option<u64>,
}

impl Listing {
    /// Creates a listing of which no page has arrived.
    #[must_use]
    pub fn new(now_ms: u64, prefixes: &'static [&'static str], freshness: Freshness) -> Self {
        Self {
            freshness,
            prefixes,
            after: None,
            // The next watch resumes at the oldest of the pages, so no change is missed.
            snapshot: Snapshot { at_revision: u64::MAX, ..Snapshot::default() },
            pages: 0,
            started_at_ms: now_ms,
            turn_awaited_since_ms: None,
        }
    }

    /// The page to read next; `None` if the listing is complete.
    #[must_use]
    pub fn next_page(&self) -> Option<PageRequest> {
        let prefix = self.prefixes.first()?;
        Some(PageRequest { prefix, after: self.after.clone() })
    }

    /// Adds the page that [`Self::next_page`] named.
    pub fn add_page(&mut self, page: Page) {
        self.pages += 1;
        self.snapshot.at_revision = self.snapshot.at_revision.min(page.at_revision);
        let last_key = page.items.iter().map(|item| &item.key).max().cloned();
        // Without a later key than before, the same page would be read for ever.
        let is_next = |key: &String| self.after.as_ref().is_none_or(|after| key > after);
        self.after = last_key.filter(|key| page.has_more && is_next(key));
        if self.after.is_none() {
            self.prefixes = &self.prefixes[1..];
        }
        for Item { key, value, revision } in page.items {
            self.snapshot.items.insert(key, VersionedValue { revision, value });
        }
    }

    /// An item that has arrived.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&VersionedValue> {
        self.snapshot.items.get(key)
    }

    #[must_use]
    pub fn freshness(&self) -> Freshness {
        self.freshness
    }

    /// Number of pages that have arrived.
    #[must_use]
    pub fn pages(&self) -> usize {
        self.pages
    }

    #[must_use]
    pub fn started_at_ms(&self) -> u64 {
        self.started_at_ms
    }

    /// Since when the box has waited for its turn to read the rest.
    pub fn turn_awaited_since_ms(&mut self, now_ms: u64) -> u64 {
        *self.turn_awaited_since_ms.get_or_insert(now_ms)
    }

    /// All items that have arrived.
    #[must_use]
    pub fn into_snapshot(self) -> Snapshot {
        self.snapshot
    }
}
