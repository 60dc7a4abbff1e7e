//! What this box knows of the metadata store: the items as they were written.
//!
//! The view takes listings and changes from the store, and snapshots from
//! peers, in any order; the revision of each item decides which is newer. An
//! upstream's item that vanishes while the store has trouble stays for a
//! while, since live upstreams write theirs again after the trouble. A connection
//! that breaks is no such trouble yet: items lapse only after a time without the store.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::{Deserialize, Serialize};

/// Time that live upstreams take to write their items again after the store
/// has come back.
const REWRITE_MS: u64 = 2000;
/// Removals that are remembered for peers that are behind.
const LOGGED_REMOVALS: usize = 512;
/// Time after trouble in which removals are still put down to it.
const TROUBLE_ECHO_MS: u64 = 1000;

/// An item as it was written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedValue {
    /// Revision of its last change.
    pub revision: u64,
    /// Content.
    pub value: Vec<u8>,
}

/// A copy of the view, for a peer that is behind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision of the store up to which it is complete.
    pub at_revision: u64,
    /// Revision of the newest change that the giver knows.
    pub last_change_revision: u64,
    /// Items by key.
    pub items: BTreeMap<String, VersionedValue>,
}

/// What a peer that is behind gets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatchUp {
    /// All that is known.
    Full(Snapshot),
    /// What has changed since the revision that the peer named.
    Delta {
        /// Items that were written since.
        changed: Snapshot,
        /// Keys that were removed since, with the revisions.
        removed: Vec<(String, u64)>,
    },
}

/// State of the view by which two boxes see whether theirs are alike.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewDigest {
    /// Revision of the newest change.
    pub last_change_revision: u64,
    /// Sum over all items; differs when items do, almost surely.
    pub checksum: u32,
}

/// A change of the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViewChange {
    /// An item is new or has changed.
    Put {
        /// Key.
        key: String,
        /// Content.
        value: Vec<u8>,
    },
    /// An item is gone.
    Removed {
        /// Key.
        key: String,
    },
}

/// Items of the metadata store, as far as this box knows.
#[derive(Debug, Default)]
pub struct MetadataView {
    at_revision: u64,
    last_change_revision: u64,
    items: BTreeMap<String, VersionedValue>,
    removals: HashMap<String, u64>,
    /// The last removals, oldest first.
    removed: VecDeque<(String, u64)>,
    /// Changes since this revision can be told.
    log_from_revision: u64,
    checksum: u32,
    store_answers: bool,
    answered_at_ms: u64,
    /// Since when the store answers, while it does.
    answers_since_ms: u64,
    said_unable: bool,
    trouble_ended_at_ms: Option<u64>,
    complete_at_ms: Option<u64>,
    least_trouble_ms: u64,
}

impl MetadataView {
    /// An empty view. Items can lapse once the store has been away for
    /// `least_trouble_ms`, or has said that it does not serve.
    #[must_use]
    pub fn new(least_trouble_ms: u64) -> Self {
        Self { least_trouble_ms, ..Self::default() }
    }

