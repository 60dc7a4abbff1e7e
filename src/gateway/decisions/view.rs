//! A local replica of the metadata store, which holds items with a key, a value and a revision.
//!
//! The replica takes listings and changes from the store and snapshots from peers, in any order;
//! the revision of each item decides which is newer. The item of an upstream that disappears
//! during or shortly after an outage of the store is kept for a while, because upstreams that are
//! still running register again once the store is back. A broken connection alone does not count
//! as an outage: items can only expire after the store has been out of reach for some time.
//!
//! A peer that has fallen behind gets what has changed. If more was removed meanwhile than is
//! remembered, as when thousands of upstreams are replaced, it also gets the keys that are left,
//! not all items: those are megabytes, and take longer over a slow link than a change may take.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::names::short_id;

/// Time within which running upstreams write their items again after an outage of the store.
const REREGISTRATION_MS: u64 = 2000;
/// Number of removals that are remembered for peers that have fallen behind.
const REMOVAL_LOG_CAPACITY: usize = 512;
/// Time after the re-registration period during which removals are still attributed to the
/// outage.
const OUTAGE_AFTERMATH_MS: u64 = 1000;

/// The value of an item and its revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedValue {
    /// Revision of the last change to the item.
    pub revision: u64,
    pub value: Vec<u8>,
}

/// A copy of the view, for a peer that has fallen behind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Store revision up to which the copy is complete.
    pub at_revision: u64,
    /// Revision of the newest change that the sender knows.
    pub last_change_revision: u64,
    pub items: BTreeMap<String, VersionedValue>,
}

/// Update for a peer that has fallen behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatchUp {
    /// All items.
    Full(Snapshot),
    /// The changes since the revision that the peer gave.
    Delta {
        /// Items that were written since.
        changed: Snapshot,
        /// Keys that were removed since, with the revisions of the removals.
        removed: Vec<(String, u64)>,
    },
    /// The changes since that revision, if not all removals since are remembered.
    Listed {
        /// Items that were written since.
        changed: Snapshot,
        /// Short ids of the keys of all items, sorted.
        keys: Vec<u32>,
    },
}

/// Which update a peer that has fallen behind needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CatchUpNeed {
    /// All items.
    Full,
    /// The changes since a revision.
    DeltaSince(u64),
    /// The changes since a revision, and the keys of all items.
    ListedSince(u64),
}

/// Digest of a view. Boxes compare digests to find out whether their views are equal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewDigest {
    /// Revision of the newest change.
    pub last_change_revision: u64,
    /// Sum over the hashes of all items. Views that differ almost surely have different sums.
    pub checksum: u32,
}

/// A change of the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViewChange {
    /// An item is new or its value has changed.
    Put { key: String, value: Vec<u8> },
    /// An item was removed.
    Removed { key: String },
}

/// The items of the metadata store that this box knows.
#[derive(Debug, Default)]
pub struct MetadataView {
    at_revision: u64,
    last_change_revision: u64,
    items: BTreeMap<String, VersionedValue>,
    pending_removals: HashMap<String, u64>,
    /// The last removals, oldest first.
    removal_log: VecDeque<(String, u64)>,
    /// All removals after this revision are in `removal_log`.
    removal_log_start: u64,
    checksum: u32,
    store_available: bool,
    last_answer_at_ms: u64,
    /// Start of the current period in which the store answers.
    available_since_ms: u64,
    reported_unavailable: bool,
    outage_ended_at_ms: Option<u64>,
    synced_at_ms: Option<u64>,
    min_outage_ms: u64,
}

impl MetadataView {
    /// Creates an empty view. Items can expire once the store has not answered for
    /// `min_outage_ms`, or after it reported that it is unavailable.
    #[must_use]
    pub fn new(min_outage_ms: u64) -> Self {
        Self { min_outage_ms, ..Self::default() }
    }

    /// Whether a listing, snapshot or change has been received yet.
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

    /// Whether the store answered the last call of this box.
    #[must_use]
    pub fn is_store_available(&self) -> bool {
        self.store_available
    }

    /// When the view last held everything that the store had; `None` before the first listing.
    #[must_use]
    pub fn synced_at_ms(&self) -> Option<u64> {
        self.synced_at_ms
    }

    /// Notes that the view now holds everything that the store has.
    pub fn mark_synced(&mut self, now_ms: u64) {
        self.synced_at_ms = Some(now_ms);
    }

    /// Whether the store has answered this box for at least `min_ms`.
    #[must_use]
    pub fn store_available_for(&self, now_ms: u64, min_ms: u64) -> bool {
        self.store_available && now_ms >= self.available_since_ms + min_ms
    }

    #[must_use]
    pub fn contains_key(&self, key: &str) -> bool {
        self.items.contains_key(key)
    }

    #[must_use]
    pub fn get(&self, key: &str) -> Option<&VersionedValue> {
        self.items.get(key)
    }

    /// Digest by which the view is compared with that of another box.
    #[must_use]
    pub fn digest(&self) -> ViewDigest {
        ViewDigest { last_change_revision: self.last_change_revision, checksum: self.checksum }
    }

