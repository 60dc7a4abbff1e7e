//! Which versions of software may have begun streams that clients still resume.
//!
//! A client that resumes a stream may not say which request began it, and the boxes that knew where it
//! began may all be gone. It can still be resumed if one version only may have begun it: the boxes
//! keep the versions of each service in the metadata store, where boxes find them that have just
//! started. A version is added when its first upstream is listed, by the leader or, if it has not done
//! so soon, by any box: while there is no leader, a version may begin streams and go. The leader removes
//! a version when no upstream has been listed with it for as long as streams last.

use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Longest time in which a client resumes a stream.
const MAX_STREAM_MS: u64 = 30_000;

/// Versions of the software of services, all by their short ids, as stored.
pub type StoredVersions = BTreeMap<u32, BTreeSet<u32>>;

/// What a box may change of the stored versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoredChange {
    /// Add versions that are listed. Those that are gone may be missing because the leader, which may have
    /// learned of it earlier, has removed them.
    AddListed,
    /// Add versions, and remove those that are gone.
    AddAndRemove,
}

/// What a box knows of the versions that upstreams have had.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    /// Since when this box has known all upstreams.
    complete_since_ms: Option<u64>,
    /// When a version was last listed that is no longer, by the short ids of service and version.
    gone_at_ms: HashMap<(u32, u32), u64>,
    /// Versions that the metadata store has.
    stored: StoredVersions,
    /// Revision of their item.
    stored_revision: u64,
    /// Time as of which this box knows what the metadata store has.
    known_as_of_ms: Option<u64>,
}

impl SoftwareHistory {
    /// Records that this box knows all upstreams now.
    pub fn record_complete(&mut self, now_ms: u64) {
        self.complete_since_ms.get_or_insert(now_ms);
    }

    /// Records that upstreams may have come and gone before `now_ms` without this box.
    pub fn record_gap(&mut self, now_ms: u64) {
        if let Some(since_ms) = &mut self.complete_since_ms {
            *since_ms = now_ms;
        }
    }

    /// Records that an upstream with a version is no longer listed.
    pub fn record_gone(&mut self, now_ms: u64, service: u32, software: u32) {
        self.gone_at_ms.retain(|_, gone_at_ms| is_recent(now_ms, *gone_at_ms));
        self.gone_at_ms.insert((service, software), now_ms);
    }

    /// Takes over what the metadata store had at a revision. A stale listing may show an older one than
    /// this box knows.
    pub fn set_stored(&mut self, revision: u64, stored: StoredVersions) {
        if revision >= self.stored_revision {
            self.stored = stored;
            self.stored_revision = revision;
        }
    }

    /// Records that this box knows what the metadata store had at a time, which is not later than when
    /// the store was asked.
    pub fn record_known(&mut self, as_of_ms: u64) {
        self.known_as_of_ms = self.known_as_of_ms.max(Some(as_of_ms));
    }

    /// Age of what this box knows of the metadata store; `None` if it has read only stale state.
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.known_as_of_ms.map(|as_of_ms| now_ms.saturating_sub(as_of_ms))
    }

    /// Revision of the stored versions that this box knows.
    #[must_use]
    pub fn stored_revision(&self) -> u64 {
        self.stored_revision
    }

    /// The version that began all streams of a service that may be resumed, if it is the only one.
    /// `listed` are the versions of the service's upstreams now.
    #[must_use]
    pub fn only_version(
        &self,
        now_ms: u64,
        service: u32,
        listed: impl Iterator<Item = u32>,
    ) -> Option<u32> {
        let stored = self.stored.get(&service).filter(|stored| !stored.is_empty())?;
        let gone = self.recently_gone(now_ms).filter(|(gone_service, _)| *gone_service == service);
        let mut versions = stored.iter().copied().chain(listed).chain(gone.map(|(_, gone)| gone));
        let first = versions.next()?;
        versions.all(|version| version == first).then_some(first)
    }

    /// The versions that the metadata store should have, if this box has to change it. `listed` are
    /// services and versions of all upstreams now. A version is only removed once this box has known all
    /// upstreams for as long as streams last.
    #[must_use]
    pub fn next_stored(
        &self,
        now_ms: u64,
        change: StoredChange,
        listed: impl Iterator<Item = (u32, u32)>,
    ) -> Option<StoredVersions> {
        let covers =
            self.complete_since_ms.is_some_and(|since_ms| now_ms >= since_ms + MAX_STREAM_MS);
        let may_remove = change == StoredChange::AddAndRemove && covers;
        let mut next = if may_remove { StoredVersions::new() } else { self.stored.clone() };
        let gone = self.recently_gone(now_ms).filter(|_| change == StoredChange::AddAndRemove);
        for (service, software) in listed.chain(gone) {
            next.entry(service).or_default().insert(software);
        }
        (next != self.stored).then_some(next)
    }

    fn recently_gone(&self, now_ms: u64) -> impl Iterator<Item = (u32, u32)> {
        let gone = self.gone_at_ms.iter();
        gone.filter(move |(_, gone_at_ms)| is_recent(now_ms, **gone_at_ms)).map(|(key, _)| *key)
    }
}

/// Whether streams that began at a time may still be resumed.
fn is_recent(now_ms: u64, at_ms: u64) -> bool {
    now_ms < at_ms + MAX_STREAM_MS
}