    /// Whether anything is known yet.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.at_revision > 0
    }

    /// Revision up to which the view is complete.
    #[must_use]
    pub fn at_revision(&self) -> u64 {
        self.at_revision
    }

    /// Revision of the newest change in the view.
    #[must_use]
    pub fn last_change_revision(&self) -> u64 {
        self.last_change_revision
    }

    /// Whether the store answered this box's last call.
    #[must_use]
    pub fn is_store_available(&self) -> bool {
        self.store_answers
    }

    /// When the store told this box all that there was to know; `None` before the first
    /// listing.
    #[must_use]
    pub fn synced_at_ms(&self) -> Option<u64> {
        self.complete_at_ms
    }

    /// Notes that the store has told all that there is to know.
    pub fn mark_synced(&mut self, now_ms: u64) {
        self.complete_at_ms = Some(now_ms);
    }

    /// Whether the store has answered this box for a while.
    #[must_use]
    pub fn store_available_for(&self, now_ms: u64, least_ms: u64) -> bool {
        self.store_answers && now_ms >= self.answers_since_ms + least_ms
    }

    /// Whether there is an item under `key`.
    #[must_use]
    pub fn contains_key(&self, key: &str) -> bool {
        self.items.contains_key(key)
    }

    /// The item under `key`, as it was written.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&VersionedValue> {
        self.items.get(key)
    }

    /// What tells whether another view is like this one.
    #[must_use]
    pub fn digest(&self) -> ViewDigest {
        ViewDigest { last_change_revision: self.last_change_revision, checksum: self.checksum }
    }

    /// A copy for a peer.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        self.copy_of(self.items.clone())
    }

    fn copy_of(&self, items: BTreeMap<String, VersionedValue>) -> Snapshot {
        let (at_revision, last_change_revision) = (self.at_revision, self.last_change_revision);
        Snapshot { at_revision, last_change_revision, items }
    }

    /// What a peer with `mark` lacks.
    #[must_use]
    pub fn catch_up(&self, mark: ViewDigest) -> CatchUp {
        let after = mark.last_change_revision;
        // With the same changes known, it is the items that differ.
        if after < self.log_from_revision || after >= self.last_change_revision {
            return CatchUp::Full(self.snapshot());
        }
        let items = self.items.iter().filter(|(_, written)| written.revision > after);
        let items = items.map(|(key, written)| (key.clone(), written.clone())).collect();
        let removed = self.removed.iter().filter(|(_, revision)| *revision > after);
        CatchUp::Delta { changed: self.copy_of(items), removed: removed.cloned().collect() }
    }

    /// Notes that the store did not answer as it should; true when it did
    /// before.
    pub fn note_store_failure(&mut self) -> bool {
        std::mem::replace(&mut self.store_answers, false)
    }

    /// Notes that the store has said itself that it does not serve.
    pub fn note_store_unavailable(&mut self) {
        self.said_unable = true;
    }

    /// Notes an answer of the store; true when it did not answer before.
    pub fn note_store_answer(&mut self, now_ms: u64) -> bool {
        let was_away = !std::mem::replace(&mut self.store_answers, true);
        let away_since_ms = std::mem::replace(&mut self.answered_at_ms, now_ms);
        let away_ms = now_ms.saturating_sub(away_since_ms);
        if was_away {
            self.answers_since_ms = now_ms;
        }
        let said_unable = std::mem::take(&mut self.said_unable);
        let may_have_lapsed = said_unable || away_ms >= self.least_trouble_ms;
        // After a mere reset, what is gone has left: held in doubt, it got work for up to
        // 3.3 s more, where 2 s were allowed.
        if was_away && may_have_lapsed && self.is_loaded() {
            self.trouble_ended_at_ms = Some(now_ms);
            for until_ms in self.removals.values_mut() {
                *until_ms = (*until_ms).max(now_ms + REWRITE_MS);
            }
        }
        was_away
    }

    /// Takes an item that was written.
    pub fn put(&mut self, key: String, written: VersionedValue) -> Option<ViewChange> {
        self.at_revision = self.at_revision.max(written.revision);
        self.last_change_revision = self.last_change_revision.max(written.revision);
        self.removals.remove(&key);
        if self.items.get(&key).is_some_and(|known| known.revision >= written.revision) {
            return None;
        }
        let same = self.items.get(&key).is_some_and(|known| known.value == written.value);
        let value = written.value.clone();
        self.forget_item(&key);
        self.checksum = self.checksum.wrapping_add(item_checksum(&key, written.revision));
        self.items.insert(key.clone(), written);
        (!same).then_some(ViewChange::Put { key, value })
    }

    /// Takes a removal. `lapses` says that the item goes by itself when its
    /// writer is silent.
    pub fn remove(
        &mut self,
        now_ms: u64,
        key: &str,
        revision: u64,
        lapses: bool,
    ) -> Option<ViewChange> {
        self.at_revision = self.at_revision.max(revision);
        self.last_change_revision = self.last_change_revision.max(revision);
        if self.items.get(key).is_none_or(|known| known.revision > revision) {
            return None;
        }
        if lapses && let Some(until_ms) = self.doubtful_until_ms(now_ms) {
            self.removals.entry(key.to_owned()).or_insert(until_ms);
            return None;
        }
        // One that is carried out later shows by the checksum alone.
        self.log_removal(key, revision);
        self.take_out(key)
    }

    /// Takes a listing or snapshot of all items whose keys `covers` accepts.
    pub fn apply_snapshot(
        &mut self,
        now_ms: u64,
        snapshot: Snapshot,
        covers: impl Fn(&str) -> bool,
        lapses: impl Fn(&str) -> bool,
    ) -> Vec<ViewChange> {
        let mut changes = Vec::new();
        let at_revision = snapshot.at_revision;
        // It does not say what was removed in between.
        self.log_from_revision = at_revision;
        let missing: Vec<String> = self
            .items
            .keys()
            .filter(|key| covers(key) && !snapshot.items.contains_key(*key))
            .cloned()
            .collect();
        for key in missing {
            let lapses = lapses(&key);
            // A listing does not say when the item went.
            changes.extend(self.remove(now_ms, &key, at_revision, lapses));
        }
        // Later pages of a listing tell newer items, and not what happened before those.
        let complete_to = self.at_revision.max(at_revision);
        for (key, written) in snapshot.items {
            changes.extend(self.put(key, written));
        }
        self.last_change_revision = self.last_change_revision.max(snapshot.last_change_revision);
        self.at_revision = complete_to;
        changes
    }

    /// Takes what a peer that follows the store itself has told.
    pub fn apply_catch_up(
        &mut self,
        now_ms: u64,
        told: CatchUp,
        covers: impl Fn(&str) -> bool,
    ) -> Vec<ViewChange> {
        match told {
            // The peer keeps items whose removal is in doubt, so none is here.
            CatchUp::Full(snapshot) => self.apply_snapshot(now_ms, snapshot, covers, |_| false),
            CatchUp::Delta { changed: written, removed } => {
                let mut changes = Vec::new();
                // Its items may be newer than what it knows of all keys.
                let complete_to = self.at_revision.max(written.at_revision);
                for (key, revision) in removed {
                    changes.extend(self.remove(now_ms, &key, revision, false));
                }
                for (key, item) in written.items {
                    changes.extend(self.put(key, item));
                }
                self.at_revision = complete_to;
                self.last_change_revision =
                    self.last_change_revision.max(written.last_change_revision);
                changes
            }
        }
    }

    /// Notes that the view is complete up to a revision.
    pub fn advance_to(&mut self, revision: u64) {
        self.at_revision = self.at_revision.max(revision);
    }

    /// Carries out the removals that are due.
    pub fn apply_due_removals(&mut self, now_ms: u64) -> Vec<ViewChange> {
        if !self.store_answers {
            return Vec::new();
        }
        let due: Vec<String> = self
            .removals
            .iter()
            .filter(|(_, until_ms)| **until_ms <= now_ms)
            .map(|(key, _)| key.clone())
            .collect();
        due.iter().filter_map(|key| self.take_out(key)).collect()
    }

    /// Until when a removal may be due to trouble of the store.
    fn doubtful_until_ms(&self, now_ms: u64) -> Option<u64> {
        let ended_at_ms = match (self.store_answers, self.trouble_ended_at_ms) {
            (false, _) => now_ms,
            (true, Some(ended_at_ms)) => ended_at_ms,
            (true, None) => return None,
        };
        let until_ms = ended_at_ms + REWRITE_MS;
        (now_ms < until_ms + TROUBLE_ECHO_MS).then_some(until_ms.max(now_ms))
    }

    fn take_out(&mut self, key: &str) -> Option<ViewChange> {
        self.removals.remove(key);
        self.forget_item(key).then(|| ViewChange::Removed { key: key.to_owned() })
    }

    fn forget_item(&mut self, key: &str) -> bool {
        let Some(written) = self.items.remove(key) else { return false };
        self.checksum = self.checksum.wrapping_sub(item_checksum(key, written.revision));
        true
    }

    fn log_removal(&mut self, key: &str, revision: u64) {
        self.removed.push_back((key.to_owned(), revision));
        if self.removed.len() > LOGGED_REMOVALS
            && let Some((_, revision)) = self.removed.pop_front()
        {
            self.log_from_revision = revision;
        }
    }
}

fn item_checksum(key: &str, revision: u64) -> u32 {
    let mut bytes = [0; 4];
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes()).update(&revision.to_le_bytes());
    hasher.finalize_xof().fill(&mut bytes);
    u32::from_le_bytes(bytes)
}