    /// A copy of all items, for a peer.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        self.snapshot_of(self.items.clone())
    }

    fn snapshot_of(&self, items: BTreeMap<String, VersionedValue>) -> Snapshot {
        let (at_revision, last_change_revision) = (self.at_revision, self.last_change_revision);
        Snapshot { at_revision, last_change_revision, items }
    }

    /// Which update a peer whose view has `digest` needs.
    #[must_use]
    pub fn catch_up_need(&self, digest: ViewDigest) -> CatchUpNeed {
        let after = digest.last_change_revision;
        // A peer that knows the same last change and still differs needs all items.
        if after == 0 || after >= self.last_change_revision {
            CatchUpNeed::Full
        } else if after < self.removal_log_start {
            CatchUpNeed::ListedSince(after)
        } else {
            CatchUpNeed::DeltaSince(after)
        }
    }

    /// The update that a peer whose view has `digest` needs.
    #[must_use]
    pub fn catch_up(&self, digest: ViewDigest) -> CatchUp {
        match self.catch_up_need(digest) {
            CatchUpNeed::Full => CatchUp::Full(self.snapshot()),
            CatchUpNeed::DeltaSince(after) => {
                let removed = self.removal_log.iter().filter(|(_, revision)| *revision > after);
                CatchUp::Delta {
                    changed: self.changed_since(after),
                    removed: removed.cloned().collect(),
                }
            }
            CatchUpNeed::ListedSince(after) => {
                let mut keys: Vec<u32> = self.items.keys().map(|key| short_id(key)).collect();
                keys.sort_unstable();
                CatchUp::Listed { changed: self.changed_since(after), keys }
            }
        }
    }

    fn changed_since(&self, after: u64) -> Snapshot {
        let items = self.items.iter().filter(|(_, item)| item.revision > after);
        self.snapshot_of(items.map(|(key, item)| (key.clone(), item.clone())).collect())
    }

    /// Notes a failed call to the store. Returns true if the call before succeeded.
    pub fn note_store_failure(&mut self) -> bool {
        std::mem::replace(&mut self.store_available, false)
    }

    /// Notes that the store itself reported that it is unavailable.
    pub fn note_store_unavailable(&mut self) {
        self.reported_unavailable = true;
    }

    /// Notes an answer of the store. Returns true if the call before failed.
    pub fn note_store_answer(&mut self, now_ms: u64) -> bool {
        let was_unavailable = !std::mem::replace(&mut self.store_available, true);
        let unanswered_since_ms = std::mem::replace(&mut self.last_answer_at_ms, now_ms);
        let unanswered_ms = now_ms.saturating_sub(unanswered_since_ms);
        if was_unavailable {
            self.available_since_ms = now_ms;
        }
        let reported_unavailable = std::mem::take(&mut self.reported_unavailable);
        let may_have_expired = reported_unavailable || unanswered_ms >= self.min_outage_ms;
        // After a mere connection reset, a missing upstream has really left. Deferring its
        // removal would send it requests for up to 3.3 s more, where 2 s are allowed.
        if was_unavailable && may_have_expired && self.is_loaded() {
            self.outage_ended_at_ms = Some(now_ms);
            for until_ms in self.pending_removals.values_mut() {
                *until_ms = (*until_ms).max(now_ms + REREGISTRATION_MS);
            }
        }
        was_unavailable
    }

    /// Applies the write of an item.
    pub fn put(&mut self, key: String, item: VersionedValue) -> Option<ViewChange> {
        self.at_revision = self.at_revision.max(item.revision);
        self.last_change_revision = self.last_change_revision.max(item.revision);
        self.pending_removals.remove(&key);
        if self.items.get(&key).is_some_and(|known| known.revision >= item.revision) {
            return None;
        }
        let is_unchanged = self.items.get(&key).is_some_and(|known| known.value == item.value);
        let value = item.value.clone();
        self.delete_item(&key);
        self.checksum = self.checksum.wrapping_add(item_checksum(&key, item.revision));
        self.items.insert(key.clone(), item);
        (!is_unchanged).then_some(ViewChange::Put { key, value })
    }

    /// Applies a removal. An `is_ephemeral` item expires when its writer stops renewing it, so
    /// its removal may be due to an outage of the store.
    pub fn remove(
        &mut self,
        now_ms: u64,
        key: &str,
        revision: u64,
        is_ephemeral: bool,
    ) -> Option<ViewChange> {
        self.at_revision = self.at_revision.max(revision);
        self.last_change_revision = self.last_change_revision.max(revision);
        if self.items.get(key).is_none_or(|known| known.revision > revision) {
            return None;
        }
        if is_ephemeral && let Some(until_ms) = self.deferred_until_ms(now_ms) {
            self.pending_removals.entry(key.to_owned()).or_insert(until_ms);
            return None;
        }
        // A deferred removal is not logged; peers notice it by the checksum.
        self.log_removal(key, revision);
        self.remove_now(key)
    }

    /// Applies a listing or snapshot of all items whose keys `covers` accepts.
    pub fn apply_snapshot(
        &mut self,
        now_ms: u64,
        snapshot: Snapshot,
        covers: impl Fn(&str) -> bool,
        is_ephemeral: impl Fn(&str) -> bool,
    ) -> Vec<ViewChange> {
        let missing: Vec<String> = self
            .items
            .keys()
            .filter(|key| covers(key) && !snapshot.items.contains_key(*key))
            .cloned()
            .collect();
        self.replace_items(now_ms, missing, snapshot, is_ephemeral)
    }

    /// Removes the items that are missing from a listing and applies those that it contains.
    fn replace_items(
        &mut self,
        now_ms: u64,
        missing: Vec<String>,
        snapshot: Snapshot,
        is_ephemeral: impl Fn(&str) -> bool,
    ) -> Vec<ViewChange> {
        let mut changes = Vec::new();
        let at_revision = snapshot.at_revision;
        // A listing does not say when items were removed since the last update, so removals before
        // it are unknown.
        self.removal_log_start = at_revision;
        for key in missing {
            let is_ephemeral = is_ephemeral(&key);
            // A listing does not contain the revision of a removal; its own revision is the upper
            // bound.
            changes.extend(self.remove(now_ms, &key, at_revision, is_ephemeral));
        }
        // Later pages of a listing can contain newer items, but not all changes before those.
        // They must not advance `at_revision`.
        let complete_revision = self.at_revision.max(at_revision);
        let is_outdated = at_revision < self.at_revision;
        for (key, item) in snapshot.items {
            // The view is complete up to its revision, so an older item that it lacks was removed
            // after the snapshot. No watch would report that removal again.
            let was_removed =
                is_outdated && item.revision <= complete_revision && !self.items.contains_key(&key);
            if !was_removed {
                changes.extend(self.put(key, item));
            }
        }
        self.last_change_revision = self.last_change_revision.max(snapshot.last_change_revision);
        self.at_revision = complete_revision;
        changes
    }

    /// Applies an update from a peer that follows the store itself.
    pub fn apply_catch_up(
        &mut self,
        now_ms: u64,
        update: CatchUp,
        covers: impl Fn(&str) -> bool,
    ) -> Vec<ViewChange> {
        match update {
            // The peer still lists items whose removal it has deferred, so removals are not
            // deferred here.
            CatchUp::Full(snapshot) => self.apply_snapshot(now_ms, snapshot, covers, |_| false),
            CatchUp::Listed { changed, keys } => {
                let is_missing =
                    |key: &&String| covers(key) && keys.binary_search(&short_id(key)).is_err();
                let missing = self.items.keys().filter(is_missing).cloned().collect();
                self.replace_items(now_ms, missing, changed, |_| false)
            }
            CatchUp::Delta { changed, removed } => {
                let mut changes = Vec::new();
                // Single items may be newer than the revision up to which the peer's view is
                // complete.
                let complete_revision = self.at_revision.max(changed.at_revision);
                for (key, revision) in removed {
                    changes.extend(self.remove(now_ms, &key, revision, false));
                }
                for (key, item) in changed.items {
                    changes.extend(self.put(key, item));
                }
                self.at_revision = complete_revision;
                self.last_change_revision =
                    self.last_change_revision.max(changed.last_change_revision);
                changes
            }
        }
    }

    /// Notes that the view is complete up to `revision`.
    pub fn advance_to(&mut self, revision: u64) {
        self.at_revision = self.at_revision.max(revision);
    }

    /// Carries out the deferred removals that are due.
    pub fn apply_due_removals(&mut self, now_ms: u64) -> Vec<ViewChange> {
        if !self.store_available {
            return Vec::new();
        }
        let due: Vec<String> = self
            .pending_removals
            .iter()
            .filter(|(_, until_ms)| **until_ms <= now_ms)
            .map(|(key, _)| key.clone())
            .collect();
        due.iter().filter_map(|key| self.remove_now(key)).collect()
    }

    /// Until when a removal is deferred, if it may be due to an outage of the store.
    fn deferred_until_ms(&self, now_ms: u64) -> Option<u64> {
        let ended_at_ms = match (self.store_available, self.outage_ended_at_ms) {
            (false, _) => now_ms,
            (true, Some(ended_at_ms)) => ended_at_ms,
            (true, None) => return None,
        };
        let until_ms = ended_at_ms + REREGISTRATION_MS;
        (now_ms < until_ms + OUTAGE_AFTERMATH_MS).then_some(until_ms.max(now_ms))
    }

    fn remove_now(&mut self, key: &str) -> Option<ViewChange> {
        self.pending_removals.remove(key);
        self.delete_item(key).then(|| ViewChange::Removed { key: key.to_owned() })
    }

    fn delete_item(&mut self, key: &str) -> bool {
        let Some(item) = self.items.remove(key) else { return false };
        self.checksum = self.checksum.wrapping_sub(item_checksum(key, item.revision));
        true
    }

    fn log_removal(&mut self, key: &str, revision: u64) {
        self.removal_log.push_back((key.to_owned(), revision));
        if self.removal_log.len() > REMOVAL_LOG_CAPACITY
            && let Some((_, revision)) = self.removal_log.pop_front()
        {
            self.removal_log_start = revision;
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
